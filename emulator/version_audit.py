"""Computes the result of a version move from engine events and router logs."""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path

BLOCK_MESSAGE = "version cut by this router"
MOVE_MESSAGE = "move written"
END_EVENTS = ("finished", "failed", "cancelled")


@dataclass(frozen=True, slots=True)
class MoveResult:
    """Result of one version move. Times are in seconds.

    :param state: final state of the move.
    :param seconds: from the start of the move to its decision.
    :param in_time: whether it was decided by its deadline.
    :param requests: requests that the new version started.
    :param bad: requests that failed or were too slow at the new version.
    :param peak_share: largest share of the service's running requests at the new
        version while it was unproven and ran more than one.
    :param peak_running: most requests that the new version ran at once while unproven.
    :param to_zero_s: from the first block of the new version by a router to the last
        request started at it, or None if no router blocked it.
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
    """Recorded events of the engines of the new and the old version, sorted by time."""

    new: list[dict]
    old: list[dict]


def bad_requests(events: Iterable[dict], slow_s: float) -> tuple[int, int]:
    """Returns the number of requests of the new version, and of the bad ones.

    :param events: events of the new version's engines, sorted by time.
    :param slow_s: seconds above which a request is bad. A request without an end is bad
        if it started longer than this before the last event.
    """
    last_event_at = 0.0
    started: dict[str, float] = {}
    total = bad = 0
    for event in events:
        last_event_at = event["time"]
        # Events of the engine itself, such as a changed cold period, have no request.
        request_id = event.get("request_id")
        if event["event"] == "started":
            started[request_id] = event["time"]
            total += 1
        elif event["event"] in END_EVENTS and request_id in started:
            took_s = event["time"] - started.pop(request_id)
            bad += event["event"] == "failed" or took_s > slow_s
    return total, bad + sum(last_event_at - at > slow_s for at in started.values())


def unproven_peak(
    histories: Histories, since: float, until: float
) -> tuple[float, int]:
    """Returns the largest share and number of running requests of the new version.

    A single running request does not count for the share, because one is always
    allowed.

    :param since: start of the move, in seconds since the epoch.
    :param until: when the version's share was first raised above the unproven share, or
        the end of the move, in seconds since the epoch.
    """
    merged = [(e["time"], e["event"], True) for e in histories.new]
    merged += [(e["time"], e["event"], False) for e in histories.old]
    new_running = old_running = max_running = 0
    share = 0.0
    for at, event, is_new in sorted(merged):
        if event != "started" and event not in END_EVENTS:
            continue
        change = 1 if event == "started" else -1
        if is_new:
            new_running += change
        else:
            old_running += change
        if since <= at < until:
            max_running = max(max_running, new_running)
            if new_running > 1:
                share = max(share, new_running / (new_running + old_running))
    return share, max_running


def first_block_time(logs: Iterable[Path]) -> float | None:
    """Returns when a router first blocked the version, in seconds since the epoch.

    :returns: None if no router did.
    """
    times = [_log_time(line) for line in _matching_lines(logs, BLOCK_MESSAGE)]
    return min(times, default=None)


def first_growth_time(logs: Iterable[Path], share: float) -> float | None:
    """Returns when a larger share was first stored, in seconds since the epoch.

    :returns: None if the share never exceeded ``share``.
    """
    lines = _matching_lines(logs, MOVE_MESSAGE)
    return min(
        (_log_time(line) for line in lines if line["share"] > share), default=None
    )


def _matching_lines(logs: Iterable[Path], message: str) -> list[dict]:
    lines = [line for path in logs for line in path.read_text().splitlines()]
    return [json.loads(line) for line in lines if message in line]


def _log_time(line: dict) -> float:
    return datetime.fromisoformat(line["timestamp"]).timestamp()


def seconds_to_zero(blocked_at: float | None, new: Iterable[dict]) -> float | None:
    """Returns the seconds from a block to the last request started at the new version.

    :param blocked_at: time of the block in seconds since the epoch, or None.
    :param new: events of the new version's engines.
    """
    if blocked_at is None:
        return None
    starts = [event["time"] for event in new if event["event"] == "started"]
    return max(0.0, max(starts, default=blocked_at) - blocked_at)
