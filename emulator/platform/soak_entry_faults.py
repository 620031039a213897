"""Changes of the store's entries in a soak: configurations, and odd entries."""

import asyncio
import contextlib
import json
import time

from emulator.platform.soak_fault_base import FaultBase

# Throughput of the links over which large configurations are sent, in bytes per second.
# Only the highest one counts as sound.
LINK_RATES = (200_000, 600_000, 1_250_000)
SOUND_LINK_RATE = 1_250_000
# Beginnings of keys under which another writer leaves odd entries.
ODD_PREFIXES = (
    "servers/",
    "servers/",
    "servers/",
    "op/rollout/",
    "op/evacuate/",
    "status/rollout/",
    "heatherswitch/routers/",
    "other/",
)
# Values of odd entries that are no object.
ODD_VALUES = (
    b"",
    b"\xff\xfe\x00{}",
    b"null",
    b"[1, 2",
    b"1e999",
    b"-" + b"9" * 5000,
    b"[" * 20_000,
    b'{"a":' * 20_000,
)
# Fields that replace those of a sound entry of a server, as JSON.
ODD_FIELDS = (
    (b"slots", b"1e999"),
    (b"born", b"-1e999"),
    (b"cold_remaining_ms", b"9" * 400),
    (b"cold_remaining_ms", b"NaN"),
    (b"seq", b"[]"),
    (b"address", b'"127.0.0.1:99999"'),
    (b"address", b'"127.0.0.1:-1"'),
    (b"address", b'"127.0.0.1:0"'),
    (b"address", b'"127.0.0.1:\\u0663"'),
    (b"address", b'":"'),
    (b"address", b"[" * 500 + b"]" * 500),
    (b"service", b"null"),
    (b"service", b'"\\ud800"'),
    (b"zone", b"{}"),
    (b"version", b"7"),
    (b"state", b'"resting"'),
    (b"state", b"[]"),
)


class EntryFaults(FaultBase):
    """Changes of the store's entries, by operators and by other writers."""

    async def fault_configuration(self) -> None:
        self._deployment.write_configuration()

    async def fault_key_withdrawn(self) -> None:
        if len(self._deployment.configuration.keys) > 1:
            key = self._deployment.configuration.withdraw_key()
            self._deployment.write_configuration()
            self._history.revoked_at[key] = time.monotonic()

    async def fault_odd_entries(self) -> None:
        """Another writer leaves entries that name no server.

        Some share an answer of the store with a new configuration.
        """
        keys = []
        for _ in range(self._random.randint(1, 4)):
            prefix = self._random.choice(ODD_PREFIXES)
            key = f"{prefix}odd-{self._random.randrange(1000)}"
            self._deployment.store.put(key, self._draw_odd_value())
            keys.append(key)
        if self._random.random() < 0.5:
            self._deployment.write_configuration()
        await asyncio.sleep(self._random.uniform(0.0, 6.0))
        for key in keys:
            self._deployment.store.delete(key)

    def _draw_odd_value(self) -> bytes:
        if self._random.random() < 0.4:
            return self._random.choice(ODD_VALUES)
        server, link, service = self._random.choice(self._deployment.servers)
        entry = server.store_entry(service, address=link.address)
        name, value = self._random.choice(ODD_FIELDS)
        entry.pop(name.decode())
        return json.dumps(entry).encode()[:-1] + b', "%s": %s}' % (name, value)

    async def fault_large_configurations(self) -> None:
        """Configurations with hundreds of routes come over links with a low rate."""
        links = self._deployment.store_links
        if not self._faulty_ids.isdisjoint(map(id, links)):
            return
        configuration = self._deployment.configuration
        with self._reserved(*links), contextlib.ExitStack() as stack:
            for link in links:
                rate = self._random.choice(LINK_RATES)
                if rate < SOUND_LINK_RATE:
                    name = self._deployment.gateway_of(link).name
                    faults = self._history.store_faults
                    stack.enter_context(self._recorded(name, faults))
                link.set_faults({"to_client": {"bytes_per_s": rate}})
            configuration.padding_routes = self._random.randint(100, 400)
            configuration.padding_bytes = self._random.choice((0, 50_000, 200_000))
            for _ in range(self._random.randint(1, 6)):
                self._deployment.write_configuration()
                await asyncio.sleep(self._random.uniform(0.5, 2.0))
            configuration.padding_routes = configuration.padding_bytes = 0
            for link in links:
                link.set_faults({})
