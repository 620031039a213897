"""Converts between protocol messages and the agent's dataclasses."""

import time

from heatherswitch.agent.events import ExecuteReceived, ObservedLoad
from heatherswitch.agent.response_buffer import CompleteResponse, Outcome
from heatherswitch.fleet.claims import body_fingerprint
from heatherswitch.fleet.members import Load
from heatherswitch.fleet.outcomes import NotRun, OutcomeUnknown
from heatherswitch.protocol import heatherswitch_pb2 as pb


def execute_received(
    now: float, job_id: str, request: pb.ExecuteRequest
) -> ExecuteReceived:
    """Converts a request to the reducer's event."""
    observed = None
    if request.HasField("observed_load"):
        observed_load = request.observed_load
        observed = ObservedLoad(
            observed_load.service,
            observed_load.version,
            observed_load.total,
            observed_load.agents,
            observed_load.age_ms / 1000,
            observed_load.own,
        )
    return ExecuteReceived(
        now,
        job_id=job_id,
        workspace=request.workspace,
        request_class=request.request_class,
        service=request.service,
        version=request.version,
        agent_id=request.agent_id,
        incarnation=request.incarnation,
        config_revision=request.config_revision,
        idempotent=request.idempotent,
        idempotency_key=request.idempotency_key,
        fingerprint=body_fingerprint(request.method, request.target, request.body),
        deadline_s=request.deadline_ms / 1000,
        priority=request.priority,
        observed=observed,
        attempt=request.attempt,
        chat_key=request.chat_key,
    )


# Minimum interval between loads in the head and chunk events of a response, in seconds.
# Routers use loads up to 0.5 s old, and a load in every event would cost both sides
# more than the rest of the event.
LOAD_INTERVAL_S = 0.1


class EventBuilder:
    """Builds the events of one request with its id and the agent's current load.

    :param load: returns the current load.
    """

    __slots__ = ("_agent_id", "_load", "_load_sent_at", "_request_id")

    def __init__(self, request_id: str, agent_id: str, load) -> None:
        self._request_id = request_id
        self._agent_id = agent_id
        self._load = load
        self._load_sent_at = float("-inf")

    @property
    def request_id(self) -> str:
        """Id of the request that the events belong to."""
        return self._request_id

    def _event_with_periodic_load(self, **event) -> pb.ExecuteEvent:
        if time.monotonic() - self._load_sent_at >= LOAD_INTERVAL_S:
            return self._event(**event)
        return pb.ExecuteEvent(request_id=self._request_id, **event)

    def _event(self, **event) -> pb.ExecuteEvent:
        self._load_sent_at = time.monotonic()
        load: Load = self._load()
        message = pb.AgentLoad(
            agent_id=self._agent_id,
            running=load.running,
            queued=load.queued,
            limit=load.limit,
        )
        return pb.ExecuteEvent(request_id=self._request_id, load=message, **event)

    def accepted(self, incarnation: int, replayed: bool) -> pb.ExecuteEvent:
        """Builds the first event of a request that was not refused.

        :param replayed: True when the response is a recorded one.
        """
        return self._event(
            accepted=pb.Accepted(incarnation=incarnation, replayed=replayed)
        )

    def head(self, status: int, headers) -> pb.ExecuteEvent:
        """Builds the event with status and headers of the response."""
        pairs = [pb.Header(name=name, value=value) for name, value in headers]
        return self._event_with_periodic_load(
            head=pb.ResponseHead(status=status, headers=pairs)
        )

    def chunk(self, offset: int, data: bytes) -> pb.ExecuteEvent:
        """Builds the event with a part of the body.

        :param offset: position of ``data`` in the body, in bytes.
        """
        return self._event_with_periodic_load(chunk=pb.Chunk(offset=offset, data=data))

    def ping(self) -> pb.ExecuteEvent:
        """Builds the event that the request is alive but has made no progress."""
        return self._event(ping=pb.Ping())

    def failed(self, outcome: int, code: str, detail: str = "") -> pb.ExecuteEvent:
        """Builds the event that there is no complete response."""
        return self._event(failed=pb.Failed(outcome=outcome, code=code, detail=detail))

    def final(self, outcome: Outcome, accepted: bool) -> pb.ExecuteEvent:
        """Builds the last event of a request.

        :param accepted: True when ``accepted`` was sent before. ``refused`` may only be
            the first event, so a refusal then becomes ``failed`` with ``NOT_RUN``.
        """
        match outcome:
            case CompleteResponse():
                return self._done_event(outcome)
            case NotRun() if accepted:
                code = outcome.reason.value.lower()
                return self.failed(pb.NOT_RUN, code, outcome.detail)
            case NotRun():
                return self.refused(outcome)
            case OutcomeUnknown():
                return self.failed(pb.OUTCOME_UNKNOWN, outcome.code, outcome.detail)
        return self.failed(pb.FAILED, outcome.code, outcome.detail)

    def refused(self, refusal: NotRun) -> pb.ExecuteEvent:
        """Builds the event that the request was not run."""
        return self._event(
            refused=pb.Refused(
                reason=pb.RefusalReason.Value(refusal.reason.value),
                retry_after_ms=refusal.retry_after_ms,
                detail=refusal.detail,
                owner=refusal.owner,
            )
        )

    def _done_event(self, outcome: CompleteResponse) -> pb.ExecuteEvent:
        return self._event(
            done=pb.Done(
                length=outcome.length,
                checksum=outcome.checksum,
                prompt_tokens=outcome.usage.prompt_tokens,
                cached_tokens=outcome.usage.cached_tokens,
                completion_tokens=outcome.usage.completion_tokens,
            )
        )
