"""Measures claims and store writes of saturated claim partitions."""

import asyncio
import tempfile
import time
from pathlib import Path

from emulator.processes import ManagedProcess
from heatherswitch.agent.journal import ClaimJournal, JournalConfig
from heatherswitch.fleet.claims import Claimed
from heatherswitch.fleet.config import FleetConfig
from heatherswitch.statecore.store import StoreClient
from heatherswitch.util.http_client import HttpClient

# Seconds between SIGTERM and SIGKILL.
STOP_S = 2.0


async def _count_store_writes(control: HttpClient) -> int:
    _, stats = await control.request_json("GET", "/_stats")
    return stats["total"]["kv/txn"]


async def measure_claims(
    partitions: int, callers: int, seconds: float
) -> dict[str, float]:
    """Measures how fast a journal accepts claims, with the emulated store.

    :param callers: concurrent callers per partition, each with one claim at a time.
    :param seconds: length of the measurement.
    :returns: rates per second and wait times in milliseconds, by name.
    """
    with tempfile.TemporaryDirectory() as directory:
        arguments = ["--port", "0"]
        store = ManagedProcess("store", "emulator.store", arguments, Path(directory))
        store.start()
        try:
            addresses = await store.wait_ready()
            control = HttpClient.from_address(addresses["control"])
            client = StoreClient.from_addresses([addresses["address"]], 2.0)
            journal = ClaimJournal.from_config(
                JournalConfig("ledger", "a", 1), client, lambda: ["a"]
            )
            journal.on_config(FleetConfig())
            for number in range(partitions):
                await journal.claim(number, "w", "first", "body", "first")
            figures = await _measure_saturated(
                journal, control, partitions, callers, seconds
            )
            await journal.close()
            client.close()
            control.close()
            return figures
        finally:
            await store.stop(STOP_S)


async def _measure_saturated(journal, control, partitions, callers, seconds) -> dict:
    end = time.monotonic() + seconds
    waits: list[float] = []

    async def claim(partition: int, caller: int) -> None:
        number = 0
        while time.monotonic() < end:
            number += 1
            key = f"{caller}-{number}"
            started = time.monotonic()
            result = await journal.claim(partition, "w", key, "body", key)
            if isinstance(result, Claimed):
                waits.append(time.monotonic() - started)

    before, started = await _count_store_writes(control), time.monotonic()
    await asyncio.gather(
        *(claim(p, c) for p in range(partitions) for c in range(callers))
    )
    elapsed = time.monotonic() - started
    waits.sort()
    return {
        "partitions": partitions,
        "writes_per_s": (await _count_store_writes(control) - before) / elapsed,
        "claims_per_s": len(waits) / elapsed,
        "claim_wait_ms_p50": waits[len(waits) // 2] * 1000,
        "claim_wait_ms_p99": waits[len(waits) * 99 // 100] * 1000,
    }
