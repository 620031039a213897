"""Stand-in for a plain application service; it records every execution.

Run it with ``python -m emulator.ledger --port 0 --ready-file PATH``. With
``--actions /refund,/replace --lookup /orders`` it is an order service instead of a
settlement ledger.
"""

import asyncio
import contextlib
import secrets
from collections import Counter
from dataclasses import dataclass
from typing import Any

import xxhash

from emulator.faults import Fault, FaultRuleSet
from emulator.standin import (
    HistoryFile,
    InjectedDisconnect,
    StandInServer,
    configure_stand_in_logs,
    create_option_parser,
    run_until_stopped,
)
from heatherswitch.util.clock import Clock
from heatherswitch.util.http import BadRequest, Request
from heatherswitch.util.http_server import Responder
from heatherswitch.util.metrics import Metrics

FAULT_KINDS = ("delay", "error", "hang", "cut", "swap_id", "restart")


@dataclass(frozen=True, slots=True)
class LedgerConfig:
    """Settings of one ledger.

    :param actions: paths of the non-idempotent ``POST`` routes.
    :param lookup: path prefix of the ``GET`` route.
    :param checks_idempotency: responds to a repeated idempotency key with the result
        of its first execution.
    :param checks_fencing: rejects an ``X-Fencing-Token`` below the highest one of its
        ``X-Fencing-Scope`` with 409. Without that header the scope is the
        ``Idempotency-Key``, because each partition counts its own epochs.
    :param work_s: duration of an execution, in seconds.
    :param seed: seed of random faults.
    :param history: path of the file that records executions; None records nothing.
    """

    actions: tuple[str, ...] = ("/settle", "/bid")
    lookup: str = "/lots"
    checks_idempotency: bool = False
    checks_fencing: bool = False
    work_s: float = 0.01
    seed: int = 0
    history: str | None = None


class Ledger:
    """HTTP application of one ledger process."""

    __slots__ = (
        "_clock",
        "_config",
        "_executions",
        "_highest_tokens",
        "_history",
        "_incarnation",
        "_previous_request_id",
        "_responses",
        "_running_requests",
        "_started_at",
        "rules",
    )

    def __init__(self, config: LedgerConfig) -> None:
        self._config = config
        self._clock = Clock()
        self._history = HistoryFile(config.history, self._clock)
        self._executions: list[dict[str, Any]] = []
        # Pending and finished results by workspace, route and idempotency key.
        self._responses: dict[tuple[str, str, str], asyncio.Future] = {}
        # Highest fencing token by scope.
        self._highest_tokens: dict[str, int] = {}
        self._running_requests = 0
        self._previous_request_id = ""
        self.rules = FaultRuleSet(FAULT_KINDS, config.seed)
        self._start_new_incarnation()

    def stats(self) -> dict[str, Any]:
        """Returns the counters of ``GET /_stats``."""
        executions_by_key = Counter(
            item["key"] for item in self._executions if item["key"]
        )
        repeated = sum(1 for count in executions_by_key.values() if count > 1)
        return {
            "executions": len(self._executions),
            "repeated_keys": repeated,
            "running": self._running_requests,
        }

    def on_faults_replaced(self, rules: tuple[Fault, ...]) -> None:
        """Performs a ``restart`` rule, which keeps the recorded executions."""
        if any(rule.kind == "restart" for rule in rules):
            self._start_new_incarnation()

    async def serve(self, request: Request, responder: Responder) -> None:
        """Routes a request to its handler."""
        if request.path == "/health":
            health = {"started_at": self._started_at, "incarnation": self._incarnation}
            await responder.send_json(200, {"status": "ok", **health})
        elif request.path == "/metrics":
            body, content_type = self._render_metrics()
            await responder.send(200, body, [("Content-Type", content_type)])
        elif request.path == "/_executions":
            await responder.send_json(200, {"executions": self._executions})
        else:
            self._running_requests += 1
            try:
                await self._handle_request(request, responder)
            finally:
                self._running_requests -= 1

    def _start_new_incarnation(self) -> None:
        self._incarnation = secrets.token_hex(8)
        self._started_at = self._clock.now()

    def _render_metrics(self) -> tuple[bytes, str]:
        metrics = Metrics()
        name = "num_requests_running"
        metrics.gauge(name, "requests running", {}, self._running_requests)
        metrics.gauge("num_requests_waiting", "requests waiting", {}, 0)
        return metrics.render()

    def _select_fault(self, kind: str, path: str, when: str = "before") -> Fault | None:
        return self.rules.select(
            kind, path, self._running_requests, self._clock.now(), when
        )

    async def _handle_request(self, request: Request, responder: Responder) -> None:
        if await self._apply_faults(request, responder, "before"):
            return
        status, response = await self._build_response(request)
        if await self._apply_faults(request, responder, "after"):
            return
        request_id = request.header("x-request-id")
        if self._select_fault("swap_id", request.path) and self._previous_request_id:
            request_id, self._previous_request_id = (
                self._previous_request_id,
                request_id,
            )
        else:
            self._previous_request_id = request_id
        headers = [("X-Request-Id", request_id)] if request_id else []
        disconnect = self._select_fault("cut", request.path)
        if disconnect:
            await responder.start(status, [*headers, ("Content-Length", "1000")])
            await responder.write(b"{")
            raise InjectedDisconnect("connection closed by an injected fault")
        await responder.send_json(status, response, headers)

    async def _apply_faults(
        self, request: Request, responder: Responder, when: str
    ) -> bool:
        """Applies the faults of a phase.

        :param when: ``before`` or ``after`` the request takes effect.
        :returns: True if an error response was sent.
        """
        delay = self._select_fault("delay", request.path, when)
        if delay:
            await asyncio.sleep(delay.seconds)
        if self._select_fault("hang", request.path, when):
            await asyncio.Event().wait()
        error = self._select_fault("error", request.path, when)
        if error:
            value = {"error": {"message": "the service failed", "code": "injected"}}
            headers = [("X-Request-Id", request.header("x-request-id"))]
            await responder.send_json(error.status, value, headers)
        return error is not None

    async def _build_response(self, request: Request) -> tuple[int, dict[str, Any]]:
        config = self._config
        if request.method == "GET" and request.path.startswith(config.lookup + "/"):
            name = request.path.removeprefix(config.lookup + "/")
            return 200, {"id": name, "state": "open"}
        if request.method != "POST" or request.path not in config.actions:
            raise BadRequest(404, f"no route {request.method} {request.path}")
        if config.checks_fencing and not self._token_is_current(request):
            return 409, {"error": {"message": "old fencing token", "code": "fenced"}}
        key = request.header("idempotency-key")
        if not config.checks_idempotency or not key:
            return 200, await self._execute(request)
        response_key = (request.header("x-workspace"), request.path, key)
        response = self._responses.get(response_key)
        if response is None:
            # A separate task, so that a caller's disconnect does not cancel it.
            response = asyncio.ensure_future(self._execute(request))
            self._responses[response_key] = response
        return 200, await asyncio.shield(response)

    def _token_is_current(self, request: Request) -> bool:
        token = request.header("x-fencing-token")
        if not (token.isascii() and token.isdigit()):
            raise BadRequest(400, "X-Fencing-Token must be a number")
        scope = request.header("x-fencing-scope") or request.header("idempotency-key")
        newest = max(self._highest_tokens.get(scope, 0), int(token))
        self._highest_tokens[scope] = newest
        return int(token) == newest

    async def _execute(self, request: Request) -> dict[str, Any]:
        """Records an execution, waits ``work_s`` and returns the receipt."""
        execution = {
            "key": request.header("idempotency-key"),
            "workspace": request.header("x-workspace"),
            "request_id": request.header("x-request-id"),
            "token": request.header("x-fencing-token"),
            "route": request.path,
            "body_digest": xxhash.xxh3_64_hexdigest(request.body),
        }
        self._executions.append({**execution, "time": self._clock.now()})
        self._history.write("executed", running=self._running_requests, **execution)
        await asyncio.sleep(self._config.work_s)
        number = len(self._executions)
        receipt = f"{execution['body_digest']}-{number}"
        return {"receipt": receipt, "route": request.path, "key": execution["key"]}


def _split_paths(text: str) -> tuple[str, ...]:
    return tuple(part.strip() for part in text.split(",") if part.strip())


async def _main(options) -> None:
    config = LedgerConfig(
        actions=_split_paths(options.actions),
        lookup=options.lookup,
        checks_idempotency=options.checks_idempotency,
        checks_fencing=options.checks_fencing,
        work_s=options.work_s,
        seed=options.seed,
        history=options.history,
    )
    await run_until_stopped(StandInServer(Ledger(config)), options)


def main() -> None:
    """Runs the ledger until SIGTERM."""
    parser = create_option_parser("ledger", __doc__)
    parser.add_argument("--actions", default="/settle,/bid")
    parser.add_argument("--lookup", default="/lots")
    parser.add_argument("--checks-idempotency", action="store_true")
    parser.add_argument("--checks-fencing", action="store_true")
    parser.add_argument("--work-s", type=float, default=0.01)
    options = parser.parse_args()
    configure_stand_in_logs("ledger", options)
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(_main(options))


if __name__ == "__main__":
    main()
