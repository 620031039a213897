"""Divides the event loop's time between tasks that always have work to do.

asyncio gives up the event loop only when a task waits. A task whose input is buffered
already, or whose output is taken at once, never waits.
"""

import asyncio
import logging
import time
import weakref
from collections import deque
from collections.abc import Generator
from typing import TypeVar

# Seconds for which one task may work before the others run. Serving a request takes
# some 20 iterations of the event loop, so that one costs others a few of these at most.
TURN_SLICE_S = 0.002
# Pieces (entries, chunks) after which the others run whatever the clock shows, which may
# stand still while a process works.
MAX_TURN_PIECES = 200
# The same for pieces that are passed on to a peer, which takes a system call each.
MAX_RELAYED_PIECES = 10
# Slices that one piece of work uses up before it is logged: half a second.
LOGGED_SLICES = 250

log = logging.getLogger("heatherswitch.fairness")


Result = TypeVar("Result")


class Turn:
    """The work since a task last let the others run.

    :param work: what the task works on, for the log.
    :param peer: host and port of the peer that sent it; None if there is none.
    :param slice_s: seconds after which :meth:`pause_if_due` lets the others run.
    :param max_pieces: number of pieces after which it does so at the latest.
    """

    __slots__ = (
        "_ends_at",
        "_max_pieces",
        "_peer",
        "_pieces",
        "_slice_s",
        "_slices",
        "_work",
    )

    def __init__(
        self,
        work: str,
        peer: tuple | None = None,
        slice_s: float = TURN_SLICE_S,
        max_pieces: int = MAX_TURN_PIECES,
    ) -> None:
        self._work = work
        self._max_pieces = max_pieces
        self._peer = peer
        self._slice_s = slice_s
        self._slices = 0
        self._ends_at = 0.0
        self._pieces = 0
        self.begin()

    def begin(self) -> None:
        """Starts the slice anew; called after the task has waited for something else."""
        self._ends_at = time.monotonic() + self._slice_s
        self._pieces = 0

    async def pause_if_due(self) -> None:
        """Lets the others run once the slice is used up; called after each piece."""
        self._pieces += 1
        if self._pieces >= self._max_pieces or time.monotonic() >= self._ends_at:
            self._slices += 1
            if self._slices == LOGGED_SLICES:
                self._log_use()
            await _pause()
            self.begin()

    def _log_use(self) -> None:
        host, port = self._peer[:2] if self._peer else ("", "")
        log.warning(
            "much processing for one peer; others are served in between",
            extra={
                "work": self._work,
                "peer": f"{host}:{port}",
                "slices": self._slices,
            },
        )


def finish_steps(steps: Generator[None, None, Result]) -> Result:
    """Runs a generator that yields between its steps in one go."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value


async def run_steps(steps: Generator[None, None, Result], turn: Turn) -> Result:
    """Runs a generator that yields between its steps, and lets others run meanwhile."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value
        await turn.pause_if_due()


class _PausedTasks:
    """Resumes one paused task in each iteration of an event loop.

    If all were resumed at once, an iteration would take a slice for each of them.
    """

    __slots__ = ("_waiters",)

    def __init__(self) -> None:
        self._waiters: deque[asyncio.Future] = deque()

    async def wait(self, loop: asyncio.AbstractEventLoop) -> None:
        """Waits until it is the calling task's turn."""
        waiter = loop.create_future()
        self._waiters.append(waiter)
        if len(self._waiters) == 1:
            loop.call_soon(self._resume_next, loop)
        await waiter

    def _resume_next(self, loop: asyncio.AbstractEventLoop) -> None:
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                break
        if self._waiters:
            loop.call_soon(self._resume_next, loop)


_paused_tasks: weakref.WeakKeyDictionary[asyncio.AbstractEventLoop, _PausedTasks] = (
    weakref.WeakKeyDictionary()
)


async def _pause() -> None:
    loop = asyncio.get_running_loop()
    paused = _paused_tasks.get(loop)
    if paused is None:
        paused = _paused_tasks[loop] = _PausedTasks()
    await paused.wait(loop)
