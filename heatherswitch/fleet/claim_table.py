"""In-memory claims and journal segments of one partition, held by its owner."""

import re
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from heatherswitch.fleet.claim_events import AnswerClaim, CommitWrite
from heatherswitch.fleet.claim_records import (
    AbandonRecord,
    AlreadyRunning,
    ClaimOutcomeUnknown,
    ClaimRecord,
    ClaimResult,
    DoneRecord,
    KeyReused,
    Record,
    Replay,
    decode_segment,
    encode_record,
)
from heatherswitch.fleet.records import PartitionHead, RecordError
from heatherswitch.statecore.replica import Entry

# Largest size of a segment in bytes; a new one is started before it is exceeded. Each
# append rewrites the active segment, so this limits the bytes per write. The store
# accepts values of up to 1 MB.
MAX_SEGMENT_BYTES = 64 * 1024


class OwnershipPhase(Enum):
    """Phase of the ownership of a partition by this process.

    The phases follow one another: read the head, write a head that names this process,
    read the journal, append to it, and write a head without owner.
    """

    IDLE = "idle"
    READING_HEAD = "looking"
    TAKING_OVER = "taking"
    LOADING = "loading"
    OWNED = "owned"
    RELEASING = "releasing"


class ClaimState(Enum):
    """State of a claim.

    ``PENDING`` is not recorded yet; ``UNKNOWN`` was read from the journal, which holds
    no outcome for it.
    """

    PENDING = "pending"
    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"


class Claim:
    """One claim, and the numbers of the requests that wait for it to be recorded."""

    __slots__ = ("done", "record", "state", "waiters")

    def __init__(self, record: ClaimRecord, state: ClaimState) -> None:
        self.record = record
        self.state = state
        self.done: DoneRecord | None = None
        self.waiters: list[int] = []

    def result_for(self, fingerprint: str) -> ClaimResult | None:
        """Returns the result of a repeated request, or None while it must wait."""
        if fingerprint != self.record.fingerprint:
            return KeyReused()
        if self.state is ClaimState.RUNNING:
            return AlreadyRunning(self.record.request_id)
        if self.state is ClaimState.UNKNOWN:
            return ClaimOutcomeUnknown("owner_lost")
        if self.done is None:
            return None
        if self.done.body is None:
            return ClaimOutcomeUnknown("answer_not_stored")
        return Replay(self.done.status, self.done.headers, self.done.body)

    def answer_all(self, result: ClaimResult) -> list[AnswerClaim]:
        """Returns the effects that give all waiters the same result."""
        waiters, self.waiters = self.waiters, []
        return [AnswerClaim(waiter, result) for waiter in waiters]


@dataclass(frozen=True, slots=True)
class SegmentWrite:
    """One append: the new content of the active segment.

    :param number: number of the segment that holds the records.
    :param starts_segment: whether the append starts a new segment.
    :param mod_revision: expected mod_revision of the segment; 0 for a new one.
    :param data: whole content of the segment, with the new records.
    :param records: the new records.
    :param expired: numbers of the segments to delete.
    """

    number: int
    starts_segment: bool
    mod_revision: int
    data: bytes
    records: tuple[Record, ...]
    expired: tuple[int, ...]


class SegmentLog:
    """The segments of a partition.

    Holds the content of the active segment, and the time of the newest record of each.
    """

    __slots__ = ("_data", "_mod_revision", "_newest", "number")

    def __init__(self, number: int) -> None:
        self.number = number
        self._data = b""
        self._mod_revision = 0
        self._newest: dict[int, float] = {}

    def add_loaded(self, number: int, newest_at: float) -> None:
        """Adds a segment that was read from the store.

        :param newest_at: time of its newest record, in seconds since the epoch.
        """
        self._newest[number] = newest_at

    def plan(
        self, records: Iterable[Record], now: float, retention_s: float
    ) -> SegmentWrite:
        """Returns the write that appends as many records as fit, and at least one."""
        lines = [(record, encode_record(record)) for record in records]
        starts_segment = (
            bool(self._data) and len(self._data) + len(lines[0][1]) > MAX_SEGMENT_BYTES
        )
        data = b"" if starts_segment else self._data
        taken = []
        for record, line in lines:
            if taken and len(data) + len(line) > MAX_SEGMENT_BYTES:
                break
            data += line
            taken.append(record)
        number = self.number + 1 if starts_segment else self.number
        expired = tuple(
            old
            for old, at in self._newest.items()
            if old != number and old != self.number and at < now - retention_s
        )
        mod_revision = 0 if starts_segment else self._mod_revision
        return SegmentWrite(
            number, starts_segment, mod_revision, data, tuple(taken), expired
        )

    def apply(self, write: SegmentWrite, revision: int) -> None:
        """Updates the state after a write that took effect at ``revision``."""
        self.number = write.number
        self._data = write.data
        self._mod_revision = revision
        self._newest[write.number] = max(record.at for record in write.records)
        for number in write.expired:
            del self._newest[number]


class PendingWrite:
    """The write in flight.

    :ivar head: partition head after the write.
    :ivar segment: the append, or None when the write changes only the head.
    :ivar maybe_applied: whether a copy of it may have taken effect or may still do so.
    :ivar rejected: whether a comparison of its last copy failed.
    :ivar repeated: whether it was sent again since the last retry delay.
    """

    __slots__ = ("commit", "head", "maybe_applied", "rejected", "repeated", "segment")

    def __init__(
        self, commit: CommitWrite, head: PartitionHead, segment: SegmentWrite | None
    ) -> None:
        self.commit = commit
        self.head = head
        self.segment = segment
        self.maybe_applied = False
        self.rejected = False
        self.repeated = False


class ClaimTable:
    """The claims of a partition, by the digest of their key."""

    __slots__ = ("_claims",)

    def __init__(self) -> None:
        self._claims: dict[str, Claim] = {}

    def __len__(self) -> int:
        return len(self._claims)

    def __iter__(self):
        return iter(list(self._claims.values()))

    def get(self, digest: str) -> Claim | None:
        """Returns the claim for a key digest, or None."""
        return self._claims.get(digest)

    def add(self, record: ClaimRecord) -> Claim:
        """Adds a claim that is not recorded yet."""
        claim = Claim(record, ClaimState.PENDING)
        self._claims[record.digest] = claim
        return claim

    def remove(self, claim: Claim) -> None:
        """Removes a claim, unless its key has a newer one."""
        if self._claims.get(claim.record.digest) is claim:
            del self._claims[claim.record.digest]

    def expire(self, before: float) -> None:
        """Removes finished and unknown claims that are older than a time.

        :param before: seconds since the epoch.
        """
        expired = []
        # The dict is ordered by insertion, which is roughly the order of time.
        for claim in self._claims.values():
            if claim.record.at >= before:
                break
            expired.append(claim)
        for claim in expired:
            if claim.state not in (ClaimState.PENDING, ClaimState.RUNNING):
                self.remove(claim)

    def retained_claims(self, unrecorded: set[str]) -> "ClaimTable":
        """Returns the claims to keep when the process loses the partition.

        These are the claims that it still runs and those whose outcome is not recorded.

        :param unrecorded: ids of the claims whose outcome is not recorded.
        """
        table = ClaimTable()
        for claim in self:
            running = claim.state is ClaimState.RUNNING
            if running or claim.record.claim_id in unrecorded:
                table._claims[claim.record.digest] = claim
        return table

    def load(self, segments: Iterable[Entry], log: SegmentLog) -> list[Record]:
        """Replaces the claims by those of the journal.

        A claim that this process started keeps its in-memory state.

        :param log: gets the loaded segments.
        :returns: outcomes that this process knows and the journal lacks.
        :raises RecordError: if a segment cannot be decoded.
        """
        loaded: dict[str, Claim] = {}
        for entry in sorted(segments, key=lambda e: e.key):
            newest = 0.0
            for record in decode_segment(entry.value or b""):
                newest = max(newest, record.at)
                _replay(loaded, record)
            log.add_loaded(_segment_number(entry.key), newest)
        missing = []
        for digest, claim in self._claims.items():
            stored = loaded.get(digest)
            if stored is None or stored.record.claim_id != claim.record.claim_id:
                continue
            if claim.done is not None and stored.done is None:
                missing.append(claim.done)
            loaded[digest] = claim
        self._claims = loaded
        return missing


def _replay(claims: dict[str, Claim], record: Record) -> None:
    if isinstance(record, ClaimRecord):
        claims[record.digest] = Claim(record, ClaimState.UNKNOWN)
        return
    claim = claims.get(record.digest)
    if claim is None or claim.record.claim_id != record.claim_id:
        return
    if isinstance(record, AbandonRecord):
        del claims[record.digest]
    else:
        claim.done = record
        claim.state = ClaimState.DONE


def _segment_number(key: str) -> int:
    number = key.rpartition("/")[2]
    if not re.fullmatch(r"[0-9]{1,18}", number):
        raise RecordError(f"{key}: not a journal segment key")
    return int(number)


def journal_prefix(head: PartitionHead) -> str:
    """Returns the common prefix of the segment keys of a partition."""
    return head.segment_key(0).rpartition("/")[0] + "/"


def same_owner(one: PartitionHead, other: PartitionHead) -> bool:
    """Returns whether two heads have the same owner, incarnation and epoch."""
    return (one.owner, one.incarnation, one.epoch) == (
        other.owner,
        other.incarnation,
        other.epoch,
    )
