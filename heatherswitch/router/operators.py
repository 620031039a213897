"""HTTP API for operators: settings, zone orders, version moves and status."""

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
from heatherswitch.router.orders import Accepted, Orders, PartlyApplied
from heatherswitch.router.store_writer import (
    Conflict,
    NotWritten,
    StoreWriter,
    WritableStore,
    WriteError,
    WriteUnknown,
)
from heatherswitch.util.clock import Clock
from heatherswitch.util.http import BadRequest, HttpLimits, Request
from heatherswitch.util.http_server import HttpServer, Responder
from heatherswitch.util.traces import RequestTraces

log = logging.getLogger("heatherswitch.operators")

# Body of an apply: 28,000 nodes take about 5 MB.
MAX_BODY_BYTES = 16 * 1024 * 1024
# Connections of operators and their tools open at once.
MAX_CONNECTIONS = 64
# Longest time for a move, in seconds, as in the settings schema.
MAX_DEADLINE_S = 30 * 86400.0

_ZONE_ORDERS = {"out": MoveKind.ZONE_OUT, "back": MoveKind.ZONE_BACK}


class OperatorError(Exception):
    """A request that is refused.

    :param status: HTTP status.
    :param fields: further fields of the JSON error.
    """

    def __init__(self, status: int, code: str, message: str, **fields: Any) -> None:
        super().__init__(message)
        self.status = status
        self.body = {"message": message, "code": code, **fields}


class OperatorApi:
    """Serves the operator listener of one router."""

    __slots__ = ("_clock", "_node", "_orders", "_token", "_traces")

    def __init__(
        self,
        node: FleetNode,
        orders: Orders,
        token: str,
        clock: Clock,
        traces: RequestTraces | None = None,
    ) -> None:
        self._node = node
        self._orders = orders
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
        """Builds the API.

        :param traces: log lines of this router's latest requests.

        :param token: bearer token of the operators; an empty one refuses all.
        """
        clock = clock or Clock()
        orders = Orders(StoreWriter(store), node, router_id, clock)
        return cls(node, orders, token, clock, traces)

    def server(self) -> HttpServer:
        """Returns a listener for this API; the caller starts it."""
        limits = HttpLimits(body_bytes=MAX_BODY_BYTES, connections=MAX_CONNECTIONS)
        return HttpServer(self.handle, limits)

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answers one request."""
        try:
            self._authenticate(request)
            status, body = 200, await self._route(request)
        except OperatorError as error:
            status, body = error.status, {"error": error.body}
        except (SettingsError, WriteError, PartlyApplied, RecordError) as error:
            status, body = _error_answer(error)
        headers = [("WWW-Authenticate", "Bearer")] if status == 401 else []
        await responder.send_json(status, body, headers)

    def _authenticate(self, request: Request) -> None:
        scheme, _, given = request.header("authorization").partition(" ")
        same = hmac.compare_digest(given.strip().encode(), self._token.encode())
        if scheme.lower() != "bearer" or not self._token or not same:
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
                return self._move(move_id)
            case ["GET", "v1", "requests", request_id]:
                return self._trace(request_id)
        return await self._accepted(await self._order(method, parts, request))

    async def _order(self, method: str, parts: list[str], request: Request):
        match [method, *parts]:
            case ["PUT", "v1", "settings"]:
                return await self._put_settings(request)
            case ["DELETE", "v1", "settings"]:
                query = _query(request, "path", "revision")
                revision = _revision_text(query.get("revision"))
                return await self._orders.delete_node(_path(query), revision)
            case ["POST", "v1", "apply"]:
                return await self._apply(request)
            case ["POST", "v1", "zones", zone, ("out" | "back") as order]:
                deadline_s = _deadline(_body(request, "deadline_s"))
                return await self._orders.zone(zone, _ZONE_ORDERS[order], deadline_s)
            case ["POST", "v1", "versions", service, version, "start"]:
                deadline_s = _deadline(_body(request, "deadline_s"))
                return await self._orders.start_version(service, version, deadline_s)
            case ["POST", "v1", "versions", service, version, "take-back"]:
                _body(request)
                return await self._orders.take_back_version(service, version)
        raise OperatorError(404, "not_found", f"no such call: {method} {request.path}")

    async def _accepted(self, result: Accepted | dict[str, Any]) -> dict[str, Any]:
        """Spreads an accepted change at once and returns the answer."""
        if isinstance(result, dict):
            answer, changed = result, bool(result.get("written"))
        else:
            answer, changed = {"revision": result.revision}, True
            if result.move_id:
                answer["move"] = result.move_id
        if changed:
            log.info("operator change accepted", extra=answer)
            # The answer does not wait for peers that may be unreachable.
            self._node.exchange_soon()
        return answer

    def _move(self, move_id: str) -> dict[str, Any]:
        for move in self._node.config.moves:
            if move.id == move_id:
                return views.move_view(move, self._clock.now())
        raise OperatorError(404, "not_found", f"no move {move_id!r}")

    def _trace(self, request_id: str) -> dict[str, Any]:
        lines = [asdict(line) for line in self._traces.lines(request_id)]
        if not lines:
            message = f"this router has no lines of request {request_id!r}"
            raise OperatorError(404, "not_found", message)
        return {"request_id": request_id, "lines": lines}

    async def _put_settings(self, request: Request) -> Accepted:
        path = _path(_query(request, "path"))
        body = _body(request, "overrides", "revision")
        if "overrides" not in body:
            raise _invalid("overrides", None, "an object of settings")
        revision = _revision(body.get("revision"))
        return await self._orders.put_node(path, body["overrides"], revision)

    async def _apply(self, request: Request) -> dict[str, Any]:
        body = _body(request, "nodes", "dry_run", "revision")
        nodes = body.get("nodes")
        dry_run = body.get("dry_run", False)
        if not isinstance(nodes, dict):
            raise _invalid("nodes", nodes, "an object from path to overrides or null")
        if not isinstance(dry_run, bool):
            raise _invalid("dry_run", dry_run, "true or false")
        revision = _revision(body.get("revision"))
        applied = await self._orders.apply(nodes, revision, dry_run)
        return {
            "revision": applied.revision,
            "changed": applied.changed,
            "written": applied.written,
            "dry_run": dry_run,
        }


def _error_answer(error: Exception) -> tuple[int, dict[str, Any]]:
    if isinstance(error, PartlyApplied):
        status, body = _error_answer(error.cause)
        body["error"]["written"] = list(error.written)
        # Part of the request ran, so the whole cannot be called not run.
        if body["error"].get("outcome") == "not_run":
            body["error"]["outcome"] = "failed"
        return status, body
    fields: dict[str, Any] = {}
    if isinstance(error, SettingsError):
        status, code = 400, "invalid_setting"
        fields = {"path": error.path, "name": error.name}
    elif isinstance(error, Conflict):
        status, code = 409, "conflict"
        fields = {"outcome": "not_run", "revision": error.revision}
    elif isinstance(error, NotWritten):
        status, code, fields = 503, "store_unavailable", {"outcome": "not_run"}
    elif isinstance(error, WriteUnknown):
        status, code, fields = 504, "store_silent", {"outcome": "outcome_unknown"}
    else:
        status, code, fields = 502, "failed", {"outcome": "failed"}
    return status, {"error": {"message": str(error), "code": code, **fields}}


def _invalid(name: str, value: Any, allowed: str) -> OperatorError:
    message = f"{name}: {value!r} is not allowed; allowed: {allowed}"
    return OperatorError(400, "invalid_request", message, name=name)


def _query(request: Request, *allowed: str) -> dict[str, str]:
    query = dict(parse_qsl(request.query, keep_blank_values=True))
    for name in query:
        if name not in allowed:
            raise _invalid(f"query parameter {name}", query[name], ", ".join(allowed))
    return query


def _selector(request: Request) -> Selector:
    return Selector(**_query(request, *LEVELS))


def _path(query: dict[str, str]) -> str:
    if "path" not in query:
        raise _invalid("path", None, "a path such as /service=ledger")
    return query["path"]


def _body(request: Request, *allowed: str) -> dict[str, Any]:
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
            known = ", ".join(allowed) or "no fields"
            raise _invalid(f"field {name}", body[name], known)
    return body


def _revision(value: Any) -> int | None:
    whole = isinstance(value, int) and not isinstance(value, bool)
    if value is not None and not (whole and 0 <= value < 2**63):
        raise _invalid("revision", value, "a whole number from 0, or null")
    return value


def _revision_text(value: str | None) -> int | None:
    if value is None:
        return None
    if not (value.isascii() and value.isdigit()):
        raise _invalid("revision", value, "a whole number from 0")
    return _revision(int(value))


def _deadline(body: dict[str, Any]) -> float | None:
    value = body.get("deadline_s")
    if value is None:
        return None
    number = isinstance(value, (int, float)) and not isinstance(value, bool)
    if not number or not math.isfinite(value) or not 1 <= value <= MAX_DEADLINE_S:
        raise _invalid("deadline_s", value, f"1 to {MAX_DEADLINE_S:g} seconds")
    return float(value)
