"""Records in the store other than settings: moves and partition heads."""

import json
import math
from dataclasses import asdict, dataclass, fields
from enum import Enum
from typing import Any

MOVES_PREFIX = "heatherswitch/config/moves/"
PARTITIONS_PREFIX = "heatherswitch/config/partitions/"
MOVE_OWNER_KEY = "heatherswitch/config/owners/moves"
JOURNAL_PREFIX = "heatherswitch/journal/"


class RecordError(Exception):
    """A stored record cannot be decoded."""


def _check_types(record: Any) -> None:
    """Checks the types of a record's fields, which were read from JSON.

    :raises TypeError: if a value has another type, or a number is not finite.
    """
    for field in fields(record):
        value = getattr(record, field.name)
        if field.type is float:
            number = isinstance(value, (int, float)) and not isinstance(value, bool)
            valid = number and math.isfinite(value)
        else:
            valid = type(value) is field.type
        if not valid:
            raise TypeError(f"{field.name} is {value!r}")


class MoveKind(Enum):
    """Kind of change that a move makes."""

    ZONE_OUT = "zone_out"
    ZONE_BACK = "zone_back"
    VERSION = "version"


class MoveState(Enum):
    """State of a move."""

    RUNNING = "running"
    DONE = "done"
    TAKEN_BACK = "taken_back"


@dataclass(frozen=True, slots=True)
class Move:
    """Record of one move of requests between versions or availability zones.

    :param started_at: seconds since the epoch.
    :param deadline_at: seconds since the epoch.
    :param service: service of a version move; empty for a zone move.
    :param zone: zone of a zone move; empty for a version move.
    :param share: current fraction of chats for the new version, 0 to 1.
    :param decided_at: seconds since the epoch, or 0 while running.
    :param reason: why the move ended; empty while running.
    :param owner: id of the router that last wrote the record.
    """

    id: str
    kind: MoveKind
    started_at: float
    deadline_at: float
    service: str = ""
    zone: str = ""
    from_version: str = ""
    to_version: str = ""
    state: MoveState = MoveState.RUNNING
    share: float = 0.0
    decided_at: float = 0.0
    reason: str = ""
    owner: str = ""

    @property
    def key(self) -> str:
        """Key of the record in the store."""
        return MOVES_PREFIX + self.id

    def effective_state(self, now: float) -> MoveState:
        """Returns the state, with a default for an undecided move past its deadline.

        Taking a zone out of use takes effect when it is ordered, so it counts as done.
        A version move and the return of a zone count as taken back.

        :param now: seconds since the epoch.
        """
        if self.state is not MoveState.RUNNING or now < self.deadline_at:
            return self.state
        if self.kind is MoveKind.ZONE_OUT:
            return MoveState.DONE
        return MoveState.TAKEN_BACK

    def to_bytes(self) -> bytes:
        """Returns the stored form."""
        values = asdict(self) | {"kind": self.kind.value, "state": self.state.value}
        return json.dumps(values).encode()

    @classmethod
    def from_bytes(cls, value: bytes) -> "Move":
        """Decodes the stored form.

        :raises RecordError: if the value is not a move.
        """
        try:
            values = json.loads(value)
            values["kind"] = MoveKind(values["kind"])
            values["state"] = MoveState(values["state"])
            move = cls(**values)
            _check_types(move)
            return move
        except (ValueError, KeyError, TypeError, RecursionError) as error:
            raise RecordError(f"not a move record: {error}") from error


@dataclass(frozen=True, slots=True)
class PartitionHead:
    """Ownership record of a claim partition; rewriting it fences the former owner.

    :param owner: id of the owning agent; empty after a handover.
    :param incarnation: incarnation of the owning agent.
    :param epoch: fencing token, which increases with each takeover.
    :param segment: number of the journal segment to which records are appended.
    :param mod_revision: store revision of the record; 0 before it is stored.
    """

    service: str
    partition: int
    owner: str = ""
    incarnation: int = 0
    epoch: int = 0
    segment: int = 0
    mod_revision: int = 0

    @property
    def key(self) -> str:
        """Key of the record in the store."""
        return f"{PARTITIONS_PREFIX}{self.service}/{self.partition}"

    def segment_key(self, segment: int) -> str:
        """Returns the store key of one journal segment."""
        return f"{JOURNAL_PREFIX}{self.service}/{self.partition}/{segment:08d}"

    def to_bytes(self) -> bytes:
        """Returns the stored form, without ``mod_revision``."""
        values = asdict(self)
        del values["mod_revision"]
        return json.dumps(values).encode()

    @classmethod
    def from_bytes(cls, value: bytes, mod_revision: int) -> "PartitionHead":
        """Decodes the stored form.

        :raises RecordError: if the value is not a partition head.
        """
        try:
            head = cls(**json.loads(value), mod_revision=mod_revision)
            _check_types(head)
            return head
        except (ValueError, TypeError, RecursionError) as error:
            raise RecordError(f"not a partition head: {error}") from error
