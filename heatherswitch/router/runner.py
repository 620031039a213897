"""Executes the effects of the router's reducer."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

from heatherswitch.fleet.config import FleetConfig
from heatherswitch.fleet.members import (
    Load,
    Member,
    MemberTable,
)
from heatherswitch.fleet.outcomes import (
    Failed,
    Finished,
    NotRun,
    Outcome,
    OutcomeUnknown,
    Reason,
)
from heatherswitch.fleet.placement import available_agents
from heatherswitch.protocol import heatherswitch_pb2 as pb
from heatherswitch.router import events
from heatherswitch.router.answers import CallerAnswer
from heatherswitch.router.calls import Call
from heatherswitch.router.channels import AgentChannels
from heatherswitch.router.dispatch import Attempt, AttemptResult, ConnectFailed, Silent
from heatherswitch.router.effects import Answer, CancelAttempt, Dispatch, Resume
from heatherswitch.router.pool_load import PoolLoads
from heatherswitch.router.reducer import RouterReducer
from heatherswitch.router.telemetry import Telemetry
from heatherswitch.statecore.reducer import Effect, Event, Log, write_log
from heatherswitch.util.clock import Clock

log = logging.getLogger("heatherswitch.router")

# A caller that does not read the end of its answer for this long is
# disconnected, in seconds.
END_TIMEOUT_S = 30.0


_Work = Callable[[], Awaitable[AttemptResult]]


@dataclass(frozen=True, slots=True)
class AttemptStarted:
    """An attempt was dispatched.

    :param cold: the backend server was in cold start by its last record.
    """

    request_id: str
    attempt: int
    service: str
    version: str
    route: str
    request_class: str
    cold: bool


@dataclass(frozen=True, slots=True)
class AttemptFirstByte:
    """The head of an answer arrived."""

    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class AttemptReport:
    """How one attempt ended, as evidence about the version of its agent.

    :param seconds: time from the dispatch to the result.
    """

    service: str
    version: str
    route: str
    agent_id: str
    result: AttemptResult
    seconds: float
    request_id: str = ""
    attempt: int = 0


AttemptProgress = AttemptStarted | AttemptFirstByte


class FleetState(Protocol):
    """What the router needs of the fleet state of its process."""

    @property
    def config(self) -> FleetConfig:
        """The configuration in force."""

    @property
    def members(self) -> MemberTable:
        """The membership table."""


class _Running:
    """One request that was submitted and has no outcome."""

    __slots__ = (
        "agent",
        "answer",
        "attempt",
        "call",
        "dispatched_at",
        "ended",
        "task",
    )

    def __init__(self, call: Call, answer: CallerAnswer) -> None:
        self.call = call
        self.answer = answer
        self.ended: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
        self.attempt: Attempt | None = None
        self.agent: Member | None = None
        self.dispatched_at = 0.0
        self.task: asyncio.Task | None = None


class RequestRunner:
    """Feeds events to the reducer and executes its effects."""

    __slots__ = (
        "_channels",
        "_clock",
        "_fleet",
        "_observers",
        "_pool_loads",
        "_progress_observers",
        "_reducer",
        "_running",
        "_tasks",
        "_telemetry",
    )

    def __init__(
        self,
        fleet: FleetState,
        channels: AgentChannels,
        clock: Clock,
        telemetry: Telemetry,
    ) -> None:
        self._fleet = fleet
        self._channels = channels
        self._clock = clock
        self._telemetry = telemetry
        self._reducer = RouterReducer(fleet.config, fleet.members)
        self._running: dict[str, _Running] = {}
        self._tasks: set[asyncio.Task] = set()
        self._pool_loads = PoolLoads()
        self._observers: list[Callable[[AttemptReport], None]] = []
        self._progress_observers: list[Callable[[AttemptProgress], None]] = []

    @property
    def stopping(self) -> bool:
        """True once a stop was requested."""
        return self._reducer.stopping

    def observe(self, observer: Callable[[AttemptReport], None]) -> None:
        """Calls ``observer`` with the result of each attempt."""
        self._observers.append(observer)

    def observe_progress(self, observer: Callable[[AttemptProgress], None]) -> None:
        """Calls ``observer`` with the start and the first byte of each attempt."""
        self._progress_observers.append(observer)

    async def run(self, call: Call, answer: CallerAnswer) -> None:
        """Runs a request to its end.

        Cancelling this tells the reducer that the caller left.
        """
        running = _Running(call, answer)
        self._running[call.request_id] = running
        try:
            self.post(call.arrived(self._clock.now()))
            outcome = await running.ended
        except asyncio.CancelledError:
            self.post(events.CallerLeft(self._clock.now(), call.request_id))
            raise
        finally:
            self._running.pop(call.request_id, None)
            self._telemetry.running(len(self._running))
        async with asyncio.timeout(END_TIMEOUT_S):
            await answer.end(outcome)

    def post(self, event: Event) -> None:
        """Applies an event and executes the effects."""
        for effect in self._reducer.apply(event):
            self._execute(effect)

    def tick(self) -> None:
        """Tells the reducer that time passed."""
        self.post(events.Tick(self._clock.now()))

    def _execute(self, effect: Effect) -> None:
        if isinstance(effect, Log):
            write_log(effect, log)
            return
        running = self._running.get(effect.request_id)
        if running is None:
            return
        if isinstance(effect, Dispatch):
            self._dispatch(running, effect)
        elif isinstance(effect, Resume):
            self._start(running, effect.attempt, running.attempt.resume)
        elif isinstance(effect, CancelAttempt):
            self._cancel(running)
        elif isinstance(effect, Answer) and not running.ended.done():
            running.ended.set_result(effect.outcome)

    def _dispatch(self, running: _Running, effect: Dispatch) -> None:
        now = self._clock.now()
        call = running.call
        agent = self._fleet.members.get(effect.agent_id)
        if agent is None:
            self._spawn(self._report_missing(call, effect.attempt))
            return
        message = call.to_message(now, effect.attempt)
        message.config_revision = self._fleet.config.revision
        self._add_observed_load(message, agent, now)
        running.answer.restart()
        running.agent = agent
        running.dispatched_at = now
        running.attempt = self._attempt(running, effect.attempt, agent, message)
        notice = AttemptStarted(
            call.request_id,
            effect.attempt,
            call.service,
            agent.version,
            call.route,
            call.request_class,
            agent.cold,
        )
        _notify(self._progress_observers, notice)
        self._start(running, effect.attempt, running.attempt.execute)

    def _attempt(
        self, running: _Running, number: int, agent: Member, message: pb.ExecuteRequest
    ) -> Attempt:
        call = running.call
        settings = self._fleet.config.settings(service=call.service)

        def accepted() -> None:
            now = self._clock.now()
            self.post(events.AttemptAccepted(now, call.request_id, number))

        def first_byte() -> None:
            notice = AttemptFirstByte(call.request_id, number)
            _notify(self._progress_observers, notice)

        return Attempt(
            self._channels,
            agent,
            message,
            running.answer,
            settings.get("limits.progress_timeout_s"),
            accepted,
            self._take_load,
            first_byte,
        )

    def _start(self, running: _Running, attempt: int, work: _Work) -> None:
        running.task = self._spawn(self._watch(running, attempt, work))

    async def _watch(self, running: _Running, attempt: int, work: _Work) -> None:
        """Awaits an attempt and turns its result into an event."""
        try:
            result = await work()
        except Exception as error:
            # Writing to a caller that left raises here; the request may have run.
            log.info(
                "attempt ended by an error",
                extra={"request_id": running.call.request_id, "error": repr(error)},
            )
            result = OutcomeUnknown("router_error", "the answer was not passed on")
        self._report(running, attempt, result)
        self.post(self._event(running, attempt, result))

    def _report(self, running: _Running, attempt: int, result: AttemptResult) -> None:
        call, agent = running.call, running.agent
        self._telemetry.attempt(call, type(result).__name__)
        if isinstance(result, NotRun):
            self._telemetry.refusal(call, result.reason.value)
        seconds = self._clock.now() - running.dispatched_at
        report = AttemptReport(
            call.service,
            agent.version,
            call.route,
            agent.id,
            result,
            seconds,
            call.request_id,
            attempt,
        )
        _notify(self._observers, report)

    def _event(
        self, running: _Running, attempt: int, result: AttemptResult
    ) -> events.AttemptEvent:
        now = self._clock.now()
        request_id = running.call.request_id
        delivered = running.answer.delivered
        if isinstance(result, ConnectFailed):
            outcome = NotRun(Reason.BACKEND_DOWN, 0, result.detail)
            return events.AttemptRefused(now, request_id, attempt, outcome, True)
        if isinstance(result, NotRun):
            return events.AttemptRefused(now, request_id, attempt, result)
        if isinstance(result, Silent):
            return events.AttemptSilent(now, request_id, attempt, delivered)
        if isinstance(result, Finished):
            return events.AttemptFinished(now, request_id, attempt, result)
        assert isinstance(result, Failed | OutcomeUnknown)
        return events.AttemptFailed(now, request_id, attempt, result, delivered)

    async def _report_missing(self, call: Call, attempt: int) -> None:
        outcome = NotRun(Reason.BACKEND_DOWN, 0, "the agent left the fleet")
        now = self._clock.now()
        self.post(events.AttemptRefused(now, call.request_id, attempt, outcome))

    def _cancel(self, running: _Running) -> None:
        if running.task is not None and running.task is not asyncio.current_task():
            running.task.cancel()

    def _spawn(self, work) -> asyncio.Task:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def keep_only(self, agent_ids: set[str]) -> None:
        """Gives up what is kept of agents that left the fleet."""
        self._channels.keep_only(agent_ids)
        self._pool_loads.keep_only(agent_ids)

    def _take_load(self, agent_id: str, load: Load, age_s: float) -> None:
        now = self._clock.now()
        self._fleet.members.update_load(now, agent_id, load)
        self._pool_loads.note(now, agent_id, load, age_s)

    def _add_observed_load(
        self, message: pb.ExecuteRequest, agent: Member, now: float
    ) -> None:
        members = self._fleet.members
        pool = available_agents(
            now, members, self._fleet.config, agent.service, agent.version
        )
        observed = self._pool_loads.observed(
            now, agent.id, pool, members.load_reported_at
        )
        if observed is not None:
            message.observed_load.CopyFrom(observed)


def _notify(observers, notice: AttemptProgress | AttemptReport) -> None:
    """Calls observers; their faults must not end a request."""
    for observer in observers:
        try:
            observer(notice)
        except Exception:
            log.exception("observer of attempts failed")
