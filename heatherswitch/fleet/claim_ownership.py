"""Ownership of a claim partition by one process: takeover, appends and handover.

This is the part of the claim reducer that talks to the store. At most one call to the
store is in flight. When the response to a write is lost, the store is read and the same
write is repeated until its outcome is known; all copies compare the same mod_revisions,
so at most one of them takes effect.
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
    WriteNotSent,
    WriteOutcomeUnknown,
    WriteRejected,
)
from heatherswitch.fleet.claim_records import (
    AlreadyRunning,
    Claimed,
    ClaimRecord,
    ClaimResult,
    DoneRecord,
    JournalUnavailable,
    NotOwner,
    Record,
)
from heatherswitch.fleet.claim_table import (
    Claim,
    ClaimState,
    ClaimTable,
    OwnershipPhase,
    PendingWrite,
    SegmentLog,
    SegmentWrite,
    journal_prefix,
    same_owner,
)
from heatherswitch.fleet.partitions import preferred_owner
from heatherswitch.fleet.records import PartitionHead, RecordError
from heatherswitch.statecore.reducer import Effect, Log

# Delay before the next call to the store after a failed one, in seconds.
RETRY_DELAY_S = 0.5


class PartitionOwner:
    """Base of the claim reducer: ownership state and handlers of the store's responses.

    :param head: last known partition head; one without owner at the start.
    :param incarnation: number of this process that differs between its starts.
    :param retention_s: seconds for which a claim is kept.
    """

    __slots__ = (
        "_agent_id",
        "_agents",
        "_call_in_flight",
        "_deferred_requests",
        "_flush_outcomes_at",
        "_head",
        "_incarnation",
        "_min_append_interval",
        "_next_append_at",
        "_phase",
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
        self._phase = OwnershipPhase.IDLE
        self._stopping = False
        self._table = ClaimTable()
        self._segments = SegmentLog(0)
        self._queue: list[Record] = []
        self._deferred_requests: list[ClaimRequested] = []
        self._write: PendingWrite | None = None
        self._call_in_flight = False
        self._retry_at = 0.0
        # Outcomes are held back until then, so that they share a write with a claim.
        self._flush_outcomes_at = 0.0
        self._min_append_interval = 0.0
        self._next_append_at = 0.0

    def _on_claim(self, event: ClaimRequested) -> list[Effect]:
        """Handles a request; called again for requests that waited for the journal."""
        raise NotImplementedError

    def _may_append(self, now: float) -> bool:
        """Returns whether queued records may be written now."""
        raise NotImplementedError

    def _advance(self, now: float) -> list[Effect]:
        if self._call_in_flight:
            return []
        if self._write is not None:
            return self._read_state() if now >= self._retry_at else []
        if self._phase is OwnershipPhase.IDLE:
            return self._start_takeover() if self._should_take_over(now) else []
        if self._phase is OwnershipPhase.READING_HEAD:
            return self._read_state() if now >= self._retry_at else []
        if self._phase is OwnershipPhase.LOADING:
            return self._read_journal() if now >= self._retry_at else []
        if self._phase is OwnershipPhase.OWNED and self._queue:
            return self._append(now) if self._may_append(now) else []
        if self._phase is OwnershipPhase.OWNED and self._stopping:
            self._phase = OwnershipPhase.RELEASING
            head = replace(self._head, owner="", incarnation=0)
            return self._start_write(head, None, {head.key: head.to_bytes()})
        return []

    def _should_take_over(self, now: float) -> bool:
        """Returns whether to take over a partition before a request asks for it.

        This is so if its owner is gone and this agent is the preferred one.
        """
        if self._stopping or now < self._retry_at or not self._head.epoch:
            return False
        if self._is_other_live_agent(self._head.owner) or self._is_own(self._head):
            return False
        head = self._head
        preferred = preferred_owner(head.service, head.partition, self._agents)
        return preferred == self._agent_id

    def _start_takeover(self) -> list[Effect]:
        self._phase = OwnershipPhase.READING_HEAD
        return self._read_state()

    def _read_state(self) -> list[Effect]:
        self._call_in_flight = True
        segment = self._write.segment if self._write else None
        key = self._head.segment_key(segment.number) if segment else ""
        return [ReadState(self._head.key, key)]

    def _read_journal(self) -> list[Effect]:
        self._call_in_flight = True
        return [ReadJournal(journal_prefix(self._head))]

    def _append(self, now: float) -> list[Effect]:
        self._next_append_at = now + self._min_append_interval
        write = self._segments.plan(self._queue, now, self._retention)
        del self._queue[: len(write.records)]
        head = replace(self._head, segment=write.number)
        key = head.segment_key(write.number)
        puts = {key: write.data}
        if write.starts_segment:
            puts[head.key] = head.to_bytes()
        deletes = tuple(head.segment_key(number) for number in write.expired)
        return self._start_write(head, write, puts, deletes, {key: write.mod_revision})

    def _start_write(
        self,
        head: PartitionHead,
        segment: SegmentWrite | None,
        puts: dict[str, bytes],
        deletes: tuple[str, ...] = (),
        compares: dict[str, int] | None = None,
    ) -> list[Effect]:
        fence = {self._head.key: self._head.mod_revision}
        commit = CommitWrite(fence | (compares or {}), puts, deletes)
        self._write = PendingWrite(commit, head, segment)
        self._call_in_flight = True
        return [commit]

    # Handlers of the store's responses to a write.

    def _on_applied(self, event: WriteApplied) -> list[Effect]:
        self._call_in_flight = False
        write, self._write = self._write, None
        if self._head.key in write.commit.puts:
            self._head = replace(write.head, mod_revision=event.revision)
        if self._phase is OwnershipPhase.TAKING_OVER:
            self._phase = OwnershipPhase.LOADING
            return [Log("partition taken over", _log_fields(self._head))]
        if self._phase is OwnershipPhase.RELEASING:
            return self._finish_release()
        self._segments.apply(write.segment, event.revision)
        effects: list[Effect] = []
        for record in write.segment.records:
            claim = self._table.get(record.digest)
            if claim is not None and claim.record is record:
                effects += self._grant_claim(claim)
        return effects

    def _grant_claim(self, claim: Claim) -> list[Effect]:
        """Lets the first waiter of a recorded claim start its request."""
        claim.state = ClaimState.RUNNING
        first, *others = claim.waiters
        claim.waiters = []
        running = AlreadyRunning(claim.record.request_id)
        answers = [AnswerClaim(first, Claimed(self._head.epoch))]
        return answers + [AnswerClaim(waiter, running) for waiter in others]

    def _on_rejected(self, event: WriteRejected) -> list[Effect]:
        self._call_in_flight = False
        self._write.rejected = True
        # Either another process wrote the head, or an earlier copy of this write took
        # effect. Reading the store tells which.
        return self._read_state()

    def _on_outcome_unknown(self, event: WriteOutcomeUnknown) -> list[Effect]:
        self._call_in_flight = False
        self._write.maybe_applied = True
        return self._read_state()

    def _on_not_sent(self, event: WriteNotSent) -> list[Effect]:
        self._call_in_flight = False
        self._retry_at = event.now + RETRY_DELAY_S
        if self._write.maybe_applied:
            return []
        write, self._write = self._write, None
        if self._phase is OwnershipPhase.TAKING_OVER:
            return self._end_ownership(JournalUnavailable())
        if self._phase is OwnershipPhase.RELEASING:
            return self._finish_release()
        return self._requeue(write.segment.records)

    def _requeue(self, records: tuple[Record, ...]) -> list[Effect]:
        """Refuses the claims that were not recorded and queues the outcomes again."""
        self._queue = [*records, *self._queue]
        effects = self._refuse_pending(JournalUnavailable())
        self._queue = [r for r in self._queue if not isinstance(r, ClaimRecord)]
        return effects

    def _pending(self) -> list[Claim]:
        """Returns the claims that are not known to be recorded."""
        segment = self._write.segment if self._write else None
        records = [*(segment.records if segment else ()), *self._queue]
        claims = [self._table.get(record.digest) for record in records]
        return [
            claim
            for claim, record in zip(claims, records, strict=True)
            if claim is not None and claim.record is record
        ]

    def _refuse_pending(self, result: ClaimResult) -> list[Effect]:
        """Answers and removes the claims that are not known to be recorded."""
        effects: list[Effect] = []
        for claim in self._pending():
            effects += claim.answer_all(result)
            self._table.remove(claim)
        return effects

    # Handlers of the store's responses to a read.

    def _on_state(self, event: StateRead) -> list[Effect]:
        self._call_in_flight = False
        head = event.head or replace(
            self._head, owner="", incarnation=0, epoch=0, segment=0, mod_revision=0
        )
        if head.mod_revision < self._head.mod_revision:
            return self._on_read_failed(ReadFailed(event.now))
        if self._phase is OwnershipPhase.READING_HEAD:
            return self._write_own_head(head)
        if self._write is None:
            return []
        return self._resolve(event, head)

    def _resolve(self, event: StateRead, head: PartitionHead) -> list[Effect]:
        """Determines from the stored state whether the write in flight took effect."""
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
        if self._phase in (
            OwnershipPhase.OWNED,
            OwnershipPhase.TAKING_OVER,
        ) and not self._is_own(head):
            return effects + self._on_ownership_lost(head)
        if self._phase is OwnershipPhase.RELEASING:
            return effects + self._finish_release()
        return effects

    def _repeat_write(self, now: float) -> list[Effect]:
        """Sends the write again, as the store held no effect of any copy of it."""
        write = self._write
        if write.rejected or write.repeated:
            # A rejection contradicts the state that was read, so the read was stale.
            write.rejected = write.repeated = False
            self._retry_at = now + RETRY_DELAY_S
            return []
        write.repeated = True
        self._call_in_flight = True
        return [write.commit]

    def _write_own_head(self, head: PartitionHead) -> list[Effect]:
        self._head = head
        if self._is_other_live_agent(head.owner) or self._stopping:
            return self._end_ownership(NotOwner(self._redirect_target()))
        claimed_head = replace(
            head,
            owner=self._agent_id,
            incarnation=self._incarnation,
            epoch=head.epoch + 1,
            # The former owner's segments are never written again.
            segment=head.segment + 1,
        )
        self._phase = OwnershipPhase.TAKING_OVER
        return self._start_write(
            claimed_head, None, {head.key: claimed_head.to_bytes()}
        )

    def _on_journal(self, event: JournalRead) -> list[Effect]:
        self._call_in_flight = False
        if (
            self._phase is not OwnershipPhase.LOADING
            or event.revision < self._head.mod_revision
        ):
            return self._on_read_failed(ReadFailed(event.now))
        segments = SegmentLog(self._head.segment)
        try:
            self._queue = self._table.load(event.segments, segments)
        except RecordError as error:
            self._retry_at = event.now + RETRY_DELAY_S
            fields = _log_fields(self._head) | {"error": str(error)}
            return [Log("journal cannot be read", fields, logging.ERROR)]
        self._segments = segments
        self._table.expire(event.now - self._retention)
        self._phase = OwnershipPhase.OWNED
        deferred, self._deferred_requests = self._deferred_requests, []
        effects: list[Effect] = [Log("journal loaded", _log_fields(self._head))]
        for request in deferred:
            effects += self._on_claim(replace(request, now=event.now))
        return effects

    def _on_read_failed(self, event: ReadFailed) -> list[Effect]:
        self._call_in_flight = False
        self._retry_at = event.now + RETRY_DELAY_S
        if self._phase is OwnershipPhase.READING_HEAD:
            return self._end_ownership(JournalUnavailable())
        return []

    # End of the ownership.

    def _end_ownership(self, result: ClaimResult) -> list[Effect]:
        self._phase = OwnershipPhase.IDLE
        deferred, self._deferred_requests = self._deferred_requests, []
        effects: list[Effect] = [AnswerClaim(r.waiter, result) for r in deferred]
        return effects + ([Released()] if self._stopping else [])

    def _on_ownership_lost(self, head: PartitionHead) -> list[Effect]:
        """Gives up a partition that another process has taken over.

        Waiting claims are refused: they were not recorded, or will never be started.
        """
        segment = self._write.segment if self._write else None
        records = [*(segment.records if segment else ()), *self._queue]
        unrecorded = {r.claim_id for r in records if isinstance(r, DoneRecord)}
        self._head = head
        result = NotOwner(self._redirect_target())
        effects: list[Effect] = [
            Log("partition lost", _log_fields(head), logging.WARNING)
        ]
        effects += self._refuse_pending(result)
        self._table = self._table.retained_claims(unrecorded)
        self._queue = []
        self._write = None
        return effects + self._end_ownership(result)

    def _finish_release(self) -> list[Effect]:
        self._phase = OwnershipPhase.IDLE
        self._write = None
        self._table = self._table.retained_claims(set())
        return [Released()]

    def _redirect_target(self) -> str:
        """Returns the agent to try instead of this one, or an empty string."""
        if self._is_other_live_agent(self._head.owner):
            return self._head.owner
        others = self._agents - {self._agent_id}
        return preferred_owner(self._head.service, self._head.partition, others)

    def _is_other_live_agent(self, owner: str) -> bool:
        return owner != self._agent_id and owner in self._agents

    def _is_own(self, head: PartitionHead) -> bool:
        own_head = self._write.head if self._write else self._head
        return head.owner == self._agent_id and same_owner(head, own_head)


def _log_fields(head: PartitionHead) -> dict[str, object]:
    return {
        "service": head.service,
        "partition": head.partition,
        "owner": head.owner,
        "epoch": head.epoch,
    }
