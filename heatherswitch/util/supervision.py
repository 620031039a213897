"""Keeps background tasks running after errors that their code did not foresee."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from heatherswitch.util.metrics import Metrics

log = logging.getLogger("heatherswitch.util.supervision")

# Seconds before a failed task is started again; doubles with each failure up to the
# maximum, so that a task that always fails does not load the VM.
FIRST_RESTART_DELAY_S = 0.1
MAX_RESTART_DELAY_S = 5.0
# A task that ran for so many seconds is started again after the first delay.
STABLE_RUN_S = 30.0


class Supervisor:
    """Starts background tasks again that end by an unforeseen error.

    Each such end is logged with its traceback and counted in
    ``heatherswitch_task_failures_total``.
    """

    __slots__ = ("_metrics",)

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    async def run(self, name: str, start: Callable[[], Awaitable[None]]) -> None:
        """Runs a task until it returns or is cancelled.

        :param name: name of the task in log lines and metrics.
        :param start: coroutine function; called again after each failure.
        """
        loop = asyncio.get_running_loop()
        delay_s = FIRST_RESTART_DELAY_S
        while True:
            started_at = loop.time()
            try:
                await start()
                return
            except Exception as error:
                if loop.time() - started_at >= STABLE_RUN_S:
                    delay_s = FIRST_RESTART_DELAY_S
                self._note_failure(name, error, delay_s)
            await asyncio.sleep(delay_s)
            delay_s = min(MAX_RESTART_DELAY_S, 2 * delay_s)

    def _note_failure(self, name: str, error: Exception, delay_s: float) -> None:
        log.error(
            "background task failed; it is started again",
            exc_info=error,
            extra={"task": name, "error": repr(error), "delay_s": delay_s},
        )
        self._metrics.count(
            "heatherswitch_task_failures_total",
            "Background tasks that ended by an unforeseen error.",
            {"task": name},
        )
