"""Rules on operators' orders and membership: P3, P8, P10 and P11."""

import math

from emulator.checking.bounds import Bounds
from emulator.checking.history import Event, Events, Violation

FINAL_STATES = ("done", "taken_back")


def zone_out(events: Events, bounds: Bounds) -> list[Violation]:
    """P3: a zone that is out starts no work until its return is ordered."""
    orders = [
        event
        for event in events.named("accepted")
        if event.get("change") in ("zone_out", "zone_back")
    ]
    found = []
    for index, order in enumerate(orders):
        if order["change"] != "zone_out":
            continue
        returns = [
            later["sent"]
            for later in orders[index + 1 :]
            if later["zone"] == order["zone"] and later["change"] == "zone_back"
        ]
        until = min(returns, default=math.inf)
        for start in events.starts():
            late = order["time"] + bounds.zone_s < start["time"] < until
            if late and events.backend_of(start)["zone"] == order["zone"]:
                after_s = start["time"] - order["time"]
                text = f"{start['server']} got work {after_s:.2f} s after zone "
                text += f"{order['zone']} was taken out"
                found.append(Violation("P3", start["time"], text))
    return found


def leaving(events: Events, bounds: Bounds) -> list[Violation]:
    """P8: a server that announced that it leaves starts no work soon after."""
    found = []
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
                text = f"{server} got work {after_s:.2f} s after it was leaving"
                found.append(Violation("P8", start["time"], text))
    return found


def configuration(events: Events, bounds: Bounds) -> list[Violation]:
    """P10: accepted configuration is in force in time and never goes back.

    ``revision`` is that of the newest entry in force. ``marker`` is a setting whose
    value only grows, so that it shows whether that one change is in force.
    """
    found = []
    for figure in ("revision", "marker"):
        highest: dict[str, int] = {}
        orders = [e for e in events.named("accepted") if e.get(figure)]
        for sample in events.named("revision"):
            if figure not in sample:
                continue
            process, value = sample["process"], sample[figure]
            known = highest.get(process, 0)
            if value < known:
                text = f"{process} went back from {figure} {known} to {value}"
                found.append(Violation("P10", sample["time"], text))
            highest[process] = max(known, value)
            due = _due(events, bounds, orders, figure, sample)
            if value < due:
                text = f"{process} has {figure} {value}, accepted was {due}"
                found.append(Violation("P10", sample["time"], text))
    return found


def _due(
    events: Events, bounds: Bounds, orders: list[Event], figure: str, sample: Event
) -> int:
    """Returns the figure that a process must have when it is sampled."""
    limit = sample["time"] - bounds.config_s
    due = max((e[figure] for e in orders if e["time"] < limit), default=0)
    # A process that was cut off, paused or down has the bound again afterwards.
    if due and events.disturbed(sample["process"], limit, sample["time"]):
        return 0
    return due


def moves_on_time(events: Events, bounds: Bounds) -> list[Violation]:
    """P11: each move has one final state, seen by its deadline."""
    found = []
    for order in events.named("accepted"):
        if not order.get("move"):
            continue
        states = [e for e in events.named("move") if e["move"] == order["move"]]
        final = [event for event in states if event["state"] in FINAL_STATES]
        name, deadline = order["move"], order["deadline_at"]
        if len({event["state"] for event in final}) > 1:
            text = f"move {name} was reported done and taken back"
            found.append(Violation("P11", final[-1]["time"], text))
        late = [
            event
            for event in states
            if event["time"] > deadline and event["state"] not in FINAL_STATES
        ]
        for event in late[:1]:
            text = f"move {name} is {event['state']} after its deadline"
            found.append(Violation("P11", event["time"], text))
        if events.end > deadline and not final:
            text = f"no final state of move {name} was reported"
            found.append(Violation("P11", deadline, text))
    return found
