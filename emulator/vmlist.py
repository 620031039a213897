"""Stand-in for the platform's list of live and leaving VMs, which reports with a lag.

Run it with ``python -m emulator.vmlist --port 0 --ready-file PATH --lag-s 2``.
``PUT /vms/<id>`` and ``DELETE /vms/<id>`` change the list; ``GET /vms`` returns it
as it was ``lag_s`` seconds ago. ``POST /_faults`` with a ``delay`` rule adds lag.
"""

import asyncio
import contextlib
from typing import Any

from emulator.faults import Fault, FaultRuleSet
from emulator.standin import (
    StandInServer,
    configure_stand_in_logs,
    create_option_parser,
    run_until_stopped,
)
from heatherswitch.util.clock import Clock
from heatherswitch.util.http import BadRequest, Request
from heatherswitch.util.http_server import Responder

VM_STATES = ("live", "leaving")


class VmList:
    """HTTP application of the VM list.

    It keeps all changes with their times, to return the list as of an earlier time.
    """

    __slots__ = ("_changes", "_clock", "_lag_s", "rules")

    def __init__(self, lag_s: float = 2.0) -> None:
        self._clock = Clock()
        self._lag_s = lag_s
        # Time, VM id and record; the record of a removal is None.
        self._changes: list[tuple[float, str, dict[str, Any] | None]] = []
        self.rules = FaultRuleSet(("delay",))

    def stats(self) -> dict[str, Any]:
        """Returns the number of changes and the list without lag."""
        return {
            "changes": len(self._changes),
            "vms": self._list_as_of(self._clock.now()),
        }

    def on_faults_replaced(self, rules: tuple[Fault, ...]) -> None:
        """Does nothing, since each request reads the rules."""

    async def serve(self, request: Request, responder: Responder) -> None:
        """Responds to a request to read or change the list."""
        if request.path == "/vms" and request.method == "GET":
            as_of = self._clock.now() - self._lag_s - self._extra_lag()
            await responder.send_json(200, {"vms": self._list_as_of(as_of)})
            return
        vm_id = request.path.removeprefix("/vms/")
        if vm_id in ("", request.path) or request.method not in ("PUT", "DELETE"):
            raise BadRequest(404, f"no route {request.method} {request.path}")
        record = None
        if request.method == "PUT":
            record = request.json()
            if not isinstance(record, dict) or record.get("state") not in VM_STATES:
                raise BadRequest(400, f"state must be one of {VM_STATES}")
        self._changes.append((self._clock.now(), vm_id, record))
        await responder.send_json(200, {})

    def _extra_lag(self) -> float:
        rule = self.rules.select("delay", "/vms", 0, self._clock.now())
        return rule.seconds if rule else 0.0

    def _list_as_of(self, time: float) -> dict[str, dict[str, Any]]:
        vms: dict[str, dict[str, Any]] = {}
        for changed_at, vm_id, record in self._changes:
            if changed_at > time:
                break
            if record is None:
                vms.pop(vm_id, None)
            else:
                vms[vm_id] = record
        return vms


def main() -> None:
    """Runs the VM list until SIGTERM."""
    parser = create_option_parser("vmlist", __doc__)
    parser.add_argument("--lag-s", type=float, default=2.0)
    options = parser.parse_args()
    configure_stand_in_logs("vmlist", options)
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(run_until_stopped(StandInServer(VmList(options.lag_s)), options))


if __name__ == "__main__":
    main()
