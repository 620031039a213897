"""The HTTP front for callers: identity, routes and limits."""

import hashlib
import re
import uuid
from collections.abc import Callable
from typing import Protocol
from urllib.parse import unquote

from heatherswitch.fleet.config import FleetConfig
from heatherswitch.fleet.outcomes import NotRun, Reason
from heatherswitch.fleet.partitions import partition_of
from heatherswitch.fleet.settings import RequestClass, Settings
from heatherswitch.router import openai
from heatherswitch.router.answers import CallerAnswer
from heatherswitch.router.calls import Call
from heatherswitch.router.errors import (
    ErrorAnswer,
    InvalidRequest,
    invalid_answer,
    outcome_answer,
)
from heatherswitch.router.events import NO_PARTITION
from heatherswitch.router.headers import request_headers
from heatherswitch.router.telemetry import Telemetry
from heatherswitch.util.clock import Clock
from heatherswitch.util.http import Request
from heatherswitch.util.http_server import Responder

# Longest deadline that a caller may set, in milliseconds.
MAX_TIMEOUT_MS = 3_600_000
CHAT_TARGET = "/v1/chat/completions"
MODELS_TARGET = "/v1/models"
# Headers whose meaning would depend on which of two values is read.
_SINGLE_HEADERS = (
    "authorization",
    "idempotency-key",
    "x-chat-id",
    "x-request-class",
    "x-request-id",
    "x-request-timeout-ms",
)
_REQUEST_ID = re.compile(r"[A-Za-z0-9._:-]{1,128}")
_IDEMPOTENCY_KEY = re.compile(r"[\x21-\x7e]{1,255}")
_TRACEPARENT = re.compile(r"[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}")


class CallRunner(Protocol):
    """Runs a checked request to its end."""

    async def run(self, call: Call, answer: CallerAnswer) -> None:
        """Runs the request and ends its answer."""


class CallerFront:
    """Turns callers' requests into calls.

    :param config: returns the configuration in force.
    :param ready: tells whether the configuration is recent enough to serve.
    :param stopping: tells whether connections should not be reused.
    """

    __slots__ = ("_clock", "_config", "_ready", "_runner", "_stopping", "_telemetry")

    def __init__(
        self,
        config: Callable[[], FleetConfig],
        runner: CallRunner,
        clock: Clock,
        telemetry: Telemetry,
        ready: Callable[[], bool] = lambda: True,
        stopping: Callable[[], bool] = lambda: False,
    ) -> None:
        self._config = config
        self._runner = runner
        self._clock = clock
        self._telemetry = telemetry
        self._ready = ready
        self._stopping = stopping

    async def handle(self, request: Request, responder: Responder) -> None:
        """Serves one request."""
        caller_id = request.header("x-request-id")
        if not _REQUEST_ID.fullmatch(caller_id):
            caller_id = uuid.uuid4().hex
        try:
            self._check_headers(request)
            if not self._ready():
                refusal = NotRun(Reason.NOT_READY, 0, "the router is starting")
                await _send_error(responder, outcome_answer(refusal, True), caller_id)
                return
            workspace = self._workspace(request)
            if (request.method, request.path) == ("GET", MODELS_TARGET):
                await self._send_models(responder, caller_id)
                return
            call = self._call(request, workspace, caller_id)
        except InvalidRequest as error:
            await _send_error(responder, invalid_answer(error), caller_id)
            return
        answer = CallerAnswer(
            call, responder, self._clock, self._telemetry, self._stopping
        )
        await self._runner.run(call, answer)

    def _check_headers(self, request: Request) -> None:
        names = [name for name, _ in request.headers]
        for name in _SINGLE_HEADERS:
            if names.count(name) > 1:
                raise InvalidRequest(400, "repeated_header", f"{name} is repeated")
        given = request.header("x-request-id")
        if given and not _REQUEST_ID.fullmatch(given):
            raise InvalidRequest(
                400,
                "invalid_request_id",
                "X-Request-Id must be 1 to 128 letters, digits or one of . _ : -",
            )

    def _workspace(self, request: Request) -> str:
        """Returns the workspace that the API key names."""
        scheme, _, key = request.header("authorization").partition(" ")
        digest = hashlib.sha256(key.strip().encode()).hexdigest()
        workspace = self._config().tree.workspace_for_key_digest(digest)
        if scheme.lower() != "bearer" or workspace is None:
            raise InvalidRequest(401, "invalid_api_key", "the API key is unknown")
        return workspace

    async def _send_models(self, responder: Responder, caller_id: str) -> None:
        services = [s for s in self._config().tree.services() if self._is_engine(s)]
        headers = [("X-Request-Id", caller_id)]
        await responder.send_json(200, openai.models_body(services), headers)

    def _is_engine(self, service: str) -> bool:
        return self._config().settings(service=service).is_engine

    def _call(self, request: Request, workspace: str, caller_id: str) -> Call:
        if request.path == CHAT_TARGET:
            return self._chat_call(request, workspace, caller_id)
        return self._plain_call(request, workspace, caller_id)

    def _chat_call(self, request: Request, workspace: str, caller_id: str) -> Call:
        if request.method != "POST":
            raise InvalidRequest(404, "no_such_route", f"{CHAT_TARGET} needs POST")
        chat = openai.parse_chat(request.body, request.header("x-chat-id"), workspace)
        services = self._config().tree.services()
        if chat.model not in services or not self._is_engine(chat.model):
            message = f"the model {chat.model!r} does not exist"
            raise InvalidRequest(404, "model_not_found", message)
        settings = self._settings(request, chat.model, workspace)
        chosen = _request_class(request, settings, "")
        return Call(
            request_id=_internal_id(request, caller_id),
            caller_request_id=caller_id,
            service=chat.model,
            workspace=workspace,
            request_class=chosen.name,
            priority=chosen.priority,
            chat_key=chat.chat_key,
            deadline_at=self._deadline(request, settings, chosen),
            method="POST",
            target=CHAT_TARGET,
            route=CHAT_TARGET,
            headers=request_headers(request.headers),
            body=request.body,
            stream=chat.stream,
            traceparent=_traceparent(request),
        )

    def _plain_call(self, request: Request, workspace: str, caller_id: str) -> Call:
        service, _, rest = request.target.removeprefix("/").partition("/")
        target = "/" + rest
        path = target.split("?", 1)[0]
        config = self._config()
        known = service in config.tree.services() and not self._is_engine(service)
        _check_path(path)
        settings = config.settings(service=service, workspace=workspace)
        route = settings.route(request.method, path) if known else None
        if route is None:
            message = f"no route {request.method} {request.path}"
            raise InvalidRequest(404, "no_such_route", message)
        settings = self._settings(request, service, workspace)
        chosen = _request_class(request, settings, route.request_class)
        key = "" if route.idempotent else _idempotency_key(request)
        partition = NO_PARTITION
        if key:
            # The number of partitions must not differ between workspaces.
            count = config.settings(service=service).get("partitions")
            partition = partition_of(service, workspace, key, count)
        return Call(
            request_id=_internal_id(request, caller_id),
            caller_request_id=caller_id,
            service=service,
            workspace=workspace,
            request_class=chosen.name,
            priority=chosen.priority,
            chat_key=key or request.header("x-chat-id") or path,
            deadline_at=self._deadline(request, settings, chosen),
            method=request.method,
            target=target,
            route=route.path,
            headers=request_headers(request.headers),
            body=request.body,
            idempotent=route.idempotent,
            idempotency_key=key,
            partition=partition,
            traceparent=_traceparent(request),
        )

    def _settings(self, request: Request, service: str, workspace: str) -> Settings:
        """Returns the effective settings after the check of the body's size."""
        settings = self._config().settings(service=service, workspace=workspace)
        limit = settings.get("limits.body_bytes")
        if len(request.body) > limit:
            message = f"the body is over {limit} bytes"
            raise InvalidRequest(413, "body_too_large", message)
        return settings

    def _deadline(
        self, request: Request, settings: Settings, chosen: RequestClass
    ) -> float:
        """Returns the deadline in seconds since the epoch."""
        given = request.header("x-request-timeout-ms")
        if not given:
            longest = settings.get("limits.request_timeout_s")
            return self._clock.now() + min(chosen.deadline_s, longest)
        valid = given.isascii() and given.isdigit() and len(given) <= 9
        if not valid or not 0 < int(given) <= MAX_TIMEOUT_MS:
            raise InvalidRequest(
                400,
                "invalid_timeout",
                f"X-Request-Timeout-Ms must be a number from 1 to {MAX_TIMEOUT_MS}",
            )
        return self._clock.now() + int(given) / 1000


def _internal_id(request: Request, caller_id: str) -> str:
    """Returns an id that no caller can choose.

    Agents find running requests by it, so a caller that repeats the
    ``X-Request-Id`` of another workspace must not reach that request.
    """
    if not request.header("x-request-id"):
        return caller_id
    return f"{uuid.uuid4().hex}.{caller_id}"


def _request_class(
    request: Request, settings: Settings, route_class: str
) -> RequestClass:
    name = request.header("x-request-class") or route_class
    chosen = settings.request_class(name)
    if chosen is None:
        raise InvalidRequest(400, "unknown_class", f"no request class {name!r}")
    return chosen


def _idempotency_key(request: Request) -> str:
    key = request.header("idempotency-key")
    if not _IDEMPOTENCY_KEY.fullmatch(key):
        raise InvalidRequest(
            400,
            "idempotency_key_required",
            "this route needs an Idempotency-Key of 1 to 255 visible characters",
        )
    return key


def _check_path(path: str) -> None:
    """Refuses paths that a backend server may read as another route."""
    decoded = unquote(path)
    segments = decoded.split("/")[1:]
    # Some servers cut parameters after ";" before they resolve dot segments.
    dots = any(part.split(";")[0] in (".", "..") for part in segments)
    encoded = "%2f" in path.lower() or "%" in decoded
    special = "\\" in decoded or "#" in decoded or not decoded.isprintable()
    if dots or "" in segments[:-1] or encoded or special:
        raise InvalidRequest(400, "invalid_path", "the path is ambiguous")


def _traceparent(request: Request) -> str:
    """Returns a valid W3C trace context, or an empty string."""
    value = request.header("traceparent")
    return value if _TRACEPARENT.fullmatch(value) else ""


async def _send_error(responder: Responder, error: ErrorAnswer, caller_id: str) -> None:
    headers = [("X-Request-Id", caller_id), *error.headers()]
    await responder.send_json(error.status, error.body(caller_id), headers)
