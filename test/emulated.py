"""Helpers of tests that run stand-ins in the test process."""

import contextlib
import json

from emulator.standin import StandInServer
from heatherswitch.util.http_client import HttpClient


@contextlib.asynccontextmanager
async def serve_app(app):
    """Serves a stand-in's app in this process and yields a client for it."""
    stand_in = StandInServer(app)
    await stand_in.start()
    client = HttpClient.from_address(stand_in.address)
    try:
        yield client
    finally:
        client.close()
        await stand_in.stop(0)


async def set_faults(client: HttpClient, *faults: dict) -> None:
    """Replaces all fault rules of a stand-in over its control route."""
    status, _ = await client.request_json("POST", "/_faults", {"faults": list(faults)})
    assert status == 200


def read_history_file(path) -> list[dict]:
    """Returns the events of a history file, in the order they were written."""
    with open(path) as lines:
        return [json.loads(line) for line in lines]
