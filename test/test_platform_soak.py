"""Runs short soaks of gateway processes, and tests the checks of the soak."""

import contextlib
import io
import itertools
import json
import random
import time
import unittest
from pathlib import Path

from emulator.platform.process import temporary_directory
from emulator.platform.server import PlatformServer, ReceivedRequest, SentNotice
from emulator.platform.soak import REVOCATION_LIMIT_S, run_seed
from emulator.platform.soak_checks import (
    Call,
    History,
    Interval,
    find_logged_errors,
    find_violations,
)
from emulator.platform.soak_configuration import API_KEYS, ChangingConfiguration
from emulator.platform.soak_deployment import SoakDeployment
from emulator.platform.soak_faults import EXTRA_PREFIX, FaultInjector
from emulator.proxy import FaultProxy

SECONDS = 8.0
# Seeds whose soak once found a violation: the faults that were played alone, the cause.
REGRESSIONS: dict[int, tuple[tuple[str, ...], str]] = {
    1612: (("odd_entries",), "entries after one whose decoder raised were lost"),
}


class SoakTest(unittest.IsolatedAsyncioTestCase):
    """Guards against gateways that break a guarantee under faults."""

    async def run_soak(self, seed: int, only: tuple[str, ...] = ()) -> None:
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            found = await run_seed(seed, SECONDS, None, only=only)
        self.assertEqual(found, [], output.getvalue())
        self.assertGreater(json.loads(output.getvalue())["calls"], 100)

    async def test_fixed_seed(self):
        await self.run_soak(4)

    async def test_fresh_seed(self):
        seed = random.SystemRandom().randrange(1_000, 1_000_000)
        with self.subTest(seed=seed):
            await self.run_soak(seed)

    async def test_seeds_that_once_failed(self):
        for seed, (only, cause) in REGRESSIONS.items():
            with self.subTest(seed=seed, cause=cause):
                await self.run_soak(seed, only)


class HeartbeatTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a stand-in that counts a start's heartbeats from 1 again."""

    async def test_count_goes_on_after_the_entry_lapsed(self):
        deployment = SoakDeployment(1, Path())
        server = PlatformServer("l1")
        await server.start()
        self.addAsyncCleanup(server.stop)
        link = FaultProxy(server.address)
        await link.start()
        self.addAsyncCleanup(link.stop)
        sequences = []
        for born in (1000, 1000, 2000):
            deployment.publish_server(server, link, "ledger", born=born)
            entry = json.loads(deployment.store.read("servers/l1"))
            sequences.append((entry["born"], entry["seq"]))
            deployment.withdraw_server(server)
        self.assertEqual(sequences, [(1000, 1), (1000, 2), (2000, 1)])


class MemoryTest(unittest.TestCase):
    """Guards against a soak that overlooks a process that holds too much memory."""

    def test_excess_is_a_violation(self):
        history = History(memory_excesses=["gateway-2 held 170 MB of 160"])
        found = find_violations(history, REVOCATION_LIMIT_S, API_KEYS)
        self.assertEqual(found, ["memory: gateway-2 held 170 MB of 160"])


class FaultKindsTest(unittest.TestCase):
    """Guards against faults that are never drawn, or drawn though they are extra."""

    def setUp(self):
        directory = Path(self.enterContext(temporary_directory()))
        self.injector = FaultInjector(
            SoakDeployment(1, directory), History(), random.Random(1)
        )

    def test_extra_faults_are_only_drawn_if_they_are_named(self):
        usual = self.injector.select_kinds((), ())
        self.assertIn("fault_odd_entries", usual)
        self.assertIn("fault_client_crowd", usual)
        self.assertFalse([name for name in usual if name.startswith(EXTRA_PREFIX)])
        extra = self.injector.select_kinds(["bad_prompts"], ())
        self.assertEqual(extra, [*usual, "extra_fault_bad_prompts"])
        only = self.injector.select_kinds((), ["bad_prompts", "store"])
        self.assertEqual(only, ["extra_fault_bad_prompts", "fault_store"])
        with self.assertRaisesRegex(ValueError, "unknown fault"):
            self.injector.select_kinds((), ["rain"])


class ChangingConfigurationTest(unittest.TestCase):
    """Guards against configurations that play no changes."""

    def test_versions_add_remove_move_and_split_routes_of_each_kind(self):
        configuration = ChangingConfiguration(random.Random(1))
        versions = []
        kinds = set()
        for number in range(40):
            configuration.change()
            versions.append(configuration.to_version(float(number)))
            kinds |= {route["kind"] for route in configuration.document()["routes"]}
        pairs = list(itertools.pairwise(versions))
        self.assertTrue(all(a.version < b.version for a, b in pairs))
        self.assertTrue(all(set(b.services) - set(a.services) for a, b in pairs))
        self.assertTrue(any(set(a.services) - set(b.services) for a, b in pairs))
        self.assertTrue(
            any(
                a.services[key] != b.services[key]
                for a, b in pairs
                for key in set(a.services) & set(b.services)
            )
        )
        self.assertEqual(len({key[0] for key in versions[-1].services}), 2)
        self.assertEqual(kinds, {"safe", "non_idempotent", "streaming"})

    def test_withdrawn_key_is_not_valid_again(self):
        configuration = ChangingConfiguration(random.Random(1))
        keys = [configuration.withdraw_key(), configuration.withdraw_key()]
        for _ in range(20):
            configuration.change()
            self.assertTrue(configuration.keys.keys().isdisjoint(keys))
        self.assertGreaterEqual(len(configuration.keys), 2)


class ChecksCase(unittest.TestCase):
    """Builds histories of one call."""

    def setUp(self):
        self.key = next(iter(API_KEYS))
        self.now = time.monotonic()

    def call(self, path="/settle/1", status=200, body=b"r1", **changes) -> Call:
        return Call("r1", path, self.key, self.now, status, body, **changes)

    def make_run(self, path="/settle/1", **headers) -> ReceivedRequest:
        fields = {"x-attempt-id": "r1", "x-tenant": API_KEYS[self.key]} | headers
        return ReceivedRequest("POST", path, fields, b"")

    def check(self, *runs: ReceivedRequest, calls=None, **fields) -> str:
        calls = [self.call()] if calls is None else calls
        history = History(calls=calls, runs=list(runs), events=2, **fields)
        return " ".join(find_violations(history, REVOCATION_LIMIT_S, API_KEYS))


class ChecksTest(ChecksCase):
    """Tests each check on a constructed history that violates it."""

    def test_history_without_violation(self):
        self.assertEqual(self.check(self.make_run()), "")

    def test_each_violation_is_found(self):
        run = self.make_run()
        self.assertIn("twice", self.check(run, run))
        self.assertIn("unknown", self.check(run, calls=[]))
        self.assertIn("changed", self.check(self.make_run("/settle/2")))
        self.assertIn("key passed", self.check(self.make_run(authorization="x")))
        other = self.make_run(**{"x-tenant": "other"})
        self.assertIn("wrong workspace", self.check(other))
        self.assertIn("refused", self.check(run, calls=[self.call(status=503)]))
        self.assertIn("error", self.check(calls=[self.call(status=500)]))
        self.assertIn("wrong body", self.check(run, calls=[self.call(body=b"r2")]))
        stream = self.call("/draft/1", body=b"id: 1\ndata: r1\n\n")
        self.assertIn("stream", self.check(self.make_run("/draft/1"), calls=[stream]))
        notice = SentNotice("l1", "r1", True, 2.0, at=self.now)
        told = self.call(gateway="g1", ended_at=self.now)
        told.headers["x-response-seal"] = "seal-of-l1"
        arrivals = [
            ReceivedRequest("POST", "/settle/1", fields, b"", self.now + 1.0)
            for number in range(2, 5)
            for fields in [{"x-attempt-id": f"r{number}", "x-expect-instance": "l1"}]
        ]
        calls = [told] + [
            Call(f"r{n}", "/settle/1", self.key, self.now + 0.9, gateway="g1")
            for n in range(2, 5)
        ]
        recorded = {"calls": calls, "notices": [notice], "arrivals": arrivals}
        self.assertIn("leaving", self.check(**recorded))
        self.assertIn("busy", self.check(**recorded))
        self.assertNotIn("busy", self.check(**recorded | {"arrivals": arrivals[:2]}))
        paused = {"g1": [(self.now + 0.1, self.now + 0.2)]}
        self.assertEqual(self.check(**recorded, disturbed=paused), "")
        for call in calls[1:]:
            call.gateway = "g2"
        self.assertEqual(self.check(**recorded), "")
        revoked = {self.key: self.now - REVOCATION_LIMIT_S - 1}
        self.assertIn("revoked", self.check(run, revoked_at=revoked))

    def test_unforeseen_errors_in_a_log_are_found(self):
        task = '{"message": "background task failed; it is started again"}'
        for line in (task, '{"exc_info": "Traceback (most recent call last)..."}'):
            self.assertEqual(len(find_logged_errors("g1", [line, "{}"])), 1)

    def test_errors_of_servers_are_no_errors_of_the_gateway(self):
        call = self.call(status=500)
        call.headers["x-response-seal"] = "seal-of-l1"
        self.assertEqual(self.check(self.make_run(), calls=[call]), "")


class LossCheckTest(ChecksCase):
    """Tests the check of requests that a stopping gateway leaves without an answer."""

    def check_loss(self, *runs, after_s=0.5, impaired="none", impaired_s=0.0) -> str:
        """Checks a call that lost its connection while its gateway stopped.

        :param impaired: what was impaired until ``impaired_s`` before the call.
        """
        call = self.call(status=0, gateway="g1", ended_at=self.now + after_s, lost=True)
        faults = [Interval(impaired, self.now - 10.0, self.now - impaired_s)]
        stop = Interval("g1", self.now - 1.0, self.now + 1.0)
        return self.check(*runs, calls=[call], stops=[stop], impairments=faults)

    def test_request_that_was_passed_on_is_found(self):
        self.assertIn("lost", self.check_loss(self.make_run(), after_s=0.1))

    def test_request_that_no_server_got_is_found_unless_it_crossed_the_close(self):
        self.assertIn("unanswered", self.check_loss())
        self.assertEqual(self.check_loss(after_s=0.1), "")

    def test_only_an_impairment_of_the_gateway_or_the_server_excuses_it(self):
        run = self.make_run()
        run.server_id = "l1"
        for impaired in ("g1", "l1"):
            self.assertEqual(self.check_loss(run, impaired=impaired), "")
        self.assertIn("lost", self.check_loss(run, impaired="l2"))
        self.assertIn("lost", self.check_loss(run, impaired="l1", impaired_s=3.5))

    def test_failed_stop_is_found(self):
        self.assertIn("stop", self.check(calls=[], failed_stops=["g1 ended with -9"]))
