"""Servers that say in their responses that they are leaving or busy.

Rules DRAIN and BUDGET.
"""

import asyncio
import unittest

from emulator.platform.server import Behaviour
from heatherswitch.fleet.peer_messages import PrefixHolder
from heatherswitch.gateway import events as ev
from heatherswitch.gateway.limits import Limits
from heatherswitch.gateway.notices import MAX_REMEMBERED_STARTS, NOTICE_MEMORY_S
from heatherswitch.gateway.rollouts import RolloutOrder, RolloutState
from heatherswitch.statecore.replica import Position
from heatherswitch.util.http_client import HttpClient
from test.gateway_fakes import Driver, chat_prompt, server
from test.gateway_process_case import ProcessCase


class NoticeCase(unittest.TestCase):
    def setUp(self):
        self.driver = Driver()

    def say_leaving(self, record, request_id: str = "r") -> None:
        self.driver.apply(ev.NoticeReceived(record, request_id, leaving=True))

    def say_busy(self, record, seconds: float, request_id: str = "r") -> None:
        self.driver.apply(ev.NoticeReceived(record, request_id, False, seconds))

    def refuse(self, sent: ev.Forward, seconds: float) -> ev.Effect:
        """Lets the server refuse a request and ask for time."""
        self.say_busy(sent.server, seconds)
        return self.driver.end_attempt(sent.serial, ev.Rejected(503, False))


class LeavingTest(NoticeCase):
    def setUp(self):
        super().setUp()
        self.leaving, self.other = server("l1"), server("l2")
        self.driver.add_servers(self.leaving, self.other)

    def assert_only_the_other_is_used(self):
        for _ in range(6):
            self.assertEqual(self.driver.decide("/safe/1").server.id, "l2")

    def test_leaving_server_gets_no_request_although_the_store_lists_it_as_ready(self):
        self.say_leaving(self.leaving)
        self.assert_only_the_other_is_used()
        self.driver.advance(60.0)
        self.assert_only_the_other_is_used()

    def test_repeated_store_entry_does_not_return_a_leaving_server(self):
        self.say_leaving(self.leaving)
        self.driver.add_servers(self.leaving, self.leaving.replace(slots=9))
        self.assert_only_the_other_is_used()

    def test_entry_that_expired_in_an_outage_and_is_back_does_not_return_it(self):
        for after_outage in (True, False):
            self.say_leaving(self.leaving)
            self.driver.apply(ev.ServerRemoved("l1", after_outage))
            self.driver.advance(5.0)
            self.driver.add_servers(self.leaving)
            self.assert_only_the_other_is_used()

    def test_notice_that_arrives_after_the_entry_was_removed_is_kept(self):
        self.driver.apply(ev.ServerRemoved("l1", after_outage=False))
        self.say_leaving(self.leaving)
        self.driver.add_servers(self.leaving)
        self.assert_only_the_other_is_used()

    def test_new_start_and_new_id_at_the_address_are_used(self):
        self.say_leaving(self.leaving)
        self.driver.add_servers(
            self.leaving.replace(incarnation=2), self.leaving.replace(id="l3")
        )
        self.driver.apply(ev.ServerRemoved("l2", after_outage=False))
        used = {self.driver.decide("/safe/1").server.id for _ in range(8)}
        self.assertEqual(used, {"l1", "l3"})

    def test_new_start_after_the_entry_was_gone_is_used(self):
        self.say_leaving(self.leaving)
        self.driver.apply(ev.ServerRemoved("l1", after_outage=False))
        self.driver.apply(ev.ServerRemoved("l2", after_outage=False))
        self.driver.add_servers(self.leaving.replace(incarnation=2))
        self.assertEqual(self.driver.decide("/safe/1").server.id, "l1")

    def test_notice_of_an_earlier_start_does_not_take_the_new_one_out(self):
        self.driver.add_servers(self.leaving.replace(incarnation=2))
        self.driver.apply(ev.ServerRemoved("l2", after_outage=False))
        self.driver.take_effects()
        self.say_leaving(self.leaving)
        self.assertEqual(self.driver.take_effects(), [])
        self.assertEqual(self.driver.decide("/safe/1").server.id, "l1")

    def test_lost_entry_does_not_leave_the_notice_behind_for_good(self):
        """A server whose entry states no start always has the same incarnation."""
        self.say_leaving(self.leaving)
        self.driver.apply(ev.ServerRemoved("l1", after_outage=False))
        self.driver.apply(ev.ServerRemoved("l2", after_outage=False))
        self.driver.advance(NOTICE_MEMORY_S + 1.0)
        self.driver.add_servers(self.leaving)
        self.assertEqual(self.driver.decide("/safe/1").server.id, "l1")

    def test_memory_of_notices_is_bounded(self):
        for number in range(MAX_REMEMBERED_STARTS + 50):
            self.say_leaving(server(f"gone-{number}"))
        table = self.driver.reducer._servers
        self.assertEqual(len(table._notices._by_start), MAX_REMEMBERED_STARTS)
        self.assertEqual(len(table._out), MAX_REMEMBERED_STARTS)

    def test_running_requests_of_a_leaving_server_end_normally(self):
        sent = [self.driver.decide("/safe/1") for _ in range(4)]
        self.say_leaving(self.leaving)
        for forward in sent:
            end = self.driver.end_attempt(forward.serial, ev.Completed(200, 0.1))
            self.assertIsInstance(end, ev.Finish)

    def test_retry_and_resumption_do_not_go_to_a_leaving_server(self):
        self.driver.add_servers(*(server(f"e{n}", "engine") for n in range(2)))
        for path, leaving in (("/safe/1", "l1"), ("/live/1", "e0")):
            sent = self.driver.decide(path, parts=chat_prompt("guide"))
            others = {"l1", "l2"} if path == "/safe/1" else {"e0", "e1"}
            (leaving,) = others - {sent.server.id}
            self.say_leaving(sent.server.replace(id=leaving))
            broken = ev.Broken("reset", started=path == "/live/1")
            end = self.driver.end_attempt(sent.serial, broken)
            self.assertNotIsInstance(end, ev.Forward)

    def test_queued_request_does_not_go_to_a_leaving_server(self):
        driver = self.driver = Driver()
        driver.add_servers(server("l1", slots=1))
        first = driver.decide("/safe/1")
        driver.decide("/safe/2")
        queued = driver.send_request("/safe/3")
        self.assertEqual(driver.take_effects(), [])
        self.say_leaving(server("l1"))
        driver.apply(ev.AttemptEnded(first.serial, ev.Completed(200, 0.1)))
        driver.advance(0.02)
        ended = {e.serial: e for e in driver.take_effects() if hasattr(e, "serial")}
        self.assertEqual(ended[queued].status, 503)

    def test_request_waiting_for_a_peer_does_not_go_to_a_leaving_server(self):
        addresses = (("me", "10.0.0.1:7341"), ("peer", "10.0.0.2:7341"))
        driver = self.driver = Driver(routers=("me", "peer"))
        driver.apply(ev.RoutersListed(("me", "peer"), addresses))
        driver.add_servers(*(server(f"e{n}", "engine") for n in range(8)))
        for number in range(20):
            query = driver.decide("/chat/1", parts=chat_prompt(f"chat-{number}"))
            if isinstance(query, ev.QueryLoad):
                break
        target = query.count.key.removeprefix("server/")
        self.say_leaving(server(target, "engine"))
        driver.apply(ev.PeerQueryFailed(query.serial, query.peer))
        (forward,) = (e for e in driver.take_effects() if isinstance(e, ev.Forward))
        self.assertNotEqual(forward.server.id, target)

    def test_prompt_is_copied_from_a_leaving_server_but_no_chat_goes_there(self):
        self.driver.add_servers(*(server(f"e{n}", "engine") for n in range(3)))
        first = self.driver.decide("/chat/1", parts=chat_prompt("guide"))
        self.driver.apply(ev.ResponseStarted(first.serial, None, 0.1, True))
        self.say_leaving(first.server)
        second = self.driver.decide("/chat/1", parts=chat_prompt("guide"))
        self.assertNotEqual(second.server.id, first.server.id)
        self.assertEqual(second.copy_source.id, first.server.id)

    def test_request_is_refused_at_once_if_all_servers_are_leaving(self):
        self.say_leaving(self.leaving)
        self.say_leaving(self.other)
        refusal = self.driver.decide("/safe/1")
        self.assertEqual(refusal.status, 503)
        self.assertGreater(refusal.retry_after_s, 0)

    def test_server_is_reported_once_when_taken_out_and_once_when_back(self):
        self.driver.take_effects()
        self.say_leaving(self.leaving, "r7")
        self.say_leaving(self.leaving, "r8")
        self.driver.advance(1.0)
        self.assertEqual(
            self.driver.take_effects(), [ev.ServerTakenOut("l1", "r7", "leaving")]
        )
        self.driver.add_servers(self.leaving.replace(incarnation=2))
        self.driver.advance(0.5)
        self.driver.advance(0.5)
        self.assertEqual(
            self.driver.take_effects(), [ev.ServerReturned("l1", "leaving")]
        )


class BusyTest(NoticeCase):
    def setUp(self):
        super().setUp()
        self.busy, self.other = server("l1", slots=64), server("l2", slots=64)
        self.driver.add_servers(self.busy, self.other)

    def used_servers(self, requests: int = 6) -> list[str]:
        return [self.driver.decide("/safe/1").server.id for _ in range(requests)]

    def test_busy_server_gets_nothing_until_its_time_is_over(self):
        self.say_busy(self.busy, 2.0)
        for _ in range(4):
            self.assertNotIn("l1", self.used_servers())
            self.driver.advance(0.49)
        self.driver.advance(0.1)
        self.assertIn("l1", self.used_servers())

    def test_longest_of_several_times_counts(self):
        self.say_busy(self.busy, 2.0)
        self.say_busy(self.busy, 0.2)
        self.driver.advance(1.9)
        self.assertNotIn("l1", self.used_servers())

    def test_one_request_shows_whether_the_server_takes_work_again(self):
        self.say_busy(self.busy, 1.0)
        self.driver.advance(1.1)
        sent = [self.driver.decide("/safe/1") for _ in range(8)]
        (trial,) = [s for s in sent if s.server.id == "l1"]
        self.driver.apply(ev.ResponseStarted(trial.serial, None, 0.01, True))
        self.assertGreater(self.used_servers(8).count("l1"), 1)

    def test_trial_that_is_refused_takes_the_server_out_again(self):
        self.say_busy(self.busy, 1.0)
        self.driver.advance(1.1)
        sent = [self.driver.decide("/safe/1") for _ in range(8)]
        (trial,) = [s for s in sent if s.server.id == "l1"]
        self.assertEqual(self.refuse(trial, 1.0).server.id, "l2")
        self.driver.advance(0.9)
        self.assertNotIn("l1", self.used_servers())

    def test_trial_without_an_outcome_makes_room_for_the_next_one(self):
        for end in (
            lambda serial: ev.AttemptEnded(serial, ev.Broken("reset")),
            lambda serial: ev.AttemptEnded(serial, ev.NotSent("refused")),
            lambda serial: ev.AttemptEnded(serial, ev.Rejected(503, False)),
            ev.CallerDisconnected,
        ):
            self.setUp()
            self.driver.apply(ev.ServerRemoved("l2", after_outage=False))
            self.say_busy(self.busy, 1.0)
            self.driver.advance(1.1)
            trial = self.driver.decide("/once/1")
            waiting = self.driver.send_request("/once/2")
            self.assertEqual(self.driver.take_effects(), [])
            self.driver.apply(end(trial.serial))
            forwarded = [
                e.serial
                for e in self.driver.take_effects()
                if isinstance(e, ev.Forward)
            ]
            self.assertEqual(forwarded, [waiting])

    def test_response_to_an_earlier_request_does_not_end_the_time(self):
        sent = [self.driver.decide("/safe/1") for _ in range(8)]
        (earlier, *_) = [s for s in sent if s.server.id == "l1"]
        self.say_busy(self.busy, 2.0)
        self.driver.apply(ev.ResponseStarted(earlier.serial, None, 0.1, True))
        self.driver.end_attempt(earlier.serial, ev.Completed(200, 0.1))
        self.assertNotIn("l1", self.used_servers())

    def test_store_entry_does_not_shorten_the_time_but_a_new_start_ends_it(self):
        self.say_busy(self.busy, 2.0)
        self.driver.add_servers(self.busy.replace(slots=9))
        self.driver.apply(ev.ServerRemoved("l1", after_outage=False))
        self.driver.add_servers(self.busy)
        self.assertNotIn("l1", self.used_servers())
        self.driver.add_servers(self.busy.replace(incarnation=2))
        self.assertIn("l1", self.used_servers())

    def test_no_prompt_is_copied_from_a_busy_server(self):
        self.driver.add_servers(*(server(f"e{n}", "engine") for n in range(2)))
        first = self.driver.decide("/chat/1", parts=chat_prompt("guide"))
        self.driver.apply(ev.ResponseStarted(first.serial, None, 0.1, True))
        self.say_busy(first.server, 2.0)
        second = self.driver.decide("/chat/1", parts=chat_prompt("guide"))
        self.assertNotEqual(second.server.id, first.server.id)
        self.assertIsNone(second.copy_source)

    def test_owner_is_asked_for_another_holder_if_the_known_one_is_busy(self):
        addresses = (("me", "10.0.0.1:7341"), ("peer", "10.0.0.2:7341"))
        driver = self.driver = Driver(routers=("me", "peer"))
        driver.apply(ev.RoutersListed(("me", "peer"), addresses))
        driver.add_servers(*(server(f"e{n}", "engine") for n in range(8)))
        for number in range(20):
            parts = chat_prompt(f"chat-{number}")
            for busy_s in (0.0, 2.0):
                effect = driver.decide("/chat/1", parts=parts)
                if isinstance(effect, ev.QueryLoad):
                    count = effect.count
                    reply = ev.LoadReplyReceived(
                        effect.serial, effect.peer, count.key, 0
                    )
                    driver.apply(reply)
                    (effect,) = driver.take_effects()
                if not busy_s and isinstance(effect, ev.QueryHolder):
                    holder = PrefixHolder(effect.holder.part, "e0")
                    driver.apply(
                        ev.PrefixOwnerReplyReceived(effect.serial, effect.peer, holder)
                    )
                    driver.take_effects()
                    self.say_busy(server("e0", "engine"), 2.0)
                elif busy_s and isinstance(effect, ev.QueryHolder):
                    return
        self.fail("the owner of the prompt part was not asked")

    def test_refusal_at_once_names_the_shortest_remaining_time(self):
        """It counts servers that have just refused the request, too."""
        self.say_busy(self.other, 5.0)
        sent = self.driver.decide("/once/1")
        refusal = self.refuse(sent, 2.0)
        self.assertEqual(refusal.status, 503)
        self.assertAlmostEqual(refusal.retry_after_s, 2.0)
        self.driver.advance(0.5)
        refusal = self.driver.decide("/once/1", deadline_s=1.0)
        self.assertEqual(refusal.status, 503)
        self.assertAlmostEqual(refusal.retry_after_s, 1.5)

    def test_refusal_by_as_many_servers_as_may_be_tried_names_the_time(self):
        self.driver = Driver(Limits(budget_slack=5000.0))
        self.driver.add_servers(*(server(f"l{n}") for n in range(4)))
        effect = self.driver.decide("/once/1")
        while isinstance(effect, ev.Forward):
            effect = self.refuse(effect, 3.0)
        self.assertEqual(effect.reason, "too many servers were tried")
        self.assertAlmostEqual(effect.retry_after_s, 3.0)

    def test_leaving_servers_do_not_count_for_the_time(self):
        self.say_leaving(self.other)
        self.say_busy(self.other, 0.5)
        self.say_busy(self.busy, 3.0)
        refusal = self.driver.decide("/safe/1")
        self.assertAlmostEqual(refusal.retry_after_s, 3.0)
        self.driver.advance(3.1)
        self.assertEqual(self.used_servers(1), ["l1"])

    def test_request_that_may_have_run_is_not_refused_as_not_run(self):
        sent = self.driver.decide("/safe/1")
        (busy,) = {"l1", "l2"} - {sent.server.id}
        self.say_busy(server(busy), 5.0)
        refusal = self.driver.end_attempt(sent.serial, ev.Broken("reset"))
        self.assertEqual(refusal.status, 502)

    def test_request_waits_for_a_short_time_only(self):
        self.driver.apply(ev.ServerRemoved("l2", after_outage=False))
        self.say_busy(self.busy, 0.3)
        self.driver.take_effects()
        waiting = self.driver.send_request("/safe/1", deadline_s=2.0)
        self.assertEqual(self.driver.take_effects(), [])
        self.driver.advance(0.31)
        (forward,) = self.driver.take_effects()
        self.assertEqual((forward.serial, forward.server.id), (waiting, "l1"))

    def test_waiting_requests_are_refused_once_all_servers_are_busy(self):
        """Otherwise, they would be held until their time in the queue is over."""
        driver = self.driver = Driver()
        driver.add_servers(server("l1", slots=1))
        sent = [driver.decide("/safe/1") for _ in range(2)]
        waiting = driver.send_request("/safe/1")
        driver.take_effects()
        self.say_busy(sent[0].server, 3.0)
        driver.apply(ev.AttemptEnded(sent[0].serial, ev.Rejected(503, False)))
        refusals = {e.serial: e for e in driver.take_effects() if hasattr(e, "serial")}
        self.assertAlmostEqual(refusals[waiting].retry_after_s, 3.0)

    def test_old_version_serves_if_the_whole_new_one_is_busy(self):
        """Both versions may take all requests once the rollout has proven the new one."""
        for busy_version in ("v1", "v2"):
            driver = self.driver = Driver()
            driver.add_servers(server("l1"), server("l2", version="v2"))
            driver.apply(
                ev.RolloutOrdered(
                    "ledger", RolloutOrder("ledger", "v2", 60.0, Position(1, 5))
                )
            )
            driver.apply(
                ev.RolloutStatusRead(
                    "ledger", "v2", RolloutState.COMPLETED, Position(1, 6)
                )
            )
            busy = {"v1": server("l1"), "v2": server("l2")}[busy_version]
            self.say_busy(busy, 9.0)
            for _ in range(4):
                self.assertNotEqual(driver.decide("/safe/1").server.id, busy.id)

    def test_server_is_reported_once_when_taken_out_and_once_when_back(self):
        self.driver.apply(ev.ServerRemoved("l2", after_outage=False))
        self.driver.take_effects()
        self.say_busy(self.busy, 1.0, "r7")
        self.say_busy(self.busy, 1.0, "r8")
        self.driver.advance(1.1)
        self.assertEqual(
            self.driver.take_effects(), [ev.ServerTakenOut("l1", "r7", "busy")]
        )
        trial = self.driver.decide("/safe/1")
        self.driver.end_attempt(trial.serial, ev.Completed(200, 0.1))
        self.driver.advance(0.5)
        self.driver.advance(0.5)
        self.assertEqual(self.driver.take_effects(), [ev.ServerReturned("l1", "busy")])


class OtherRulesTest(NoticeCase):
    """Notices while servers are cold or overloaded, zones are out and versions roll out."""

    def decisions(self, tell) -> list[str]:
        """Sends 300 chats in 3 s to six engines, one of which is taken out.

        Two engines are in a zone that is out, one is cold and one has an unproven
        version. A third of the chats share a prompt.

        :param tell: takes the engine out.
        :returns: the ids of the engines that were chosen, empty for a refusal.
        """
        driver = self.driver = Driver()
        engines = [
            server("e0", "engine"),
            server("e1", "engine", zone="b"),
            server("e2", "engine", zone="b"),
            server("e3", "engine", cold_for_s=30.0),
            server("e4", "engine", version="v2"),
            server("e5", "engine"),
        ]
        driver.add_servers(*engines)
        driver.apply(ev.ZonesOut(frozenset({"b"})))
        driver.apply(
            ev.RolloutOrdered(
                "engine", RolloutOrder("engine", "v2", 60.0, Position(1, 5))
            )
        )
        tell(engines[0])
        chosen, running = [], []
        for number in range(300):
            driver.advance(0.01)
            for done in [r for r in running if r[0] <= driver.now]:
                running.remove(done)
                driver.apply(ev.AttemptEnded(done[1], ev.Completed(200, 0.3)))
            subject = "hot" if number % 3 == 0 else f"s{number % 40}"
            driver.send_request("/chat/1", parts=chat_prompt(subject))
            for effect in driver.take_effects():
                if isinstance(effect, ev.Forward):
                    running.append((driver.now + 0.3, effect.serial))
                    chosen.append(effect.server.id)
                elif isinstance(effect, ev.Refuse):
                    chosen.append("")
        return chosen

    def test_notices_change_no_other_rule(self):
        """A server's own notice decides like its store entry."""
        by_entry = self.decisions(
            lambda engine: self.driver.add_servers(engine.replace(draining=True))
        )
        self.assertEqual(set(by_entry) - {""}, {"e3", "e4", "e5"})
        # The cold engine takes 12 requests per second.
        self.assertLess(by_entry.count("e3"), 12 * 3 + 2)
        self.assertEqual(self.decisions(self.say_leaving), by_entry)
        by_time = self.decisions(lambda engine: self.say_busy(engine, 60.0))
        self.assertEqual(by_time, by_entry)


class ReplayCase(NoticeCase):
    """Replays load at servers whose requests take a while."""

    RUN_S = 0.3

    def setUp(self):
        super().setUp()
        self.running: list[tuple[float, int]] = []
        self.sent: list[tuple[float, str]] = []
        self.refused = 0

    def arrive(self, path: str, parts=()) -> None:
        """Advances the time by 10 ms and passes one request to the gateway."""
        self.driver.advance(0.01)
        for done in [r for r in self.running if r[0] <= self.driver.now]:
            self.running.remove(done)
            self.driver.apply(ev.AttemptEnded(done[1], ev.Completed(200, self.RUN_S)))
        self.driver.send_request(path, parts=parts, deadline_s=4.0)
        for effect in self.driver.take_effects():
            self.refused += isinstance(effect, ev.Refuse)
            if isinstance(effect, ev.Forward):
                self.on_forward(effect)

    def on_forward(self, effect: ev.Forward) -> None:
        """Lets a server respond to a request; a subclass may override it."""
        self.sent.append((self.driver.now, effect.server.id))
        self.running.append((self.driver.now + self.RUN_S, effect.serial))


class RollingLeaveReplayTest(ReplayCase):
    def test_all_servers_leave_one_by_one_under_load(self):
        """Each replacement starts at the address of the server that left."""
        for path, service in (("/safe/1", "ledger"), ("/live/1", "engine")):
            servers = [server(f"{service}-{n}", service, slots=64) for n in range(5)]
            self.driver.add_servers(*servers)
            left: dict[str, float] = {}
            for number in range(1000):
                if number % 200 == 100:
                    leaving = servers.pop(0)
                    self.say_leaving(leaving)
                    left[leaving.id] = self.driver.now
                if number % 200 == 180:
                    self.driver.apply(ev.ServerRemoved(leaving.id, after_outage=False))
                    self.driver.add_servers(leaving.replace(id=leaving.id + "-new"))
                self.arrive(path, chat_prompt(f"s{number % 40}"))
            self.assertEqual(len(left), 5)
            late = [s for at, s in self.sent if at > left.get(s, float("inf"))]
            self.assertEqual(late, [])
            self.assertEqual(self.refused, 0)


class SheddingReplayTest(ReplayCase):
    """Servers refuse requests in waves and ask for time.

    The refusal reaches the gateway 20 ms after the request was sent.
    """

    ANSWER_S = 0.02
    BUSY_S = 1.5
    WAVE_S = 3.0

    def setUp(self):
        super().setUp()
        self.answers: list[tuple[float, ev.Forward]] = []
        self.told: dict[str, float] = {}
        self.unwanted: list[str] = []
        # Ids of the servers that refuse requests now.
        self.shedding: set[str] = set()

    def arrive(self, path: str, parts=()) -> None:
        for answer in [a for a in self.answers if a[0] <= self.driver.now]:
            self.answers.remove(answer)
            self.say_busy(answer[1].server, self.BUSY_S)
            self.told[answer[1].server.id] = self.driver.now
            rejected = ev.Rejected(503, False)
            self.driver.apply(ev.AttemptEnded(answer[1].serial, rejected))
            for effect in self.driver.take_effects():
                self.refused += isinstance(effect, ev.Refuse)
                if isinstance(effect, ev.Forward):
                    self.on_forward(effect)
        super().arrive(path, parts)

    def on_forward(self, effect: ev.Forward) -> None:
        told_at = self.told.get(effect.server.id)
        if told_at is not None and self.driver.now < told_at + self.BUSY_S:
            self.unwanted.append(effect.server.id)
        if effect.server.id not in self.shedding:
            super().on_forward(effect)
            return
        self.answers.append((self.driver.now + self.ANSWER_S, effect))

    def in_wave(self) -> bool:
        return self.driver.now % (2 * self.WAVE_S) < self.WAVE_S

    def test_half_of_the_servers_shed_in_waves(self):
        for path, service in (("/once/1", "ledger"), ("/chat/1", "engine")):
            servers = [server(f"{service}-{n}", service, slots=64) for n in range(6)]
            self.driver.add_servers(*servers)
            for number in range(1800):
                shedding = {s.id for s in servers[:3]}
                self.shedding = shedding if self.in_wave() else set()
                self.arrive(path, chat_prompt(f"s{number % 40}"))
            self.assertEqual(set(self.told) & shedding, shedding)
            self.assertEqual(self.unwanted, [])
            # The retry budget bounds the requests of a new wave that go elsewhere.
            self.assertLess(self.refused, 0.03 * number)
            after = {s for at, s in self.sent if at > max(self.told.values())}
            self.assertLessEqual(shedding, after)

    def test_rolling_leave_while_half_of_the_servers_shed_in_waves(self):
        servers = [server(f"e{n}", "engine", slots=64) for n in range(6)]
        self.driver.add_servers(*servers)
        left: dict[str, float] = {}
        for number in range(1800):
            self.shedding = {s.id for s in servers[:3]} if self.in_wave() else set()
            if number % 300 == 150:
                leaving = servers.pop(0)
                self.say_leaving(leaving)
                left[leaving.id] = self.driver.now
                servers.append(leaving.replace(id=leaving.id + "-new"))
                self.driver.add_servers(servers[-1])
            self.arrive("/chat/1", chat_prompt(f"s{number % 40}"))
        late = [s for at, s in self.sent if at > left.get(s, float("inf"))]
        self.assertEqual((late, self.unwanted), ([], []))
        self.assertLess(self.refused, 0.05 * number)

    def test_all_servers_shed(self):
        """Requests are refused at once, and work returns with one request each."""
        servers = [server(f"l{n}", slots=64) for n in range(4)]
        self.driver.add_servers(*servers)
        self.shedding = {s.id for s in servers}
        for _ in range(300):
            self.arrive("/once/1")
        self.assertEqual(self.unwanted, [])
        self.assertGreater(self.refused, 50)
        self.shedding = set()
        before = len(self.sent)
        self.driver.advance(self.BUSY_S)
        self.driver.take_effects()
        for _ in range(8):
            self.arrive("/once/1")
        first = [s for _, s in self.sent[before:]]
        self.assertEqual(len(first), len(set(first)))
        refused = self.refused
        for _ in range(200):
            self.arrive("/once/1")
        self.assertEqual(self.refused, refused)


class LeavingProcessTest(ProcessCase):
    ADDRESS_GROUP = 231

    async def test_leaving_server_gets_no_request_from_gateways_cut_off_the_store(self):
        """Callers keep their connections, and the store lists the server as ready."""
        await self.start(l1="ledger", l2="ledger", l3="ledger")
        for server_id in ("l2", "l3"):
            # Gateways prefer the other server to these slower ones.
            self.servers[server_id].behaviour = Behaviour(delay_s=0.1)
        await self.load(0.5)
        self.cut_store()
        self.servers["l1"].behaviour = Behaviour(leaving=True)
        await self.load(1.5)
        self.assertGreaterEqual(len(self.servers["l1"].notices), 2)
        self.assertEqual(self.violations(), [])
        self.assertEqual({c.status for c in self.history.calls}, {200})

    async def test_refusals_errors_and_cut_responses_take_a_leaving_server_out(self):
        await self.start(1, l1="ledger", l2="ledger", l3="ledger")
        changes = ({"status": 503}, {"status": 500}, {"cut_after": 0})
        for stand_in, change in zip(self.servers.values(), changes, strict=True):
            stand_in.behaviour = Behaviour(leaving=True, **change)
        await self.load(1.5, callers=1)
        for server_id in ("l1", "l2", "l3"):
            self.assertEqual(len(self.arrivals(server_id)), 1, server_id)

    async def test_mark_counts_although_the_caller_left_before_the_response(self):
        """A settlement is not cancelled, so its response still arrives."""
        await self.start(1, l1="ledger")
        self.servers["l1"].behaviour = Behaviour(leaving=True, delay_s=0.3)
        clients = [HttpClient.from_address(self.gateways[0].address) for _ in range(2)]
        left = asyncio.create_task(self.send(self.gateways[0], "/settle/1", clients[0]))
        await asyncio.sleep(0.1)
        left.cancel()
        await asyncio.sleep(0.5)
        call = await self.send(self.gateways[0], "/settle/1", clients[1])
        self.assertEqual((call.status, len(self.arrivals("l1"))), (503, 1))
        clients[1].close()

    async def test_mark_counts_in_a_response_to_another_request(self):
        """A late response is skipped, but it comes from the same server."""
        await self.start(1, l1="ledger")
        stray = (
            b"HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nServer-Leaving: 1\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        self.servers["l1"].behaviour = Behaviour(
            raw=lambda head: [stray, head, b"0\r\n\r\n"]
        )
        client = HttpClient.from_address(self.gateways[0].address)
        statuses = [
            (await self.send(self.gateways[0], "/lookup/1", client)).status
            for _ in range(2)
        ]
        client.close()
        self.assertEqual(statuses, [200, 503])

    async def test_mark_is_logged_counted_and_not_forwarded(self):
        await self.start(1, l1="ledger")
        self.servers["l1"].behaviour = Behaviour(leaving=True)
        client = HttpClient.from_address(self.gateways[0].address)
        call = await self.send(self.gateways[0], "/lookup/1", client)
        self.assertEqual(call.status, 200)
        self.assertNotIn("server-leaving", call.headers)
        call = await self.send(self.gateways[0], "/lookup/1", client)
        self.assertEqual(call.status, 503)
        self.publish("l1", "ledger", born=2000)
        self.servers["l1"].behaviour = Behaviour()
        async with asyncio.timeout(5):
            while call.status != 200:
                call = await self.send(self.gateways[0], "/lookup/1", client)
        client.close()
        await asyncio.sleep(0.6)
        metrics = await self.read_metrics(self.gateways[0])
        for name in ("taken_out", "returned"):
            self.assertIn(
                f'gateway_servers_{name}_total{{reason="leaving"}} 1', metrics
            )
        lines = self.gateways[0].log_path.read_text().splitlines()
        self.assertEqual(sum("server taken out" in line for line in lines), 1)
        self.assertEqual(sum("server returned" in line for line in lines), 1)


class BusyProcessTest(ProcessCase):
    ADDRESS_GROUP = 231
    RETRY_AFTER_S = 1.6

    async def test_busy_server_gets_nothing_in_its_time_and_work_returns_after_it(self):
        """The gateways are cut off the store, and callers keep their connections."""
        await self.start(l1="ledger", l2="ledger", l3="ledger")
        for server_id in ("l2", "l3"):
            # Gateways prefer the other server to these slower ones.
            self.servers[server_id].behaviour = Behaviour(delay_s=0.05)
        await self.load(0.3)
        self.cut_store()
        shedding = self.servers["l1"]
        shedding.behaviour = Behaviour(status=503, retry_after_s=self.RETRY_AFTER_S)
        await self.load(1.0)
        shedding.behaviour = Behaviour()
        before = len(shedding.runs)
        await self.load(1.5)
        self.assertGreaterEqual(len(shedding.notices), 2)
        self.assertGreater(len(shedding.runs), before)
        metrics = await self.read_metrics(self.gateways[0])
        for name in ("taken_out", "returned"):
            self.assertIn(f'gateway_servers_{name}_total{{reason="busy"}} 1', metrics)
        self.assertEqual(self.violations(), [])
        self.assertEqual({c.status for c in self.history.calls}, {200})

    async def test_time_without_the_proof_that_a_request_did_not_run_holds(self):
        await self.start(1, l1="ledger")
        self.servers["l1"].behaviour = Behaviour(
            raw=lambda head: [
                head.replace(b"200", b"503").replace(
                    b"X-Response", b"Retry-After: 3\r\nX-Response"
                )
                + b"0\r\n\r\n"
            ]
        )
        await self.load(1.5, callers=1)
        self.assertEqual(len(self.arrivals("l1")), 1)
        first, *later = [call.status for call in self.history.calls]
        self.assertEqual((first, set(later)), (502, {503}))

    async def test_callers_are_refused_at_once_if_all_servers_are_busy(self):
        await self.start(1, l1="ledger", l2="ledger")
        for stand_in in self.servers.values():
            stand_in.behaviour = Behaviour(status=503, retry_after_s=3.0)
        await self.load(0.3, "/settle/1")
        await self.load(1.0, "/settle/1")
        self.assertEqual(self.violations(), [])
        free_at = min(n.at for n in self.history.notices) + 3.0
        later = [c for c in self.history.calls if c.sent_at > free_at - 2.5]
        self.assertGreater(len(later), 20)
        for call in later:
            self.assertEqual(call.status, 503)
            self.assertLess(call.ended_at - call.sent_at, 0.5)
            returns_at = call.ended_at + float(call.headers["retry-after"])
            self.assertAlmostEqual(returns_at, free_at, delta=0.3)

    async def test_leaving_server_that_also_sheds_gets_nothing_after_its_time(self):
        await self.start(1, l1="ledger", l2="ledger")
        self.servers["l2"].behaviour = Behaviour(delay_s=0.05)
        self.servers["l1"].behaviour = Behaviour(
            status=503, retry_after_s=0.5, leaving=True
        )
        await self.load(1.5)
        self.assertLessEqual(len(self.arrivals("l1")), 3)
        self.assertEqual(self.violations(), [])
        self.assertEqual({c.status for c in self.history.calls}, {200})


if __name__ == "__main__":
    unittest.main()
