"""A backend server for tests, with selectable responses."""

import asyncio

from heatherswitch.util.http_server import HttpServer

SSE = [("Content-Type", "text/event-stream")]
USAGE = (
    b'data: {"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":2,'
    b'"prompt_tokens_details":{"cached_tokens":8}}}\n\n'
)


class FakeBackend:
    """Responds by the method that ``mode`` names and records the requests.

    :ivar cancelled: number of requests that were cancelled before the response ended.
    """

    def __init__(self):
        self.mode = "stream"
        self.requests = []
        self.cancelled = 0
        self.health = {"started_at": 10.0, "incarnation": "i1"}
        # Blocks a response (a stream: after its first part) until it is set.
        self.gate = asyncio.Event()
        self.gate.set()
        self.server = HttpServer(self.handle)

    async def start(self):
        await self.server.start("127.0.0.1", 0)
        return f"127.0.0.1:{self.server.port}"

    async def stop(self):
        self.gate.set()
        await self.server.stop(0.2)

    async def handle(self, request, responder):
        if request.path == "/health":
            await responder.send_json(200, self.health)
        elif request.path == "/metrics":
            await responder.send(200, b'vllm:num_requests_running{m="a"} 3.0\n')
        else:
            self.requests.append(request)
            try:
                await getattr(self, self.mode)(request, responder)
            except asyncio.CancelledError:
                self.cancelled += 1
                raise

    async def stream(self, request, responder, end=True):
        echo = [("X-Request-Id", request.header("x-request-id"))]
        await responder.start(200, SSE + echo)
        await responder.write(b"data: one\n\n")
        await self.gate.wait()
        await responder.write(b"data: two\n\n" + USAGE)
        if end:
            await responder.write(b"data: [DONE]\n\n")
        await responder.finish()

    async def stream_without_end(self, request, responder):
        await self.stream(request, responder, end=False)

    async def plain(self, request, responder):
        await self.gate.wait()
        await responder.send(201, b"settled")

    async def large(self, request, responder):
        await responder.send(200, bytes(4 * 1024 * 1024))

    async def crossed(self, request, responder):
        await responder.send(200, b"other", [("X-Request-Id", "another")])

    async def truncated(self, request, responder):
        await responder.start(200, [("Content-Length", "100")])
        await responder.write(b"part")
