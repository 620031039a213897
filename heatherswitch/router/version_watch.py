"""Watches the versions of running moves at one router and cuts bad ones.

It counts the router's own answers, takes the totals of other routers from the
exchange, and stops sending work to a version as soon as the evidence suffices. The
move owner reads the same judgement and records the decision.
"""

import asyncio
import logging
import math
import random
import time
from collections.abc import Callable, Iterable, Mapping

from heatherswitch.exchange.node import FleetNode
from heatherswitch.fleet.evidence import EvidenceRecord, Judgement, MoveEvidence
from heatherswitch.fleet.members import Member, Role
from heatherswitch.fleet.records import Move, MoveKind, MoveState
from heatherswitch.fleet.rollout import Counts, SequentialTest, Verdict, VersionTest
from heatherswitch.fleet.thresholds import FixedSchedule, FixedThresholdTest
from heatherswitch.protocol import heatherswitch_pb2 as pb
from heatherswitch.protocol.convert import MAX_UINT32
from heatherswitch.router import events
from heatherswitch.router.attempt_watch import Answer, AttemptWatch
from heatherswitch.router.runner import RequestRunner
from heatherswitch.router.version_messages import (
    MAX_CUTS,
    MAX_EVIDENCE,
    MAX_OWN_EVIDENCE,
    Cut,
    cut_from_message,
    cut_to_message,
    record_from_message,
    record_to_message,
)
from heatherswitch.util.clock import Clock

log = logging.getLogger("heatherswitch.versions")

# Seconds between two looks at the evidence.
TICK_S = 0.25

# Tests by the name that ``--version-test`` takes; all but the first are baselines
# of measurements.
TESTS: Mapping[str, Callable[[float], VersionTest]] = {
    "sequential": SequentialTest,
    "threshold": lambda false_alarm_rate: FixedThresholdTest(),
    "fixed": lambda false_alarm_rate: FixedSchedule(),
}


class VersionWatch:
    """Evidence and cuts of all running version moves at one router.

    :param test: name in :data:`TESTS`.
    """

    __slots__ = (
        "_attempts",
        "_clock",
        "_cuts",
        "_evidence",
        "_incarnation",
        "_moves",
        "_node",
        "_random",
        "_router_id",
        "_runner",
        "_task",
        "_test",
    )

    def __init__(
        self,
        node: FleetNode,
        runner: RequestRunner,
        router_id: str,
        clock: Clock,
        test: str = "sequential",
    ) -> None:
        self._node = node
        self._runner = runner
        self._router_id = router_id
        self._clock = clock
        self._test = TESTS[test]
        self._incarnation = time.time_ns()
        self._random = random.Random()
        # Running version moves by service.
        self._moves: dict[str, Move] = {}
        self._evidence: dict[str, MoveEvidence] = {}
        self._cuts: dict[str, Cut] = {}
        self._attempts = AttemptWatch(clock.now, self._moves, self._count)
        self._task: asyncio.Task | None = None

    @property
    def addresses(self) -> Mapping[str, str]:
        """Empty; the watch has no listener."""
        return {}

    @property
    def judgements(self) -> Mapping[str, Judgement]:
        """What the evidence says, by the id of a running move."""
        found = {i: evidence.judgement for i, evidence in self._evidence.items()}
        for move_id, cut in self._cuts.items():
            known = found.get(move_id)
            if known is not None and known.verdict is not Verdict.BAD:
                found[move_id] = Judgement(Verdict.BAD, cut.reason, known.seen)
        return found

    async def start(self) -> None:
        """Starts to count answers and to exchange totals."""
        self._runner.observe(self._attempts.ended)
        self._runner.observe_progress(self._attempts.progress)
        self._node.exchange_versions(self)
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Ends the watch; running requests are not touched."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            try:
                self.tick()
            except Exception:
                log.exception("watch of versions failed")

    def tick(self) -> None:
        """Ends windows that are due and cuts versions that are bad."""
        now = self._clock.now()
        self._follow_moves(now)
        self._attempts.tick()
        for move in self._moves.values():
            evidence = self._evidence[move.id]
            evidence.advance(now, move.share)
            self._cut_if_bad(now, move)

    def _follow_moves(self, now: float) -> None:
        """Starts evidence of new moves; forgets moves that are decided."""
        found = self._node.config.moves
        versions = [move for move in found if move.kind is MoveKind.VERSION]
        running = {
            move.service: move
            for move in versions
            if move.effective_state(now) is MoveState.RUNNING
        }
        self._moves.clear()
        self._moves.update(running)
        ids = {move.id for move in running.values()}
        self._evidence = {i: e for i, e in self._evidence.items() if i in ids}
        for move in running.values():
            if move.id not in self._evidence:
                settings = self._node.config.settings(service=move.service)
                test = self._test(settings.get("move.false_alarm_rate"))
                self._evidence[move.id] = MoveEvidence(
                    move.id, self._router_id, self._incarnation, test
                )
        decided = {move.id for move in versions} - ids
        for move_id, cut in list(self._cuts.items()):
            if move_id in decided or now >= cut.until:
                del self._cuts[move_id]
                # Another move may start the same version again.
                self._post_cut(now, cut, until=now)

    def _cut_if_bad(self, now: float, move: Move) -> None:
        judgement = self._evidence[move.id].judgement
        if judgement.verdict is Verdict.BAD and move.id not in self._cuts:
            reason = f"{judgement.reason} (found by {self._router_id})"
            cut = Cut(move.id, move.service, move.to_version, move.deadline_at, reason)
            self._apply_cut(now, cut)

    def _apply_cut(self, now: float, cut: Cut) -> None:
        self._cuts[cut.move] = cut
        self._post_cut(now, cut, cut.until)
        # Other routers may have too little evidence of their own.
        self._node.exchange_soon()

    def _post_cut(self, now: float, cut: Cut, until: float) -> None:
        event = events.VersionCut(now, cut.service, cut.version, until, cut.reason)
        self._runner.post(event)

    def _count(self, answer: Answer) -> None:
        move = self._moves.get(answer.service)
        if move is None or move.id not in self._evidence:
            return
        evidence = self._evidence[move.id]
        counts: Counts = answer.counts
        evidence.count(self._clock.now(), answer.route, answer.starting, counts)

    def add_to(self, request: pb.ExchangeRequest | pb.ExchangeReply) -> None:
        """Adds the totals that changed a short time ago, and the cuts."""
        now = self._clock.now()
        own: list[EvidenceRecord] = []
        others: list[EvidenceRecord] = []
        for evidence in self._evidence.values():
            for record in evidence.recent_records(now):
                (own if record.router == self._router_id else others).append(record)
        records = self._some(own, MAX_OWN_EVIDENCE)
        records += self._some(others, MAX_EVIDENCE - MAX_OWN_EVIDENCE)
        request.evidence.extend(map(record_to_message, records))
        cuts = list(self._cuts.values())[:MAX_CUTS]
        request.cuts.extend(map(cut_to_message, cuts))

    def _some(self, records: list[EvidenceRecord], most: int) -> list[EvidenceRecord]:
        """Returns a random part, so that all spread when many routers report."""
        return self._random.sample(records, min(most, len(records)))

    def take(self, reply: pb.ExchangeReply | pb.ExchangeRequest) -> None:
        """Takes totals and cuts of another router."""
        if not reply.evidence and not reply.cuts:
            return
        now = self._clock.now()
        self._follow_moves(now)
        for record in map(record_from_message, reply.evidence[:MAX_EVIDENCE]):
            evidence = self._evidence.get(record.move)
            if evidence is not None:
                evidence.merge(now, record)
        self._take_cuts(now, map(cut_from_message, reply.cuts[:MAX_CUTS]))
        for move in self._moves.values():
            self._cut_if_bad(now, move)

    def answer(
        self, sender: Member, request: pb.ExchangeRequest, reply: pb.ExchangeReply
    ) -> None:
        """Takes a router's totals and cuts, or tells an agent the service's load."""
        if sender.role is Role.ROUTER:
            self.take(request)
            self.add_to(reply)
            return
        move = self._moves.get(sender.service)
        if move is None or move.to_version != sender.version:
            return
        if not self._node.sums_pool_of(sender):
            # A part of the service's load would allow too few requests.
            return
        now, members = self._clock.now(), self._node.members
        heard = [
            m
            for m in members.agents(sender.service)
            if not members.is_suspect(now, m.id)
        ]
        # Waiting requests do not count: the share is one of the running requests.
        running = sum(member.load.running for member in heard)
        reply.pool_loads.add(
            service=sender.service, total=min(running, MAX_UINT32), agents=len(heard)
        )

    def _take_cuts(self, now: float, cuts: Iterable[Cut]) -> None:
        states = {m.id: m.effective_state(now) for m in self._node.config.moves}
        for cut in cuts:
            # A move that is not known here yet counts as running.
            state = states.get(cut.move, MoveState.RUNNING)
            valid = math.isfinite(cut.until) and cut.until > now
            if valid and state is MoveState.RUNNING and cut.move not in self._cuts:
                self._apply_cut(now, cut)
