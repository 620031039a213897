"""Rules on single requests: P5, P6, P7 and P9."""

import re
from collections import defaultdict

from emulator.checking.bounds import Bounds
from emulator.checking.history import Event, Events, Violation

RESULTS = ("answered", "refused", "no_answer", "wrong")
OUTCOMES = ("not_run", "outcome_unknown", "failed")
_RANDOM_PART = re.compile(r"^[0-9a-f]{32}\.")


def whole_answers(events: Events, bounds: Bounds) -> list[Violation]:
    """P5: each answer is whole, of its own request, and the only one."""
    asked = {event["request_id"] for event in events.named("asked")}
    found, ended = [], set()
    for event in events.named(*RESULTS):
        request_id, time = event["request_id"], event["time"]
        if event["event"] == "wrong":
            text = f"{request_id}: {event.get('problem', 'wrong answer')}"
            found.append(Violation("P5", time, text))
        if request_id not in asked:
            found.append(Violation("P5", time, f"{request_id} was never asked"))
        if request_id in ended:
            found.append(Violation("P5", time, f"{request_id} ended twice"))
        ended.add(request_id)
    return found + _answers_from_nowhere(events)


def _answers_from_nowhere(events: Events) -> list[Violation]:
    """Finds chats that were answered and that no engine ever started.

    It also shows when the ids of callers and backend servers do not match, since
    the other rules would then find nothing.
    """
    started = {caller_id(event) for event in events.named("started")}
    return [
        Violation("P5", event["time"], f"{event['request_id']} never started anywhere")
        for event in events.named("answered")
        if not event.get("key") and event["request_id"] not in started
    ]


def caller_id(event: Event) -> str:
    """Returns the caller's request id of an event of a backend server.

    A router makes ids unique by a random part of 32 hexadecimal digits before it.
    """
    return _RANDOM_PART.sub("", event["request_id"])


def true_refusals(events: Events, bounds: Bounds) -> list[Violation]:
    """P6: a request refused as not run started nowhere, before or after."""
    started = {caller_id(event): event for event in events.starts()}
    found = []
    for event in events.named("refused"):
        request_id, outcome = event["request_id"], event.get("outcome")
        # An error that a backend server answered itself has no outcome.
        own_error = not outcome and request_id in started
        if outcome not in OUTCOMES and not own_error:
            text = f"{request_id} was refused with outcome {outcome!r}"
            found.append(Violation("P6", event["time"], text))
        if outcome == "not_run" and request_id in started:
            server = started[request_id]["server"]
            text = f"{request_id} was refused as not run and started at {server}"
            found.append(Violation("P6", event["time"], text))
    return found


def at_most_once(events: Events, bounds: Bounds) -> list[Violation]:
    """P7: a key is executed once at most, and if it was answered, exactly once.

    The keys of a run must be unique over all workspaces, since a plain service does
    not learn the workspace.
    """
    executions: dict[str, list[Event]] = defaultdict(list)
    for event in events.named("executed"):
        if event["key"]:
            executions[event["key"]].append(event)
    found = []
    for key, runs in executions.items():
        if len(runs) > 1:
            where = ", ".join(run["server"] for run in runs)
            text = f"{key} was executed {len(runs)} times: {where}"
            found.append(Violation("P7", runs[1]["time"], text))
    for event in events.named("answered"):
        key = event.get("key")
        if key and key not in executions:
            text = f"{key} was answered and never executed"
            found.append(Violation("P7", event["time"], text))
    return found


def planned_stops(events: Events, bounds: Bounds) -> list[Violation]:
    """P9: a planned stop interrupts nothing and needs no SIGKILL."""
    ends = {event["pid"]: event for event in events.named("stopped")}
    found = []
    for stop in events.named("stop"):
        ended = ends.get(stop["pid"])
        if ended is None:
            text = f"{stop['process']} did not end"
            found.append(Violation("P9", stop["time"], text))
            continue
        if ended["forced"]:
            text = f"{stop['process']} needed SIGKILL"
            found.append(Violation("P9", ended["time"], text))
        found += _interrupted(events, stop, ended["time"])
    return found


def _interrupted(events: Events, stop: Event, end: float) -> list[Violation]:
    found = []
    if stop.get("server"):
        for event in events.named("failed", "cancelled"):
            same = event["server"] == stop["server"]
            if same and stop["time"] <= event["time"] <= end:
                text = f"{event['request_id']} was {event['event']} in the stop of "
                found.append(Violation("P9", event["time"], text + stop["process"]))
    asked = {event["request_id"]: event["time"] for event in events.named("asked")}
    for event in events.named("no_answer"):
        begun = asked.get(event["request_id"], event["time"])
        same = stop.get("router") and event["router"] == stop["router"]
        if not same or event["time"] < stop["time"] or begun > end:
            continue
        # A refused connection took no request; faults on the path are not the stop.
        if event.get("connected", True) and not events.disturbed(
            stop["process"], begun, event["time"]
        ):
            text = f"{event['request_id']} got no answer in the stop of "
            found.append(Violation("P9", event["time"], text + stop["process"]))
    return found
