"""The claim journal of one partition: who owns it and which requests were claimed.

A non-idempotent request starts only after its claim is known to be in the journal.
Every append compares the partition head, which a takeover rewrites, so a former
owner cannot append. One write is in flight at a time and claims that arrive meanwhile
go into the next. ``claim_ownership`` deals with the store.
"""

import logging
from collections.abc import Callable

from heatherswitch.fleet.claim_events import (
    AgentsChanged,
    AnswerClaim,
    ClaimAbandoned,
    ClaimFinished,
    ClaimRequested,
    HeadSeen,
    JournalRead,
    LimitsChanged,
    ReadFailed,
    Released,
    ReleaseRequested,
    StateRead,
    Ticked,
    WriteApplied,
    WriteInDoubt,
    WriteNotSent,
    WriteRejected,
)
from heatherswitch.fleet.claim_ownership import PartitionOwner
from heatherswitch.fleet.claim_records import (
    AbandonRecord,
    Claimed,
    ClaimRecord,
    ClaimResult,
    ClaimUnknown,
    JournalUnavailable,
    KeyReused,
    NotOwner,
    Replay,
    RunningHere,
    body_fingerprint,
    done_record,
    key_digest,
)
from heatherswitch.fleet.claim_table import Claim, ClaimState, Mode
from heatherswitch.fleet.records import PartitionHead
from heatherswitch.statecore.reducer import Effect, Event, Log

__all__ = [
    "ClaimReducer",
    "ClaimResult",
    "ClaimUnknown",
    "Claimed",
    "JournalUnavailable",
    "KeyReused",
    "Mode",
    "NotOwner",
    "Replay",
    "RunningHere",
    "body_fingerprint",
    "key_digest",
]

# Outcomes wait this long for a claim to share a write with, in seconds. If the owner
# dies within this time, a repeat of the request gets "outcome unknown".
OUTCOME_DELAY_S = 0.1
# Shortest time between two appends of one partition, in seconds. Without it group
# commit writes as fast as the store answers. At 40 appends/s the 8 partitions of a
# saturated service take at most 320 of the store's several hundred writes/s.
APPEND_GAP_S = 0.025


class ClaimReducer(PartitionOwner):
    """Decides on the claims of one partition; see the module's description.

    :param start_limit_s: seconds after which a waiting claim is given up.
    :param retention_s: seconds for which a claim is kept.
    :param append_gap_s: shortest time between the starts of two appends, in seconds.
    """

    __slots__ = ("_sequence", "_start_limit")

    def __init__(
        self,
        service: str,
        partition: int,
        agent_id: str,
        incarnation: int,
        start_limit_s: float = 2.0,
        retention_s: float = 86400.0,
        append_gap_s: float = 0.0,
    ) -> None:
        super().__init__(
            PartitionHead(service, partition), agent_id, incarnation, retention_s
        )
        self._start_limit = start_limit_s
        self._append_gap = append_gap_s
        self._sequence = 0

    @property
    def mode(self) -> Mode:
        """How far the ownership is."""
        return self._mode

    @property
    def head(self) -> PartitionHead:
        """The newest head that is known."""
        return self._head

    @property
    def claims(self) -> int:
        """Number of claims held in memory."""
        return len(self._table)

    @property
    def append_at(self) -> float | None:
        """Time at which a waiting claim can be appended, or None without one."""
        free = self._mode is Mode.OWNED and not self._busy and self._write is None
        claims = any(isinstance(record, ClaimRecord) for record in self._queue)
        return self._append_at if free and claims else None

    @property
    def needs_tick(self) -> bool:
        """Whether something waits for time to pass."""
        waits = self._write or self._queue or self._parked
        return bool(waits) or self._mode not in (Mode.IDLE, Mode.OWNED)

    def apply(self, event: Event) -> list[Effect]:
        """Changes the state and returns what must be done."""
        effects = _HANDLERS[type(event)](self, event)
        return effects + self._advance(event.now)

    def _may_append(self, now: float) -> bool:
        claims = any(isinstance(record, ClaimRecord) for record in self._queue)
        due = now >= self._retry_at and (self._stopping or now >= self._flush_at)
        return (claims or due) and (self._stopping or now >= self._append_at)

    # Requests.

    def _on_claim(self, event: ClaimRequested) -> list[Effect]:
        claim = self._table.get(key_digest(event.workspace, event.key))
        if claim is not None and (self._mode is Mode.OWNED or _started_here(claim)):
            return self._repeat(claim, event)
        if self._stopping or self._agent_id not in self._agents:
            return [AnswerClaim(event.waiter, NotOwner(self._other_owner()))]
        if self._mode is Mode.OWNED:
            return self._new_claim(event)
        owner = self._head.owner
        if self._mode is Mode.IDLE and self._is_live_other(owner):
            return [AnswerClaim(event.waiter, NotOwner(owner))]
        self._parked.append(event)
        return self._look() if self._mode is Mode.IDLE else []

    def _repeat(self, claim: Claim, event: ClaimRequested) -> list[Effect]:
        result = claim.result_for(event.fingerprint)
        if result is not None:
            return [AnswerClaim(event.waiter, result)]
        claim.waiters.append(event.waiter)
        return []

    def _new_claim(self, event: ClaimRequested) -> list[Effect]:
        if self._write and self._write.doubtful and event.now < self._retry_at:
            return [AnswerClaim(event.waiter, JournalUnavailable())]
        self._sequence += 1
        record = ClaimRecord(
            key_digest(event.workspace, event.key),
            f"{self._agent_id}/{self._incarnation}/{self._sequence}",
            event.now,
            event.fingerprint,
            event.request_id,
        )
        self._table.add(record).waiters.append(event.waiter)
        self._queue.append(record)
        return []

    def _on_finished(self, event: ClaimFinished) -> list[Effect]:
        claim = self._table.get(key_digest(event.workspace, event.key))
        if claim is None or claim.state is not ClaimState.RUNNING:
            return [Log("outcome of an unknown claim ignored", level=logging.WARNING)]
        claim.done = done_record(
            claim.record, event.now, event.status, event.headers, event.body
        )
        claim.state = ClaimState.DONE
        if self._mode is Mode.OWNED:
            if not self._queue:
                self._flush_at = event.now + OUTCOME_DELAY_S
            self._queue.append(claim.done)
        return []

    def _on_abandoned(self, event: ClaimAbandoned) -> list[Effect]:
        claim = self._table.get(key_digest(event.workspace, event.key))
        if claim is None or claim.state is not ClaimState.RUNNING:
            return [Log("abandoned claim is unknown", level=logging.WARNING)]
        self._abandon(event.now, claim)
        return []

    def _abandon(self, now: float, claim: Claim) -> None:
        """Forgets a claim that was not started and records that."""
        self._table.remove(claim)
        if claim.record in self._queue:
            self._queue.remove(claim.record)
        elif self._mode is Mode.OWNED:
            digest, claim_id = claim.record.digest, claim.record.claim_id
            self._queue.append(AbandonRecord(digest, claim_id, now))

    # What the process knows of the fleet.

    def _on_agents(self, event: AgentsChanged) -> list[Effect]:
        self._agents = event.agents
        return []

    def _on_limits(self, event: LimitsChanged) -> list[Effect]:
        self._retention = event.retention_s
        self._start_limit = event.start_limit_s
        return []

    def _on_head(self, event: HeadSeen) -> list[Effect]:
        if event.head.mod_revision <= self._head.mod_revision:
            return []
        # An ongoing call to the store tells the same with more certainty.
        if self._busy or self._write:
            return []
        if self._mode is Mode.IDLE:
            self._head = event.head
            return []
        return self._lose(event.head) if not self._is_own(event.head) else []

    def _on_release(self, event: ReleaseRequested) -> list[Effect]:
        self._stopping = True
        return [Released()] if self._mode is Mode.IDLE else []

    def _on_tick(self, event: Ticked) -> list[Effect]:
        self._table.expire(event.now - self._retention)
        effects: list[Effect] = []
        for request in [r for r in self._parked if self._is_late(event.now, r.now)]:
            self._parked.remove(request)
            effects.append(AnswerClaim(request.waiter, JournalUnavailable()))
        for claim in self._pending():
            if self._is_late(event.now, claim.record.at):
                effects += claim.answer_all(JournalUnavailable())
                self._abandon(event.now, claim)
        return effects

    def _is_late(self, now: float, since: float) -> bool:
        return now - since > self._start_limit


def _started_here(claim: Claim) -> bool:
    return claim.state in (ClaimState.RUNNING, ClaimState.DONE)


_HANDLERS: dict[type, Callable[[ClaimReducer, Event], list[Effect]]] = {
    ClaimRequested: ClaimReducer._on_claim,
    ClaimFinished: ClaimReducer._on_finished,
    ClaimAbandoned: ClaimReducer._on_abandoned,
    AgentsChanged: ClaimReducer._on_agents,
    LimitsChanged: ClaimReducer._on_limits,
    HeadSeen: ClaimReducer._on_head,
    ReleaseRequested: ClaimReducer._on_release,
    Ticked: ClaimReducer._on_tick,
    WriteApplied: ClaimReducer._on_applied,
    WriteRejected: ClaimReducer._on_rejected,
    WriteInDoubt: ClaimReducer._on_in_doubt,
    WriteNotSent: ClaimReducer._on_not_sent,
    StateRead: ClaimReducer._on_state,
    JournalRead: ClaimReducer._on_journal,
    ReadFailed: ClaimReducer._on_read_failed,
}
