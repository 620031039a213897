"""A resumed stream whose lines end with CR is delivered with its first pieces twice."""

import asyncio
import re
from pathlib import Path

from review.standins.clients import Answer, Client
from review.standins.deployment import (
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

# Line end of the streams: one of the three that text/event-stream allows.
LINE_END = b"\r"
PIECES = 8
STREAMS = 50
# The stream that a worker breaks off, after so many pieces: one of STREAMS.
BROKEN_STREAM = 20
BROKEN_AFTER = 4
_ID = re.compile(rb"(?:^|[\r\n])id: (\d+)")


async def case(deployment: Deployment, record: Record) -> bool:
    """Asks for streams that may be resumed, one after the other."""
    broken_off: list[str] = []

    async def respond(worker: Worker, request: Request, connection: Connection):
        worker.ran.append(request)
        first = int(request.headers.get("last-event-id") or 0) + 1
        record.note(f"{worker.id} runs {request.id} from piece {first} on")
        await connection.write(
            head(
                200,
                request.id,
                [("X-Response-Seal", SEAL), ("Content-Type", "text/event-stream")],
            )
        )
        for number in range(first, PIECES + 1):
            fails = trouble() and request.id.endswith(f"-{BROKEN_STREAM}")
            if fails and number > BROKEN_AFTER and not broken_off:
                broken_off.append(request.id)
                record.note(f"{worker.id} breaks off {request.id}")
                await asyncio.sleep(0.05)
                connection.reset()
                return False
            lines = [b"id: %d" % number, b"data: piece %d" % number, b"", b""]
            event = LINE_END.join(lines)
            await connection.write(b"%x\r\n%s\r\n" % (len(event), event))
            await asyncio.sleep(0.005)
        await connection.write(b"0\r\n\r\n")
        return True

    workers = [Worker(f"i-{n}", "appraiser", respond) for n in range(3)]
    routes = [route("/query/", "streaming", "appraiser", stream_resume=True)]
    configuration = manifest(1, routes, ["appraiser"])
    configuration["services"][0]["engine"] = {
        "slots": 64,
        "kv_capacity_tokens": 436460,
    }
    await deployment.start(configuration, workers, gateways=1)
    client = Client(deployment.gateways[0].address, HOST, KEY)
    results = [await _ask(client, record, number) for number in range(STREAMS)]
    return any(_is_broken(got) for got in results)


async def _ask(client: Client, record: Record, number: int) -> Answer:
    got = await client.call(
        f"5c1e07a291bd-{number}",
        "POST",
        "/query/1",
        b"{}",
        headers=[
            ("X-Model", "m"),
            ("X-Token-Count", "760,48"),
            ("X-Prompt-Prefix", f"5c1e07a2:700,{number:08x}:60"),
        ],
        keep=True,
    )
    record.note(
        f"{got.id}: status {got.status}, complete {got.complete}, pieces "
        f"{_pieces(got)} {got.error}"
    )
    return got


def _pieces(got: Answer) -> list[int]:
    return [int(number) for number in _ID.findall(got.body)]


def _is_broken(got: Answer) -> bool:
    """Tells whether a piece is missing or comes twice in a stream."""
    pieces = _pieces(got)
    if got.complete and got.status == 200:
        return pieces != list(range(1, PIECES + 1))
    return pieces != list(range(1, len(pieces) + 1))


if __name__ == "__main__":
    run_case(Path(__file__).parent, case)
