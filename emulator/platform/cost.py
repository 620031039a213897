"""What a gateway adds: latency against a direct call, processor time a request and event.

``python -m emulator.platform.cost`` runs one gateway as a process, a plain server and a
model engine, and prints one JSON line for each kind of request.
"""

import argparse
import asyncio
import json
import time
from pathlib import Path

from hdrh.histogram import HdrHistogram

from emulator.platform.deployment import API_KEY, HOST, configuration
from emulator.platform.process import GatewayProcess, work_folder
from emulator.platform.server import Behaviour, PlatformServer
from emulator.platform.store import PlatformStoreServer
from heatherswitch.util.http_client import HttpClient

# Events of a measured stream.
EVENTS = 50
# Latencies are recorded in microseconds up to ten seconds with three digits.
MAX_US = 10_000_000
DIGITS = 3
# Loopback group of the gateway's address; the soak uses others.
GROUP = 250


async def _calls(address: str, path: str, server_id: str, count: int) -> HdrHistogram:
    """Sends requests one after the other over one connection."""
    client = HttpClient.from_address(address)
    latencies = HdrHistogram(1, MAX_US, DIGITS)
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
    """Returns one result for each kind of request."""
    store = PlatformStoreServer()
    await store.start()
    plain = PlatformServer("l1")
    engine = PlatformServer("e1", Behaviour(events=EVENTS))
    results = []
    with work_folder() as folder:
        store.put("op/config", configuration())
        for server, service in ((plain, "ledger"), (engine, "appraiser")):
            await server.start()
            store.put(f"servers/{server.id}", server.entry(service))
        gateway = GatewayProcess(2, store.address, Path(folder), GROUP)
        await gateway.start()
        while not await gateway.is_ready():
            await asyncio.sleep(0.05)
        for kind, path, server in (
            ("plain", "/lookup/1", plain),
            ("stream", "/draft/1", engine),
        ):
            await _calls(gateway.address, path, "warm", 20)
            direct = await _calls(server.address, path, server.id, count)
            before_s = gateway.cpu_s()
            through = await _calls(gateway.address, path, server.id, count)
            cpu_ms = (gateway.cpu_s() - before_s) * 1000 / count
            result = {
                "kind": kind,
                "requests": count,
                "direct_ms": _percentiles_ms(direct),
                "through_ms": _percentiles_ms(through),
                "cpu_ms_a_request": round(cpu_ms, 3),
            }
            results.append(result)
        per_event = results[1]["cpu_ms_a_request"] - results[0]["cpu_ms_a_request"]
        results[1]["cpu_ms_an_event"] = round(per_event / EVENTS, 4)
        await gateway.kill()
    for server in (plain, engine):
        await server.stop()
    await store.stop()
    return results


def main() -> None:
    """Measures and prints."""
    parser = argparse.ArgumentParser(prog="cost", description=__doc__)
    parser.add_argument("--requests", type=int, default=500)
    options = parser.parse_args()
    for result in asyncio.run(measure(options.requests)):
        print(json.dumps(result))


if __name__ == "__main__":
    main()
