"""Test client that sends requests to the routers and verifies the responses."""

import asyncio
import json
import time
from dataclasses import dataclass, field
from typing import Any

from emulator.completions import expected_completion
from emulator.deployments import bearer_headers
from emulator.standin import HistoryFile
from heatherswitch.util.http import ConnectFailed, ConnectionLost, Headers
from heatherswitch.util.http_client import HttpClient, HttpResponse

CHAT_PATH = "/v1/chat/completions"
# Maximum number of requests sent for one call.
MAX_ATTEMPTS = 6
# Seconds for which a router that refused a connection gets no requests, as behind a
# load balancer.
ROUTER_EXCLUSION_S = 2.0
# Longest wait before a retry, in seconds, even if the refusal asks for a longer one.
MAX_RETRY_WAIT_S = 1.0
# Shortest wait before the first retry, in seconds. It doubles with each further retry.
INITIAL_RETRY_WAIT_S = 0.1
# Seconds without data after which an attempt fails.
READ_TIMEOUT_S = 30.0
OUTCOMES = ("answered", "refused", "no_answer", "wrong")


@dataclass(frozen=True, slots=True)
class Call:
    """A request to the routers, which may take several attempts.

    :param path: path at the router, for example ``/ledger/settle``.
    :param body: value that is sent as JSON; None sends an empty body.
    :param key: idempotency key, or an empty string.
    :param timeout_ms: the caller's deadline, or 0 for the deadline of the class.
    """

    request_id: str
    workspace: str
    request_class: str
    path: str
    body: Any = None
    method: str = "POST"
    key: str = ""
    chat_id: str = ""
    timeout_ms: int = 0

    def headers(self, request_id: str, api_key: str) -> Headers:
        """Returns the request headers of one attempt.

        :param request_id: id of the attempt, which differs from that of the call.
        """
        headers = bearer_headers(api_key) if api_key else []
        headers.append(("Content-Type", "application/json"))
        headers.append(("X-Request-Id", request_id))
        optional = {
            "X-Request-Class": self.request_class,
            "Idempotency-Key": self.key,
            "X-Chat-Id": self.chat_id,
            "X-Request-Timeout-Ms": str(self.timeout_ms or ""),
        }
        headers += [(name, value) for name, value in optional.items() if value]
        return headers


@dataclass(slots=True)
class CallResult:
    """Result of a call. Times are in seconds since the start of the call.

    :param outcome: one of :data:`OUTCOMES`.
    :param error_outcome: ``not_run``, ``outcome_unknown`` or ``failed``, as stated
        in the error response.
    :param retry: retry advice of the error response.
    :param problem: description of the error, or an empty string.
    :param token_gaps_s: times between consecutive tokens of a stream.
    :param value: parsed body of a JSON response.
    :param attempts: number of requests sent for this call.
    :param replayed: the response is a stored one of an earlier attempt.
    """

    outcome: str = "no_answer"
    status: int = 0
    error_outcome: str = ""
    retry: str = ""
    retry_after_s: float = 0.0
    problem: str = ""
    first_token_s: float = 0.0
    total_s: float = 0.0
    token_gaps_s: list[float] = field(default_factory=list)
    prompt_tokens: int = 0
    cached_tokens: int = 0
    text: str = ""
    value: Any = None
    attempts: int = 1
    replayed: bool = False

    @property
    def retryable(self) -> bool:
        """Whether the request may be sent again with the same idempotency key."""
        if self.outcome == "refused":
            return self.retry in ("same_key", "later")
        return self.outcome == "no_answer"


class Caller:
    """Sends calls to several routers in turn, like a load balancer."""

    __slots__ = (
        "_clients",
        "_excluded_until",
        "_history",
        "_keys",
        "_next_router",
        "_read_timeout_s",
    )

    def __init__(
        self,
        addresses: list[str],
        keys: dict[str, str],
        history: HistoryFile | None = None,
        read_timeout_s: float = READ_TIMEOUT_S,
    ) -> None:
        """:param addresses: addresses at which the routers accept callers.
        :param keys: API key by workspace.
        :param history: file for the events of each attempt.
        :param read_timeout_s: seconds without data after which an attempt fails.
        """
        self._clients = {a: HttpClient.from_address(a) for a in addresses}
        self._keys = keys
        self._history = history or HistoryFile(None)
        self._read_timeout_s = read_timeout_s
        self._next_router = 0
        # Monotonic time until which a router gets no requests, by its address.
        self._excluded_until: dict[str, float] = {}

    def close(self) -> None:
        """Closes idle connections and the history file."""
        for client in self._clients.values():
            client.close()
        self._history.close()

    async def call(self, call: Call, max_attempts: int = MAX_ATTEMPTS) -> CallResult:
        """Sends a call and retries it through the next router where that is allowed.

        The retries carry the same idempotency key and a new request id.

        :returns: the result of the last attempt, with times since the first one.
        """
        started = time.monotonic()
        result = CallResult()
        first, self._next_router = self._next_router, self._next_router + 1
        for attempt in range(1, max_attempts + 1):
            address = self._select_router(first + attempt - 1)
            result = await self._send_attempt(call, attempt, address, started)
            result.attempts = attempt
            if not result.retryable or attempt == max_attempts:
                break
            if address not in self._excluded_until:
                wait_s = max(
                    result.retry_after_s, INITIAL_RETRY_WAIT_S * 2 ** (attempt - 1)
                )
                await asyncio.sleep(min(MAX_RETRY_WAIT_S, wait_s))
        return result

    def exclude_router(self, address: str, seconds: float) -> None:
        """Sends no requests to a router for a while, as if its readiness check failed."""
        self._excluded_until[address] = time.monotonic() + seconds

    def _select_router(self, number: int) -> str:
        """Returns the router at a position of the rotation over those not excluded.

        All routers take part if all are excluded.
        """
        now = time.monotonic()
        for address, until in list(self._excluded_until.items()):
            if now > until:
                del self._excluded_until[address]
        addresses = [a for a in self._clients if a not in self._excluded_until]
        addresses = addresses or list(self._clients)
        return addresses[number % len(addresses)]

    async def _send_attempt(
        self, call: Call, attempt: int, address: str, started: float
    ) -> CallResult:
        request_id = f"{call.request_id}.{attempt}"
        event_fields = {
            "request_id": request_id,
            "call": call.request_id,
            "workspace": call.workspace,
            "class": call.request_class,
            "path": call.path,
            "key": call.key,
            "router": address,
            "connected": True,
        }
        self._history.write("asked", **event_fields)
        result = CallResult()
        try:
            await self._send_request(call, request_id, address, result, started)
        except ConnectFailed as error:
            result.problem = str(error)
            self._excluded_until[address] = time.monotonic() + ROUTER_EXCLUSION_S
            # Without a connection the router cannot have received the request.
            event_fields["connected"] = False
        except (ConnectionLost, TimeoutError) as error:
            result.outcome = "no_answer"
            result.problem = str(error) or "timeout"
        result.total_s = time.monotonic() - started
        self._history.write(
            result.outcome,
            **event_fields,
            status=result.status,
            outcome=result.error_outcome,
            problem=result.problem,
            seconds=result.total_s,
        )
        return result

    async def _send_request(self, call, request_id, address, result, started) -> None:
        body = b"" if call.body is None else json.dumps(call.body).encode()
        headers = call.headers(request_id, self._keys.get(call.workspace, ""))
        response = await self._clients[address].request(
            call.method, call.path, headers, body, self._read_timeout_s
        )
        try:
            result.status = response.status
            result.replayed = response.header("idempotency-replayed") == "true"
            content_type = response.header("content-type")
            if content_type.startswith("text/event-stream"):
                await _read_stream(response, result, started)
            else:
                await _read_json(response, result, started)
        except asyncio.CancelledError:
            response.close()
            raise
        if result.outcome == "answered":
            _verify_response(call, request_id, response, result)


async def _read_json(response: HttpResponse, result: CallResult, started) -> None:
    text = await response.read()
    result.first_token_s = time.monotonic() - started
    try:
        result.value = json.loads(text) if text else None
    except ValueError:
        result.outcome, result.problem = "wrong", "the answer is not JSON"
        return
    if response.status >= 300:
        _set_refusal(result, result.value)
        return
    result.outcome = "answered"
    if isinstance(result.value, dict) and "choices" in result.value:
        result.text = result.value["choices"][0]["message"]["content"]
        _set_usage(result, result.value.get("usage"))


async def _read_stream(response: HttpResponse, result: CallResult, started) -> None:
    """Reads server-sent events; a stream that lacks ``[DONE]`` counts as wrong."""
    buffered = b""
    last_token_at = None
    finished = False
    stream_error = "the stream ended without its end mark"
    async for chunk in response.chunks():
        buffered += chunk
        *events, buffered = buffered.split(b"\n\n")
        now = time.monotonic()
        for event in events:
            data = event.removeprefix(b"data: ").strip()
            if data == b"[DONE]":
                finished = True
            elif data:
                try:
                    last_token_at = _apply_stream_event(
                        json.loads(data), result, started, now, last_token_at
                    )
                except ValueError:
                    # A router truncates an event when the attempt fails, and then
                    # has to send an error event.
                    finished, stream_error = False, "an event of the stream is not JSON"
    if result.outcome != "refused":
        result.outcome = "answered" if finished else "wrong"
        result.problem = "" if finished else stream_error


def _apply_stream_event(
    value, result: CallResult, started, now, last_token_at
) -> float | None:
    """Adds one stream event to the result and returns the time of the last token."""
    if "error" in value:
        _set_refusal(result, value)
        return last_token_at
    _set_usage(result, value.get("usage"))
    choices = value.get("choices") or [{}]
    content = choices[0].get("delta", {}).get("content")
    if not content:
        return last_token_at
    result.text += content
    if last_token_at is None:
        result.first_token_s = now - started
    else:
        result.token_gaps_s.append(now - last_token_at)
    return now


def _set_usage(result: CallResult, usage: Any) -> None:
    if usage:
        result.prompt_tokens = usage["prompt_tokens"]
        details = usage.get("prompt_tokens_details") or {}
        result.cached_tokens = details.get("cached_tokens", 0)


def _set_refusal(result: CallResult, value: Any) -> None:
    error = value.get("error") if isinstance(value, dict) else None
    error = error if isinstance(error, dict) else {}
    result.outcome = "refused"
    result.error_outcome = error.get("outcome", "")
    result.retry = error.get("retry", "")
    result.retry_after_s = (error.get("retry_after_ms") or 0) / 1000
    result.problem = f"{result.status} {error.get('code')}: {error.get('message')}"


def _verify_response(
    call: Call, request_id: str, response: HttpResponse, result
) -> None:
    """Sets the outcome to ``wrong`` if the response does not match its request."""
    echoed = response.header("x-request-id")
    if echoed != request_id:
        result.problem = f"request id {request_id} came back as {echoed!r}"
    elif call.path == CHAT_PATH:
        body = call.body
        if result.text != expected_completion(body["messages"], body.get("max_tokens")):
            result.problem = "the text does not belong to the request"
    elif call.key and (result.value or {}).get("key") != call.key:
        result.problem = "the receipt does not belong to the key"
    if result.problem:
        result.outcome = "wrong"
