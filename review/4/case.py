"""Prompts with a part that crashes workers put a sound part into quarantine."""

import asyncio
import time
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
from review.standins.workers import SEAL, Connection, Request, Worker, head

CRASH_PART = "bad0bad0"
SHARED_PART = "a11ce001"
CONTACT_S = BOUNDS["contact_ms"] / 1000
# Seconds without requests: the chats go quiet and come back.
QUIET_S = 32.0
WORKERS = 6
# Seconds until a crashed worker is back.
BACK_S = 2.5
CRASH_REQUESTS = 6
CRASH_INTERVAL_S = 0.8
SOUND_REQUESTS = 24
EVENTS = 6


class Load:
    """Sends the requests of both kinds, to the gateways in turn."""

    def __init__(self, deployment: Deployment, record: Record) -> None:
        self._addresses = [g.address for g in deployment.gateways]
        self._deployment = deployment
        self._record = record
        self._sent = 0

    async def send(self, first_part: str, name: str) -> Answer:
        """Sends a request whose first part is followed by the shared one."""
        self._sent += 1
        own = f"{self._sent:08x}"
        client = Client(self._addresses[self._sent % len(self._addresses)], HOST, KEY)
        prefix = f"{first_part}:300,{SHARED_PART}:900,{own}:60"
        got = await client.call(
            f"{name}-{own}",
            "POST",
            "/draft/1",
            b"{}",
            headers=[
                ("X-Model", "m"),
                ("X-Token-Count", "1260,40"),
                ("X-Prompt-Prefix", prefix),
            ],
        )
        self._record.note(
            f"{got.id} prompt {prefix}: status {got.status}, complete {got.complete}, "
            f"ran {self.has_run(got.id)}, retry-after "
            f"{got.headers.get('retry-after', '-')} {got.error}"
        )
        return got

    def has_run(self, attempt_id: str) -> bool:
        """Tells whether a worker began to answer a request."""
        return any(r.id == attempt_id for w in self._deployment.workers for r in w.ran)

    async def send_sound(self, name: str) -> float:
        """Sends sound requests; returns the share that began to run."""
        begun = 0
        for number in range(SOUND_REQUESTS):
            got = await self.send(f"c0de{number % 8:04x}", name)
            begun += self.has_run(got.id)
            await asyncio.sleep(0.05)
        return begun / SOUND_REQUESTS


async def case(deployment: Deployment, record: Record) -> bool:
    """Sends sound requests before and after some that crash workers."""

    async def respond(worker: Worker, request: Request, connection: Connection):
        await asyncio.sleep(0.02)
        if f"{CRASH_PART}:" in request.headers["x-prompt-prefix"]:
            record.note(f"{worker.id} crashes on {request.id}")
            asyncio.create_task(_crash(worker, deployment, record))
            return False
        worker.ran.append(request)
        await connection.write(
            head(
                200,
                request.id,
                [("X-Response-Seal", SEAL), ("Content-Type", "text/event-stream")],
            )
        )
        for number in range(1, EVENTS + 1):
            event = b"id: %d\ndata: piece %d\n\n" % (number, number)
            await connection.write(b"%x\r\n%s\r\n" % (len(event), event))
            await asyncio.sleep(0.01)
        await connection.write(b"0\r\n\r\n")
        return True

    workers = [Worker(f"i-{n}", "appraiser", respond) for n in range(WORKERS)]
    routes = [route("/draft/", "streaming", "appraiser", retry_attempts=1)]
    configuration = manifest(1, routes, ["appraiser"])
    configuration["services"][0]["engine"] = {
        "slots": 64,
        "kv_capacity_tokens": 436460,
    }
    await deployment.start(configuration, workers, gateways=2)
    load = Load(deployment, record)
    before = await load.send_sound("before")
    record.note(f"sound requests that began, before: {before:.2f}")
    await asyncio.sleep(QUIET_S)
    for _ in range(CRASH_REQUESTS if trouble() else 0):
        await load.send(CRASH_PART, "crash")
        await asyncio.sleep(CRASH_INTERVAL_S)
    await asyncio.sleep(max(2 * CONTACT_S, BACK_S) + 0.5)
    still = asyncio.create_task(_send_crashing(load))
    begun_at = time.monotonic()
    after = await load.send_sound("after")
    record.note(
        f"sound requests that began, after: {after:.2f} "
        f"(in {time.monotonic() - begun_at:.1f} s)"
    )
    still.cancel()
    return after < before / 2


async def _send_crashing(load: Load) -> None:
    """Goes on sending requests that would crash workers."""
    while trouble():
        await load.send(CRASH_PART, "crash")
        await asyncio.sleep(1.0)


async def _crash(worker: Worker, deployment: Deployment, record: Record) -> None:
    """Ends a worker; a new boot of it is back after some seconds."""
    deployment.quiet.add(worker.id)
    await worker.stop()
    await asyncio.sleep(BACK_S)
    worker.born = int(time.time() * 1000)
    worker.seq = 0
    await worker.start()
    deployment.quiet.discard(worker.id)
    deployment.store.put(f"servers/{worker.id}", worker.entry())
    record.note(f"{worker.id} is back")


if __name__ == "__main__":
    run_case(Path(__file__).parent, case)
