"""Base of the proofs: a small deployment of real processes, load, and a verdict."""

import asyncio
import itertools
import tempfile
import unittest
from dataclasses import replace
from pathlib import Path

from emulator.deployments import LEAFLINE
from emulator.launch import LaunchConfig, Launcher
from emulator.processes import ManagedProcess
from emulator.sampler import PERIOD_S
from emulator.trial import Trial

SMALL = replace(
    LEAFLINE,
    engines=replace(LEAFLINE.engines, count=3),
    plain=replace(LEAFLINE.plain, count=2),
)
WORKSPACE = "huon-leaf"
# Rules whose proofs are in KNOWN-RED.txt. Their violations can show in any trial with
# load, and would hide what the other proofs say. Empty this when they are fixed.
KNOWN_RED = frozenset({"P1"})
# Engines that skip the cold start, for proofs that are not about it.
WARM = {"appraiser": ("--warm",)}


class ProofCase(unittest.IsolatedAsyncioTestCase):
    """Starts trials and checks their histories."""

    async def start(
        self, deployment=SMALL, sample_period_s: float = PERIOD_S, **options
    ) -> Trial:
        """Starts a trial that ends with the test."""
        # The debug mode of the test case slows proxies and callers in this process.
        asyncio.get_running_loop().set_debug(False)
        directory = Path(self.enterContext(tempfile.TemporaryDirectory()))
        config = LaunchConfig(deployment, directory, proxied=True, **options)
        trial = Trial.from_config(config, sample_period_s)
        self.addAsyncCleanup(trial.stop)
        await trial.start()
        return trial

    async def violations(self, trial: Trial) -> dict[str, list[str]]:
        """Ends a trial and returns the violations by rule."""
        await trial.stop()
        found: dict[str, list[str]] = {}
        for violation in trial.find_violations():
            found.setdefault(violation.rule, []).append(str(violation))
        return found

    async def assert_green(
        self, trial: Trial, skipped: frozenset[str] = KNOWN_RED
    ) -> None:
        """Ends a trial; all rules must hold, not only the one under test.

        :param skipped: rules that are known red; their own proofs pass an empty set.
        """
        found = await self.violations(trial)
        for rule in skipped & found.keys():
            print(f"known red, left to its own proof: {found.pop(rule)[:3]}")
        shown = [text for texts in found.values() for text in texts[:5]]
        self.assertEqual([], shown, dict(trial.counts))


class Load:
    """Open loop of chats and settlements until it is stopped."""

    def __init__(self, trial: Trial, chats_per_s=20.0, settlements_per_s=10.0) -> None:
        self._trial = trial
        self._rates = (chats_per_s, settlements_per_s)
        self._calls: set[asyncio.Task] = set()
        self._loops: list[asyncio.Task] = []

    async def __aenter__(self) -> "Load":
        work = zip(self._rates, (self._chat, self._settlement), strict=True)
        self._loops = [
            asyncio.create_task(self._repeat(1 / rate, call))
            for rate, call in work
            if rate
        ]
        return self

    async def __aexit__(self, *_) -> None:
        for loop in self._loops:
            loop.cancel()
        await asyncio.gather(*self._calls)

    async def _repeat(self, pause_s: float, build) -> None:
        for number in itertools.count():
            call = self._trial.call(build(number))
            self._calls.add(asyncio.create_task(call))
            await asyncio.sleep(pause_s)

    def _chat(self, number: int):
        text = f"chat {number % 12} " + "word " * 30
        return self._trial.chat(text, WORKSPACE, 24, stream=bool(number % 2))

    def _settlement(self, number: int):
        # Each key is sent twice, through both routers.
        return self._trial.settlement(f"key-{number // 2}", WORKSPACE)


def agent_of(launch: Launcher, server: str) -> ManagedProcess:
    """Returns the agent beside a backend server."""
    return next(b.agent for b in launch.backends if b.server.name == server)
