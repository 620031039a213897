"""Measures the overhead of a gateway: added latency and CPU time.

``python -m emulator.platform.cost`` runs one gateway as a process, a plain server and a
model engine. It sends the same requests directly and through the gateway, and prints one
JSON line for each kind of request.
"""

import argparse
import asyncio
import json
import time
from pathlib import Path

from hdrh.histogram import HdrHistogram

from emulator.platform.deployment import API_KEY, HOST, build_configuration
from emulator.platform.process import GatewayProcess, temporary_directory
from emulator.platform.server import Behaviour, PlatformServer
from emulator.platform.store import PlatformStoreServer
from heatherswitch.util.http_client import HttpClient

# Events in each measured stream.
STREAM_EVENTS = 50
# Latencies are recorded in microseconds, up to ten seconds, with three significant digits.
MAX_LATENCY_US = 10_000_000
SIGNIFICANT_DIGITS = 3
# Third part of the gateway's loopback address; differs from those that the soak uses.
ADDRESS_GROUP = 250


async def _measure_latencies(
    address: str, path: str, server_id: str, count: int
) -> HdrHistogram:
    """Sends requests one after the other and returns their latencies in microseconds.

    :param server_id: the first part of the request ids.
    :param count: number of requests.
    """
    client = HttpClient.from_address(address)
    latencies = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for number in range(count):
        headers = [
            ("Host", HOST),
            ("X-Attempt-Id", f"{server_id}-{path[1]}-{number}"),
            ("X-Deadline-Ms", "3000"),
            ("Authorization", f"Bearer {API_KEY}"),
            ("X-Prompt-Prefix", "a1:100,b2:50"),
        ]
        started = time.perf_counter()
        response = await client.request("GET", path, headers)
        await response.read()
        latencies.record_value(int((time.perf_counter() - started) * 1e6))
    client.close()
    return latencies


def _percentiles_ms(latencies: HdrHistogram) -> dict[str, float]:
    return {
        f"p{p}": round(latencies.get_value_at_percentile(p) / 1000, 3) for p in (50, 95)
    }


async def measure(count: int) -> list[dict]:
    """Measures plain requests and streams, directly and through a gateway.

    :param count: number of requests of each kind and way.
    :returns: one result for each kind, with latencies and CPU time in milliseconds.
    """
    store = PlatformStoreServer()
    await store.start()
    plain = PlatformServer("l1")
    engine = PlatformServer("e1", Behaviour(events=STREAM_EVENTS))
    results = []
    with temporary_directory() as directory:
        store.put("op/config", build_configuration())
        for server, service in ((plain, "ledger"), (engine, "appraiser")):
            await server.start()
            store.put(f"servers/{server.id}", server.store_entry(service))
        gateway = GatewayProcess(2, store.address, Path(directory), ADDRESS_GROUP)
        await gateway.start()
        while not await gateway.is_ready():
            await asyncio.sleep(0.05)
        for kind, path, server in (
            ("plain", "/lookup/1", plain),
            ("stream", "/draft/1", engine),
        ):
            await _measure_latencies(gateway.address, path, "warm", 20)
            direct = await _measure_latencies(server.address, path, server.id, count)
            cpu_before_s = gateway.cpu_s()
            proxied = await _measure_latencies(gateway.address, path, server.id, count)
            cpu_ms = (gateway.cpu_s() - cpu_before_s) * 1000 / count
            result = {
                "kind": kind,
                "requests": count,
                "direct_ms": _percentiles_ms(direct),
                "through_ms": _percentiles_ms(proxied),
                "cpu_ms_a_request": round(cpu_ms, 3),
            }
            results.append(result)
        per_event = results[1]["cpu_ms_a_request"] - results[0]["cpu_ms_a_request"]
        results[1]["cpu_ms_an_event"] = round(per_event / STREAM_EVENTS, 4)
        await gateway.kill()
    for server in (plain, engine):
        await server.stop()
    await store.stop()
    return results


def main() -> None:
    """Runs the measurement and prints one JSON line for each result."""
    parser = argparse.ArgumentParser(prog="cost", description=__doc__)
    parser.add_argument("--requests", type=int, default=500)
    options = parser.parse_args()
    for result in asyncio.run(measure(options.requests)):
        print(json.dumps(result))


if __name__ == "__main__":
    main()
