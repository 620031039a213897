"""gRPC service ``Agent``: sends the events of an answer to routers."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator

import grpc

from heatherswitch.agent.answers import AnswerBuffer, Reader
from heatherswitch.agent.events import CallerLeft, CallerReturned
from heatherswitch.agent.messages import EventBuilder
from heatherswitch.agent.runner import AgentRunner, RequestIdInUse
from heatherswitch.fleet.outcomes import NotRun, OutcomeUnknown, Reason
from heatherswitch.protocol import heatherswitch_pb2 as pb
from heatherswitch.protocol import heatherswitch_pb2_grpc as pb_grpc

# A router receives an event at least this often, in seconds.
PING_INTERVAL_S = 1.0
# Body bytes in one chunk event.
CHUNK_BYTES = 32 * 1024


class AgentService(pb_grpc.AgentServicer):
    """Serves ``Execute`` and ``Resume``."""

    def __init__(self, runner: AgentRunner, agent_id: str, incarnation: int, now):
        self._runner = runner
        self._agent_id = agent_id
        self._incarnation = incarnation
        # Returns the time in seconds.
        self._now = now

    async def Execute(  # noqa: N802 (name from the protocol)
        self, request: pb.ExecuteRequest, context: grpc.aio.ServicerContext
    ) -> AsyncIterator[pb.ExecuteEvent]:
        """Runs one request."""
        if not request.request_id or not request.workspace or not request.method:
            detail = "request_id, workspace and method are required"
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, detail)
        events = self._events_for(request.request_id)
        try:
            answer = self._runner.execute(request)
        except RequestIdInUse:
            detail = "another running request has this id"
            yield events.refused(NotRun(Reason.NOT_READY, 0, detail))
            return
        stream = AnswerStream(self, events, answer, offset=0)
        async with contextlib.aclosing(stream.run()) as events_out:
            async for event in events_out:
                yield event

    async def Resume(  # noqa: N802 (name from the protocol)
        self, request: pb.ResumeRequest, context: grpc.aio.ServicerContext
    ) -> AsyncIterator[pb.ExecuteEvent]:
        """Sends the rest of an answer from a body offset."""
        events = self._events_for(request.request_id)
        problem = ""
        answer = None
        if request.incarnation not in (0, self._incarnation):
            problem = "other_incarnation"
        else:
            # A workspace is part of the name, so it only finds its own requests.
            answer = self._runner.find(request.workspace, request.request_id)
            problem = _resume_problem(answer, request.offset)
        if problem:
            yield events.ending(OutcomeUnknown(problem), accepted=False)
            return
        stream = AnswerStream(self, events, answer, request.offset)
        async with contextlib.aclosing(stream.run()) as events_out:
            async for event in events_out:
                yield event

    def accepted(self, events: EventBuilder, answer: AnswerBuffer) -> pb.ExecuteEvent:
        """Builds the first event."""
        return events.accepted(self._incarnation, answer.replayed)

    def caller_returned(self, answer: AnswerBuffer) -> None:
        """Tells the reducer that a router reads an answer."""
        self._runner.post(CallerReturned(self._now(), answer.work_id))

    def caller_left(self, answer: AnswerBuffer) -> None:
        """Tells the reducer that no router reads an answer."""
        if not answer.attached and answer.ending is None:
            self._runner.post(CallerLeft(self._now(), answer.work_id))

    def _events_for(self, request_id: str) -> EventBuilder:
        load = self._runner.reducer
        return EventBuilder(request_id, self._agent_id, lambda: load.load)


def _resume_problem(answer: AnswerBuffer | None, offset: int) -> str:
    if answer is None:
        return "unknown_request"
    while answer.linked is not None:
        answer = answer.linked
    if offset > answer.length:
        return "offset_beyond_answer"
    if offset < answer.base:
        return "answer_not_retained"
    return ""


class AnswerStream:
    """The events of one answer for one router."""

    __slots__ = (
        "_accepted",
        "_answer",
        "_events",
        "_head_sent",
        "_reader",
        "_service",
        "_waited_since",
    )

    def __init__(
        self,
        service: AgentService,
        events: EventBuilder,
        answer: AnswerBuffer,
        offset: int,
    ) -> None:
        self._service = service
        self._events = events
        self._answer = answer
        self._reader: Reader = answer.attach(events.request_id, offset)
        self._accepted = False
        # A router at an offset above 0 has received the head.
        self._head_sent = offset > 0
        self._waited_since = time.monotonic()

    async def run(self) -> AsyncIterator[pb.ExecuteEvent]:
        """Yields events until the answer ends or the router leaves."""
        self._service.caller_returned(self._answer)
        try:
            while True:
                if self._reader.replaced:
                    return
                changed = self._answer.changed
                event = self._next()
                if event is not None:
                    self._waited_since = time.monotonic()
                    yield event
                    if event.WhichOneof("event") in ("done", "refused", "failed"):
                        return
                elif not await self._wait(changed):
                    yield self._idle()
        finally:
            self._answer.detach(self._reader)
            self._service.caller_left(self._answer)

    async def _wait(self, changed: asyncio.Event) -> bool:
        """Waits for a change; returns False when it is time for a ping."""
        left_s = self._waited_since + PING_INTERVAL_S - time.monotonic()
        try:
            # asyncio.timeout needs no task of its own, unlike wait_for.
            async with asyncio.timeout(max(0.0, left_s)):
                await changed.wait()
        except TimeoutError:
            self._waited_since = time.monotonic()
            return False
        return True

    def _idle(self) -> pb.ExecuteEvent:
        if self._accepted:
            return self._events.ping()
        # Waiting work is accepted at the first interval; a refusal after that
        # is sent as failed with the outcome "not run".
        return self._accept()

    def _accept(self) -> pb.ExecuteEvent:
        self._accepted = True
        return self._service.accepted(self._events, self._answer)

    def _next(self) -> pb.ExecuteEvent | None:
        self._follow_link()
        answer, reader = self._answer, self._reader
        if not self._accepted:
            if answer.started:
                return self._accept()
            if answer.ending is not None:
                return self._events.ending(answer.ending, accepted=False)
            return None
        if answer.head is not None and not self._head_sent:
            self._head_sent = True
            return self._events.head(*answer.head)
        if reader.offset < answer.base:
            unknown = OutcomeUnknown("answer_not_retained")
            return self._events.ending(unknown, accepted=True)
        if reader.offset < answer.length:
            offset = reader.offset
            return self._events.chunk(offset, answer.take(reader, CHUNK_BYTES))
        if answer.ending is not None:
            return self._events.ending(answer.ending, accepted=True)
        return None

    def _follow_link(self) -> None:
        while self._answer.linked is not None:
            other = self._answer.linked
            self._answer.detach(self._reader)
            self._answer = other
            self._reader = other.attach(self._events.request_id, self._reader.offset)
            self._service.caller_returned(other)
