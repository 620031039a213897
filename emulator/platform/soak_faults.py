"""Draws faults of a soak of gateways at random and injects them."""

import asyncio
import random
import time
from collections import Counter

from emulator.platform.soak_checks import History
from emulator.platform.soak_deployment import SoakDeployment
from emulator.platform.soak_gateway_faults import GatewayFaults
from emulator.platform.soak_server_faults import ServerFaults
from emulator.platform.soak_store_faults import StoreFaults

PREFIX = "fault_"


class FaultInjector(GatewayFaults, ServerFaults, StoreFaults):
    """Injects all kinds of faults; each kind is a method whose name has the prefix.

    :ivar counts: number of injected faults by kind.
    """

    def __init__(
        self, deployment: SoakDeployment, history: History, rng: random.Random
    ) -> None:
        super().__init__(deployment, history, rng)
        self.counts: Counter[str] = Counter()

    async def run(self, seconds: float) -> None:
        """Injects faults for a time and waits until the last one has ended."""
        injected: set[asyncio.Task] = set()
        ends_at = time.monotonic() + seconds
        kinds = [name for name in dir(self) if name.startswith(PREFIX)]
        while time.monotonic() < ends_at:
            await asyncio.sleep(self._random.uniform(0.2, 1.0))
            kind = self._random.choice(kinds)
            self.counts[kind.removeprefix(PREFIX)] += 1
            injected.add(asyncio.create_task(getattr(self, kind)()))
        await asyncio.gather(*injected)
