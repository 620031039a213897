"""Outcomes of a request, shared by router and agent."""

from dataclasses import dataclass
from enum import Enum


class Reason(Enum):
    """Why a request was refused before it ran.

    The values equal the names in ``RefusalReason`` of the protocol.
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
    """Whether and how a caller may repeat a request."""

    SAME_KEY = "same_key"
    LATER = "later"
    NEVER = "never"


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request certainly did not run.

    :param retry_after_ms: earliest sensible retry, in milliseconds; 0 for none given.
    :param detail: explanation for people.
    :param owner: for ``NOT_OWNER``, the id of the agent to try; empty if unknown.
    """

    reason: Reason
    retry_after_ms: int = 0
    detail: str = ""
    owner: str = ""


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The request may have run or not.

    :param code: machine-readable cause, for example ``backend_closed``.
    :param detail: explanation for people.
    """

    code: str
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Failed:
    """The request failed: it was invalid, or it ran without success.

    :param code: machine-readable cause.
    :param detail: explanation for people.
    """

    code: str
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Finished:
    """The whole response was delivered.

    :param status: HTTP status.
    :param length: size of the body, in bytes.
    """

    status: int
    length: int
    prompt_tokens: int = 0
    cached_tokens: int = 0
    completion_tokens: int = 0


Outcome = NotRun | OutcomeUnknown | Failed | Finished
