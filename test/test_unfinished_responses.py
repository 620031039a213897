"""Tests of responses that were begun and that their server does not finish.

Guards against bytes of a second response behind those of the first one, such as an error
of the next server in the middle of a stream, and against a body that looks complete.
"""

import asyncio
import unittest
from collections.abc import Callable
from dataclasses import dataclass, field

import h11

from emulator.platform.deployment import API_KEY, HOST, Deployment
from emulator.platform.server import LAST_CHUNK, Behaviour
from heatherswitch.gateway.relay import MAX_BUFFERED_BYTES, RequestRelay
from heatherswitch.util.http import MAX_READ_BYTES, Request

WHOLE_BODY = b"whole body " * (MAX_BUFFERED_BYTES // 8)
# What a server sends of it; long enough that the gateway begins to deliver it.
PART = WHOLE_BODY[: MAX_BUFFERED_BYTES + 20_000]
# Cases that run at the same time.
PARALLEL_CASES = 6
DEADLINE_MS = 2500


def event_bytes(events: int) -> bytes:
    """Returns the stream of so many events as the stand-in server sends it."""
    return b"".join(
        b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, events + 1)
    )


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def with_length(head: bytes) -> bytes:
    """Returns the head with a Content-Length in place of the chunks."""
    length = b"Content-Length: %d" % len(WHOLE_BODY)
    return head.replace(b"Transfer-Encoding: chunked", length)


@dataclass(slots=True)
class Received:
    """What a caller got until its connection ended.

    :ivar complete: the caller can't tell the body from a whole one.
    """

    status: int = 0
    body: bytes = b""
    complete: bool = False


async def receive(address: str, path: str, version: str) -> Received:
    """Sends a request of an HTTP version and reads its response."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        f"POST {path} HTTP/{version}\r\nHost: {HOST}\r\nX-Attempt-Id: r1\r\n"
        f"X-Deadline-Ms: {DEADLINE_MS}\r\nAuthorization: Bearer {API_KEY}\r\n"
        "Content-Length: 0\r\n\r\n".encode()
    )
    client = h11.Connection(h11.CLIENT)
    client.send(h11.Request(method="POST", target=path, headers=[("Host", HOST)]))
    client.send(h11.EndOfMessage())
    received = Received()
    try:
        while True:
            event = client.next_event()
            if event is h11.NEED_DATA:
                client.receive_data(await reader.read(MAX_READ_BYTES))
            elif isinstance(event, h11.Response):
                received.status = event.status_code
            elif isinstance(event, h11.Data):
                received.body += bytes(event.data)
            else:
                received.complete = isinstance(event, h11.EndOfMessage)
                return received
    except (OSError, h11.RemoteProtocolError):
        return received
    finally:
        writer.close()


# How a server breaks off a plain answer that was begun.
BROKEN_PLAIN = {
    "closes in chunks": Behaviour(raw=lambda head: [head + chunk(PART)]),
    "closes before the length": Behaviour(raw=lambda head: [with_length(head) + PART]),
    "resets without a length": Behaviour(body=PART, unframed=True, reset=True),
    "stalls": Behaviour(raw=lambda head: [head + chunk(PART)], raw_gap_s=9.0),
    "sends a byte now and then": Behaviour(
        raw=lambda head: [head + chunk(PART), *[b"1"] * 90], raw_gap_s=0.1
    ),
    "sends another head": Behaviour(
        raw=lambda head: [head + chunk(PART) + b"HTTP/1.1 503 Busy\r\n\r\n"]
    ),
}
# How a server breaks off a stream after some events.
BROKEN_STREAM = {
    "closes": Behaviour(events=6, cut_after=3),
    "ends inside an event": Behaviour(events=6, cut_after=3, end_cut=True),
    "resets": Behaviour(events=3, unframed=True, reset=True),
    "stalls": Behaviour(events=6, pause_after=3, pause_s=9.0),
}
# Responses of the other server. None of them may follow what was begun.
ERRORS = {
    "refuses": Behaviour(status=503),
    "is busy": Behaviour(status=429, headers=[("X-Not-Executed", "1")], seal=False),
    "is another instance": Behaviour(status=421, seal=False),
    "fails": Behaviour(status=500, body=b"error text\n\n"),
    "finds nothing": Behaviour(status=404, body=b"error text\n\n"),
    "redirects": Behaviour(status=302, headers=[("Location", "/x")]),
    "closes": Behaviour(cut_after=0),
    "is not signed": Behaviour(seal=False, events=6),
    "has an interim answer": Behaviour(
        raw=lambda head: [b"HTTP/1.1 103 Early Hints\r\n\r\nerror text\n\n"]
    ),
}


@dataclass(slots=True)
class Case:
    """A server that breaks off its response, and one that could take over.

    :ivar whole: body of a complete response.
    :ivar finished: whether the caller gets all of it; None if either is right.
    """

    name: str
    path: str
    first: Behaviour
    second: Behaviour
    whole: bytes
    finished: bool | None = False
    service: str = "ledger"
    version: str = "1.1"
    faults: list[str] = field(default_factory=list)

    async def run(self, act: Callable | None = None) -> None:
        """Plays the case and notes what the caller must not get.

        :param act: called with the deployment while the response is being sent.
        """
        deployment = Deployment()
        try:
            await deployment.start()
            # With these ids, both kinds of service prefer the first server.
            first = await deployment.add_server("e0", self.service, self.first)
            await deployment.add_server("e1", self.service, self.second, zone="b")
            call = asyncio.ensure_future(
                receive(
                    deployment.gateway.addresses["callers"], self.path, self.version
                )
            )
            if act is not None:
                await act(deployment)
            received = await call
            if not first.received:
                self.faults.append("the first server got no request")
            self.check(received)
        finally:
            await deployment.stop()

    def check(self, received: Received) -> None:
        if not received.body:
            self.faults.append(f"nothing was begun, status {received.status}")
        if not self.whole.startswith(received.body):
            self.faults.append(f"the body goes on with {self.excess(received)!r}")
        if received.complete and received.body != self.whole:
            self.faults.append(f"{len(received.body)} bytes look complete")
        if self.finished is not None and received.complete != self.finished:
            self.faults.append(f"complete: {received.complete}")

    def excess(self, received: Received) -> bytes:
        """Returns what follows the first bytes that are right."""
        at = 0
        for right, got in zip(self.whole, received.body, strict=False):
            if right != got:
                break
            at += 1
        return received.body[at : at + 60]


class UnfinishedResponseCase(unittest.IsolatedAsyncioTestCase):
    async def play(self, cases: list[Case], act: Callable | None = None) -> None:
        """Plays cases side by side; each has a gateway and servers of its own."""
        turns = asyncio.Semaphore(PARALLEL_CASES)

        async def play_one(case: Case) -> None:
            async with turns:
                await case.run(act)

        await asyncio.gather(*[play_one(case) for case in cases])
        for case in cases:
            with self.subTest(case.name, path=case.path, version=case.version):
                self.assertFalse(case.faults)


class PlainResponseTest(UnfinishedResponseCase):
    """A plain answer that was begun is cut; it is not sent to another server."""

    async def test_no_other_answer_follows_a_broken_plain_answer(self):
        """The whole answer of the next server followed, in one complete body."""
        whole = Behaviour(body=WHOLE_BODY)
        await self.play(
            [
                Case(name, path, first, whole, WHOLE_BODY, version=version)
                for name, first in BROKEN_PLAIN.items()
                for path, version in (
                    ("/lookup/1", "1.1"),
                    ("/lookup/1", "1.0"),
                    ("/settle/1", "1.1"),
                )
            ]
        )

    async def test_no_error_follows_a_broken_plain_answer(self):
        first = BROKEN_PLAIN["closes in chunks"]
        await self.play(
            [
                Case(name, "/lookup/1", first, second, WHOLE_BODY)
                for name, second in ERRORS.items()
            ]
        )


class GracePeriodTest(UnfinishedResponseCase):
    GRACE_S = 1.0

    async def stop_during_the_response(self, deployment: Deployment) -> None:
        """Stops the gateway with a grace period that ends before the response does."""
        first = deployment.servers["e0"]
        await deployment.wait_until(lambda: first.received)
        await asyncio.sleep(0.2)
        gateway = deployment.gateway
        gateway._config = gateway._config.replace(grace_s=self.GRACE_S)
        await gateway.stop()

    async def test_response_that_outlasts_the_grace_period_does_not_look_complete(self):
        cases = []
        for version in ("1.1", "1.0"):
            cases += [
                stream(
                    path,
                    BROKEN_STREAM["stalls"],
                    Behaviour(events=6),
                    name="stream",
                    version=version,
                )
                for path in ("/draft/1", "/answer/1")
            ]
            cases += [
                Case(
                    "plain",
                    path,
                    BROKEN_PLAIN["stalls"],
                    Behaviour(body=WHOLE_BODY),
                    WHOLE_BODY,
                    version=version,
                )
                for path in ("/lookup/1", "/settle/1")
            ]
        await self.play(cases, self.stop_during_the_response)


class RelayTest(unittest.IsolatedAsyncioTestCase):
    async def test_relay_sends_no_second_response_whatever_the_reducer_decides(self):
        relay = RequestRelay(
            None, None, None, Request("GET", "/"), "r1", None, None, None, None, None
        )
        relay._response_started, relay._resumable = True, False
        with (
            self.assertLogs("heatherswitch.gateway.relay", "ERROR"),
            self.assertRaises(ConnectionAbortedError),
        ):
            await relay.attempt(None)


class LineEndTest(UnfinishedResponseCase):
    async def test_stream_is_resumed_whatever_its_line_ends(self):
        """The caller got the first events twice, as their ids were not found."""
        cases = []
        for name, end in (("CR", b"\r"), ("CR LF", b"\r\n"), ("mark", b"\n")):
            mark = b"\xef\xbb\xbf" if name == "mark" else b""
            begun = mark + event_bytes(3).replace(b"\n", end)
            whole = mark + event_bytes(6).replace(b"\n", end)
            for size in (1, 7, len(begun)):
                reads = [
                    chunk(begun[at : at + size]) for at in range(0, len(begun), size)
                ]
                first = Behaviour(raw=lambda head, reads=reads: [head, *reads])
                second = Behaviour(
                    raw=lambda head, whole=whole: [head + chunk(whole) + LAST_CHUNK]
                )
                cases.append(
                    Case(
                        f"{name}, reads of {size}",
                        "/answer/1",
                        first,
                        second,
                        whole,
                        finished=True,
                        service="appraiser",
                    )
                )
        await self.play(cases)


def stream(path: str, first: Behaviour, second: Behaviour, **options) -> Case:
    """Returns a case of a stream of six events."""
    return Case(
        options.pop("name"),
        path,
        first,
        second,
        options.pop("whole", event_bytes(6)),
        service="appraiser",
        **options,
    )


class StreamTest(UnfinishedResponseCase):
    """Only a resumable stream goes on at another server, and only with its events."""

    WHOLE = Behaviour(events=6)

    async def test_nothing_follows_a_broken_stream_that_is_not_resumable(self):
        await self.play(
            [
                stream("/draft/1", first, self.WHOLE, name=name, version=version)
                for name, first in BROKEN_STREAM.items()
                for version in ("1.1", "1.0")
            ]
        )

    async def test_resumable_stream_goes_on_at_another_server(self):
        await self.play(
            [
                stream(
                    "/answer/1",
                    first,
                    self.WHOLE,
                    name=name,
                    version=version,
                    finished=True,
                )
                for name, first in BROKEN_STREAM.items()
                for version in ("1.1", "1.0")
            ]
        )

    async def test_no_error_follows_a_broken_stream(self):
        """The error's text, or its head, was found in the middle of streams."""
        await self.play(
            [
                stream("/answer/1", first, second, name=f"{broken}; {name}")
                for broken, first in BROKEN_STREAM.items()
                for name, second in ERRORS.items()
            ]
        )

    async def test_response_that_is_no_continuation_does_not_end_a_stream(self):
        first = BROKEN_STREAM["closes"]
        seconds = {
            "no content": Behaviour(status=204, body=b""),
            "nothing, without a length": Behaviour(body=b"", unframed=True),
            "text": Behaviour(body=b"error text\n\n"),
            "JSON": Behaviour(body=b'{"error": "overloaded"}\n\n'),
            "a head": Behaviour(body=b"HTTP/1.1 503 Busy\r\nRetry-After: 1\r\n\r\n"),
            "a gap": Behaviour(body=b"id: 5\ndata: piece 5\n\n"),
        }
        await self.play(
            [
                stream("/answer/1", first, second, name=name)
                for name, second in seconds.items()
            ]
        )

    async def test_end_marker_without_id_may_follow_a_resumption(self):
        """Some servers end streams with an event that has no id."""
        marker = b"data: [DONE]\n\n"
        first = Behaviour(raw=lambda head: [head + chunk(event_bytes(3))])
        second = Behaviour(body=event_bytes(6) + marker)
        whole = event_bytes(6) + marker
        await self.play(
            [stream("/answer/1", first, second, name="", whole=whole, finished=True)]
        )

    async def test_stream_is_not_resumed_behind_an_event_without_id(self):
        """The next server began anew, or sent that event again."""
        plain = b"data: one\n\ndata: two\n\n"
        streams = {
            "no ids": (plain, plain + b"data: three\n\n"),
            "last one": (event_bytes(2) + plain, event_bytes(2) + plain + plain),
            "other ids": (
                b"id: a\ndata: x\n\n",
                b"id: a\ndata: x\n\nid: b\ndata: y\n\n",
            ),
        }
        cases = []
        for name, (begun, whole) in streams.items():
            for gap_s in (0.0, 9.0):
                first = Behaviour(
                    raw=lambda head, begun=begun: [head + chunk(begun)], raw_gap_s=gap_s
                )
                second = Behaviour(body=whole)
                cases.append(stream("/answer/1", first, second, name=name, whole=whole))
        await self.play(cases)
