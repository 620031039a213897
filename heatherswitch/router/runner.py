"""Connects the router's reducer to the network: posts events and executes effects."""

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
from heatherswitch.router.caller_response import CallerResponse
from heatherswitch.router.calls import Call
from heatherswitch.router.channels import AgentChannels
from heatherswitch.router.dispatch import Attempt, AttemptResult, ConnectFailed, Silent
from heatherswitch.router.effects import (
    CancelAttempt,
    CompleteRequest,
    Dispatch,
    Resume,
)
from heatherswitch.router.pool_load import ReportedLoads
from heatherswitch.router.reducer import RouterReducer
from heatherswitch.router.telemetry import Telemetry
from heatherswitch.statecore.reducer import Effect, Event, Log, write_log
from heatherswitch.util.clock import Clock

log = logging.getLogger("heatherswitch.router")

# A caller that does not read the end of its response for this long is disconnected.
RESPONSE_END_TIMEOUT_S = 30.0


_AttemptCall = Callable[[], Awaitable[AttemptResult]]


@dataclass(frozen=True, slots=True)
class AttemptStarted:
    """An attempt was dispatched.

    :param cold: the agent's latest record says that its backend server is in cold
        start.
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
    """The response head of an attempt arrived."""

    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class AttemptReport:
    """The result of one attempt, as evidence about the version of its agent.

    :param seconds: duration from dispatch to result.
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
    """The part of ``exchange.node.FleetNode`` that the runner needs."""

    @property
    def config(self) -> FleetConfig:
        """The current configuration."""

    @property
    def members(self) -> MemberTable:
        """The membership table."""


class _RunningRequest:
    """A request in progress and its current attempt."""

    __slots__ = (
        "agent",
        "attempt",
        "call",
        "completion",
        "dispatched_at",
        "response",
        "task",
    )

    def __init__(self, call: Call, response: CallerResponse) -> None:
        self.call = call
        self.response = response
        self.completion: asyncio.Future[Outcome] = (
            asyncio.get_running_loop().create_future()
        )
        self.attempt: Attempt | None = None
        self.agent: Member | None = None
        self.dispatched_at = 0.0
        self.task: asyncio.Task | None = None


class RequestRunner:
    """Runs requests: posts events to the reducer and executes its effects."""

    __slots__ = (
        "_channels",
        "_clock",
        "_fleet",
        "_progress_observers",
        "_reducer",
        "_reported_loads",
        "_requests",
        "_result_observers",
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
        self._requests: dict[str, _RunningRequest] = {}
        self._tasks: set[asyncio.Task] = set()
        self._reported_loads = ReportedLoads()
        self._result_observers: list[Callable[[AttemptReport], None]] = []
        self._progress_observers: list[Callable[[AttemptProgress], None]] = []

    @property
    def stopping(self) -> bool:
        """True once a shutdown was requested."""
        return self._reducer.stopping

    def add_result_observer(self, observer: Callable[[AttemptReport], None]) -> None:
        """Registers a callback for the result of each attempt."""
        self._result_observers.append(observer)

    def add_progress_observer(
        self, observer: Callable[[AttemptProgress], None]
    ) -> None:
        """Registers a callback for the start and the first byte of each attempt."""
        self._progress_observers.append(observer)

    async def run(self, call: Call, response: CallerResponse) -> None:
        """Runs a request until its response is complete.

        If this task is cancelled, the reducer is told that the caller disconnected.

        :raises TimeoutError: if the caller does not read the end of its response.
        """
        running = _RunningRequest(call, response)
        self._requests[call.request_id] = running
        try:
            self.post(call.arrived(self._clock.now()))
            outcome = await running.completion
        except asyncio.CancelledError:
            self.post(events.CallerDisconnected(self._clock.now(), call.request_id))
            raise
        finally:
            self._requests.pop(call.request_id, None)
            self._telemetry.set_running(len(self._requests))
        async with asyncio.timeout(RESPONSE_END_TIMEOUT_S):
            await response.finish(outcome)

    def post(self, event: Event) -> None:
        """Applies an event and executes its effects."""
        for effect in self._reducer.apply(event):
            self._execute(effect)

    def tick(self) -> None:
        """Posts a tick, so that deadlines take effect."""
        self.post(events.Tick(self._clock.now()))

    def _execute(self, effect: Effect) -> None:
        if isinstance(effect, Log):
            write_log(effect, log)
            return
        running = self._requests.get(effect.request_id)
        if running is None:
            return
        if isinstance(effect, Dispatch):
            self._dispatch(running, effect)
        elif isinstance(effect, Resume):
            self._start(running, effect.attempt, running.attempt.resume)
        elif isinstance(effect, CancelAttempt):
            self._cancel(running)
        elif isinstance(effect, CompleteRequest) and not running.completion.done():
            running.completion.set_result(effect.outcome)

    def _dispatch(self, running: _RunningRequest, effect: Dispatch) -> None:
        now = self._clock.now()
        call = running.call
        agent = self._fleet.members.get(effect.agent_id)
        if agent is None:
            self._spawn(self._refuse_missing_agent(call, effect.attempt))
            return
        message = call.to_message(now, effect.attempt)
        message.config_revision = self._fleet.config.revision
        self._add_observed_load(message, agent, now)
        running.response.reset()
        running.agent = agent
        running.dispatched_at = now
        running.attempt = self._create_attempt(running, effect.attempt, agent, message)
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

    def _create_attempt(
        self,
        running: _RunningRequest,
        number: int,
        agent: Member,
        message: pb.ExecuteRequest,
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
            running.response,
            settings.get("limits.progress_timeout_s"),
            accepted,
            self._record_load,
            first_byte,
        )

    def _start(
        self, running: _RunningRequest, attempt: int, work: _AttemptCall
    ) -> None:
        running.task = self._spawn(self._await_attempt(running, attempt, work))

    async def _await_attempt(
        self, running: _RunningRequest, attempt: int, work: _AttemptCall
    ) -> None:
        """Awaits an attempt, reports its result and posts it as an event."""
        try:
            result = await work()
        except Exception as error:
            # For example a write to a caller that disconnected. The request may have
            # run.
            log.info(
                "attempt aborted by an exception",
                extra={"request_id": running.call.request_id, "error": repr(error)},
            )
            result = OutcomeUnknown("router_error", "the answer was not passed on")
        self._report_result(running, attempt, result)
        self.post(self._event_of_result(running, attempt, result))

    def _report_result(
        self, running: _RunningRequest, attempt: int, result: AttemptResult
    ) -> None:
        call, agent = running.call, running.agent
        self._telemetry.count_attempt(call, type(result).__name__)
        if isinstance(result, NotRun):
            self._telemetry.count_refusal(call, result.reason.value)
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
        _notify(self._result_observers, report)

    def _event_of_result(
        self, running: _RunningRequest, attempt: int, result: AttemptResult
    ) -> events.AttemptEvent:
        now = self._clock.now()
        request_id = running.call.request_id
        delivered = running.response.delivered
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

    async def _refuse_missing_agent(self, call: Call, attempt: int) -> None:
        outcome = NotRun(Reason.BACKEND_DOWN, 0, "the agent left the fleet")
        now = self._clock.now()
        self.post(events.AttemptRefused(now, call.request_id, attempt, outcome))

    def _cancel(self, running: _RunningRequest) -> None:
        if running.task is not None and running.task is not asyncio.current_task():
            running.task.cancel()

    def _spawn(self, work) -> asyncio.Task:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def keep_only(self, agent_ids: set[str]) -> None:
        """Drops channels and loads of agents that are not in ``agent_ids``."""
        self._channels.keep_only(agent_ids)
        self._reported_loads.keep_only(agent_ids)

    def _record_load(self, agent_id: str, load: Load, age_s: float) -> None:
        now = self._clock.now()
        self._fleet.members.update_load(now, agent_id, load)
        self._reported_loads.record(now, agent_id, load, age_s)

    def _add_observed_load(
        self, message: pb.ExecuteRequest, agent: Member, now: float
    ) -> None:
        members = self._fleet.members
        pool = available_agents(
            now, members, self._fleet.config, agent.service, agent.version
        )
        observed = self._reported_loads.pool_load(
            now, agent.id, pool, members.load_reported_at
        )
        if observed is not None:
            message.observed_load.CopyFrom(observed)


def _notify(observers, notice: AttemptProgress | AttemptReport) -> None:
    """Calls observers; an exception in one of them must not end the request."""
    for observer in observers:
        try:
            observer(notice)
        except Exception:
            log.exception("attempt observer raised an exception")
