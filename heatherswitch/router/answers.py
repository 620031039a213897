"""The answer to one caller, across the attempts of its request."""

from collections.abc import Callable

from heatherswitch.fleet.outcomes import Failed, Finished, NotRun, Outcome
from heatherswitch.router.calls import Call
from heatherswitch.router.errors import outcome_answer
from heatherswitch.router.headers import answer_headers
from heatherswitch.router.openai import EVENT_STREAM, stream_error
from heatherswitch.router.telemetry import Telemetry
from heatherswitch.util.clock import Clock
from heatherswitch.util.http import Headers
from heatherswitch.util.http_server import Responder

# A larger answer is passed on before it is complete, in bytes.
BUFFER_BYTES = 1024 * 1024


class CallerAnswer:
    """Passes an answer on, or holds it until it is known to be whole.

    A stream starts with its first body byte. Any other answer is held, so that a
    broken one can be replaced by a retry, unless it outgrows the buffer.
    """

    __slots__ = (
        "_arrived_at",
        "_buffer",
        "_call",
        "_clock",
        "_closing",
        "_headers",
        "_last_part_at",
        "_responder",
        "_status",
        "_streams",
        "_telemetry",
    )

    def __init__(
        self,
        call: Call,
        responder: Responder,
        clock: Clock,
        telemetry: Telemetry,
        closing: Callable[[], bool] = lambda: False,
    ) -> None:
        self._call = call
        self._responder = responder
        self._clock = clock
        self._telemetry = telemetry
        self._closing = closing
        self._arrived_at = clock.now()
        self._last_part_at = 0.0
        self.restart()

    @property
    def delivered(self) -> bool:
        """True when a byte of the answer was sent to the caller."""
        return self._responder.started

    def restart(self) -> None:
        """Forgets what an earlier attempt left in the buffer."""
        self._buffer = bytearray()
        self._headers: Headers = []
        self._status = 0
        self._streams = False

    async def head(self, status: int, headers: Headers, replayed: bool) -> None:
        """Takes status and headers of the answer."""
        self._status = status
        self._headers = answer_headers(headers)
        self._headers.append(("X-Request-Id", self._call.caller_request_id))
        if replayed:
            self._headers.append(("Idempotency-Replayed", "true"))
        self._streams = self._call.stream or self._is_event_stream

    async def body(self, data: bytes) -> None:
        """Takes the next part of the body."""
        self._observe_part()
        if not self._streams:
            self._buffer += data
            self._streams = len(self._buffer) > BUFFER_BYTES
            if not self._streams:
                return
            data = bytes(self._buffer)
            self._buffer.clear()
        if not self._responder.started:
            # Without Content-Length the answer is only whole with its final
            # chunk, which is sent after the checks.
            await self._responder.start(
                self._status, self._connection_headers(self._headers), hold=True
            )
        await self._responder.write(data)

    async def end(self, outcome: Outcome) -> None:
        """Ends the answer; a broken one is visibly so."""
        seconds = self._clock.now() - self._arrived_at
        self._telemetry.ended(self._call, outcome, seconds)
        if not isinstance(outcome, Finished):
            await self._fail(outcome)
        elif self._responder.started:
            await self._responder.finish()
        else:
            await self._responder.send(
                self._status,
                bytes(self._buffer),
                self._connection_headers(self._headers),
            )

    async def _fail(self, outcome: NotRun | Failed) -> None:
        call = self._call
        error = outcome_answer(outcome, call.idempotent)
        body_id = call.caller_request_id
        if not self._responder.started:
            headers = self._connection_headers(
                [("X-Request-Id", body_id), *error.headers()]
            )
            await self._responder.send_json(error.status, error.body(body_id), headers)
        elif self._is_event_stream:
            # The final chunk is left out as well, so that the connection closes.
            await self._responder.write(stream_error(error, body_id))

    def _connection_headers(self, headers: Headers) -> Headers:
        """Adds what makes the caller open its next connection elsewhere."""
        return [*headers, ("Connection", "close")] if self._closing() else headers

    @property
    def _is_event_stream(self) -> bool:
        return any(
            name.lower() == "content-type" and value.lower().startswith(EVENT_STREAM)
            for name, value in self._headers
        )

    def _observe_part(self) -> None:
        now = self._clock.now()
        if not self._last_part_at:
            self._telemetry.first_byte(self._call, now - self._arrived_at)
        elif self._streams:
            self._telemetry.token_gap(self._call, now - self._last_part_at)
        self._last_part_at = now
