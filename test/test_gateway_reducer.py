"""The gateway's decisions, tested on the reducer alone and by replays of load patterns."""

import random
import unittest

from heatherswitch.fleet.counters import Count
from heatherswitch.gateway import events as ev
from heatherswitch.gateway.limits import Limits
from heatherswitch.gateway.model import Load, PromptPart, Service
from heatherswitch.gateway.retry_budget import BUDGET_SHARE
from heatherswitch.gateway.rollouts import RolloutOrder
from heatherswitch.gateway.servers import (
    MAX_BACKOFF_S,
    MAX_LOAD_TTL_S,
    REAPPEAR_GRACE_S,
)
from heatherswitch.statecore.replica import Position
from test.gateway_fakes import Driver, chat_prompt, configuration, server


class AdmissionTest(unittest.TestCase):
    def test_unknown_route_is_503_before_the_first_configuration(self):
        driver = Driver(version=0)
        refusal = driver.decide("/nowhere/")
        self.assertEqual(refusal.status, 503)
        self.assertFalse(driver.reducer.ready(driver.now))

    def test_unknown_route_is_404_and_unknown_key_401(self):
        driver = Driver()
        self.assertEqual(driver.decide("/nowhere/").status, 404)
        self.assertEqual(driver.decide("/safe/1", key="forged").status, 401)

    def test_unknown_route_or_key_is_503_if_the_configuration_is_outdated(self):
        """A newer configuration may have added the route or the key."""
        driver = Driver()
        driver.now += 2.5
        self.assertEqual(driver.decide("/nowhere/").status, 503)
        self.assertEqual(driver.decide("/safe/1", key="new").status, 503)

    def test_keys_are_refused_once_the_configuration_exceeds_its_maximum_age(self):
        """A revoked key must be refused within the platform's bound."""
        driver = Driver(Limits(key_max_age_s=4.5))
        driver.add_servers(server("l1"))
        driver.now += 4.4
        self.assertIsInstance(driver.decide("/safe/1"), ev.Forward)
        driver.now += 0.2
        self.assertEqual(driver.decide("/safe/1").status, 503)
        self.assertIsInstance(driver.decide("/open/1"), ev.Forward)

    def test_gateway_becomes_not_ready_before_keys_are_refused(self):
        driver = Driver()
        driver.now += Limits().timing.ready_age_s + 0.1
        self.assertFalse(driver.reducer.ready(driver.now))

    def test_unknown_route_or_key_is_503_if_a_configuration_cannot_be_decoded(self):
        """The newest configuration may have added the route or the key."""
        driver = Driver(version=5)
        driver.add_servers(server("l1"))
        driver.apply(ev.ConfigurationRead(None))
        self.assertEqual(driver.decide("/nowhere/").status, 503)
        self.assertEqual(driver.decide("/safe/1", key="new").status, 503)
        self.assertIsInstance(driver.decide("/safe/1"), ev.Forward)
        driver.apply(ev.ConfigurationRead(configuration(6, complete=False)))
        self.assertEqual(driver.decide("/nowhere/").status, 503)
        driver.apply(ev.ConfigurationRead(configuration(7)))
        self.assertEqual(driver.decide("/nowhere/").status, 404)
        driver.apply(ev.ConfigurationRead(None))
        driver.apply(ev.ConfigurationRead(configuration(7)))
        self.assertEqual(driver.decide("/nowhere/").status, 404)

    def test_older_configuration_is_ignored(self):
        driver = Driver(version=5)
        driver.apply(ev.ConfigurationRead(configuration(4, routes=())))
        self.assertEqual(driver.reducer.configuration.version, 5)

    def test_longest_prefix_wins(self):
        table = Driver().reducer.configuration.routes
        self.assertEqual(table.find("auction.example", "/safe/a/b?").prefix, "/safe/")
        self.assertIsNone(table.find("auction.example", "/safe"))
        self.assertIsNone(table.find("other.example", "/safe/1"))


class RolloutEvidenceTest(unittest.TestCase):
    """Which responses count as evidence about a new version."""

    def setUp(self):
        self.driver = Driver()
        self.old, self.new = server("e1", "engine"), server("e2", "engine")
        self.new = self.new.replace(version="v2")
        self.driver.add_servers(self.old, self.new)
        order = RolloutOrder("engine", "v2", 12.0, Position(1, 7))
        for _ in range(20):
            self.stream(interval_s=0.03)
        self.driver.apply(ev.RolloutOrdered("engine", order))
        self.driver.advance(5.0)

    def stream(self, interval_s: float | None) -> ev.Forward:
        sent = self.driver.decide("/chat/1", parts=chat_prompt("guide"))
        self.driver.apply(ev.ResponseStarted(sent.serial, None, 0.02, True))
        self.driver.apply(ev.StreamProgressed(sent.serial, 0.02, None))
        if interval_s is not None:
            self.driver.apply(ev.StreamProgressed(sent.serial, 0.02, interval_s))
            self.driver.end_attempt(sent.serial, ev.Completed(200, 0.1))
        return sent

    def count_slow(self) -> int:
        """Returns the number of slow responses of the new version."""
        self.driver.advance(0.5)
        rollout = self.driver.reducer.rollouts["engine"]
        records = rollout.own_evidence(self.driver.now, "me")
        return sum(record.starting.slow for record in records)

    def wait_for_new_version(self, interval_s: float | None) -> ev.Forward:
        for _ in range(100):
            sent = self.stream(interval_s)
            if sent.server.id == "e2":
                return sent
            if interval_s is None:
                self.driver.end_attempt(sent.serial, ev.Completed(200, 0.1))
        self.fail("the new version got no request")

    def test_slow_events_count_before_the_stream_ends(self):
        sent = self.wait_for_new_version(None)
        self.driver.apply(ev.StreamProgressed(sent.serial, 0.02, 0.12))
        self.assertEqual(self.count_slow(), 1)

    def test_caller_that_leaves_a_slow_stream_counts(self):
        """Their requests were no evidence, so a slow version looked better."""
        sent = self.wait_for_new_version(None)
        self.driver.now += 2.0
        self.driver.apply(ev.CallerDisconnected(sent.serial))
        self.assertEqual(self.count_slow(), 1)

    def test_caller_that_leaves_early_does_not_count(self):
        sent = self.wait_for_new_version(None)
        self.driver.now += 0.1
        self.driver.apply(ev.CallerDisconnected(sent.serial))
        self.assertEqual(self.count_slow(), 0)

    def test_stream_without_further_events_counts_while_it_waits(self):
        self.wait_for_new_version(None)
        self.driver.advance(2.0)
        self.assertEqual(self.count_slow(), 1)


class PlacementTest(unittest.TestCase):
    def test_draining_and_removed_servers_get_no_requests(self):
        driver = Driver()
        driver.add_servers(server("l1", draining=True), server("l2"))
        driver.apply(ev.ServerRemoved("l2", after_outage=False))
        self.assertEqual(driver.decide("/safe/1").status, 503)

    def test_server_whose_entry_expired_in_an_outage_is_used_for_a_grace_period(self):
        driver = Driver()
        driver.add_servers(server("l1"))
        driver.apply(ev.ServerRemoved("l1", after_outage=True))
        self.assertIsInstance(driver.decide("/safe/1"), ev.Forward)
        driver.advance(REAPPEAR_GRACE_S + 0.1)
        self.assertEqual(driver.decide("/safe/1").status, 503)

    def test_draining_server_whose_entry_expired_in_an_outage_is_removed(self):
        driver = Driver()
        driver.add_servers(server("l1", draining=True))
        driver.apply(ev.ServerRemoved("l1", after_outage=True))
        self.assertEqual(driver.decide("/safe/1").status, 503)

    def test_server_that_refused_a_connection_is_unused_until_its_next_heartbeat(self):
        """The entry of a server that has exited stays for three heartbeats.

        Requests sent to it meanwhile would only meet refused connections.
        """
        driver = Driver()
        driver.add_servers(server("l1"))
        sent = driver.decide("/once/1")
        driver.end_attempt(sent.serial, ev.NotSent("refused", refused=True))
        driver.advance(2.0)
        self.assertEqual(driver.decide("/once/1").status, 503)
        driver.add_servers(server("l1"))
        self.assertIsInstance(driver.decide("/once/1"), ev.Forward)

    def test_server_that_seemed_to_have_exited_is_used_again_if_its_entry_stays(self):
        """Guards RECOVER: one refused connection took a server out for good.

        A heartbeat that changes only its number is no event of the store.
        """
        for outcome in (ev.NotSent("refused", refused=True), ev.Rejected(421, True)):
            with self.subTest(outcome):
                driver = Driver()
                driver.add_servers(server("l1"))
                for _ in range(2):
                    sent = driver.decide("/once/1")
                    driver.end_attempt(sent.serial, outcome)
                    driver.advance(Limits().entry_ttl_s - 0.1)
                    self.assertEqual(driver.decide("/once/1").status, 503)
                    driver.advance(0.2)
                self.assertIsInstance(driver.decide("/once/1"), ev.Forward)

    def test_zone_out_of_service_gets_no_requests(self):
        driver = Driver()
        driver.add_servers(server("l1"), server("l2", zone="b"))
        driver.apply(ev.ZonesOut(frozenset({"a"})))
        for _ in range(5):
            self.assertEqual(driver.decide("/safe/1").server.id, "l2")

    def test_route_with_regions_uses_servers_of_these_regions_only(self):
        driver = Driver()
        driver.add_servers(server("l1"), server("l2", zone="b"))
        for _ in range(5):
            self.assertEqual(driver.decide("/west/1").server.id, "l2")

    def test_chat_returns_to_the_server_that_has_its_prompt_cached(self):
        driver = Driver()
        driver.add_servers(*(server(f"e{n}", "engine") for n in range(5)))
        chosen = set()
        for _ in range(6):
            effect = driver.decide("/chat/1", parts=chat_prompt("guide"))
            chosen.add(effect.server.id)
            driver.end_attempt(effect.serial, ev.Completed(200, 0.1))
        self.assertEqual(len(chosen), 1)

    def test_moved_chat_copies_its_prompt_from_the_previous_server(self):
        driver = Driver()
        driver.add_servers(*(server(f"e{n}", "engine") for n in range(3)))
        first = driver.decide("/chat/1", parts=chat_prompt("guide"))
        driver.apply(ev.ResponseStarted(first.serial, None, 0.1, True))
        driver.add_servers(server(first.server.id, "engine", draining=True))
        second = driver.decide("/chat/1", parts=chat_prompt("guide"))
        self.assertNotEqual(second.server.id, first.server.id)
        self.assertEqual(second.copy_source.id, first.server.id)

    def test_server_that_has_the_prompt_cached_copies_nothing(self):
        driver = Driver()
        driver.add_servers(*(server(f"e{n}", "engine") for n in range(3)))
        first = driver.decide("/chat/1", parts=chat_prompt("guide"))
        driver.apply(ev.ResponseStarted(first.serial, None, 0.1, True))
        self.assertIsNone(
            driver.decide("/chat/1", parts=chat_prompt("guide")).copy_source
        )


class CopySourceTest(unittest.TestCase):
    """Which server the shared parts of a prompt are copied from."""

    def setUp(self):
        self.driver = Driver()
        self.driver.add_servers(*(server(f"e{n}", "engine") for n in range(4)))
        self.driver.advance(20.0)

    def prompt_parts(self, subject: str):
        parts = (PromptPart("root", 500), PromptPart(subject, 900))
        return (*parts, PromptPart(f"{subject}-own", 50))

    def test_new_subject_copies_the_common_root_from_another_server(self):
        """Otherwise each server processes the root that all subjects share again."""
        first = self.driver.decide("/chat/1", parts=self.prompt_parts("s0"))
        self.driver.apply(ev.ResponseStarted(first.serial, None, 0.1, True))
        for number in range(1, 20):
            sent = self.driver.decide("/chat/1", parts=self.prompt_parts(f"s{number}"))
            if sent.server.id != first.server.id:
                self.assertEqual(sent.copy_source.id, first.server.id)
                return
        self.fail("all subjects went to one server")

    def test_preferred_server_that_is_not_new_copies_nothing(self):
        self.assertIsNone(
            self.driver.decide("/chat/1", parts=self.prompt_parts("s0")).copy_source
        )

    def test_new_server_copies_from_the_previously_preferred_server(self):
        for number in range(40):
            parts = chat_prompt(f"s{number}")
            before = self.driver.decide("/chat/1", parts=parts)
            self.driver.end_attempt(before.serial, ev.Completed(200, 0.1))
            self.driver.add_servers(server("new", "engine"))
            after = self.driver.decide("/chat/1", parts=parts)
            self.driver.end_attempt(after.serial, ev.Completed(200, 0.1))
            if after.server.id == "new":
                self.assertEqual(after.copy_source.id, before.server.id)
                return
            self.driver.apply(ev.ServerRemoved("new", after_outage=False))
        self.fail("the new server was never preferred")


class RetryTest(unittest.TestCase):
    def setUp(self):
        self.driver = Driver()
        self.driver.add_servers(*(server(f"l{n}") for n in range(4)))
        self.driver.add_servers(*(server(f"e{n}", "engine") for n in range(4)))

    def test_non_idempotent_request_that_may_have_run_is_not_retried(self):
        sent = self.driver.decide("/once/1")
        refusal = self.driver.end_attempt(sent.serial, ev.Broken("reset"))
        self.assertEqual(refusal.status, 502)
        self.assertIsNone(refusal.retry_after_s)

    def test_max_servers_does_not_allow_a_retry_of_a_non_idempotent_request(self):
        """Only the kind of a request decides whether it may run twice (rule TWICE)."""
        for outcome in (ev.Broken("reset"), ev.Broken("silent", silent=True)):
            sent = self.driver.decide("/twice/1")
            refusal = self.driver.end_attempt(sent.serial, outcome)
            self.assertIsInstance(refusal, ev.Refuse)
            self.assertIn(refusal.status, (502, 504))
        sent = self.driver.decide("/twice/1")
        held = self.driver.end_attempt(sent.serial, ev.FailedAnswer(500))
        self.assertIsInstance(held, ev.Relay)

    def test_rejected_non_idempotent_request_is_sent_to_another_server(self):
        sent = self.driver.decide("/once/1")
        retry = self.driver.end_attempt(sent.serial, ev.Rejected(503, False))
        self.assertIsInstance(retry, ev.Forward)
        self.assertNotEqual(retry.server.id, sent.server.id)

    def test_refusal_after_a_possible_run_has_no_status_that_denies_it(self):
        sent = self.driver.decide("/safe/1")
        retry = self.driver.end_attempt(sent.serial, ev.Broken("reset"))
        self.assertIsInstance(retry, ev.Forward)
        refusal = self.driver.end_attempt(retry.serial, ev.Rejected(503, False))
        if isinstance(refusal, ev.Refuse):
            self.assertNotIn(refusal.status, (408, 421, 429, 503))

    def test_max_servers_limits_the_servers_that_run_a_request(self):
        sent = self.driver.decide("/safe/1")
        retry = self.driver.end_attempt(sent.serial, ev.Broken("reset"))
        refusal = self.driver.end_attempt(retry.serial, ev.Broken("reset"))
        self.assertEqual(refusal.status, 502)

    def test_error_response_of_the_last_server_is_delivered(self):
        sent = self.driver.decide("/safe/1")
        retry = self.driver.end_attempt(sent.serial, ev.FailedAnswer(500))
        last = self.driver.end_attempt(retry.serial, ev.FailedAnswer(500))
        self.assertIsInstance(last, ev.Relay)

    def test_interrupted_stream_is_resumed_only_if_the_route_is_resumable(self):
        sent = self.driver.decide("/live/1", parts=chat_prompt("x"))
        retry = self.driver.end_attempt(sent.serial, ev.Broken("reset", started=True))
        self.assertIsInstance(retry, ev.Forward)
        sent = self.driver.decide("/chat/1", parts=chat_prompt("x"))
        cut = self.driver.end_attempt(sent.serial, ev.Broken("reset", started=True))
        self.assertIsInstance(cut, ev.Cut)

    def test_stream_that_can_not_be_continued_is_cut(self):
        """Its last event had no id, so that the next server would begin anew."""
        sent = self.driver.decide("/live/1", parts=chat_prompt("x"))
        broken = ev.Broken("reset", started=True, resumable=False)
        self.assertIsInstance(self.driver.end_attempt(sent.serial, broken), ev.Cut)

    def test_plain_response_that_was_begun_is_cut(self):
        """The next server's response followed in the same body."""
        for outcome in (
            ev.Broken("reset", started=True),
            ev.Broken("silent", started=True, silent=True),
        ):
            sent = self.driver.decide("/safe/1")
            cut = self.driver.end_attempt(sent.serial, outcome)
            self.assertIsInstance(cut, ev.Cut)
            self.assertEqual(cut.reason, "part of the response was delivered")

    def test_request_whose_connection_was_refused_is_sent_elsewhere(self):
        sent = self.driver.decide("/once/1")
        retry = self.driver.end_attempt(sent.serial, ev.NotSent("refused"))
        self.assertIsInstance(retry, ev.Forward)

    def test_disconnected_caller_is_no_longer_pending(self):
        sent = self.driver.decide("/safe/1")
        self.driver.apply(ev.CallerDisconnected(sent.serial))
        self.assertEqual(self.driver.reducer.pending_count, 0)
        self.driver.apply(ev.AttemptEnded(sent.serial, ev.Completed(200, 0.1)))


class StallTest(unittest.TestCase):
    """A stalled attempt ends only together with the send to another server.

    It was abandoned before the retry rules were checked, so that callers of slow but
    sound servers got cut streams and status 504 (rule LOST).
    """

    def driver(self, servers: int = 2, retries: int = 50) -> Driver:
        slack = retries / BUDGET_SHARE
        driver = Driver(Limits(budget_ratio=0.0, budget_slack=slack, expected_fleet=1))
        driver.add_servers(*(server(f"e{n}", "engine") for n in range(servers)))
        return driver

    def open_stream(self, driver: Driver) -> ev.Forward:
        return driver.decide("/live/1", parts=chat_prompt("x"), deadline_s=60.0)

    def stall(self, driver: Driver, serial: int, started: bool = True) -> ev.Effect:
        """Reports a stall and returns the effect for the request."""
        driver.take_effects()
        outcome = ev.Broken("stalled", started, silent=True)
        driver.apply(ev.AttemptStalled(serial, outcome))
        (effect,) = [e for e in driver.take_effects() if e.serial == serial]
        return effect

    def assert_waits(self, effect: ev.Effect, reason: str) -> None:
        self.assertIsInstance(effect, ev.KeepWaiting)
        self.assertEqual(effect.reason, reason)

    def in_flight(self, driver: Driver, server_id: str) -> int:
        return driver.reducer._servers.get(server_id).in_flight

    def test_stalled_stream_moves_to_another_server_in_one_step(self):
        driver = self.driver()
        sent = self.open_stream(driver)
        moved = self.stall(driver, sent.serial)
        self.assertIsInstance(moved, ev.Forward)
        self.assertNotEqual(moved.server.id, sent.server.id)
        self.assertEqual(self.in_flight(driver, sent.server.id), 0)
        self.assertEqual(self.in_flight(driver, moved.server.id), 1)

    def test_stalled_stream_waits_if_no_other_server_exists(self):
        driver = self.driver(servers=1)
        sent = self.open_stream(driver)
        waits = self.stall(driver, sent.serial)
        self.assert_waits(waits, "no other server is available")
        self.assertEqual(self.in_flight(driver, sent.server.id), 1)
        finish = driver.end_attempt(sent.serial, ev.Completed(200, 3.0))
        self.assertIsInstance(finish, ev.Finish)

    def test_stalled_stream_waits_at_the_last_server_that_its_route_allows(self):
        driver = self.driver(servers=3)
        moved = self.stall(driver, self.open_stream(driver).serial)
        waits = self.stall(driver, moved.serial)
        self.assert_waits(waits, "the route allows no further server")
        finish = driver.end_attempt(moved.serial, ev.Completed(200, 3.0))
        self.assertIsInstance(finish, ev.Finish)

    def test_stalled_stream_that_breaks_later_is_still_resumed(self):
        """A stall that had no consequence must not count as a run."""
        driver = self.driver(servers=1)
        sent = self.open_stream(driver)
        self.stall(driver, sent.serial)
        driver.add_servers(server("e1", "engine"))
        broken = ev.Broken("reset", started=True)
        self.assertIsInstance(driver.end_attempt(sent.serial, broken), ev.Forward)

    def test_retry_budget_pays_once_for_a_move_and_not_for_a_wait(self):
        driver = self.driver(servers=1, retries=2)
        streams = [self.open_stream(driver) for _ in range(4)]
        self.stall(driver, streams[0].serial)
        driver.add_servers(server("e1", "engine"))
        for sent in streams[:2]:
            self.assertIsInstance(self.stall(driver, sent.serial), ev.Forward)
        for sent in (*streams[2:], streams[2]):
            waits = self.stall(driver, sent.serial)
            self.assert_waits(waits, "the retry budget is used up")

    def test_stalled_stream_does_not_move_to_a_server_that_stalled_too(self):
        """A pause of all servers would use up the retry budget for nothing."""
        driver = self.driver()
        streams = []
        while len({s.server.id for s in streams}) < 2:
            streams.append(
                driver.decide("/live/1", parts=chat_prompt(f"x{len(streams)}"))
            )
        first, second = streams[0], streams[-1]
        moved = self.stall(driver, first.serial)
        self.assertEqual(moved.server.id, second.server.id)
        waits = self.stall(driver, second.serial)
        self.assert_waits(waits, "the other servers failed recently")

    def test_stalled_stream_waits_for_room_elsewhere_without_being_queued(self):
        driver = self.driver(servers=0)
        driver.add_servers(server("e0", "engine", slots=1))
        sent = self.open_stream(driver)
        driver.add_servers(server("e1", "engine", slots=1))
        other = self.open_stream(driver)
        waits = self.stall(driver, sent.serial)
        self.assert_waits(waits, "no other server is available")
        self.assertEqual(driver.reducer.waiting_count, 0)
        driver.end_attempt(other.serial, ev.Completed(200, 0.1))
        self.assertIsInstance(self.stall(driver, sent.serial), ev.Forward)

    def test_new_requests_avoid_a_stalled_server_until_it_succeeds(self):
        driver = self.driver(servers=1)
        sent = self.open_stream(driver)
        self.stall(driver, sent.serial)
        state = driver.reducer._servers.get(sent.server.id)
        self.assertTrue(state.in_backoff(driver.now))
        driver.end_attempt(sent.serial, ev.Completed(200, 3.0))
        self.assertFalse(state.in_backoff(driver.now))

    def test_server_that_fails_thousands_of_times_in_a_row_is_still_avoided(self):
        """The delay, doubled each time, overflowed at the 1,025th failure."""
        driver = self.driver(servers=1)
        state = driver.reducer._servers.get("e0")
        for _ in range(3000):
            sent = self.open_stream(driver)
            driver.end_attempt(sent.serial, ev.NotSent("no route"))
        self.assertTrue(state.in_backoff(driver.now))
        driver.advance(MAX_BACKOFF_S + 0.1)
        self.assertFalse(state.in_backoff(driver.now))

    def test_stalled_request_times_out_at_its_deadline(self):
        driver = self.driver(servers=1)
        for started, effect in ((True, ev.Cut), (False, ev.Refuse)):
            sent = self.open_stream(driver)
            self.stall(driver, sent.serial, started)
            driver.now = sent.deadline_at
            late = ev.Broken("the deadline passed", started, silent=True)
            ended = driver.end_attempt(sent.serial, late)
            self.assertIsInstance(ended, effect)
            self.assertEqual(getattr(ended, "status", 504), 504)

    def test_stalled_plain_response_that_was_begun_is_not_sent_elsewhere(self):
        """Its server is the only one that can still complete it."""
        driver = self.driver()
        driver.add_servers(server("l1"), server("l2"))
        sent = driver.decide("/safe/1")
        waits = self.stall(driver, sent.serial)
        self.assert_waits(waits, "part of the response was delivered")
        ended = driver.end_attempt(sent.serial, ev.Broken("reset", started=True))
        self.assertIsInstance(ended, ev.Cut)

    def test_stall_of_a_request_whose_caller_left_is_ignored(self):
        driver = self.driver()
        sent = self.open_stream(driver)
        driver.apply(ev.CallerDisconnected(sent.serial))
        driver.take_effects()
        driver.apply(ev.AttemptStalled(sent.serial, ev.Broken("stalled", silent=True)))
        self.assertEqual(driver.take_effects(), [])

    def test_request_that_may_run_once_has_no_stall_timeout(self):
        driver = self.driver()
        sent = driver.decide("/chat/1", parts=chat_prompt("x"))
        self.assertIsNone(sent.stall_timeout_s)


class RequestQueueTest(unittest.TestCase):
    def driver_without_free_slots(self, routers=("me",)) -> Driver:
        """Returns a driver whose only plain server has no free slots."""
        driver = Driver(routers=routers)
        driver.add_servers(server("l1", slots=2))
        while isinstance(driver.decide_or_wait("/safe/1"), ev.Forward):
            pass
        return driver

    def setUp(self):
        def decide_or_wait(driver, path):
            driver.take_effects()
            driver.send_request(path)
            effects = driver.take_effects()
            return effects[0] if effects else None

        Driver.decide_or_wait = decide_or_wait
        self.addCleanup(delattr, Driver, "decide_or_wait")

    def test_request_without_any_server_is_refused_immediately(self):
        refusal = Driver().decide("/safe/1")
        self.assertEqual(refusal.status, 503)
        self.assertGreater(refusal.retry_after_s, 0)

    def test_queued_request_is_sent_when_a_slot_becomes_free(self):
        driver = self.driver_without_free_slots()
        running = 1
        driver.take_effects()
        driver.apply(ev.AttemptEnded(running, ev.Completed(200, 0.05)))
        forwarded = [e for e in driver.take_effects() if isinstance(e, ev.Forward)]
        self.assertEqual(len(forwarded), 1)

    def test_more_urgent_request_is_sent_first(self):
        driver = self.driver_without_free_slots()
        driver.send_request("/safe/late")
        urgent = driver.send_request("/urgent/1")
        driver.take_effects()
        driver.apply(ev.AttemptEnded(1, ev.Completed(200, 0.05)))
        forwarded = [e for e in driver.take_effects() if isinstance(e, ev.Forward)]
        self.assertEqual([e.serial for e in forwarded], [urgent])

    def test_full_queue_refuses_immediately_or_displaces_the_least_urgent(self):
        driver = self.driver_without_free_slots()
        refused = None
        while refused is None:
            refused = driver.decide_or_wait("/safe/1")
        self.assertEqual((refused.status, refused.reason), (503, "the queue is full"))
        driver.take_effects()
        urgent = driver.send_request("/urgent/1")
        (displaced,) = driver.take_effects()
        self.assertNotEqual(displaced.serial, urgent)
        self.assertEqual(displaced.status, 503)

    def test_request_for_cold_servers_is_refused_if_the_wait_is_too_long(self):
        """Replays the return of a cold zone whose rate other gateways share.

        A request must not wait in vain until its deadline, and the refusal must state
        when to retry.
        """
        routers = [f"r{n}" for n in range(31)]
        for cold_s, refused in ((30.0, True), (0.3, False)):
            driver = Driver(routers=routers)
            driver.add_servers(server("e1", "engine", cold_for_s=cold_s))
            driver.take_effects()
            driver.send_request("/chat/1", parts=chat_prompt("s"), deadline_s=2.0)
            effects = driver.take_effects()
            self.assertEqual(bool(effects), refused)
            if refused:
                self.assertEqual(effects[0].status, 503)
                self.assertAlmostEqual(effects[0].retry_after_s, cold_s)

    def test_rejected_requests_sent_from_the_queue_draw_on_the_retry_budget(self):
        """Replays rejections while the other server is full (rule BUDGET)."""
        allowed = 3
        limits = Limits(
            budget_ratio=0.0, budget_slack=allowed / BUDGET_SHARE, expected_fleet=1
        )
        driver = Driver(limits)
        driver.add_servers(server("l1", slots=2))
        running = [driver.decide("/safe/1").serial for _ in range(3)]
        driver.add_servers(server("l2", slots=20))
        repeats = 0
        for _ in range(10):
            rejected = driver.decide("/safe/1")
            self.assertEqual(rejected.server.id, "l2")
            driver.apply(ev.AttemptEnded(rejected.serial, ev.Rejected(503, False)))
            driver.take_effects()
            driver.apply(ev.AttemptEnded(running.pop(0), ev.Completed(200, 0.05)))
            for effect in driver.take_effects():
                if isinstance(effect, ev.Forward):
                    self.assertEqual(effect.repeats, 1)
                    repeats += 1
                    running.append(effect.serial)
            while len(running) < 3:
                driver.reducer._servers.get("l2").record.draining = True
                running.append(driver.decide("/safe/1").serial)
                driver.reducer._servers.get("l2").record.draining = False
        self.assertLessEqual(repeats, allowed)
        self.assertEqual(driver.reducer.waiting_count, 0)

    def test_repeat_that_reached_no_server_is_returned_to_the_retry_budget(self):
        limits = Limits(budget_ratio=0.0, budget_slack=1.0, expected_fleet=1)
        driver = Driver(limits)
        driver.add_servers(*(server(f"l{n}") for n in range(4)))
        sent = driver.decide("/safe/1")
        sent = driver.end_attempt(sent.serial, ev.Rejected(503, False))
        self.assertEqual(driver.reducer.retry_budget_left(driver.now, "ledger"), 0.0)
        sent = driver.end_attempt(sent.serial, ev.NotSent("no route", False))
        self.assertIsInstance(sent, ev.Forward)
        sent = driver.end_attempt(sent.serial, ev.Rejected(503, False))
        self.assertIsInstance(sent, ev.Refuse)
        self.assertEqual(sent.reason, "the retry budget is used up")

    def test_queued_request_is_refused_long_before_its_deadline(self):
        driver = self.driver_without_free_slots()
        driver.advance(0.51)
        refusals = driver.take_effects()
        self.assertTrue(refusals)
        self.assertEqual({r.status for r in refusals}, {503})


class GraceEndingTest(unittest.TestCase):
    """Guards against open requests that a stop ends without a response."""

    def setUp(self):
        self.driver = Driver()
        self.driver.add_servers(server("l1", slots=1), server("l2", slots=1))
        self.driver.add_servers(server("e1", "engine"), server("e2", "engine"))

    def test_queued_request_is_refused_and_freed_slots_are_not_used(self):
        while self.driver.reducer.waiting_count == 0:
            queued = self.driver.send_request("/twice/1")
        self.driver.take_effects()
        self.driver.apply(ev.GraceEnding())
        (refusal,) = self.driver.take_effects()
        self.assertEqual((refusal.serial, refusal.status), (queued, 503))
        self.assertIsInstance(
            self.driver.end_attempt(1, ev.Completed(200, 0.1)), ev.Finish
        )

    def test_running_request_is_not_retried_and_its_outcome_stays_open(self):
        serial = self.driver.send_request("/safe/1")
        self.driver.apply(ev.GraceEnding())
        effect = self.driver.end_attempt(serial, ev.Interrupted())
        self.assertEqual(effect.status, 504)

    def test_rejected_request_is_refused_in_place_of_a_retry(self):
        serial = self.driver.send_request("/twice/1")
        self.driver.apply(ev.GraceEnding())
        effect = self.driver.end_attempt(serial, ev.Rejected(503, other_instance=False))
        self.assertEqual(effect.status, 503)

    def test_response_that_a_retry_has_begun_to_deliver_is_cut(self):
        """The buffered error of the first server can't follow its head."""
        serial = self.driver.send_request("/live/1", parts=chat_prompt("s"))
        retry = self.driver.end_attempt(serial, ev.FailedAnswer(500))
        self.assertIsInstance(retry, ev.Forward)
        self.driver.apply(ev.GraceEnding())
        effect = self.driver.end_attempt(serial, ev.Interrupted(started=True))
        self.assertIsInstance(effect, ev.Cut)

    def test_partly_delivered_response_is_cut(self):
        serial = self.driver.send_request("/live/1", parts=chat_prompt("s"))
        self.driver.apply(ev.GraceEnding())
        effect = self.driver.end_attempt(serial, ev.Interrupted(started=True))
        self.assertIsInstance(effect, ev.Cut)


class FleetLimitTest(unittest.TestCase):
    """All gateways together stay within fleet-wide limits."""

    def drivers(self, size: int, **options) -> list[Driver]:
        ids = tuple(f"r{n}" for n in range(size))
        drivers = []
        for own in ids:
            driver = Driver(routers=ids, **options)
            driver.reducer._fleet._own = own
            drivers.append(driver)
        return drivers

    def test_cold_server_gets_at_most_its_rate_from_all_gateways_together(self):
        """Replays a burst at a server that has just returned cold (rule FAILBACK)."""
        rate, slack = 12.0, 5
        for size in (1, 3, 5, 31):
            arrivals = []
            for driver in self.drivers(size):
                driver.add_servers(server("e1", "engine", cold_for_s=30.0, slots=64))
                for _ in range(300):
                    driver.send_request("/chat/1", parts=chat_prompt("guide"))
                    driver.advance(0.01)
                    arrivals += [
                        driver.now
                        for e in driver.take_effects()
                        if isinstance(e, ev.Forward)
                    ]
            worst = max(sum(a <= b < a + 1 for b in arrivals) for a in arrivals)
            self.assertLessEqual(worst, rate * 1.5 + slack, f"{size} gateways")

    def test_retries_stay_within_the_budget_of_the_fleet(self):
        """Replays servers that reject every request for ten seconds (rule BUDGET)."""
        limits = Limits(budget_ratio=0.2, budget_slack=50.0)
        for size in (1, 5, 31):
            requests = retries = 0
            for driver in self.drivers(size, limits=limits):
                driver.add_servers(*(server(f"l{n}") for n in range(6)))
                for _ in range(100):
                    sent = driver.decide("/safe/1")
                    requests += 1
                    while isinstance(sent, ev.Forward):
                        rejected = ev.Rejected(503, False)
                        sent = driver.end_attempt(sent.serial, rejected)
                        retries += isinstance(sent, ev.Forward)
                    driver.advance(0.1)
            self.assertLessEqual(retries, 0.2 * requests + 50, f"{size} gateways")

    def test_requests_for_another_service_allow_no_repeats(self):
        """Replays a plain service that rejects everything beside a busy model.

        The budget counts each service for itself (rule BUDGET).
        """
        requests = repeats = 0
        for driver in self.drivers(5, limits=Limits(budget_slack=20.0)):
            driver.add_servers(*(server(f"l{n}") for n in range(6)))
            driver.add_servers(server("e1", "engine", slots=64))
            for _ in range(100):
                for _ in range(10):
                    chat = driver.decide("/live/1", parts=chat_prompt("x"))
                    driver.end_attempt(chat.serial, ev.Completed(200, 0.1))
                sent = driver.decide("/safe/1")
                requests += 1
                while isinstance(sent, ev.Forward):
                    sent = driver.end_attempt(sent.serial, ev.Rejected(503, False))
                    repeats += isinstance(sent, ev.Forward)
                driver.advance(0.1)
        self.assertLessEqual(repeats, 0.2 * requests + 20)

    def test_service_that_is_added_later_has_the_whole_share(self):
        """It was as small as after a restart, for as long as requests were rare."""
        driver = Driver(Limits(budget_slack=50.0))
        small = driver.reducer.retry_budget_left(driver.now, "ledger")
        driver.advance(100.0)
        added = driver.reducer.retry_budget_left(driver.now, "added")
        self.assertLess(small, 2.0)
        self.assertEqual(added, BUDGET_SHARE * 50.0)

    def test_gateway_without_a_list_of_routers_uses_a_small_share(self):
        driver = Driver(Limits(budget_slack=50.0), routers=())
        driver.add_servers(*(server(f"l{n}") for n in range(6)))
        retries = 0
        for _ in range(10):
            sent = driver.decide("/safe/1")
            retry = driver.end_attempt(sent.serial, ev.Rejected(503, False))
            retries += isinstance(retry, ev.Forward)
        self.assertLessEqual(retries, 3)


class LoadReplayTest(unittest.TestCase):
    """Replays of load patterns against the reducer."""

    def replay(self, driver, arrivals, duration_s=1.2, servers=6):
        """Serves requests, as (time, path, parts), at servers that take ``duration_s``.

        :returns: for each request sent, the server's load and the mean load at that
            time.
        """
        running: list[tuple[float, int, str]] = []
        load = {f"e{n}": 0 for n in range(servers)}
        seen = []
        for at, path, parts in arrivals:
            for done in sorted(r for r in running if r[0] <= at):
                running.remove(done)
                load[done[2]] -= 1
                driver.now = done[0]
                driver.apply(ev.AttemptEnded(done[1], ev.Completed(200, duration_s)))
            driver.now = at
            driver.apply(ev.StoreConfirmed(at))
            driver.take_effects()
            driver.send_request(path, parts=parts, deadline_s=10.0)
            for effect in driver.take_effects():
                if isinstance(effect, ev.Forward):
                    mean = sum(load.values()) / servers
                    seen.append((load[effect.server.id], mean))
                    load[effect.server.id] += 1
                    running.append((at + duration_s, effect.serial, effect.server.id))
                    report = Load(load[effect.server.id], 0, 64)
                    driver.apply(ev.ResponseStarted(effect.serial, report, 0.01, True))
        return seen

    def test_hot_chat_spreads_before_its_server_exceeds_the_load_bound(self):
        """Replays a load in which a third of all requests share a prompt (rule LIMIT)."""
        driver = Driver()
        driver.add_servers(*(server(f"e{n}", "engine", slots=64) for n in range(6)))
        rng = random.Random(7)
        arrivals = []
        for number in range(900):
            subject = "hot" if rng.random() < 0.35 else f"s{rng.randrange(60)}"
            arrivals.append((100 + number * 0.02, "/chat/1", chat_prompt(subject)))
        seen = self.replay(driver, arrivals)
        over = sum(load > 2 * mean + 3 for load, mean in seen)
        self.assertEqual(over, 0)

    def test_hot_chat_stays_within_the_load_bound_over_five_gateways(self):
        """Each gateway learns the others' load from servers' reports only (rule LIMIT)."""
        rng = random.Random(11)
        drivers = [Driver(routers=[f"g{n}" for n in range(5)]) for _ in range(5)]
        for driver in drivers:
            driver.add_servers(*(server(f"e{n}", "engine", slots=64) for n in range(6)))
        load = {f"e{n}": 0 for n in range(6)}
        running, over, sends = [], 0, 0
        for number in range(2000):
            at = 100 + number * 0.015
            for done in sorted((r for r in running if r[0] <= at), key=lambda r: r[0]):
                running.remove(done)
                load[done[3]] -= 1
                done[1].now = done[0]
                done[1].apply(ev.AttemptEnded(done[2], ev.Completed(200, 1.2)))
            driver = rng.choice(drivers)
            driver.now = at
            driver.apply(ev.StoreConfirmed(at))
            subject = "hot" if rng.random() < 0.35 else f"s{rng.randrange(60)}"
            effect = driver.decide(
                "/chat/1", parts=chat_prompt(subject), deadline_s=10.0
            )
            target = effect.server.id
            sends += 1
            over += load[target] > 2 * sum(load.values()) / 6 + 3
            load[target] += 1
            running.append((at + 1.2, driver, effect.serial, target))
            report = Load(load[target], 0, 64)
            driver.apply(ev.ResponseStarted(effect.serial, report, 0.05, True))
        self.assertLessEqual(over, 0.01 * sends)

    def test_load_bound_includes_the_servers_of_a_zone_out_of_service(self):
        """The platform's mean includes the servers of such a zone (rule LIMIT)."""
        driver = Driver()
        driver.add_servers(
            *(server(f"e{n}", "engine", slots=64, zone="ab"[n < 2]) for n in range(5))
        )
        driver.apply(ev.ZonesOut(frozenset({"b"})))
        rng = random.Random(5)
        arrivals = [
            (100 + n * 0.015, "/chat/1", chat_prompt(f"s{min(rng.randrange(40), 12)}"))
            for n in range(600)
        ]
        seen = self.replay(driver, arrivals, servers=5)
        over = sum(load > 2 * mean + 3 for load, mean in seen)
        self.assertLessEqual(over, 0.01 * len(seen))

    def test_loss_of_a_server_during_a_burst_causes_no_refusal(self):
        """Replays a burst in which one of six servers is removed."""
        driver = Driver()
        driver.add_servers(*(server(f"e{n}", "engine", slots=64) for n in range(6)))
        arrivals = [
            (100 + n * 0.01, "/chat/1", chat_prompt(f"s{n % 40}")) for n in range(300)
        ]
        first = self.replay(driver, arrivals[:150])
        driver.apply(ev.ServerRemoved("e3", after_outage=False))
        second = self.replay(driver, arrivals[150:])
        self.assertEqual(len(first) + len(second), 300)

    def test_loss_of_a_zone_causes_few_connection_timeouts(self):
        """Replays the loss of a zone until its entries expire after 3.6 s."""
        driver = Driver()
        driver.add_servers(
            *(server(f"e{n}", "engine", slots=64, zone="ab"[n < 2]) for n in range(6))
        )
        timeouts = 0
        for number in range(180):
            driver.advance(0.02)
            effect = driver.decide("/chat/1", parts=chat_prompt(f"s{number % 40}"))
            while isinstance(effect, ev.Forward) and effect.server.zone == "b":
                timeouts += 1
                effect = driver.end_attempt(effect.serial, ev.NotSent("no answer"))
            self.assertIsInstance(effect, ev.Forward)
            driver.end_attempt(effect.serial, ev.Completed(200, 0.1))
        self.assertLessEqual(timeouts, 4)

    def test_load_report_of_a_plain_server_expires_with_its_requests(self):
        """Replays short bursts at two servers that respond in 50 ms.

        A gateway that sees few requests used a report of a full server for 3 s, and
        refused requests with status 503 although slots were free.
        """
        driver = Driver()
        driver.add_servers(server("l1", slots=6), server("l2", slots=6))
        for _ in range(2):
            sent = driver.decide("/safe/1")
            driver.apply(ev.ResponseStarted(sent.serial, Load(6, 4, 6), 0.05, True))
            driver.end_attempt(sent.serial, ev.Completed(200, 0.05))
        driver.advance(0.5)
        self.assertIsInstance(driver.decide("/safe/1"), ev.Forward)

    def test_expired_load_report_is_ignored(self):
        driver = Driver()
        driver.add_servers(server("e1", "engine"), server("e2", "engine"))
        sent = driver.decide("/chat/1", parts=chat_prompt("x"))
        driver.apply(ev.ResponseStarted(sent.serial, Load(60, 0, 64), 0.1, True))
        driver.end_attempt(sent.serial, ev.Completed(200, 1.3))
        driver.advance(1.0)
        moved = driver.decide("/chat/1", parts=chat_prompt("x"))
        self.assertNotEqual(moved.server.id, sent.server.id)
        driver.end_attempt(moved.serial, ev.Completed(200, 1.3))
        driver.advance(MAX_LOAD_TTL_S + 0.1)
        back = driver.decide("/chat/1", parts=chat_prompt("x"))
        self.assertEqual(back.server.id, sent.server.id)

    def test_cold_rate_of_zero_is_no_limit(self):
        driver = Driver(services={"engine": Service("engine", 64, 0.0, 3.0, True, 8)})
        driver.add_servers(server("e1", "engine", cold_for_s=3.0))
        for _ in range(5):
            effect = driver.decide("/chat/1", parts=chat_prompt("x"))
            self.assertIsInstance(effect, ev.Forward)


class PeerQueryTest(unittest.TestCase):
    """A gateway queries the owner of a model server before it sends a request there."""

    ADDRESSES = (("me", "10.0.0.1:7341"), ("peer", "10.0.0.2:7341"))
    PEER_ADDRESS = "10.0.0.2:7341"

    def driver(self) -> Driver:
        driver = Driver(routers=("me", "peer"))
        driver.apply(ev.RoutersListed(("me", "peer"), self.ADDRESSES))
        driver.add_servers(*(server(f"e{n}", "engine") for n in range(8)))
        return driver

    def first_load_query(self, driver: Driver) -> ev.QueryLoad:
        """Sends chats until one of them requires a query to the other gateway."""
        for number in range(20):
            effect = driver.decide("/chat/1", parts=chat_prompt(f"chat-{number}"))
            if isinstance(effect, ev.QueryLoad):
                return effect
        raise AssertionError("no load query was sent")

    def test_request_is_forwarded_after_the_owner_replied(self):
        driver = self.driver()
        query = self.first_load_query(driver)
        driver.apply(ev.LoadReplyReceived(query.serial, query.peer, query.count.key, 0))
        (forward,) = driver.take_effects()
        self.assertEqual(f"server/{forward.server.id}", query.count.key)

    def test_unresponsive_owner_delays_a_request_once(self):
        driver = self.driver()
        query = self.first_load_query(driver)
        driver.apply(ev.PeerQueryFailed(query.serial, query.peer))
        (effect,) = driver.take_effects()
        self.assertIsInstance(effect, ev.Forward)

    def test_chat_moves_on_if_the_owner_reports_a_full_server(self):
        driver = self.driver()
        query = self.first_load_query(driver)
        driver.apply(ev.LoadReplyReceived(query.serial, query.peer, query.count.key, 7))
        (effect,) = driver.take_effects()
        key = effect.count.key if isinstance(effect, ev.QueryLoad) else effect.server.id
        self.assertNotEqual(key.removeprefix("server/"), query.count.key[7:])

    def test_caller_that_disconnects_during_a_query_is_no_longer_counted(self):
        driver = self.driver()
        query = self.first_load_query(driver)
        driver.apply(ev.CallerDisconnected(query.serial))
        driver.apply(ev.LoadReplyReceived(query.serial, query.peer, query.count.key, 0))
        self.assertEqual(driver.take_effects(), [])
        driver.apply(ev.PeerFlushDue())
        sent = [e for e in driver.take_effects() if isinstance(e, ev.SendCounts)]
        counts = [c for e in sent for c in e.counts if c.key == query.count.key]
        self.assertEqual([c.value for c in counts], [0])

    def test_no_query_for_plain_servers(self):
        driver = self.driver()
        driver.add_servers(server("l1"))
        self.assertIsInstance(driver.decide("/safe/1"), ev.Forward)

    def test_message_of_an_unknown_sender_is_rejected(self):
        driver = self.driver()
        unknown_peer = "10.0.0.9:7341"
        driver.apply(
            ev.PeerCountsReceived(unknown_peer, 1, 1, (Count("server/e1", 9),), True)
        )
        driver.apply(
            ev.ServiceTotalsReceived(unknown_peer, (Count("service/engine", 9),))
        )
        self.assertEqual(
            driver.take_effects(), [ev.RejectPeerMessage(unknown_peer)] * 2
        )

    def test_reply_excludes_the_requests_of_the_querying_gateway(self):
        driver = self.driver()
        count = Count("server/e1", 4)
        driver.apply(ev.PeerCountsReceived(self.PEER_ADDRESS, 1, 1, (count,), True))
        driver.apply(ev.PeerCountsReceived(self.PEER_ADDRESS, 1, 2, (count,), True))
        expected = ev.ReplyToPeer(self.PEER_ADDRESS, 1, (Count("server/e1", 0),))
        self.assertEqual(driver.take_effects()[0], expected)
