"""Follows one request through the gateways' log files."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

# Fields of a line that say where it comes from, not what happened.
_ORIGIN = frozenset(
    {"level", "logger", "message", "program", "instance", "timestamp", "request"}
)


@dataclass(frozen=True, slots=True)
class TrailLine:
    """One log line about a request.

    :param details: the fields that decided, by name.
    """

    timestamp: str
    instance: str
    message: str
    details: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Trail:
    """All lines about a request, in order of time.

    :param malformed: lines of the files that are no JSON objects.
    :param dropped: lines that the gateways dropped, over all requests.
    """

    lines: tuple[TrailLine, ...]
    malformed: int
    dropped: int

    @property
    def cause(self) -> str:
        """What the last line says of the end, or an empty string."""
        for line in reversed(self.lines):
            reason = line.details.get("reason") or line.details.get("outcome")
            if line.message != "request forwarded" and reason:
                return str(reason)
        return self.lines[-1].message if self.lines else ""


def follow(request_id: str, lines: Iterable[str]) -> Trail:
    """Collects what the logs say about one request.

    :param lines: lines of any number of files. Text before the JSON object, such as
        the time and machine that a collector adds, is passed over.
    """
    found, malformed, dropped = [], 0, 0
    for entry in _entries(lines):
        if entry is None:
            malformed += 1
            continue
        dropped += int(entry.get("dropped_lines") or 0)
        if entry.get("request") == request_id:
            found.append(_trail_line(entry))
    found.sort(key=lambda line: line.timestamp)
    return Trail(tuple(found), malformed, dropped)


def _entries(lines: Iterable[str]) -> Iterator[dict | None]:
    """Yields the JSON objects; None for a line without one."""
    for line in lines:
        start = line.find("{")
        if not line.strip():
            continue
        try:
            entry = json.loads(line[start:]) if start >= 0 else None
        except ValueError:
            entry = None
        yield entry if isinstance(entry, dict) else None


def _trail_line(entry: dict) -> TrailLine:
    details = {name: value for name, value in entry.items() if name not in _ORIGIN}
    return TrailLine(
        str(entry.get("timestamp", "")),
        str(entry.get("instance", "")),
        str(entry.get("message", "")),
        details,
    )
