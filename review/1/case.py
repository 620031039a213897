"""An entry of another writer under ``servers/`` ends the gateways' sight of the store."""

import asyncio
from pathlib import Path

from review.standins.clients import Answer, Client
from review.standins.deployment import (
    BOUNDS,
    HOST,
    KEY,
    Deployment,
    Record,
    manifest,
    route,
    run_case,
    trouble,
)
from review.standins.workers import Connection, Request, Worker, answer

# An entry from another writer: the number of slots is no whole number.
ENTRY = (
    b'{"service":"ledger","address":"127.0.0.1:9","zone":"a","version":"v1",'
    b'"slots":1e999,"state":"ready","cold_remaining_ms":0,"seq":1,"born":1000}'
)
CALLS = 20
# Seconds after a manifest in which gateways may still handle requests by an older one.
APPLY_S = BOUNDS["config_apply_ms"] / 1000
MARGIN_S = 1.0


async def respond(worker: Worker, request: Request, connection: Connection) -> bool:
    """Answers as a sound worker."""
    await asyncio.sleep(0.02)
    return await answer(worker, request, connection, request.id.encode())


async def case(deployment: Deployment, record: Record) -> bool:
    """Moves a route to another service, after another writer has written an entry."""
    old = [Worker(f"i-a{n}", "ledger", respond) for n in range(2)]
    new = [Worker(f"i-b{n}", "ledger-2", respond) for n in range(2)]
    services = ["ledger", "ledger-2"]
    await deployment.start(manifest(1, _routes("ledger"), services), old + new, 2)
    clients = [Client(g.address, HOST, KEY) for g in deployment.gateways]
    await _send(clients, record, "before")
    if trouble():
        deployment.store.put("servers/i-x", ENTRY)
        record.note("another writer has written servers/i-x")
    await asyncio.sleep(1.0)
    deployment.store.put("op/config", manifest(7, _routes("ledger-2"), services))
    record.note("acknowledged: manifest 7 moves both routes to ledger-2")
    await asyncio.sleep(APPLY_S + MARGIN_S)
    ran_before = {id(r) for w in old for r in w.ran}
    await _send(clients, record, "after")
    stale = [r.id for w in old for r in w.ran if id(r) not in ran_before]
    record.note(f"run by the old service of manifest 1: {len(stale)} of {2 * CALLS}")
    await asyncio.sleep(5.0)
    late = await _send(clients, record, "late")
    served = sum(a.status == 200 for a in late)
    record.note(f"served 8 s after the manifest: {served} of {len(late)}")
    for gateway in deployment.gateways:
        record.note(f"{gateway.name}: ready {await gateway.ready()}")
    return bool(stale)


def _routes(service: str) -> list[dict]:
    return [
        route("/open/", "safe", service, allow_anonymous=True),
        route("/lookup/", "safe", service),
    ]


async def _send(clients: list[Client], record: Record, name: str) -> list[Answer]:
    """Sends requests with and without a key to both gateways in turn."""
    answers = []
    for number in range(CALLS):
        for path in ("/open/1", "/lookup/1"):
            attempt_id = f"{name}-{path[1:2]}{number}"
            client = clients[number % len(clients)]
            got = await client.call(attempt_id, "GET", path)
            answers.append(got)
            record.note(f"{attempt_id} {path}: status {got.status} {got.error}")
    return answers


if __name__ == "__main__":
    run_case(Path(__file__).parent, case)
