"""The HTTP response to a caller, written by the attempts of its request."""

from collections.abc import Callable

from heatherswitch.fleet.outcomes import Failed, Finished, NotRun, Outcome
from heatherswitch.router.calls import Call
from heatherswitch.router.errors import outcome_response
from heatherswitch.router.headers import forwarded_response_headers
from heatherswitch.router.openai import EVENT_STREAM, stream_error_event
from heatherswitch.router.telemetry import Telemetry
from heatherswitch.util.clock import Clock
from heatherswitch.util.http import Headers
from heatherswitch.util.http_server import Responder

# Larger responses are sent before they are complete, to bound memory per request.
MAX_BUFFER_BYTES = 1024 * 1024


class CallerResponse:
    """Sends a response to the caller, either streamed or buffered.

    A streamed response is sent from its first body byte on. Any other response is
    buffered until it is verified, so that a retry can replace an invalid one. Above
    :data:`MAX_BUFFER_BYTES`, or without memory for it, it is streamed as well.

    :param closing: tells whether the caller's connection should be closed after
        this response.
    """

    __slots__ = (
        "_arrived_at",
        "_buffer",
        "_call",
        "_clock",
        "_closing",
        "_headers",
        "_last_chunk_at",
        "_responder",
        "_status",
        "_streaming",
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
        self._last_chunk_at = 0.0
        self.reset()

    @property
    def delivered(self) -> bool:
        """True once any byte of the response was sent to the caller."""
        return self._responder.started

    def reset(self) -> None:
        """Discards the buffered response of an earlier attempt."""
        self._buffer = bytearray()
        self._headers: Headers = []
        self._status = 0
        self._streaming = False

    async def write_head(self, status: int, headers: Headers, replayed: bool) -> None:
        """Stores status and headers; they are sent with the first body byte.

        :param replayed: the agent returned the stored response of an earlier request
            with the same idempotency key.
        """
        self._status = status
        self._headers = forwarded_response_headers(headers)
        self._headers.append(("X-Request-Id", self._call.caller_request_id))
        if replayed:
            self._headers.append(("Idempotency-Replayed", "true"))
        self._streaming = self._call.stream or self._is_event_stream

    async def write_body(self, data: bytes) -> None:
        """Sends or buffers the next part of the body."""
        self._record_timing()
        if not self._streaming:
            self._buffer += data
            size = len(self._buffer)
            self._streaming = size > MAX_BUFFER_BYTES or not self._responder.hold(size)
            if not self._streaming:
                return
            data = bytes(self._buffer)
            self._buffer.clear()
        if not self._responder.started:
            # Chunked encoding without Content-Length: the caller sees an incomplete
            # body until the final chunk, which is sent after verification.
            await self._responder.start(
                self._status, self._connection_headers(self._headers), defer_send=True
            )
        await self._responder.write(data)

    async def finish(self, outcome: Outcome) -> None:
        """Completes the response, or makes its failure visible to the caller."""
        seconds = self._clock.now() - self._arrived_at
        self._telemetry.record_request(self._call, outcome, seconds)
        if not isinstance(outcome, Finished):
            await self._send_error(outcome)
        elif self._responder.started:
            await self._responder.finish()
        else:
            await self._responder.send(
                self._status,
                bytes(self._buffer),
                self._connection_headers(self._headers),
            )

    async def _send_error(self, outcome: NotRun | Failed) -> None:
        call = self._call
        error = outcome_response(outcome, call.idempotent)
        request_id = call.caller_request_id
        if not self._responder.started:
            headers = self._connection_headers(
                [("X-Request-Id", request_id), *error.headers()]
            )
            await self._responder.send_json(
                error.status, error.body(request_id), headers
            )
        elif self._is_event_stream:
            # No final chunk follows, so the connection closes and the caller sees an
            # incomplete body.
            await self._responder.write(stream_error_event(error, request_id))

    def _connection_headers(self, headers: Headers) -> Headers:
        """Adds ``Connection: close`` if the caller should use another router next."""
        return [*headers, ("Connection", "close")] if self._closing() else headers

    @property
    def _is_event_stream(self) -> bool:
        return any(
            name.lower() == "content-type" and value.lower().startswith(EVENT_STREAM)
            for name, value in self._headers
        )

    def _record_timing(self) -> None:
        now = self._clock.now()
        if not self._last_chunk_at:
            self._telemetry.observe_first_byte(self._call, now - self._arrived_at)
        elif self._streaming:
            self._telemetry.observe_token_gap(self._call, now - self._last_chunk_at)
        self._last_chunk_at = now
