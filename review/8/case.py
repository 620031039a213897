"""A sound part of prompts was in one crash more than the part that crashes workers."""

import asyncio
import signal

from review.common2.consumer import send
from review.common2.gateway import BOUNDS, wait_until_ready
from review.common2.installation import (
    BROKEN,
    COULD_NOT_RUN,
    HELD,
    Installation,
    main,
    manifest,
    route,
    service,
)
from review.common2.worker import Worker

CONTACT_S = BOUNDS["contact_ms"] / 1000
WORKERS = 6
# Sound requests before the impairment, and after it.
COUNTED = 24
# A crashed worker is back after this time; its entry expires after three heartbeats.
DOWN_S = 2.5
ENTRY_EXPIRES_S = 3.6
BAD_GAP_S = 0.8
FIRST_PART, BAD_PART = "a0", "bad"


class CrashingWorker(Worker):
    """A model worker that crashes when it begins to write on the bad part.

    :ivar crash_next: the next request meets a crash that has nothing to do with it.
    """

    crash_next = False

    def __init__(self, *args) -> None:
        super().__init__(*args)
        self.crashed = asyncio.Event()

    async def serve(self, request, writer) -> bool:
        """Runs a request, or crashes."""
        parts = request.headers.get("x-prompt-prefix", "")
        if CrashingWorker.crash_next or f"{BAD_PART}:" in parts:
            CrashingWorker.crash_next = False
            self.note_run(request)
            await asyncio.sleep(0.05)
            self.record.write("crash", worker=self.id, id=request.id)
            self.refuse()
            self.crashed.set()
            return False
        return await self.serve_stream(request, writer, 4, 0.02)


async def play(installation: Installation) -> int:
    """Plays the case; returns the exit status."""
    record = installation.record
    workers = [CrashingWorker(f"i-app{n}", "appraiser", record) for n in range(WORKERS)]
    config = manifest(
        1,
        [route("/draft/", "streaming", "appraiser", retry_attempts=1)],
        [service("appraiser", engine={"slots": 64, "kv_capacity_tokens": 436460})],
    )
    if not await installation.start(config, workers, 2):
        return COULD_NOT_RUN
    crashes = []

    async def keep_up(worker: CrashingWorker) -> None:
        """Starts a worker again under a new id after each crash."""
        number = 0
        while True:
            await worker.crashed.wait()
            crashes.append(record.now())
            number += 1
            key = f"servers/{worker.id}"
            await asyncio.sleep(DOWN_S)
            worker = CrashingWorker(f"{worker.id}-{number}", "appraiser", record)
            await worker.listen()
            workers.append(worker)
            installation.put(f"servers/{worker.id}", worker.entry())
            await asyncio.sleep(ENTRY_EXPIRES_S - DOWN_S)
            installation.store.delete(key)

    keepers = [asyncio.create_task(keep_up(worker)) for worker in list(workers)]
    counter = iter(range(1, 100_000))

    async def ask(parts: str, label: str):
        number = next(counter)
        return await send(
            record,
            installation.pick(number).front,
            "/draft/a",
            label=label,
            X_Model="m",
            X_Token_Count="2401,24",
            X_Prompt_Prefix=f"{FIRST_PART}:512,{parts}:700,c{number:06x}:360",
        )

    def begun(answers: list) -> int:
        """Returns how many requests a worker began to run."""
        ran = record.ids("run")
        return sum(answer.id in ran for answer in answers)

    before = []
    for number in range(COUNTED):
        before.append(await ask(f"s{number:02x}", "sound"))
        await asyncio.sleep(0.05)
    # Planned work: the gateways are stopped and started in turn.
    for gateway in installation.gateways:
        gateway.signal(signal.SIGTERM)
        while gateway.running:
            await asyncio.sleep(0.1)
        gateway.start()
        gateway.rotation = False
        if not await wait_until_ready(installation.gateways):
            return COULD_NOT_RUN
    await asyncio.sleep(CONTACT_S)
    bad_tasks: list[asyncio.Task] = []

    async def send_bad() -> None:
        """Sends requests with the bad part to the end."""
        while True:
            bad_tasks.append(asyncio.create_task(ask(BAD_PART, "bad")))
            await asyncio.sleep(BAD_GAP_S)

    if installation.trouble:
        CrashingWorker.crash_next = True
        await ask("s77", "sound")
        await asyncio.sleep(BAD_GAP_S)
        bad = asyncio.create_task(send_bad())
    # Up to the fifth crash, or until no worker has crashed for some seconds.
    await asyncio.sleep(6.0)
    while len(crashes) < 5 and crashes and record.now() - crashes[-1] < 5.0:
        await asyncio.sleep(0.1)
    last_at = (crashes[:5] or [record.now()])[-1]
    await asyncio.sleep(max(0.0, last_at + 2 * CONTACT_S - record.now()))
    after = []
    for number in range(COUNTED):
        after.append(await ask(f"t{number:02x}", "sound"))
        await asyncio.sleep(0.2)
    if installation.trouble:
        bad.cancel()
    for keeper in keepers:
        keeper.cancel()
    record.write(
        "check",
        crashes=len(crashes),
        before=len(before),
        begun_before=begun(before),
        after=len(after),
        begun_after=begun(after),
    )
    if begun(before) < COUNTED or (installation.trouble and len(crashes) < 3):
        return COULD_NOT_RUN
    return BROKEN if begun(after) < begun(before) / 2 else HELD


if __name__ == "__main__":
    main(__file__, play)
