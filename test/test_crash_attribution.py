"""Tests which part of a prompt is held responsible for crashes of servers."""

import itertools
import unittest

from heatherswitch.fleet.peer_messages import MAX_RECORD_BYTES
from heatherswitch.gateway import events as ev
from heatherswitch.gateway.crash_records import decode_report, encode_report
from heatherswitch.gateway.crash_report import CrashReport
from heatherswitch.gateway.expired_groups import MAX_EXPIRED_GROUPS, ExpiredGroups
from heatherswitch.gateway.probes import PROBE_SLOT_S
from heatherswitch.gateway.prompt_quarantine import (
    ALIVE_HEARTBEATS,
    FIRST_PROBE_WAIT_S,
    MAX_CRASH_REPORTS,
    REPORT_TTL_S,
    PromptQuarantine,
    part_hash,
)
from test.gateway_fakes import Driver, server
from test.test_prompt_quarantine import Fleet, prompt

# Seconds without requests, after which chats come back.
QUIET_S = 32.0
# BUDGET allows three requests with the part later than contact_ms after the fifth crash.
CONTACT_S = 3.0
BUDGET_CRASHES = 5
BUDGET_REQUESTS = 3


class SharedPartTest(unittest.TestCase):
    """A sound part that is in the same crashed prompts as the one that crashes."""

    def play(self, fleet: Fleet, gateways_before: int) -> list[ev.Effect]:
        """Returns the outcomes of sound requests after the crashes."""
        for number in range(24):
            fleet.advance(0.05)
            sound = prompt(f"s{number % 8}", "shared", f"before{number}")
            fleet.send(number % gateways_before, "/chat/1", sound)
        fleet.advance(QUIET_S)
        for number in range(6):
            crashing = prompt("deadly", "shared", f"crash{number}")
            fleet.send(number % len(fleet.drivers), "/chat/1", crashing)
            fleet.advance(0.8)
        fleet.advance(7.0)
        fleet.outcomes["sound"].clear()
        for number in range(24):
            fleet.advance(0.05)
            sound = prompt(f"s{number % 8}", "shared", f"after{number}")
            fleet.send(number % len(fleet.drivers), "/chat/1", sound)
        return fleet.outcomes["sound"]

    def assert_only_the_deadly_part_is_quarantined(
        self, fleet: Fleet, crashes: int = 4
    ) -> None:
        self.assertLessEqual(len(fleet.crashes), crashes)
        deadly = part_hash(prompt("deadly")[0])
        for gateway in range(len(fleet.drivers)):
            self.assertEqual(fleet.quarantined(gateway), {deadly})

    def assert_served(self, outcomes: list[ev.Effect]) -> None:
        self.assertEqual([e for e in outcomes if not isinstance(e, ev.Finish)], [])

    def test_sound_part_is_not_quarantined_after_a_quiet_time(self):
        """Review case 4: a completed request was forgotten before the crashes."""
        fleet = Fleet(2, 6, "deadly")
        self.assert_served(self.play(fleet, gateways_before=2))
        self.assert_only_the_deadly_part_is_quarantined(fleet)

    def test_part_completed_at_another_gateway_only_is_not_quarantined(self):
        """Gateways that had not completed a request with the part blamed it."""
        for peers in (False, True):
            with self.subTest(peers=peers):
                fleet = Fleet(5, 12, "deadly", peers)
                self.assert_served(self.play(fleet, gateways_before=1))
                # Without messages, the fourth request comes before the store tells all.
                self.assert_only_the_deadly_part_is_quarantined(
                    fleet, 4 if peers else 5
                )

    def test_part_that_was_never_completed_before_the_crashes_is_served(self):
        """Two parts that no completed request tells apart: the later one was blamed."""
        fleet = Fleet(2, 6, "deadly", peers=True)
        for number in range(6):
            crashing = prompt("deadly", "shared", f"crash{number}")
            fleet.send(number % 2, "/chat/1", crashing)
            fleet.advance(0.8)
        fleet.advance(7.0)
        for number in range(24):
            fleet.advance(0.05)
            sound = prompt(f"s{number % 8}", "shared", f"after{number}")
            fleet.send(number % 2, "/chat/1", sound)
        self.assert_served(fleet.outcomes["sound"])
        self.assert_only_the_deadly_part_is_quarantined(fleet)

    def test_part_alone_narrows_the_group(self):
        """Each other part of a group would have cost three more crashes."""
        fleet = Fleet(2, 12, "deadly", peers=True)
        for number in range(12):
            others = ("a", "b") if number < 3 else ("b",) if number < 6 else ()
            fleet.send(number % 2, "/chat/1", prompt("deadly", *others, f"{number}"))
            fleet.advance(CONTACT_S + 1.0)
        self.assertLessEqual(len(fleet.crashes), BUDGET_CRASHES + BUDGET_REQUESTS)
        self.assertEqual(fleet.quarantined(0), {part_hash(prompt("deadly")[0])})

    def test_few_gateways_write_that_a_part_was_completed(self):
        """Store writes are billed, and all gateways may have completed the part."""
        fleet = Fleet(60, 12, "deadly", peers=True)
        self.assert_served(self.play(fleet, gateways_before=24))
        self.assert_only_the_deadly_part_is_quarantined(fleet)
        self.assertLessEqual(len(fleet.cleared), 6)


class OtherCrashTest(unittest.TestCase):
    """Servers crash on a sound part's requests for other reasons too."""

    def play(self, others: int, gateways: int = 2, again: int = 12) -> Fleet:
        """Crashes servers on sound requests, and then on those with a part.

        No gateway has completed a request before: all have just been started.
        """
        fleet = Fleet(gateways, 6, "other", peers=True)
        for number in range(others):
            fleet.send(number % gateways, "/chat/1", prompt("shared", "other", "own"))
            fleet.advance(0.8)
        fleet.deadly = "deadly"
        for number in range(again):
            crashing = prompt("shared", "deadly", f"crash{number}")
            fleet.send(number % gateways, "/chat/1", crashing)
            fleet.advance(0.8)
        return fleet

    def send_sound(self, fleet: Fleet, gap_s: float = 0.2) -> list[bool]:
        """Tells which of some sound requests are served."""
        fleet.outcomes["sound"].clear()
        for number in range(24):
            sound = prompt("shared", f"s{number}", f"after{number}")
            fleet.send(number % len(fleet.drivers), "/chat/1", sound)
            fleet.advance(gap_s)
        return [isinstance(e, ev.Finish) for e in fleet.outcomes["sound"]]

    def test_sound_part_in_one_crash_more_is_served(self):
        """Guards LOST (review case 8): it was refused for ten minutes in place of the
        part that crashes servers, which was in one crash less.
        """
        fleet = self.play(others=1)
        self.assertEqual(self.send_sound(fleet), [True] * 24)
        self.assertLessEqual(len(fleet.crashes), BUDGET_CRASHES)

    def test_sound_part_in_several_crashes_more_is_served_in_the_end(self):
        """Guards LOST: a quarantine that lets no request through learns nothing."""
        for others in (2, 3):
            with self.subTest(others=others):
                fleet = self.play(others)
                served = self.send_sound(fleet)
                self.assertGreater(sum(served), len(served) / 2)
                self.assertTrue(all(served[12:]), served)

    def test_part_in_all_requests_of_a_route_crashes_few_more_servers(self):
        """Guards BUDGET: single requests are let through, but few after five crashes."""
        for gateways in (1, 2, 12):
            with self.subTest(gateways=gateways):
                fleet = Fleet(gateways, 12, "deadly", peers=True)
                for number in range(400):
                    crashing = prompt("deadly", f"{number}", f"own{number}")
                    fleet.send(number % gateways, "/chat/1", crashing)
                    fleet.advance(0.8)
                late = fleet.crashes[4] + CONTACT_S
                found = [at for at in fleet.arrivals if at > late]
                self.assertLessEqual(len(found), BUDGET_REQUESTS)
                gaps = [b - a for a, b in itertools.pairwise(fleet.crashes[2:])]
                for failures, gap_s in enumerate(gaps):
                    self.assertGreaterEqual(gap_s, FIRST_PROBE_WAIT_S * 2**failures)

    def test_part_in_few_requests_crashes_no_more_servers(self):
        """Guards the servers: a crash takes all their requests along."""
        fleet = Fleet(2, 12, "deadly", peers=True)
        for number in range(200):
            for other in range(4):
                sound = prompt("shared", f"s{other}", f"own{number}")
                fleet.send(other % 2, "/chat/1", sound)
            crashing = prompt("shared", "deadly", f"crash{number}")
            fleet.send(number % 2, "/chat/1", crashing)
            fleet.advance(0.8)
        self.assertEqual(len(fleet.crashes), 3)


class LongChatTest(unittest.TestCase):
    def play(self, turns: int) -> Fleet:
        """Plays chats whose second part crashes servers, among sound ones."""
        fleet = Fleet(2, 4, "deadly", peers=True)
        for number in range(40):
            fleet.advance(0.25)
            chat = [f"{number}-{turn}" for turn in range(turns)]
            crashing = prompt("root", "deadly", *chat, f"own{number}")
            fleet.send(number % 2, "/chat/1", crashing)
            fleet.send(number % 2, "/chat/1", prompt("root", "sound", *chat, "own"))
        return fleet

    def test_part_with_many_turns_behind_it_is_quarantined(self):
        """Review case 5: a report named only the last eight parts of a prompt."""
        for turns in (9, 38, 150):
            with self.subTest(turns=turns):
                fleet = self.play(turns)
                self.assertEqual(len(fleet.crashes), 3)
                deadly = part_hash(prompt("deadly")[0])
                self.assertEqual(fleet.quarantined(1), {deadly})

    def test_sound_parts_in_another_report_of_the_request_are_not_quarantined(self):
        """Guards LOST: of a prompt with several reports, one without the part that
        crashes servers was held responsible, and all sound prompts were refused.
        """
        for turns in (39, 40, 41, 60, 90, 150):
            with self.subTest(turns=turns):
                fleet = Fleet(2, 6, "deadly", peers=True)
                chat = [f"turn{turn}" for turn in range(turns)]
                for number in range(6):
                    crashing = prompt("deadly", *chat, f"crash{number}")
                    fleet.send(number % 2, "/chat/1", crashing)
                    fleet.advance(0.8)
                self.assertEqual(len(fleet.crashes), 3)
                for number in range(24):
                    fleet.advance(0.05)
                    fleet.send(number % 2, "/chat/1", prompt("sound", *chat, "own"))
                sound = fleet.outcomes["sound"]
                self.assertEqual([e for e in sound if isinstance(e, ev.Refuse)], [])

    def test_reports_of_a_long_chat_fit_into_datagrams(self):
        """Records over the limit are malformed to other gateways."""
        chat = prompt(*(f"part{number}" for number in range(100)))
        # A store key of 200 bytes holds ids of up to 192, which JSON may double.
        for server_id in ("e" * 40, "e" * 192, '"' * 192):
            with self.subTest(server_id[:9], size=len(server_id)):
                quarantine = PromptQuarantine("gateway-" + "1" * 40)
                crashed = server(server_id, incarnation=10**13)
                reports = quarantine.report(1e9 + 0.25, crashed, 1e9, chat, 1e9 + 9.5)
                for report in reports:
                    _, value = encode_report(report)
                    self.assertLessEqual(len(value), MAX_RECORD_BYTES)
                    self.assertEqual(decode_report(report.id, value), report)
                reported = sum(len(report.parts) for report in reports)
                self.assertEqual(reported, len(chat) - 1)


class ReportBoundsTest(unittest.TestCase):
    """More reports than a gateway remembers, of one crash and of many."""

    # Requests that a server runs.
    SLOTS = 64

    def setUp(self):
        self.quarantine = PromptQuarantine("g")
        self.crashes = 0

    def crash(self, at: float, reports: int, place: int | None = None) -> None:
        """Reports a crash; the request at a place has the part that crashes servers."""
        self.crashes += 1
        server_id = f"s{self.crashes}"
        for number in range(reports):
            parts = tuple(f"turn{server_id}-{number}-{part}" for part in range(8))
            if number == place:
                parts += ("deadly",)
            report_id = f"g/{server_id}-{number}"
            self.quarantine.add(
                CrashReport(report_id, server_id, 1, at - 0.1, at, parts)
            )

    def test_part_in_a_report_over_the_bound_of_a_crash_is_quarantined(self):
        """Guards BUDGET: it was in none of the first 200 reports of any crash."""
        for reports in (MAX_CRASH_REPORTS, MAX_CRASH_REPORTS + 1, 256):
            with self.subTest(reports=reports):
                self.setUp()
                for number in range(BUDGET_CRASHES):
                    self.crash(100.0 + 5 * number, reports, place=reports - 1)
                self.assertEqual(list(self.quarantine.crash_counts), ["deadly"])

    def test_bystanders_of_other_crashes_do_not_displace_a_part(self):
        """Guards BUDGET: the reports of earlier crashes on the part were dropped."""
        for others in (5, 20):
            with self.subTest(others=others):
                self.setUp()
                for number in range(BUDGET_CRASHES):
                    at = 100.0 + 100 * number
                    self.crash(at, self.SLOTS, place=3)
                    for other in range(others):
                        self.crash(at + 1 + other, self.SLOTS)
                self.assertEqual(list(self.quarantine.crash_counts), ["deadly"])

    def test_many_other_crashes_do_not_release_a_quarantined_part(self):
        """Guards BUDGET: each release costs three servers more."""
        for number in range(3):
            self.crash(100.0 + 5 * number, self.SLOTS, place=3)
        for number in range(40):
            self.crash(120.0 + number, self.SLOTS)
            self.assertEqual(list(self.quarantine.crash_counts), ["deadly"])


class ExpiredReportsTest(unittest.TestCase):
    """Reports expire while requests with the part still come."""

    def play(self, fleet: Fleet, seconds: float) -> None:
        """Sends two requests every five seconds, one of them with the part."""
        for number in range(int(seconds / 5.0)):
            gateway = number % len(fleet.drivers)
            fleet.send(gateway, "/chat/1", prompt("root", "deadly", f"crash{number}"))
            fleet.send(gateway, "/chat/1", prompt("root", "sound", f"own{number}"))
            fleet.advance(5.0)

    def test_part_does_not_crash_three_servers_each_time_its_reports_expire(self):
        """Guards BUDGET: every ten minutes the quarantine began anew."""
        fleet = Fleet(2, 12, "deadly", peers=True)
        self.play(fleet, 3 * 3600.0)
        self.assertLessEqual(len(fleet.crashes), BUDGET_CRASHES + BUDGET_REQUESTS)
        late = [at for at in fleet.crashes if at > fleet.crashes[2] + CONTACT_S]
        gaps = [b - a for a, b in zip(late, late[1:], strict=False)]
        self.assertEqual(gaps, sorted(gaps))
        self.assertFalse(
            [e for e in fleet.outcomes["sound"] if not isinstance(e, ev.Finish)]
        )

    def quarantine_sound_part(self, fleet: Fleet) -> None:
        """Three servers crash on a part that is sound from then on."""
        for number in range(3):
            fleet.send(number % 2, "/chat/1", prompt("deadly", f"crash{number}"))
            fleet.advance(5.0)
        fleet.deadly = ""
        fleet.advance(REPORT_TTL_S)
        fleet.outcomes["sound"].clear()

    def test_completed_request_releases_a_part_whose_reports_expired(self):
        """Guards LOST: a part that was sound would be held back for good."""
        fleet = Fleet(2, 12, "deadly", peers=True)
        self.quarantine_sound_part(fleet)
        for number in range(20):
            fleet.advance(1.0)
            fleet.send(number % 2, "/chat/1", prompt("deadly", f"own{number}"))
        outcomes = [isinstance(e, ev.Finish) for e in fleet.outcomes["sound"]]
        self.assertTrue(all(outcomes[6:]), outcomes)

    def test_server_that_had_not_crashed_does_not_hold_the_part_again(self):
        """Its connections were reset, which looks like a further crash."""
        quarantine = PromptQuarantine("g")
        for number in range(3):
            at = 100.0 + number
            quarantine.add(CrashReport(f"g/{number}", f"e{number}", 1, at, at, ("p",)))
        now = 103.0 + REPORT_TTL_S
        quarantine.expire(now)
        quarantine.add(CrashReport("g/9", "e9", 1, now, now, ("other", "p")))
        self.assertTrue(quarantine._expired.blocks(now, {"p"}))
        for _ in range(ALIVE_HEARTBEATS):
            quarantine.note_heartbeat(server("e9", "engine"))
        self.assertFalse(quarantine._expired.blocks(now, {"p"}))

    def test_report_from_a_clock_that_is_far_ahead_holds_no_group(self):
        """Guards LOST: the part would have been refused until that time."""
        groups = ExpiredGroups()
        groups.add(frozenset("p"))
        groups.note_crash(CrashReport("h/1", "e1", 1, 9e9, 9e9, ("p",)))
        self.assertEqual(groups.find(1e9, {"p"}), frozenset("p"))
        self.assertFalse(groups.blocks(1e9, {"p"}))

    def test_expired_groups_are_bounded(self):
        groups = ExpiredGroups()
        for number in range(MAX_EXPIRED_GROUPS + 1):
            groups.add(frozenset((f"p{number}",)))
        self.assertEqual(len(groups), MAX_EXPIRED_GROUPS)
        self.assertIsNone(groups.find(0.0, {"p0"}))


class ClockTest(unittest.TestCase):
    """Gateways whose clocks differ report crashes to one whose clock is right."""

    SKEWS_S = (2.0, 0.0, -2.0)

    def setUp(self):
        names = tuple(f"g{number}" for number in range(len(self.SKEWS_S)))
        self.driver = Driver(routers=("me", *names))
        addresses = tuple((name, f"{name}:1") for name in ("me", *names))
        self.driver.apply(ev.RoutersListed(("me", *names), addresses))

    def report(self, gateway: int, number: int, delay_s: float = 0.0) -> None:
        """Reports the crash of a server by message, and then by the store."""
        at = self.driver.now + self.SKEWS_S[gateway]
        server_id = f"e{number}-{gateway}"
        report = CrashReport(
            f"g{gateway}/{number}", server_id, 1, at - 0.1, at, ("part",)
        )
        self.driver.now += delay_s
        self.driver.apply(ev.PeerCrashReceived(f"g{gateway}:1", report))
        self.driver.apply(ev.CrashReported(report))
        self.driver.now -= delay_s

    def test_servers_that_fail_together_quarantine_nothing(self):
        """Clocks more than 0.3 s apart made one failure of a zone look like several."""
        for gateway in range(len(self.SKEWS_S)):
            self.report(gateway, 0, delay_s=0.01)
        self.assertEqual(self.driver.reducer.crashes.quarantined, {})

    def test_completed_request_excuses_a_part_of_a_report_from_the_future(self):
        """A report that seemed later than the request kept its part in quarantine."""
        for number in range(3):
            at = self.driver.now + 100.0 + number
            report = CrashReport(f"g0/{number}", f"e{number}", 1, at, at, ("part",))
            self.driver.apply(ev.CrashReported(report))
            self.driver.advance(1.0)
        self.assertEqual(self.driver.reducer.crashes.quarantined, {"part": 3})
        self.driver.apply(ev.PartCleared("part"))
        self.assertEqual(self.driver.reducer.crashes.quarantined, {})

    def test_late_message_does_not_separate_crashes(self):
        """The time from sending to reading a message is no difference of clocks."""
        for gateway in range(len(self.SKEWS_S)):
            report = CrashReport(
                f"g{gateway}/1",
                "other",
                1,
                0.0,
                self.driver.now + self.SKEWS_S[gateway],
                (),
            )
            self.driver.apply(ev.PeerCrashReceived(f"g{gateway}:1", report))
        self.driver.advance(10.0)
        for gateway in range(len(self.SKEWS_S)):
            self.report(gateway, 2, delay_s=0.5 * gateway)
        self.assertEqual(self.driver.reducer.crashes.quarantined, {})

    def test_separate_crashes_count_as_separate(self):
        """Clocks that are late by the time between crashes made them look like one."""
        for gateway in range(len(self.SKEWS_S)):
            self.report(gateway, 3)
            self.driver.advance(2.0)
        self.assertEqual(self.driver.reducer.crashes.quarantined, {"part": 3})

    def test_report_in_the_store_has_the_clock_of_its_gateway(self):
        """A lost message is made good by the store, whose records come late."""
        for gateway in range(len(self.SKEWS_S)):
            self.report(gateway, 4)
        self.driver.advance(10.0)
        reports = []
        for gateway, skew_s in enumerate(self.SKEWS_S):
            at = self.driver.now + skew_s
            report = CrashReport(
                f"g{gateway}/5", f"e5-{gateway}", 1, at - 0.1, at, ("other",)
            )
            reports.append(report)
        for report in reports:
            self.driver.advance(1.0)
            self.driver.apply(ev.CrashReported(report))
        self.assertEqual(self.driver.reducer.crashes.quarantined, {})


class BurstTest(unittest.TestCase):
    """Requests with one part come together and crash several servers at one moment."""

    def setUp(self):
        names = ("g0", "g1")
        addresses = tuple((name, f"{name}:1") for name in names)
        self.drivers = [Driver(routers=names, own_id=name) for name in names]
        for driver in self.drivers:
            driver.apply(ev.RoutersListed(names, addresses))
            driver.add_servers(*(server(f"e{n}", "engine", slots=64) for n in range(8)))

    def burst(self, driver: Driver, count: int, part: str) -> list[ev.Effect]:
        """Sends requests at one moment and returns what becomes of them."""
        driver.take_effects()
        for number in range(count):
            serial = driver.send_request("/chat/1", parts=prompt(part, f"own{number}"))
            while isinstance(driver.effects[-1], ev.QueryLoad | ev.QueryHolder):
                peer = driver.effects.pop().peer
                driver.apply(ev.PeerQueryFailed(serial, peer))
        effects = driver.take_effects()
        return [e for e in effects if isinstance(e, ev.Forward | ev.Refuse)]

    def crash(self, forwards: list[ev.Effect]) -> None:
        """Ends attempts as broken off, and tells the other gateway."""
        first, second = self.drivers
        self.assertGreaterEqual(len({f.server.id for f in forwards}), 3)
        self.advance(0.1)
        for forward in forwards:
            first.apply(ev.AttemptEnded(forward.serial, ev.Broken("cut")))
            # The server is listed again with its next start.
            again = server(forward.server.id, "engine", slots=64, incarnation=2)
            for driver in self.drivers:
                driver.add_servers(again)
        for effect in first.take_effects():
            if isinstance(effect, ev.SendCrash):
                second.apply(ev.PeerCrashReceived("g0:1", effect.report))

    def advance(self, seconds: float) -> None:
        for driver in self.drivers:
            driver.advance(seconds)

    def test_second_burst_does_not_crash_as_many_servers(self):
        """Crashes at one moment counted as one, so three bursts reached the servers."""
        self.crash(self.burst(self.drivers[0], 12, "deadly"))
        sent: list[ev.Effect] = []
        for _ in range(4):
            self.advance(PROBE_SLOT_S)
            found = [e for d in self.drivers for e in self.burst(d, 6, "deadly")]
            refusals = [e for e in found if isinstance(e, ev.Refuse)]
            self.assertTrue(all(e.status == 503 for e in refusals))
            self.assertTrue(all(e.retry_after_s == PROBE_SLOT_S for e in refusals))
            sent += [e for e in found if isinstance(e, ev.Forward)]
        # One gateway in each slot.
        self.assertEqual(len(sent), 4)

    def test_completed_probe_releases_a_part_of_servers_that_failed_together(self):
        """A sound part that failed servers had in common may not be kept back."""
        self.crash(self.burst(self.drivers[0], 12, "sound"))
        self.advance(PROBE_SLOT_S)
        for driver, other in zip(self.drivers, self.drivers[::-1], strict=True):
            for effect in self.burst(driver, 1, "sound"):
                if isinstance(effect, ev.Forward):
                    driver.apply(ev.AttemptEnded(effect.serial, ev.Completed(200, 1)))
                    for sent in driver.take_effects():
                        if isinstance(sent, ev.PublishCleared):
                            other.apply(ev.PartCleared(sent.parts[0], sent.age_s))
        for driver in self.drivers:
            found = self.burst(driver, 4, "sound")
            self.assertEqual([type(e) for e in found], [ev.Forward] * 4)

    def test_part_that_was_completed_recently_is_not_suspected_of_a_failed_zone(self):
        (forward,) = self.burst(self.drivers[0], 1, "sound")
        self.drivers[0].apply(ev.AttemptEnded(forward.serial, ev.Completed(200, 1)))
        self.advance(QUIET_S)
        self.crash(self.burst(self.drivers[0], 12, "sound"))
        found = self.burst(self.drivers[0], 4, "sound")
        self.assertEqual([type(e) for e in found], [ev.Forward] * 4)

    def test_servers_of_all_prompts_do_not_put_a_shared_part_into_quarantine(self):
        """A request sent between two crashes made only the shared part look certain."""
        sent_at = (0.0, 0.1, 0.2)
        reports = [
            CrashReport(f"g/{n}-{kind}", f"e{n}", 1, at if kind else -1.0, at + 0.05, p)
            for n, at in enumerate(sent_at)
            for kind, p in enumerate((("root", "deadly"), ("root",)))
        ]
        quarantine = PromptQuarantine("g")
        for report in reports:
            quarantine.add(report)
        self.assertEqual(list(quarantine.crash_counts), ["deadly+root"])
