"""Rules on the load of backend servers: P1, P2 and P4."""

import math
from collections import deque

from emulator.checking.bounds import Bounds
from emulator.checking.history import END_EVENTS, Event, Events, Violation


class EngineLoads:
    """Requests in flight by engine, counted from the engines' own events."""

    __slots__ = ("_absent", "_events", "_flight", "_recent", "_window_s")

    def __init__(self, events: Events, window_s: float) -> None:
        self._events = events
        self._window_s = window_s
        # Request ids in flight by server that runs; a server that ended is left out.
        self._flight: dict[str, set[str]] = {}
        # Servers that left the pool and zones that are out.
        self._absent: set[str] = set()
        # Time and loads by server, after each change within the window.
        self._recent: deque[tuple[float, dict[str, int]]] = deque()

    def take(self, event: Event) -> bool:
        """Takes the next event in the order of time.

        :returns: True for the start of a request at an engine that was introduced.
            Requests before that, as those that probe a launch, are not counted.
        """
        name, server = event["event"], event.get("server")
        if name == "backend" and event["engine"]:
            self._flight[server] = set()
        elif name == "ended":
            self._flight.pop(server, None)
        elif name in ("left", "joined"):
            self._set_absent(server, name == "left")
        elif name == "accepted" and "zone" in event:
            self._set_absent(event["zone"], event["change"] == "zone_out")
        elif server in self._flight and name == "started":
            self._flight[server].add(event["request_id"])
        elif server in self._flight and name in END_EVENTS:
            self._flight[server].discard(event["request_id"])
        else:
            return False
        loads = {
            server: len(ids)
            for server, ids in self._flight.items()
            if not self._absent & {server, self._events.backends[server]["zone"]}
        }
        self._recent.append((event["time"], loads))
        # The state at the start of the window is the last one before it.
        limit = event["time"] - self._window_s
        while len(self._recent) > 1 and self._recent[1][0] <= limit:
            self._recent.popleft()
        return name == "started"

    def _set_absent(self, name: str, absent: bool) -> None:
        (self._absent.add if absent else self._absent.discard)(name)

    def of(self, server: str) -> int:
        """Returns the requests in flight at a server."""
        return len(self._flight.get(server, ()))

    def highest_mean(self, server: str, pool: set[str]) -> float:
        """Returns the highest mean that the server may know now.

        It is made of the server's present load and the others' in the window.
        """
        own = self.of(server)
        means = [own / 1.0] if not pool - {server} else []
        for _, loads in self._recent:
            members = pool & loads.keys() | {server}
            others = sum(loads[name] for name in members if name != server)
            means.append((others + own) / len(members))
        return max(means)

    def highest_total(self, server: str, pool: set[str]) -> int:
        """Returns the highest load of a pool that the server may know now."""
        own = self.of(server)
        return own + max(
            sum(loads.get(name, 0) for name in pool if name != server)
            for _, loads in self._recent
        )


def _pool(events: Events, server: str, any_version: bool = False) -> set[str]:
    own = events.backends[server]
    return {
        name
        for name, other in events.backends.items()
        if other["service"] == own["service"]
        and (any_version or other["version"] == own["version"])
    }


def _engine_events(events: Events) -> list[Event]:
    return events.named(
        "backend", "ended", "left", "joined", "accepted", "started", *END_EVENTS
    )


def load_bound(events: Events, bounds: Bounds) -> list[Violation]:
    """P1: each start finds the engine within the bound on its pool's mean."""
    loads, found = EngineLoads(events, bounds.load_report_age_s), []
    for event in _engine_events(events):
        if not loads.take(event):
            continue
        server = event["server"]
        mean = loads.highest_mean(server, _pool(events, server))
        bound = math.floor(bounds.load_bound * mean) + bounds.load_bound_extra
        if loads.of(server) > bound:
            text = f"{server} has {loads.of(server)} requests, mean {mean:.2f}"
            found.append(Violation("P1", event["time"], f"{text}, bound {bound}"))
    return found


def cold_start(events: Events, bounds: Bounds) -> list[Violation]:
    """P2: a cold server has no more requests than its answers so far allow."""
    loads, found = EngineLoads(events, 0.0), []
    # Server to the time from which the limit holds, and whole answers since.
    cold: dict[str, tuple[float, int]] = {}
    for event in events.named("cold", "backend", "ended", "started", *END_EVENTS):
        server, time = event.get("server"), event["time"]
        loads.take(event)
        if event["event"] == "cold":
            notice = 0.0 if event.get("announced") else bounds.cold_notice_s
            cold[server] = (time + notice, 0)
        elif server in cold and event["event"] == "finished":
            cold[server] = (cold[server][0], cold[server][1] + 1)
        elif server in cold and event["event"] == "started":
            since, answers = cold[server]
            growth = bounds.cold_growth ** (answers // bounds.cold_evidence)
            limit = bounds.cold_limit * growth
            if time >= since and loads.of(server) > limit:
                text = f"{server} has {loads.of(server)} requests after {answers}"
                found.append(
                    Violation("P2", time, f"{text} answers since cold, limit {limit:g}")
                )
    return found


def bad_version(events: Events, bounds: Bounds) -> list[Violation]:
    """P4: an unproven version has a small share, a bad one soon nothing."""
    found = []
    for order in events.named("accepted"):
        if order.get("change") == "version_start":
            found += _unproven_share(events, bounds, order)
            found += _after_faults(events, bounds, order)
    return found


def _unproven_share(events: Events, bounds: Bounds, order: Event) -> list[Violation]:
    """Checks the load until the move is first seen above the unproven share."""
    proven = [
        event["time"]
        for event in events.named("move")
        if event["move"] == order["move"]
        and event.get("share", 0) > bounds.unproven_share
    ]
    until = min(proven, default=math.inf)
    loads, found = EngineLoads(events, bounds.load_report_age_s), []
    for event in _engine_events(events):
        started = loads.take(event)
        if not started or not order["sent"] <= event["time"] < until:
            continue
        backend = events.backend_of(event)
        if (backend["service"], backend["version"]) != _version(order):
            continue
        server = event["server"]
        total = loads.highest_total(server, _pool(events, server, any_version=True))
        bound = max(1, math.floor(bounds.unproven_share * total))
        if loads.of(server) > bound:
            text = f"unproven {server} has {loads.of(server)} of {total} requests"
            found.append(Violation("P4", event["time"], f"{text}, bound {bound}"))
    return found


def _after_faults(events: Events, bounds: Bounds, order: Event) -> list[Violation]:
    """Checks that a bad version gets no work once its faults could be seen."""
    mine = [
        event
        for event in events.named("started", "failed")
        if event["time"] >= order["sent"]
        and _version(events.backend_of(event)) == _version(order)
    ]
    seen = [event["time"] for event in mine if event["event"] == "failed"]
    decided = [
        event["time"]
        for event in events.named("move")
        if event["move"] == order["move"] and event["state"] == "taken_back"
    ]
    known = seen[bounds.version_evidence - 1 :][:1] + decided[:1]
    if not known:
        return []
    limit = min(known) + bounds.version_s
    return [
        Violation("P4", event["time"], f"{event['server']} got work of a bad version")
        for event in mine
        if event["event"] == "started" and event["time"] > limit
    ]


def _version(event: Event) -> tuple[str, str]:
    return event["service"], event["version"]
