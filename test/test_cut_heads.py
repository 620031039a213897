"""Tests of servers that stop in the middle of a response head and close or reset.

Guards MIXED and ORDER: a caller got a 200 with an empty or short body, framed as whole.
"""

import asyncio
import unittest
from collections.abc import Callable

from emulator.platform.deployment import Deployment
from emulator.platform.server import LAST_CHUNK, Behaviour
from heatherswitch.util.http import HttpError

INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n"
EVENTS = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 7))
# Requests that run at the same time.
PARALLEL_REQUESTS = 8
# Gateways with their servers that run at the same time.
PARALLEL_PLAYS = 4
# Bytes between two places that are tried; odd, so that both bytes of line ends are.
STEP = 13
SMALL_STEP = 5


def with_status(head: bytes, status: bytes) -> bytes:
    return head.replace(b"200 Status", status)


def framed(head: bytes, framing: bytes) -> bytes:
    """Returns a head with another line in place of Transfer-Encoding."""
    return head.replace(b"Transfer-Encoding: chunked\r\n", framing)


# Heads of responses, by what marks the end of their body.
HEADS: dict[str, Callable[[bytes], bytes]] = {
    "chunks": lambda head: head,
    "a length": lambda head: framed(head, b"Content-Length: %d\r\n" % len(EVENTS)),
    "an empty body": lambda head: framed(head, b"Content-Length: 0\r\n"),
    "the end of the connection": lambda head: framed(head, b""),
    "204": lambda head: framed(with_status(head, b"204 No Content"), b""),
    "304": lambda head: framed(with_status(head, b"304 Not Modified"), b""),
    "an interim answer before": lambda head: INTERIM + head,
    "two interim answers before": lambda head: INTERIM + INTERIM + head,
}


def cut_place(head: bytes) -> int:
    """Returns the place to cut at, which is in the request's id."""
    return int(head.partition(b"X-Attempt-Id: cut-")[2].partition(b"\r\n")[0])


class CutHeadTest(unittest.IsolatedAsyncioTestCase):
    async def play(
        self,
        path: str,
        build: Callable[[bytes], bytes],
        reset: bool,
        step: int,
        first: Behaviour | None = None,
    ) -> list[tuple[int, int, bytes]]:
        """Cuts a head at each place, a request each.

        :param first: behaviour of the server that is tried first; it cuts heads too if
            None.
        :returns: place, status and body of the responses that looked complete.
        """
        deployment = Deployment()
        self.addAsyncCleanup(deployment.stop)
        await deployment.start()
        behaviour = Behaviour(
            raw=lambda head: [build(head)[: cut_place(head)]], reset=reset
        )
        service = "appraiser" if path < "/l" else "ledger"
        # With these ids, both kinds of service prefer the first server.
        servers = [
            await deployment.add_server("e0", service, first or behaviour),
            await deployment.add_server("e1", service, behaviour, zone="b"),
        ]
        whole = build(
            b"HTTP/1.1 200 Status\r\nX-Attempt-Id: cut-000\r\n"
            b"X-Response-Seal: seal-of-e0\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        turns = asyncio.Semaphore(PARALLEL_REQUESTS)
        complete: list[tuple[int, int, bytes]] = []

        async def call(place: int) -> None:
            async with turns:
                try:
                    status, body, _ = await deployment.call(
                        path, method="POST", X_Attempt_Id=f"cut-{place:03}"
                    )
                    complete.append((place, status, body))
                except (OSError, HttpError):
                    pass

        places = range(0, len(whole), step)
        await asyncio.gather(*map(call, places))
        reached = sum(len(server.received) for server in servers)
        self.assertGreaterEqual(reached, len(places))
        return complete

    async def assert_no_success(self, path: str, step: int, **options) -> None:
        cases = [(name, reset) for name in HEADS for reset in (False, True)]
        turns = asyncio.Semaphore(PARALLEL_PLAYS)

        async def play(name: str, reset: bool) -> list[tuple[int, int, bytes]]:
            async with turns:
                return await self.play(path, HEADS[name], reset, step, **options)

        found = await asyncio.gather(*[play(*case) for case in cases])
        for (name, reset), complete in zip(cases, found, strict=True):
            with self.subTest(path=path, end=name, reset=reset):
                wrong = [response for response in complete if response[1] < 500]
                self.assertEqual(wrong, [])

    async def test_safe_request_whose_retry_is_cut_too(self):
        await self.assert_no_success("/lookup/1", step=SMALL_STEP)

    async def test_settlement(self):
        await self.assert_no_success("/settle/1", step=STEP)

    async def test_stream(self):
        await self.assert_no_success("/draft/1", step=STEP)

    async def test_retry_after_a_response_without_signature(self):
        unsigned = Behaviour(body=b"whole", seal=False)
        await self.assert_no_success("/lookup/1", step=STEP, first=unsigned)

    async def test_resumed_stream(self):
        """The caller has the first events; the head of the server that goes on is cut."""
        first = Behaviour(events=6, cut_after=3)
        await self.assert_no_success("/answer/1", step=STEP, first=first)

    async def test_whole_response_behind_interim_answers_is_delivered(self):
        """The other tests would pass if no such response were delivered."""
        deployment = Deployment()
        self.addAsyncCleanup(deployment.stop)
        await deployment.start()
        chunk = b"%x\r\n%s\r\n" % (len(EVENTS), EVENTS)
        whole = Behaviour(
            raw=lambda head: [INTERIM + INTERIM + head + chunk + LAST_CHUNK]
        )
        await deployment.add_server("e0", "appraiser", whole)
        status, body, _ = await deployment.call("/draft/1", method="POST")
        self.assertEqual((status, body), (200, EVENTS))


if __name__ == "__main__":
    unittest.main()
