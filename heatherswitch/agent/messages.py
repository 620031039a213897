"""Builds the protocol messages of the agent from its dataclasses and back."""

import time

from heatherswitch.agent.answers import Ending, WholeAnswer
from heatherswitch.agent.events import ExecuteReceived, ObservedLoad
from heatherswitch.fleet.claims import body_fingerprint
from heatherswitch.fleet.members import Load
from heatherswitch.fleet.outcomes import NotRun, OutcomeUnknown
from heatherswitch.protocol import heatherswitch_pb2 as pb


def execute_received(
    now: float, work_id: str, request: pb.ExecuteRequest
) -> ExecuteReceived:
    """Reads a request into the reducer's event."""
    observed = None
    if request.HasField("observed_load"):
        seen = request.observed_load
        observed = ObservedLoad(
            seen.service,
            seen.version,
            seen.total,
            seen.agents,
            seen.age_ms / 1000,
            seen.own,
        )
    return ExecuteReceived(
        now,
        work_id=work_id,
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


# Parts of an answer carry the load at most this often, in seconds. Routers use
# loads up to 0.5 s old, and a load in each part of a stream costs both sides more
# than the part itself.
LOAD_EVERY_S = 0.1


class EventBuilder:
    """Builds the events of one attempt with its request id and the present load."""

    __slots__ = ("_agent_id", "_load", "_load_sent_at", "_request_id")

    def __init__(self, request_id: str, agent_id: str, load) -> None:
        self._request_id = request_id
        self._agent_id = agent_id
        # Returns the present load.
        self._load = load
        self._load_sent_at = float("-inf")

    @property
    def request_id(self) -> str:
        """Id of the request that the events belong to."""
        return self._request_id

    def _part(self, **event) -> pb.ExecuteEvent:
        if time.monotonic() - self._load_sent_at >= LOAD_EVERY_S:
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
        """The attempt was taken."""
        return self._event(
            accepted=pb.Accepted(incarnation=incarnation, replayed=replayed)
        )

    def head(self, status: int, headers) -> pb.ExecuteEvent:
        """Status and headers of the answer."""
        pairs = [pb.Header(name=name, value=value) for name, value in headers]
        return self._part(head=pb.ResponseHead(status=status, headers=pairs))

    def chunk(self, offset: int, data: bytes) -> pb.ExecuteEvent:
        """A part of the body."""
        return self._part(chunk=pb.Chunk(offset=offset, data=data))

    def ping(self) -> pb.ExecuteEvent:
        """The attempt is alive and without progress."""
        return self._event(ping=pb.Ping())

    def failed(self, outcome: int, code: str, detail: str = "") -> pb.ExecuteEvent:
        """There is no whole answer."""
        return self._event(failed=pb.Failed(outcome=outcome, code=code, detail=detail))

    def ending(self, ending: Ending, accepted: bool) -> pb.ExecuteEvent:
        """The last event of an attempt.

        :param accepted: True when ``accepted`` was sent. A refusal must be the
            first event, so it becomes ``failed`` with the outcome ``NOT_RUN``.
        """
        match ending:
            case WholeAnswer():
                return self._done(ending)
            case NotRun() if accepted:
                code = ending.reason.value.lower()
                return self.failed(pb.NOT_RUN, code, ending.detail)
            case NotRun():
                return self.refused(ending)
            case OutcomeUnknown():
                return self.failed(pb.OUTCOME_UNKNOWN, ending.code, ending.detail)
        return self.failed(pb.FAILED, ending.code, ending.detail)

    def refused(self, refusal: NotRun) -> pb.ExecuteEvent:
        """The attempt was not run."""
        return self._event(
            refused=pb.Refused(
                reason=pb.RefusalReason.Value(refusal.reason.value),
                retry_after_ms=refusal.retry_after_ms,
                detail=refusal.detail,
                owner=refusal.owner,
            )
        )

    def _done(self, ending: WholeAnswer) -> pb.ExecuteEvent:
        return self._event(
            done=pb.Done(
                length=ending.length,
                checksum=ending.checksum,
                prompt_tokens=ending.usage.prompt_tokens,
                cached_tokens=ending.usage.cached_tokens,
                completion_tokens=ending.usage.completion_tokens,
            )
        )
