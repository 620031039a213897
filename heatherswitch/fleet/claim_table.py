"""Claims and journal segments of one partition, as its owner holds them."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from heatherswitch.fleet.claim_events import AnswerClaim, CommitWrite
from heatherswitch.fleet.claim_records import (
    AbandonRecord,
    ClaimRecord,
    ClaimResult,
    ClaimUnknown,
    DoneRecord,
    KeyReused,
    Record,
    Replay,
    RunningHere,
    decode_segment,
    encode_record,
)
from heatherswitch.fleet.records import PartitionHead, RecordError
from heatherswitch.statecore.replica import Entry

# A segment is sealed before it grows beyond this, in bytes. Each append rewrites the
# active segment, so this bounds the bytes per write; the store takes up to 1 MB.
SEGMENT_BYTES = 64 * 1024


class Mode(Enum):
    """How far the ownership of the partition is."""

    IDLE = "idle"
    LOOKING = "looking"
    TAKING = "taking"
    LOADING = "loading"
    OWNED = "owned"
    RELEASING = "releasing"


class ClaimState(Enum):
    """How far a claim is."""

    PENDING = "pending"
    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"


class Claim:
    """One claim and those who wait for it to be recorded."""

    __slots__ = ("done", "record", "state", "waiters")

    def __init__(self, record: ClaimRecord, state: ClaimState) -> None:
        self.record = record
        self.state = state
        self.done: DoneRecord | None = None
        self.waiters: list[int] = []

    def result_for(self, fingerprint: str) -> ClaimResult | None:
        """Returns what a repeated request gets, or None while it must wait."""
        if fingerprint != self.record.fingerprint:
            return KeyReused()
        if self.state is ClaimState.RUNNING:
            return RunningHere(self.record.request_id)
        if self.state is ClaimState.UNKNOWN:
            return ClaimUnknown("owner_lost")
        if self.done is None:
            return None
        if self.done.body is None:
            return ClaimUnknown("answer_not_stored")
        return Replay(self.done.status, self.done.headers, self.done.body)

    def answer_all(self, result: ClaimResult) -> list[AnswerClaim]:
        """Answers those who wait for the claim."""
        waiters, self.waiters = self.waiters, []
        return [AnswerClaim(waiter, result) for waiter in waiters]


@dataclass(frozen=True, slots=True)
class SegmentWrite:
    """The next state of the active segment.

    :param number: segment that takes the records.
    :param seals: whether that segment is a new one.
    :param data: the whole segment with the records.
    :param expired: numbers of the segments to drop.
    """

    number: int
    seals: bool
    mod_revision: int
    data: bytes
    records: tuple[Record, ...]
    expired: tuple[int, ...]


class SegmentLog:
    """The segments of a partition: the active one whole, of the others their age."""

    __slots__ = ("_data", "_mod_revision", "_newest", "number")

    def __init__(self, number: int) -> None:
        self.number = number
        self._data = b""
        self._mod_revision = 0
        self._newest: dict[int, float] = {}

    def note_loaded(self, number: int, newest_at: float) -> None:
        """Remembers a segment of a former owner."""
        self._newest[number] = newest_at

    def plan(
        self, records: Iterable[Record], now: float, retention_s: float
    ) -> SegmentWrite:
        """Returns the write that appends as many records as fit, at least one."""
        lines = [(record, encode_record(record)) for record in records]
        seals = bool(self._data) and len(self._data) + len(lines[0][1]) > SEGMENT_BYTES
        data = b"" if seals else self._data
        taken = []
        for record, line in lines:
            if taken and len(data) + len(line) > SEGMENT_BYTES:
                break
            data += line
            taken.append(record)
        number = self.number + 1 if seals else self.number
        expired = tuple(
            old
            for old, at in self._newest.items()
            if old != number and old != self.number and at < now - retention_s
        )
        mod_revision = 0 if seals else self._mod_revision
        return SegmentWrite(number, seals, mod_revision, data, tuple(taken), expired)

    def apply(self, write: SegmentWrite, revision: int) -> None:
        """Takes a write that took effect at ``revision``."""
        self.number = write.number
        self._data = write.data
        self._mod_revision = revision
        self._newest[write.number] = max(record.at for record in write.records)
        for number in write.expired:
            del self._newest[number]


class Write:
    """The write in flight.

    :ivar doubtful: whether a copy of it may have taken effect or still may.
    :ivar rejected: whether a comparison of its last copy failed.
    :ivar repeated: whether it was sent again since the last pause.
    """

    __slots__ = ("commit", "doubtful", "head", "rejected", "repeated", "segment")

    def __init__(
        self, commit: CommitWrite, head: PartitionHead, segment: SegmentWrite | None
    ) -> None:
        self.commit = commit
        self.head = head
        self.segment = segment
        self.doubtful = False
        self.rejected = False
        self.repeated = False


class ClaimTable:
    """The claims of a partition by the digest of their key."""

    __slots__ = ("_claims",)

    def __init__(self) -> None:
        self._claims: dict[str, Claim] = {}

    def __len__(self) -> int:
        return len(self._claims)

    def __iter__(self):
        return iter(list(self._claims.values()))

    def get(self, digest: str) -> Claim | None:
        """Returns the claim of a key, or None."""
        return self._claims.get(digest)

    def add(self, record: ClaimRecord) -> Claim:
        """Adds a claim that is not recorded yet."""
        claim = Claim(record, ClaimState.PENDING)
        self._claims[record.digest] = claim
        return claim

    def remove(self, claim: Claim) -> None:
        """Removes a claim if it is the present one of its key."""
        if self._claims.get(claim.record.digest) is claim:
            del self._claims[claim.record.digest]

    def expire(self, before: float) -> None:
        """Removes finished and unknown claims that were made before a time."""
        expired = []
        # Claims are held in about the order of their time.
        for claim in self._claims.values():
            if claim.record.at >= before:
                break
            expired.append(claim)
        for claim in expired:
            if claim.state not in (ClaimState.PENDING, ClaimState.RUNNING):
                self.remove(claim)

    def own_claims(self, unrecorded: set[str]) -> "ClaimTable":
        """Returns the claims that a process keeps when it loses the partition: those
        it still runs, and those whose outcome is not recorded.

        :param unrecorded: ids of the claims whose outcome is not recorded.
        """
        table = ClaimTable()
        for claim in self:
            running = claim.state is ClaimState.RUNNING
            if running or claim.record.claim_id in unrecorded:
                table._claims[claim.record.digest] = claim
        return table

    def load(self, segments: Iterable[Entry], log: SegmentLog) -> list[Record]:
        """Takes the journal; claims that this process started stay as they are.

        :returns: outcomes that this process knows and the journal lacks.
        :raises RecordError: if a segment cannot be read.
        """
        loaded: dict[str, Claim] = {}
        for entry in sorted(segments, key=lambda e: e.key):
            newest = 0.0
            for record in decode_segment(entry.value or b""):
                newest = max(newest, record.at)
                _replay(loaded, record)
            log.note_loaded(_segment_number(entry.key), newest)
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
    if not number.isdigit():
        raise RecordError(f"{key}: not the key of a segment")
    return int(number)


def journal_prefix(head: PartitionHead) -> str:
    """Returns the prefix of the keys of a partition's segments."""
    return head.segment_key(0).rpartition("/")[0] + "/"


def same_owner(one: PartitionHead, other: PartitionHead) -> bool:
    """Whether two heads name the same owner at the same epoch."""
    return (one.owner, one.incarnation, one.epoch) == (
        other.owner,
        other.incarnation,
        other.epoch,
    )
