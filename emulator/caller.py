"""Client library for tests: sends requests as callers do and checks the answers."""

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
# Requests sent for one call at most.
MAX_ATTEMPTS = 6
# A router that refused a connection is left out this long, in seconds, as by a
# load balancer.
DOWN_S = 2.0
# Longest wait before a repeat, in seconds, whatever the refusal asks for.
MAX_RETRY_WAIT_S = 1.0
# Shortest wait before the first repeat, in seconds; it doubles with each further one.
RETRY_WAIT_S = 0.1
# Seconds without any data after which a caller gives up.
SILENCE_TIMEOUT_S = 30.0
OUTCOMES = ("answered", "refused", "no_answer", "wrong")


@dataclass(frozen=True, slots=True)
class Call:
    """One request of a caller.

    :param path: path at the router, for example ``/ledger/settle``.
    :param key: idempotency key, or an empty string.
    :param timeout_ms: the caller's deadline, or 0 for that of the class.
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
        """Returns the headers of one attempt."""
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
    """What a caller got. Times are in seconds since the call.

    :param outcome: one of :data:`OUTCOMES`.
    :param error_outcome: ``not_run``, ``outcome_unknown`` or ``failed`` as the
        refusal states it.
    :param problem: what was wrong, for people.
    :param attempts: requests sent for this call.
    """

    outcome: str = "no_answer"
    status: int = 0
    error_outcome: str = ""
    retry: str = ""
    retry_after_s: float = 0.0
    problem: str = ""
    first_token_s: float = 0.0
    whole_s: float = 0.0
    gaps_s: list[float] = field(default_factory=list)
    prompt_tokens: int = 0
    cached_tokens: int = 0
    text: str = ""
    value: Any = None
    attempts: int = 1
    replayed: bool = False

    @property
    def may_repeat(self) -> bool:
        """True when a caller repeats the request, with the same key."""
        if self.outcome == "refused":
            return self.retry in ("same_key", "later")
        return self.outcome == "no_answer"


class Caller:
    """Sends calls through several routers, as a load balancer spreads them."""

    __slots__ = (
        "_clients",
        "_down_until",
        "_history",
        "_keys",
        "_next",
        "_silence_s",
    )

    def __init__(
        self,
        addresses: list[str],
        keys: dict[str, str],
        history: HistoryFile | None = None,
        silence_s: float = SILENCE_TIMEOUT_S,
    ) -> None:
        """:param addresses: caller addresses of the routers.
        :param keys: API key by workspace.
        """
        self._clients = {a: HttpClient.from_address(a) for a in addresses}
        self._keys = keys
        self._history = history or HistoryFile(None)
        self._silence_s = silence_s
        self._next = 0
        # Time by router until which it gets no request.
        self._down_until: dict[str, float] = {}

    def close(self) -> None:
        """Closes idle connections and the history."""
        for client in self._clients.values():
            client.close()
        self._history.close()

    async def call(self, call: Call, max_attempts: int = MAX_ATTEMPTS) -> CallResult:
        """Sends a call and repeats it through the next router if it may be repeated.

        The repeats carry the same idempotency key and a new request id.
        """
        started = time.monotonic()
        result = CallResult()
        first, self._next = self._next, self._next + 1
        for attempt in range(1, max_attempts + 1):
            address = self._pick_address(first + attempt - 1)
            result = await self._attempt(call, attempt, address, started)
            result.attempts = attempt
            if not result.may_repeat or attempt == max_attempts:
                break
            if address not in self._down_until:
                wait_s = max(result.retry_after_s, RETRY_WAIT_S * 2 ** (attempt - 1))
                await asyncio.sleep(min(MAX_RETRY_WAIT_S, wait_s))
        return result

    def take_out(self, address: str, seconds: float) -> None:
        """Sends a router nothing for a while, as when its readiness check failed."""
        self._down_until[address] = time.monotonic() + seconds

    def _pick_address(self, number: int) -> str:
        """Returns a router, without those that refused a connection lately."""
        now = time.monotonic()
        for address, until in list(self._down_until.items()):
            if now > until:
                del self._down_until[address]
        addresses = [a for a in self._clients if a not in self._down_until]
        addresses = addresses or list(self._clients)
        return addresses[number % len(addresses)]

    async def _attempt(
        self, call: Call, attempt: int, address: str, started: float
    ) -> CallResult:
        request_id = f"{call.request_id}.{attempt}"
        noted = {
            "request_id": request_id,
            "call": call.request_id,
            "workspace": call.workspace,
            "class": call.request_class,
            "path": call.path,
            "key": call.key,
            "router": address,
            "connected": True,
        }
        self._history.write("asked", **noted)
        result = CallResult()
        try:
            await self._exchange(call, request_id, address, result, started)
        except ConnectFailed as error:
            result.problem = str(error)
            self._down_until[address] = time.monotonic() + DOWN_S
            # The request was certainly not taken.
            noted["connected"] = False
        except (ConnectionLost, TimeoutError) as error:
            result.outcome = "no_answer"
            result.problem = str(error) or "timeout"
        result.whole_s = time.monotonic() - started
        self._history.write(
            result.outcome,
            **noted,
            status=result.status,
            outcome=result.error_outcome,
            problem=result.problem,
            seconds=result.whole_s,
        )
        return result

    async def _exchange(self, call, request_id, address, result, started) -> None:
        body = b"" if call.body is None else json.dumps(call.body).encode()
        headers = call.headers(request_id, self._keys.get(call.workspace, ""))
        response = await self._clients[address].request(
            call.method, call.path, headers, body, self._silence_s
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
            _check(call, request_id, response, result)


async def _read_json(response: HttpResponse, result: CallResult, started) -> None:
    text = await response.read()
    result.first_token_s = time.monotonic() - started
    try:
        result.value = json.loads(text) if text else None
    except ValueError:
        result.outcome, result.problem = "wrong", "the answer is not JSON"
        return
    if response.status >= 300:
        _take_error(result, result.value)
        return
    result.outcome = "answered"
    if isinstance(result.value, dict) and "choices" in result.value:
        result.text = result.value["choices"][0]["message"]["content"]
        _take_usage(result, result.value.get("usage"))


async def _read_stream(response: HttpResponse, result: CallResult, started) -> None:
    """Reads server-sent events; a stream without its end mark is no answer."""
    pending = b""
    last = None
    finished = False
    broken = "the stream ended without its end mark"
    async for chunk in response.chunks():
        pending += chunk
        *events, pending = pending.split(b"\n\n")
        now = time.monotonic()
        for event in events:
            data = event.removeprefix(b"data: ").strip()
            if data == b"[DONE]":
                finished = True
            elif data:
                try:
                    last = _take_event(json.loads(data), result, started, now, last)
                except ValueError:
                    # An event that was cut; an error event has to follow.
                    finished, broken = False, "an event of the stream is not JSON"
    if result.outcome != "refused":
        result.outcome = "answered" if finished else "wrong"
        result.problem = "" if finished else broken


def _take_event(value, result: CallResult, started, now, last) -> float | None:
    """Adds one event to the result and returns the time of the last token."""
    if "error" in value:
        _take_error(result, value)
        return last
    _take_usage(result, value.get("usage"))
    choices = value.get("choices") or [{}]
    content = choices[0].get("delta", {}).get("content")
    if not content:
        return last
    result.text += content
    if last is None:
        result.first_token_s = now - started
    else:
        result.gaps_s.append(now - last)
    return now


def _take_usage(result: CallResult, usage: Any) -> None:
    if usage:
        result.prompt_tokens = usage["prompt_tokens"]
        details = usage.get("prompt_tokens_details") or {}
        result.cached_tokens = details.get("cached_tokens", 0)


def _take_error(result: CallResult, value: Any) -> None:
    error = value.get("error") if isinstance(value, dict) else None
    error = error if isinstance(error, dict) else {}
    result.outcome = "refused"
    result.error_outcome = error.get("outcome", "")
    result.retry = error.get("retry", "")
    result.retry_after_s = (error.get("retry_after_ms") or 0) / 1000
    result.problem = f"{result.status} {error.get('code')}: {error.get('message')}"


def _check(call: Call, request_id: str, response: HttpResponse, result) -> None:
    """Turns an answer that does not belong to its request into ``wrong``."""
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
