"""The callers' HTTP API: authentication, route lookup and request limits."""

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
from heatherswitch.router.caller_response import CallerResponse
from heatherswitch.router.calls import Call
from heatherswitch.router.errors import (
    ErrorResponse,
    InvalidRequest,
    invalid_request_response,
    outcome_response,
)
from heatherswitch.router.events import NO_PARTITION
from heatherswitch.router.headers import forwarded_request_headers
from heatherswitch.router.telemetry import Telemetry
from heatherswitch.util.clock import Clock
from heatherswitch.util.http import Request
from heatherswitch.util.http_server import Responder

# Largest accepted value of X-Request-Timeout-Ms.
MAX_TIMEOUT_MS = 3_600_000
CHAT_PATH = "/v1/chat/completions"
MODELS_PATH = "/v1/models"
# A request that repeats one of these headers is rejected, as its meaning would depend on
# which value is read.
_NON_REPEATABLE_HEADERS = (
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


class CallExecutor(Protocol):
    """Executes validated requests."""

    async def run(self, call: Call, response: CallerResponse) -> None:
        """Executes the request and completes its response."""


class CallerApi:
    """Validates callers' requests and passes them on as :class:`Call` objects.

    :param config: returns the current configuration.
    :param ready: tells whether the configuration is recent enough to serve requests.
    :param stopping: tells whether the router is shutting down, so that responses must
        close the connection.
    """

    __slots__ = ("_clock", "_config", "_ready", "_runner", "_stopping", "_telemetry")

    def __init__(
        self,
        config: Callable[[], FleetConfig],
        runner: CallExecutor,
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
        """Validates and executes one HTTP request."""
        caller_request_id = request.header("x-request-id")
        if not _REQUEST_ID.fullmatch(caller_request_id):
            caller_request_id = uuid.uuid4().hex
        try:
            self._check_headers(request)
            if not self._ready():
                refusal = NotRun(Reason.NOT_READY, 0, "the router is starting")
                await _send_error(
                    responder, outcome_response(refusal, True), caller_request_id
                )
                return
            workspace = self._authenticate(request)
            if (request.method, request.path) == ("GET", MODELS_PATH):
                await self._send_models(responder, caller_request_id)
                return
            call = self._build_call(request, workspace, caller_request_id)
        except InvalidRequest as error:
            await _send_error(
                responder, invalid_request_response(error), caller_request_id
            )
            return
        response = CallerResponse(
            call, responder, self._clock, self._telemetry, self._stopping
        )
        await self._runner.run(call, response)

    def _check_headers(self, request: Request) -> None:
        names = [name for name, _ in request.headers]
        for name in _NON_REPEATABLE_HEADERS:
            if names.count(name) > 1:
                raise InvalidRequest(400, "repeated_header", f"{name} is repeated")
        request_id = request.header("x-request-id")
        if request_id and not _REQUEST_ID.fullmatch(request_id):
            raise InvalidRequest(
                400,
                "invalid_request_id",
                "X-Request-Id must be 1 to 128 letters, digits or one of . _ : -",
            )

    def _authenticate(self, request: Request) -> str:
        """Returns the workspace of the caller's API key.

        :raises InvalidRequest: if the key is missing or unknown.
        """
        scheme, _, key = request.header("authorization").partition(" ")
        digest = hashlib.sha256(key.strip().encode()).hexdigest()
        workspace = self._config().tree.workspace_for_key_digest(digest)
        if scheme.lower() != "bearer" or workspace is None:
            raise InvalidRequest(401, "invalid_api_key", "the API key is unknown")
        return workspace

    async def _send_models(self, responder: Responder, caller_request_id: str) -> None:
        services = [s for s in self._config().tree.services() if self._is_engine(s)]
        headers = [("X-Request-Id", caller_request_id)]
        await responder.send_json(200, openai.models_body(services), headers)

    def _is_engine(self, service: str) -> bool:
        return self._config().settings(service=service).is_engine

    def _build_call(
        self, request: Request, workspace: str, caller_request_id: str
    ) -> Call:
        if request.path == CHAT_PATH:
            return self._chat_call(request, workspace, caller_request_id)
        return self._plain_call(request, workspace, caller_request_id)

    def _chat_call(
        self, request: Request, workspace: str, caller_request_id: str
    ) -> Call:
        if request.method != "POST":
            raise InvalidRequest(404, "no_such_route", f"{CHAT_PATH} needs POST")
        chat = openai.parse_chat_request(
            request.body, request.header("x-chat-id"), workspace
        )
        services = self._config().tree.services()
        if chat.model not in services or not self._is_engine(chat.model):
            message = f"the model {chat.model!r} does not exist"
            raise InvalidRequest(404, "model_not_found", message)
        settings = self._settings(request, chat.model, workspace)
        selected_class = _request_class(request, settings, "")
        return Call(
            request_id=_fleet_request_id(request, caller_request_id),
            caller_request_id=caller_request_id,
            service=chat.model,
            workspace=workspace,
            request_class=selected_class.name,
            priority=selected_class.priority,
            chat_key=chat.chat_key,
            deadline_at=self._deadline_at(request, settings, selected_class),
            method="POST",
            target=CHAT_PATH,
            route=CHAT_PATH,
            headers=forwarded_request_headers(request.headers),
            body=request.body,
            stream=chat.stream,
            traceparent=_traceparent(request),
        )

    def _plain_call(
        self, request: Request, workspace: str, caller_request_id: str
    ) -> Call:
        service, _, rest = request.target.removeprefix("/").partition("/")
        target = "/" + rest
        path = target.split("?", 1)[0]
        config = self._config()
        exists = service in config.tree.services() and not self._is_engine(service)
        _reject_ambiguous_path(path)
        settings = config.settings(service=service, workspace=workspace)
        route = settings.route(request.method, path) if exists else None
        if route is None:
            message = f"no route {request.method} {request.path}"
            raise InvalidRequest(404, "no_such_route", message)
        settings = self._settings(request, service, workspace)
        selected_class = _request_class(request, settings, route.request_class)
        key = "" if route.idempotent else _idempotency_key(request)
        partition = NO_PARTITION
        if key:
            # Read without the workspace: all workspaces must use the same number of
            # partitions.
            count = config.settings(service=service).get("partitions")
            partition = partition_of(service, workspace, key, count)
        return Call(
            request_id=_fleet_request_id(request, caller_request_id),
            caller_request_id=caller_request_id,
            service=service,
            workspace=workspace,
            request_class=selected_class.name,
            priority=selected_class.priority,
            chat_key=key or request.header("x-chat-id") or path,
            deadline_at=self._deadline_at(request, settings, selected_class),
            method=request.method,
            target=target,
            route=route.path,
            headers=forwarded_request_headers(request.headers),
            body=request.body,
            idempotent=route.idempotent,
            idempotency_key=key,
            partition=partition,
            traceparent=_traceparent(request),
        )

    def _settings(self, request: Request, service: str, workspace: str) -> Settings:
        """Returns the effective settings.

        :raises InvalidRequest: if the body is larger than they allow.
        """
        settings = self._config().settings(service=service, workspace=workspace)
        limit = settings.get("limits.body_bytes")
        if request.body_length > limit:
            message = f"the body is over {limit} bytes"
            raise InvalidRequest(413, "body_too_large", message)
        return settings

    def _deadline_at(
        self, request: Request, settings: Settings, selected_class: RequestClass
    ) -> float:
        """Returns the deadline in seconds since the epoch.

        :raises InvalidRequest: if the timeout header is invalid.
        """
        timeout_ms = request.header("x-request-timeout-ms")
        if not timeout_ms:
            longest = settings.get("limits.request_timeout_s")
            return self._clock.now() + min(selected_class.deadline_s, longest)
        valid = timeout_ms.isascii() and timeout_ms.isdigit() and len(timeout_ms) <= 9
        if not valid or not 0 < int(timeout_ms) <= MAX_TIMEOUT_MS:
            raise InvalidRequest(
                400,
                "invalid_timeout",
                f"X-Request-Timeout-Ms must be a number from 1 to {MAX_TIMEOUT_MS}",
            )
        return self._clock.now() + int(timeout_ms) / 1000


def _fleet_request_id(request: Request, caller_request_id: str) -> str:
    """Returns a request id that is unique in the fleet.

    A caller must not be able to choose it: agents look up running requests by this
    id, so one that equals another workspace's ``X-Request-Id`` would reach that
    workspace's request.
    """
    if not request.header("x-request-id"):
        return caller_request_id
    return f"{uuid.uuid4().hex}.{caller_request_id}"


def _request_class(
    request: Request, settings: Settings, route_class: str
) -> RequestClass:
    name = request.header("x-request-class") or route_class
    selected_class = settings.request_class(name)
    if selected_class is None:
        raise InvalidRequest(400, "unknown_class", f"no request class {name!r}")
    return selected_class


def _idempotency_key(request: Request) -> str:
    key = request.header("idempotency-key")
    if not _IDEMPOTENCY_KEY.fullmatch(key):
        raise InvalidRequest(
            400,
            "idempotency_key_required",
            "this route needs an Idempotency-Key of 1 to 255 visible characters",
        )
    return key


def _reject_ambiguous_path(path: str) -> None:
    """Rejects paths that a backend server could resolve to another route.

    :raises InvalidRequest: if the path is ambiguous.
    """
    decoded = unquote(path)
    segments = decoded.split("/")[1:]
    # Some servers strip ";" parameters before they resolve dot segments.
    dots = any(part.split(";")[0] in (".", "..") for part in segments)
    encoded = "%2f" in path.lower() or "%" in decoded
    special = "\\" in decoded or "#" in decoded or not decoded.isprintable()
    if dots or "" in segments[:-1] or encoded or special:
        raise InvalidRequest(400, "invalid_path", "the path is ambiguous")


def _traceparent(request: Request) -> str:
    """Returns the W3C ``traceparent`` header, or an empty string if it is invalid."""
    value = request.header("traceparent")
    return value if _TRACEPARENT.fullmatch(value) else ""


async def _send_error(
    responder: Responder, error: ErrorResponse, caller_request_id: str
) -> None:
    headers = [("X-Request-Id", caller_request_id), *error.headers()]
    await responder.send_json(error.status, error.body(caller_request_id), headers)
