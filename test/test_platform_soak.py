"""A short fault soak of real gateways, and that its checks can fail."""

import contextlib
import io
import json
import random
import time
import unittest

from emulator.platform.server import Arrival
from emulator.platform.soak import KEYS, REVOKE_S, run_seed
from emulator.platform.soak_checks import Call, History, violations

SECONDS = 8.0
# Seeds that once broke a promise, with the cause. None so far.
REGRESSIONS: dict[int, str] = {}


class SoakTest(unittest.IsolatedAsyncioTestCase):
    async def play(self, seed: int) -> None:
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            found = await run_seed(seed, SECONDS, None)
        self.assertEqual(found, [], output.getvalue())
        self.assertGreater(json.loads(output.getvalue())["calls"], 100)

    async def test_fixed_seed(self):
        await self.play(4)

    async def test_fresh_seed(self):
        seed = random.SystemRandom().randrange(1_000, 1_000_000)
        with self.subTest(seed=seed):
            await self.play(seed)

    async def test_seeds_that_once_failed(self):
        for seed, cause in REGRESSIONS.items():
            with self.subTest(seed=seed, cause=cause):
                await self.play(seed)


class ChecksTest(unittest.TestCase):
    """Each promise has a history that breaks it."""

    def setUp(self):
        self.key = next(iter(KEYS))
        self.now = time.monotonic()

    def call(self, path="/settle/1", status=200, body=b"r1", **changes) -> Call:
        return Call("r1", path, self.key, self.now, status, body, **changes)

    def run_of(self, path="/settle/1", **headers) -> Arrival:
        fields = {"x-attempt-id": "r1", "x-tenant": KEYS[self.key]} | headers
        return Arrival("POST", path, fields, b"")

    def found(self, *runs: Arrival, calls=None, **fields) -> str:
        calls = [self.call()] if calls is None else calls
        history = History(calls=calls, runs=list(runs), events=2, **fields)
        return " ".join(violations(history, REVOKE_S, KEYS))

    def test_good_history(self):
        self.assertEqual(self.found(self.run_of()), "")

    def test_broken_histories(self):
        run = self.run_of()
        self.assertIn("twice", self.found(run, run))
        self.assertIn("unasked", self.found(run, calls=[]))
        self.assertIn("changed", self.found(self.run_of("/settle/2")))
        self.assertIn("key passed", self.found(self.run_of(authorization="x")))
        other = self.run_of(**{"x-tenant": "other"})
        self.assertIn("wrong workspace", self.found(other))
        self.assertIn("refused", self.found(run, calls=[self.call(status=503)]))
        self.assertIn("mixed", self.found(run, calls=[self.call(body=b"r2")]))
        stream = self.call("/draft/1", body=b"id: 1\ndata: r1\n\n")
        self.assertIn("stream", self.found(self.run_of("/draft/1"), calls=[stream]))
        revoked = {self.key: self.now - REVOKE_S - 1}
        self.assertIn("revoked", self.found(run, revoked_at=revoked))
