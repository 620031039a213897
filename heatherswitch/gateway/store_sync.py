"""Replicates the store to the gateway and turns changed entries into events."""

import asyncio
import logging
import math
import random
from collections.abc import AsyncIterator, Callable, Generator, Iterable
from typing import Protocol

from heatherswitch.gateway import events as ev
from heatherswitch.gateway.crash_records import CRASH_PREFIX
from heatherswitch.gateway.membership import decode_member
from heatherswitch.gateway.servers import REAPPEAR_GRACE_S
from heatherswitch.gateway.store_view import Applied, StoreView
from heatherswitch.statecore.replica import Entry, KeyRange
from heatherswitch.statecore.store import (
    Compacted,
    HistoryTooLarge,
    IncompleteWatch,
    Snapshot,
    StoreError,
    StoreRestored,
    UnusableResponse,
    WatchBatch,
)
from heatherswitch.util.backoff import doubled_delay_s
from heatherswitch.util.clock import Clock
from heatherswitch.util.fairness import Turn, run_steps

log = logging.getLogger("heatherswitch.gateway.store_sync")

# Seconds between full snapshots. They repair changes that a watch missed silently.
SNAPSHOT_INTERVAL_S = 60.0
# Backoff after a failed call to the store, in seconds. Every call is billed, even a
# refused one, but the configuration must be current again within 2 s.
FIRST_RETRY_DELAY_S = 0.02
BASE_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 0.8


# Seconds for which an entry of an operator holds that a restored store lacks: it is
# written again, and an order that ended too early would let forbidden requests through.
REWRITE_GRACE_S = 10.0
# The same for the memberships of other gateways, unless the deployment has another time
# to live for them.
DEFAULT_MEMBER_TTL_S = 6.0

# Seconds between two reads of the small entries while a bulk entry is on its way.
DEFAULT_REREAD_PAUSE_S = 0.6


class WatchableStore(Protocol):
    """A store that can be read and watched for changes."""

    async def snapshot(self, prefixes: Iterable[str]) -> Snapshot:
        """Returns all entries whose keys start with one of the prefixes."""

    async def read_range(self, key_range: KeyRange) -> Snapshot:
        """Returns all entries in a range of keys."""

    def watch(self, prefix: str, from_revision: int) -> AsyncIterator[WatchBatch]:
        """Yields batches of changes to keys under a prefix from a revision on."""


class EntryDecoder(Protocol):
    """Decodes entries of the store into events.

    Under ``member_prefix`` are the registrations of live gateways, under
    ``server_prefix`` the entries of backend servers, and under ``order_prefix`` those
    that are told apart by their revision. The entries in ``bulk_ranges`` may take seconds
    to arrive over a thin link, those in ``small_ranges`` don't; together they are all
    entries that matter.
    """

    prefixes: tuple[str, ...]
    small_ranges: tuple[KeyRange, ...]
    bulk_ranges: tuple[KeyRange, ...]
    member_prefix: str
    server_prefix: str
    order_prefix: str

    def read_steps(
        self, entry: Entry, after_outage: bool
    ) -> Generator[None, None, list[ev.Event]]:
        """Returns the events for one changed entry; yields between its steps.

        :param after_outage: the store was unreachable shortly before, so an entry may be
            gone because its lease expired although its owner is alive.
        """

    def read_failed(self, entry: Entry) -> list[ev.Event]:
        """Returns the events for an entry that an unforeseen error kept from effect."""


class StoreSync:
    """Watches the store and passes events to the gateway.

    :param emit: called with each event.
    :param outage_s: seconds without a response after which the store counts as
        unreachable.
    :param reread_pause_s: seconds between two reads of the small entries while a bulk
        entry is on its way.
    :param member_ttl_s: time to live of a gateway's membership, in seconds.
    """

    __slots__ = (
        "_clock",
        "_emit",
        "_member_ttl_s",
        "_last_response_at",
        "_outage_s",
        "_reread_pause_s",
        "_view",
    )

    def __init__(
        self,
        clock: Clock,
        emit: Callable[[ev.Event], None],
        outage_s: float,
        reread_pause_s: float = DEFAULT_REREAD_PAUSE_S,
        member_ttl_s: float = DEFAULT_MEMBER_TTL_S,
    ) -> None:
        self._clock = clock
        self._outage_s = outage_s
        self._reread_pause_s = reread_pause_s
        self._emit = emit
        self._member_ttl_s = member_ttl_s
        self._view = StoreView()
        self._last_response_at = clock.now()

    async def run(self, store: WatchableStore, decoder: EntryDecoder) -> None:
        """Watches the store until cancelled; failed calls are retried."""
        snapshot_at = float("-inf")
        # Failed calls in a row, and reads of all entries since the last usable batch.
        failures = rereads = 0
        while True:
            try:
                if self._clock.now() - snapshot_at >= SNAPSHOT_INTERVAL_S:
                    await self._read_all(store, decoder)
                    snapshot_at = self._clock.now()
                    failures = 0
                async for batch in store.watch("", self._view.revision + 1):
                    failures = 0
                    await self._on_batch(batch, decoder)
                    await self._expire_carried(decoder)
                    rereads = 0
                    if self._clock.now() - snapshot_at >= SNAPSHOT_INTERVAL_S:
                        break
            except HistoryTooLarge as error:
                log.info("reading the newest entries", extra={"reason": str(error)})
                snapshot_at = float("-inf")
            except (
                Compacted,
                IncompleteWatch,
                StoreRestored,
                UnusableResponse,
            ) as error:
                # Repeating the watch would fail again.
                log.warning(
                    "watch can't go on; reading all entries",
                    extra={"error": str(error), "reason": type(error).__name__},
                )
                snapshot_at = float("-inf")
                await asyncio.sleep(_retry_delay_s(rereads))
                rereads += 1
            except StoreError as error:
                silent_s = self._clock.now() - self._last_response_at
                log.warning(
                    "call to the store failed",
                    extra={"error": str(error), "silent_s": round(silent_s, 3)},
                )
                if silent_s > self._outage_s:
                    # A watch would return each version of the configuration since then,
                    # which may take longer than its time limit over a slow link.
                    snapshot_at = float("-inf")
                await asyncio.sleep(_retry_delay_s(failures))
                failures += 1

    async def _on_batch(self, batch: WatchBatch, decoder: EntryDecoder) -> None:
        applied = self._view.take_batch(batch)
        after_outage = self._detect_outage_end(batch.current_at)
        await self._emit_changes(applied, decoder, after_outage)
        self._emit(ev.StoreConfirmed(applied.current_at))
        await self._emit_members(applied.changed, decoder)

    async def _read_all(self, store: WatchableStore, decoder: EntryDecoder) -> None:
        """Reads all entries; the first time in one go, which takes the fewest calls."""
        if self._view.started:
            await self._read_newest(store, decoder)
            return
        snapshot = await store.snapshot(decoder.prefixes)
        applied = self._view.take_range(snapshot, KeyRange())
        after_outage = self._detect_outage_end(applied.current_at)
        await self._emit_changes(applied, decoder, after_outage)
        completed = self._view.complete(self._clock.now(), applied)
        self._emit(ev.StoreConfirmed(completed.current_at))
        await self._emit_members(applied.changed, decoder)

    async def _read_newest(self, store: WatchableStore, decoder: EntryDecoder) -> None:
        """Reads the newest small entries, again and again until the bulk is read too.

        A notice of a server that leaves would otherwise take as long as a configuration.
        """
        bulk = asyncio.create_task(
            self._read_ranges(store, decoder, decoder.bulk_ranges)
        )
        try:
            done: set[asyncio.Task] = set()
            while not done:
                small = await self._read_ranges(store, decoder, decoder.small_ranges)
                newest_at = min(part.current_at for part in small)
                self._emit(ev.ServersConfirmed(newest_at))
                done, _ = await asyncio.wait({bulk}, timeout=self._reread_pause_s)
            read = await bulk
        finally:
            bulk.cancel()
            await asyncio.gather(bulk, return_exceptions=True)
        completed = self._view.complete(self._clock.now(), *small, *read)
        self._emit(ev.StoreConfirmed(completed.current_at))
        # The changes since then may again be too many for one response.
        next_at = newest_at + self._reread_pause_s
        await asyncio.sleep(max(0.0, next_at - self._clock.now()))

    async def _read_ranges(
        self,
        store: WatchableStore,
        decoder: EntryDecoder,
        key_ranges: tuple[KeyRange, ...],
    ) -> list[Applied]:
        """Reads ranges of keys, emits their changes and returns what was taken in."""
        after_outage = False
        parts: list[Applied] = []
        for key_range in key_ranges:
            part = await store.read_range(key_range)
            era, revision = self._view.era, self._view.revision
            applied = self._view.take_range(part, key_range)
            if applied.restored:
                self._note_restored(era, revision, applied)
            if key_ranges == decoder.small_ranges:
                after_outage |= self._detect_outage_end(applied.current_at)
            await self._emit_changes(applied, decoder, after_outage)
            await self._emit_members(applied.changed, decoder)
            parts.append(applied)
        return parts

    def _note_restored(self, era: int, revision: int, applied: Applied) -> None:
        """Tells the gateway of a new era before it gets the era's entries.

        :param era: the era before.
        :param revision: revision up to which its changes were held.
        """
        log.warning(
            "the store was restored from a backup; reading all entries",
            extra={
                "era": applied.era,
                "era_before": era,
                "revision": applied.revision,
                "revision_before": revision,
                "lost_revisions": max(0, revision - applied.revision),
            },
        )
        self._emit(ev.StoreRestored(applied.era))

    async def _expire_carried(self, decoder: EntryDecoder) -> None:
        """Emits the removal of entries that were lost and not written again."""
        expired = self._view.expire(
            self._clock.now(), lambda key: self._grace_s(decoder, key)
        )
        if expired.changed:
            log.info(
                "entries were not written again after the restore of the store",
                extra={"entries": len(expired.changed), "era": expired.era},
            )
            await self._emit_changes(expired, decoder, after_outage=False)
            await self._emit_members(expired.changed, decoder)

    def _grace_s(self, decoder: EntryDecoder, key: str) -> float:
        """Returns the seconds for which a lost entry counts as if it were still there."""
        if key.startswith(decoder.server_prefix):
            return REAPPEAR_GRACE_S
        if key.startswith(decoder.member_prefix):
            return self._member_ttl_s
        # Reports expire by themselves.
        return math.inf if key.startswith(CRASH_PREFIX) else REWRITE_GRACE_S

    def _detect_outage_end(self, requested_at: float) -> bool:
        """Records the time of a response and returns whether it ends an outage.

        Entries missing from that response may have expired although their servers are
        alive; entries that later responses remove were removed by their owners.

        :param requested_at: time of the request. The time that a large response takes
            over a slow link is not part of an outage.
        """
        now = self._clock.now()
        after_outage = requested_at - self._last_response_at > self._outage_s
        if after_outage:
            log.info(
                "store reachable again",
                extra={"silent_s": round(now - self._last_response_at, 3)},
            )
        self._last_response_at = now
        return after_outage

    async def _emit_changes(
        self, applied: Applied, decoder, after_outage: bool
    ) -> None:
        """Emits the events of changed entries, and of orders that a restore has kept."""
        kept = [e for e in applied.kept if e.key.startswith(decoder.order_prefix)]
        changed = [*kept, *applied.changed]
        turn = Turn("changes of the store")
        arrived_at = self._clock.now()
        for entry in changed:
            await turn.pause_if_due()
            await self._emit_change(entry, decoder, after_outage, turn)
        log.info(
            "changes of the store applied",
            extra={
                "entries": len(changed),
                "bytes": sum(len(e.value or b"") for e in changed),
                "era": applied.era,
                "revision": applied.revision,
                "arrived_after_s": round(arrived_at - applied.current_at, 4),
                "applied_in_s": round(self._clock.now() - arrived_at, 4),
            },
        )

    async def _emit_members(self, changed: list[Entry], decoder) -> None:
        """Emits the list of live gateways if one of their entries changed."""
        if not any(e.key.startswith(decoder.member_prefix) for e in changed):
            return
        turn = Turn("changes of the store")
        members = []
        for entry in self._view.with_prefix(decoder.member_prefix):
            await turn.pause_if_due()
            member = decode_member(entry, decoder.member_prefix)
            if member is not None:
                members.append(member)
        self._emit(
            ev.RoutersListed(
                tuple(m.id for m in members),
                tuple((m.id, m.address) for m in members if m.address),
            )
        )

    async def _emit_change(
        self, entry: Entry, decoder, after_outage: bool, turn: Turn
    ) -> None:
        """Passes on what follows from an entry.

        The replica already holds the whole batch, so that the entries after one that
        fails would not be passed on later either.
        """
        try:
            steps = decoder.read_steps(entry, after_outage)
            for event in await run_steps(steps, turn):
                self._emit(event)
        except Exception:
            log.exception("store entry not applied", extra={"key": entry.key})
            for event in decoder.read_failed(entry):
                self._emit(event)


def _retry_delay_s(failures: int) -> float:
    """Returns the seconds to wait after a failed call, with jitter.

    The first retry comes fast, since a single response may have been lost.
    """
    if failures == 0:
        return FIRST_RETRY_DELAY_S
    delay_s = doubled_delay_s(BASE_RETRY_DELAY_S, failures - 1, MAX_RETRY_DELAY_S)
    return delay_s * random.uniform(0.75, 1.25)
