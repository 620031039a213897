"""Tests that background tasks go on after an error that their code did not foresee."""

import asyncio
import unittest
from unittest import mock

from heatherswitch.util import supervision
from heatherswitch.util.metrics import Metrics
from heatherswitch.util.supervision import Supervisor


class SupervisorTest(unittest.IsolatedAsyncioTestCase):
    """Guards against tasks that end for good without a trace."""

    async def asyncSetUp(self):
        self.metrics = Metrics()
        self.supervisor = Supervisor(self.metrics)
        self.starts = 0
        self.enterContext(mock.patch.object(supervision, "FIRST_RESTART_DELAY_S", 0.01))

    async def fail_twice(self):
        self.starts += 1
        if self.starts < 3:
            raise RecursionError("too deep")
        await asyncio.Event().wait()

    async def test_failed_task_is_started_again_logged_and_counted(self):
        with self.assertLogs("heatherswitch.util.supervision", "ERROR") as logs:
            task = asyncio.create_task(self.supervisor.run("watch", self.fail_twice))
            async with asyncio.timeout(5.0):
                while self.starts < 3:
                    await asyncio.sleep(0.01)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        self.assertEqual([record.task for record in logs.records], ["watch"] * 2)
        self.assertIn(b'task_failures_total{task="watch"} 2', self.metrics.render()[0])

    async def test_cancelled_task_ends(self):
        async def start():
            self.starts += 1
            await asyncio.Event().wait()

        task = asyncio.create_task(self.supervisor.run("watch", start))
        await asyncio.sleep(0)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        self.assertEqual(self.starts, 1)


if __name__ == "__main__":
    unittest.main()
