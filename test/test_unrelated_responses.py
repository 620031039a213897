"""Tests of responses that belong to no open request, on connections to servers.

Guards against a refusal of an earlier request that is taken for the one of the current
request: callers were told that a request had not run which had, or it ran twice.
"""

import asyncio
import itertools
import unittest
from unittest import mock

from emulator.platform.deployment import Deployment
from emulator.platform.server import Behaviour
from heatherswitch.gateway import upstream
from heatherswitch.gateway.relay import NOT_RUN_STATUSES
from heatherswitch.util.http import ConnectionLost

# Seconds from the end of a response to a late one, while the connection is idle.
LATE_S = 0.02


def refusal(status: int, *ids: str) -> bytes:
    """Returns a refusal with so many id headers; none for no argument."""
    lines = [f"HTTP/1.1 {status} Refused", "X-Not-Executed: 1", "Content-Length: 0"]
    lines += [f"X-Attempt-Id: {request_id}" for request_id in ids]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def refusals_beside_answer(status: int, ids, arrange, copies: int):
    """Returns the ``extra`` of a server that refuses its earlier request once more."""

    def extra(earlier: str, current: str) -> tuple[bytes, bytes]:
        before, after, _ = arrange(refusal(status, *ids(earlier)) * copies)
        return (before if earlier else b""), after

    return extra


class UnrelatedResponseCase(unittest.IsolatedAsyncioTestCase):
    """Two servers that send further responses beside the right ones."""

    async def asyncSetUp(self):
        self.deployment = Deployment()
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start()
        self.servers = [
            await self.deployment.add_server(server_id, "ledger")
            for server_id in ("l1", "l2")
        ]

    def set_behaviour(self, behaviour: Behaviour) -> None:
        for server in self.servers:
            server.behaviour = behaviour

    def runs(self, request_id: str) -> int:
        return sum(r.id == request_id for s in self.servers for r in s.runs)

    async def settle(self, request_id: str) -> int:
        """Sends a request that must not run twice; returns its status, 0 for none."""
        try:
            status, body, _ = await self.deployment.call(
                "/settle/1", method="POST", X_Attempt_Id=request_id
            )
        except ConnectionLost:
            return 0
        if status == 200:
            self.assertEqual(body, request_id.encode())
        return status

    async def assert_outcome_is_true(self, request_id: str) -> int:
        """Checks that a request ran once at most, and did not run if so stated."""
        status = await self.settle(request_id)
        runs = self.runs(request_id)
        self.assertLessEqual(runs, 1, "ran twice")
        if status in NOT_RUN_STATUSES:
            self.assertEqual(runs, 0, f"status {status} for a request that has run")
        return status


class RefusalOfAnEarlierRequestTest(UnrelatedResponseCase):
    IDS = {
        "its id": lambda earlier: [earlier],
        "no id": lambda earlier: [],
        "an empty id": lambda earlier: [""],
        "its id twice": lambda earlier: [earlier, earlier],
        "its id and an empty one": lambda earlier: [earlier, ""],
    }
    # Bytes before and after the right response, and the seconds to the latter.
    PLACES = {
        "before the answer": lambda copies: (copies, b"", 0.0),
        "in one read with the end of the answer": lambda copies: (b"", copies, 0.0),
        "while the connection is idle": lambda copies: (b"", copies, LATE_S),
    }

    async def test_refusal_of_an_earlier_request_is_not_taken_for_the_current_one(self):
        numbers = itertools.count()
        cases = itertools.product(
            (400, 421, 429, 503), self.IDS.items(), self.PLACES.items(), (1, 3)
        )
        for status, (name, ids), (place, arrange), copies in cases:
            with self.subTest(f"{copies} x {status} with {name} {place}"):
                extra = refusals_beside_answer(status, ids, arrange, copies)

                self.set_behaviour(Behaviour(echo=True))
                for _ in range(2):
                    await self.settle(f"calm-{next(numbers)}")
                delay_s = arrange(b"")[2]
                self.set_behaviour(
                    Behaviour(echo=True, extra=extra, extra_delay_s=delay_s)
                )
                for _ in range(3):
                    await self.assert_outcome_is_true(f"r{next(numbers)}")
                    await asyncio.sleep(2 * delay_s)

    async def assert_ambiguous_refusal_proves_nothing(self, *refused_ids) -> None:
        """Checks refusals that the servers send before the answer on a new connection.

        :param refused_ids: for each refusal its ids; "current" stands for the
            request's own.
        """

        def extra(earlier, current):
            copies = [
                refusal(503, *[current if i == "current" else i for i in ids])
                for ids in refused_ids
            ]
            return b"".join(copies), b""

        self.set_behaviour(Behaviour(echo=True, extra=extra))
        await self.assert_outcome_is_true("r1")
        self.assertEqual(self.runs("r1"), 1)

    async def test_refusal_without_id_after_an_answer_to_another_request(self):
        await self.assert_ambiguous_refusal_proves_nothing(["other"], [])

    async def test_refusal_with_an_empty_id_after_an_answer_to_another_request(self):
        await self.assert_ambiguous_refusal_proves_nothing(["other"], [""])

    async def test_refusal_with_the_id_of_another_request_and_an_empty_one(self):
        await self.assert_ambiguous_refusal_proves_nothing(["other", ""])

    async def test_refusal_with_the_ids_of_two_requests(self):
        await self.assert_ambiguous_refusal_proves_nothing(["other", "current"])

    async def test_refusal_that_repeats_its_id_is_one_of_the_current_request(self):
        """The id is not ambiguous: the request did not run and may be sent elsewhere."""

        def extra(earlier, current):
            return refusal(503, current, current), b""

        self.set_behaviour(Behaviour(status=503, extra=extra))
        status = await self.assert_outcome_is_true("r1")
        self.assertEqual(status, 503)
        self.assertTrue(all(server.received for server in self.servers))


class IdleConnectionTest(UnrelatedResponseCase):
    async def test_idle_connection_is_read_after_a_long_answer(self):
        """Reading stayed paused, so that late bytes met the next request."""
        self.servers[1].behaviour = self.servers[0].behaviour = Behaviour(
            body=b"x" * 4000,
            extra=lambda earlier, current: (b"", refusal(503)),
            extra_delay_s=LATE_S,
        )
        with mock.patch.object(upstream, "READ_AHEAD_BYTES", 1000):
            for number in range(4):
                status, _, _ = await self.deployment.call("/settle/1", method="POST")
                self.assertEqual(status, 200, f"request {number}")
                await asyncio.sleep(2 * LATE_S)


# Copies of an earlier answer, by the id of its request.
COPIES = {
    "with its id": lambda earlier: answer(earlier, b"Content-Length: 6", b"stolen"),
    "without an id": lambda earlier: answer("", b"Content-Length: 6", b"stolen"),
    "in chunks": lambda earlier: answer(
        earlier, b"Transfer-Encoding: chunked", b"6\r\nstolen\r\n0\r\n\r\n"
    ),
    "without its end": lambda earlier: answer(earlier, b"Content-Length: 9", b"stolen"),
    "without a length": lambda earlier: answer(earlier, b"Vary: *", b"stolen"),
    "that closes": lambda earlier: answer(
        earlier, b"Connection: close\r\nContent-Length: 6", b"stolen"
    ),
    "of an error": lambda earlier: answer(
        earlier, b"Content-Length: 6", b"stolen", 500
    ),
    "of an event": lambda earlier: answer(
        earlier, b"Content-Length: 25", b"id: 1\ndata: stolen\n\nid: 2"
    ),
    "after an interim one": lambda earlier: (
        b"HTTP/1.1 103 Early Hints\r\n\r\n"
        + answer(earlier, b"Content-Length: 6", b"stolen")
    ),
}


# Copies behind which no answer can be found.
HIDING_COPIES = ("without its end", "without a length", "that closes")


def answer(request_id: str, framing: bytes, body: bytes, status: int = 200) -> bytes:
    """Returns a signed response with an id, or none if it is empty."""
    id_line = f"X-Attempt-Id: {request_id}\r\n".encode() if request_id else b""
    head = b"HTTP/1.1 %d Status\r\n%sX-Response-Seal: s\r\n" % (status, id_line)
    return head + framing + b"\r\n\r\n" + body


class SecondCopyOfAnAnswerTest(UnrelatedResponseCase):
    """Guards against an earlier answer that is taken for the current request's."""

    PATHS = ("/settle/1", "/lookup/1", "/draft/1", "/answer/1")
    PLACES = RefusalOfAnEarlierRequestTest.PLACES
    BODY = b"id: 1\ndata: right\n\n"

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.servers += [
            await self.deployment.add_server(server_id, "appraiser")
            for server_id in ("e1", "e2")
        ]

    async def test_second_copy_of_an_answer_does_not_reach_another_caller(self):
        numbers = itertools.count()
        cases = itertools.product(COPIES.items(), self.PLACES.items(), self.PATHS)
        for (name, copy), (place, arrange), path in cases:
            # The copy of an error meets successes, that of an event meets errors.
            status = 500 if name == "of an event" else 200
            with self.subTest(f"{name}, {place}", path=path):
                delay_s = arrange(b"")[2]

                self.set_behaviour(Behaviour(body=self.BODY))
                await self.call(path, f"calm-{next(numbers)}")
                self.set_behaviour(
                    Behaviour(
                        status=status,
                        body=self.BODY,
                        extra=copies_beside_answer(copy, arrange),
                        extra_delay_s=delay_s,
                    )
                )
                for _ in range(3):
                    request_id = f"r{next(numbers)}"
                    received = await self.call(path, request_id)
                    if place == "before the answer" and name in HIDING_COPIES:
                        self.assertIn(received, [(502, b""), (504, b"")])
                    else:
                        self.assertEqual(received, (status, self.BODY))
                    if path == "/settle/1":
                        self.assertLessEqual(self.runs(request_id), 1)
                    await asyncio.sleep(2 * delay_s)

    async def call(self, path: str, request_id: str) -> tuple[int, bytes]:
        """Sends a request; returns the status, 0 for none, and the body."""
        try:
            status, body, _ = await self.deployment.call(
                path, method="POST", X_Attempt_Id=request_id, X_Deadline_Ms="500"
            )
        except ConnectionLost:
            return 0, b""
        return status, body


def copies_beside_answer(copy, arrange):
    """Returns the ``extra`` of a server that sends its earlier answer once more."""

    def extra(earlier: str, current: str) -> tuple[bytes, bytes]:
        before, after, _ = arrange(copy(earlier or "other"))
        return before, after

    return extra
