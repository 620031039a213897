"""Histories in JSON lines: one object a line with ``event`` and ``time``.

Witnesses and their events:

- callers: ``asked``, then ``answered``, ``refused`` (with ``outcome``), ``no_answer``
  or ``wrong``; each with ``request_id``, ``path``, ``workspace``, ``key``, ``router``.
- backend servers: ``started``, ``finished``, ``failed``, ``cancelled``, ``executed``,
  ``cold``; each with ``server`` or in a file named for the server.
- operators: ``accepted`` with ``change`` (``settings``, ``zone_out``, ``zone_back``,
  ``version_start``), ``sent`` (seconds), ``revision`` and, for moves, ``move`` and
  ``deadline_at``.
- the harness that runs the processes: ``backend`` (``server``, ``service``, ``zone``,
  ``version``, ``engine``), ``ended`` (a server is gone), ``left`` and ``joined``
  (its agent is gone, paused or cut off, or is back), ``leaving``, ``stop``, ``stopped``, ``fault`` and ``fault_end`` (``target``, ``kind``).
- samples of processes: ``revision`` (``process``, ``pid``, ``revision``) and ``move``
  (``move``, ``state``, ``share``).
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
    """A history that cannot be read."""


@dataclass(frozen=True, slots=True)
class Violation:
    """One proven violation of an invariant.

    :param rule: ``P1`` to ``P11``.
    :param time: seconds since the epoch.
    """

    rule: str
    time: float
    text: str

    def __str__(self) -> str:
        return f"{self.rule} at {self.time:.3f}: {self.text}"


class Events:
    """All events of a run in the order of time."""

    __slots__ = ("_backends", "_events")

    def __init__(self, events: Iterable[Event]) -> None:
        self._events = sorted(events, key=lambda event: event["time"])
        self._backends = {e["server"]: e for e in self.named("backend")}

    @property
    def backends(self) -> dict[str, Event]:
        """The last ``backend`` event by server."""
        return self._backends

    @property
    def end(self) -> float:
        """Time of the last event; 0 without any."""
        return self._events[-1]["time"] if self._events else 0.0

    def named(self, *names: str) -> list[Event]:
        """Returns the events with one of the names."""
        return [event for event in self._events if event["event"] in names]

    def starts(self) -> list[Event]:
        """Returns the starts of work at backend servers."""
        return self.named(*START_EVENTS)

    def backend_of(self, event: Event) -> Event:
        """Returns the ``backend`` event of the server that an event names.

        :raises HistoryError: if the server is unknown.
        """
        try:
            return self._backends[event["server"]]
        except KeyError:
            raise HistoryError(f"no backend event for {event}") from None

    def disturbed(self, target: str, start: float, end: float) -> bool:
        """Tells whether a fault on a target was in force in an interval."""
        return any(
            began <= end and ended >= start
            for name, began, ended in self._faults()
            if name == target
        )

    def _faults(self) -> list[tuple[str, float, float]]:
        """Returns target, start and end of each fault."""
        faults, running = [], {}
        for event in self.named("fault", "fault_end"):
            name = (event["target"], event["kind"])
            if event["event"] == "fault":
                running.setdefault(name, event["time"])
            elif name in running:
                faults.append((name[0], running.pop(name), event["time"]))
        open_faults = [(name[0], at, self.end) for name, at in running.items()]
        return faults + open_faults


def read_directory(directory: Path) -> Events:
    """Reads all ``*.jsonl`` files of a run.

    A line that a killed witness left incomplete is skipped if it is the last one.

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
