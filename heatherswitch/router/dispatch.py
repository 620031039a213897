"""Runs attempts: the gRPC client of agents."""

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
from heatherswitch.router.answer_check import AnswerCheck, BrokenAnswer
from heatherswitch.router.channels import AgentChannels, Unreachable
from heatherswitch.util.http import Headers

log = logging.getLogger("heatherswitch.router.dispatch")


class AnswerSink(Protocol):
    """Where the answer of an attempt goes."""

    async def head(self, status: int, headers: Headers, replayed: bool) -> None:
        """Takes status and headers."""

    async def body(self, data: bytes) -> None:
        """Takes the next part of the body."""


@dataclass(frozen=True, slots=True)
class ConnectFailed:
    """No connection to the agent opened, so nothing was sent."""

    detail: str


@dataclass(frozen=True, slots=True)
class Silent:
    """Nothing arrived for the progress timeout."""


class _NoProgress(Exception):
    """No event arrived in time. Unlike TimeoutError it is no error of a socket."""


AttemptResult = ConnectFailed | Silent | NotRun | OutcomeUnknown | Failed | Finished
LoadObserver = Callable[[str, Load, float], None]


class Attempt:
    """One attempt at one agent, with its resumptions.

    :param request: the message; its agent and incarnation are filled in here.
    :param progress_timeout_s: seconds without an event that count as silence.
    :param on_accepted: called when the agent admitted the request.
    :param on_load: called with the load that the agent reports and its age
        in seconds.
    :param on_head: called when the head of the answer arrives.
    """

    __slots__ = (
        "_agent",
        "_channels",
        "_check",
        "_head_passed",
        "_incarnation",
        "_on_accepted",
        "_on_head",
        "_on_load",
        "_replayed",
        "_request",
        "_sink",
        "_status",
        "_timeout_s",
    )

    def __init__(
        self,
        channels: AgentChannels,
        agent: Member,
        request: pb.ExecuteRequest,
        sink: AnswerSink,
        progress_timeout_s: float,
        on_accepted: Callable[[], None] = lambda: None,
        on_load: LoadObserver = lambda agent_id, load, age_s: None,
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
        self._check = AnswerCheck(request.request_id)
        self._incarnation = agent.incarnation
        self._replayed = False
        self._head_passed = False
        self._status = 0

    async def execute(self) -> AttemptResult:
        """Sends the request and passes the answer on."""
        return await self._connected(self._execute_on)

    async def resume(self) -> AttemptResult:
        """Reattaches on a new channel at the offset received so far."""
        self._channels.replace(self._agent.id)
        self._check.resumed()
        result = await self._connected(self._resume_on)
        if isinstance(result, ConnectFailed):
            return OutcomeUnknown("resume_unreachable", result.detail)
        if isinstance(result, NotRun):
            # The refusal concerns the resumption; the request itself was sent.
            return OutcomeUnknown("resume_refused", result.detail)
        return result

    async def _connected(self, call) -> AttemptResult:
        try:
            async with self._channels.connected(
                self._agent.id, self._agent.address
            ) as channel:
                return await self._consume(call(pb_grpc.AgentStub(channel)))
        except Unreachable as error:
            return ConnectFailed(str(error))

    def _execute_on(self, stub: pb_grpc.AgentStub) -> grpc.aio.UnaryStreamCall:
        return stub.Execute(self._request, metadata=self._channels.metadata)

    def _resume_on(self, stub: pb_grpc.AgentStub) -> grpc.aio.UnaryStreamCall:
        message = pb.ResumeRequest(
            request_id=self._request.request_id,
            incarnation=self._incarnation,
            offset=self._check.offset,
            workspace=self._request.workspace,
        )
        return stub.Resume(message, metadata=self._channels.metadata)

    async def _consume(self, call: grpc.aio.UnaryStreamCall) -> AttemptResult:
        try:
            while True:
                event = await self._read(call)
                if event is grpc.aio.EOF:
                    return await _end_of_stream(call)
                result = await self._take(event)
                if result is not None:
                    return result
        except _NoProgress:
            return Silent()
        except BrokenAnswer as error:
            log.warning(
                "broken answer from an agent",
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

    async def _read(self, call: grpc.aio.UnaryStreamCall):
        try:
            async with asyncio.timeout(self._timeout_s):
                return await call.read()
        except TimeoutError as error:
            raise _NoProgress from error

    async def _take(self, event: pb.ExecuteEvent) -> AttemptResult | None:
        """Handles one event; returns a result when it was the last one."""
        kind = self._check.take(event)
        self._take_load(event)
        if kind == "accepted":
            self._incarnation = event.accepted.incarnation or self._incarnation
            self._replayed = event.accepted.replayed
            self._on_accepted()
        elif kind == "head":
            await self._take_head(event.head)
        elif kind == "chunk":
            await self._sink.body(event.chunk.data)
        elif kind == "done":
            return self._finished(event.done)
        elif kind == "refused":
            return _refusal(event.refused)
        elif kind == "failed":
            return _failure(event.failed)
        return None

    async def _take_head(self, head: pb.ResponseHead) -> None:
        # A resumed answer repeats the head, which the sink has already.
        if self._head_passed:
            return
        self._head_passed = True
        self._on_head()
        self._status = head.status
        headers = [(header.name, header.value) for header in head.headers]
        await self._sink.head(head.status, headers, self._replayed)

    def _take_load(self, event: pb.ExecuteEvent) -> None:
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


async def _end_of_stream(call: grpc.aio.UnaryStreamCall) -> OutcomeUnknown:
    """Returns the outcome of a stream that ended without a last event."""
    detail = ""
    with contextlib.suppress(grpc.aio.AioRpcError):
        detail = await call.details() or ""
    return OutcomeUnknown("agent_stream_ended", detail)


def _refusal(refused: pb.Refused) -> NotRun:
    name = (
        pb.RefusalReason.Name(refused.reason)
        if refused.reason in pb.RefusalReason.values()
        else ""
    )
    known = {reason.value for reason in Reason}
    reason = Reason(name) if name in known else Reason.NOT_READY
    return NotRun(reason, refused.retry_after_ms, refused.detail, refused.owner)


def _failure(failed: pb.Failed) -> NotRun | OutcomeUnknown | Failed:
    if failed.outcome == pb.NOT_RUN:
        return NotRun(Reason.BACKEND_DOWN, 0, failed.detail or failed.code)
    if failed.outcome == pb.FAILED:
        return Failed(failed.code, failed.detail)
    return OutcomeUnknown(failed.code, failed.detail)
