"""HTTP client for the backend server: requests, response validation and probes."""

import asyncio
import json
import math
import re
from dataclasses import dataclass, field
from typing import Any

import h11

from heatherswitch.util.http import ConnectFailed, ConnectionLost, Headers
from heatherswitch.util.http_client import HttpClient, HttpResponse
from heatherswitch.util.untrusted import (
    MalformedInput,
    parse_object,
    read_field,
    require_integer,
    require_number,
    require_object,
)

# Headers that apply to a single connection and are not forwarded.
HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
# Headers that the agent sets itself, and the caller's credentials, which are for the
# routers and must not reach the backend server.
DROPPED_REQUEST_HEADERS = HOP_BY_HOP_HEADERS | {
    "authorization",
    "content-length",
    "expect",
    "host",
    "idempotency-key",
    "traceparent",
    "x-fencing-scope",
    "x-fencing-token",
    "x-priority",
    "x-request-id",
    "x-workspace",
}
DROPPED_RESPONSE_HEADERS = HOP_BY_HOP_HEADERS | {"x-request-id"}
# Timeout of a health or load probe, in seconds.
PROBE_TIMEOUT_S = 2.0
# Largest probe response that is read, in bytes.
MAX_PROBE_BODY_BYTES = 1024 * 1024
# Largest JSON response or server-sent event that is buffered to read usage, in bytes.
MAX_USAGE_BODY_BYTES = 4 * 1024 * 1024
SSE_END_MARKER = b"data: [DONE]"
BODILESS_STATUSES = (204, 304)

# Largest number of tokens that a message between agents and routers can hold.
MAX_TOKENS = 2**32 - 1
_LOAD_METRIC = re.compile(
    r"^(?:\w+:)?(num_requests_running|num_requests_waiting|process_start_time_seconds)"
    r"(?:\{[^}]*\})?\s+([-+0-9.eE]+)",
    re.MULTILINE,
)


class BackendError(Exception):
    """The backend server sent no complete and valid response.

    :param code: short machine-readable cause.
    """

    # Whether any part of the request may have reached the server.
    sent = True

    def __init__(self, code: str, detail: str = "") -> None:
        super().__init__(detail or code)
        self.code = code


class RequestNotSent(BackendError):
    """No part of the request was sent, so the backend server cannot have run it."""

    sent = False


@dataclass(frozen=True, slots=True)
class BackendCall:
    """One request to the backend server.

    :param epoch: fencing token; 0 for none.
    :param scope: namespace of the fencing token, ``<service>/<partition>``, because
        each partition counts its own epochs.
    :param workspace: sent to application services only, which know no API keys.
    :param priority: class priority for an engine; 0 is served first.
    :param engine: True for a model engine, whose streams end with ``[DONE]``.
    :param timeout_s: seconds for the whole response.
    :param stall_timeout_s: seconds without data after which a stream is aborted.
    """

    request_id: str
    method: str
    target: str
    headers: Headers = field(default_factory=list)
    body: bytes = b""
    traceparent: str = ""
    idempotent: bool = True
    idempotency_key: str = ""
    epoch: int = 0
    scope: str = ""
    workspace: str = ""
    priority: int | None = None
    engine: bool = True
    timeout_s: float = 60.0
    stall_timeout_s: float = 3.0


@dataclass(frozen=True, slots=True)
class Usage:
    """Token counts that an engine reports for one response."""

    prompt_tokens: int = 0
    cached_tokens: int = 0
    completion_tokens: int = 0

    @property
    def computed_tokens(self) -> int:
        """Prompt tokens that were not in the cache."""
        return max(0, self.prompt_tokens - self.cached_tokens)


@dataclass(frozen=True, slots=True)
class Health:
    """Result of a health probe.

    :param incarnation: id of the server process, or None when it reports none.
    :param started_at: start of the server process in seconds since the epoch, or None.
    """

    healthy: bool
    incarnation: str | None = None
    started_at: float | None = None


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """The load that a backend server reports, which lags behind its real load.

    :param started_at: start of the server process in seconds since the epoch, or None.
    """

    running: int
    waiting: int
    started_at: float | None = None


class ResponseSink:
    """Receives a response as it arrives; the base class discards it."""

    async def head(self, status: int, headers: Headers) -> None:
        """Called once with status and headers, before the body."""

    async def chunk(self, data: bytes) -> None:
        """Called with each part of the body; may wait to slow the sender down."""


class BodyValidator:
    """Scans a response body for the end marker of a stream and the token usage."""

    __slots__ = ("_data", "_end_marker_seen", "_is_sse", "_usage")

    def __init__(self, content_type: str) -> None:
        self._is_sse = content_type.startswith("text/event-stream")
        self._data = bytearray()
        self._end_marker_seen = False
        self._usage = Usage()

    @property
    def is_stream(self) -> bool:
        """True for server-sent events."""
        return self._is_sse

    def add(self, data: bytes) -> None:
        """Scans a part of the body.

        :raises BackendError: if an event of a stream is too long.
        """
        if not self._is_sse:
            if len(self._data) <= MAX_USAGE_BODY_BYTES:
                self._data += data
            return
        self._data += data
        if len(self._data) > MAX_USAGE_BODY_BYTES:
            raise BackendError("line_too_long", "an event of the stream has no end")
        *lines, rest = self._data.split(b"\n")
        self._data = rest
        for line in lines:
            self._add_line(bytes(line).strip())

    def finish(self, complete_without_marker: bool) -> Usage:
        """Checks the end of the body and returns the usage.

        :param complete_without_marker: False when a stream must end with ``[DONE]``.
        :raises BackendError: if the end marker is missing.
        """
        if self._is_sse:
            self._add_line(bytes(self._data).strip())
            if not self._end_marker_seen and not complete_without_marker:
                raise BackendError("truncated", "the stream ended without [DONE]")
        elif len(self._data) <= MAX_USAGE_BODY_BYTES and b'"usage"' in self._data:
            self._read_usage(bytes(self._data))
        return self._usage

    def _add_line(self, line: bytes) -> None:
        if line == SSE_END_MARKER:
            self._end_marker_seen = True
        elif b'"usage"' in line and line.startswith(b"data:"):
            self._read_usage(line[5:])

    def _read_usage(self, data: bytes) -> None:
        try:
            usage = read_field(parse_object(data), "usage", require_object, {})
            details = read_field(usage, "prompt_tokens_details", require_object, {})
            self._usage = Usage(
                read_field(usage, "prompt_tokens", _require_tokens, 0),
                read_field(details, "cached_tokens", _require_tokens, 0),
                read_field(usage, "completion_tokens", _require_tokens, 0),
            )
        except MalformedInput:
            # Usage is only a hint, and the response is forwarded unchanged without it.
            return


def _require_tokens(value: Any) -> int:
    return require_integer(value, maximum=MAX_TOKENS)


class BackendClient:
    """Sends requests and probes to one backend server."""

    __slots__ = ("_http",)

    def __init__(self, http: HttpClient) -> None:
        self._http = http

    @classmethod
    def from_address(cls, address: str) -> "BackendClient":
        """Builds a client from ``host:port``."""
        return cls(HttpClient.from_address(address))

    def close(self) -> None:
        """Closes idle connections."""
        self._http.close()

    async def call(self, call: BackendCall, sink: ResponseSink) -> Usage:
        """Sends a request and forwards its response to a sink.

        :raises RequestNotSent: if the server cannot have received the request.
        :raises BackendError: if the response is missing, truncated or belongs to
            another request.
        """
        try:
            async with asyncio.timeout(call.timeout_s):
                response = await self._send(call)
                try:
                    return await self._receive(call, response, sink)
                except BaseException:
                    response.close()
                    raise
        except TimeoutError as error:
            raise BackendError("timeout", "the answer took too long") from error

    async def _send(self, call: BackendCall) -> HttpResponse:
        fresh = not call.idempotent
        try:
            return await self._request(call, fresh)
        except ConnectFailed as error:
            raise RequestNotSent("connect_failed", str(error)) from error
        except (h11.LocalProtocolError, UnicodeEncodeError) as error:
            raise RequestNotSent("invalid_request", str(error)) from error
        except ConnectionLost as error:
            if fresh:
                raise BackendError("backend_closed", str(error)) from error
        # The server may have closed the idle connection just before it was reused.
        try:
            return await self._request(call, fresh=True)
        except (ConnectFailed, ConnectionLost) as error:
            raise BackendError("backend_closed", str(error)) from error

    async def _request(self, call: BackendCall, fresh: bool) -> HttpResponse:
        return await self._http.request(
            call.method,
            call.target,
            request_headers(call),
            request_body(call),
            timeout=call.timeout_s,
            new_connection=fresh,
        )

    async def _receive(self, call, response: HttpResponse, sink: ResponseSink) -> Usage:
        echoed = response.header("x-request-id")
        if echoed and echoed != call.request_id:
            raise BackendError("crossed_answer", f"the answer is for {echoed}")
        headers = response_headers(response.headers)
        validator = BodyValidator(response.header("content-type"))
        needs_marker = call.engine and validator.is_stream and response.status == 200
        if not needs_marker and not _has_known_length(call, response):
            raise BackendError(
                "length_missing",
                "the end cannot be recognised",
            )
        await sink.head(response.status, headers)
        try:
            await _forward_body(call, response, validator, sink)
        except ConnectionLost as error:
            raise BackendError("truncated", str(error)) from error
        return validator.finish(complete_without_marker=not needs_marker)

    async def health(self) -> Health:
        """Probes ``GET /health``; an unreachable server is reported as unhealthy."""
        body = await self._probe("/health")
        if body is None:
            return Health(False)
        try:
            value = parse_object(body)
        except MalformedInput:
            return Health(True)
        incarnation = value.get("incarnation")
        is_id = isinstance(incarnation, str | int | float)
        try:
            started_at = read_field(value, "started_at", require_number, None)
        except MalformedInput:
            started_at = None
        return Health(True, str(incarnation) if is_id else None, started_at)

    async def load(self) -> ServerLoad | None:
        """Reads ``/metrics``; returns None when the server reports no load."""
        body = await self._probe("/metrics")
        if body is None:
            return None
        return parse_load(body.decode("utf-8", "replace"))

    async def _probe(self, target: str) -> bytes | None:
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                response = await self._http.request("GET", target)
                body = await response.read(MAX_PROBE_BODY_BYTES)
        except (ConnectFailed, ConnectionLost, TimeoutError):
            return None
        return body if 200 <= response.status < 300 else None


def parse_load(text: str) -> ServerLoad | None:
    """Parses the load from Prometheus text, summed over labels.

    :returns: None when the number of running requests is missing.
    """
    sums: dict[str, float] = {}
    for name, value in _LOAD_METRIC.findall(text):
        try:
            sums[name] = sums.get(name, 0.0) + float(value)
        except ValueError:
            continue
    sums = {name: value for name, value in sums.items() if math.isfinite(value)}
    if "num_requests_running" not in sums:
        return None
    return ServerLoad(
        int(sums["num_requests_running"]),
        int(sums.get("num_requests_waiting", 0)),
        sums.get("process_start_time_seconds"),
    )


def request_headers(call: BackendCall) -> Headers:
    """Returns the headers to send to the backend server."""
    headers = [h for h in call.headers if h[0].lower() not in DROPPED_REQUEST_HEADERS]
    headers.append(("X-Request-Id", call.request_id))
    if call.traceparent:
        headers.append(("traceparent", call.traceparent))
    if call.idempotency_key:
        headers.append(("Idempotency-Key", call.idempotency_key))
    if call.epoch:
        headers.append(("X-Fencing-Token", str(call.epoch)))
        if call.scope:
            headers.append(("X-Fencing-Scope", call.scope))
    if call.workspace and not call.engine:
        headers.append(("X-Workspace", call.workspace))
    return headers


def request_body(call: BackendCall) -> bytes:
    """Returns the body to send to the backend server.

    An engine gets the class priority in the JSON field ``priority``. A value from the
    caller is overwritten, which could otherwise put it ahead of other workspaces.
    """
    body = call.body.strip()
    unchanged = not call.engine or call.priority is None
    if unchanged or not (body.startswith(b"{") and body.endswith(b"}")):
        return call.body
    # The name could be written with escapes, so a body with escapes is parsed too.
    if b'"priority"' not in body and b"\\u" not in body and b":" in body:
        # Appending avoids parsing up to a megabyte of JSON, which takes milliseconds.
        return body[:-1] + b',"priority":%d}' % call.priority
    try:
        value = json.loads(body)
        return json.dumps({**value, "priority": call.priority}).encode()
    except (ValueError, RecursionError):
        return call.body


def response_headers(headers: Headers) -> Headers:
    """Returns the response headers to forward to the caller."""
    return [h for h in headers if h[0].lower() not in DROPPED_RESPONSE_HEADERS]


def _has_known_length(call: BackendCall, response: HttpResponse) -> bool:
    if call.method == "HEAD" or response.status in BODILESS_STATUSES:
        return True
    names = {name for name, _ in response.headers}
    return bool(names & {"content-length", "transfer-encoding"})


async def _forward_body(
    call: BackendCall,
    response: HttpResponse,
    validator: BodyValidator,
    sink: ResponseSink,
) -> None:
    chunks = response.chunks()
    # The first token may take as long as the request may; later ones arrive steadily.
    stall_timeout_s = call.timeout_s
    while True:
        try:
            # Unlike wait_for, asyncio.timeout needs no extra task.
            async with asyncio.timeout(stall_timeout_s):
                data = await anext(chunks)
        except StopAsyncIteration:
            return
        except TimeoutError as error:
            raise BackendError("backend_silent", "the stream stopped") from error
        if validator.is_stream:
            stall_timeout_s = call.stall_timeout_s
        validator.add(data)
        await sink.chunk(data)
