"""Faults of the store in a soak, of the links to it, and changes of its entries."""

import time

from emulator.platform.soak_fault_base import FaultBase


class StoreFaults(FaultBase):
    """Faults of the store and of the links to it, and changes of the configuration."""

    async def fault_store_link(self) -> None:
        link = self._choose_target(self._deployment.store_links)
        if link is not None:
            name = self._deployment.gateway_of(link).name
            with self._recorded(name, self._history.store_faults):
                await self._apply_link_fault(link, max_duration_s=7.0)

    async def fault_store(self) -> None:
        """Lets the store refuse, hang, be slow, report no changes or lose responses."""
        name, value, normal = self._random.choice(
            (
                ("refuse", 503, 0),
                ("refuse", 429, 0),
                ("silent", True, False),
                ("delay_s", 0.3, 0.0),
                ("deaf", True, False),
                ("lose_writes", 3, 0),
            )
        )
        store = self._choose_target([self._deployment.store])
        if store is None:
            return

        def restore() -> None:
            setattr(store, name, normal)
            if name == "deaf":
                store.discard_history()

        max_duration_s = 1.0 if name == "deaf" else 6.0
        with self._recorded("", self._history.store_faults):
            await self._apply_fault(
                store, lambda: setattr(store, name, value), restore, max_duration_s
            )

    async def fault_configuration(self) -> None:
        self._deployment.write_configuration()

    async def fault_key_withdrawn(self) -> None:
        if len(self._deployment.configuration.keys) > 1:
            key = self._deployment.configuration.withdraw_key()
            self._deployment.write_configuration()
            self._history.revoked_at[key] = time.monotonic()

    async def fault_zone_out(self) -> None:
        # Zone b is empty. All servers of the soak are in zone a, without which nothing
        # could be served.
        await self._apply_fault(
            self._choose_target([self._deployment.store]),
            lambda: self._deployment.store.put("op/evacuate/b", {}),
            lambda: self._deployment.store.delete("op/evacuate/b"),
        )
