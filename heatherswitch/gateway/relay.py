"""One attempt at a backend server: sends the request and delivers the answer."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import h11

from heatherswitch.gateway import events as ev
from heatherswitch.gateway.event_stream import EventReader
from heatherswitch.gateway.model import RequestKind
from heatherswitch.gateway.upstream import (
    MAX_STRAY_ANSWERS,
    AnswerHead,
    ConnectionPool,
    ServerConnection,
    Upstream,
)
from heatherswitch.util.http import ConnectFailed, ConnectionLost, Headers, Request
from heatherswitch.util.http_server import Responder

log = logging.getLogger("heatherswitch.gateway.relay")

# Plain answers up to this size are held until they are whole, so that one that is
# cut can be asked for again. Larger ones are passed on as they arrive.
HOLD_BYTES = 256 * 1024
# Statuses that promise the caller that the request never ran.
PROMISES = frozenset({408, 421, 429, 503})


class Codec(Protocol):
    """Encodes requests to backend servers and decodes their answers."""

    def encode_request(self, request: Request, upstream: Upstream) -> Headers:
        """Returns the headers for one backend server."""

    def decode_answer(self, status: int, headers: Headers) -> AnswerHead:
        """Reads what a backend server says with its answer."""


@dataclass(slots=True)
class HeldAnswer:
    """A whole answer that is not delivered yet."""

    status: int
    headers: Headers
    body: bytes


class Relay:
    """Carries one request of a caller through its attempts.

    :param request_id: the caller's id of the request.
    :param on_started: called with the head of each answer and the seconds to it.
    """

    __slots__ = (
        "_clock",
        "_codec",
        "_discarded",
        "_held",
        "_last_event_id",
        "_on_started",
        "_pool",
        "_request",
        "_request_id",
        "_responder",
        "_started",
        "_writing",
    )

    def __init__(
        self,
        codec: Codec,
        pool: ConnectionPool,
        clock: Callable[[], float],
        request: Request,
        request_id: str,
        responder: Responder,
        on_started: Callable[[ev.Forward, AnswerHead, float], None],
    ) -> None:
        self._codec = codec
        self._pool = pool
        self._clock = clock
        self._request = request
        self._request_id = request_id
        self._responder = responder
        self._on_started = on_started
        self._held: HeldAnswer | None = None
        self._last_event_id: int | None = None
        self._started = False
        self._discarded = False
        # True while the caller does not take what was written.
        self._writing = False

    def discard(self) -> None:
        """Reads the answer to its end without delivering it: the caller has left."""
        self._discarded = True

    async def deliver_held(self) -> None:
        """Delivers the answer that the last attempt held."""
        held = self._held
        await self._responder.send(held.status, held.body, held.headers)

    async def attempt(self, forward: ev.Forward) -> ev.Outcome:
        """Sends the request to one backend server."""
        once = not forward.route.repeatable
        sent_at = self._clock()
        try:
            connection, used = await self._pool.acquire(sent_at, forward.server, once)
        except ConnectFailed as error:
            refused = isinstance(error.__cause__, ConnectionRefusedError)
            return ev.NotSent(str(error), refused)
        whole = False
        try:
            # One limit for head, body and delivery, whatever arrives meanwhile.
            async with asyncio.timeout(forward.deadline_at - self._clock()):
                outcome, whole = await self._exchange(
                    connection, used, forward, sent_at
                )
        except TimeoutError as error:
            if self._writing:
                self._responder.abort()
                raise ConnectionAbortedError("the caller does not read") from error
            reason = str(error) or "the deadline passed"
            outcome = ev.Broken(reason, self._started, silent=True)
        except (ConnectionLost, ValueError) as error:
            outcome = ev.Broken(str(error), self._started)
        finally:
            if not whole:
                connection.close()
        return outcome

    async def _exchange(
        self,
        connection: ServerConnection,
        used: bool,
        forward: ev.Forward,
        sent_at: float,
    ) -> tuple[ev.Outcome, bool]:
        """Returns the outcome and whether the connection was given back.

        :param used: the connection carried other requests before.
        """
        self._send(connection, forward, sent_at)
        head, wire = await self._head(connection, used, forward)
        first_s = self._clock() - sent_at
        self._on_started(forward, head, first_s)
        if head.not_run:
            # Before the body, which nobody needs: the connection is not kept.
            return ev.Rejected(head.status, head.other_instance), False
        if 200 <= head.status < 300:
            if not head.sealed or head.encoded:
                raise ConnectionLost("the answer does not carry the server's signature")
            if forward.route.kind is RequestKind.STREAMING:
                await self._relay_stream(connection, forward, head)
            else:
                await self._relay_plain(connection, forward, head)
        else:
            body = await self._read(connection, forward)
            self._give_back(connection, forward, wire)
            return await self._error_answer(forward, head, body, sent_at), True
        self._give_back(connection, forward, wire)
        return ev.Completed(head.status, self._clock() - sent_at), True

    def _send(self, connection, forward: ev.Forward, now: float) -> None:
        resumed = "" if self._last_event_id is None else str(self._last_event_id)
        source = forward.source
        upstream = Upstream(
            forward.server.id,
            forward.deadline_at - now,
            forward.workspace,
            forward.priority,
            resumed,
            f"{source.host}:{source.port}" if source else "",
        )
        headers = self._codec.encode_request(self._request, upstream)
        request = self._request
        connection.send(request.method, request.target, headers, request.body)

    async def _head(self, connection, used: bool, forward):
        """Waits for the head of this request's answer and skips those of others.

        A refusal may name no request. On a connection that was used before it may be
        a late copy of one to another request, and so proves nothing of this one.
        """
        for _ in range(MAX_STRAY_ANSWERS + 1):
            response = await connection.head(forward.silence_s)
            wire = [
                (name.decode("latin-1"), value.decode("latin-1"))
                for name, value in response.headers
            ]
            head = self._codec.decode_answer(response.status_code, wire)
            if head.request_id == self._request_id:
                return head, wire
            if not head.request_id and head.not_run:
                if used:
                    raise ConnectionLost("a refusal on a used connection has no id")
                return head, wire
            log.info(
                "skipped an answer to another request",
                extra={"request": self._request_id, "answer": head.request_id},
            )
            await connection.skip_answer(forward.silence_s)
        raise ConnectionLost("only answers to other requests came")

    def _give_back(self, connection, forward, wire: Headers) -> None:
        fields = dict(wire)
        closing = "close" in fields.get("connection", "").lower()
        self._pool.release(
            self._clock(),
            forward.server,
            connection,
            fields.get("keep-alive", ""),
            closing,
        )

    async def _read(self, connection, forward, limit: int = HOLD_BYTES) -> bytes:
        body = bytearray()
        async for data in connection.body(forward.silence_s):
            body += data
            if len(body) > limit:
                raise ConnectionLost(f"the error answer is over {limit} bytes")
        return bytes(body)

    async def _error_answer(
        self, forward: ev.Forward, head: AnswerHead, body: bytes, sent_at: float
    ) -> ev.Outcome:
        """Decides whether a server's error is delivered, held or not to be shown."""
        if not head.sealed or head.status in PROMISES:
            # The server did not say that the request has not run, so a status that
            # promises this may not be passed on.
            raise ConnectionLost(f"status {head.status} without proof")
        if self._started:
            raise ConnectionLost(f"status {head.status} after a resumption")
        self._held = HeldAnswer(head.status, head.headers, body)
        if head.status >= 500:
            return ev.FailedAnswer(head.status)
        await self.deliver_held()
        return ev.Completed(head.status, self._clock() - sent_at)

    async def _relay_plain(self, connection, forward, head: AnswerHead) -> None:
        """Holds a small answer until it is whole; passes a large one on."""
        held = bytearray()
        streaming = False
        async for data in connection.body(forward.silence_s):
            if streaming:
                await self._write(data)
                connection.note_progress()
                continue
            held += data
            if len(held) > HOLD_BYTES:
                streaming = True
                await self._start(head, bytes(held))
        if self._discarded:
            return
        if streaming:
            await self._responder.finish()
        else:
            await self._responder.send(head.status, bytes(held), head.headers)

    async def _relay_stream(self, connection, forward, head: AnswerHead) -> None:
        """Passes whole events on as they arrive.

        The head is sent with the first event: before that the request can still be
        sent to another server. Only whole events are progress.
        """
        reader = EventReader(self._last_event_id, resumed=self._started)
        while True:
            event = await connection.next_event(forward.silence_s)
            if isinstance(event, h11.EndOfMessage):
                break
            if not isinstance(event, h11.Data):
                raise ConnectionLost("the answer was cut")
            whole = reader.feed(bytes(event.data))
            if whole:
                await self._start(head, whole)
                self._last_event_id = reader.last_id
                connection.note_progress()
        if reader.rest() or not self._started:
            await self._start(head, reader.rest())
        if not self._discarded:
            await self._responder.finish()

    async def _start(self, head: AnswerHead, data: bytes) -> None:
        if not self._started and not self._discarded:
            self._started = True
            await self._responder.start(head.status, head.headers, defer_send=True)
        await self._write(data)

    async def _write(self, data: bytes) -> None:
        if not self._discarded:
            self._writing = True
            await self._responder.write(data)
            self._writing = False
