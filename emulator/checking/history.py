"""Reads the histories of a run.

A history is a file of JSON lines. Each line is an event: an object with ``event``, its
name, and ``time``, in seconds since the epoch. The events by their sources:

- callers: ``asked``, then ``answered``, ``refused`` (with ``outcome``), ``no_answer``
  or ``wrong``; each with ``request_id``, ``path``, ``workspace``, ``key``, ``router``.
- backend servers: ``started``, ``finished``, ``failed``, ``cancelled``, ``executed``,
  ``cold``; each with ``server`` or in a file named after the server.
- operators: ``accepted`` with ``change`` (``settings``, ``zone_out``, ``zone_back``,
  ``version_start``), ``sent`` (seconds), ``revision`` and, for moves, ``move`` and
  ``deadline_at``.
- the harness that runs the processes: ``backend`` (``server``, ``service``, ``zone``,
  ``version``, ``engine``), ``ended`` (a server process was killed), ``left`` and
  ``joined`` (a server's agent is killed, paused or disconnected, or is back),
  ``leaving``, ``stop``, ``stopped``, ``fault`` and ``fault_end`` (``target``, ``kind``).
- the sampler: ``revision`` (``process``, ``pid``, ``revision``) and ``move`` (``move``,
  ``state``, ``share``).
"""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

START_EVENTS = ("started", "executed")
END_EVENTS = ("finished", "failed", "cancelled")
Event = dict[str, Any]


class HistoryError(Exception):
    """A history cannot be read, or an event names an unknown server."""


@dataclass(frozen=True, slots=True)
class Violation:
    """A violation of an invariant that a history shows.

    :param rule: number of the invariant, ``P1`` to ``P11``.
    :param time: time of the violation, in seconds since the epoch.
    :param text: description for people.
    """

    rule: str
    time: float
    text: str

    def __str__(self) -> str:
        return f"{self.rule} at {self.time:.3f}: {self.text}"


class Events:
    """All events of a run, sorted by time."""

    __slots__ = ("_backends", "_events")

    def __init__(self, events: Iterable[Event]) -> None:
        self._events = sorted(events, key=lambda event: event["time"])
        self._backends = {e["server"]: e for e in self.named("backend")}

    @property
    def backends(self) -> dict[str, Event]:
        """The latest ``backend`` event of each server."""
        return self._backends

    @property
    def end(self) -> float:
        """Time of the last event; 0 if there is none."""
        return self._events[-1]["time"] if self._events else 0.0

    def named(self, *names: str) -> list[Event]:
        """Returns the events with one of the given names, sorted by time."""
        return [event for event in self._events if event["event"] in names]

    def starts(self) -> list[Event]:
        """Returns the events by which backend servers start a request."""
        return self.named(*START_EVENTS)

    def backend_of(self, event: Event) -> Event:
        """Returns the latest ``backend`` event of the server that an event names.

        :raises HistoryError: if that server has none.
        """
        try:
            return self._backends[event["server"]]
        except KeyError:
            raise HistoryError(
                f"the server of this event has no backend event: {event}"
            ) from None

    def has_fault(self, target: str, start: float, end: float) -> bool:
        """Returns True if a fault of a target was in force between two times.

        :param target: name of a process, or ``store``.
        """
        return any(
            began <= end and ended >= start
            for name, began, ended in self._fault_intervals()
            if name == target
        )

    def _fault_intervals(self) -> list[tuple[str, float, float]]:
        """Returns target, start and end of each fault.

        A fault without a recorded end lasts until the end of the run.
        """
        ended, started_at = [], {}
        for event in self.named("fault", "fault_end"):
            name = (event["target"], event["kind"])
            if event["event"] == "fault":
                started_at.setdefault(name, event["time"])
            elif name in started_at:
                ended.append((name[0], started_at.pop(name), event["time"]))
        unended = [(name[0], at, self.end) for name, at in started_at.items()]
        return ended + unended


def read_directory(directory: Path) -> Events:
    """Reads all ``*.jsonl`` files of a run.

    The last line of a file is skipped if it is incomplete, as a process that is killed
    may leave it.

    :raises HistoryError: if another line is not an event.
    """
    events = []
    for path in sorted(directory.glob("*.jsonl")):
        lines = path.read_text().split("\n")
        for number, line in enumerate(lines, 1):
            if not line:
                continue
            try:
                event = json.loads(line)
                _ = event["event"], event["time"]
            except (ValueError, KeyError, TypeError) as error:
                if number == len(lines):
                    continue
                raise HistoryError(f"{path}:{number}: {error!r}") from error
            event.setdefault("server", path.stem)
            events.append(event)
    return Events(events)
