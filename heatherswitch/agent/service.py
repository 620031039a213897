"""gRPC service ``Agent``, which streams responses to routers."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator

import grpc

from heatherswitch.agent.events import CallerDisconnected, CallerReconnected
from heatherswitch.agent.messages import EventBuilder
from heatherswitch.agent.response_buffer import Reader, ResponseBuffer
from heatherswitch.agent.runner import AgentRunner, RequestIdInUse
from heatherswitch.fleet.outcomes import NotRun, OutcomeUnknown, Reason
from heatherswitch.protocol import heatherswitch_pb2 as pb
from heatherswitch.protocol import heatherswitch_pb2_grpc as pb_grpc

# A router receives an event at least once in this interval, in seconds.
PING_INTERVAL_S = 1.0
# Maximum number of body bytes in one chunk event.
MAX_CHUNK_BYTES = 32 * 1024


class AgentService(pb_grpc.AgentServicer):
    """Implements ``Execute`` and ``Resume``.

    :param now: returns the monotonic time in seconds.
    """

    def __init__(self, runner: AgentRunner, agent_id: str, incarnation: int, now):
        self._runner = runner
        self._agent_id = agent_id
        self._incarnation = incarnation
        self._now = now

    async def Execute(  # noqa: N802 (name from the protocol)
        self, request: pb.ExecuteRequest, context: grpc.aio.ServicerContext
    ) -> AsyncIterator[pb.ExecuteEvent]:
        """Runs a request and streams the events of its response."""
        if not request.request_id or not request.workspace or not request.method:
            detail = "request_id, workspace and method are required"
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, detail)
        builder = self._event_builder(request.request_id)
        try:
            response = self._runner.execute(request)
        except RequestIdInUse:
            detail = "another running request has this id"
            yield builder.refused(NotRun(Reason.NOT_READY, 0, detail))
            return
        stream = ResponseStream(self, builder, response, offset=0)
        async with contextlib.aclosing(stream.run()) as events:
            async for event in events:
                yield event

    async def Resume(  # noqa: N802 (name from the protocol)
        self, request: pb.ResumeRequest, context: grpc.aio.ServicerContext
    ) -> AsyncIterator[pb.ExecuteEvent]:
        """Streams the rest of a response from a body offset."""
        builder = self._event_builder(request.request_id)
        error_code = ""
        response = None
        if request.incarnation not in (0, self._incarnation):
            error_code = "other_incarnation"
        else:
            # The lookup is per workspace, so none can read another one's response.
            response = self._runner.find(request.workspace, request.request_id)
            error_code = _resume_error_code(response, request.offset)
        if error_code:
            yield builder.final(OutcomeUnknown(error_code), accepted=False)
            return
        stream = ResponseStream(self, builder, response, request.offset)
        async with contextlib.aclosing(stream.run()) as events:
            async for event in events:
                yield event

    def accepted(
        self, builder: EventBuilder, response: ResponseBuffer
    ) -> pb.ExecuteEvent:
        """Builds the ``accepted`` event of a response."""
        return builder.accepted(self._incarnation, response.replayed)

    def caller_reconnected(self, response: ResponseBuffer) -> None:
        """Tells the reducer that a router reads a response."""
        self._runner.post(CallerReconnected(self._now(), response.job_id))

    def caller_disconnected(self, response: ResponseBuffer) -> None:
        """Tells the reducer when no router reads an unfinished response any more."""
        if not response.attached and response.outcome is None:
            self._runner.post(CallerDisconnected(self._now(), response.job_id))

    def _event_builder(self, request_id: str) -> EventBuilder:
        reducer = self._runner.reducer
        return EventBuilder(request_id, self._agent_id, lambda: reducer.load)


def _resume_error_code(response: ResponseBuffer | None, offset: int) -> str:
    if response is None:
        return "unknown_request"
    while response.linked is not None:
        response = response.linked
    if offset > response.length:
        return "offset_beyond_answer"
    if offset < response.base:
        return "answer_not_retained"
    return ""


class ResponseStream:
    """Produces the events of one response for one router.

    :param offset: body bytes that the router has already received.
    """

    __slots__ = (
        "_accepted",
        "_builder",
        "_head_sent",
        "_idle_since",
        "_reader",
        "_response",
        "_service",
    )

    def __init__(
        self,
        service: AgentService,
        builder: EventBuilder,
        response: ResponseBuffer,
        offset: int,
    ) -> None:
        self._service = service
        self._builder = builder
        self._response = response
        self._reader: Reader = response.attach(builder.request_id, offset)
        self._accepted = False
        # A router with an offset above 0 has already received the head.
        self._head_sent = offset > 0
        self._idle_since = time.monotonic()

    async def run(self) -> AsyncIterator[pb.ExecuteEvent]:
        """Yields events until the response ends or the router disconnects."""
        self._service.caller_reconnected(self._response)
        try:
            while True:
                if self._reader.replaced:
                    return
                changed = self._response.changed
                event = self._next_event()
                if event is not None:
                    self._idle_since = time.monotonic()
                    yield event
                    if event.WhichOneof("event") in ("done", "refused", "failed"):
                        return
                elif not await self._wait(changed):
                    yield self._idle_event()
        finally:
            self._response.detach(self._reader)
            self._service.caller_disconnected(self._response)

    async def _wait(self, changed: asyncio.Event) -> bool:
        """Waits for a change; returns False when an event is due without one."""
        left_s = self._idle_since + PING_INTERVAL_S - time.monotonic()
        try:
            # Unlike wait_for, asyncio.timeout needs no extra task.
            async with asyncio.timeout(max(0.0, left_s)):
                await changed.wait()
        except TimeoutError:
            self._idle_since = time.monotonic()
            return False
        return True

    def _idle_event(self) -> pb.ExecuteEvent:
        if self._accepted:
            return self._builder.ping()
        # A waiting request is accepted when the first event is due. If it is refused
        # later, the router gets ``failed`` with the outcome ``NOT_RUN``.
        return self._accept_event()

    def _accept_event(self) -> pb.ExecuteEvent:
        self._accepted = True
        return self._service.accepted(self._builder, self._response)

    def _next_event(self) -> pb.ExecuteEvent | None:
        self._follow_link()
        response, reader = self._response, self._reader
        if not self._accepted:
            if response.started:
                return self._accept_event()
            if response.outcome is not None:
                return self._builder.final(response.outcome, accepted=False)
            return None
        if response.head is not None and not self._head_sent:
            self._head_sent = True
            return self._builder.head(*response.head)
        if reader.offset < response.base:
            unknown = OutcomeUnknown("answer_not_retained")
            return self._builder.final(unknown, accepted=True)
        if reader.offset < response.length:
            offset = reader.offset
            return self._builder.chunk(offset, response.read(reader, MAX_CHUNK_BYTES))
        if response.outcome is not None:
            return self._builder.final(response.outcome, accepted=True)
        return None

    def _follow_link(self) -> None:
        while self._response.linked is not None:
            other = self._response.linked
            self._response.detach(self._reader)
            self._response = other
            self._reader = other.attach(self._builder.request_id, self._reader.offset)
            self._service.caller_reconnected(other)
