"""Executes attempts: the gRPC client for agents."""

import asyncio
import contextlib
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import grpc

from heatherswitch.fleet.members import Load, Member
from heatherswitch.fleet.outcomes import (
    Failed,
    Finished,
    NotRun,
    OutcomeUnknown,
    Reason,
)
from heatherswitch.protocol import heatherswitch_pb2 as pb
from heatherswitch.protocol import heatherswitch_pb2_grpc as pb_grpc
from heatherswitch.router.channels import AgentChannels, AgentUnreachable
from heatherswitch.router.response_check import InvalidResponse, ResponseVerifier
from heatherswitch.util.http import Headers

log = logging.getLogger("heatherswitch.router.dispatch")


class ResponseSink(Protocol):
    """Receives the response of an attempt."""

    async def write_head(self, status: int, headers: Headers, replayed: bool) -> None:
        """Receives status and headers."""

    async def write_body(self, data: bytes) -> None:
        """Receives the next part of the body."""


@dataclass(frozen=True, slots=True)
class ConnectFailed:
    """No connection to the agent could be opened, so nothing was sent."""

    detail: str


@dataclass(frozen=True, slots=True)
class Silent:
    """No event arrived within the progress timeout."""


class _ProgressTimeout(Exception):
    """No event arrived in time.

    A type of its own, since a ``TimeoutError`` may also come from a socket.
    """


AttemptResult = ConnectFailed | Silent | NotRun | OutcomeUnknown | Failed | Finished
LoadCallback = Callable[[str, Load, float], None]


class Attempt:
    """One attempt of a request at one agent, including resumptions.

    :param request: protocol message; agent id, incarnation and version are set here.
    :param sink: receives the response while it arrives.
    :param progress_timeout_s: longest time between two events, in seconds.
    :param on_accepted: called when the agent has admitted the request.
    :param on_load: called with agent id, reported load and its age in seconds.
    :param on_head: called once, when the response head arrives.
    """

    __slots__ = (
        "_agent",
        "_channels",
        "_head_forwarded",
        "_incarnation",
        "_on_accepted",
        "_on_head",
        "_on_load",
        "_replayed",
        "_request",
        "_sink",
        "_status",
        "_timeout_s",
        "_verifier",
    )

    def __init__(
        self,
        channels: AgentChannels,
        agent: Member,
        request: pb.ExecuteRequest,
        sink: ResponseSink,
        progress_timeout_s: float,
        on_accepted: Callable[[], None] = lambda: None,
        on_load: LoadCallback = lambda agent_id, load, age_s: None,
        on_head: Callable[[], None] = lambda: None,
    ) -> None:
        request.agent_id = agent.id
        request.incarnation = agent.incarnation
        request.version = agent.version
        self._channels = channels
        self._agent = agent
        self._request = request
        self._sink = sink
        self._timeout_s = progress_timeout_s
        self._on_accepted = on_accepted
        self._on_load = on_load
        self._on_head = on_head
        self._verifier = ResponseVerifier(request.request_id)
        self._incarnation = agent.incarnation
        self._replayed = False
        self._head_forwarded = False
        self._status = 0

    async def execute(self) -> AttemptResult:
        """Sends the request and forwards the response to the sink."""
        return await self._call_agent(self._start_execute)

    async def resume(self) -> AttemptResult:
        """Continues the response on a new channel, at the offset received so far."""
        self._channels.replace(self._agent.id)
        self._verifier.begin_resumed_stream()
        result = await self._call_agent(self._start_resume)
        if isinstance(result, ConnectFailed):
            return OutcomeUnknown("resume_unreachable", result.detail)
        if isinstance(result, NotRun):
            # Only the resumption was refused; the request may have run.
            return OutcomeUnknown("resume_refused", result.detail)
        return result

    async def _call_agent(self, start_call) -> AttemptResult:
        try:
            async with self._channels.connected(
                self._agent.id, self._agent.address
            ) as channel:
                return await self._read_events(start_call(pb_grpc.AgentStub(channel)))
        except AgentUnreachable as error:
            return ConnectFailed(str(error))

    def _start_execute(self, stub: pb_grpc.AgentStub) -> grpc.aio.UnaryStreamCall:
        return stub.Execute(self._request, metadata=self._channels.metadata)

    def _start_resume(self, stub: pb_grpc.AgentStub) -> grpc.aio.UnaryStreamCall:
        message = pb.ResumeRequest(
            request_id=self._request.request_id,
            incarnation=self._incarnation,
            offset=self._verifier.offset,
            workspace=self._request.workspace,
        )
        return stub.Resume(message, metadata=self._channels.metadata)

    async def _read_events(self, call: grpc.aio.UnaryStreamCall) -> AttemptResult:
        try:
            while True:
                event = await self._read_event(call)
                if event is grpc.aio.EOF:
                    return await _unexpected_end(call)
                result = await self._handle_event(event)
                if result is not None:
                    return result
        except _ProgressTimeout:
            return Silent()
        except InvalidResponse as error:
            log.warning(
                "invalid response from an agent",
                extra={
                    "request_id": self._request.request_id,
                    "agent": self._agent.id,
                    "code": error.code,
                    "detail": str(error),
                },
            )
            return OutcomeUnknown(error.code, str(error))
        except grpc.aio.AioRpcError as error:
            return OutcomeUnknown("agent_connection_lost", error.details() or "")
        finally:
            call.cancel()

    async def _read_event(self, call: grpc.aio.UnaryStreamCall):
        try:
            async with asyncio.timeout(self._timeout_s):
                return await call.read()
        except TimeoutError as error:
            raise _ProgressTimeout from error

    async def _handle_event(self, event: pb.ExecuteEvent) -> AttemptResult | None:
        """Handles one event; returns the result of the attempt if it was the last."""
        kind = self._verifier.verify(event)
        self._report_load(event)
        if kind == "accepted":
            self._incarnation = event.accepted.incarnation or self._incarnation
            self._replayed = event.accepted.replayed
            self._on_accepted()
        elif kind == "head":
            await self._handle_head(event.head)
        elif kind == "chunk":
            await self._sink.write_body(event.chunk.data)
        elif kind == "done":
            return self._finished(event.done)
        elif kind == "refused":
            return _outcome_of_refusal(event.refused)
        elif kind == "failed":
            return _outcome_of_failure(event.failed)
        return None

    async def _handle_head(self, head: pb.ResponseHead) -> None:
        # A resumed stream repeats the head, which the sink already has.
        if self._head_forwarded:
            return
        self._head_forwarded = True
        self._on_head()
        self._status = head.status
        headers = [(header.name, header.value) for header in head.headers]
        await self._sink.write_head(head.status, headers, self._replayed)

    def _report_load(self, event: pb.ExecuteEvent) -> None:
        if event.HasField("load") and event.load.agent_id == self._agent.id:
            load = Load(event.load.running, event.load.queued, event.load.limit)
            self._on_load(self._agent.id, load, event.load.age_ms / 1000)

    def _finished(self, done: pb.Done) -> Finished:
        return Finished(
            self._status,
            done.length,
            done.prompt_tokens,
            done.cached_tokens,
            done.completion_tokens,
        )


async def _unexpected_end(call: grpc.aio.UnaryStreamCall) -> OutcomeUnknown:
    """Returns the outcome of a stream that ended without a final event."""
    detail = ""
    with contextlib.suppress(grpc.aio.AioRpcError):
        detail = await call.details() or ""
    return OutcomeUnknown("agent_stream_ended", detail)


def _outcome_of_refusal(refused: pb.Refused) -> NotRun:
    name = (
        pb.RefusalReason.Name(refused.reason)
        if refused.reason in pb.RefusalReason.values()
        else ""
    )
    known = {reason.value for reason in Reason}
    reason = Reason(name) if name in known else Reason.NOT_READY
    return NotRun(reason, refused.retry_after_ms, refused.detail, refused.owner)


def _outcome_of_failure(failed: pb.Failed) -> NotRun | OutcomeUnknown | Failed:
    if failed.outcome == pb.NOT_RUN:
        return NotRun(Reason.BACKEND_DOWN, 0, failed.detail or failed.code)
    if failed.outcome == pb.FAILED:
        return Failed(failed.code, failed.detail)
    return OutcomeUnknown(failed.code, failed.detail)
