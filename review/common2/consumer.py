"""A consumer that sends one request on a new channel and reads the whole answer."""

import asyncio
import itertools

HOST = "auction.example"
API_KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"

_numbers = itertools.count(1)


class Answer:
    """What the consumer got.

    :param status: 0 if the channel ended without a status line.
    :param complete: the body was whole.
    """

    def __init__(self, request_id, sent_at, status, headers, body, complete) -> None:
        self.id = request_id
        self.sent_at = sent_at
        self.status = status
        self.headers = headers
        self.body = body
        self.complete = complete

    @property
    def served(self) -> bool:
        """True for a whole success with a worker's signature."""
        sealed = "x-response-seal" in self.headers
        return 200 <= self.status < 300 and sealed and self.complete


class KeptChannel:
    """A channel that carries one request after the other."""

    def __init__(self, front: tuple[str, int]) -> None:
        self.front = front
        self.streams: tuple | None = None

    def close(self) -> None:
        """Closes the channel if it is open."""
        if self.streams is not None:
            self.streams[1].close()
        self.streams = None


async def send(
    record,
    front: tuple[str, int],
    path: str,
    method: str = "POST",
    body: bytes = b"",
    deadline_ms: int = 3000,
    label: str = "",
    channel: KeptChannel | None = None,
    **fields: str,
) -> Answer:
    """Sends a request and reads the answer until the deadline.

    :param channel: kept channel that carries it in place of a new one.
    :param fields: further headers; underscores stand for dashes.
    """
    request_id = f"{label or 'c'}{next(_numbers):06x}"
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Attempt-Id: {request_id}",
        f"X-Deadline-Ms: {deadline_ms}",
        f"Authorization: Bearer {API_KEY}",
        f"Content-Length: {len(body)}",
    ]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    sent_at = record.now()
    record.write("sent", id=request_id, path=path, bytes=len(body))
    answer = Answer(request_id, sent_at, 0, {}, b"", False)
    writer = None
    kept = channel.streams if channel is not None else None
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 0.5):
            reader, writer = kept or await asyncio.open_connection(
                *front, limit=1 << 20
            )
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            writer.write(body)
            await _read_answer(reader, answer)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
        record.write("broken", id=request_id, error=type(error).__name__)
    closing = "close" in answer.headers.get("connection", "").lower()
    if channel is not None and answer.complete and not closing:
        channel.streams = (reader, writer)
    elif writer is not None:
        writer.close()
        if channel is not None:
            channel.streams = None
    record.write(
        "answered",
        id=request_id,
        status=answer.status,
        complete=answer.complete,
        bytes=len(answer.body),
        retry_after=answer.headers.get("retry-after", ""),
    )
    return answer


async def _read_answer(reader, answer: Answer) -> None:
    raw = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *rows = raw.rstrip("\r\n").split("\r\n")
    answer.status = int(line.split()[1])
    for row in rows:
        name, _, value = row.partition(":")
        answer.headers[name.strip().lower()] = value.strip()
    if "content-length" in answer.headers:
        answer.body = await reader.readexactly(int(answer.headers["content-length"]))
        answer.complete = True
        return
    while True:
        size = int((await reader.readline()).strip(), 16)
        data = await reader.readexactly(size + 2)
        if not size:
            answer.complete = True
            return
        answer.body += data[:-2]
