"""Decides zone moves and version moves: the reducer of the move owner.

A move's record holds all that another router needs to resume it. Evidence is kept
in memory only, so that a new owner collects it again before the next step.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Any, Protocol

from heatherswitch.fleet.records import Move, MoveKind, MoveState
from heatherswitch.fleet.settings import format_path
from heatherswitch.statecore.reducer import Effect, Event

# The owner decides this long before the deadline, in seconds, so that its decision
# is in force everywhere when the deadline passes.
DECIDE_BEFORE_S = 4.0
# An order is in force everywhere after 3 s; earlier reports of no work say little.
ORDER_SPREAD_S = 3.0
# Part of the pool's mean load from which a server carries its share.
SHARE_CARRIED = 0.8
# Shares of a version after it is proven, and the first part of the unproven share.
PROVEN_STEPS = (0.25, 0.5, 1.0)
FIRST_PART = 0.2
# Shortest time at one share, in seconds: a share reaches all routers in 4 s.
MIN_STEP_S = 4.0


class Verdict(Enum):
    """What the evidence says of a version."""

    CONTINUE = "continue"
    GOOD = "good"
    BAD = "bad"


@dataclass(frozen=True, slots=True)
class Evidence:
    """Sums over answers of one version.

    :param slow: answers slower than the old version's usual latency.
    """

    requests: int = 0
    failures: int = 0
    slow: int = 0

    def __add__(self, other: "Evidence") -> "Evidence":
        return Evidence(
            self.requests + other.requests,
            self.failures + other.failures,
            self.slow + other.slow,
        )


class VersionTest(Protocol):
    """Compares a new version with the old one."""

    def verdict(
        self, new: Mapping[str, Evidence], old: Mapping[str, Evidence]
    ) -> Verdict:
        """Judges evidence by route."""


@dataclass(frozen=True, slots=True)
class ZoneAgent:
    """What the owner knows of one live agent.

    :param heard: False when the agent has been unheard for too long.
    :param work: running and queued requests.
    :param pool_mean: mean work of the agents of its service and version.
    """

    zone: str
    heard: bool
    work: int
    cold: bool
    pool_mean: float


@dataclass(frozen=True, slots=True)
class MoveTick(Event):
    """Time has passed; ``now`` is in seconds since the epoch.

    :param unproven: service to the largest share of an unproven version.
    """

    moves: tuple[Move, ...]
    agents: tuple[ZoneAgent, ...] = ()
    unproven: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class EvidenceReported(Event):
    """A router reports evidence about one version and route since its last report."""

    service: str
    version: str
    route: str
    evidence: Evidence


@dataclass(frozen=True, slots=True)
class WriteMove(Effect):
    """Writes a move record and settings together, fenced by the owner's lease.

    :param settings: node path to the values that change in it.
    """

    move: Move
    settings: Mapping[str, Mapping[str, Any]] = field(default_factory=dict)


class _Progress:
    """Evidence of one version move at its present share."""

    __slots__ = ("new", "old", "share", "since")

    def __init__(self, now: float, share: float) -> None:
        self.since = now
        self.share = share
        self.new: dict[str, Evidence] = {}
        self.old: dict[str, Evidence] = {}


class MoveReducer:
    """Decides over the running moves."""

    __slots__ = ("_owner", "_progress", "_running", "_test")

    def __init__(self, owner: str, test: VersionTest) -> None:
        self._owner = owner
        self._test = test
        self._running: dict[str, Move] = {}
        self._progress: dict[str, _Progress] = {}

    def apply(self, event: Event) -> list[Effect]:
        """Takes one event and returns the writes that follow."""
        if isinstance(event, EvidenceReported):
            self._collect(event)
            return []
        if isinstance(event, MoveTick):
            return self._tick(event)
        return []

    def _collect(self, event: EvidenceReported) -> None:
        for move in self._running.values():
            progress = self._progress.get(move.id)
            if progress is None or move.service != event.service:
                continue
            if event.version == move.to_version:
                sums = progress.new
            elif event.version == move.from_version or not move.from_version:
                sums = progress.old
            else:
                continue
            sums[event.route] = sums.get(event.route, Evidence()) + event.evidence

    def _tick(self, event: MoveTick) -> list[Effect]:
        running = [m for m in event.moves if m.state is MoveState.RUNNING]
        self._running = {move.id: move for move in running}
        self._progress = {i: p for i, p in self._progress.items() if i in self._running}
        effects = []
        for move in running:
            if move.kind is MoveKind.ZONE_OUT:
                effect = self._zone_out(event, move)
            elif move.kind is MoveKind.ZONE_BACK:
                effect = self._zone_back(event, move)
            else:
                effect = self._version(event, move)
            if effect is not None:
                effects.append(effect)
        return effects

    def _zone_out(self, event: MoveTick, move: Move) -> Effect | None:
        agents = [agent for agent in event.agents if agent.zone == move.zone]
        work = sum(agent.work for agent in agents)
        unheard = sum(not agent.heard for agent in agents)
        if event.now >= move.deadline_at - DECIDE_BEFORE_S:
            reason = f"deadline: {work} requests running, {unheard} agents unheard"
            if not work and not unheard:
                reason = "no work left"
            return self._decide(event, move, MoveState.DONE, reason)
        if event.now < move.started_at + ORDER_SPREAD_S or work or unheard:
            return None
        return self._decide(event, move, MoveState.DONE, "no work left")

    def _zone_back(self, event: MoveTick, move: Move) -> Effect | None:
        agents = [agent for agent in event.agents if agent.zone == move.zone]
        back = sum(agent.heard and _carries_share(agent) for agent in agents)
        if event.now >= move.deadline_at - DECIDE_BEFORE_S:
            reason = f"deadline: {back} of {len(agents)} agents carry their share"
            nodes = {format_path({"zone": move.zone}): {"zone_state": "out"}}
            return self._decide(event, move, MoveState.TAKEN_BACK, reason, nodes)
        if event.now < move.started_at + ORDER_SPREAD_S or not agents:
            return None
        if back < len(agents):
            return None
        reason = f"{back} agents are warm or carry their share"
        return self._decide(event, move, MoveState.DONE, reason)

    def _version(self, event: MoveTick, move: Move) -> Effect | None:
        progress = self._progress.get(move.id)
        if progress is None or progress.share != move.share:
            former = progress
            progress = _Progress(event.now, move.share)
            if former is not None:
                # At a share of 1 the old version gives no evidence any more.
                progress.old = former.old
            self._progress[move.id] = progress
        if event.now >= move.deadline_at - DECIDE_BEFORE_S:
            reason = f"deadline: not proven at a share of {move.share:g}"
            return self._take_back(event, move, reason)
        verdict = self._test.verdict(progress.new, progress.old)
        if verdict is Verdict.BAD:
            return self._take_back(event, move, f"evidence: {_text(progress.new)}")
        unproven = event.unproven.get(move.service, 0.0)
        if move.share <= 0.0:
            return WriteMove(self._with_share(move, FIRST_PART * unproven, unproven))
        if verdict is not Verdict.GOOD or event.now < progress.since + MIN_STEP_S:
            return None
        if move.share < 1.0:
            share = _next_share(move.share, unproven)
            return WriteMove(self._with_share(move, share, unproven))
        return self._finish_version(event, move, _text(progress.new))

    def _with_share(self, move: Move, share: float, unproven: float) -> Move:
        if unproven <= 0.0:
            share = PROVEN_STEPS[0]
        return replace(move, share=share, owner=self._owner)

    def _finish_version(self, event: MoveTick, move: Move, text: str) -> Effect:
        new = format_path({"service": move.service, "version": move.to_version})
        nodes = {new: {"version_state": "active", "version_share": 0}}
        if move.from_version:
            old = format_path({"service": move.service, "version": move.from_version})
            nodes[old] = {"version_state": "retired", "version_share": 0}
        return self._decide(event, move, MoveState.DONE, f"evidence: {text}", nodes)

    def _take_back(self, event: MoveTick, move: Move, reason: str) -> Effect:
        path = format_path({"service": move.service, "version": move.to_version})
        nodes = {path: {"version_state": "taken_back", "version_share": 0}}
        ended = replace(move, share=0.0)
        return self._decide(event, ended, MoveState.TAKEN_BACK, reason, nodes)

    def _decide(
        self,
        event: MoveTick,
        move: Move,
        state: MoveState,
        reason: str,
        nodes: Mapping[str, Mapping[str, Any]] | None = None,
    ) -> Effect:
        decided = replace(
            move, state=state, decided_at=event.now, reason=reason, owner=self._owner
        )
        return WriteMove(decided, nodes or {})


def _carries_share(agent: ZoneAgent) -> bool:
    return not agent.cold or agent.work >= math.floor(SHARE_CARRIED * agent.pool_mean)


def _next_share(share: float, unproven: float) -> float:
    """Returns the next larger share: up to the unproven share, then in steps."""
    if share < unproven:
        return unproven
    return next(step for step in PROVEN_STEPS if step > share)


def _text(evidence: Mapping[str, Evidence]) -> str:
    total = sum(evidence.values(), Evidence())
    return f"{total.requests} requests, {total.failures} failures, {total.slow} slow"
