"""Rules on operator commands and membership: P3, P8, P10 and P11."""

import math

from emulator.checking.bounds import Bounds
from emulator.checking.history import Event, Events, Violation

FINAL_STATES = ("done", "taken_back")


def check_zones_out(events: Events, bounds: Bounds) -> list[Violation]:
    """P3: no work starts in a zone that is out until an operator brings it back."""
    commands = [
        event
        for event in events.named("accepted")
        if event.get("change") in ("zone_out", "zone_back")
    ]
    violations = []
    for index, command in enumerate(commands):
        if command["change"] != "zone_out":
            continue
        returns = [
            later["sent"]
            for later in commands[index + 1 :]
            if later["zone"] == command["zone"] and later["change"] == "zone_back"
        ]
        until = min(returns, default=math.inf)
        for start in events.starts():
            late = command["time"] + bounds.zone_out_s < start["time"] < until
            if late and events.backend_of(start)["zone"] == command["zone"]:
                after_s = start["time"] - command["time"]
                text = (
                    f"{start['server']} started a request {after_s:.2f} s after zone "
                )
                text += f"{command['zone']} was taken out"
                violations.append(Violation("P3", start["time"], text))
    return violations


def check_leaving_servers(events: Events, bounds: Bounds) -> list[Violation]:
    """P8: a server that has announced that it leaves soon starts no work any more."""
    violations = []
    for event in events.named("leaving"):
        server = event["server"]
        joined = [
            other["time"]
            for other in events.named("backend")
            if other["server"] == server and other["time"] > event["time"]
        ]
        until = min(joined, default=math.inf)
        for start in events.starts():
            late = event["time"] + bounds.leaving_s < start["time"] < until
            if late and start["server"] == server:
                after_s = start["time"] - event["time"]
                text = (
                    f"{server} started a request {after_s:.2f} s after it announced "
                    "that it leaves"
                )
                violations.append(Violation("P8", start["time"], text))
    return violations


def check_configuration(events: Events, bounds: Bounds) -> list[Violation]:
    """P10: an accepted change is in force in time, and no process reverts to an older one.

    ``revision`` is that of the newest entry in force. ``marker`` is a setting whose
    value only grows, so it shows whether a given change is in force.
    """
    violations = []
    for field in ("revision", "marker"):
        highest: dict[str, int] = {}
        commands = [e for e in events.named("accepted") if e.get(field)]
        for sample in events.named("revision"):
            if field not in sample:
                continue
            process, value = sample["process"], sample[field]
            highest_before = highest.get(process, 0)
            if value < highest_before:
                text = f"{process} went back from {field} {highest_before} to {value}"
                violations.append(Violation("P10", sample["time"], text))
            highest[process] = max(highest_before, value)
            required = _required_value(events, bounds, commands, field, sample)
            if value < required:
                text = f"{process} has {field} {value}, but {required} was accepted"
                violations.append(Violation("P10", sample["time"], text))
    return violations


def _required_value(
    events: Events, bounds: Bounds, commands: list[Event], field: str, sample: Event
) -> int:
    """Returns the revision or marker that a sampled process must have at least.

    :param field: ``revision`` or ``marker``.
    """
    limit = sample["time"] - bounds.configuration_s
    required = max((e[field] for e in commands if e["time"] < limit), default=0)
    # A process that was disconnected, paused or down gets the whole bound again after
    # the fault.
    if required and events.has_fault(sample["process"], limit, sample["time"]):
        return 0
    return required


def check_move_deadlines(events: Events, bounds: Bounds) -> list[Violation]:
    """P11: each move reports one final state by its deadline."""
    violations = []
    for command in events.named("accepted"):
        if not command.get("move"):
            continue
        states = [e for e in events.named("move") if e["move"] == command["move"]]
        final = [event for event in states if event["state"] in FINAL_STATES]
        name, deadline = command["move"], command["deadline_at"]
        if len({event["state"] for event in final}) > 1:
            text = f"move {name} was reported both as done and as taken back"
            violations.append(Violation("P11", final[-1]["time"], text))
        late = [
            event
            for event in states
            if event["time"] > deadline and event["state"] not in FINAL_STATES
        ]
        for event in late[:1]:
            text = f"move {name} is still {event['state']} after its deadline"
            violations.append(Violation("P11", event["time"], text))
        if events.end > deadline and not final:
            text = f"move {name} never reported a final state"
            violations.append(Violation("P11", deadline, text))
    return violations
