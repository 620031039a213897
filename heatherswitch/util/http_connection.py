"""Reads the requests of one HTTP/1.1 connection and has them handled in sequence."""

import asyncio
import contextlib
import logging
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import h11

from heatherswitch.util.connection_budget import (
    SMALL_BODY_BYTES,
    ConnectionBudget,
    Reservation,
    Stage,
)
from heatherswitch.util.fairness import Turn
from heatherswitch.util.http import (
    MAX_READ_BYTES,
    BadRequest,
    HttpLimits,
    Request,
    RequestRefused,
)
from heatherswitch.util.http_protocol import StreamProtocol
from heatherswitch.util.http_responder import Responder, reset_connection
from heatherswitch.util.received_data import ReceivedData
from heatherswitch.util.record import Record
from heatherswitch.util.request_body import BodyBuffer

log = logging.getLogger("heatherswitch.http_server")

# Bytes of a request that fit the memory which each connection has reserved for itself.
INCLUDED_REQUEST_BYTES = 16 * 1024
# Memory of one header field in a parsed request, beside its text: a pair and two strings.
FIELD_BYTES = 300
# Steps in which memory for a body of unknown length is reserved.
BODY_STEP_BYTES = 64 * 1024
# Seconds for which the rest of a rejected request is read; the largest body that the
# platform allows takes seven over a link of 5 Mbit/s.
DISCARD_TIMEOUT_S = 10.0
# Retry-After of a request that is refused for lack of memory, in seconds. By then some
# requests in progress have ended; another process may have room at once.
RETRY_AFTER_S = 0.3

Handler = Callable[[Request, Responder], Awaitable[None]]


class ConnectionServer(Protocol):
    """What a connection needs to know of its server."""

    @property
    def limits(self) -> HttpLimits:
        """The limits in force, which may change between requests."""

    @property
    def closing(self) -> bool:
        """True if responses ask the caller to close the connection."""

    @property
    def accepts_requests(self) -> bool:
        """False once requests are refused, since they could outlast the grace period."""

    @property
    def idle_timeout_s(self) -> float:
        """Seconds for which a connection may wait for its next request."""

    def screen(self, request: Request) -> None:
        """Decides from the head alone whether a request with a large body is read.

        :raises BadRequest: if the request will not be served.
        :raises RequestRefused: if it can't be served now.
        """


class Connection:
    """Serves the requests of one connection sequentially."""

    __slots__ = (
        "_h11_connection",
        "_handler",
        "_header_bytes",
        "_idle_timeout",
        "_protocol",
        "_read_bytes",
        "_read_timeout",
        "_reader",
        "_reservation",
        "_server",
        "_turn",
        "_unparsed",
        "_writer",
    )

    def __init__(
        self,
        server: ConnectionServer,
        handler: Handler,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        protocol: StreamProtocol,
    ) -> None:
        self._server = server
        self._handler = handler
        self._reader = reader
        self._writer = writer
        self._protocol = protocol
        # Bytes taken from the reader so far.
        self._read_bytes = 0
        self._header_bytes = server.limits.header_bytes
        self._h11_connection = _new_server_connection(self._header_bytes)
        # Set while the connection waits for a request.
        self._idle_timeout: asyncio.Timeout | None = None
        # Set while a body is received.
        self._read_timeout: asyncio.Timeout | None = None
        self._reservation: Reservation | None = None
        self._turn = Turn("request")
        self._unparsed = ReceivedData()

    def open(self, budget: ConnectionBudget) -> bool:
        """Reserves what the connection holds; returns False if there is no room."""
        self._reservation = budget.open(self._give_up)
        return self._reservation is not None

    def close(self) -> None:
        """Closes the connection and ends its reservation."""
        self._reservation.close()
        self._writer.close()

    def _give_up(self, stage: Stage) -> None:
        """Makes room for others, as the budget has decided.

        :param stage: what the connection was doing.
        """
        log.info("connection given up", extra={"stage": stage.value})
        if not self._reservation.closed:
            # The caller is told that its request was not run.
            if self._read_timeout is not None and not self._read_timeout.expired():
                self._read_timeout.reschedule(asyncio.get_running_loop().time())
        elif self._has_unparsed_data:
            # The reset tells the caller that its request was not read.
            reset_connection(self._writer)
        else:
            self._writer.transport.abort()

    @property
    def _is_given_up(self) -> bool:
        """True if the request being received must not be run."""
        return self._reservation.closed or self._reservation.stage is Stage.DISCARDING

    def reset_if_truncated(self) -> None:
        """Resets the connection if closing it would complete an unfinished response.

        HTTP/1.0 has no chunks, so a response without a length ends with its connection.
        """
        http = self._h11_connection
        if self._writer.is_closing() or http.our_state is not h11.SEND_BODY:
            return
        if http.their_http_version < b"1.1":
            reset_connection(self._writer)

    def end_idle_wait(self) -> None:
        """Closes the connection if it waits for a request and none has arrived."""
        if self._idle_timeout is not None and not self._idle_timeout.expired():
            self._idle_timeout.reschedule(asyncio.get_running_loop().time())

    async def serve(self) -> None:
        """Serves requests until the connection must close."""
        while True:
            try:
                request = await self._read_request()
                if request is None:
                    return
                responder = self._new_responder()
                if not self._server.accepts_requests:
                    await self._refuse(responder, "the server is stopping", 0.0)
                elif not await self._run_handler(request, responder):
                    return
                rejection = None
            except (h11.RemoteProtocolError, BadRequest, RequestRefused) as error:
                # Responding outside of this block frees the body that was received,
                # which the traceback refers to.
                rejection = _rejection(error)
            if rejection is not None:
                await self._reject(rejection)
                await self._discard_rest()
                return
            states = (self._h11_connection.our_state, self._h11_connection.their_state)
            if states != (h11.DONE, h11.DONE):
                return
            self._h11_connection.start_next_cycle()
            self._reservation.hold_request(0)
            self._reservation.hold_response(0)
            self._reservation.enter(Stage.IDLE)

    def _new_responder(self) -> Responder:
        return Responder(
            self._h11_connection,
            self._writer,
            # Requests that were received behind this one get a response too.
            lambda: self._server.closing and not self._has_unparsed_data,
            self._reservation,
        )

    @property
    def _has_unparsed_data(self) -> bool:
        """True if the caller has sent data behind the current request."""
        if self._unparsed or self._protocol.received_bytes > self._read_bytes:
            return True
        return bool(self._h11_connection.trailing_data[0])

    async def _read(self) -> bytes:
        """Returns the next data of the caller; empty at the end of the connection."""
        data = await self._reader.read(MAX_READ_BYTES)
        self._read_bytes += len(data)
        return data

    def _apply_header_limit(self) -> None:
        """Takes over a changed limit before a request; h11 can't change its own."""
        if self._header_bytes == self._server.limits.header_bytes:
            return
        self._header_bytes = self._server.limits.header_bytes
        unparsed, _ = self._h11_connection.trailing_data
        self._h11_connection = _new_server_connection(self._header_bytes)
        if unparsed:
            self._h11_connection.receive_data(unparsed)

    async def _read_request(self) -> Request | None:
        """Reads a request with its body; returns None if no further one arrives.

        :raises BadRequest: if it is too large or not received in time.
        """
        self._apply_header_limit()
        event = self._h11_connection.next_event()
        if event is h11.NEED_DATA and not self._unparsed:
            data = await self._wait_for_data()
            if not data:
                return None
            self._apply_header_limit()
            self._unparsed.append(data)
        self._turn = Turn("request", self._writer.get_extra_info("peername"))
        try:
            # Limits the total time for a request, so that a caller cannot keep a
            # connection busy by sending single bytes at intervals.
            async with asyncio.timeout(
                self._server.limits.read_timeout_s
            ) as self._read_timeout:
                if not isinstance(event, h11.Request):
                    async with asyncio.timeout(self._server.limits.head_timeout_s):
                        event = await self._receive_event()
                if not isinstance(event, h11.Request):
                    return None
                request = self._accept_head(event)
                del event
                # Only now, so that no head waits for its turn before it is checked.
                await self._turn.pause_if_due()
                await self._read_body(request)
        except TimeoutError:
            if not self._is_given_up:
                raise BadRequest(408, "the request was not sent in time") from None
        if self._is_given_up:
            # Perhaps while the last byte arrived.
            raise RequestRefused("another request needed the memory", RETRY_AFTER_S)
        self._reservation.enter(Stage.SERVING)
        return request

    async def _wait_for_data(self) -> bytes:
        """Returns the first bytes of the next request; empty if none arrives in time."""
        idle_s = self._server.idle_timeout_s
        if idle_s > 0:
            try:
                async with asyncio.timeout(idle_s) as self._idle_timeout:
                    return await self._read()
            except TimeoutError:
                pass
            finally:
                self._idle_timeout = None
        # A request that has been received is not dropped: its caller could not tell
        # whether it was run. Data that is still in the socket makes the kernel reset
        # the connection, which tells the caller that it was not read.
        transport = self._writer.transport
        transport.pause_reading()
        try:
            async with asyncio.timeout(0):
                data = await self._read()
        except TimeoutError:
            return b""
        transport.resume_reading()
        return data

    def _accept_head(self, event: h11.Request) -> Request:
        """Returns the request of a head, and reserves memory for it.

        :raises BadRequest: if the head or the announced body is over its limit.
        :raises RequestRefused: if there is no memory for it.
        """
        request = self._convert_request(event)
        length = _announced_bytes(request) or 0
        self._check_length(length)
        if length > SMALL_BODY_BYTES or request.header("expect"):
            self._server.screen(request)
        self._reserve(_fields_bytes(request) + length)
        return request

    async def _read_body(self, request: Request) -> None:
        length = _announced_bytes(request)
        body = BodyBuffer(length)
        screened = False
        while True:
            if self._h11_connection.they_are_waiting_for_100_continue:
                continue_response = h11.InformationalResponse(
                    status_code=100, headers=[]
                )
                self._writer.write(self._h11_connection.send(continue_response))
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                request.body_parts = body.parts()
                return
            if not isinstance(event, h11.Data):
                raise h11.RemoteProtocolError("the request was cut")
            body.append(event.data)
            self._reservation.progress(len(event.data))
            if length is None:
                self._check_length(len(body))
                if not screened and len(body) > SMALL_BODY_BYTES:
                    self._server.screen(request)
                    screened = True
                self._reserve(_fields_bytes(request) + _rounded_up(len(body)))

    def _check_length(self, length: int) -> None:
        limit = self._server.limits.body_bytes
        if length > limit:
            raise BadRequest(413, f"the body is over {limit} bytes")

    def _reserve(self, size: int) -> None:
        """Reserves memory for a request; small ones fit what each connection has.

        :raises RequestRefused: if there is no room.
        """
        if self._is_given_up:
            raise RequestRefused("another request needed the memory", RETRY_AFTER_S)
        if self._reservation.stage is not Stage.RECEIVING:
            self._reservation.enter(Stage.RECEIVING)
        if size <= INCLUDED_REQUEST_BYTES:
            return
        if not self._reservation.hold_request(size):
            raise RequestRefused("no memory for the request", RETRY_AFTER_S)

    async def _next_event(self) -> Any:
        event = await self._receive_event()
        # A read doesn't wait if the caller's data is buffered already.
        await self._turn.pause_if_due()
        return event

    async def _receive_event(self) -> Any:
        event = self._h11_connection.next_event()
        while event is h11.NEED_DATA:
            if not self._unparsed:
                if self._reservation.stage is Stage.IDLE:
                    # The head of the next request is incomplete.
                    self._reservation.enter(Stage.UNUSED)
                self._unparsed.append(await self._read())
            self._h11_connection.receive_data(self._unparsed.take())
            event = self._h11_connection.next_event()
        return event

    def _convert_request(self, event: h11.Request) -> Request:
        # h11 limits only the size of heads that arrive in several reads.
        size = sum(len(name) + len(value) + 4 for name, value in event.headers)
        if size + len(event.target) > self._header_bytes:
            raise BadRequest(431, f"the head is over {self._header_bytes} bytes")
        return Request(
            event.method.decode("latin-1"),
            event.target.decode("latin-1"),
            [(k.decode("latin-1"), v.decode("latin-1")) for k, v in event.headers],
        )

    async def _run_handler(self, request, responder) -> bool:
        """Runs the handler; returns False if the connection must close."""
        handler_task = asyncio.ensure_future(self._handler(request, responder))
        disconnect_task = asyncio.ensure_future(self._protocol.closed.wait())
        try:
            await asyncio.wait(
                {handler_task, disconnect_task}, return_when=asyncio.FIRST_COMPLETED
            )
            if handler_task.done():
                return await self._collect_result(handler_task, responder)
            return False
        finally:
            disconnect_task.cancel()
            if not handler_task.done():
                handler_task.cancel()
                with contextlib.suppress(asyncio.CancelledError, OSError):
                    await handler_task

    async def _collect_result(
        self, handler_task: asyncio.Future, responder: Responder
    ) -> bool:
        """Logs an error of the handler; returns False if the connection must close."""
        try:
            handler_task.result()
        except BadRequest:
            if responder.started:
                return False
            raise
        except (OSError, h11.LocalProtocolError) as error:
            if not responder.started:
                log.warning(
                    "request ended without a response", extra={"error": repr(error)}
                )
            return False
        except Exception:
            log.exception("request handler failed")
            if not responder.started:
                await self._send_error(responder, 500, "internal error")
            return False
        return True

    async def _refuse(
        self, responder: Responder, reason: str, retry_after_s: float
    ) -> None:
        """Refuses a request, which was not run."""
        log.info("request refused", extra={"reason": reason})
        headers = [("Retry-After", f"{retry_after_s:g}")]
        if self._h11_connection.their_state is not h11.DONE:
            headers.append(("Connection", "close"))
        with contextlib.suppress(OSError, h11.LocalProtocolError):
            await responder.send(503, b"", headers)

    async def _reject(self, rejection: "_Rejection") -> None:
        """Responds to a request that was not read whole, or is invalid."""
        responder = self._new_responder()
        if rejection.retry_after_s is None:
            await self._send_error(responder, rejection.status, rejection.message)
        else:
            await self._refuse(responder, rejection.message, rejection.retry_after_s)

    async def _discard_rest(self) -> None:
        """Drops what the caller still sends of a request that was rejected.

        Closing the connection before would reset it, by which the caller can lose the
        response.
        """
        if self._h11_connection.their_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED):
            return
        self._reservation.hold_request(0)
        self._reservation.enter(Stage.DISCARDING)
        self._unparsed = ReceivedData()
        # The parser's copy of what was received goes too.
        self._h11_connection = _new_server_connection(self._header_bytes)
        dropped_bytes = 0
        with contextlib.suppress(OSError, TimeoutError):
            if self._writer.can_write_eof():
                self._writer.write_eof()
            async with asyncio.timeout(DISCARD_TIMEOUT_S):
                while dropped_bytes <= self._server.limits.body_bytes:
                    data = await self._read()
                    if not data:
                        return
                    dropped_bytes += len(data)
                    await self._turn.pause_if_due()
            log.info("rejected request does not end", extra={"bytes": dropped_bytes})

    async def _send_error(
        self, responder: Responder, status: int, message: str
    ) -> None:
        error = {"message": message, "type": "invalid_request_error", "code": None}
        with contextlib.suppress(OSError, h11.LocalProtocolError):
            headers = [("Connection", "close")]
            await responder.send_json(status, {"error": error}, headers)


class _Rejection(Record):
    """The response to a request that is not handled.

    :param retry_after_s: None for an invalid request, which must not be repeated.
    """

    __slots__ = ("status", "message", "retry_after_s")

    def __init__(
        self, status: int, message: str, retry_after_s: float | None = None
    ) -> None:
        self.status = status
        self.message = message
        self.retry_after_s = retry_after_s


def _rejection(
    error: h11.RemoteProtocolError | BadRequest | RequestRefused,
) -> _Rejection:
    match error:
        case RequestRefused():
            return _Rejection(503, str(error), error.retry_after_s)
        case BadRequest():
            return _Rejection(error.status, str(error))
    return _Rejection(error.error_status_hint, str(error))


def _announced_bytes(request: Request) -> int | None:
    """Returns the length of a request's body; None if it is sent in chunks."""
    if request.header("transfer-encoding"):
        return None
    return int(request.header("content-length", "0"))


def _fields_bytes(request: Request) -> int:
    """Returns the memory of a request's header fields."""
    return FIELD_BYTES * len(request.headers)


def _rounded_up(size: int) -> int:
    return -(-size // BODY_STEP_BYTES) * BODY_STEP_BYTES


def _new_server_connection(header_bytes: int) -> h11.Connection:
    return h11.Connection(h11.SERVER, max_incomplete_event_size=header_bytes)
