"""Checks a run against the records of the emulated backend servers."""

import json
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from emulator.launch import Launcher
from emulator.load import LoadReport
from heatherswitch.util.http_client import HttpClient

# Events that a backend server records when it starts a request.
START_EVENTS = ("started", "executed")
# Events that an engine records when a request ends before its response is complete.
INTERRUPTION_EVENTS = ("cancelled", "failed")


@dataclass(frozen=True, slots=True)
class ZoneMove:
    """An operator's order to take a zone out or back.

    :param out: True if the zone is taken out.
    :param ordered_at: when the order was sent, in seconds since the epoch.
    :param accepted_at: when the router's response arrived, in seconds since the epoch.
    :param state: last known state of the move, or an empty string.
    :param decided_s: seconds from the acceptance to the end of the move.
    """

    zone: str
    out: bool
    ordered_at: float
    accepted_at: float
    state: str = ""
    decided_s: float = 0.0

    def __str__(self) -> str:
        order = f"zone {self.zone} {'out' if self.out else 'back'}"
        acceptance = f"accepted in {self.accepted_at - self.ordered_at:.3f} s"
        return f"{order}: {acceptance}, {self.state or 'no move'} after {self.decided_s:.1f} s"


@dataclass(frozen=True, slots=True)
class ZoneAudit:
    """Requests of a zone's backend servers while the zone was out.

    :param last_start_s: seconds from the acceptance to the last start of a request; 0 if
        none was started.
    :param late_starts: requests started later than the bound after the acceptance.
    :param interrupted: engine requests that ended early while the zone was out.
    :param resumed_s: seconds from the acceptance of the return to the next start of a
        request, or None if none was started.
    """

    last_start_s: float
    late_starts: int
    interrupted: int
    resumed_s: float | None


def read_events(paths: Iterable[Path]) -> list[dict]:
    """Reads the events of history files, sorted by time; missing files are skipped."""
    events = []
    for path in paths:
        if path.exists():
            events += [json.loads(line) for line in path.read_text().splitlines()]
    return sorted(events, key=lambda event: event["time"])


def audit_zone(
    events: list[dict], out: ZoneMove, back: ZoneMove, bound_s: float
) -> ZoneAudit:
    """Checks that a zone started no requests between two orders.

    :param events: events of the zone's backend servers, sorted by time.
    :param bound_s: seconds after the acceptance in which requests may still start.
    """
    starts = [event["time"] for event in events if event["event"] in START_EVENTS]
    starts_while_out = [
        time for time in starts if out.accepted_at < time < back.ordered_at
    ]
    starts_after_return = [time for time in starts if time >= back.ordered_at]
    interruptions = [
        event["time"] for event in events if event["event"] in INTERRUPTION_EVENTS
    ]
    return ZoneAudit(
        last_start_s=max(starts_while_out) - out.accepted_at
        if starts_while_out
        else 0.0,
        late_starts=sum(
            1 for time in starts_while_out if time > out.accepted_at + bound_s
        ),
        interrupted=sum(
            1 for time in interruptions if out.ordered_at < time < back.ordered_at
        ),
        resumed_s=max(0.0, starts_after_return[0] - back.accepted_at)
        if starts_after_return
        else None,
    )


async def execution_counts(launch: Launcher) -> Counter[str]:
    """Returns the number of executions by idempotency key, over all plain servers."""
    counts: Counter[str] = Counter()
    for backend in launch.backends_of(launch.deployment.plain.name):
        client = HttpClient.from_address(backend.server.addresses["address"])
        _, body = await client.request_json("GET", "/_executions")
        client.close()
        counts.update(item["key"] for item in body["executions"])
    return counts


def audit_executions(report: LoadReport, counts: Counter[str]) -> list[str]:
    """Returns a message for each settlement not answered or not executed exactly once."""
    problems = []
    for call, result in report.results:
        if call.key and (counts[call.key] != 1 or result.outcome != "answered"):
            problems.append(
                f"{call.path} {call.key}: executed {counts[call.key]} times, "
                f"{result.outcome} {result.error_outcome} {result.problem}".rstrip()
            )
    return problems
