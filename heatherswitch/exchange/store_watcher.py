"""Reads and watches the configuration in the store, on the routers chosen for it."""

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

# A watch that yields nothing for this long is reopened, in seconds. A change must be
# applied within 4 s even if the connection has stopped delivering data before it.
WATCH_IDLE_TIMEOUT_S = 2.5
# Timeout for reading the whole configuration, in seconds.
READ_TIMEOUT_S = 5.0
# A new process waits this long, in seconds, to get the configuration from peers
# before it reads the store. Otherwise a restart of the fleet would read the whole
# configuration once per process.
PEER_WAIT_S = 1.5
# Delays before a retry after a store error, in seconds; doubled with each failure.
INITIAL_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 2.0
# How often a router that is not a watcher checks if it has become one, in seconds.
WATCHER_CHECK_INTERVAL_S = 0.25


class WatchableStore(Protocol):
    """The part of the store client that the watcher needs."""

    async def range(self, prefix: str) -> Snapshot:
        """Reads all entries whose keys start with a prefix."""

    def watch(self, prefix: str, from_revision: int) -> AsyncIterator[WatchBatch]:
        """Yields the changes of such entries, starting at a revision."""


class StoreWatcher:
    """Replicates the configuration from the store while this router is a watcher.

    Routers that are not watchers get it from their peers.
    """

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
        """Builds the watcher of one router.

        :param peers_first_s: seconds to wait at the start for peers to provide the
            configuration; 0 for a router without peers.
        :param watch_idle_timeout_s: seconds without a batch after which the watch is
            reopened.
        """
        watcher = cls(store, node, clock or Clock())
        watcher._peer_wait_s = peers_first_s
        watcher._watch_idle_timeout_s = watch_idle_timeout_s
        return watcher

    @property
    def is_watcher(self) -> bool:
        """True if this router is one of those that watch the store."""
        own = self._node.own
        if own.role is not Role.ROUTER:
            return False
        now = self._clock.now()
        members = self._node.members
        reachable = {
            r.id for r in members.routers() if not members.is_suspect(now, r.id)
        }
        return own.id in select_store_watchers(reachable | {own.id})

    async def start(self) -> None:
        """Starts the task that reads and watches the store."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stops that task and waits for it."""
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
                log.info(
                    "store history compacted, a snapshot is needed",
                    extra={"error": str(error)},
                )
                self._snapshot_needed = True
            except (StoreError, TimeoutError) as error:
                log.warning("store not available", extra={"error": str(error)})
                await asyncio.sleep(retry_delay_s)
                retry_delay_s = min(2 * retry_delay_s, MAX_RETRY_DELAY_S)
            except Exception:
                log.exception("unexpected error in the store watcher")
                await asyncio.sleep(MAX_RETRY_DELAY_S)

    async def _wait_for_peers(self) -> None:
        end = self._clock.now() + self._peer_wait_s
        while not self._node.ready and self._clock.now() < end:
            await asyncio.sleep(0.05)

    async def _read_snapshot(self) -> None:
        """Reads the whole configuration, unless peers have already provided it."""
        provided = self._node.ready and self._node.entries.revision > 0
        if provided and not self._snapshot_needed:
            return
        async with asyncio.timeout(READ_TIMEOUT_S):
            snapshot = await self._store.range(CONFIG_PREFIX)
        if snapshot.revision < self._node.entries.revision:
            # The watch can continue from the replicated revision once this instance
            # of the store has caught up.
            raise StoreError(f"stale snapshot at revision {snapshot.revision}")
        self._node.apply_snapshot(snapshot.entries, snapshot.revision)
        self._node.mark_store_read()
        self._snapshot_needed = False

    async def _watch(self) -> None:
        """Applies changes until the watch is idle or this router stops being a watcher."""
        start = self._node.entries.revision + 1
        batches = self._store.watch(CONFIG_PREFIX, start)
        try:
            while self.is_watcher:
                # asyncio.wait_for() in Python 3.11 loses a cancellation that arrives
                # together with a batch, and the watcher would never stop.
                async with asyncio.timeout(self._watch_idle_timeout_s):
                    batch = await anext(batches)
                self._node.apply_entries(batch.entries, batch.revision)
                if batch.entries:
                    self._node.schedule_exchange()
        except (TimeoutError, StopAsyncIteration):
            log.debug("reopening the store watch", extra={"from_revision": start})
        finally:
            close = getattr(batches, "aclose", None)
            if close is not None:
                with contextlib.suppress(StoreError):
                    await close()
