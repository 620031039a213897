"""Records the agent's claims in the store; does the I/O for the claim reducers."""

import asyncio
import itertools
import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from heatherswitch.fleet.claim_events import (
    AgentsChanged,
    AnswerClaim,
    ClaimAbandoned,
    ClaimFinished,
    ClaimRequested,
    CommitWrite,
    HeadReplicated,
    JournalRead,
    LimitsChanged,
    ReadFailed,
    ReadJournal,
    ReadState,
    Released,
    ReleaseRequested,
    StateRead,
    Ticked,
    WriteApplied,
    WriteNotSent,
    WriteOutcomeUnknown,
    WriteRejected,
)
from heatherswitch.fleet.claims import (
    MIN_APPEND_INTERVAL_S,
    Claimed,
    ClaimReducer,
    ClaimResult,
    JournalUnavailable,
    OwnershipPhase,
)
from heatherswitch.fleet.config import FleetConfig
from heatherswitch.fleet.records import PartitionHead, RecordError
from heatherswitch.statecore.reducer import Effect, Event, Log, write_log
from heatherswitch.statecore.store import (
    AmbiguousWrite,
    CompareFailed,
    StoreClient,
    StoreError,
)
from heatherswitch.util.clock import Clock

log = logging.getLogger("heatherswitch.journal")

# Interval of checks of partitions with waiting claims, in seconds.
TICK_S = 0.1
# Interval of checks of partitions without waiting claims, in seconds.
IDLE_TICK_S = 5.0
# Timeout for releasing the partitions at shutdown, in seconds.
RELEASE_TIMEOUT_S = 5.0

LiveAgents = Callable[[], Iterable[str]]


@dataclass(frozen=True, slots=True)
class JournalConfig:
    """Identifies the agent that writes to a journal.

    :param incarnation: start of the process in nanoseconds since the epoch.
    """

    service: str
    agent_id: str
    incarnation: int


class ClaimJournal:
    """Records claims in the journal partitions that this agent owns.

    It runs one reducer per partition and executes the effects of all of them.
    """

    __slots__ = (
        "_append_timers",
        "_claim_ids",
        "_clock",
        "_config",
        "_fleet_config",
        "_live_agents",
        "_reducers",
        "_released",
        "_stopping",
        "_store",
        "_tasks",
        "_ticker",
        "_waiters",
    )

    def __init__(
        self,
        config: JournalConfig,
        store: StoreClient,
        live_agents: LiveAgents,
        clock: Clock,
    ) -> None:
        self._config = config
        self._store = store
        self._live_agents = live_agents
        self._clock = clock
        self._fleet_config = FleetConfig()
        self._reducers: dict[int, ClaimReducer] = {}
        self._claim_ids = itertools.count(1)
        self._waiters: dict[int, asyncio.Future[ClaimResult]] = {}
        self._tasks: set[asyncio.Task] = set()
        # Partition to the task that waits until its next append is allowed.
        self._append_timers: dict[int, asyncio.Task] = {}
        self._released: dict[int, asyncio.Event] = {}
        self._ticker: asyncio.Task | None = None
        self._stopping = False

    @classmethod
    def from_config(
        cls,
        config: JournalConfig,
        store: StoreClient,
        live_agents: LiveAgents,
        clock: Clock | None = None,
    ) -> "ClaimJournal":
        """Builds a journal.

        :param live_agents: returns the ids of the service's live agents. They include
            this agent's id while it may own partitions, so not during its shutdown.
        """
        return cls(config, store, live_agents, clock or Clock())

    @property
    def owned(self) -> list[int]:
        """Numbers of the partitions that this agent owns as far as it knows."""
        return sorted(
            n
            for n, reducer in self._reducers.items()
            if reducer.phase is OwnershipPhase.OWNED
        )

    async def claim(
        self,
        partition: int,
        workspace: str,
        key: str,
        fingerprint: str,
        request_id: str,
    ) -> ClaimResult:
        """Claims a request; the caller may start it only on :class:`Claimed`.

        If the calling task is cancelled, a claim that gets recorded is abandoned.

        :param fingerprint: see :func:`~heatherswitch.fleet.claims.body_fingerprint`.
        """
        claim_id = next(self._claim_ids)
        future = asyncio.get_running_loop().create_future()
        self._waiters[claim_id] = future
        self._apply_agents(partition)
        now = self._clock.now()
        self._apply(
            partition,
            ClaimRequested(now, claim_id, workspace, key, fingerprint, request_id),
        )
        future.add_done_callback(lambda _: self._waiters.pop(claim_id, None))
        try:
            return await asyncio.shield(future)
        except asyncio.CancelledError:
            future.add_done_callback(
                lambda done: self._abandon_unused(done, partition, workspace, key)
            )
            raise

    def _abandon_unused(self, future, partition: int, workspace: str, key: str) -> None:
        if not future.cancelled() and isinstance(future.result(), Claimed):
            event = ClaimAbandoned(self._clock.now(), workspace, key)
            self._apply(partition, event)

    async def complete(
        self,
        partition: int,
        workspace: str,
        key: str,
        status: int,
        headers: Iterable[tuple[str, str]],
        body: bytes,
    ) -> None:
        """Records the response of a claimed request without waiting for the store."""
        pairs = tuple((name, value) for name, value in headers)
        now = self._clock.now()
        event = ClaimFinished(now, workspace, key, status, pairs, body)
        self._apply(partition, event)

    async def abandon(self, partition: int, workspace: str, key: str) -> None:
        """Records that a claimed request was not started and never will be."""
        self._apply(partition, ClaimAbandoned(self._clock.now(), workspace, key))

    async def release_all(self, timeout_s: float = RELEASE_TIMEOUT_S) -> None:
        """Releases all partitions; to be called after the running jobs have finished.

        :param timeout_s: seconds after which the remaining partitions are not released.
            Another agent takes them over once this one is gone.
        """
        self._stopping = True
        self._released = {partition: asyncio.Event() for partition in self._reducers}
        for partition in list(self._reducers):
            self._apply(partition, ReleaseRequested(self._clock.now()))
        try:
            async with asyncio.timeout(timeout_s):
                for event in self._released.values():
                    await event.wait()
        except TimeoutError:
            log.warning("partitions were not released before the timeout")
        await self._stop_tasks()

    async def _stop_tasks(self) -> None:
        tasks = [*self._tasks, *self._append_timers.values()]
        tasks += [self._ticker] if self._ticker else []
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._ticker = None
        for future in list(self._waiters.values()):
            if not future.done():
                # The reducers get no more events, so the request will not be started.
                future.set_result(JournalUnavailable())

    def on_config(self, config: FleetConfig) -> None:
        """Applies a changed configuration to all partitions."""
        self._fleet_config = config
        settings = config.settings(service=self._config.service)
        now = self._clock.now()
        limits = LimitsChanged(
            now, settings.get("claim_retention_s"), settings.get("claim_start_limit_s")
        )
        for partition in range(settings.get("partitions")):
            if not self._stopping:
                self._reducer(partition)
        for partition in list(self._reducers):
            self._apply_agents(partition)
            self._apply(partition, limits)
            head = config.head(self._config.service, partition)
            self._apply(partition, HeadReplicated(now, head))

    def on_members(self) -> None:
        """Passes a change of the live agents to all partitions."""
        for partition in list(self._reducers):
            self._apply_agents(partition)

    def _apply_agents(self, partition: int) -> None:
        agents = frozenset(self._live_agents())
        self._apply(partition, AgentsChanged(self._clock.now(), agents))

    def _reducer(self, partition: int) -> ClaimReducer:
        reducer = self._reducers.get(partition)
        if reducer is None:
            config = self._config
            settings = self._fleet_config.settings(service=config.service)
            reducer = ClaimReducer(
                config.service,
                partition,
                config.agent_id,
                config.incarnation,
                settings.get("claim_start_limit_s"),
                settings.get("claim_retention_s"),
                MIN_APPEND_INTERVAL_S,
            )
            self._reducers[partition] = reducer
            now = self._clock.now()
            if self._stopping:
                reducer.apply(ReleaseRequested(now))
            reducer.apply(
                HeadReplicated(now, self._fleet_config.head(config.service, partition))
            )
        return reducer

    def _apply(self, partition: int, event: Event) -> None:
        reducer = self._reducer(partition)
        for effect in reducer.apply(event):
            self._run_effect(partition, effect)
        if reducer.next_append_at is not None and partition not in self._append_timers:
            # The periodic tick alone would delay a claim by up to 0.1 s.
            task = asyncio.create_task(
                self._append_when_due(partition, reducer.next_append_at)
            )
            self._append_timers[partition] = task
        if self._ticker is None and not self._stopping:
            self._ticker = asyncio.create_task(self._tick())

    def _run_effect(self, partition: int, effect: Effect) -> None:
        match effect:
            case AnswerClaim(waiter, result):
                future = self._waiters.get(waiter)
                if future is not None and not future.done():
                    future.set_result(result)
            case Log():
                write_log(effect, log)
            case Released():
                released = self._released.get(partition)
                if released is not None:
                    released.set()
            case CommitWrite() | ReadState() | ReadJournal():
                task = asyncio.create_task(self._call_store(partition, effect))
                self._tasks.add(task)
                task.add_done_callback(self._on_task_done)

    async def _append_when_due(self, partition: int, at: float) -> None:
        """Lets a partition append once the minimum gap between appends has passed."""
        await asyncio.sleep(max(0.0, at - self._clock.now()))
        self._append_timers.pop(partition, None)
        self._apply(partition, Ticked(self._clock.now()))

    async def _call_store(self, partition: int, effect: Effect) -> None:
        match effect:
            case CommitWrite():
                event = await self._commit(effect)
            case ReadState():
                event = await self._read_state(effect)
            case ReadJournal():
                event = await self._read_journal(effect)
        self._apply(partition, event)

    async def _commit(self, effect: CommitWrite) -> Event:
        try:
            revision = await self._store.commit(
                effect.compares, effect.puts, effect.deletes
            )
        except CompareFailed:
            return WriteRejected(self._clock.now())
        except AmbiguousWrite as error:
            log.warning(
                "journal write may have been applied", extra={"error": str(error)}
            )
            return WriteOutcomeUnknown(self._clock.now())
        except StoreError as error:
            log.warning("journal write was not applied", extra={"error": str(error)})
            return WriteNotSent(self._clock.now())
        return WriteApplied(self._clock.now(), revision)

    async def _read_state(self, effect: ReadState) -> Event:
        try:
            entry = await self._store.get(effect.head_key)
            head = None
            if entry is not None:
                head = PartitionHead.from_bytes(entry.value, entry.mod_revision)
            segment = None
            if effect.segment_key:
                segment = await self._store.get(effect.segment_key)
        except (StoreError, RecordError) as error:
            log.warning(
                "partition head or segment could not be read",
                extra={"error": str(error)},
            )
            return ReadFailed(self._clock.now())
        return StateRead(self._clock.now(), head, segment)

    async def _read_journal(self, effect: ReadJournal) -> Event:
        try:
            snapshot = await self._store.range(effect.prefix)
        except StoreError as error:
            log.warning(
                "journal segments could not be read", extra={"error": str(error)}
            )
            return ReadFailed(self._clock.now())
        return JournalRead(self._clock.now(), snapshot.revision, snapshot.entries)

    async def _tick(self) -> None:
        last_idle_tick = self._clock.now()
        while True:
            await asyncio.sleep(TICK_S)
            now = self._clock.now()
            idle = now >= last_idle_tick + IDLE_TICK_S
            last_idle_tick = now if idle else last_idle_tick
            for partition, reducer in list(self._reducers.items()):
                if idle or reducer.needs_tick:
                    self._tick_partition(partition, now)

    def _tick_partition(self, partition: int, now: float) -> None:
        """Applies a tick; an unforeseen error must not end that of other partitions."""
        try:
            self._apply(partition, Ticked(now))
        except Exception:
            log.exception(
                "tick of a claim partition failed", extra={"partition": partition}
            )

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("journal task failed", exc_info=task.exception())

    async def close(self) -> None:
        """Cancels all tasks without releasing partitions."""
        self._stopping = True
        await self._stop_tasks()
