"""Faults of gateway processes in a soak: kills, planned stops, pauses, signals."""

import asyncio
import signal
import time

from emulator.platform.process import GRACE_S, GatewayProcess
from emulator.platform.soak_checks import Interval
from emulator.platform.soak_fault_base import FaultBase


class GatewayFaults(FaultBase):
    """Faults of gateway processes."""

    async def _restart_gateway(self, end_process) -> None:
        gateway = self._choose_target(self._deployment.gateways)
        if gateway is not None:
            await self._restart_free_gateway(gateway, end_process)

    async def _restart_free_gateway(
        self, gateway: GatewayProcess, end_process=None
    ) -> None:
        end_process = end_process or self._kill_gateway
        with self._reserved(gateway), self._disturbance(gateway):
            await end_process(gateway)
            await asyncio.sleep(self._random.uniform(0.0, 1.0))
            await gateway.start()

    async def _kill_gateway(self, gateway: GatewayProcess) -> None:
        interval = Interval(gateway.name, time.monotonic())
        self._history.impairments.append(interval)
        await gateway.kill()
        interval.ends_at = time.monotonic()

    async def _stop_gateway(self, gateway: GatewayProcess) -> None:
        """Sends SIGTERM, at times followed by more signals, and waits for the end."""
        interval = Interval(gateway.name, time.monotonic())
        self._history.stops.append(interval)
        self._deployment.stopping.append(gateway)
        stop = asyncio.create_task(gateway.stop())
        signals = (signal.SIGHUP, signal.SIGTERM)
        for number in self._random.choices(signals, k=self._random.randrange(3)):
            await asyncio.sleep(self._random.uniform(0.0, 1.0))
            gateway.signal(number)
        exit_code = await stop
        self._deployment.stopping.remove(gateway)
        interval.ends_at = time.monotonic()
        duration_s = interval.ends_at - interval.begins_at
        if exit_code != 0 or duration_s > GRACE_S:
            self._history.failed_stops.append(
                f"{gateway.name} ended with {exit_code} after {duration_s:.2f} s"
            )

    async def fault_gateway_killed(self) -> None:
        await self._restart_gateway(self._kill_gateway)

    async def fault_gateway_stopped(self) -> None:
        await self._restart_gateway(self._stop_gateway)

    async def fault_gateways_stopped_in_series(self) -> None:
        """Restarts the gateways one after another while configurations change."""
        restarts = []
        for _ in self._deployment.gateways:
            restart = self._restart_gateway(self._stop_gateway)
            restarts.append(asyncio.create_task(restart))
            await asyncio.sleep(self._random.uniform(0.0, 2.5))
            self._deployment.write_configuration()
            await self.fault_gateway_reloads()
        await asyncio.gather(*restarts)

    async def fault_gateways_killed(self) -> None:
        """Kills all gateways at once and starts them while the store is slow."""
        store = self._deployment.store
        gateways = [
            g for g in self._deployment.gateways if id(g) not in self._faulty_ids
        ]
        if id(store) in self._faulty_ids or not gateways:
            return
        with (
            self._reserved(store),
            self._recorded("", self._history.store_faults),
        ):
            restarts = [
                asyncio.create_task(self._restart_free_gateway(gateway))
                for gateway in gateways
            ]
            store.delay_s = self._random.uniform(0.1, 0.4)
            await asyncio.gather(*restarts)
            await asyncio.sleep(self._random.uniform(0.0, 3.0))
            store.delay_s = 0.0

    async def fault_gateway_paused(self) -> None:
        gateway = self._choose_target(self._deployment.gateways)
        if gateway is None:
            return
        with self._disturbance(gateway):
            await self._apply_fault(
                gateway,
                lambda: gateway.signal(signal.SIGSTOP),
                lambda: gateway.signal(signal.SIGCONT),
                max_duration_s=7.0,
                impaired=gateway.name,
            )

    async def fault_gateway_reloads(self) -> None:
        gateway = self._choose_target(self._deployment.gateways)
        if gateway is not None:
            gateway.signal(signal.SIGHUP)
