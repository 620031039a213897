"""What all kinds of faults of a soak of gateways share."""

import asyncio
import contextlib
import random
import time

from emulator.platform.process import GatewayProcess
from emulator.platform.soak_checks import History, Interval
from emulator.platform.soak_deployment import SoakDeployment
from emulator.proxy import FaultProxy


class FaultBase:
    """Chooses targets and puts faults in force for a random time.

    :param history: gets the impairments, with which the checks excuse failures.
    """

    def __init__(
        self, deployment: SoakDeployment, history: History, rng: random.Random
    ) -> None:
        self._deployment = deployment
        self._history = history
        self._random = rng
        self._faulty_ids: set[object] = set()

    def _choose_target(self, targets: list):
        """Returns a random target without a fault in force; None if there is none."""
        free = [target for target in targets if id(target) not in self._faulty_ids]
        return self._random.choice(free) if free else None

    @contextlib.contextmanager
    def _reserved(self, *targets):
        """Keeps other faults away from targets."""
        self._faulty_ids.update(map(id, targets))
        yield
        self._faulty_ids.difference_update(map(id, targets))

    @contextlib.contextmanager
    def _disturbance(self, gateway: GatewayProcess):
        """Records that a gateway is stopped or paused."""
        spans, started_at = self._history.disturbed[gateway.name], time.monotonic()
        spans.append((started_at, float("inf")))
        yield
        spans.remove((started_at, float("inf")))
        spans.append((started_at, time.monotonic()))

    async def _apply_fault(
        self,
        target,
        start_fault,
        end_fault,
        max_duration_s: float = 3.0,
        impaired: str = "",
    ) -> None:
        """Puts a fault in force for a random time.

        :param impaired: name of the gateway or id of the server that is impaired, so
            that the requests that it handles may fail.
        """
        if target is None:
            return
        duration_s = self._random.uniform(0.3, max_duration_s)
        with (
            self._reserved(target),
            self._recorded(impaired, self._history.impairments),
        ):
            start_fault()
            await asyncio.sleep(duration_s)
            end_fault()

    @contextlib.contextmanager
    def _recorded(self, name: str, intervals: list[Interval]):
        """Records a span of time in the history."""
        interval = Interval(name, time.monotonic())
        intervals.append(interval)
        yield
        interval.ends_at = time.monotonic()

    async def _apply_link_fault(
        self, link: FaultProxy, max_duration_s: float = 3.0, impaired: str = ""
    ) -> None:
        fault = self._random.choice(
            (
                {"delay_s": 0.2},
                {"cut": True},
                {"drop_existing": True},
                {"drop_all": True},
                {"lose_answers": True},
            )
        )
        direction = self._random.choice(("to_target", "to_client"))
        await self._apply_fault(
            link,
            lambda: link.set_faults({direction: fault}),
            lambda: link.set_faults({}),
            max_duration_s,
            impaired,
        )
