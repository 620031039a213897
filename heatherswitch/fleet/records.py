"""Records that the store holds beside the settings: moves and partition heads."""

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
    """A stored record cannot be read."""


def _check_types(record: Any) -> None:
    """Checks the fields of a record that was read from JSON.

    :raises TypeError: if a field holds a value of another type.
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
    """What a move changes."""

    ZONE_OUT = "zone_out"
    ZONE_BACK = "zone_back"
    VERSION = "version"


class MoveState(Enum):
    """How far a move is."""

    RUNNING = "running"
    DONE = "done"
    TAKEN_BACK = "taken_back"


@dataclass(frozen=True, slots=True)
class Move:
    """One move between versions or availability zones.

    :param service: service of a version move; empty for a zone.
    :param share: share of chats that the new version takes now, 0 to 1.
    :param started_at: seconds since the epoch.
    :param deadline_at: seconds since the epoch.
    :param decided_at: seconds since the epoch, or 0 while running.
    :param owner: router that wrote the record last.
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
        """Store key of the record."""
        return MOVES_PREFIX + self.id

    def effective_state(self, now: float) -> MoveState:
        """Returns the state, with the default for an undecided move past its deadline.

        A zone order has been in force since it was accepted, so an undecided one
        counts as done. An undecided version or zone return counts as taken back.
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
        """Reads the stored form.

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
    """Who owns a claim partition; rewriting it fences the former owner.

    :param owner: agent id, or empty when the partition was handed over.
    :param epoch: rises with each takeover; the fencing token.
    :param segment: number of the journal segment that takes new claims.
    :param mod_revision: store revision of the record; 0 before it was stored.
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
        """Store key of the record."""
        return f"{PARTITIONS_PREFIX}{self.service}/{self.partition}"

    def segment_key(self, segment: int) -> str:
        """Store key of one journal segment."""
        return f"{JOURNAL_PREFIX}{self.service}/{self.partition}/{segment:08d}"

    def to_bytes(self) -> bytes:
        """Returns the stored form, without the revision."""
        values = asdict(self)
        del values["mod_revision"]
        return json.dumps(values).encode()

    @classmethod
    def from_bytes(cls, value: bytes, mod_revision: int) -> "PartitionHead":
        """Reads the stored form.

        :raises RecordError: if the value is not a partition head.
        """
        try:
            head = cls(**json.loads(value), mod_revision=mod_revision)
            _check_types(head)
            return head
        except (ValueError, TypeError, RecursionError) as error:
            raise RecordError(f"not a partition head: {error}") from error
