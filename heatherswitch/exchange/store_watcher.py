"""Feeds configuration from the store into the fleet, on the routers that watch it."""

import asyncio
import contextlib
import logging
from collections.abc import AsyncIterator
from typing import Protocol

from heatherswitch.exchange.messages import CONFIG_PREFIX
from heatherswitch.exchange.node import FleetNode
from heatherswitch.exchange.peer_selection import select_store_watchers
from heatherswitch.fleet.members import Role
from heatherswitch.statecore.store import Compacted, Snapshot, StoreError, WatchBatch
from heatherswitch.util.clock import Clock

log = logging.getLogger("heatherswitch.feed")

# A watch that yields nothing for this long is opened again, in seconds: a change
# must be in force after 4 s, also when the connection went silent before it.
WATCH_IDLE_TIMEOUT_S = 2.5
# Longest time for the first read of the configuration, in seconds.
READ_TIMEOUT_S = 5.0
# A started process waits this long for peers before it reads the store, so that
# a fleet that restarts does not read the whole configuration once per process.
PEER_WAIT_S = 1.5
# Pauses after a store error, in seconds.
INITIAL_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 2.0
# Pause of a router that is not a watcher, in seconds.
WATCHER_CHECK_INTERVAL_S = 0.25


class WatchableStore(Protocol):
    """The part of the store client that the feed needs."""

    async def range(self, prefix: str) -> Snapshot:
        """Reads all entries under a prefix."""

    def watch(self, prefix: str, from_revision: int) -> AsyncIterator[WatchBatch]:
        """Yields changes from a revision on."""


class StoreWatcher:
    """Reads and watches the configuration while this router is a watcher."""

    __slots__ = (
        "_clock",
        "_node",
        "_peer_wait_s",
        "_snapshot_needed",
        "_store",
        "_task",
        "_watch_idle_timeout_s",
    )

    def __init__(self, store: WatchableStore, node: FleetNode, clock: Clock) -> None:
        self._store = store
        self._node = node
        self._clock = clock
        self._watch_idle_timeout_s = WATCH_IDLE_TIMEOUT_S
        self._peer_wait_s = PEER_WAIT_S
        self._snapshot_needed = False
        self._task: asyncio.Task | None = None

    @classmethod
    def from_config(
        cls,
        store: WatchableStore,
        node: FleetNode,
        clock: Clock | None = None,
        peers_first_s: float = PEER_WAIT_S,
        watch_idle_timeout_s: float = WATCH_IDLE_TIMEOUT_S,
    ) -> "StoreWatcher":
        """Builds the feed of one router.

        :param peers_first_s: seconds that the feed waits for peers at the start;
            0 for a router without peers.
        :param watch_idle_timeout_s: seconds without a batch after which a watch is
            opened again.
        """
        feed = cls(store, node, clock or Clock())
        feed._peer_wait_s = peers_first_s
        feed._watch_idle_timeout_s = watch_idle_timeout_s
        return feed

    @property
    def is_watcher(self) -> bool:
        """True when this router is picked as a watcher."""
        own = self._node.own
        if own.role is not Role.ROUTER:
            return False
        now = self._clock.now()
        members = self._node.members
        heard = {r.id for r in members.routers() if not members.suspect(now, r.id)}
        return own.id in select_store_watchers(heard | {own.id})

    async def start(self) -> None:
        """Starts the feed."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Ends the feed."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None

    async def _run(self) -> None:
        await self._wait_for_peers()
        retry_delay_s = INITIAL_RETRY_DELAY_S
        while True:
            try:
                if not self.is_watcher:
                    await asyncio.sleep(WATCHER_CHECK_INTERVAL_S)
                    continue
                await self._read_snapshot()
                await self._watch()
                retry_delay_s = INITIAL_RETRY_DELAY_S
            except Compacted as error:
                log.info("store history dropped", extra={"error": str(error)})
                self._snapshot_needed = True
            except (StoreError, TimeoutError) as error:
                log.warning("store not available", extra={"error": str(error)})
                await asyncio.sleep(retry_delay_s)
                retry_delay_s = min(2 * retry_delay_s, MAX_RETRY_DELAY_S)
            except Exception:
                log.exception("store feed failed")
                await asyncio.sleep(MAX_RETRY_DELAY_S)

    async def _wait_for_peers(self) -> None:
        end = self._clock.now() + self._peer_wait_s
        while not self._node.ready and self._clock.now() < end:
            await asyncio.sleep(0.05)

    async def _read_snapshot(self) -> None:
        """Reads everything, unless peers already gave a trusted revision."""
        trusted = self._node.ready and self._node.entries.revision > 0
        if trusted and not self._snapshot_needed:
            return
        async with asyncio.timeout(READ_TIMEOUT_S):
            snapshot = await self._store.range(CONFIG_PREFIX)
        if snapshot.revision < self._node.entries.revision:
            # The watch at the held revision continues once the store caught up.
            raise StoreError(f"stale snapshot at revision {snapshot.revision}")
        self._node.apply_snapshot(snapshot.entries, snapshot.revision)
        self._node.mark_store_read()
        self._snapshot_needed = False

    async def _watch(self) -> None:
        """Applies changes until the watch is silent or this router stops watching."""
        start = self._node.entries.revision + 1
        batches = self._store.watch(CONFIG_PREFIX, start)
        try:
            while self.is_watcher:
                # asyncio.wait_for() would lose a cancellation that arrives together
                # with a batch (Python 3.11), and the feed would never stop.
                async with asyncio.timeout(self._watch_idle_timeout_s):
                    batch = await anext(batches)
                self._node.apply_entries(batch.entries, batch.revision)
                if batch.entries:
                    self._node.schedule_exchange()
        except (TimeoutError, StopAsyncIteration):
            log.debug("store watch opened again", extra={"from_revision": start})
        finally:
            close = getattr(batches, "aclose", None)
            if close is not None:
                with contextlib.suppress(StoreError):
                    await close()
