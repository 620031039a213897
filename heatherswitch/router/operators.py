"""HTTP API for operators: settings, zone and version moves, and status."""

import hmac
import logging
import math
from dataclasses import asdict
from typing import Any
from urllib.parse import parse_qsl, unquote

from heatherswitch.exchange.node import FleetNode
from heatherswitch.fleet.records import MoveKind, RecordError
from heatherswitch.fleet.settings import LEVELS, Selector, SettingsError
from heatherswitch.router import operator_views as views
from heatherswitch.router.operator_commands import (
    CommandResult,
    OperatorCommands,
    PartialApplyError,
)
from heatherswitch.router.store_writer import (
    NotWritten,
    StoreWriter,
    WritableStore,
    WriteConflict,
    WriteError,
    WriteOutcomeUnknown,
)
from heatherswitch.util.clock import Clock
from heatherswitch.util.http import BadRequest, HttpLimits, Request
from heatherswitch.util.http_server import HttpServer, Responder
from heatherswitch.util.traces import RequestTraces

log = logging.getLogger("heatherswitch.operators")

# The largest requests apply settings; 28,000 nodes take about 5 MB.
MAX_BODY_BYTES = 16 * 1024 * 1024
# A body is held as received and as parsed JSON.
BODY_COPIES = 8
# Memory for the requests of operators if no setting limits it.
DEFAULT_MEMORY_BYTES = 160_000_000
# Concurrent connections of operators and their tools.
MAX_CONNECTIONS = 64
# Largest deadline of a move; the settings schema has the same limit.
MAX_DEADLINE_S = 30 * 86400.0

_ZONE_MOVE_KINDS = {"out": MoveKind.ZONE_OUT, "back": MoveKind.ZONE_BACK}


class OperatorError(Exception):
    """An operator request that is rejected.

    :param status: HTTP status.
    :param code: machine-readable error code.
    :param fields: additional fields of the JSON error.
    """

    def __init__(self, status: int, code: str, message: str, **fields: Any) -> None:
        super().__init__(message)
        self.status = status
        self.body = {"message": message, "code": code, **fields}


class OperatorApi:
    """Handles the operator requests of one router."""

    __slots__ = ("_clock", "_commands", "_node", "_token", "_traces")

    def __init__(
        self,
        node: FleetNode,
        commands: OperatorCommands,
        token: str,
        clock: Clock,
        traces: RequestTraces | None = None,
    ) -> None:
        self._node = node
        self._commands = commands
        self._token = token
        self._clock = clock
        self._traces = traces or RequestTraces()

    @classmethod
    def from_config(
        cls,
        store: WritableStore,
        node: FleetNode,
        token: str,
        router_id: str,
        clock: Clock | None = None,
        traces: RequestTraces | None = None,
    ) -> "OperatorApi":
        """Builds the operator API of one router.

        :param token: bearer token of the operators; if empty, all requests are
            rejected.
        :param traces: log lines of this router's recent requests.
        """
        clock = clock or Clock()
        commands = OperatorCommands(StoreWriter(store), node, router_id, clock)
        return cls(node, commands, token, clock, traces)

    def server(self, memory_bytes: int = DEFAULT_MEMORY_BYTES) -> HttpServer:
        """Returns an HTTP server for this API, which is not started yet.

        :param memory_bytes: memory that requests may hold together.
        """
        limits = HttpLimits(
            body_bytes=MAX_BODY_BYTES,
            connections=MAX_CONNECTIONS,
            memory_bytes=memory_bytes,
            body_copies=BODY_COPIES,
        )
        return HttpServer(self.handle, limits, self._screen)

    def _screen(self, request: Request) -> None:
        """Rejects a request without the operators' token before its body is read.

        :raises BadRequest: with status 401.
        """
        try:
            self._authenticate(request)
        except OperatorError as error:
            raise BadRequest(error.status, str(error)) from error

    async def handle(self, request: Request, responder: Responder) -> None:
        """Responds to one HTTP request."""
        try:
            self._authenticate(request)
            status, body = 200, await self._route(request)
        except OperatorError as error:
            status, body = error.status, {"error": error.body}
        except (SettingsError, WriteError, PartialApplyError, RecordError) as error:
            status, body = _error_response(error)
        headers = [("WWW-Authenticate", "Bearer")] if status == 401 else []
        await responder.send_json(status, body, headers)

    def _authenticate(self, request: Request) -> None:
        scheme, _, given = request.header("authorization").partition(" ")
        token_matches = hmac.compare_digest(
            given.strip().encode(), self._token.encode()
        )
        if scheme.lower() != "bearer" or not self._token or not token_matches:
            raise OperatorError(
                401, "unauthorized", "give the operator token as a bearer token"
            )

    async def _route(self, request: Request) -> dict[str, Any]:
        parts = [unquote(part) for part in request.path.strip("/").split("/")]
        method = request.method
        match [method, *parts]:
            case ["GET", "v1", "settings"]:
                return views.settings_view(self._node)
            case ["GET", "v1", "effective"]:
                return views.effective_view(self._node, _selector(request))
            case ["GET", "v1", "explain"]:
                return views.explain_view(self._node, _selector(request))
            case ["GET", "v1", "status"]:
                return views.status_view(self._node, self._clock.now())
            case ["GET", "v1", "moves"]:
                now = self._clock.now()
                moves = [views.move_view(m, now) for m in self._node.config.moves]
                return {"moves": moves}
            case ["GET", "v1", "moves", move_id]:
                return self._move_status(move_id)
            case ["GET", "v1", "requests", request_id]:
                return self._request_trace(request_id)
        return await self._announce_change(
            await self._route_command(method, parts, request)
        )

    async def _route_command(self, method: str, parts: list[str], request: Request):
        match [method, *parts]:
            case ["PUT", "v1", "settings"]:
                return await self._put_settings(request)
            case ["DELETE", "v1", "settings"]:
                query = _parsed_query(request, "path", "revision")
                revision = _parsed_revision(query.get("revision"))
                return await self._commands.delete_node(_required_path(query), revision)
            case ["POST", "v1", "apply"]:
                return await self._apply(request)
            case ["POST", "v1", "zones", zone, ("out" | "back") as direction]:
                deadline_s = _validated_deadline_s(_parsed_body(request, "deadline_s"))
                return await self._commands.move_zone(
                    zone, _ZONE_MOVE_KINDS[direction], deadline_s
                )
            case ["POST", "v1", "versions", service, version, "start"]:
                deadline_s = _validated_deadline_s(_parsed_body(request, "deadline_s"))
                return await self._commands.start_version(service, version, deadline_s)
            case ["POST", "v1", "versions", service, version, "take-back"]:
                _parsed_body(request)
                return await self._commands.take_back_version(service, version)
        raise OperatorError(404, "not_found", f"no such call: {method} {request.path}")

    async def _announce_change(
        self, result: CommandResult | dict[str, Any]
    ) -> dict[str, Any]:
        """Sends an accepted change to the peers and returns the response body."""
        if isinstance(result, dict):
            response, changed = result, bool(result.get("written"))
        else:
            response, changed = {"revision": result.revision}, True
            if result.move_id:
                response["move"] = result.move_id
        if changed:
            log.info("operator change accepted", extra=response)
            # The response does not wait for peers, which may be unreachable.
            self._node.schedule_exchange()
        return response

    def _move_status(self, move_id: str) -> dict[str, Any]:
        for move in self._node.config.moves:
            if move.id == move_id:
                return views.move_view(move, self._clock.now())
        raise OperatorError(404, "not_found", f"no move {move_id!r}")

    def _request_trace(self, request_id: str) -> dict[str, Any]:
        lines = [asdict(line) for line in self._traces.lines(request_id)]
        if not lines:
            message = f"this router has no lines of request {request_id!r}"
            raise OperatorError(404, "not_found", message)
        return {"request_id": request_id, "lines": lines}

    async def _put_settings(self, request: Request) -> CommandResult:
        path = _required_path(_parsed_query(request, "path"))
        body = _parsed_body(request, "overrides", "revision")
        if "overrides" not in body:
            raise _invalid("overrides", None, "an object of settings")
        revision = _validated_revision(body.get("revision"))
        return await self._commands.put_node(path, body["overrides"], revision)

    async def _apply(self, request: Request) -> dict[str, Any]:
        body = _parsed_body(request, "nodes", "dry_run", "revision")
        nodes = body.get("nodes")
        dry_run = body.get("dry_run", False)
        if not isinstance(nodes, dict):
            raise _invalid("nodes", nodes, "an object from path to overrides or null")
        if not isinstance(dry_run, bool):
            raise _invalid("dry_run", dry_run, "true or false")
        revision = _validated_revision(body.get("revision"))
        applied = await self._commands.apply(nodes, revision, dry_run)
        return {
            "revision": applied.revision,
            "changed": applied.changed,
            "written": applied.written,
            "dry_run": dry_run,
        }


def _error_response(error: Exception) -> tuple[int, dict[str, Any]]:
    if isinstance(error, PartialApplyError):
        status, body = _error_response(error.cause)
        body["error"]["written"] = list(error.written)
        # Some transactions were committed, so the outcome is not "not_run".
        if body["error"].get("outcome") == "not_run":
            body["error"]["outcome"] = "failed"
        return status, body
    fields: dict[str, Any] = {}
    if isinstance(error, SettingsError):
        status, code = 400, "invalid_setting"
        fields = {"path": error.path, "name": error.name}
    elif isinstance(error, WriteConflict):
        status, code = 409, "conflict"
        fields = {"outcome": "not_run", "revision": error.revision}
    elif isinstance(error, NotWritten):
        status, code, fields = 503, "store_unavailable", {"outcome": "not_run"}
    elif isinstance(error, WriteOutcomeUnknown):
        status, code, fields = 504, "store_silent", {"outcome": "outcome_unknown"}
    else:
        status, code, fields = 502, "failed", {"outcome": "failed"}
    return status, {"error": {"message": str(error), "code": code, **fields}}


def _invalid(name: str, value: Any, allowed: str) -> OperatorError:
    message = f"{name}: {value!r} is not allowed; allowed: {allowed}"
    return OperatorError(400, "invalid_request", message, name=name)


def _parsed_query(request: Request, *allowed: str) -> dict[str, str]:
    query = dict(parse_qsl(request.query, keep_blank_values=True))
    for name in query:
        if name not in allowed:
            raise _invalid(f"query parameter {name}", query[name], ", ".join(allowed))
    return query


def _selector(request: Request) -> Selector:
    return Selector(**_parsed_query(request, *LEVELS))


def _required_path(query: dict[str, str]) -> str:
    if "path" not in query:
        raise _invalid("path", None, "a path such as /service=ledger")
    return query["path"]


def _parsed_body(request: Request, *allowed: str) -> dict[str, Any]:
    if not request.body and "nodes" not in allowed and "overrides" not in allowed:
        return {}
    try:
        body = request.json()
    except BadRequest as error:
        raise OperatorError(400, "invalid_request", str(error)) from error
    if not isinstance(body, dict):
        raise _invalid("body", type(body).__name__, "a JSON object")
    for name in body:
        if name not in allowed:
            allowed_fields = ", ".join(allowed) or "no fields"
            raise _invalid(f"field {name}", body[name], allowed_fields)
    return body


def _validated_revision(value: Any) -> int | None:
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    if value is not None and not (is_integer and 0 <= value < 2**63):
        raise _invalid("revision", value, "a whole number from 0, or null")
    return value


def _parsed_revision(value: str | None) -> int | None:
    if value is None:
        return None
    if not (value.isascii() and value.isdigit()):
        raise _invalid("revision", value, "a whole number from 0")
    return _validated_revision(int(value))


def _validated_deadline_s(body: dict[str, Any]) -> float | None:
    value = body.get("deadline_s")
    if value is None:
        return None
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    if not is_number or not math.isfinite(value) or not 1 <= value <= MAX_DEADLINE_S:
        raise _invalid("deadline_s", value, f"1 to {MAX_DEADLINE_S:g} seconds")
    return float(value)
