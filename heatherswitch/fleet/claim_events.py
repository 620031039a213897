"""Events and effects of the claim reducer."""

from dataclasses import dataclass

from heatherswitch.fleet.claim_records import AnswerHeaders, ClaimResult
from heatherswitch.fleet.records import PartitionHead
from heatherswitch.statecore.reducer import Effect, Event
from heatherswitch.statecore.replica import Entry


@dataclass(frozen=True, slots=True)
class ClaimRequested(Event):
    """A request wants to run; it is answered by one :class:`AnswerClaim`.

    :param waiter: number that the answer carries.
    """

    waiter: int
    workspace: str
    key: str
    fingerprint: str
    request_id: str


@dataclass(frozen=True, slots=True)
class ClaimFinished(Event):
    """A claimed request has an answer."""

    workspace: str
    key: str
    status: int
    headers: AnswerHeaders
    body: bytes


@dataclass(frozen=True, slots=True)
class ClaimAbandoned(Event):
    """A claimed request was provably not started and will not be."""

    workspace: str
    key: str


@dataclass(frozen=True, slots=True)
class AgentsChanged(Event):
    """The agents of the service that are live, by id."""

    agents: frozenset[str]


@dataclass(frozen=True, slots=True)
class LimitsChanged(Event):
    """Settings that apply to the journal.

    :param retention_s: seconds for which a claim is kept.
    :param start_limit_s: seconds after which a waiting claim is given up.
    """

    retention_s: float
    start_limit_s: float


@dataclass(frozen=True, slots=True)
class HeadSeen(Event):
    """The replicated configuration holds this partition head."""

    head: PartitionHead


@dataclass(frozen=True, slots=True)
class ReleaseRequested(Event):
    """The process is shutting down; answered by :class:`Released`."""


@dataclass(frozen=True, slots=True)
class Ticked(Event):
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class WriteApplied(Event):
    """The write took effect at ``revision``."""

    revision: int


@dataclass(frozen=True, slots=True)
class WriteRejected(Event):
    """A comparison of the write failed."""


@dataclass(frozen=True, slots=True)
class WriteInDoubt(Event):
    """The write may have taken effect, or may still do so."""


@dataclass(frozen=True, slots=True)
class WriteNotSent(Event):
    """The write certainly did not take effect."""


@dataclass(frozen=True, slots=True)
class StateRead(Event):
    """Answer to :class:`ReadState`.

    :param head: None when the store holds none.
    :param segment: None when the store holds none, or when it was not asked for.
    """

    head: PartitionHead | None
    segment: Entry | None


@dataclass(frozen=True, slots=True)
class JournalRead(Event):
    """Answer to :class:`ReadJournal`: all segments at one revision."""

    revision: int
    segments: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class ReadFailed(Event):
    """The store gave no answer to a read."""


@dataclass(frozen=True, slots=True)
class CommitWrite(Effect):
    """Writes to the store in one transaction."""

    compares: dict[str, int]
    puts: dict[str, bytes]
    deletes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ReadState(Effect):
    """Reads the head first and then, if its key is given, the segment.

    The order matters: after a head that has changed no append can follow, so the
    segment is then in its final state.
    """

    head_key: str
    segment_key: str = ""


@dataclass(frozen=True, slots=True)
class ReadJournal(Effect):
    """Reads all segments of the partition."""

    prefix: str


@dataclass(frozen=True, slots=True)
class AnswerClaim(Effect):
    """Answers a :class:`ClaimRequested`."""

    waiter: int
    result: ClaimResult


@dataclass(frozen=True, slots=True)
class Released(Effect):
    """The partition is handed over, or was not owned."""
