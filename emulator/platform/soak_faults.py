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
# Factors of the time between two faults, drawn once in a run. With the highest one, most
# gateways are in touch most of the time.
CALM_FACTORS = (1.0, 2.0, 4.0)
# Most seconds between two versions of the configuration.
MAX_CHANGE_INTERVAL_S = 4.0


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
        changes = asyncio.create_task(self._change_configuration())
        ends_at = time.monotonic() + seconds
        calm = self._random.choice(CALM_FACTORS)
        kinds = [name for name in dir(self) if name.startswith(PREFIX)]
        while time.monotonic() < ends_at:
            await asyncio.sleep(self._random.uniform(0.2, 1.0) * calm)
            kind = self._random.choice(kinds)
            self.counts[kind.removeprefix(PREFIX)] += 1
            injected.add(asyncio.create_task(getattr(self, kind)()))
        changes.cancel()
        await asyncio.gather(*injected)

    async def _change_configuration(self) -> None:
        """Writes a new version of the configuration from time to time."""
        rng = random.Random(self._random.random())
        while True:
            await asyncio.sleep(rng.uniform(0.2, MAX_CHANGE_INTERVAL_S))
            self._deployment.write_configuration()
