"""Sends one request to backend servers and delivers the response to the caller."""

import asyncio
import logging
from collections.abc import Callable
from typing import Protocol

import h11

from heatherswitch.gateway import events as ev
from heatherswitch.gateway.event_stream import EventReader
from heatherswitch.gateway.model import RequestKind
from heatherswitch.gateway.response_speed import MEASURED_INTERVALS, MIN_INTERVALS
from heatherswitch.gateway.response_timing import ResponseTiming
from heatherswitch.gateway.upstream import (
    MAX_UNRELATED_RESPONSES,
    ConnectionPool,
    ResponseHead,
    ServerConnection,
    UpstreamContext,
)
from heatherswitch.util.connection_budget import Reservation
from heatherswitch.util.http import ConnectFailed, ConnectionLost, Headers, Request
from heatherswitch.util.http_server import Responder
from heatherswitch.util.record import Record

log = logging.getLogger("heatherswitch.gateway.relay")

# Plain responses up to this size are buffered until they are complete, so that the
# request can be retried if the response is cut. Larger ones are streamed.
MAX_BUFFERED_BYTES = 256 * 1024
# Statuses that tell the caller that the request was not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
NO_CONTENT = 204
# Headers that mark the end of a response; without them it ends with its connection.
_FRAMING_HEADERS = frozenset({"content-length", "transfer-encoding"})


class ServerCodec(Protocol):
    """Encodes requests to backend servers and decodes their response heads."""

    def encode_request(self, request: Request, upstream: UpstreamContext) -> Headers:
        """Returns the headers of the request to one backend server."""

    def decode_answer(self, status: int, headers: Headers) -> ResponseHead:
        """Interprets the status and headers of a backend server's response."""


class BufferedResponse(Record):
    """A complete response that has not been sent to the caller yet."""

    __slots__ = (
        "status",
        "headers",
        "body",
    )

    def __init__(self, status: int, headers: Headers, body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class RequestRelay:
    """Runs the attempts of one caller's request.

    :param request_id: id that the caller gave the request; responses must repeat it.
    :param on_response_started: called with the head of each response and the
        seconds from the send to it.
    :param on_stalled: called when a server made no progress for the stall timeout, with
        the seconds without progress and the outcome if the attempt ends. It goes on
        unless an exception is raised.
    :param on_stream_progress: called at the first event of a stream and when the
        interval between its events is known.
    :param on_notice: called with the head of each response, also one to another request,
        in which the server says something of itself.
    """

    __slots__ = (
        "_buffered_response",
        "_clock",
        "_codec",
        "_discarded",
        "_interrupted",
        "_event_ids_counted",
        "_last_event_id",
        "_on_notice",
        "_on_response_started",
        "_on_stalled",
        "_on_stream_progress",
        "_pool",
        "_request",
        "_request_id",
        "_responder",
        "_response_started",
        "_resumable",
        "_timeout",
        "_sent_at",
        "_timing",
        "_writing",
    )

    def __init__(
        self,
        codec: ServerCodec,
        pool: ConnectionPool,
        clock: Callable[[], float],
        request: Request,
        request_id: str,
        responder: Responder,
        on_response_started: Callable[[ev.Forward, ResponseHead, float], None],
        on_stalled: Callable[[ev.Forward, float, ev.Broken], None],
        on_stream_progress: Callable[[ResponseTiming], None],
        on_notice: Callable[[ev.Forward, ResponseHead], None],
    ) -> None:
        self._codec = codec
        self._pool = pool
        self._clock = clock
        self._request = request
        self._request_id = request_id
        self._responder = responder
        self._on_response_started = on_response_started
        self._on_stalled = on_stalled
        self._on_stream_progress = on_stream_progress
        self._on_notice = on_notice
        self._buffered_response: BufferedResponse | None = None
        self._last_event_id: int | None = None
        # The ids increase by one; None while that is not known.
        self._event_ids_counted: bool | None = None
        # Another server can continue what was sent to the caller.
        self._resumable = True
        self._response_started = False
        self._discarded = False
        self._interrupted = False
        # Set while an attempt runs.
        self._timeout: asyncio.Timeout | None = None
        self._sent_at = 0.0
        self._timing = ResponseTiming()
        # True while a write waits for the caller to read.
        self._writing = False

    @property
    def timing(self) -> ResponseTiming:
        """Times of the current or last attempt's response."""
        return self._timing

    def discard(self) -> Reservation:
        """Stops delivery because the caller left; the response is still read.

        :returns: the reservation of the request, to be closed when its attempt ends.
        """
        self._discarded = True
        return self._responder.detach_request()

    def interrupt(self) -> None:
        """Abandons the running attempt because the gateway stops."""
        self._interrupted = True
        if self._timeout is not None and not self._timeout.expired():
            self._timeout.reschedule(asyncio.get_running_loop().time())

    async def deliver_buffered(self) -> None:
        """Sends the response that the last attempt buffered to the caller."""
        buffered = self._buffered_response
        await self._responder.send(buffered.status, buffered.body, buffered.headers)

    async def attempt(self, forward: ev.Forward) -> ev.Outcome:
        """Sends the request to one backend server and returns the outcome.

        :raises ConnectionAbortedError: if the caller does not read the response before
            the deadline, or has part of one that can't be continued.
        """
        if self._response_started and not self._resumable:
            log.error("no second response", extra={"request": self._request_id})
            raise ConnectionAbortedError("a response that was begun can't be resumed")
        run_once = not forward.route.retryable
        sent_at = self._sent_at = self._clock()
        self._timing = ResponseTiming()
        try:
            connection, reused = await self._pool.acquire(
                sent_at, forward.server, run_once
            )
        except ConnectFailed as error:
            refused = isinstance(error.__cause__, ConnectionRefusedError)
            return ev.NotSent(str(error), refused)
        if self._interrupted:
            # The grace period ended before the attempt could be interrupted.
            connection.close()
            return ev.NotSent("the gateway stops")
        released = False
        try:
            # The deadline covers head, body and delivery, however the data trickles in.
            async with asyncio.timeout(
                forward.deadline_at - self._clock()
            ) as self._timeout:
                outcome, released = await self._exchange(
                    connection, reused, forward, sent_at
                )
        except TimeoutError as error:
            if self._writing:
                self._responder.abort()
                raise ConnectionAbortedError(
                    "caller did not read the response"
                ) from error
            if self._interrupted:
                return ev.Interrupted(self._response_started)
            reason = str(error) or "the deadline passed"
            outcome = self._broken(reason, silent=True)
        except (ConnectionLost, ValueError) as error:
            outcome = self._broken(str(error))
        finally:
            self._timeout = None
            if not released:
                connection.close()
        return outcome

    async def _exchange(
        self,
        connection: ServerConnection,
        reused: bool,
        forward: ev.Forward,
        sent_at: float,
    ) -> tuple[ev.Outcome, bool]:
        """Returns the outcome and whether the connection went back to the pool.

        :param reused: the connection carried other requests before.
        """
        self._send(connection, forward, sent_at)
        head, raw_headers = await self._receive_head(connection, reused, forward)
        ttfb_s = self._timing.head_s = self._clock() - sent_at
        self._on_response_started(forward, head, ttfb_s)
        if head.not_run:
            # The body is not read, so the connection cannot be reused.
            return ev.Rejected(head.status, head.other_instance), False
        if 200 <= head.status < 300:
            if not head.sealed or head.encoded:
                raise ConnectionLost("the answer does not carry the server's signature")
            if forward.route.kind is RequestKind.STREAMING:
                # An answer without content can't be the rest of a stream.
                empty = self._response_started and head.status == NO_CONTENT
                framed = not empty and not _FRAMING_HEADERS.isdisjoint(
                    name for name, _ in raw_headers
                )
                await self._relay_stream(connection, forward, head, framed)
            else:
                await self._relay_plain(connection, forward, head)
        else:
            body = await self._read_error_body(connection, forward)
            self._release(connection, forward, raw_headers)
            return await self._handle_error_response(forward, head, body, sent_at), True
        self._release(connection, forward, raw_headers)
        return ev.Completed(head.status, self._clock() - sent_at), True

    def _send(self, connection, forward: ev.Forward, now: float) -> None:
        resumed = "" if self._last_event_id is None else str(self._last_event_id)
        source = forward.copy_source
        upstream = UpstreamContext(
            forward.server.id,
            forward.deadline_at - now,
            forward.workspace,
            forward.priority,
            resumed,
            f"{source.host}:{source.port}" if source else "",
        )
        headers = self._codec.encode_request(self._request, upstream)
        request = self._request
        connection.send(
            request.method,
            request.target,
            headers,
            request.body_parts,
            lambda stalled_s: self._on_stalled(
                forward, stalled_s, self._broken("the server stalled", silent=True)
            ),
        )

    def _broken(self, reason: str, silent: bool = False) -> ev.Broken:
        return ev.Broken(reason, self._response_started, silent, self._resumable)

    async def _receive_head(self, connection, reused: bool, forward):
        """Returns the head of the response to this request, decoded and raw.

        Responses that carry the id of another request are skipped. A refusal may carry
        no id. After an answer to another request, on this or an earlier use of the
        connection, it may be a copy of that request's refusal and proves nothing.

        :raises ConnectionLost: if no response can be matched to this request.
        """
        for skipped in range(MAX_UNRELATED_RESPONSES + 1):
            response = await connection.head(forward.stall_timeout_s)
            raw_headers = [
                (name.decode("latin-1"), value.decode("latin-1"))
                for name, value in response.headers
            ]
            head = self._codec.decode_answer(response.status_code, raw_headers)
            if head.leaving or head.busy_s:
                self._on_notice(forward, head)
            if head.request_id == self._request_id:
                return head, raw_headers
            if not head.request_id and head.not_run:
                if reused or skipped:
                    raise ConnectionLost("a refusal on a used connection has no id")
                return head, raw_headers
            log.info(
                "skipped an answer to another request",
                extra={"request": self._request_id, "answer": head.request_id},
            )
            await connection.skip_response(forward.stall_timeout_s)
        raise ConnectionLost("only answers to other requests came")

    def _release(self, connection, forward, raw_headers: Headers) -> None:
        fields = dict(raw_headers)
        closing = "close" in fields.get("connection", "").lower()
        self._pool.release(
            self._clock(),
            forward.server,
            connection,
            fields.get("keep-alive", ""),
            closing,
        )

    async def _read_error_body(
        self, connection, forward, limit: int = MAX_BUFFERED_BYTES
    ) -> bytes:
        body = bytearray()
        async for data in connection.body(forward.stall_timeout_s):
            body += data
            if len(body) > limit:
                raise ConnectionLost(f"the error answer is over {limit} bytes")
        return bytes(body)

    async def _handle_error_response(
        self, forward: ev.Forward, head: ResponseHead, body: bytes, sent_at: float
    ) -> ev.Outcome:
        """Buffers a 5xx response for a possible retry and delivers any other one.

        :raises ConnectionLost: if the response may not be shown to the caller.
        """
        if not head.sealed or head.status in NOT_RUN_STATUSES:
            # The server did not confirm that the request was not run, so a status that
            # implies it must not reach the caller.
            raise ConnectionLost(f"status {head.status} without proof")
        if self._response_started:
            raise ConnectionLost(f"status {head.status} after a resumption")
        self._buffered_response = BufferedResponse(head.status, head.headers, body)
        if head.status >= 500:
            return ev.FailedAnswer(head.status)
        await self.deliver_buffered()
        return ev.Completed(head.status, self._clock() - sent_at)

    async def _relay_plain(self, connection, forward, head: ResponseHead) -> None:
        """Buffers a small response until it is complete and streams a large one."""
        buffered = bytearray()
        streaming = False
        async for data in connection.body(forward.stall_timeout_s):
            if streaming:
                await self._write_body(data)
                connection.record_progress()
                continue
            buffered += data
            if len(buffered) > MAX_BUFFERED_BYTES or not self._responder.hold(
                len(buffered)
            ):
                streaming = True
                self._resumable = False
                await self._start_response(head, bytes(buffered))
                buffered.clear()
        if self._discarded:
            return
        if streaming:
            await self._responder.finish()
        else:
            await self._responder.send(head.status, buffered, head.headers)

    async def _relay_stream(
        self, connection, forward, head: ResponseHead, framed: bool
    ) -> None:
        """Forwards complete server-sent events as they arrive.

        The head is sent with the first event, since until then the request can still be
        sent to another server. Only complete events count as progress.

        :param framed: the end of the stream is marked, so that it may have no event.
            Otherwise it ends with the connection, also if the server breaks it off.
        :raises ConnectionLost: if the stream is cut or ends inside an event.
        """
        reader = EventReader(
            self._last_event_id, self._response_started, self._event_ids_counted
        )
        while True:
            event = await connection.next_event(forward.stall_timeout_s)
            if isinstance(event, h11.EndOfMessage):
                self._measure_interval(MIN_INTERVALS)
                break
            if not isinstance(event, h11.Data):
                raise ConnectionLost("the answer was cut")
            complete = reader.feed(bytes(event.data))
            if complete:
                progress = reader.event_count > self._timing.events
                if progress:
                    self._record_events(reader.event_count)
                await self._start_response(head, complete)
                self._last_event_id = reader.last_id
                self._event_ids_counted = reader.counted
                self._resumable = reader.resumable
                if progress:
                    connection.record_progress()
        if reader.inside_event:
            raise ConnectionLost("the stream ended inside an event")
        if not framed and not reader.event_count:
            raise ConnectionLost("the stream ended before its first event")
        if reader.remainder() or not self._response_started:
            await self._start_response(head, reader.remainder())
        if not self._discarded:
            await self._responder.finish()

    def _record_events(self, count: int) -> None:
        timing = self._timing
        timing.events = count
        timing.last_event_s = self._clock() - self._sent_at
        if timing.first_event_s is None:
            timing.first_event_s = timing.last_event_s
            self._on_stream_progress(timing)
        self._measure_interval(MEASURED_INTERVALS)

    def _measure_interval(self, min_intervals: int) -> None:
        """Takes the mean interval so far, unless it is known, if there are enough."""
        timing = self._timing
        if timing.event_interval_s is None and timing.events > min_intervals:
            streaming_s = timing.last_event_s - timing.first_event_s
            timing.event_interval_s = streaming_s / (timing.events - 1)
            self._on_stream_progress(timing)

    async def _start_response(self, head: ResponseHead, data: bytes) -> None:
        if not self._response_started and not self._discarded:
            self._response_started = True
            await self._responder.start(head.status, head.headers, defer_send=True)
        await self._write_body(data)

    async def _write_body(self, data: bytes) -> None:
        if not self._discarded:
            self._writing = True
            await self._responder.write(data)
            self._writing = False
