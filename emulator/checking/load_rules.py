"""Rules on the load of backend servers: P1, P2 and P4."""

import math
from collections import deque

from emulator.checking.bounds import Bounds
from emulator.checking.history import END_EVENTS, Event, Events, Violation


class EngineLoads:
    """Counts the requests in flight at each engine from the engines' own events.

    It also keeps the loads of the last ``window_s`` seconds, since a router may decide by
    a load report of that age.
    """

    __slots__ = ("_absent", "_events", "_in_flight", "_recent_loads", "_window_s")

    def __init__(self, events: Events, window_s: float) -> None:
        self._events = events
        self._window_s = window_s
        # Request ids in flight by server, without servers that have ended.
        self._in_flight: dict[str, set[str]] = {}
        # Names of servers that have left the pool and of zones that are out.
        self._absent: set[str] = set()
        # Time and loads by server, after each change within the window.
        self._recent_loads: deque[tuple[float, dict[str, int]]] = deque()

    def apply(self, event: Event) -> bool:
        """Updates the loads by the next event; events must be sorted by time.

        :returns: True if a request started at an engine that has a ``backend`` event.
            Earlier requests, such as the probes of a launch, are not counted.
        """
        name, server = event["event"], event.get("server")
        if name == "backend" and event["engine"]:
            self._in_flight[server] = set()
        elif name == "ended":
            self._in_flight.pop(server, None)
        elif name in ("left", "joined"):
            self._set_absent(server, name == "left")
        elif name == "accepted" and "zone" in event:
            self._set_absent(event["zone"], event["change"] == "zone_out")
        elif server in self._in_flight and name == "started":
            self._in_flight[server].add(event["request_id"])
        elif server in self._in_flight and name in END_EVENTS:
            self._in_flight[server].discard(event["request_id"])
        else:
            return False
        loads = {
            server: len(ids)
            for server, ids in self._in_flight.items()
            if not self._absent & {server, self._events.backends[server]["zone"]}
        }
        self._recent_loads.append((event["time"], loads))
        # Keeps the last entry before the window: it holds the loads at its start.
        limit = event["time"] - self._window_s
        while len(self._recent_loads) > 1 and self._recent_loads[1][0] <= limit:
            self._recent_loads.popleft()
        return name == "started"

    def _set_absent(self, name: str, absent: bool) -> None:
        (self._absent.add if absent else self._absent.discard)(name)

    def in_flight(self, server: str) -> int:
        """Returns the number of requests in flight at a server."""
        return len(self._in_flight.get(server, ()))

    def highest_mean(self, server: str, pool: set[str]) -> float:
        """Returns the highest mean load of the pool that the server may assume now.

        The mean is that of the server's current load and any loads that the other
        servers had within the window.
        """
        own = self.in_flight(server)
        means = [own / 1.0] if not pool - {server} else []
        for _, loads in self._recent_loads:
            members = pool & loads.keys() | {server}
            others = sum(loads[name] for name in members if name != server)
            means.append((others + own) / len(members))
        return max(means)

    def highest_total(self, server: str, pool: set[str]) -> int:
        """Returns the highest total load of the pool that the server may assume now."""
        own = self.in_flight(server)
        return own + max(
            sum(loads.get(name, 0) for name in pool if name != server)
            for _, loads in self._recent_loads
        )


def _pool_members(events: Events, server: str, any_version: bool = False) -> set[str]:
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


def check_load_bound(events: Events, bounds: Bounds) -> list[Violation]:
    """P1: no engine starts a request beyond the bound on its pool's mean load."""
    loads, violations = EngineLoads(events, bounds.max_load_report_age_s), []
    for event in _engine_events(events):
        if not loads.apply(event):
            continue
        server = event["server"]
        mean = loads.highest_mean(server, _pool_members(events, server))
        bound = math.floor(bounds.load_bound * mean) + bounds.load_bound_extra
        if loads.in_flight(server) > bound:
            text = f"{server} has {loads.in_flight(server)} requests, mean {mean:.2f}"
            violations.append(Violation("P1", event["time"], f"{text}, bound {bound}"))
    return violations


def check_cold_start(events: Events, bounds: Bounds) -> list[Violation]:
    """P2: a cold server runs no more requests than its limit.

    The limit grows with its complete responses since it became cold.
    """
    loads, violations = EngineLoads(events, 0.0), []
    # By server: time from which the limit applies, and complete responses since the
    # server became cold.
    cold: dict[str, tuple[float, int]] = {}
    for event in events.named("cold", "backend", "ended", "started", *END_EVENTS):
        server, time = event.get("server"), event["time"]
        loads.apply(event)
        if event["event"] == "cold":
            detection_s = 0.0 if event.get("announced") else bounds.cold_detection_s
            cold[server] = (time + detection_s, 0)
        elif server in cold and event["event"] == "finished":
            cold[server] = (cold[server][0], cold[server][1] + 1)
        elif server in cold and event["event"] == "started":
            limit_from, responses = cold[server]
            growth = bounds.cold_growth ** (responses // bounds.cold_growth_responses)
            limit = bounds.cold_limit * growth
            if time >= limit_from and loads.in_flight(server) > limit:
                text = (
                    f"{server} has {loads.in_flight(server)} requests after {responses}"
                )
                violations.append(
                    Violation(
                        "P2", time, f"{text} responses since cold, limit {limit:g}"
                    )
                )
    return violations


def check_bad_versions(events: Events, bounds: Bounds) -> list[Violation]:
    """P4: an unproven version gets a small share, and a bad one soon no new work."""
    violations = []
    for command in events.named("accepted"):
        if command.get("change") == "version_start":
            violations += _check_unproven_share(events, bounds, command)
            violations += _check_work_after_failures(events, bounds, command)
    return violations


def _check_unproven_share(
    events: Events, bounds: Bounds, command: Event
) -> list[Violation]:
    """Checks the load of a new version until its move exceeds the unproven share."""
    proven_at = [
        event["time"]
        for event in events.named("move")
        if event["move"] == command["move"]
        and event.get("share", 0) > bounds.unproven_share
    ]
    until = min(proven_at, default=math.inf)
    loads, violations = EngineLoads(events, bounds.max_load_report_age_s), []
    for event in _engine_events(events):
        started = loads.apply(event)
        if not started or not command["sent"] <= event["time"] < until:
            continue
        backend = events.backend_of(event)
        if (backend["service"], backend["version"]) != _version(command):
            continue
        server = event["server"]
        total = loads.highest_total(
            server, _pool_members(events, server, any_version=True)
        )
        bound = max(1, math.floor(bounds.unproven_share * total))
        if loads.in_flight(server) > bound:
            text = (
                f"unproven {server} has {loads.in_flight(server)} of {total} requests"
            )
            violations.append(Violation("P4", event["time"], f"{text}, bound {bound}"))
    return violations


def _check_work_after_failures(
    events: Events, bounds: Bounds, command: Event
) -> list[Violation]:
    """Checks that a bad version soon gets no new work.

    The time counts from enough failed responses or from the first sample in which its
    move is taken back, whichever is earlier.
    """
    version_events = [
        event
        for event in events.named("started", "failed")
        if event["time"] >= command["sent"]
        and _version(events.backend_of(event)) == _version(command)
    ]
    failed_at = [
        event["time"] for event in version_events if event["event"] == "failed"
    ]
    taken_back_at = [
        event["time"]
        for event in events.named("move")
        if event["move"] == command["move"] and event["state"] == "taken_back"
    ]
    known_at = failed_at[bounds.bad_version_failures - 1 :][:1] + taken_back_at[:1]
    if not known_at:
        return []
    limit = min(known_at) + bounds.bad_version_s
    return [
        Violation(
            "P4",
            event["time"],
            f"{event['server']} started a request although its version is bad",
        )
        for event in version_events
        if event["event"] == "started" and event["time"] > limit
    ]


def _version(event: Event) -> tuple[str, str]:
    return event["service"], event["version"]
