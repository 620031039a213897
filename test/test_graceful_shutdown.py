import asyncio
import tempfile
import unittest
from dataclasses import replace
from pathlib import Path

from emulator.audit import read_events
from emulator.deployments import LEAFLINE
from emulator.service_runs import Variant, running, send_load
from emulator.standin import HistoryFile

SMALL = replace(
    LEAFLINE,
    engines=replace(LEAFLINE.engines, count=3),
    plain=replace(LEAFLINE.plain, count=2),
)
LOAD = {"seconds": 4.0, "chats_per_s": 4.0, "actions_per_s": 6.0, "pause_s": 0.2}


class GracefulShutdownTest(unittest.IsolatedAsyncioTestCase):
    async def stop_under_load(self, *names: str) -> None:
        """Sends SIGTERM to processes while chats and settlements run."""
        directory = Path(self.enterContext(tempfile.TemporaryDirectory()))
        history = HistoryFile(directory / "callers.jsonl")
        async with running(SMALL, directory, Variant("stop"), ("--warm",)) as launch:
            load = asyncio.create_task(send_load(launch, history, **LOAD))
            await asyncio.sleep(1.5)
            agents = [backend.agent for backend in launch.backends]
            leaving = [p for p in [*launch.routers, *agents] if p.name in names]
            self.assertEqual(len(leaving), len(names))
            stopped = await asyncio.gather(*(item.stop(20.0) for item in leaving))
            report = await load
            servers = [backend.history for backend in launch.backends]
        self.assertTrue(all(stopped), "SIGKILL was needed")
        attempts = read_events([directory / "callers.jsonl"])
        # A closed listener is no interruption: nothing of the request was sent.
        broken = [
            a["problem"]
            for a in attempts
            if a["event"] in ("no_answer", "wrong")
            and not a["problem"].startswith("cannot connect")
        ]
        self.assertEqual(broken, [])
        self.assertEqual(report.with_outcome("wrong"), [])
        ended = [
            e for e in read_events(servers) if e["event"] in ("cancelled", "failed")
        ]
        self.assertEqual(ended, [])

    async def test_stopping_router_interrupts_no_request(self):
        # Guards against streams that are cut, and a router that never ends.
        await self.stop_under_load("r1")

    async def test_stopping_agents_interrupt_no_request(self):
        # Guards against work and claims that are dropped when an agent leaves.
        await self.stop_under_load("agent-appraiser-1", "agent-ledger-1")
