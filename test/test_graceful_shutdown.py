import asyncio
import tempfile
import unittest
from dataclasses import replace
from pathlib import Path

from emulator.audit import read_events
from emulator.deployments import LEAFLINE
from emulator.service_runs import Variant, running_deployment, send_load
from emulator.standin import HistoryFile

SMALL_DEPLOYMENT = replace(
    LEAFLINE,
    engines=replace(LEAFLINE.engines, count=3),
    plain=replace(LEAFLINE.plain, count=2),
)
LOAD = {"seconds": 4.0, "chats_per_s": 4.0, "actions_per_s": 6.0, "pause_s": 0.2}


class GracefulShutdownTest(unittest.IsolatedAsyncioTestCase):
    async def check_stop_under_load(self, *names: str) -> None:
        """Sends SIGTERM to the named processes under load; no request may be cut off."""
        directory = Path(self.enterContext(tempfile.TemporaryDirectory()))
        history = HistoryFile(directory / "callers.jsonl")
        async with running_deployment(
            SMALL_DEPLOYMENT, directory, Variant("stop"), ("--warm",)
        ) as launch:
            load = asyncio.create_task(send_load(launch, history, **LOAD))
            await asyncio.sleep(1.5)
            agents = [backend.agent for backend in launch.backends]
            processes = [p for p in [*launch.routers, *agents] if p.name in names]
            self.assertEqual(len(processes), len(names))
            stopped = await asyncio.gather(
                *(process.stop(20.0) for process in processes)
            )
            report = await load
            backend_histories = [backend.history for backend in launch.backends]
        self.assertTrue(
            all(stopped), "a process did not stop on SIGTERM and was killed"
        )
        attempts = read_events([directory / "callers.jsonl"])
        # A refused connection is allowed: nothing of the request was sent.
        interrupted = [
            a["problem"]
            for a in attempts
            if a["event"] in ("no_answer", "wrong")
            and not a["problem"].startswith("cannot connect")
        ]
        self.assertEqual(interrupted, [])
        self.assertEqual(report.with_outcome("wrong"), [])
        unfinished = [
            e
            for e in read_events(backend_histories)
            if e["event"] in ("cancelled", "failed")
        ]
        self.assertEqual(unfinished, [])

    async def test_stopping_a_router_interrupts_no_request(self):
        # Guards against responses that are cut off and a router that does not exit.
        await self.check_stop_under_load("r1")

    async def test_stopping_agents_interrupts_no_request(self):
        # Guards against running requests and claims that a stopping agent drops.
        await self.check_stop_under_load("agent-appraiser-1", "agent-ledger-1")
