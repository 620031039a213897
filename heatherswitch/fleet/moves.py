"""Decides zone moves and version moves: the reducer of the move owner.

A move's record holds all that another router needs to resume it. The evidence about
a version is kept by every router, see :mod:`heatherswitch.fleet.evidence`.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from heatherswitch.fleet.evidence import Judgement
from heatherswitch.fleet.records import Move, MoveKind, MoveState
from heatherswitch.fleet.rollout import Verdict
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
# The last one leaves the old version enough requests to compare with.
PROVEN_STEPS = (0.25, 0.5, 0.9)
FIRST_PART = 0.2
# Shortest time at one share, in seconds: a share reaches all routers in 4 s.
MIN_STEP_S = 4.0


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
    :param judgements: move id to what the evidence says.
    """

    moves: tuple[Move, ...]
    agents: tuple[ZoneAgent, ...] = ()
    unproven: Mapping[str, float] = field(default_factory=dict)
    judgements: Mapping[str, Judgement] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class WriteMove(Effect):
    """Writes a move record and settings together, fenced by the owner's lease.

    :param settings: node path to the values that change in it.
    """

    move: Move
    settings: Mapping[str, Mapping[str, Any]] = field(default_factory=dict)


class MoveReducer:
    """Decides over the running moves."""

    __slots__ = ("_owner", "_steps")

    def __init__(self, owner: str) -> None:
        self._owner = owner
        # Version move to its share and the time since when it was seen.
        self._steps: dict[str, tuple[float, float]] = {}

    def apply(self, event: Event) -> list[Effect]:
        """Takes one event and returns the writes that follow."""
        if isinstance(event, MoveTick):
            return self._tick(event)
        return []

    def _tick(self, event: MoveTick) -> list[Effect]:
        running = [m for m in event.moves if m.state is MoveState.RUNNING]
        ids = {move.id for move in running}
        self._steps = {i: step for i, step in self._steps.items() if i in ids}
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
        share, since = self._steps.get(move.id, (None, event.now))
        if share != move.share:
            since = event.now
            self._steps[move.id] = (move.share, since)
        judgement = event.judgements.get(move.id, Judgement())
        if judgement.verdict is Verdict.BAD:
            reason = f"evidence: {judgement.reason}; {_text(judgement)}"
            return self._take_back(event, move, reason)
        if event.now >= move.deadline_at - DECIDE_BEFORE_S:
            reason = f"deadline: not proven at a share of {move.share:g}"
            return self._take_back(event, move, f"{reason}; {_text(judgement)}")
        unproven = event.unproven.get(move.service, 0.0)
        if move.share <= 0.0:
            return WriteMove(self._with_share(move, FIRST_PART * unproven, unproven))
        # The first part shows gross faults; only the whole unproven share is large
        # enough for a proof in time.
        proven = judgement.verdict is Verdict.PROVEN or move.share < unproven
        if not proven or event.now < since + MIN_STEP_S:
            return None
        following = _next_share(move.share, unproven)
        if following is not None:
            return WriteMove(self._with_share(move, following, unproven))
        return self._finish_version(event, move, _text(judgement))

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


def _next_share(share: float, unproven: float) -> float | None:
    """Returns the next larger share, or None after the last one."""
    if share < unproven:
        return unproven
    return next((step for step in PROVEN_STEPS if step > share), None)


def _text(judgement: Judgement) -> str:
    seen = judgement.seen
    return f"{seen.requests} requests, {seen.failures} failures, {seen.slow} slow"
