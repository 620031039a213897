"""A log handler that never blocks and writes a bounded number of lines."""

import fcntl
import io
import logging
import os
import stat
import time
from collections.abc import Callable
from typing import TextIO

# Lines a second on average and at once. A gateway at its design load handles about
# four requests a second with three lines each; bursts of a whole site fit.
LINES_PER_S = 400.0
BURST_LINES = 2000.0
# Longest line in bytes. A write to a pipe of up to 4096 bytes is whole or not at all.
MAX_LINE_BYTES = 4000


class BoundedHandler(logging.Handler):
    """Writes to a file descriptor without blocking and drops what does not fit.

    Dropped lines are counted, and the count is written with the next line that fits.

    :param stream: file whose descriptor takes the lines.
    :param now: returns seconds of a monotonic clock.
    """

    def __init__(
        self,
        stream: TextIO,
        lines_per_s: float = LINES_PER_S,
        burst: float = BURST_LINES,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._fd = stream.fileno()
        self._rate = lines_per_s
        self._burst = burst
        self._tokens = burst
        self._now = now
        self._at = now()
        self._dropped = 0
        _make_nonblocking(self._fd)

    @property
    def dropped(self) -> int:
        """Lines dropped since the last one that was written."""
        return self._dropped

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a record or counts it as dropped."""
        now = self._now()
        gained = (now - self._at) * self._rate
        self._tokens = min(self._burst, self._tokens + gained)
        self._at = now
        if self._tokens < 1:
            self._dropped += 1
            return
        self._tokens -= 1
        if self._dropped:
            record.dropped_lines = self._dropped
        try:
            line = self.format(record).encode()[: MAX_LINE_BYTES - 1] + b"\n"
            os.write(self._fd, line)
            self._dropped = 0
        except BlockingIOError:
            self._dropped += 1
        except OSError:
            # The reader of the logs is gone; requests are served all the same.
            self._dropped += 1
        except Exception:
            self.handleError(record)


def _make_nonblocking(fd: int) -> None:
    """Affects pipes only: a file never blocks, and a terminal is shared."""
    if stat.S_ISFIFO(os.fstat(fd).st_mode):
        flags = fcntl.fcntl(fd, fcntl.F_GETFL)
        fcntl.fcntl(fd, fcntl.F_SETFL, flags | os.O_NONBLOCK)


def handler_for(stream: TextIO) -> logging.Handler:
    """Returns a bounded handler, or a plain one for a stream without a descriptor."""
    try:
        return BoundedHandler(stream)
    except (io.UnsupportedOperation, OSError):
        return logging.StreamHandler(stream)
