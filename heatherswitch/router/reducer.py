"""Decides over the attempts of each request and its final outcome."""

import heapq
import logging
from collections import Counter

from heatherswitch.fleet.config import FleetConfig
from heatherswitch.fleet.members import Member, MemberTable
from heatherswitch.fleet.outcomes import (
    Failed,
    Finished,
    NotRun,
    Outcome,
    OutcomeUnknown,
    Reason,
)
from heatherswitch.fleet.placement import Placement, PlacementKey
from heatherswitch.router import events
from heatherswitch.router.effects import Answer, CancelAttempt, Dispatch, Resume
from heatherswitch.router.retries import AvoidedAgents, RetryBudget
from heatherswitch.statecore.reducer import Effect, Event, Log

# Times that one attempt is reattached after silence.
MAX_RESUMES = 2
# The agent enforces the deadline too and knows whether the request started, so
# its report is awaited for this long, in seconds.
DEADLINE_GRACE_S = 0.1
# Suggested pause before a request is repeated, in milliseconds.
RETRY_AFTER_MS = 500
# After this many refusals by agents of one version, those of another one are tried
# first: an unproven version refuses all but a few requests.
MAX_VERSION_REFUSALS = 2
# Refusals that only say which agent to ask.
DIRECTIONS = frozenset({Reason.NOT_OWNER, Reason.PREFIX_ELSEWHERE})
# Refusals that no other agent would answer differently.
FINAL_REASONS = frozenset({Reason.KEY_REUSED, Reason.STORE_UNAVAILABLE})


class _RequestState:
    """One request that has no outcome yet."""

    __slots__ = (
        "agent_id",
        "arrived",
        "attempt",
        "hint",
        "ran",
        "refusal",
        "resumes",
        "sent_on_by",
        "tried",
        "version",
        "version_refusals",
    )

    def __init__(self, arrived: events.RequestArrived) -> None:
        self.arrived = arrived
        self.attempt = 0
        self.agent_id = ""
        self.tried: set[str] = set()
        # Version of the last attempt, and refusals by version.
        self.version = ""
        self.version_refusals: Counter[str] = Counter()
        # Owner named by the last NOT_OWNER refusal.
        self.hint = ""
        self.resumes = 0
        self.refusal: NotRun | None = None
        # Agents that sent the request on, because the chat ran elsewhere last.
        self.sent_on_by: set[str] = set()
        # Outcome of an earlier attempt that ran or may have run.
        self.ran: Failed | OutcomeUnknown | None = None

    def return_to_senders(self) -> None:
        """Lets the agents be asked again that sent the request on."""
        self.tried -= self.sent_on_by
        self.sent_on_by.clear()

    def note_ran(self, outcome: Failed | OutcomeUnknown) -> None:
        """Keeps the outcome that says least: unknown outranks failed."""
        if not isinstance(self.ran, OutcomeUnknown):
            self.ran = outcome

    def note_refusal(self, refusal: NotRun) -> None:
        """Keeps the first refusal that says more than which agent to ask."""
        if self.refusal is None or self.refusal.reason in DIRECTIONS:
            self.refusal = refusal


class RouterReducer:
    """The router's pure reducer.

    :param config: configuration in force; the shell keeps it up to date.
    :param members: membership table; the shell keeps it up to date.
    """

    __slots__ = (
        "_avoided",
        "_budget",
        "_config",
        "_deadlines",
        "_handlers",
        "_placement",
        "_requests",
        "_serve_until",
    )

    def __init__(self, config: FleetConfig, members: MemberTable) -> None:
        self._config = config
        self._placement = Placement(config, members)
        self._avoided = AvoidedAgents()
        self._budget = RetryBudget()
        self._requests: dict[str, _RequestState] = {}
        self._deadlines: list[tuple[float, str]] = []
        self._serve_until: float | None = None
        self._handlers = {
            events.RequestArrived: self._on_arrived,
            events.AttemptAccepted: self._on_accepted,
            events.AttemptRefused: self._on_refused,
            events.AttemptFailed: self._on_failed,
            events.AttemptSilent: self._on_silent,
            events.AttemptFinished: self._on_finished,
            events.CallerLeft: self._on_caller_left,
            events.VersionBlocked: self._on_version_cut,
            events.Tick: self._on_tick,
            events.StopRequested: self._on_stop,
        }

    @property
    def stopping(self) -> bool:
        """True once a stop was requested."""
        return self._serve_until is not None

    @property
    def running(self) -> int:
        """Requests without an outcome."""
        return len(self._requests)

    def apply(self, event: Event) -> list[Effect]:
        """Changes the state and returns what must be done.

        Candidates are ranked anew for each attempt, so ``MembersChanged`` and
        ``ConfigChanged`` need no work here.
        """
        handler = self._handlers.get(type(event))
        if handler is None:
            return []
        if isinstance(event, events.AttemptEvent):
            state = self._requests.get(event.request_id)
            if state is None or state.attempt != event.attempt:
                # A late event of an attempt that was given up.
                return []
            return handler(event, state)
        return handler(event)

    def _on_arrived(self, event: events.RequestArrived) -> list[Effect]:
        state = _RequestState(event)
        self._requests[event.request_id] = state
        if self._serve_until is not None and event.now >= self._serve_until:
            refusal = NotRun(Reason.NOT_READY, RETRY_AFTER_MS, "the router is stopping")
            return self._end(state, refusal)
        self._budget.count_request(event.now)
        entry = (event.deadline_at + DEADLINE_GRACE_S, event.request_id)
        heapq.heappush(self._deadlines, entry)
        return self._try_next(event.now, state)

    def _on_accepted(self, event, state: _RequestState) -> list[Effect]:
        self._avoided.reached(state.agent_id)
        return []

    def _on_refused(self, event, state: _RequestState) -> list[Effect]:
        refusal: NotRun = event.outcome
        if event.unreachable:
            self._avoided.unreachable(event.now, state.agent_id)
        else:
            self._avoided.refused(event.now, state.agent_id, refusal.reason)
        state.note_refusal(refusal)
        if refusal.reason is Reason.PREFIX_ELSEWHERE:
            state.sent_on_by.add(state.agent_id)
        else:
            state.version_refusals[state.version] += 1
            state.return_to_senders()
        line = self._log(
            "attempt refused",
            state,
            reason=refusal.reason.value,
            unreachable=event.unreachable,
        )
        if refusal.reason in FINAL_REASONS:
            return [line, *self._end(state, state.ran or refusal)]
        if refusal.reason is Reason.NOT_OWNER and refusal.owner != state.agent_id:
            state.hint = refusal.owner
        return [line, *self._try_next(event.now, state)]

    def _on_failed(self, event, state: _RequestState) -> list[Effect]:
        state.note_ran(event.outcome)
        line = self._log(
            "attempt failed", state, code=event.outcome.code, delivered=event.delivered
        )
        if event.delivered or not self._may_retry(event.now, state):
            return [line, *self._end(state, state.ran)]
        return [line, *self._try_next(event.now, state)]

    def _on_silent(self, event, state: _RequestState) -> list[Effect]:
        if state.resumes < MAX_RESUMES:
            state.resumes += 1
            return [
                self._log("attempt silent, resuming", state),
                Resume(event.request_id, event.attempt, state.agent_id),
            ]
        self._avoided.unreachable(event.now, state.agent_id)
        outcome = OutcomeUnknown("silent", "the agent stopped answering")
        failed = events.AttemptFailed(
            event.now, event.request_id, event.attempt, outcome, event.delivered
        )
        cancel = CancelAttempt(event.request_id, event.attempt)
        return [cancel, *self._on_failed(failed, state)]

    def _on_finished(self, event, state: _RequestState) -> list[Effect]:
        return self._end(state, event.outcome)

    def _on_caller_left(self, event: events.CallerLeft) -> list[Effect]:
        state = self._requests.pop(event.request_id, None)
        if state is None:
            return []
        effects: list[Effect] = [self._log("caller left", state)]
        if state.attempt:
            effects.append(CancelAttempt(event.request_id, state.attempt))
        return effects

    def _on_version_cut(self, event: events.VersionBlocked) -> list[Effect]:
        self._placement.cut_version(event.service, event.version, event.until)
        fields = {"service": event.service, "version": event.version}
        if event.until <= event.now:
            return [Log("cut of a version ended", fields)]
        fields["reason"] = event.reason
        return [Log("version cut by this router", fields, logging.WARNING)]

    def _on_tick(self, event: events.Tick) -> list[Effect]:
        self._avoided.expire(event.now)
        effects: list[Effect] = []
        while self._deadlines and self._deadlines[0][0] <= event.now:
            _, request_id = heapq.heappop(self._deadlines)
            state = self._requests.get(request_id)
            if state is not None:
                state.note_ran(OutcomeUnknown("deadline", "the deadline passed"))
                effects.append(CancelAttempt(request_id, state.attempt))
                effects += self._end(state, state.ran)
        return effects

    def _on_stop(self, event: events.StopRequested) -> list[Effect]:
        self._serve_until = event.serve_until
        return [Log("graceful shutdown started", {"running": self.running})]

    def _may_retry(self, now: float, state: _RequestState) -> bool:
        if not state.arrived.idempotent:
            return False
        settings = self._config.settings(service=state.arrived.service)
        return self._budget.take(now, settings.get("routing.retry_budget"))

    def _try_next(self, now: float, state: _RequestState) -> list[Effect]:
        """Dispatches the next attempt, or ends the request without one."""
        arrived = state.arrived
        settings = self._config.settings(service=arrived.service)
        if now >= arrived.deadline_at:
            late = NotRun(Reason.DEADLINE, 0, "the deadline passed before a start")
            return self._end(state, state.ran or late)
        agent = None
        if state.attempt < settings.get("routing.max_attempts"):
            agent = self._pick(now, state)
            if agent is None and state.sent_on_by:
                state.return_to_senders()
                agent = self._pick(now, state)
        if agent is None:
            nobody = NotRun(
                Reason.BACKEND_DOWN, RETRY_AFTER_MS, "no agent is available"
            )
            return self._end(state, state.ran or state.refusal or nobody)
        state.attempt += 1
        state.resumes = 0
        state.agent_id = agent.id
        state.version = agent.version
        state.tried.add(agent.id)
        return [Dispatch(arrived.request_id, state.attempt, agent.id)]

    def _pick(self, now: float, state: _RequestState) -> Member | None:
        arrived = state.arrived
        owner = ""
        if not arrived.idempotent and arrived.partition != events.NO_PARTITION:
            owner = self._config.head(arrived.service, arrived.partition).owner
        hint, state.hint = state.hint, ""
        if self._avoided.is_unreachable(now, hint):
            # Agents name a lost owner until the partition is taken over.
            hint = ""
        key = PlacementKey(
            arrived.service,
            arrived.workspace,
            arrived.chat_key,
            hint or owner,
            arrived.request_id,
        )
        candidates = self._placement.candidates(
            now, key, lambda agent_id: self._avoided.avoids(now, agent_id)
        )
        if arrived.idempotent:
            refusals = state.version_refusals
            candidates.sort(key=lambda m: refusals[m.version] >= MAX_VERSION_REFUSALS)
        for member in candidates:
            # A hint is followed even to an agent that refused before, because it
            # may have become the owner since.
            if member.id == hint or member.id not in state.tried:
                return member
        return None

    def _end(self, state: _RequestState, outcome: Outcome) -> list[Effect]:
        request_id = state.arrived.request_id
        self._requests.pop(request_id, None)
        effects: list[Effect] = [Answer(request_id, outcome)]
        if isinstance(outcome, Finished):
            effects.append(
                self._log(
                    "request answered",
                    state,
                    status=outcome.status,
                    prompt_tokens=outcome.prompt_tokens,
                    cached_tokens=outcome.cached_tokens,
                )
            )
        else:
            detail = getattr(outcome, "reason", None)
            cause = detail.value if detail else outcome.code
            name = type(outcome).__name__
            effects.append(
                self._log("request not answered", state, outcome=name, cause=cause)
            )
        return effects

    def _log(self, message: str, state: _RequestState, **fields) -> Log:
        values = {
            "request_id": state.arrived.request_id,
            "service": state.arrived.service,
            "workspace": state.arrived.workspace,
            "attempt": state.attempt,
            "agent": state.agent_id,
        }
        return Log(message, values | fields)
