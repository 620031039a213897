"""How a request ends, as tagged dataclasses shared by router and agent."""

from dataclasses import dataclass
from enum import Enum


class Reason(Enum):
    """Why a request was refused before it was run.

    Values equal the names in ``RefusalReason`` of the protocol.
    """

    OVER_LOAD_BOUND = "OVER_LOAD_BOUND"
    COLD_START = "COLD_START"
    ZONE_OUT = "ZONE_OUT"
    LEAVING = "LEAVING"
    WRONG_INCARNATION = "WRONG_INCARNATION"
    NOT_OWNER = "NOT_OWNER"
    STORE_UNAVAILABLE = "STORE_UNAVAILABLE"
    QUEUE_FULL = "QUEUE_FULL"
    DEADLINE = "DEADLINE"
    VERSION_TAKEN_BACK = "VERSION_TAKEN_BACK"
    FAIR_SHARE = "FAIR_SHARE"
    BACKEND_DOWN = "BACKEND_DOWN"
    NOT_READY = "NOT_READY"
    KEY_REUSED = "KEY_REUSED"
    UNPROVEN_SHARE = "UNPROVEN_SHARE"
    PREFIX_ELSEWHERE = "PREFIX_ELSEWHERE"


class Retry(Enum):
    """Whether and how a caller may repeat the request."""

    SAME_KEY = "same_key"
    LATER = "later"
    NEVER = "never"


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request was not run; whoever returns this has proof.

    :param retry_after_ms: earliest sensible repeat, in milliseconds.
    :param owner: for ``NOT_OWNER``, the agent that owns the partition, if known.
    """

    reason: Reason
    retry_after_ms: int = 0
    detail: str = ""
    owner: str = ""


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The request may or may not have run.

    :param code: short machine-readable cause, for example ``backend_closed``.
    """

    code: str
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Failed:
    """The request ran, or was invalid, and failed.

    :param code: short machine-readable cause.
    """

    code: str
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Finished:
    """The whole answer was delivered.

    :param length: bytes in the body.
    """

    status: int
    length: int
    prompt_tokens: int = 0
    cached_tokens: int = 0
    completion_tokens: int = 0


Outcome = NotRun | OutcomeUnknown | Failed | Finished
