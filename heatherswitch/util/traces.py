"""Keeps the latest log lines of each request, so that operators can ask for them."""

import logging
from collections import OrderedDict, deque
from dataclasses import dataclass
from typing import Any

# Requests and lines that are kept; about 2 MB in all.
MAX_REQUESTS = 1000
MAX_LINES = 32

# Attributes of every log record; all others come from ``extra``.
_STANDARD = frozenset(logging.makeLogRecord({}).__dict__) | {"message", "asctime"}


@dataclass(frozen=True, slots=True)
class TraceLine:
    """One log line of a request.

    :param at: seconds since the epoch.
    """

    at: float
    logger: str
    message: str
    fields: dict[str, Any]


class RequestTraces(logging.Handler):
    """Collects log lines that carry a ``request_id``; the oldest requests go first.

    The part of the id after the first dot is the id that the caller sees.
    """

    def __init__(self) -> None:
        super().__init__()
        self._lines: OrderedDict[str, deque[TraceLine]] = OrderedDict()

    def emit(self, record: logging.LogRecord) -> None:
        """Takes one log record."""
        request_id = getattr(record, "request_id", "")
        if not request_id:
            return
        key = request_id.partition(".")[2] or request_id
        lines = self._lines.get(key)
        if lines is None:
            lines = self._lines[key] = deque(maxlen=MAX_LINES)
            if len(self._lines) > MAX_REQUESTS:
                self._lines.popitem(last=False)
        fields = {k: v for k, v in record.__dict__.items() if k not in _STANDARD}
        line = TraceLine(record.created, record.name, record.getMessage(), fields)
        lines.append(line)

    def lines(self, request_id: str) -> list[TraceLine]:
        """Returns the lines kept for the id that the caller saw, oldest first."""
        return list(self._lines.get(request_id, ()))
