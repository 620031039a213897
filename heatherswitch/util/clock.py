"""The clock that shells pass to reducers."""

import time


class Clock:
    """Seconds since the epoch that never step backwards.

    The epoch is read once; after that the boot-time clock counts, which goes on
    while the process is paused or the VM is suspended.
    """

    __slots__ = ("_offset",)

    def __init__(self) -> None:
        self._offset = time.time() - time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self) -> float:
        """Returns the time in seconds."""
        return self._offset + time.clock_gettime(time.CLOCK_BOOTTIME)
