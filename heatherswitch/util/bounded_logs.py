"""A log handler that never blocks and limits the rate of lines."""

import fcntl
import io
import logging
import os
import stat
import time
from collections.abc import Callable
from typing import TextIO

# Sustained rate and burst size of log lines. A gateway at its design load logs about 12
# lines per second, three for each of four requests; bursts of a whole site fit.
LINES_PER_S = 400.0
BURST_LINES = 2000.0
# Maximum size of a line. Writes of up to 4096 bytes (PIPE_BUF) to a pipe are atomic.
MAX_LINE_BYTES = 4000


class BoundedHandler(logging.Handler):
    """Writes to a file descriptor without blocking.

    Lines over the rate limit, and lines that a full pipe does not accept, are dropped.
    The next line that is written carries their number as ``dropped_lines``.

    :param stream: file to whose descriptor the lines are written.
    :param lines_per_s: sustained rate of lines.
    :param burst_lines: lines that may be written at once.
    :param now: returns the time of a monotonic clock, in seconds.
    """

    def __init__(
        self,
        stream: TextIO,
        lines_per_s: float = LINES_PER_S,
        burst_lines: float = BURST_LINES,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._file_descriptor = stream.fileno()
        self._lines_per_s = lines_per_s
        self._burst_lines = burst_lines
        self._tokens = burst_lines
        self._now = now
        self._refilled_at = now()
        self._dropped = 0
        _set_nonblocking(self._file_descriptor)

    @property
    def dropped(self) -> int:
        """Number of lines dropped since the last one that was written."""
        return self._dropped

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a record or counts it as dropped."""
        now = self._now()
        refill = (now - self._refilled_at) * self._lines_per_s
        self._tokens = min(self._burst_lines, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1:
            self._dropped += 1
            return
        self._tokens -= 1
        if self._dropped:
            record.dropped_lines = self._dropped
        try:
            line = self.format(record).encode()[: MAX_LINE_BYTES - 1] + b"\n"
            os.write(self._file_descriptor, line)
            self._dropped = 0
        except BlockingIOError:
            self._dropped += 1
        except OSError:
            # The log reader has exited; requests must still be served.
            self._dropped += 1
        except Exception:
            self.handleError(record)


def _set_nonblocking(fd: int) -> None:
    """Makes a pipe non-blocking.

    Other descriptors are left alone: files never block, and a terminal is shared with
    other processes, which would become non-blocking too.
    """
    if stat.S_ISFIFO(os.fstat(fd).st_mode):
        flags = fcntl.fcntl(fd, fcntl.F_GETFL)
        fcntl.fcntl(fd, fcntl.F_SETFL, flags | os.O_NONBLOCK)


def build_handler(stream: TextIO) -> logging.Handler:
    """Returns a :class:`BoundedHandler`.

    A stream without a file descriptor gets a :class:`logging.StreamHandler`.
    """
    try:
        return BoundedHandler(stream)
    except (io.UnsupportedOperation, OSError):
        return logging.StreamHandler(stream)
