"""Stand-in plain service that records every execution.

Run it with ``python -m emulator.ledger --port 0 --ready-file PATH``. With
``--actions /refund,/replace --lookup /orders`` it stands in for an order office.
"""

import asyncio
import contextlib
import secrets
from collections import Counter
from dataclasses import dataclass
from typing import Any

import xxhash

from emulator.faults import Fault, FaultRules
from emulator.standin import (
    AnswerCut,
    History,
    StandIn,
    option_parser,
    run_until_stopped,
    start_logs,
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
    :param checks_idempotency: answers a repeated key without a second execution.
    :param checks_fencing: refuses an older ``X-Fencing-Token`` of the same
        ``X-Fencing-Scope`` with 409. Without that header a token counts for its
        ``Idempotency-Key`` only, because partitions count their epochs separately.
    :param work_s: time that an execution takes, in seconds.
    """

    actions: tuple[str, ...] = ("/settle", "/bid")
    lookup: str = "/lots"
    checks_idempotency: bool = False
    checks_fencing: bool = False
    work_s: float = 0.01
    seed: int = 0
    history: str | None = None


class Ledger:
    """The app of one ledger process."""

    __slots__ = (
        "_answers",
        "_clock",
        "_config",
        "_executions",
        "_history",
        "_incarnation",
        "_last_id",
        "_running",
        "_started_at",
        "_tokens",
        "rules",
    )

    def __init__(self, config: LedgerConfig) -> None:
        self._config = config
        self._clock = Clock()
        self._history = History(config.history, self._clock)
        self._executions: list[dict[str, Any]] = []
        # Answer by workspace, route and key, while it is made and afterwards.
        self._answers: dict[tuple[str, str, str], asyncio.Future] = {}
        # Highest fencing token by scope.
        self._tokens: dict[str, int] = {}
        self._running = 0
        self._last_id = ""
        self.rules = FaultRules(FAULT_KINDS, config.seed)
        self._new_incarnation()

    def stats(self) -> dict[str, Any]:
        """Returns counters."""
        keys = Counter(item["key"] for item in self._executions if item["key"])
        repeated = sum(1 for count in keys.values() if count > 1)
        return {
            "executions": len(self._executions),
            "repeated_keys": repeated,
            "running": self._running,
        }

    def on_faults(self, rules: tuple[Fault, ...]) -> None:
        """Carries out a restart; the records outlive it."""
        if any(rule.kind == "restart" for rule in rules):
            self._new_incarnation()

    async def serve(self, request: Request, responder: Responder) -> None:
        """Answers one request."""
        if request.path == "/health":
            health = {"started_at": self._started_at, "incarnation": self._incarnation}
            await responder.send_json(200, {"status": "ok", **health})
        elif request.path == "/metrics":
            body, content_type = self._metrics()
            await responder.send(200, body, [("Content-Type", content_type)])
        elif request.path == "/_executions":
            await responder.send_json(200, {"executions": self._executions})
        else:
            self._running += 1
            try:
                await self._work(request, responder)
            finally:
                self._running -= 1

    def _new_incarnation(self) -> None:
        self._incarnation = secrets.token_hex(8)
        self._started_at = self._clock.now()

    def _metrics(self) -> tuple[bytes, str]:
        metrics = Metrics()
        name = "num_requests_running"
        metrics.gauge(name, "requests running", {}, self._running)
        metrics.gauge("num_requests_waiting", "requests waiting", {}, 0)
        return metrics.render()

    def _pick(self, kind: str, path: str, when: str = "before") -> Fault | None:
        return self.rules.pick(kind, path, self._running, self._clock.now(), when)

    async def _work(self, request: Request, responder: Responder) -> None:
        if await self._hit(request, responder, "before"):
            return
        status, answer = await self._answer(request)
        if await self._hit(request, responder, "after"):
            return
        request_id = request.header("x-request-id")
        if self._pick("swap_id", request.path) and self._last_id:
            request_id, self._last_id = self._last_id, request_id
        else:
            self._last_id = request_id
        headers = [("X-Request-Id", request_id)] if request_id else []
        cut = self._pick("cut", request.path)
        if cut:
            await responder.start(status, [*headers, ("Content-Length", "1000")])
            await responder.write(b"{")
            raise AnswerCut("the answer is cut by a fault")
        await responder.send_json(status, answer, headers)

    async def _hit(self, request: Request, responder: Responder, when: str) -> bool:
        """Applies the faults; returns True when the request is answered."""
        delay = self._pick("delay", request.path, when)
        if delay:
            await asyncio.sleep(delay.seconds)
        if self._pick("hang", request.path, when):
            await asyncio.Event().wait()
        error = self._pick("error", request.path, when)
        if error:
            value = {"error": {"message": "the service failed", "code": "injected"}}
            headers = [("X-Request-Id", request.header("x-request-id"))]
            await responder.send_json(error.status, value, headers)
        return error is not None

    async def _answer(self, request: Request) -> tuple[int, dict[str, Any]]:
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
        known = (request.header("x-workspace"), request.path, key)
        answer = self._answers.get(known)
        if answer is None:
            # A task of its own, so that a caller that leaves cancels nothing.
            answer = asyncio.ensure_future(self._execute(request))
            self._answers[known] = answer
        return 200, await asyncio.shield(answer)

    def _token_is_current(self, request: Request) -> bool:
        text = request.header("x-fencing-token")
        if not text.isdigit():
            raise BadRequest(400, "X-Fencing-Token must be a number")
        scope = request.header("x-fencing-scope") or request.header("idempotency-key")
        newest = max(self._tokens.get(scope, 0), int(text))
        self._tokens[scope] = newest
        return int(text) == newest

    async def _execute(self, request: Request) -> dict[str, Any]:
        """Records the execution, then takes its time."""
        execution = {
            "key": request.header("idempotency-key"),
            "workspace": request.header("x-workspace"),
            "request_id": request.header("x-request-id"),
            "token": request.header("x-fencing-token"),
            "route": request.path,
            "body_digest": xxhash.xxh3_64_hexdigest(request.body),
        }
        self._executions.append({**execution, "time": self._clock.now()})
        self._history.write("executed", running=self._running, **execution)
        await asyncio.sleep(self._config.work_s)
        number = len(self._executions)
        receipt = f"{execution['body_digest']}-{number}"
        return {"receipt": receipt, "route": request.path, "key": execution["key"]}


def _paths(text: str) -> tuple[str, ...]:
    return tuple(part.strip() for part in text.split(",") if part.strip())


async def _main(options) -> None:
    config = LedgerConfig(
        actions=_paths(options.actions),
        lookup=options.lookup,
        checks_idempotency=options.checks_idempotency,
        checks_fencing=options.checks_fencing,
        work_s=options.work_s,
        seed=options.seed,
        history=options.history,
    )
    await run_until_stopped(StandIn(Ledger(config)), options)


def main() -> None:
    """Runs the ledger until SIGTERM."""
    parser = option_parser("ledger", __doc__)
    parser.add_argument("--actions", default="/settle,/bid")
    parser.add_argument("--lookup", default="/lots")
    parser.add_argument("--checks-idempotency", action="store_true")
    parser.add_argument("--checks-fencing", action="store_true")
    parser.add_argument("--work-s", type=float, default=0.01)
    options = parser.parse_args()
    start_logs("ledger", options)
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(_main(options))


if __name__ == "__main__":
    main()
