"""The clock whose time processes pass to their reducers."""

import time


class Clock:
    """Seconds since the epoch that never step backwards.

    The system time is read once. From then on the time advances with CLOCK_BOOTTIME,
    which also counts while the process is stopped or the VM is suspended.
    """

    __slots__ = ("_epoch_offset_s",)

    def __init__(self) -> None:
        self._epoch_offset_s = time.time() - time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self) -> float:
        """Returns the seconds since the epoch."""
        return self._epoch_offset_s + time.clock_gettime(time.CLOCK_BOOTTIME)
