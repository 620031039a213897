"""Rules on single requests: P5, P6, P7 and P9."""

import re
from collections import defaultdict

from emulator.checking.bounds import Bounds
from emulator.checking.history import Event, Events, Violation

# Events that end a call.
RESULTS = ("answered", "refused", "no_answer", "wrong")
# Outcomes that a refusal may state.
OUTCOMES = ("not_run", "outcome_unknown", "failed")
_RANDOM_PART = re.compile(r"^[0-9a-f]{32}\.")


def check_responses(events: Events, bounds: Bounds) -> list[Violation]:
    """P5: each request gets one response, which is complete and belongs to it."""
    asked = {event["request_id"] for event in events.named("asked")}
    violations, ended = [], set()
    for event in events.named(*RESULTS):
        request_id, time = event["request_id"], event["time"]
        if event["event"] == "wrong":
            text = f"{request_id}: {event.get('problem', 'wrong response')}"
            violations.append(Violation("P5", time, text))
        if request_id not in asked:
            violations.append(Violation("P5", time, f"{request_id} was never sent"))
        if request_id in ended:
            violations.append(Violation("P5", time, f"{request_id} ended twice"))
        ended.add(request_id)
    return violations + _find_unstarted_chats(events)


def _find_unstarted_chats(events: Events) -> list[Violation]:
    """Finds chats that were answered although no engine started them.

    This also detects that the request ids of callers and backend servers do not match,
    in which case the other rules would find nothing.
    """
    started = {caller_request_id(event) for event in events.named("started")}
    return [
        Violation(
            "P5",
            event["time"],
            f"{event['request_id']} was answered, but no engine started it",
        )
        for event in events.named("answered")
        if not event.get("key") and event["request_id"] not in started
    ]


def caller_request_id(event: Event) -> str:
    """Returns the request id that the caller gave to a backend server's request.

    A router makes ids unique: it puts 32 random hexadecimal digits and a dot before them.
    """
    return _RANDOM_PART.sub("", event["request_id"])


def check_refusals(events: Events, bounds: Bounds) -> list[Violation]:
    """P6: a request that was refused as not run never starts at any server."""
    started = {caller_request_id(event): event for event in events.starts()}
    violations = []
    for event in events.named("refused"):
        request_id, outcome = event["request_id"], event.get("outcome")
        # An error response of a backend server itself has no outcome.
        server_error = not outcome and request_id in started
        if outcome not in OUTCOMES and not server_error:
            text = f"{request_id} was refused with outcome {outcome!r}"
            violations.append(Violation("P6", event["time"], text))
        if outcome == "not_run" and request_id in started:
            server = started[request_id]["server"]
            text = f"{request_id} was refused as not run, but started at {server}"
            violations.append(Violation("P6", event["time"], text))
    return violations


def check_at_most_once(events: Events, bounds: Bounds) -> list[Violation]:
    """P7: a key is executed at most once, and exactly once if it was answered.

    The keys of a run must be unique across all workspaces, since a plain service is not
    told the workspace.
    """
    executions: dict[str, list[Event]] = defaultdict(list)
    for event in events.named("executed"):
        if event["key"]:
            executions[event["key"]].append(event)
    violations = []
    for key, runs in executions.items():
        if len(runs) > 1:
            servers = ", ".join(run["server"] for run in runs)
            text = f"{key} was executed {len(runs)} times: {servers}"
            violations.append(Violation("P7", runs[1]["time"], text))
    for event in events.named("answered"):
        key = event.get("key")
        if key and key not in executions:
            text = f"{key} was answered, but never executed"
            violations.append(Violation("P7", event["time"], text))
    return violations


def check_planned_stops(events: Events, bounds: Bounds) -> list[Violation]:
    """P9: a planned stop interrupts no request and needs no SIGKILL."""
    ends = {event["pid"]: event for event in events.named("stopped")}
    violations = []
    for stop in events.named("stop"):
        ended = ends.get(stop["pid"])
        if ended is None:
            text = f"{stop['process']} did not end"
            violations.append(Violation("P9", stop["time"], text))
            continue
        if ended["forced"]:
            text = f"{stop['process']} needed SIGKILL"
            violations.append(Violation("P9", ended["time"], text))
        violations += _find_interrupted_requests(events, stop, ended["time"])
    return violations


def _find_interrupted_requests(
    events: Events, stop: Event, end: float
) -> list[Violation]:
    violations = []
    if stop.get("server"):
        for event in events.named("failed", "cancelled"):
            is_affected = event["server"] == stop["server"]
            if is_affected and stop["time"] <= event["time"] <= end:
                text = f"{event['request_id']} was {event['event']} during the stop of "
                violations.append(
                    Violation("P9", event["time"], text + stop["process"])
                )
    asked = {event["request_id"]: event["time"] for event in events.named("asked")}
    for event in events.named("no_answer"):
        asked_at = asked.get(event["request_id"], event["time"])
        is_affected = stop.get("router") and event["router"] == stop["router"]
        if not is_affected or event["time"] < stop["time"] or asked_at > end:
            continue
        # A refused connection delivered no request, and an interruption by an injected
        # fault is not due to the stop.
        if event.get("connected", True) and not events.has_fault(
            stop["process"], asked_at, event["time"]
        ):
            text = f"{event['request_id']} got no response during the stop of "
            violations.append(Violation("P9", event["time"], text + stop["process"]))
    return violations
