"""Draws faults of a soak of gateways at random and injects them."""

import asyncio
import random
import time
from collections import Counter
from collections.abc import Collection

from emulator.platform.soak_checks import History
from emulator.platform.soak_client_faults import ClientFaults
from emulator.platform.soak_deployment import SoakDeployment
from emulator.platform.soak_entry_faults import EntryFaults
from emulator.platform.soak_extra_faults import ExtraFaults
from emulator.platform.soak_gateway_faults import GatewayFaults
from emulator.platform.soak_server_faults import ServerFaults
from emulator.platform.soak_store_faults import StoreFaults

PREFIX = "fault_"
# Prefix of the kinds that are only injected if they are named.
EXTRA_PREFIX = "extra_fault_"
# Factors of the time between two faults, drawn once in a run. With the highest one, most
# gateways are in touch most of the time.
CALM_FACTORS = (1.0, 2.0, 4.0)
# Share of the runs in which servers write their entries again and again.
HEARTBEAT_SHARE = 0.7
# Most seconds between two versions of the configuration, drawn once in a run. A version
# that a gateway missed is only noticed if the next one comes late.
CHANGE_INTERVALS_S = (3.0, 8.0, 20.0)


class FaultInjector(
    GatewayFaults, ServerFaults, StoreFaults, EntryFaults, ClientFaults, ExtraFaults
):
    """Injects all kinds of faults; each kind is a method whose name has the prefix.

    :ivar counts: number of injected faults by kind.
    :ivar timeline: begin and end of each fault, in seconds of the monotonic clock.
    """

    def __init__(
        self, deployment: SoakDeployment, history: History, rng: random.Random
    ) -> None:
        super().__init__(deployment, history, rng)
        self.counts: Counter[str] = Counter()
        self.timeline: list[tuple[str, float, float]] = []

    def select_kinds(self, extra: Collection[str], only: Collection[str]) -> list[str]:
        """Returns the names of the methods of faults.

        :param extra: kinds that are injected besides the usual ones.
        :param only: if not empty, the kinds that are injected alone.
        :raises ValueError: if there is no such kind.
        """
        usual = [name for name in dir(self) if name.startswith(PREFIX)]
        extras = [name for name in dir(self) if name.startswith(EXTRA_PREFIX)]
        by_kind = {name.split(PREFIX, 1)[1]: name for name in usual + extras}
        for kind in (*extra, *only):
            if kind not in by_kind:
                raise ValueError(f"unknown fault {kind}; known: {sorted(by_kind)}")
        if only:
            return [by_kind[kind] for kind in only]
        return usual + [by_kind[kind] for kind in extra]

    async def run(
        self, seconds: float, extra: Collection[str] = (), only: Collection[str] = ()
    ) -> None:
        """Injects faults for a time and waits until the last one has ended.

        :param extra: see :meth:`select_kinds`, also for ``only``.
        """
        kinds = self.select_kinds(extra, only)
        injected: set[asyncio.Task] = set()
        changes = asyncio.create_task(self._change_configuration())
        self._deployment.heartbeats = self._random.random() < HEARTBEAT_SHARE
        ends_at = time.monotonic() + seconds
        calm = self._random.choice(CALM_FACTORS)
        while time.monotonic() < ends_at:
            await asyncio.sleep(self._random.uniform(0.2, 1.0) * calm)
            injected.add(asyncio.create_task(self._inject(self._random.choice(kinds))))
        changes.cancel()
        await asyncio.gather(*injected)

    async def _inject(self, name: str) -> None:
        kind = name.split(PREFIX, 1)[1]
        self.counts[kind] += 1
        began_at = time.monotonic()
        await getattr(self, name)()
        self.timeline.append((kind, began_at, time.monotonic()))

    async def _change_configuration(self) -> None:
        """Writes a new version of the configuration from time to time."""
        rng = random.Random(self._random.random())
        longest_s = rng.choice(CHANGE_INTERVALS_S)
        while True:
            await asyncio.sleep(rng.uniform(0.2, longest_s))
            self._deployment.write_configuration()
