"""Keeps recent log lines by request, for queries of operators."""

import logging
from collections import OrderedDict, deque
from dataclasses import dataclass
from typing import Any

# Maximum number of requests and of lines for each; about 2 MB in total.
MAX_REQUESTS = 1000
MAX_LINES_PER_REQUEST = 32

# Attributes that every log record has; all others are passed as ``extra``.
_STANDARD_ATTRIBUTES = frozenset(logging.makeLogRecord({}).__dict__) | {
    "message",
    "asctime",
}


@dataclass(frozen=True, slots=True)
class TraceLine:
    """One log line of a request.

    :param at: time of the line, in seconds since the epoch.
    :param fields: values passed as ``extra``.
    """

    at: float
    logger: str
    message: str
    fields: dict[str, Any]


class RequestTraces(logging.Handler):
    """Log handler that stores the lines with a ``request_id``.

    Lines are stored under the part of the id after its first dot, which is the id that
    the caller sees. The oldest requests are discarded first.
    """

    def __init__(self) -> None:
        super().__init__()
        self._lines: OrderedDict[str, deque[TraceLine]] = OrderedDict()

    def emit(self, record: logging.LogRecord) -> None:
        """Stores a record if it belongs to a request."""
        request_id = getattr(record, "request_id", "")
        if not request_id:
            return
        key = request_id.partition(".")[2] or request_id
        lines = self._lines.get(key)
        if lines is None:
            lines = self._lines[key] = deque(maxlen=MAX_LINES_PER_REQUEST)
            if len(self._lines) > MAX_REQUESTS:
                self._lines.popitem(last=False)
        fields = {
            k: v for k, v in record.__dict__.items() if k not in _STANDARD_ATTRIBUTES
        }
        line = TraceLine(record.created, record.name, record.getMessage(), fields)
        lines.append(line)

    def lines(self, request_id: str) -> list[TraceLine]:
        """Returns the stored lines of a request, oldest first.

        :param request_id: id that the caller sees, without its prefix.
        """
        return list(self._lines.get(request_id, ()))
