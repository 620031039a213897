"""Measures how much memory one large body takes in a gateway, in multiples of its size.

``python -m emulator.platform.body_memory`` runs one gateway as a process and a server that
takes a second for each request. It prints one JSON line for each form of body.
"""

import argparse
import asyncio
import json
from pathlib import Path

from emulator.platform.client_crowds import peak_bytes
from emulator.platform.deployment import API_KEY, HOST, build_configuration
from emulator.platform.process import GatewayProcess, temporary_directory
from emulator.platform.server import Behaviour, PlatformServer
from emulator.platform.store import PlatformStoreServer

# Third part of the gateway's loopback address.
ADDRESS_GROUP = 251
MEMORY_MB = 2000
WORK_S = 1.0
PART = b"x" * 65536


async def _send(address: str, size: int, chunked: bool) -> bytes:
    """Sends one body and returns the status line of the response."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    framing = "Transfer-Encoding: chunked" if chunked else f"Content-Length: {size}"
    head = (
        f"POST /settle/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: 01\r\n"
        f"Authorization: Bearer {API_KEY}\r\n{framing}\r\n\r\n"
    )
    writer.write(head.encode())
    for _ in range(size // len(PART)):
        writer.write(b"%x\r\n%s\r\n" % (len(PART), PART) if chunked else PART)
        await writer.drain()
    if chunked:
        writer.write(b"0\r\n\r\n")
    status = await reader.readline()
    writer.close()
    return status.strip()


async def measure(size: int, chunked: bool) -> dict:
    """Sends one body through a new gateway.

    :param size: bytes of the body, a multiple of 64 KiB.
    :returns: the status line, and the growth of the peak memory by the body's size.
    """
    store = PlatformStoreServer()
    await store.start()
    server = PlatformServer("l1", Behaviour(delay_s=WORK_S))
    await server.start()
    limits = build_configuration()["limits"] | {"max_body_bytes": size}
    store.put("op/config", build_configuration(limits=limits))
    store.put("servers/l1", server.store_entry("ledger"))
    with temporary_directory() as directory:
        memory = {"memory_mb": MEMORY_MB}
        gateway = GatewayProcess(
            2, store.address, Path(directory), ADDRESS_GROUP, memory
        )
        await gateway.start()
        while not await gateway.is_ready():
            await asyncio.sleep(0.05)
        before = peak_bytes(gateway.pid)
        status = await _send(gateway.address, size, chunked)
        grown = peak_bytes(gateway.pid) - before
        await gateway.kill()
    await server.stop()
    await store.stop()
    return {
        "chunked": chunked,
        "megabytes": size >> 20,
        "status": status.decode(),
        "peak_in_bodies": round(grown / size, 2),
    }


def main() -> None:
    """Runs the measurement and prints one JSON line for each result."""
    parser = argparse.ArgumentParser(prog="body_memory", description=__doc__)
    parser.add_argument("--megabytes", type=int, default=32)
    options = parser.parse_args()
    for chunked in (False, True):
        result = asyncio.run(measure(options.megabytes << 20, chunked))
        print(json.dumps(result))


if __name__ == "__main__":
    main()
