"""A part that crashes workers stays unnoticed in a chat with many earlier turns."""

import asyncio
import time
from collections import deque
from collections.abc import Iterator
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

FIRST_PART = "a11ce001"
CRASH_PART = "bad0bad0"
SOUND_PART = "600d0001"
# Parts of the earlier turns of a chat, behind the part that differs.
TURNS = 9
CONTACT_S = BOUNDS["contact_ms"] / 1000
WORKERS = 4
# Seconds until a crashed worker is back.
BACK_S = 3.0
# Seconds before a worker begins to write its answer, and between two pieces.
FIRST_PIECE_S = 0.05
PIECE_S = 0.03
PIECES = 30
# Requests a second of both kinds, and seconds without and with those that crash workers.
SOUND_PER_S = 8.0
CRASH_PER_S = 4.0
CALM_S = 5.0
TROUBLE_S = 22.0
DRAFT_MS = 12_000


class Scene:
    """The workers' and consumers' doings.

    :ivar crashes: when workers crashed.
    """

    def __init__(self, deployment: Deployment, record: Record) -> None:
        self.crashes: list[float] = []
        # Arrivals of requests with the part that crashes workers.
        self.crash_arrivals: list[float] = []
        self._deployment = deployment
        self._record = record
        self._numbers: Iterator[int] = iter(range(1, 100_000))
        # Turns of the chats that crashed workers, for sound requests that share them.
        self._turns: deque[str] = deque()

    async def respond(self, worker: Worker, request: Request, connection: Connection):
        """Streams an answer, or crashes when it begins to write one on the bad part."""
        crashes = f"{CRASH_PART}:" in request.headers["x-prompt-prefix"]
        if crashes:
            self.crash_arrivals.append(time.monotonic())
        worker.ran.append(request)
        await asyncio.sleep(FIRST_PIECE_S)
        if crashes:
            self._record.note(f"{worker.id} crashes on {request.id}")
            self.crashes.append(time.monotonic())
            asyncio.create_task(self._crash(worker))
            return False
        headers = [("X-Response-Seal", SEAL), ("Content-Type", "text/event-stream")]
        await connection.write(head(200, request.id, headers))
        for number in range(1, PIECES + 1):
            event = b"id: %d\ndata: piece %d\n\n" % (number, number)
            await connection.write(b"%x\r\n%s\r\n" % (len(event), event))
            await asyncio.sleep(PIECE_S)
        await connection.write(b"0\r\n\r\n")
        return True

    async def _crash(self, worker: Worker) -> None:
        """Ends a worker; a new boot of it is back after some seconds."""
        self._deployment.quiet.add(worker.id)
        await worker.stop()
        await asyncio.sleep(BACK_S)
        worker.born = int(time.time() * 1000)
        worker.seq = 0
        await worker.start()
        self._deployment.quiet.discard(worker.id)
        self._deployment.store.put(f"servers/{worker.id}", worker.entry())

    def has_run(self, attempt_id: str) -> bool:
        """Tells whether a worker began to work on a request."""
        return any(r.id == attempt_id for w in self._deployment.workers for r in w.ran)

    async def load(
        self, name: str, part: str, per_s: float, duration_s: float
    ) -> list[Answer]:
        """Sends requests with the same part, to the gateways in turn."""
        ends_at = time.monotonic() + duration_s
        calls = []
        while time.monotonic() < ends_at:
            calls.append(asyncio.create_task(self._send(name, part)))
            await asyncio.sleep(1 / per_s)
        return list(await asyncio.gather(*calls))

    def _chat(self, number: int, part: str) -> str:
        """Returns the turns of a chat; sound ones share those of earlier bad ones."""
        turns = ",".join(f"{number:06x}{turn:02x}:40" for turn in range(TURNS))
        if part == CRASH_PART:
            self._turns.append(turns)
        elif self._turns:
            return self._turns.popleft()
        return turns

    async def _send(self, name: str, part: str) -> Answer:
        number = next(self._numbers)
        gateways = self._deployment.gateways
        client = Client(gateways[number % len(gateways)].address, HOST, KEY)
        turns = self._chat(number, part)
        prefix = f"{FIRST_PART}:300,{part}:200,{turns},{number:06x}ff:60"
        got = await client.call(
            f"{name}-{number:04x}",
            "POST",
            "/draft/1",
            b"{}",
            DRAFT_MS,
            headers=[
                ("X-Model", "m"),
                ("X-Token-Count", "920,60"),
                ("X-Prompt-Prefix", prefix),
            ],
        )
        self._record.note(
            f"{got.id} part {part}: status {got.status}, complete {got.complete}, "
            f"ran {self.has_run(got.id)} {got.error}"
        )
        return got


async def case(deployment: Deployment, record: Record) -> bool:
    """Sends sound requests alone and then beside some that crash workers."""
    scene = Scene(deployment, record)
    workers = [Worker(f"i-{n}", "appraiser", scene.respond) for n in range(WORKERS)]
    options = {"retry_attempts": 1, "timeout_ms": DRAFT_MS}
    routes = [route("/draft/", "streaming", "appraiser", **options)]
    configuration = manifest(1, routes, ["appraiser"])
    configuration["services"][0]["engine"] = {
        "slots": 64,
        "kv_capacity_tokens": 436460,
    }
    await deployment.start(configuration, workers, gateways=2)
    before = await scene.load("before", SOUND_PART, SOUND_PER_S, CALM_S)
    began_at = time.monotonic()
    sound = scene.load("sound", SOUND_PART, SOUND_PER_S, TROUBLE_S)
    crash_s = TROUBLE_S if trouble() else 0.0
    crashing = scene.load("crash", CRASH_PART, CRASH_PER_S, crash_s)
    beside, _ = await asyncio.gather(sound, crashing)
    fifth_at = scene.crashes[4] if len(scene.crashes) > 4 else began_at
    after = [a for a in beside if a.sent_at > fifth_at + 2 * CONTACT_S]
    arrivals = sum(at > fifth_at + CONTACT_S for at in scene.crash_arrivals)
    record.note(
        f"{len(scene.crashes)} crashes; {arrivals} requests with the part reached "
        f"workers later than contact_ms after the fifth"
    )
    share_before = _begun_share(scene, record, "before", before)
    share_after = _begun_share(scene, record, "after", after)
    return share_after < share_before / 2


def _begun_share(
    scene: Scene, record: Record, name: str, answers: list[Answer]
) -> float:
    begun = sum(scene.has_run(a.id) for a in answers)
    whole = sum(a.complete and a.status == 200 for a in answers)
    record.note(
        f"sound requests {name}: {begun} of {len(answers)} began, {whole} were served"
    )
    return begun / len(answers)


if __name__ == "__main__":
    run_case(Path(__file__).parent, case)
