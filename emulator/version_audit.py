"""Figures of one version move, from the histories of the engines and router logs."""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path

CUT_MESSAGE = "version cut by this router"
MOVE_MESSAGE = "move written"
ENDS = ("finished", "failed", "cancelled")


@dataclass(frozen=True, slots=True)
class MoveFigures:
    """What one version move did. Times are in seconds.

    :param state: state of the move at the end.
    :param seconds: from its start to its decision.
    :param in_time: decided by the deadline.
    :param bad: requests that the new version failed or answered too slowly.
    :param peak_share: largest share of the service's running requests at the new
        version while it was unproven and had more than one.
    :param peak_running: most requests that it ran at once while unproven.
    :param to_zero_s: from the first cut at a router to the last start at the new
        version, or None without a cut.
    """

    state: str
    reason: str
    seconds: float
    in_time: bool
    requests: int
    bad: int
    peak_share: float
    peak_running: int
    to_zero_s: float | None


@dataclass(frozen=True, slots=True)
class Histories:
    """Events of the engines of each version, in the order of time."""

    new: list[dict]
    old: list[dict]


def bad_requests(events: Iterable[dict], slow_s: float) -> tuple[int, int]:
    """Returns the requests of the new version, and how many it served badly.

    :param events: in the order of time.
    :param slow_s: a request that takes longer counts as bad, and one that has not
        ended so long before the last event.
    """
    ended_at = 0.0
    started: dict[str, float] = {}
    total = bad = 0
    for event in events:
        request_id = event["request_id"]
        ended_at = event["time"]
        if event["event"] == "started":
            started[request_id] = event["time"]
            total += 1
        elif event["event"] in ENDS and request_id in started:
            took_s = event["time"] - started.pop(request_id)
            bad += event["event"] == "failed" or took_s > slow_s
    return total, bad + sum(ended_at - at > slow_s for at in started.values())


def unproven_peak(
    histories: Histories, since: float, until: float
) -> tuple[float, int]:
    """Returns the largest share and number of running requests of the new version.

    A single running request does not count for the share, because one is always
    allowed.

    :param since: start of the move, in seconds since the epoch.
    :param until: when its share first grew above the unproven share, or its end.
    """
    merged = [(e["time"], e["event"], True) for e in histories.new]
    merged += [(e["time"], e["event"], False) for e in histories.old]
    new = old = most = 0
    share = 0.0
    for at, event, is_new in sorted(merged):
        change = 1 if event == "started" else -1
        if is_new:
            new += change
        else:
            old += change
        if since <= at < until:
            most = max(most, new)
            if new > 1:
                share = max(share, new / (new + old))
    return share, most


def first_cut(logs: Iterable[Path]) -> float | None:
    """Returns when a router first cut the version, in seconds since the epoch."""
    times = [_log_time(line) for line in _lines(logs, CUT_MESSAGE)]
    return min(times, default=None)


def first_growth(logs: Iterable[Path], share: float) -> float | None:
    """Returns when a larger share was first written, in seconds since the epoch."""
    lines = _lines(logs, MOVE_MESSAGE)
    return min(
        (_log_time(line) for line in lines if line["share"] > share), default=None
    )


def _lines(logs: Iterable[Path], message: str) -> list[dict]:
    lines = [line for path in logs for line in path.read_text().splitlines()]
    return [json.loads(line) for line in lines if message in line]


def _log_time(line: dict) -> float:
    return datetime.fromisoformat(line["timestamp"]).timestamp()


def seconds_to_zero(cut_at: float | None, new: Iterable[dict]) -> float | None:
    """Returns the seconds from a cut to the last start at the new version."""
    if cut_at is None:
        return None
    starts = [event["time"] for event in new if event["event"] == "started"]
    return max(0.0, max(starts, default=cut_at) - cut_at)
