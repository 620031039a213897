"""Events and effects of the claim reducer.

See :mod:`heatherswitch.fleet.claims` for what the reducer does with them.
"""

from dataclasses import dataclass

from heatherswitch.fleet.claim_records import ClaimResult, ResponseHeaders
from heatherswitch.fleet.records import PartitionHead
from heatherswitch.statecore.reducer import Effect, Event
from heatherswitch.statecore.replica import Entry


@dataclass(frozen=True, slots=True)
class ClaimRequested(Event):
    """A request asks for a claim; exactly one :class:`AnswerClaim` follows.

    :param waiter: number that the :class:`AnswerClaim` repeats.
    :param key: idempotency key.
    :param fingerprint: digest of method, path and body.
    """

    waiter: int
    workspace: str
    key: str
    fingerprint: str
    request_id: str


@dataclass(frozen=True, slots=True)
class ClaimFinished(Event):
    """A claimed request has run and has this response."""

    workspace: str
    key: str
    status: int
    headers: ResponseHeaders
    body: bytes


@dataclass(frozen=True, slots=True)
class ClaimAbandoned(Event):
    """A claimed request was certainly not started, and never will be."""

    workspace: str
    key: str


@dataclass(frozen=True, slots=True)
class AgentsChanged(Event):
    """Ids of the live agents of the service."""

    agents: frozenset[str]


@dataclass(frozen=True, slots=True)
class LimitsChanged(Event):
    """Settings of the journal have changed.

    :param retention_s: seconds for which a claim is kept.
    :param start_limit_s: seconds after which a claim that is not recorded yet is
        refused.
    """

    retention_s: float
    start_limit_s: float


@dataclass(frozen=True, slots=True)
class HeadReplicated(Event):
    """A head of the partition arrived with the replicated configuration."""

    head: PartitionHead


@dataclass(frozen=True, slots=True)
class ReleaseRequested(Event):
    """The process is shutting down; one :class:`Released` follows."""


@dataclass(frozen=True, slots=True)
class Ticked(Event):
    """A timer fired; checks all time limits."""


@dataclass(frozen=True, slots=True)
class WriteApplied(Event):
    """The write took effect at the store revision ``revision``."""

    revision: int


@dataclass(frozen=True, slots=True)
class WriteRejected(Event):
    """The write had no effect, because one of its comparisons failed."""


@dataclass(frozen=True, slots=True)
class WriteOutcomeUnknown(Event):
    """The response to the write was lost: it may have taken effect or still do so."""


@dataclass(frozen=True, slots=True)
class WriteNotSent(Event):
    """The write was not sent, so it certainly had no effect."""


@dataclass(frozen=True, slots=True)
class StateRead(Event):
    """Response to :class:`ReadState`.

    :param head: stored partition head; None when the store holds none.
    :param segment: stored segment; None when the store holds none or its key was not
        given.
    """

    head: PartitionHead | None
    segment: Entry | None


@dataclass(frozen=True, slots=True)
class JournalRead(Event):
    """Response to :class:`ReadJournal`: all segments, read at one store revision."""

    revision: int
    segments: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class ReadFailed(Event):
    """A read failed or was not answered."""


@dataclass(frozen=True, slots=True)
class CommitWrite(Effect):
    """Writes to the store in one transaction.

    :param compares: key to the mod_revision that it must have; 0 for an absent key.
    :param puts: key to the value to store.
    :param deletes: keys to delete.
    """

    compares: dict[str, int]
    puts: dict[str, bytes]
    deletes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ReadState(Effect):
    """Reads the head first and then, if its key is given, the segment.

    The order matters: no append can follow a change of the head, so a segment that is
    read after a changed head is in its final state.
    """

    head_key: str
    segment_key: str = ""


@dataclass(frozen=True, slots=True)
class ReadJournal(Effect):
    """Reads all segments of the partition: the keys that start with ``prefix``."""

    prefix: str


@dataclass(frozen=True, slots=True)
class AnswerClaim(Effect):
    """Delivers the result of a :class:`ClaimRequested` to its waiter."""

    waiter: int
    result: ClaimResult


@dataclass(frozen=True, slots=True)
class Released(Effect):
    """This process does not own the partition, or has handed it over."""
