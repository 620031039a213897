"""Sound workers reset a part of their requests while the first callers of a new route come."""

import asyncio

from review.common2.consumer import send
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
from review.common2.worker import Worker, reset

# The impairment: srv_grey, how "reset all", x 0.45, for 6.5 s.
GREY_S = 6.5
MAX_FAILED_SHARE = 0.45
CONTACT_S = 3.0
# Seconds in steady state for which both routes are observed.
STEADY_S = 25.0
DRAFT_GAP_S = 0.1
QUOTE_GAP_S = 0.12
DRAFT, QUOTE = "/draft/", "/quote/"


class GreyWorker(Worker):
    """A model worker that resets the requests of one route before their first event.

    :ivar counts: requests that ran and that were reset while the worker was grey.
    """

    def __init__(self, *args) -> None:
        super().__init__(*args)
        self.grey = False
        self.counts = [0, 0]

    async def serve(self, request, writer) -> bool:
        """Runs a request, or breaks it off before its first event."""
        failing = self.grey and request.target.startswith(QUOTE)
        if self.grey:
            self.counts[failing] += 1
        if not failing:
            return await self.serve_stream(request, writer, 4, 0.02)
        self.note_run(request)
        await asyncio.sleep(0.02)
        reset(writer)
        return False


async def play(installation: Installation) -> int:
    """Plays the case; returns the exit status."""
    record = installation.record
    workers = [GreyWorker(f"i-app{n}", "appraiser", record) for n in range(3)]
    services = [
        service("appraiser", engine={"slots": 64, "kv_capacity_tokens": 436460})
    ]
    first = route(DRAFT, "streaming", "appraiser", stream_resume=True)
    added = route(QUOTE, "streaming", "appraiser", retry_attempts=1)
    if not await installation.start(manifest(1, [first], services), workers, 2):
        return COULD_NOT_RUN
    tasks: set[asyncio.Task] = set()
    answers = {DRAFT: [], QUOTE: []}

    async def consume(prefix: str, part: str, gap_s: float) -> None:
        number = 0
        while True:
            number += 1
            request = send(
                record,
                installation.pick(number).front,
                f"{prefix}a",
                X_Model="m",
                X_Token_Count="2401,24",
                X_Prompt_Prefix=f"{part}:512,{part}{number % 30:02x}:1700,c{number:06x}:360",
            )
            task = asyncio.create_task(request)
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            task.add_done_callback(lambda t: answers[prefix].append(t.result()))
            await asyncio.sleep(gap_s)

    consumers = [asyncio.create_task(consume(DRAFT, "a1", DRAFT_GAP_S))]
    await asyncio.sleep(4.0)
    installation.put("op/config", manifest(2, [first, added], services))
    await asyncio.sleep(3.0)
    for worker in workers:
        worker.grey = installation.trouble
    record.write("workers reset a part of their requests", trouble=installation.trouble)
    consumers.append(asyncio.create_task(consume(QUOTE, "b2", QUOTE_GAP_S)))
    await asyncio.sleep(GREY_S)
    for worker in workers:
        worker.grey = False
    record.write("workers are sound again")
    await asyncio.sleep(CONTACT_S)
    steady_at = record.now()
    await asyncio.sleep(STEADY_S)
    for consumer in consumers:
        consumer.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    served = {
        prefix: [a.served for a in answers[prefix] if a.sent_at >= steady_at]
        for prefix in answers
    }
    counts = [worker.counts for worker in workers]
    failed_share = sum(c[1] for c in counts) / max(1, sum(map(sum, counts)))
    record.write(
        "check",
        failed_share=round(failed_share, 3),
        draft=len(served[DRAFT]),
        draft_served=sum(served[DRAFT]),
        quote=len(served[QUOTE]),
        quote_served=sum(served[QUOTE]),
    )
    if len(served[QUOTE]) < 20 or not any(served[DRAFT]):
        return COULD_NOT_RUN
    if failed_share > MAX_FAILED_SHARE:
        return COULD_NOT_RUN
    shares = {prefix: sum(found) / len(found) for prefix, found in served.items()}
    return BROKEN if shares[QUOTE] < shares[DRAFT] / 4 else HELD


if __name__ == "__main__":
    main(__file__, play)
