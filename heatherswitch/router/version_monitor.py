"""Monitors the versions of running moves on one router and blocks bad ones.

It counts the results of the router's own attempts and merges the totals that other
routers send in the exchange. Once the evidence shows that a version is bad, this router
sends it no more requests, without waiting for the move owner. The move owner reads the
same judgement and stores the decision.
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
from heatherswitch.router.attempt_recorder import AttemptCounts, AttemptRecorder
from heatherswitch.router.runner import RequestRunner
from heatherswitch.router.version_messages import (
    MAX_BLOCKS,
    MAX_EVIDENCE,
    MAX_OWN_EVIDENCE,
    VersionBlock,
    block_from_message,
    block_to_message,
    record_from_message,
    record_to_message,
)
from heatherswitch.util.clock import Clock

log = logging.getLogger("heatherswitch.versions")

# Interval at which the evidence is evaluated, in seconds.
TICK_S = 0.25

# Version tests by their ``--version-test`` name. All but the first are baselines that
# benchmarks compare it with.
VERSION_TESTS: Mapping[str, Callable[[float], VersionTest]] = {
    "sequential": SequentialTest,
    "threshold": lambda false_alarm_rate: FixedThresholdTest(),
    "fixed": lambda false_alarm_rate: FixedSchedule(),
}


class VersionMonitor:
    """Collects evidence on all running version moves and blocks bad versions.

    :param test: a key of :data:`VERSION_TESTS`.
    """

    __slots__ = (
        "_blocks",
        "_clock",
        "_evidence",
        "_incarnation",
        "_moves",
        "_node",
        "_random",
        "_recorder",
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
        self._test = VERSION_TESTS[test]
        self._incarnation = time.time_ns()
        self._random = random.Random()
        # Running version moves by service.
        self._moves: dict[str, Move] = {}
        self._evidence: dict[str, MoveEvidence] = {}
        self._blocks: dict[str, VersionBlock] = {}
        self._recorder = AttemptRecorder(clock.now, self._moves, self._count_attempt)
        self._task: asyncio.Task | None = None

    @property
    def addresses(self) -> Mapping[str, str]:
        """Empty, since the monitor has no listener."""
        return {}

    @property
    def judgements(self) -> Mapping[str, Judgement]:
        """Judgement of the evidence by id of the running move.

        The version of a blocked move is bad, even if the evidence here is not enough.
        """
        found = {i: evidence.judgement for i, evidence in self._evidence.items()}
        for move_id, block in self._blocks.items():
            known = found.get(move_id)
            if known is not None and known.verdict is not Verdict.BAD:
                found[move_id] = Judgement(Verdict.BAD, block.reason, known.seen)
        return found

    async def start(self) -> None:
        """Starts to count attempts and to exchange totals with other routers."""
        self._runner.add_result_observer(self._recorder.on_result)
        self._runner.add_progress_observer(self._recorder.on_progress)
        self._node.set_exchange_extension(self)
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stops the periodic evaluation; running requests are not affected."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            try:
                self.tick()
            except Exception:
                log.exception("evaluation of version evidence failed")

    def tick(self) -> None:
        """Closes evidence windows that are due and blocks bad versions."""
        now = self._clock.now()
        self._sync_moves(now)
        self._recorder.tick()
        for move in self._moves.values():
            evidence = self._evidence[move.id]
            evidence.advance(now, move.share)
            self._block_if_bad(now, move)

    def _sync_moves(self, now: float) -> None:
        """Adds evidence for new moves; drops evidence and blocks of decided ones."""
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
        for move_id, block in list(self._blocks.items()):
            if move_id in decided or now >= block.until:
                del self._blocks[move_id]
                # A later move may start the same version again, so the block must be
                # lifted.
                self._post_block(now, block, until=now)

    def _block_if_bad(self, now: float, move: Move) -> None:
        judgement = self._evidence[move.id].judgement
        if judgement.verdict is Verdict.BAD and move.id not in self._blocks:
            reason = f"{judgement.reason} (found by {self._router_id})"
            block = VersionBlock(
                move.id, move.service, move.to_version, move.deadline_at, reason
            )
            self._apply_block(now, block)

    def _apply_block(self, now: float, block: VersionBlock) -> None:
        self._blocks[block.move] = block
        self._post_block(now, block, block.until)
        # Other routers may not have enough evidence to block the version themselves.
        self._node.schedule_exchange()

    def _post_block(self, now: float, block: VersionBlock, until: float) -> None:
        event = events.VersionBlocked(
            now, block.service, block.version, until, block.reason
        )
        self._runner.post(event)

    def _count_attempt(self, answer: AttemptCounts) -> None:
        move = self._moves.get(answer.service)
        if move is None or move.id not in self._evidence:
            return
        evidence = self._evidence[move.id]
        counts: Counts = answer.counts
        evidence.count(self._clock.now(), answer.route, answer.starting, counts)

    def extend_message(self, request: pb.ExchangeRequest | pb.ExchangeReply) -> None:
        """Adds recently changed totals and the version blocks to a message."""
        now = self._clock.now()
        own: list[EvidenceRecord] = []
        others: list[EvidenceRecord] = []
        for evidence in self._evidence.values():
            for record in evidence.recent_records(now):
                (own if record.router == self._router_id else others).append(record)
        records = self._sample(own, MAX_OWN_EVIDENCE)
        records += self._sample(others, MAX_EVIDENCE - MAX_OWN_EVIDENCE)
        request.evidence.extend(map(record_to_message, records))
        blocks = list(self._blocks.values())[:MAX_BLOCKS]
        request.cuts.extend(map(block_to_message, blocks))

    def _sample(
        self, records: list[EvidenceRecord], limit: int
    ) -> list[EvidenceRecord]:
        """Returns at most ``limit`` records.

        They are chosen at random, so that over time each one is sent, even if there
        are more than fit into a message.
        """
        return self._random.sample(records, min(limit, len(records)))

    def process_message(self, reply: pb.ExchangeReply | pb.ExchangeRequest) -> None:
        """Merges the totals and version blocks of another router."""
        if not reply.evidence and not reply.cuts:
            return
        now = self._clock.now()
        self._sync_moves(now)
        for record in map(record_from_message, reply.evidence[:MAX_EVIDENCE]):
            evidence = self._evidence.get(record.move)
            if evidence is not None:
                evidence.merge(now, record)
        self._merge_blocks(now, map(block_from_message, reply.cuts[:MAX_BLOCKS]))
        for move in self._moves.values():
            self._block_if_bad(now, move)

    def handle_request(
        self, sender: Member, request: pb.ExchangeRequest, reply: pb.ExchangeReply
    ) -> None:
        """Fills in the reply to a message of another member.

        A router gets totals and version blocks in exchange for its own. An agent of a
        starting version gets the number of running requests of its whole service.
        """
        if sender.role is Role.ROUTER:
            self.process_message(request)
            self.extend_message(reply)
            return
        move = self._moves.get(sender.service)
        if move is None or move.to_version != sender.version:
            return
        if not self._node.is_pool_home(sender):
            # This router sees only some of the service's agents. Their load alone
            # would make the agent's allowed share too small.
            return
        now, members = self._clock.now(), self._node.members
        live_agents = [
            m
            for m in members.agents(sender.service)
            if not members.is_suspect(now, m.id)
        ]
        # Queued requests are left out, as the share is relative to running requests.
        running = sum(member.load.running for member in live_agents)
        reply.pool_loads.add(
            service=sender.service,
            total=min(running, MAX_UINT32),
            agents=len(live_agents),
        )

    def _merge_blocks(self, now: float, blocks: Iterable[VersionBlock]) -> None:
        states = {m.id: m.effective_state(now) for m in self._node.config.moves}
        for block in blocks:
            # The move may be unknown here because this router's configuration is
            # stale; then it is taken to be running.
            state = states.get(block.move, MoveState.RUNNING)
            valid = math.isfinite(block.until) and block.until > now
            if valid and state is MoveState.RUNNING and block.move not in self._blocks:
                self._apply_block(now, block)
