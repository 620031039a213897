"""Soak test: runs gateway processes under random faults and checks what callers saw.

``python -m emulator.platform.soak --seeds 1 --seconds 30`` exits with 0 if it found no
violation. ``--seeds 1-50`` runs several. The seed determines which faults are drawn, but
not the timing of the processes.
"""

import argparse
import asyncio
import json
import random
import sys
import time
from collections.abc import Collection
from pathlib import Path

from emulator.platform.caller_checks import (
    find_bad_prompt_violations,
    find_late_responses,
)
from emulator.platform.configuration_checks import (
    count_served,
    find_configuration_violations,
)
from emulator.platform.process import temporary_directory
from emulator.platform.retry_checks import find_budget_violations, worst_uses
from emulator.platform.soak_callers import Callers
from emulator.platform.soak_checks import (
    History,
    calls_during_stops,
    count_statuses,
    find_logged_errors,
    find_violations,
)
from emulator.platform.soak_deployment import (
    RETRY_RATIO,
    RETRY_SLACK,
    STREAM_EVENTS,
    SoakDeployment,
)
from emulator.platform.soak_faults import FaultInjector

# Seconds after which the platform allows no request with a withdrawn API key.
REVOCATION_LIMIT_S = 5.0
# Seconds after the last fault in which the deployment must serve again.
RECOVERY_S = 8.0


class Soak:
    """One soak run of several gateways with their store, backend servers and callers.

    :param seconds: how long faults are injected.
    :param directory: where the gateways write their settings and logs.
    :param extra: kinds of faults that are injected besides the usual ones.
    :param only: if not empty, the kinds of faults that are injected alone.
    :ivar faults: number of injected faults by kind.
    """

    def __init__(
        self,
        seed: int,
        seconds: float,
        directory: Path,
        extra: Collection[str] = (),
        only: Collection[str] = (),
    ) -> None:
        self._extra, self._only = extra, only
        self._duration_s = seconds
        self._deployment = SoakDeployment(seed, directory)
        self.history = History(events=STREAM_EVENTS, versions=self._deployment.versions)
        self._callers = Callers(self._deployment, self.history)
        self._injector = FaultInjector(
            self._deployment, self.history, random.Random(seed)
        )
        self.faults = self._injector.counts

    async def run(self) -> list[str]:
        """Runs the deployment under faults and returns one line for each violation.

        :raises TimeoutError: if the gateways do not become ready.
        """
        try:
            await self._deployment.start()
        except BaseException:
            # Processes left running would block the addresses for the next run.
            await self._deployment.stop()
            raise
        self._callers.start()
        try:
            await self._injector.run(self._duration_s, self._extra, self._only)
            await asyncio.sleep(RECOVERY_S)
        finally:
            errors = await self._callers.stop()
            await self._deployment.stop()
        for error in errors:
            raise error
        for server, _, service in self._deployment.servers:
            self.history.add_server(server, service)
        self.history.starts = {g.name: g.starts for g in self._deployment.gateways}
        workspaces = self._deployment.configuration.workspaces
        found = find_violations(self.history, REVOCATION_LIMIT_S, workspaces)
        found += find_configuration_violations(self.history)
        found += find_budget_violations(self.history, RETRY_RATIO, RETRY_SLACK)
        found += find_late_responses(self.history)
        found += find_bad_prompt_violations(self.history)
        for gateway in self._deployment.gateways:
            with gateway.log_path.open(errors="replace") as lines:
                found += find_logged_errors(gateway.name, lines)
        return found + self._check_recovery()

    def write_timeline(self, path: Path) -> None:
        """Writes when faults and versions came, in the time of the gateways' logs."""
        offset_s = time.time() - time.monotonic()
        rows = [
            {"at": began_at, "until": ended_at, "fault": kind}
            for kind, began_at, ended_at in self._injector.timeline
        ]
        rows += [
            {"at": v.written_at, "configuration": v.version}
            for v in self.history.versions
        ]
        rows += [
            {"at": fault.begins_at, "until": fault.ends_at, "store_fault": fault.name}
            for fault in self.history.store_faults
        ]
        with path.open("w") as file:
            for row in sorted(rows, key=lambda row: row["at"]):
                for name in {"at", "until"} & set(row):
                    row[name] = round(row[name] + offset_s, 3)
                file.write(json.dumps(row) + "\n")

    def _check_recovery(self) -> list[str]:
        newest = self.history.versions[-1]
        since = self.history.calls[-1].sent_at - RECOVERY_S / 2
        last = [
            c
            for c in self.history.calls
            if c.sent_at > since
            and c.key in newest.keys
            and newest.find_route(c.host, c.path)
        ]
        served = sum(c.status == 200 for c in last)
        if served < 0.9 * len(last):
            return [
                f"recovery: only {served} of {len(last)} requests were served after "
                "the last fault"
            ]
        return []


async def run_seed(
    seed: int,
    seconds: float,
    work_directory: Path | None,
    extra: Collection[str] = (),
    only: Collection[str] = (),
) -> list[str]:
    """Runs a soak with one seed and prints its counts as a JSON line.

    :param work_directory: directory for settings, logs and a timeline; a temporary one
        if None.
    :param extra: see :class:`Soak`, also for ``only``.
    :returns: one line for each violation.
    """
    with temporary_directory() as name:
        directory = work_directory or Path(name)
        soak = Soak(seed, seconds, directory, extra, only)
        found = await soak.run()
        soak.write_timeline(directory / "timeline.jsonl")
        during_stops = calls_during_stops(soak.history)
        run_ids = {run.id for run in soak.history.runs}
        report = {
            "seed": seed,
            "calls": len(soak.history.calls),
            "runs": len(soak.history.runs),
            "notices": len(soak.history.notices),
            "statuses": count_statuses(soak.history),
            "calls_during_stops": len(during_stops),
            "calls_run_during_stops": sum(c.id in run_ids for c in during_stops),
            "budget_use": {
                use.service: round(use.share, 2)
                for use in worst_uses(soak.history, RETRY_RATIO, RETRY_SLACK)
            },
            "crashes": len(soak.history.crashes),
            "versions": len(soak.history.versions),
            "served": count_served(soak.history),
            "faults": dict(soak.faults),
            "violations": found[:20],
        }
        print(json.dumps(report), flush=True)
        return found


def main() -> int:
    """Runs a soak for each seed on the command line and returns the exit code."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seeds", default="1", help="N or N-M")
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--keep", type=Path, help="directory for settings and logs")
    parser.add_argument("--extra", default="", help="kinds of faults, by commas")
    parser.add_argument("--only", default="", help="inject these kinds of faults only")
    options = parser.parse_args()
    extra, only = (
        list(filter(None, x.split(","))) for x in (options.extra, options.only)
    )
    first, _, last = options.seeds.partition("-")
    broken = 0
    for seed in range(int(first), int(last or first) + 1):
        broken += bool(
            asyncio.run(run_seed(seed, options.seconds, options.keep, extra, only))
        )
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
