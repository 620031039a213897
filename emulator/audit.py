"""Checks of a run against the stand-ins' own records."""

import json
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from emulator.launch import Launcher
from emulator.load import LoadReport
from heatherswitch.util.http_client import HttpClient

# Events of a history that mean that a backend server took new work.
START_EVENTS = ("started", "executed")
# Events of a history that mean that an engine's answer was not finished.
BROKEN_EVENTS = ("cancelled", "failed")


@dataclass(frozen=True, slots=True)
class ZoneMove:
    """One zone order. Times are in seconds since the epoch.

    :param ordered: when the order was sent.
    :param accepted: when the router's answer came.
    :param state: last known state of the move, or an empty string.
    :param decided_s: from acceptance to the end of the move.
    """

    zone: str
    out: bool
    ordered: float
    accepted: float
    state: str = ""
    decided_s: float = 0.0

    def __str__(self) -> str:
        name = f"zone {self.zone} {'out' if self.out else 'back'}"
        took = f"accepted in {self.accepted - self.ordered:.3f} s"
        return f"{name}: {took}, {self.state or 'no move'} after {self.decided_s:.1f} s"


@dataclass(frozen=True, slots=True)
class ZoneAudit:
    """What the backend servers of a zone did while it was out.

    :param quiet_s: from acceptance to the last new work; 0 without any.
    :param late: pieces of new work more than the bound after acceptance.
    :param interrupted: engine requests that ended early while the zone was out.
    :param return_s: from acceptance of the return to new work, or None without any.
    """

    quiet_s: float
    late: int
    interrupted: int
    return_s: float | None


def read_events(paths: Iterable[Path]) -> list[dict]:
    """Reads histories, in the order of time."""
    events = []
    for path in paths:
        if path.exists():
            events += [json.loads(line) for line in path.read_text().splitlines()]
    return sorted(events, key=lambda event: event["time"])


def audit_zone(
    events: list[dict], out: ZoneMove, back: ZoneMove, bound_s: float
) -> ZoneAudit:
    """Checks that a zone took no new work between two orders.

    :param events: histories of the zone's backend servers.
    :param bound_s: seconds after acceptance in which new work may still start.
    """
    starts = [event["time"] for event in events if event["event"] in START_EVENTS]
    during = [time for time in starts if out.accepted < time < back.ordered]
    after = [time for time in starts if time >= back.ordered]
    broken = [event["time"] for event in events if event["event"] in BROKEN_EVENTS]
    return ZoneAudit(
        quiet_s=max(during) - out.accepted if during else 0.0,
        late=sum(1 for time in during if time > out.accepted + bound_s),
        interrupted=sum(1 for time in broken if out.ordered < time < back.ordered),
        return_s=max(0.0, after[0] - back.accepted) if after else None,
    )


async def execution_counts(launch: Launcher) -> Counter[str]:
    """Returns executions by idempotency key, over all plain services' records."""
    counts: Counter[str] = Counter()
    for backend in launch.backends_of(launch.deployment.plain.name):
        client = HttpClient.from_address(backend.server.addresses["address"])
        _, body = await client.request_json("GET", "/_executions")
        client.close()
        counts.update(item["key"] for item in body["executions"])
    return counts


def audit_executions(report: LoadReport, counts: Counter[str]) -> list[str]:
    """Returns one line for each settlement that was not executed exactly once."""
    problems = []
    for call, result in report.results:
        if call.key and (counts[call.key] != 1 or result.outcome != "answered"):
            problems.append(
                f"{call.path} {call.key}: executed {counts[call.key]} times, "
                f"{result.outcome} {result.error_outcome} {result.problem}".rstrip()
            )
    return problems
