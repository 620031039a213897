"""Faults of the store in a soak, of the links to it, and changes that come meanwhile."""

import asyncio

from emulator.platform.soak_fault_base import FaultBase

# Most seconds for which watches hear nothing. A gateway cannot notice it before the
# history is dropped, but must not accept a withdrawn key after 5 s.
MAX_DEAF_S = 3.0
# Most seconds for which changes are lost when the store is restored from a backup, for
# which it is away, and until operators and servers have written theirs again. A key that
# is withdrawn just after the backup is written again within the bound of 5 s.
MAX_LOST_S = 2.0
MAX_AWAY_S = 1.0
MAX_REWRITE_S = 1.0
# Seconds after which the entry of a server that has gone expires in a restored store.
MAX_EXPIRY_S = 2.5


class StoreFaults(FaultBase):
    """Faults of the store and of the links to it."""

    async def fault_store_link(self) -> None:
        link = self._choose_target(self._deployment.store_links)
        if link is not None:
            name = self._deployment.gateway_of(link).name
            with self._recorded(name, self._history.store_faults):
                await self._apply_link_fault(link, max_duration_s=7.0)

    async def fault_store(self) -> None:
        """Lets the store refuse, hang, be slow or lose responses."""
        name, value, normal = self._random.choice(
            (
                ("refuse", 503, 0),
                ("refuse", 429, 0),
                ("silent", True, False),
                ("delay_s", 0.3, 0.0),
                ("lose_writes", 3, 0),
            )
        )
        store = self._choose_target([self._deployment.store])
        if store is None:
            return
        with self._recorded("", self._history.store_faults):
            await self._apply_fault(
                store,
                lambda: setattr(store, name, value),
                lambda: setattr(store, name, normal),
                max_duration_s=6.0,
            )

    async def fault_watches_deaf(self) -> None:
        """Watches hear nothing while configurations change.

        Mostly the history is dropped and waiting watches are cut at the end.
        """
        store = self._choose_target([self._deployment.store])
        if store is None:
            return
        with self._reserved(store), self._recorded("", self._history.store_faults):
            store.deaf_at_request = self._random.random() < 0.5
            store.deaf = True
            for _ in range(self._random.randint(1, 3)):
                await asyncio.sleep(self._random.uniform(0.0, MAX_DEAF_S / 10))
                self._deployment.write_configuration()
            # Long enough for watches to begin and end after the last change.
            await asyncio.sleep(self._random.uniform(0.3, MAX_DEAF_S * 0.7))
            if self._random.random() < 0.7:
                store.discard_history()
            if self._random.random() < 0.7:
                store.cut_watches()
            store.deaf = False

    async def fault_entries_lapse(self) -> None:
        """The store is away, and leases and entries of servers lapse meanwhile.

        The servers write their entries again soon after the store is back.
        """
        store = self._choose_target([self._deployment.store])
        if store is None:
            return
        servers = self._deployment.servers
        free = [s for s in servers if id(s) not in self._faulty_ids]
        lapsed = self._random.sample(free, self._random.randint(0, len(free)))
        name, value, normal = self._random.choice(
            (("refuse", 503, 0), ("silent", True, False))
        )
        with self._reserved(store, *lapsed):
            with self._recorded("", self._history.store_faults):
                setattr(store, name, value)
                await asyncio.sleep(self._random.uniform(0.3, 4.0))
                store.lapse_leases()
                for server, _, _ in lapsed:
                    self._deployment.withdraw_server(server)
                await asyncio.sleep(self._random.uniform(0.0, 2.0))
                setattr(store, name, normal)
            for server, link, service in lapsed:
                # All are back within two seconds.
                await asyncio.sleep(self._random.uniform(0.0, 1.8 / len(lapsed)))
                self._deployment.publish_server(server, link, service)

    async def fault_store_restored(self) -> None:
        """The store is away and restored from a backup, at times twice in a row."""
        store = self._choose_target([self._deployment.store])
        if store is None:
            return
        with self._reserved(store):
            for _ in range(self._random.choice((1, 1, 2))):
                backup = store.back_up()
                await asyncio.sleep(self._random.uniform(0.0, MAX_LOST_S))
                with self._recorded("", self._history.store_faults):
                    await store.restore(
                        backup,
                        self._random.uniform(0.0, MAX_AWAY_S),
                        keeps_history=self._random.random() < 0.7,
                    )
                    await asyncio.sleep(self._random.uniform(0.0, MAX_REWRITE_S))
                    self._deployment.write_again()
                await asyncio.sleep(self._random.uniform(0.0, MAX_EXPIRY_S))
                self._deployment.withdraw_lost_servers()

    async def fault_zone_out(self) -> None:
        # Zone b is empty. All servers of the soak are in zone a, without which nothing
        # could be served.
        await self._apply_fault(
            self._choose_target([self._deployment.store]),
            lambda: self._deployment.store.put("op/evacuate/b", {}),
            lambda: self._deployment.store.delete("op/evacuate/b"),
        )
