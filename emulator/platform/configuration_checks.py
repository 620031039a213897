"""Checks that gateways apply each version of the configuration in time and keep it."""

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from emulator.platform.server import ReceivedRequest
from emulator.platform.soak_checks import CONTACT_S, Call, History
from emulator.platform.soak_configuration import ConfigurationVersion

# Seconds after the store acknowledged a version in which it must be in force.
APPLY_S = 2.0
# Seconds after the effect of a version in which an older one may still have effect.
ROLLBACK_SLACK_S = 0.25
# Fewest requests on added routes, at gateways in touch, whose served share counts.
MIN_ADDED_CALLS = 20
# Smallest served share of requests on added routes, relative to that on the first ones.
MIN_RELATIVE_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class Outcome:
    """How a request was handled, as far as it shows the configuration in force.

    :param at: when it was run or refused, in seconds of the monotonic clock.
    :param allowed_by: tells whether a version allows it.
    """

    call: Call
    text: str
    at: float
    allowed_by: Callable[[ConfigurationVersion], bool]


def find_configuration_violations(history: History) -> list[str]:
    """Checks how requests were handled against the versions of the configuration.

    :returns: one line for each violation.
    """
    outcomes = list(_list_outcomes(history))
    found = []
    for outcome in outcomes:
        found += _check_outcome(history, outcome)
    return found + _find_regressions(history, outcomes) + _check_shares(history)


def count_served(history: History) -> dict[str, tuple[int, int]]:
    """Counts served and sent requests on the first routes and on added ones.

    Counted are those of gateways in touch that each version which may be in force allows.
    """
    counts = {"first": [0, 0], "added": [0, 0]}
    for call in history.calls:
        versions = versions_in_force(history, call.sent_at, call.ended_at)
        since = call.sent_at - CONTACT_S
        if call.left or not all(
            call.key in v.keys and v.find_route(call.host, call.path) for v in versions
        ):
            continue
        if not history.was_in_touch(call.gateway, since, call.ended_at):
            continue
        route = versions[-1].find_route(call.host, call.path)
        count = counts["first" if route in history.versions[0].services else "added"]
        count[0] += call.status == 200
        count[1] += 1
    return {name: (served, sent) for name, (served, sent) in counts.items()}


def versions_in_force(
    history: History, sent_at: float, until: float
) -> list[ConfigurationVersion]:
    """Returns the versions by which a gateway in touch may handle a request.

    :param until: when it was handled, in seconds of the monotonic clock.
    """
    written = [v.written_at for v in history.versions]
    first = max(0, bisect_right(written, sent_at - APPLY_S) - 1)
    return history.versions[first : bisect_right(written, until)]


def _list_outcomes(history: History) -> Iterator[Outcome]:
    calls = {call.id: call for call in history.calls}
    for run in history.runs:
        if run.id in calls:
            yield _run_outcome(calls[run.id], run, history.services[run.server_id])
    for call in history.calls:
        if call.status == 404:
            yield Outcome(
                call,
                "got 404",
                call.ended_at,
                lambda version, c=call: version.find_route(c.host, c.path) is None,
            )
        elif call.status == 401:
            yield Outcome(
                call,
                "got 401",
                call.ended_at,
                lambda version, c=call: c.key not in version.keys,
            )
        elif call.status == 403:
            yield Outcome(call, "got 403", call.ended_at, lambda version: False)


def _run_outcome(call: Call, run: ReceivedRequest, service: str) -> Outcome:
    return Outcome(
        call,
        f"ran at {run.server_id} of {service}",
        run.at,
        lambda version: (
            call.key in version.keys
            and service in version.find_services(call.host, call.path)
        ),
    )


def _check_outcome(history: History, outcome: Outcome) -> list[str]:
    call = outcome.call
    versions = versions_in_force(history, call.sent_at, outcome.at)
    if any(outcome.allowed_by(version) for version in versions):
        return []
    text = (
        f"{call.id} {call.host}{call.path} at {call.gateway} with {call.key} "
        f"{outcome.text}"
    )
    older = [v for v in history.versions if v.written_at < versions[0].written_at]
    allowing = [v for v in older if outcome.allowed_by(v)]
    if not allowing:
        return [f"never allowed: {text}"]
    if not history.was_in_touch(call.gateway, call.sent_at - CONTACT_S, outcome.at):
        return []
    last = allowing[-1]
    superseded = history.versions[history.versions.index(last) + 1]
    after_s = call.sent_at - superseded.written_at
    return [
        f"old configuration: {text} as version {last.version} says, sent {after_s:.2f} s "
        f"after version {superseded.version}"
    ]


def _find_regressions(history: History, outcomes: list[Outcome]) -> list[str]:
    """Checks that no gateway process goes back to an older version."""
    by_process = defaultdict(list)
    for outcome in outcomes:
        call = outcome.call
        process = history.find_process(call.gateway, call.sent_at)
        if process == history.find_process(call.gateway, outcome.at):
            by_process[process].append(outcome)
    found = []
    for group in by_process.values():
        found += _find_process_regressions(history, group)
    return found


def _find_process_regressions(history: History, outcomes: list[Outcome]) -> list[str]:
    found = []
    # Times, and the newest version that had shown its effect by then.
    times: list[float] = []
    newest: list[int] = []
    ranges = []
    for outcome in sorted(outcomes, key=lambda item: item.at):
        allowing = [
            number
            for number, version in enumerate(history.versions)
            if version.written_at <= outcome.at and outcome.allowed_by(version)
        ]
        if allowing:
            ranges.append((outcome, allowing[-1]))
            times.append(outcome.at)
            newest.append(max(allowing[0], newest[-1] if newest else 0))
    for outcome, last in ranges:
        call = outcome.call
        position = bisect_right(times, call.sent_at - ROLLBACK_SLACK_S) - 1
        if position >= 0 and last < newest[position]:
            found.append(
                f"regression: {call.id} {call.host}{call.path} at {call.gateway} "
                f"{outcome.text} as version {history.versions[last].version} says, "
                f"after version {history.versions[newest[position]].version}"
            )
    return found


def _check_shares(history: History) -> list[str]:
    counts = count_served(history)
    (first_served, first), (added_served, added) = counts["first"], counts["added"]
    if added < MIN_ADDED_CALLS or not first:
        return []
    if added_served / added >= MIN_RELATIVE_SHARE * first_served / first:
        return []
    return [
        f"added routes: {added_served} of {added} requests were served on them, "
        f"{first_served} of {first} on the first routes"
    ]
