"""Interface between a pure reducer and the shell that executes its effects.

A reducer contains the logic and does no I/O. It receives events, which carry the time
and any randomness, changes its own state and returns effects as data. The shell turns
I/O into events and executes the effects.
"""

import logging
from dataclasses import dataclass, field
from typing import Any, Protocol

log = logging.getLogger("heatherswitch.reducer")


@dataclass(frozen=True, slots=True)
class Event:
    """Input of a reducer.

    :param now: monotonic time at which the shell observed the event, in seconds.
    """

    now: float


@dataclass(frozen=True, slots=True)
class Effect:
    """Action that a reducer requests from the shell."""


@dataclass(frozen=True, slots=True)
class Log(Effect):
    """Writes one log line.

    :param message: constant text without values.
    :param fields: additional fields of the JSON log line.
    :param level: log level of the ``logging`` module.
    """

    message: str
    fields: dict[str, Any] = field(default_factory=dict)
    level: int = logging.INFO


class Reducer(Protocol):
    """Handles all events of one program."""

    def apply(self, event: Event) -> list[Effect]:
        """Changes the state and returns the effects to execute, in order."""


def write_log(effect: Log, logger: logging.Logger = log) -> None:
    """Executes a :class:`Log` effect."""
    logger.log(effect.level, effect.message, extra=effect.fields)
