"""The contract between a pure reducer and the shell that runs its effects.

A reducer decides; a shell acts. The reducer receives events that carry the time
and any randomness, changes its own state, and returns effects as data.
"""

import logging
from dataclasses import dataclass, field
from typing import Any, Protocol

log = logging.getLogger("heatherswitch.reducer")


@dataclass(frozen=True, slots=True)
class Event:
    """Something that happened.

    :param now: monotonic time in seconds at which the shell saw the event.
    """

    now: float


@dataclass(frozen=True, slots=True)
class Effect:
    """Something that the shell must do."""


@dataclass(frozen=True, slots=True)
class Log(Effect):
    """Writes one log line.

    :param message: constant text without values.
    :param fields: values for the JSON line.
    :param level: a level of the ``logging`` module.
    """

    message: str
    fields: dict[str, Any] = field(default_factory=dict)
    level: int = logging.INFO


class Reducer(Protocol):
    """Decides over all events of one program."""

    def apply(self, event: Event) -> list[Effect]:
        """Changes the state and returns what must be done."""


def write_log(effect: Log, logger: logging.Logger = log) -> None:
    """Executes a :class:`Log` effect."""
    logger.log(effect.level, effect.message, extra=effect.fields)
