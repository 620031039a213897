"""A key is taken away after a drill of the store; the gateways must stop taking it."""

import asyncio
import os
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common3"))

from deployment import Consumers, Gateway, Record, manifest, route
from standins import Store, Worker

FOLDER = Path(__file__).resolve().parent
REVOKE_S = 5.0
# Age of the copy from which the store comes back, and how long it is away, in seconds.
COPY_AGE_S = 5.0
AWAY_S = 1.0
KEPT, REVOKED = "key-kept", "key-revoked"
SERVICES = [{"name": "ledger", "max_connections": 110, "health_path": "/healthz"}]
ROUTES = [route("/lookup/", "safe", "ledger"), route("/tag/", "safe", "ledger")]


def build_manifest(version, keys):
    """Returns a manifest; each version has another timeout on one of its routes."""
    routes = [ROUTES[0], ROUTES[1] | {"timeout_ms": 2000 + 10 * version}]
    return manifest(version, routes, SERVICES, {"grower": keys})


async def send_all(gateways, consumers):
    """Sends requests with both keys at each gateway until it is cancelled."""
    tasks = set()
    while True:
        for gateway in gateways:
            for key in (KEPT, REVOKED):
                sending = consumers.send(gateway, "GET", "/lookup/1", key)
                task = asyncio.create_task(sending)
                tasks.add(task)
                task.add_done_callback(tasks.discard)
        await asyncio.sleep(0.1)


async def play(record, directory, trouble):
    """Plays the case; returns the exit code."""
    store = Store()
    await store.start()
    store.put("op/config", build_manifest(1, [KEPT, REVOKED]))
    workers = [Worker(store, f"i-ledger-{n}", "ledger") for n in range(3)]
    for worker in workers:
        await worker.start()
    gateways = [Gateway(n, store.address, directory) for n in (1, 2)]
    consumers = Consumers()
    sending = None
    try:
        for gateway in gateways:
            await gateway.start()
        for gateway in gateways:
            await gateway.wait_ready()
        record.note("both gateways are ready")
        await asyncio.sleep(7.0)
        sending = asyncio.create_task(send_all(gateways, consumers))
        await asyncio.sleep(2.0)
        saved = store.snapshot()
        record.note(f"copy of the store at revision {store.revision}")
        for version in (3, 4, 6, 7):
            await asyncio.sleep(COPY_AGE_S / 5)
            revision = store.put("op/config", build_manifest(version, [KEPT, REVOKED]))
            record.note(f"manifest {version} acknowledged at revision {revision}")
        await asyncio.sleep(COPY_AGE_S / 5)
        if trouble:
            record.note(f"drill: the store is away, at revision {store.revision}")
            store.stop()
            store.restore(saved)
            await asyncio.sleep(AWAY_S)
            await store.start()
            record.note(f"it is back at revision {store.revision}, era {store.era}")
            await asyncio.sleep(0.1)
            # What the operator and the workers wrote is written again.
            revision = store.put("op/config", build_manifest(7, [KEPT, REVOKED]))
            record.note(f"manifest 7 written again at revision {revision}")
            for worker in workers:
                worker.report()
        else:
            await asyncio.sleep(AWAY_S + 0.1)
        await asyncio.sleep(4.0)
        revision = store.put("op/config", build_manifest(9, [KEPT]))
        acked_at = time.monotonic()
        record.note(f"manifest 9 without the key acknowledged at revision {revision}")
        await asyncio.sleep(REVOKE_S + 8.0)
        sending.cancel()
        await asyncio.sleep(1.0)
        return judge(record, consumers, workers, acked_at)
    finally:
        if sending is not None:
            sending.cancel()
        for gateway in gateways:
            await gateway.end()
        for worker in workers:
            worker.stop()
        store.stop()


def judge(record, consumers, workers, acked_at):
    """Counts the requests with the key that ran though it was taken away long before."""
    runs = {run.id: run for worker in workers for run in worker.runs}
    bound = acked_at + REVOKE_S
    ran = {}
    for sent in consumers.sent:
        run = runs.get(sent.id)
        late = sent.key == REVOKED and sent.at > bound
        mark = " BROKEN" if late and run else ""
        where = f"ran at {run.worker}" if run else "did not run"
        record.note(
            f"{sent.id} {sent.gateway} {sent.key} -> {sent.status or sent.error}, "
            f"{where}{mark}",
            sent.at,
        )
        counts = ran.setdefault((sent.key, sent.at > bound), [0, 0])
        counts[0] += 1
        counts[1] += run is not None
    kept, revoked = ran.get((KEPT, True), [0, 0]), ran.get((REVOKED, True), [0, 0])
    summary = (
        f"sent later than {REVOKE_S:g} s after the ack: {revoked[0]} with the key that "
        f"was taken away, of which {revoked[1]} ran; {kept[0]} with the other key, of "
        f"which {kept[1]} ran"
    )
    record.note(summary)
    print(summary)
    if not kept[1]:
        return 2
    return 1 if revoked[1] else 0


async def main():
    """Plays the case in a temporary folder."""
    record = Record(FOLDER / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        with tempfile.TemporaryDirectory() as directory:
            async with asyncio.timeout(110):
                return await play(record, directory, trouble)
    except (OSError, TimeoutError) as error:
        record.note(f"the case could not run: {error!r}")
        return 2
    finally:
        record.close()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
