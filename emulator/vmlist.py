"""Stand-in list of live and leaving VMs, which lags behind the truth.

Run it with ``python -m emulator.vmlist --port 0 --ready-file PATH --lag-s 2``.
``PUT /vms/<id>`` and ``DELETE /vms/<id>`` change the truth; ``GET /vms`` shows it
as it was ``lag_s`` seconds ago. ``POST /_faults`` with a ``delay`` rule adds lag.
"""

import asyncio
import contextlib
from typing import Any

from emulator.faults import Fault, FaultRules
from emulator.standin import StandIn, option_parser, run_until_stopped, start_logs
from heatherswitch.util.clock import Clock
from heatherswitch.util.http import BadRequest, Request
from heatherswitch.util.http_server import Responder

STATES = ("live", "leaving")


class VmList:
    """The app of the VM list; it keeps all changes with their time."""

    __slots__ = ("_changes", "_clock", "_lag_s", "rules")

    def __init__(self, lag_s: float = 2.0) -> None:
        self._clock = Clock()
        self._lag_s = lag_s
        # Time, VM id, and its record or None when it was removed.
        self._changes: list[tuple[float, str, dict[str, Any] | None]] = []
        self.rules = FaultRules(("delay",))

    def stats(self) -> dict[str, Any]:
        """Returns the number of changes and the true list."""
        return {"changes": len(self._changes), "vms": self._as_of(self._clock.now())}

    def on_faults(self, rules: tuple[Fault, ...]) -> None:
        """Needs no action; rules are read on each request."""

    async def serve(self, request: Request, responder: Responder) -> None:
        """Answers one request."""
        if request.path == "/vms" and request.method == "GET":
            before = self._clock.now() - self._lag_s - self._extra_lag()
            await responder.send_json(200, {"vms": self._as_of(before)})
            return
        name = request.path.removeprefix("/vms/")
        if name in ("", request.path) or request.method not in ("PUT", "DELETE"):
            raise BadRequest(404, f"no route {request.method} {request.path}")
        record = None
        if request.method == "PUT":
            record = request.json()
            if not isinstance(record, dict) or record.get("state") not in STATES:
                raise BadRequest(400, f"state must be one of {STATES}")
        self._changes.append((self._clock.now(), name, record))
        await responder.send_json(200, {})

    def _extra_lag(self) -> float:
        rule = self.rules.pick("delay", "/vms", 0, self._clock.now())
        return rule.seconds if rule else 0.0

    def _as_of(self, time: float) -> dict[str, dict[str, Any]]:
        vms: dict[str, dict[str, Any]] = {}
        for changed, name, record in self._changes:
            if changed > time:
                break
            if record is None:
                vms.pop(name, None)
            else:
                vms[name] = record
        return vms


def main() -> None:
    """Runs the VM list until SIGTERM."""
    parser = option_parser("vmlist", __doc__)
    parser.add_argument("--lag-s", type=float, default=2.0)
    options = parser.parse_args()
    start_logs("vmlist", options)
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(run_until_stopped(StandIn(VmList(options.lag_s)), options))


if __name__ == "__main__":
    main()
