"""Base class of the proofs.

Each proof starts a small deployment of real processes, puts load and faults on it, and
checks the recorded events against the rules of :mod:`emulator.checking`.
"""

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

SMALL_DEPLOYMENT = replace(
    LEAFLINE,
    engines=replace(LEAFLINE.engines, count=3),
    plain=replace(LEAFLINE.plain, count=2),
)
WORKSPACE = "huon-leaf"
# Rules whose own proofs are listed in KNOWN-RED.txt. Any trial with load can violate
# them, which would make the other proofs fail for an unrelated reason. To be emptied
# when the faults are fixed.
KNOWN_RED = frozenset({"P1"})
# Command-line arguments by service. Engines start warm in proofs that do not test the
# cold start.
WARM_ENGINE_ARGUMENTS = {"appraiser": ("--warm",)}


class ProofCase(unittest.IsolatedAsyncioTestCase):
    """Starts trials and checks the recorded events for violations."""

    async def start_trial(
        self, deployment=SMALL_DEPLOYMENT, sample_period_s: float = PERIOD_S, **options
    ) -> Trial:
        """Starts a trial and stops it at the end of the test.

        :param sample_period_s: seconds between two samples of each process.
        :param options: further fields of :class:`~emulator.launch.LaunchConfig`.
        :raises LaunchError: if the deployment does not start.
        """
        # IsolatedAsyncioTestCase turns on debug mode, which slows the proxies and
        # callers that run in this process.
        asyncio.get_running_loop().set_debug(False)
        directory = Path(self.enterContext(tempfile.TemporaryDirectory()))
        config = LaunchConfig(deployment, directory, proxied=True, **options)
        trial = Trial.from_config(config, sample_period_s)
        self.addAsyncCleanup(trial.stop)
        await trial.start()
        return trial

    async def stop_and_find_violations(self, trial: Trial) -> dict[str, list[str]]:
        """Stops a trial and returns the descriptions of the violations by rule."""
        await trial.stop()
        violations: dict[str, list[str]] = {}
        for violation in trial.find_violations():
            violations.setdefault(violation.rule, []).append(str(violation))
        return violations

    async def assert_no_violations(
        self, trial: Trial, ignored_rules: frozenset[str] = KNOWN_RED
    ) -> None:
        """Stops a trial and fails if any rule is violated, not only the one under test.

        :param ignored_rules: rules known to fail, whose violations are only printed.
            Their own proofs pass an empty set.
        """
        violations = await self.stop_and_find_violations(trial)
        for rule in ignored_rules & violations.keys():
            print(
                f"ignored violations of a known failing rule: {violations.pop(rule)[:3]}"
            )
        descriptions = [text for texts in violations.values() for text in texts[:5]]
        self.assertEqual([], descriptions, dict(trial.counts))


class ConstantRateLoad:
    """Sends chats and settlements at fixed rates, whether or not earlier ones ended.

    Use it as an asynchronous context manager. On exit it sends no more and waits for
    the requests in flight.

    :param chats_per_s: 0 sends no chats.
    :param settlements_per_s: 0 sends no settlements.
    """

    def __init__(self, trial: Trial, chats_per_s=20.0, settlements_per_s=10.0) -> None:
        self._trial = trial
        self._rates = (chats_per_s, settlements_per_s)
        self._call_tasks: set[asyncio.Task] = set()
        self._sender_tasks: list[asyncio.Task] = []

    async def __aenter__(self) -> "ConstantRateLoad":
        builders = zip(
            self._rates, (self._build_chat, self._build_settlement), strict=True
        )
        self._sender_tasks = [
            asyncio.create_task(self._send_periodically(1 / rate, build_call))
            for rate, build_call in builders
            if rate
        ]
        return self

    async def __aexit__(self, *_) -> None:
        for task in self._sender_tasks:
            task.cancel()
        await asyncio.gather(*self._call_tasks)

    async def _send_periodically(self, period_s: float, build_call) -> None:
        for number in itertools.count():
            call = self._trial.call(build_call(number))
            self._call_tasks.add(asyncio.create_task(call))
            await asyncio.sleep(period_s)

    def _build_chat(self, number: int):
        text = f"chat {number % 12} " + "word " * 30
        return self._trial.chat(text, WORKSPACE, 24, stream=bool(number % 2))

    def _build_settlement(self, number: int):
        # Each key is sent twice, usually through different routers.
        return self._trial.settlement(f"key-{number // 2}", WORKSPACE)


def agent_of(launch: Launcher, server: str) -> ManagedProcess:
    """Returns the agent of a backend server.

    :param server: name of the backend server.
    :raises StopIteration: if there is none of that name.
    """
    return next(
        backend.agent for backend in launch.backends if backend.server.name == server
    )
