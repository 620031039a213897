"""Reducer of the move owner, which decides on zone moves and version moves.

The record of a move holds everything that another router needs to resume it. Evidence
about a version is kept by every router, see :mod:`heatherswitch.fleet.evidence`.
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

# Time before the deadline at which the owner decides, in seconds, so that the decision
# has reached all processes when the deadline passes.
DECISION_MARGIN_S = 4.0
# Time until all processes apply an operator's order, in seconds. Agents that report no
# requests earlier may still get new ones.
ORDER_PROPAGATION_S = 3.0
# Fraction of the pool's mean load from which a cold server counts as carrying its
# share.
MIN_LOAD_FRACTION = 0.8
# Shares of a version after it is proven at the unproven share. The last one leaves the
# old version enough requests to compare with.
PROVEN_STEPS = (0.25, 0.5, 0.9)
# Fraction of the unproven share at which a version starts.
INITIAL_FRACTION = 0.2
# Minimum time at one share, in seconds; a new share reaches all routers within 4 s.
MIN_STEP_S = 4.0


@dataclass(frozen=True, slots=True)
class ZoneAgent:
    """State of one live agent, as known to the move owner.

    :param responsive: False when the last contact with the agent is too long ago.
    :param work: number of running and queued requests.
    :param cold: whether its backend server is in a cold start.
    :param pool_mean: mean ``work`` of the agents of its service and version.
    """

    zone: str
    responsive: bool
    work: int
    cold: bool
    pool_mean: float


@dataclass(frozen=True, slots=True)
class MoveTick(Event):
    """A timer fired; ``now`` is in seconds since the epoch.

    :param moves: all move records.
    :param agents: live agents of all zones.
    :param unproven: service to the largest share of an unproven version.
    :param judgements: move id to the current result of the evidence.
    """

    moves: tuple[Move, ...]
    agents: tuple[ZoneAgent, ...] = ()
    unproven: Mapping[str, float] = field(default_factory=dict)
    judgements: Mapping[str, Judgement] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class WriteMove(Effect):
    """Writes a move record and settings in one transaction, fenced by the lease.

    :param settings: node path to the settings to change in that node.
    """

    move: Move
    settings: Mapping[str, Mapping[str, Any]] = field(default_factory=dict)


class MoveReducer:
    """Decides on the running moves.

    :param owner: id of the router that runs the reducer.
    """

    __slots__ = ("_owner", "_steps")

    def __init__(self, owner: str) -> None:
        self._owner = owner
        # Version move id to its share and the time at which that share was first seen.
        self._steps: dict[str, tuple[float, float]] = {}

    def apply(self, event: Event) -> list[Effect]:
        """Handles one event and returns the writes to carry out."""
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
                effect = self._decide_zone_out(event, move)
            elif move.kind is MoveKind.ZONE_BACK:
                effect = self._decide_zone_back(event, move)
            else:
                effect = self._decide_version(event, move)
            if effect is not None:
                effects.append(effect)
        return effects

    def _decide_zone_out(self, event: MoveTick, move: Move) -> Effect | None:
        agents = [agent for agent in event.agents if agent.zone == move.zone]
        work = sum(agent.work for agent in agents)
        unresponsive = sum(not agent.responsive for agent in agents)
        if event.now >= move.deadline_at - DECISION_MARGIN_S:
            reason = f"deadline: {work} requests running, {unresponsive} agents unheard"
            if not work and not unresponsive:
                reason = "no work left"
            return self._write_decision(event, move, MoveState.DONE, reason)
        if event.now < move.started_at + ORDER_PROPAGATION_S or work or unresponsive:
            return None
        return self._write_decision(event, move, MoveState.DONE, "no work left")

    def _decide_zone_back(self, event: MoveTick, move: Move) -> Effect | None:
        agents = [agent for agent in event.agents if agent.zone == move.zone]
        carrying = sum(agent.responsive and _carries_share(agent) for agent in agents)
        if event.now >= move.deadline_at - DECISION_MARGIN_S:
            reason = f"deadline: {carrying} of {len(agents)} agents carry their share"
            nodes = {format_path({"zone": move.zone}): {"zone_state": "out"}}
            return self._write_decision(
                event, move, MoveState.TAKEN_BACK, reason, nodes
            )
        if event.now < move.started_at + ORDER_PROPAGATION_S or not agents:
            return None
        if carrying < len(agents):
            return None
        reason = f"{carrying} agents are warm or carry their share"
        return self._write_decision(event, move, MoveState.DONE, reason)

    def _decide_version(self, event: MoveTick, move: Move) -> Effect | None:
        share, since = self._steps.get(move.id, (None, event.now))
        if share != move.share:
            since = event.now
            self._steps[move.id] = (move.share, since)
        judgement = event.judgements.get(move.id, Judgement())
        if judgement.verdict is Verdict.BAD:
            reason = f"evidence: {judgement.reason}; {_format_counts(judgement)}"
            return self._take_back(event, move, reason)
        if event.now >= move.deadline_at - DECISION_MARGIN_S:
            reason = f"deadline: not proven at a share of {move.share:g}"
            return self._take_back(
                event, move, f"{reason}; {_format_counts(judgement)}"
            )
        unproven = event.unproven.get(move.service, 0.0)
        if move.share <= 0.0:
            return WriteMove(
                self._with_share(move, INITIAL_FRACTION * unproven, unproven)
            )
        # The initial share reveals severe faults; only the whole unproven share is
        # large enough for a proof in time.
        proven = judgement.verdict is Verdict.PROVEN or move.share < unproven
        if not proven or event.now < since + MIN_STEP_S:
            return None
        following = _next_share(move.share, unproven)
        if following is not None:
            return WriteMove(self._with_share(move, following, unproven))
        return self._finish_version(event, move, _format_counts(judgement))

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
        return self._write_decision(
            event, move, MoveState.DONE, f"evidence: {text}", nodes
        )

    def _take_back(self, event: MoveTick, move: Move, reason: str) -> Effect:
        path = format_path({"service": move.service, "version": move.to_version})
        nodes = {path: {"version_state": "taken_back", "version_share": 0}}
        ended = replace(move, share=0.0)
        return self._write_decision(event, ended, MoveState.TAKEN_BACK, reason, nodes)

    def _write_decision(
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
    return not agent.cold or agent.work >= math.floor(
        MIN_LOAD_FRACTION * agent.pool_mean
    )


def _next_share(share: float, unproven: float) -> float | None:
    """Returns the next larger share, or None after the last step."""
    if share < unproven:
        return unproven
    return next((step for step in PROVEN_STEPS if step > share), None)


def _format_counts(judgement: Judgement) -> str:
    seen = judgement.seen
    return f"{seen.requests} requests, {seen.failures} failures, {seen.slow} slow"
