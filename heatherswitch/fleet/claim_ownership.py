"""How one process owns a claim partition: takeover, appends and handover.

This is the part of the claim reducer that deals with the store. At most one call to
the store is under way. When the answer to a write is lost, the store is read and the
same write is repeated until its outcome is known; both copies compare the same
mod_revisions, so at most one of them takes effect.
"""

import logging
from dataclasses import replace

from heatherswitch.fleet.claim_events import (
    AnswerClaim,
    ClaimRequested,
    CommitWrite,
    JournalRead,
    ReadFailed,
    ReadJournal,
    ReadState,
    Released,
    StateRead,
    WriteApplied,
    WriteInDoubt,
    WriteNotSent,
    WriteRejected,
)
from heatherswitch.fleet.claim_records import (
    Claimed,
    ClaimRecord,
    ClaimResult,
    DoneRecord,
    JournalUnavailable,
    NotOwner,
    Record,
    RunningHere,
)
from heatherswitch.fleet.claim_table import (
    Claim,
    ClaimState,
    ClaimTable,
    Mode,
    SegmentLog,
    SegmentWrite,
    Write,
    journal_prefix,
    same_owner,
)
from heatherswitch.fleet.partitions import preferred_owner
from heatherswitch.fleet.records import PartitionHead, RecordError
from heatherswitch.statecore.reducer import Effect, Log

# Pause before the store is asked again after a failure, in seconds.
RETRY_S = 0.5


class PartitionOwner:
    """State of the ownership and the handlers for the store's answers."""

    __slots__ = (
        "_agent_id",
        "_agents",
        "_append_at",
        "_append_gap",
        "_busy",
        "_flush_at",
        "_head",
        "_incarnation",
        "_mode",
        "_parked",
        "_queue",
        "_retention",
        "_retry_at",
        "_segments",
        "_stopping",
        "_table",
        "_write",
    )

    def __init__(
        self, head: PartitionHead, agent_id: str, incarnation: int, retention_s: float
    ) -> None:
        self._agent_id = agent_id
        self._incarnation = incarnation
        self._retention = retention_s
        self._head = head
        self._agents: frozenset[str] = frozenset()
        self._mode = Mode.IDLE
        self._stopping = False
        self._table = ClaimTable()
        self._segments = SegmentLog(0)
        self._queue: list[Record] = []
        self._parked: list[ClaimRequested] = []
        self._write: Write | None = None
        self._busy = False
        self._retry_at = 0.0
        # Outcomes wait until then for a claim to share a write with.
        self._flush_at = 0.0
        self._append_gap = 0.0
        self._append_at = 0.0

    def _on_claim(self, event: ClaimRequested) -> list[Effect]:
        """Handles a request; called again for those that waited for the journal."""
        raise NotImplementedError

    def _may_append(self, now: float) -> bool:
        """Whether the queue may be written now."""
        raise NotImplementedError

    def _advance(self, now: float) -> list[Effect]:
        if self._busy:
            return []
        if self._write is not None:
            return self._read_state() if now >= self._retry_at else []
        if self._mode is Mode.IDLE:
            return self._look() if self._should_take_over(now) else []
        if self._mode is Mode.LOOKING:
            return self._read_state() if now >= self._retry_at else []
        if self._mode is Mode.LOADING:
            return self._read_journal() if now >= self._retry_at else []
        if self._mode is Mode.OWNED and self._queue:
            return self._append(now) if self._may_append(now) else []
        if self._mode is Mode.OWNED and self._stopping:
            self._mode = Mode.RELEASING
            head = replace(self._head, owner="", incarnation=0)
            return self._send(head, None, {head.key: head.to_bytes()})
        return []

    def _should_take_over(self, now: float) -> bool:
        """Whether to take a partition over before a request asks for it."""
        if self._stopping or now < self._retry_at or not self._head.epoch:
            return False
        if self._is_live_other(self._head.owner) or self._is_own(self._head):
            return False
        head = self._head
        best = preferred_owner(head.service, head.partition, self._agents)
        return best == self._agent_id

    def _look(self) -> list[Effect]:
        self._mode = Mode.LOOKING
        return self._read_state()

    def _read_state(self) -> list[Effect]:
        self._busy = True
        segment = self._write.segment if self._write else None
        key = self._head.segment_key(segment.number) if segment else ""
        return [ReadState(self._head.key, key)]

    def _read_journal(self) -> list[Effect]:
        self._busy = True
        return [ReadJournal(journal_prefix(self._head))]

    def _append(self, now: float) -> list[Effect]:
        self._append_at = now + self._append_gap
        write = self._segments.plan(self._queue, now, self._retention)
        del self._queue[: len(write.records)]
        head = replace(self._head, segment=write.number)
        key = head.segment_key(write.number)
        puts = {key: write.data}
        if write.seals:
            puts[head.key] = head.to_bytes()
        deletes = tuple(head.segment_key(number) for number in write.expired)
        return self._send(head, write, puts, deletes, {key: write.mod_revision})

    def _send(
        self,
        head: PartitionHead,
        segment: SegmentWrite | None,
        puts: dict[str, bytes],
        deletes: tuple[str, ...] = (),
        compares: dict[str, int] | None = None,
    ) -> list[Effect]:
        fence = {self._head.key: self._head.mod_revision}
        commit = CommitWrite(fence | (compares or {}), puts, deletes)
        self._write = Write(commit, head, segment)
        self._busy = True
        return [commit]

    # Answers of the store to a write.

    def _on_applied(self, event: WriteApplied) -> list[Effect]:
        self._busy = False
        write, self._write = self._write, None
        if self._head.key in write.commit.puts:
            self._head = replace(write.head, mod_revision=event.revision)
        if self._mode is Mode.TAKING:
            self._mode = Mode.LOADING
            return [Log("partition taken over", _fields(self._head))]
        if self._mode is Mode.RELEASING:
            return self._released()
        self._segments.apply(write.segment, event.revision)
        effects: list[Effect] = []
        for record in write.segment.records:
            claim = self._table.get(record.digest)
            if claim is not None and claim.record is record:
                effects += self._start(claim)
        return effects

    def _start(self, claim: Claim) -> list[Effect]:
        """Lets the first waiter of a recorded claim start the work."""
        claim.state = ClaimState.RUNNING
        first, *others = claim.waiters
        claim.waiters = []
        running = RunningHere(claim.record.request_id)
        answers = [AnswerClaim(first, Claimed(self._head.epoch))]
        return answers + [AnswerClaim(waiter, running) for waiter in others]

    def _on_rejected(self, event: WriteRejected) -> list[Effect]:
        self._busy = False
        self._write.rejected = True
        # Either another process wrote the head, or an earlier copy of this write
        # has taken effect; the store tells which.
        return self._read_state()

    def _on_in_doubt(self, event: WriteInDoubt) -> list[Effect]:
        self._busy = False
        self._write.doubtful = True
        return self._read_state()

    def _on_not_sent(self, event: WriteNotSent) -> list[Effect]:
        self._busy = False
        self._retry_at = event.now + RETRY_S
        if self._write.doubtful:
            return []
        write, self._write = self._write, None
        if self._mode is Mode.TAKING:
            return self._give_up(JournalUnavailable())
        if self._mode is Mode.RELEASING:
            return self._released()
        return self._requeue(write.segment.records)

    def _requeue(self, records: tuple[Record, ...]) -> list[Effect]:
        """Refuses the claims that were not recorded and keeps the outcomes."""
        self._queue = [*records, *self._queue]
        effects = self._refuse_pending(JournalUnavailable())
        self._queue = [r for r in self._queue if not isinstance(r, ClaimRecord)]
        return effects

    def _pending(self) -> list[Claim]:
        """The claims that are not known to be recorded."""
        segment = self._write.segment if self._write else None
        records = [*(segment.records if segment else ()), *self._queue]
        claims = [self._table.get(record.digest) for record in records]
        return [
            claim
            for claim, record in zip(claims, records, strict=True)
            if claim is not None and claim.record is record
        ]

    def _refuse_pending(self, result: ClaimResult) -> list[Effect]:
        """Answers and forgets the claims that are not known to be recorded."""
        effects: list[Effect] = []
        for claim in self._pending():
            effects += claim.answer_all(result)
            self._table.remove(claim)
        return effects

    # Answers of the store to a read.

    def _on_state(self, event: StateRead) -> list[Effect]:
        self._busy = False
        head = event.head or replace(
            self._head, owner="", incarnation=0, epoch=0, segment=0, mod_revision=0
        )
        if head.mod_revision < self._head.mod_revision:
            return self._on_read_failed(ReadFailed(event.now))
        if self._mode is Mode.LOOKING:
            return self._take_over(head)
        if self._write is None:
            return []
        return self._resolve(event, head)

    def _resolve(self, event: StateRead, head: PartitionHead) -> list[Effect]:
        """Finds out whether the write in flight took effect."""
        write = self._write
        segment = write.segment
        if segment is None:
            applied = same_owner(head, write.head) and (
                head.mod_revision > self._head.mod_revision
            )
            revision = head.mod_revision
        else:
            stored = event.segment
            applied = stored is not None and stored.value == segment.data
            revision = stored.mod_revision if applied else 0
        effects = []
        if applied:
            effects = self._on_applied(WriteApplied(event.now, revision))
        elif head.mod_revision == self._head.mod_revision:
            return self._repeat_write(event.now)
        if self._mode in (Mode.OWNED, Mode.TAKING) and not self._is_own(head):
            return effects + self._lose(head)
        if self._mode is Mode.RELEASING:
            return effects + self._released()
        return effects

    def _repeat_write(self, now: float) -> list[Effect]:
        """Sends the write again, since no copy of it had taken effect when read."""
        write = self._write
        if write.rejected or write.repeated:
            # A rejection contradicts what was read, so the read was stale.
            write.rejected = write.repeated = False
            self._retry_at = now + RETRY_S
            return []
        write.repeated = True
        self._busy = True
        return [write.commit]

    def _take_over(self, head: PartitionHead) -> list[Effect]:
        self._head = head
        if self._is_live_other(head.owner) or self._stopping:
            return self._give_up(NotOwner(self._other_owner()))
        taken = replace(
            head,
            owner=self._agent_id,
            incarnation=self._incarnation,
            epoch=head.epoch + 1,
            # The former owner's segments stay as they are.
            segment=head.segment + 1,
        )
        self._mode = Mode.TAKING
        return self._send(taken, None, {head.key: taken.to_bytes()})

    def _on_journal(self, event: JournalRead) -> list[Effect]:
        self._busy = False
        if self._mode is not Mode.LOADING or event.revision < self._head.mod_revision:
            return self._on_read_failed(ReadFailed(event.now))
        segments = SegmentLog(self._head.segment)
        try:
            self._queue = self._table.load(event.segments, segments)
        except RecordError as error:
            self._retry_at = event.now + RETRY_S
            fields = _fields(self._head) | {"error": str(error)}
            return [Log("journal cannot be read", fields, logging.ERROR)]
        self._segments = segments
        self._table.expire(event.now - self._retention)
        self._mode = Mode.OWNED
        parked, self._parked = self._parked, []
        effects: list[Effect] = [Log("journal loaded", _fields(self._head))]
        for request in parked:
            effects += self._on_claim(replace(request, now=event.now))
        return effects

    def _on_read_failed(self, event: ReadFailed) -> list[Effect]:
        self._busy = False
        self._retry_at = event.now + RETRY_S
        if self._mode is Mode.LOOKING:
            return self._give_up(JournalUnavailable())
        return []

    # Ends of the ownership.

    def _give_up(self, result: ClaimResult) -> list[Effect]:
        self._mode = Mode.IDLE
        parked, self._parked = self._parked, []
        effects: list[Effect] = [AnswerClaim(r.waiter, result) for r in parked]
        return effects + ([Released()] if self._stopping else [])

    def _lose(self, head: PartitionHead) -> list[Effect]:
        """Stops claiming; what waits was not recorded, or will never be started."""
        segment = self._write.segment if self._write else None
        records = [*(segment.records if segment else ()), *self._queue]
        unrecorded = {r.claim_id for r in records if isinstance(r, DoneRecord)}
        self._head = head
        result = NotOwner(self._other_owner())
        effects: list[Effect] = [Log("partition lost", _fields(head), logging.WARNING)]
        effects += self._refuse_pending(result)
        self._table = self._table.own_claims(unrecorded)
        self._queue = []
        self._write = None
        return effects + self._give_up(result)

    def _released(self) -> list[Effect]:
        self._mode = Mode.IDLE
        self._write = None
        self._table = self._table.own_claims(set())
        return [Released()]

    def _other_owner(self) -> str:
        """The agent that a refused request should go to, or an empty string."""
        if self._is_live_other(self._head.owner):
            return self._head.owner
        others = self._agents - {self._agent_id}
        return preferred_owner(self._head.service, self._head.partition, others)

    def _is_live_other(self, owner: str) -> bool:
        return owner != self._agent_id and owner in self._agents

    def _is_own(self, head: PartitionHead) -> bool:
        mine = self._write.head if self._write else self._head
        return head.owner == self._agent_id and same_owner(head, mine)


def _fields(head: PartitionHead) -> dict[str, object]:
    return {
        "service": head.service,
        "partition": head.partition,
        "owner": head.owner,
        "epoch": head.epoch,
    }
