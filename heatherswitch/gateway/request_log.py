"""Collects the log lines about one request from the gateways' log files."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

from heatherswitch.util.untrusted import (
    MalformedInput,
    parse_object,
    read_field,
    require_integer,
)

# Fields that identify a line's source and request; all others are shown as details.
_ORIGIN_FIELDS = frozenset(
    {"level", "logger", "message", "program", "instance", "timestamp", "request"}
)


@dataclass(frozen=True, slots=True)
class RequestLogLine:
    """One log line about a request.

    :param details: remaining fields of the log entry, by name.
    """

    timestamp: str
    instance: str
    message: str
    details: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class RequestLog:
    """All log lines about a request, in order of time.

    :param malformed: number of lines in the files that hold no JSON object.
    :param dropped: number of lines that the gateways dropped to limit their output,
        about any request.
    """

    lines: tuple[RequestLogLine, ...]
    malformed: int
    dropped: int

    @property
    def cause(self) -> str:
        """Last recorded reason or outcome, else the last message, else empty."""
        for line in reversed(self.lines):
            reason = line.details.get("reason") or line.details.get("outcome")
            if line.message != "request forwarded" and reason:
                return str(reason)
        return self.lines[-1].message if self.lines else ""


def collect(request_id: str, lines: Iterable[str]) -> RequestLog:
    """Returns the log lines about one request.

    :param lines: lines of any number of files. Text before the JSON object, such as a
        timestamp and host name added by a log collector, is ignored.
    """
    matching, malformed, dropped = [], 0, 0
    for entry in _entries(lines):
        if entry is None:
            malformed += 1
            continue
        dropped += int(entry.get("dropped_lines") or 0)
        if entry.get("request") == request_id:
            matching.append(_log_line(entry))
    matching.sort(key=lambda line: line.timestamp)
    return RequestLog(tuple(matching), malformed, dropped)


def _entries(lines: Iterable[str]) -> Iterator[dict | None]:
    """Yields the JSON object of each non-empty line, or None if it is malformed."""
    for line in lines:
        start = line.find("{")
        if not line.strip():
            continue
        try:
            entry = parse_object(line[start:]) if start >= 0 else None
            if entry is not None:
                read_field(entry, "dropped_lines", require_integer, 0)
        except MalformedInput:
            entry = None
        yield entry


def _log_line(entry: dict) -> RequestLogLine:
    details = {
        name: value for name, value in entry.items() if name not in _ORIGIN_FIELDS
    }
    return RequestLogLine(
        str(entry.get("timestamp", "")),
        str(entry.get("instance", "")),
        str(entry.get("message", "")),
        details,
    )
