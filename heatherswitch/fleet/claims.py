"""Reducer for the claim journal of one partition: its ownership and its claims.

A non-idempotent request starts only after its claim is known to be in the journal.
Every append compares the partition head, which a takeover rewrites, so a former owner
cannot append. One write is in flight at a time, and claims that arrive meanwhile share
the next one. Calls to the store are handled in ``claim_ownership``.
"""

import logging
from collections.abc import Callable

from heatherswitch.fleet.claim_events import (
    AgentsChanged,
    AnswerClaim,
    ClaimAbandoned,
    ClaimFinished,
    ClaimRequested,
    HeadReplicated,
    JournalRead,
    LimitsChanged,
    ReadFailed,
    Released,
    ReleaseRequested,
    StateRead,
    Ticked,
    WriteApplied,
    WriteNotSent,
    WriteOutcomeUnknown,
    WriteRejected,
)
from heatherswitch.fleet.claim_ownership import PartitionOwner
from heatherswitch.fleet.claim_records import (
    AbandonRecord,
    AlreadyRunning,
    Claimed,
    ClaimOutcomeUnknown,
    ClaimRecord,
    ClaimResult,
    JournalUnavailable,
    KeyReused,
    NotOwner,
    Replay,
    body_fingerprint,
    done_record,
    key_digest,
)
from heatherswitch.fleet.claim_table import Claim, ClaimState, OwnershipPhase
from heatherswitch.fleet.records import PartitionHead
from heatherswitch.statecore.reducer import Effect, Event, Log

__all__ = [
    "AlreadyRunning",
    "ClaimOutcomeUnknown",
    "ClaimReducer",
    "ClaimResult",
    "Claimed",
    "JournalUnavailable",
    "KeyReused",
    "NotOwner",
    "OwnershipPhase",
    "Replay",
    "body_fingerprint",
    "key_digest",
]

# Time for which an outcome is held back to share a write with a claim, in seconds. If
# the owner dies within this time, a repeat of the request gets "outcome unknown".
OUTCOME_FLUSH_DELAY_S = 0.1
# Shortest interval between the starts of two appends of one partition, in seconds.
# Without it, group commit writes as fast as the store responds. At 40 appends/s, the 8
# partitions of a saturated service use at most 320 of the store's several hundred
# writes/s.
MIN_APPEND_INTERVAL_S = 0.025


class ClaimReducer(PartitionOwner):
    """Decides on the claims of one partition; see the module's description.

    :param start_limit_s: seconds after which a claim that is not recorded yet is
        refused.
    :param retention_s: seconds for which a claim is kept.
    :param min_append_interval_s: shortest interval between the starts of two appends,
        in seconds.
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
        min_append_interval_s: float = 0.0,
    ) -> None:
        super().__init__(
            PartitionHead(service, partition), agent_id, incarnation, retention_s
        )
        self._start_limit = start_limit_s
        self._min_append_interval = min_append_interval_s
        self._sequence = 0

    @property
    def phase(self) -> OwnershipPhase:
        """Phase of the ownership."""
        return self._phase

    @property
    def head(self) -> PartitionHead:
        """The newest known partition head."""
        return self._head

    @property
    def claims(self) -> int:
        """Number of claims held in memory."""
        return len(self._table)

    @property
    def next_append_at(self) -> float | None:
        """Time at which a queued claim may be appended, or None without one."""
        can_append = (
            self._phase is OwnershipPhase.OWNED
            and not self._call_in_flight
            and self._write is None
        )
        claims = any(isinstance(record, ClaimRecord) for record in self._queue)
        return self._next_append_at if can_append and claims else None

    @property
    def needs_tick(self) -> bool:
        """Whether the reducer needs :class:`Ticked` events."""
        pending_work = self._write or self._queue or self._deferred_requests
        return bool(pending_work) or self._phase not in (
            OwnershipPhase.IDLE,
            OwnershipPhase.OWNED,
        )

    def apply(self, event: Event) -> list[Effect]:
        """Updates the state for an event and returns the effects to carry out."""
        effects = _HANDLERS[type(event)](self, event)
        return effects + self._advance(event.now)

    def _may_append(self, now: float) -> bool:
        claims = any(isinstance(record, ClaimRecord) for record in self._queue)
        due = now >= self._retry_at and (
            self._stopping or now >= self._flush_outcomes_at
        )
        return (claims or due) and (self._stopping or now >= self._next_append_at)

    # Handlers of requests.

    def _on_claim(self, event: ClaimRequested) -> list[Effect]:
        claim = self._table.get(key_digest(event.workspace, event.key))
        if claim is not None and (
            self._phase is OwnershipPhase.OWNED or _started_by_this_process(claim)
        ):
            return self._answer_duplicate(claim, event)
        if self._stopping or self._agent_id not in self._agents:
            return [AnswerClaim(event.waiter, NotOwner(self._redirect_target()))]
        if self._phase is OwnershipPhase.OWNED:
            return self._new_claim(event)
        owner = self._head.owner
        if self._phase is OwnershipPhase.IDLE and self._is_other_live_agent(owner):
            return [AnswerClaim(event.waiter, NotOwner(owner))]
        self._deferred_requests.append(event)
        return self._start_takeover() if self._phase is OwnershipPhase.IDLE else []

    def _answer_duplicate(self, claim: Claim, event: ClaimRequested) -> list[Effect]:
        result = claim.result_for(event.fingerprint)
        if result is not None:
            return [AnswerClaim(event.waiter, result)]
        claim.waiters.append(event.waiter)
        return []

    def _new_claim(self, event: ClaimRequested) -> list[Effect]:
        if self._write and self._write.maybe_applied and event.now < self._retry_at:
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
            return [
                Log(
                    "ignored the outcome of a claim that is not running",
                    level=logging.WARNING,
                )
            ]
        claim.done = done_record(
            claim.record, event.now, event.status, event.headers, event.body
        )
        claim.state = ClaimState.DONE
        if self._phase is OwnershipPhase.OWNED:
            if not self._queue:
                self._flush_outcomes_at = event.now + OUTCOME_FLUSH_DELAY_S
            self._queue.append(claim.done)
        return []

    def _on_abandoned(self, event: ClaimAbandoned) -> list[Effect]:
        claim = self._table.get(key_digest(event.workspace, event.key))
        if claim is None or claim.state is not ClaimState.RUNNING:
            return [
                Log(
                    "ignored the abandonment of a claim that is not running",
                    level=logging.WARNING,
                )
            ]
        self._abandon(event.now, claim)
        return []

    def _abandon(self, now: float, claim: Claim) -> None:
        """Removes a claim that was not started, from the journal too if it is there."""
        self._table.remove(claim)
        if claim.record in self._queue:
            self._queue.remove(claim.record)
        elif self._phase is OwnershipPhase.OWNED:
            digest, claim_id = claim.record.digest, claim.record.claim_id
            self._queue.append(AbandonRecord(digest, claim_id, now))

    # Handlers of changes in the fleet and of the timer.

    def _on_agents(self, event: AgentsChanged) -> list[Effect]:
        self._agents = event.agents
        return []

    def _on_limits(self, event: LimitsChanged) -> list[Effect]:
        self._retention = event.retention_s
        self._start_limit = event.start_limit_s
        return []

    def _on_head(self, event: HeadReplicated) -> list[Effect]:
        if event.head.mod_revision <= self._head.mod_revision:
            return []
        # The response to the call in flight shows the same change, and is more recent.
        if self._call_in_flight or self._write:
            return []
        if self._phase is OwnershipPhase.IDLE:
            self._head = event.head
            return []
        return (
            self._on_ownership_lost(event.head) if not self._is_own(event.head) else []
        )

    def _on_release(self, event: ReleaseRequested) -> list[Effect]:
        self._stopping = True
        return [Released()] if self._phase is OwnershipPhase.IDLE else []

    def _on_tick(self, event: Ticked) -> list[Effect]:
        self._table.expire(event.now - self._retention)
        effects: list[Effect] = []
        for request in [
            r for r in self._deferred_requests if self._timed_out(event.now, r.now)
        ]:
            self._deferred_requests.remove(request)
            effects.append(AnswerClaim(request.waiter, JournalUnavailable()))
        for claim in self._pending():
            if self._timed_out(event.now, claim.record.at):
                effects += claim.answer_all(JournalUnavailable())
                self._abandon(event.now, claim)
        return effects

    def _timed_out(self, now: float, since: float) -> bool:
        return now - since > self._start_limit


def _started_by_this_process(claim: Claim) -> bool:
    return claim.state in (ClaimState.RUNNING, ClaimState.DONE)


_HANDLERS: dict[type, Callable[[ClaimReducer, Event], list[Effect]]] = {
    ClaimRequested: ClaimReducer._on_claim,
    ClaimFinished: ClaimReducer._on_finished,
    ClaimAbandoned: ClaimReducer._on_abandoned,
    AgentsChanged: ClaimReducer._on_agents,
    LimitsChanged: ClaimReducer._on_limits,
    HeadReplicated: ClaimReducer._on_head,
    ReleaseRequested: ClaimReducer._on_release,
    Ticked: ClaimReducer._on_tick,
    WriteApplied: ClaimReducer._on_applied,
    WriteRejected: ClaimReducer._on_rejected,
    WriteOutcomeUnknown: ClaimReducer._on_outcome_unknown,
    WriteNotSent: ClaimReducer._on_not_sent,
    StateRead: ClaimReducer._on_state,
    JournalRead: ClaimReducer._on_journal,
    ReadFailed: ClaimReducer._on_read_failed,
}
