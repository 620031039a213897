"""Helpers for tests of the stand-ins."""

import contextlib
import json

from emulator.standin import StandIn
from heatherswitch.util.http_client import HttpClient


@contextlib.asynccontextmanager
async def serving(app):
    """Serves an app in this process and yields a client for it."""
    stand_in = StandIn(app)
    await stand_in.start()
    client = HttpClient.from_address(stand_in.address)
    try:
        yield client
    finally:
        client.close()
        await stand_in.stop(0)


async def set_faults(client: HttpClient, *faults: dict) -> None:
    """Replaces the fault rules of a stand-in."""
    status, _ = await client.request_json("POST", "/_faults", {"faults": list(faults)})
    assert status == 200


def read_history(path) -> list[dict]:
    """Reads a history file."""
    with open(path) as lines:
        return [json.loads(line) for line in lines]
