"""Tests that prompts on which servers crash are kept from the servers."""

import asyncio
import json
import random
import time
import unittest
from collections import deque

from emulator.platform.deployment import Deployment
from emulator.platform.server import Behaviour
from heatherswitch.fleet.peer_messages import MessageKind, PeerMessage, encode
from heatherswitch.gateway import events as ev
from heatherswitch.gateway.clock_offsets import ClockOffsets
from heatherswitch.gateway.crash_attribution import COINCIDENCE_S, QUARANTINE_CRASHES
from heatherswitch.gateway.crash_handling import BEGUN_S
from heatherswitch.gateway.crash_publisher import (
    MAX_OUTBOX,
    CrashOutbox,
    CrashPublisher,
)
from heatherswitch.gateway.crash_records import (
    CLEARED_PREFIX,
    CRASH_PREFIX,
    CrashRecordError,
    decode_report,
    encode_cleared,
    encode_report,
)
from heatherswitch.gateway.crash_report import CrashReport
from heatherswitch.gateway.model import PromptPart
from heatherswitch.gateway.part_completions import EXONERATION_S
from heatherswitch.gateway.peer_link import PeerLink
from heatherswitch.gateway.prompt_quarantine import (
    ALIVE_HEARTBEATS,
    MAX_REPORTS,
    MIN_RESTART_S,
    REPORT_TTL_S,
    PromptQuarantine,
    part_hash,
)
from heatherswitch.gateway.quarantine_changes import ReportsWithdrawn
from heatherswitch.gateway.silent_requests import (
    MAX_SILENT_REQUESTS,
    SILENCE_TTL_S,
    SilentRequest,
    SilentRequests,
)
from heatherswitch.platform.reader import PlatformReader
from heatherswitch.statecore.replica import Entry
from heatherswitch.statecore.store import StoreUnavailable
from heatherswitch.util.metrics import Metrics
from test.gateway_fakes import Driver, server

CRASHED = ev.Broken("the answer was cut")
COMPLETED = ev.Completed(200, 0.1)


def prompt(*ids: str) -> tuple[PromptPart, ...]:
    """Returns a prompt of the given parts."""
    return tuple(PromptPart(part_id, 100) for part_id in ids)


class Fleet:
    """Gateways that share crash reports with a delay, and servers that may crash.

    :ivar arrivals: time of each request with a deadly part that reached a server.
    :ivar crashes: time of each crash.
    :ivar cleared: effects that tell the store of completed parts.
    """

    DELAY_S = 2.0
    RESTART_S = 3.0

    def __init__(
        self, gateways: int, servers: int, deadly: str, peers: bool = False
    ) -> None:
        ids = [f"g{n}" for n in range(gateways)]
        self.drivers = [Driver(routers=ids, own_id=name) for name in ids]
        self._addresses = tuple((name, f"{name}:1") for name in ids if peers)
        for driver in self.drivers:
            driver.apply(ev.RoutersListed(tuple(ids), self._addresses))
        self.deadly = deadly
        self.arrivals: list[float] = []
        self.crashes: list[float] = []
        self.cleared: list[ev.PublishCleared] = []
        self.outcomes: dict[str, list[ev.Effect]] = {"deadly": [], "sound": []}
        self._records: deque[tuple[float, ev.Event]] = deque()
        self._restarts: deque[tuple[float, str]] = deque()
        self._incarnations = dict.fromkeys((f"e{n}" for n in range(servers)), 1)
        for server_id in self._incarnations:
            self._list(server_id)

    def _list(self, server_id: str) -> None:
        record = server(
            server_id, "engine", incarnation=self._incarnations[server_id], slots=64
        )
        for driver in self.drivers:
            driver.add_servers(record)

    def advance(self, seconds: float) -> None:
        """Advances all clocks, delivers due records and restarts servers."""
        for number, driver in enumerate(self.drivers):
            driver.take_effects()
            driver.advance(seconds)
            self._publish(number, driver.take_effects())
        now = self.drivers[0].now
        while self._records and self._records[0][0] <= now:
            _, event = self._records.popleft()
            for driver in self.drivers:
                driver.apply(event)
        while self._restarts and self._restarts[0][0] <= now:
            _, server_id = self._restarts.popleft()
            self._incarnations[server_id] += 1
            self._list(server_id)

    def send(self, gateway: int, path: str, parts: tuple[PromptPart, ...]) -> None:
        """Sends a request, which ends at once, to a gateway."""
        driver = self.drivers[gateway]
        kind = "deadly" if any(p.id == self.deadly for p in parts) else "sound"
        driver.take_effects()
        serial = driver.send_request(path, parts=parts)
        (effect,) = driver.take_effects()
        while isinstance(effect, ev.Forward | ev.QueryLoad | ev.QueryHolder):
            if not isinstance(effect, ev.Forward):
                driver.apply(ev.PeerQueryFailed(serial, effect.peer))
                (effect,) = driver.take_effects()
                continue
            outcome = COMPLETED
            if any(effect.server.id == other for _, other in self._restarts):
                outcome = ev.NotSent("connection refused", refused=True)
            elif kind == "deadly":
                outcome = CRASHED
                self._crash(effect.server.id)
            driver.apply(ev.AttemptEnded(serial, outcome))
            effects = driver.take_effects()
            self._publish(gateway, effects)
            effect = next(e for e in effects if getattr(e, "serial", 0) == serial)
        self.outcomes[kind].append(effect)

    def quarantined(self, gateway: int) -> set[str]:
        """Returns the names of the groups of parts that a gateway quarantines."""
        return set(self.drivers[gateway].reducer.crashes.quarantined)

    def _crash(self, server_id: str) -> None:
        now = self.drivers[0].now
        self.arrivals.append(now)
        self.crashes.append(now)
        self._restarts.append((now + self.RESTART_S, server_id))

    def _publish(self, gateway: int, effects: list[ev.Effect]) -> None:
        due_at = self.drivers[0].now + self.DELAY_S
        addresses = dict(self._addresses)
        for effect in effects:
            if isinstance(effect, ev.SendCrash | ev.SendCleared):
                self._deliver(addresses[f"g{gateway}"], effect)
            if isinstance(effect, ev.PublishCrash):
                self._records.append((due_at, ev.CrashReported(effect.report)))
            elif isinstance(effect, ev.PublishCleared):
                self.cleared.append(effect)
                for part in effect.parts:
                    cleared = ev.PartCleared(part, effect.age_s)
                    self._records.append((due_at, cleared))

    def _deliver(self, sender: str, effect: ev.SendCrash | ev.SendCleared) -> None:
        events: list[ev.Event] = []
        if isinstance(effect, ev.SendCrash):
            events.append(ev.PeerCrashReceived(sender, effect.report))
        else:
            age_s = effect.cleared.age_s
            for part in effect.cleared.parts:
                events.append(ev.PartCleared(part, age_s, sender))
        for driver, (_, address) in zip(self.drivers, self._addresses, strict=True):
            for event in events if address in effect.peers else ():
                driver.apply(event)


class DeadlyPromptReplayTest(unittest.TestCase):
    """A part of a prompt crashes each server, in a small share of the requests."""

    def play(
        self,
        path: str,
        gateways: int,
        per_s: float,
        seconds: float = 30.0,
        peers: bool = False,
    ):
        fleet = Fleet(gateways, 12, "deadly", peers)
        rng = random.Random(7)
        step_s = 1 / per_s
        for number in range(int(seconds * per_s)):
            fleet.advance(step_s)
            root, subject = f"root{rng.randrange(3)}", f"subject{rng.randrange(20)}"
            parts = prompt(root, subject, f"own{number}")
            if rng.random() < 0.1:
                # The part before the deadly one is in few sound prompts.
                parts = prompt("root0", "subject0", "deadly", f"own{number}")
            fleet.send(rng.randrange(gateways), path, parts)
        return fleet

    def assert_contained(self, fleet: Fleet):
        self.assertGreaterEqual(len(fleet.crashes), 3)
        fifth_at = fleet.crashes[min(4, len(fleet.crashes) - 1)]
        late = [at for at in fleet.arrivals if at > fifth_at + 3.0]
        self.assertEqual(late, [])
        refused = [e for e in fleet.outcomes["deadly"] if isinstance(e, ev.Refuse)]
        self.assertTrue(any(e.status == 503 for e in refused))
        served = [isinstance(e, ev.Finish) for e in fleet.outcomes["sound"]]
        self.assertTrue(all(served[len(served) // 2 :]))

    def test_servers_do_not_keep_crashing_with_five_gateways(self):
        fleet = self.play("/chat/1", gateways=5, per_s=12.0)
        self.assert_contained(fleet)
        self.assertLessEqual(len(fleet.crashes), 6)

    def test_servers_do_not_keep_crashing_with_thirty_gateways(self):
        """Each gateway sees one crash at most, so only shared reports show the part."""
        self.assert_contained(self.play("/chat/1", gateways=30, per_s=15.0))

    def test_prompt_that_is_sent_often_does_not_crash_most_servers(self):
        """Reports in the store arrive when it has crashed one server after another."""
        fleet = self.play("/live/1", gateways=5, per_s=60.0, seconds=10, peers=True)
        self.assert_contained(fleet)
        self.assertEqual(len(fleet.crashes), 3)

    def test_retries_of_a_resumable_stream_do_not_crash_further_servers(self):
        self.assert_contained(self.play("/live/1", gateways=5, per_s=6.0))


class QuarantineTest(unittest.TestCase):
    def setUp(self):
        self.driver = Driver()
        self.servers = [server(f"e{n}", "engine", slots=64) for n in range(8)]
        self.driver.add_servers(*self.servers)

    def crash(self, *ids: str, path="/chat/1", after_s: float = 1.0) -> ev.Effect:
        """Sends a request on which its server crashes."""
        self.driver.advance(after_s)
        self.driver.take_effects()
        serial = self.driver.send_request(path, parts=prompt(*ids))
        (forward,) = self.driver.take_effects()
        effect = self.driver.end_attempt(serial, CRASHED)
        self.driver.apply(ev.ServerRemoved(forward.server.id, False))
        return effect

    def complete(self, *ids: str) -> None:
        serial = self.driver.send_request("/chat/1", parts=prompt(*ids))
        self.driver.take_effects()
        self.driver.end_attempt(serial, COMPLETED)

    def decide(self, *ids: str, path="/chat/1") -> ev.Effect:
        return self.driver.decide(path, parts=prompt(*ids))

    def test_refusal_says_that_the_request_has_not_run_and_when_to_return(self):
        for number in range(3):
            self.crash("root", "deadly", f"own{number}")
        refusal = self.decide("root", "deadly", "own")
        self.assertEqual((refusal.status, refusal.retry_after_s), (503, REPORT_TTL_S))

    def test_prompts_that_share_the_other_parts_are_served(self):
        """Refusing by the first part or by the caller would refuse sound requests."""
        for number in range(3):
            self.crash("root", "subject", "deadly", f"own{number}")
        self.assertIsInstance(self.decide("root", "subject", "own"), ev.Forward)
        self.assertIsInstance(self.decide("root", "other", "own"), ev.Forward)

    def test_common_part_before_various_others_is_found(self):
        for number in range(3):
            self.crash("deadly", f"subject{number}", f"own{number}")
        self.assertIsInstance(self.decide("deadly", "new", "own"), ev.Refuse)
        self.assertIsInstance(self.decide("root", "subject1", "own"), ev.Forward)

    def test_servers_that_fail_together_quarantine_nothing(self):
        """A zone without power takes many servers down, whatever they run."""
        self.driver.advance(1.0)
        requests = [
            self.driver.send_request("/chat/1", parts=prompt(f"root{n}", "x", "own"))
            for n in range(12)
        ]
        forwards = self.driver.take_effects()
        self.assertGreaterEqual(len({f.server.id for f in forwards}), 3)
        for serial in requests:
            self.driver.now += 0.01
            self.driver.end_attempt(serial, CRASHED)
        self.driver.advance(4.0)
        self.assertIsInstance(self.decide("root", "x", "own"), ev.Forward)

    def test_one_server_that_breaks_off_quarantines_nothing(self):
        for _ in range(6):
            self.driver.advance(COINCIDENCE_S * 2)
            serial = self.driver.send_request("/chat/1", parts=prompt("root", "own"))
            self.driver.end_attempt(serial, CRASHED)
            self.driver.apply(ev.ServerRemoved("e9", False))
            only = self.servers[0]
            for other in self.servers[1:]:
                self.driver.apply(ev.ServerRemoved(other.id, False))
            self.driver.add_servers(only)
        self.driver.advance(4.0)
        self.assertIsInstance(self.decide("root", "own"), ev.Forward)

    def test_bystanders_that_completed_are_not_suspected(self):
        for number in range(3):
            self.complete("root", "subject", "own")
            self.crash("root", "subject", f"own{number}")
        self.assertIsInstance(self.decide("root", "subject", "own"), ev.Forward)

    def test_part_that_completed_long_ago_can_become_deadly(self):
        self.complete("root", "subject", "own")
        self.driver.advance(EXONERATION_S)
        for number in range(3):
            self.crash("root", "subject", f"own{number}")
        self.assertIsInstance(self.decide("root", "subject", "own"), ev.Refuse)

    def test_completed_request_releases_its_parts_at_all_gateways(self):
        """A request that runs when its part is quarantined shows that it is sound."""
        running = self.driver.send_request("/chat/1", parts=prompt("root", "own"))
        for number in range(3):
            self.crash("root", f"own{number}")
        self.assertIsInstance(self.decide("root", "own"), ev.Refuse)
        self.driver.apply(ev.AttemptEnded(running, COMPLETED))
        (cleared,) = (
            e for e in self.driver.take_effects() if isinstance(e, ev.PublishCleared)
        )
        self.assertEqual(cleared.parts, (part_hash(PromptPart("root", 1)),))
        self.assertIsInstance(self.decide("root", "own"), ev.Forward)

    def fall_silent(self, *ids: str, caller_leaves: bool = False) -> str:
        """Sends a request whose server falls silent; returns the server's id."""
        self.driver.advance(1.0)
        self.driver.take_effects()
        serial = self.driver.send_request("/chat/1", parts=prompt(*ids))
        (forward,) = self.driver.take_effects()
        self.driver.advance(1.5)
        if caller_leaves:
            self.driver.apply(ev.CallerDisconnected(serial))
        else:
            silent = ev.Broken("the deadline passed", silent=True)
            self.driver.apply(ev.AttemptEnded(serial, silent))
        return forward.server.id

    def test_part_on_which_servers_lose_power_is_quarantined(self):
        """Guards BUDGET: a server that falls silent breaks no connection off.

        Its entry in the store expires, or it starts again.
        """
        for caller_leaves in (False, True):
            for restarts in (False, True):
                with self.subTest(caller_leaves=caller_leaves, restarts=restarts):
                    self.setUp()
                    for number in range(QUARANTINE_CRASHES):
                        ids = ("root", "deadly", f"own{number}")
                        crashed = self.fall_silent(*ids, caller_leaves=caller_leaves)
                        self.assertIsInstance(self.decide(*ids), ev.Forward)
                        self.driver.advance(2.0)
                        if restarts:
                            start = {"incarnation": number + 2, "slots": 64}
                            self.driver.add_servers(server(crashed, "engine", **start))
                        else:
                            self.driver.apply(ev.ServerRemoved(crashed, False))
                    refusal = self.decide("root", "deadly", "own")
                    self.assertIsInstance(refusal, ev.Refuse)

    def test_request_that_ends_after_its_server_is_reported(self):
        """The store told of the lost server before the caller left."""
        for number in range(QUARANTINE_CRASHES):
            self.driver.advance(1.0)
            self.driver.take_effects()
            ids = ("root", "deadly", f"own{number}")
            serial = self.driver.send_request("/chat/1", parts=prompt(*ids))
            (forward,) = self.driver.take_effects()
            self.driver.apply(ev.ServerRemoved(forward.server.id, False))
            self.driver.apply(ev.CallerDisconnected(serial))
        self.assertIsInstance(self.decide("root", "deadly", "own"), ev.Refuse)

    def test_server_that_is_only_slow_is_no_evidence(self):
        """Guards LOST: its entry stays, or it says that it leaves, or is back at once."""
        for number in range(2 * QUARANTINE_CRASHES):
            slow = self.fall_silent("root", "sound", f"own{number}")
            if number % 3 == 0:
                self.driver.add_servers(server(slow, "engine", slots=64))
            elif number % 3 == 1:
                leaving = server(slow, "engine", slots=64, draining=True)
                self.driver.add_servers(leaving)
                self.driver.apply(ev.ServerRemoved(slow, False))
            else:
                self.driver.apply(ev.ServerRemoved(slow, True))
        self.driver.advance(SILENCE_TTL_S)
        for entry in self.servers:
            self.driver.apply(ev.ServerRemoved(entry.id, False))
        self.start_other_servers()
        self.assertIsInstance(self.decide("root", "sound", "own"), ev.Forward)

    def start_other_servers(self) -> None:
        again = (s.replace(id=f"{s.id}-again") for s in self.servers)
        self.driver.add_servers(*again)

    def test_part_is_released_if_silent_servers_come_back_without_a_new_start(self):
        """Guards LOST: servers that were cut off the store had not crashed."""
        cut_off = [self.fall_silent("root", "sound", f"own{n}") for n in range(3)]
        for server_id in cut_off:
            self.driver.apply(ev.ServerRemoved(server_id, False))
        for _ in range(ALIVE_HEARTBEATS):
            self.driver.advance(1.2)
            self.driver.add_servers(
                *(server(server_id, "engine", slots=64) for server_id in cut_off)
            )
        self.assertIsInstance(self.decide("root", "sound", "own"), ev.Forward)

    def test_memory_of_silent_requests_is_bounded(self):
        silent = SilentRequests()
        for number in range(MAX_SILENT_REQUESTS + 5):
            request = SilentRequest(server("e1"), 1.0, 2.0, prompt("a", "own"))
            silent.note(number, request)
        found = silent.note_ended(3.0, server("e1"))
        self.assertEqual(len(found), MAX_SILENT_REQUESTS)

    def test_late_report_does_not_shift_the_clock_of_its_gateway(self):
        """Its crash is older than the message that tells of it."""
        offsets = ClockOffsets()
        report = CrashReport("g/1", "e1", 1, 90.0, 92.0, ("a",), 99.0)
        decoded = decode_report("g/1", encode_report(report)[1])
        self.assertEqual(decoded, report)
        offsets.note(99.0, decoded.gateway_id, decoded.written_at)
        self.assertEqual(offsets.offset_s("g"), 0.0)

    def break_off(self, *ids: str, begun_s: float, path="/chat/1") -> list[ev.Effect]:
        """Breaks a stream off that began so many seconds ago; returns the effects."""
        serial = self.driver.send_request(path, parts=prompt(*ids), deadline_s=20.0)
        (forward,) = self.driver.take_effects()
        self.driver.advance(0.2)
        self.driver.apply(ev.StreamProgressed(serial, 0.2, None))
        self.driver.advance(begun_s)
        self.driver.take_effects()
        self.driver.apply(ev.AttemptEnded(serial, ev.Broken("cut", started=True)))
        self.driver.apply(ev.ServerRemoved(forward.server.id, False))
        return self.driver.take_effects()

    def test_stream_that_had_output_for_long_is_not_reported(self):
        """Its server had written on these parts and lived."""
        for _ in range(QUARANTINE_CRASHES):
            effects = self.break_off("root", "own", begun_s=BEGUN_S)
            self.assertFalse([e for e in effects if isinstance(e, ev.PublishCrash)])
        self.assertIsInstance(self.decide("root", "own"), ev.Forward)

    def test_server_that_crashes_after_its_first_piece_is_reported(self):
        """No report was made once a piece was delivered, so servers kept crashing."""
        for number in range(QUARANTINE_CRASHES):
            self.break_off("root", "deadly", f"own{number}", begun_s=0.4)
        self.assertIsInstance(self.decide("root", "deadly", "own"), ev.Refuse)

    def test_second_server_of_a_resumed_stream_that_crashes_is_reported(self):
        """A piece from the first server hid the crash of the second."""
        serial = self.driver.send_request("/live/1", parts=prompt("root", "own"))
        self.driver.apply(ev.StreamProgressed(serial, 0.0, None))
        self.driver.advance(BEGUN_S - 0.1)
        cut = ev.Broken("cut", started=True)
        self.driver.apply(ev.AttemptEnded(serial, cut))
        self.driver.take_effects()
        self.driver.advance(0.5)
        self.driver.apply(ev.AttemptEnded(serial, cut))
        effects = self.driver.take_effects()
        self.assertTrue([e for e in effects if isinstance(e, ev.PublishCrash)])

    def test_running_stream_excuses_its_parts_when_its_server_crashes(self):
        """A part that all prompts share was blamed while no request was completed."""
        for number in range(QUARANTINE_CRASHES):
            self.crash("root", f"a{number}")
        self.assertIsInstance(self.decide("root", "own"), ev.Refuse)
        self.driver = Driver()
        self.driver.add_servers(*self.servers)
        for number in range(QUARANTINE_CRASHES):
            serial = self.driver.send_request(
                "/chat/1", parts=prompt("root", "own"), deadline_s=20.0
            )
            self.driver.apply(ev.StreamProgressed(serial, 0.0, None))
            self.crash("root", f"a{number}", after_s=BEGUN_S)
            self.driver.end_attempt(serial, ev.Broken("cut", started=True))
        self.assertIsInstance(self.decide("root", "own"), ev.Forward)

    def test_silent_server_is_not_reported(self):
        serial = self.driver.send_request("/chat/1", parts=prompt("root", "own"))
        self.driver.take_effects()
        self.driver.apply(ev.AttemptEnded(serial, ev.Broken("silent", silent=True)))
        self.assertFalse(
            [e for e in self.driver.take_effects() if isinstance(e, ev.PublishCrash)]
        )

    def test_request_that_may_have_run_is_not_refused_as_not_run(self):
        """The third crash quarantines the part of a request that has a try left."""
        for number in range(2):
            self.driver.apply(
                ev.CrashReported(
                    CrashReport(
                        f"g/{number}",
                        f"other{number}",
                        1,
                        self.driver.now,
                        self.driver.now + number,
                        (part_hash(PromptPart("deadly", 1)),),
                    )
                )
            )
        self.driver.advance(5.0)
        refusal = self.crash("root", "deadly", "own", path="/live/1")
        self.assertIsInstance(refusal, ev.Refuse)
        self.assertEqual(refusal.status, 502)

    def test_stalled_request_with_a_quarantined_part_stays_at_its_server(self):
        """Moving it would end it, since it is not sent to another server."""
        serial = self.driver.send_request("/live/1", parts=prompt("deadly", "own"))
        for number in range(3):
            self.crash("deadly", f"own{number}")
        self.driver.take_effects()
        stall = ev.AttemptStalled(serial, ev.Broken("stalled", silent=True))
        self.driver.apply(stall)
        (effect,) = self.driver.take_effects()
        self.assertIsInstance(effect, ev.KeepWaiting)

    def test_queued_request_with_a_quarantined_part_is_refused(self):
        self.driver = Driver()
        self.driver.add_servers(server("e0", "engine", slots=1))
        self.driver.send_request("/chat/1", parts=prompt("other", "own"))
        waiting = self.driver.send_request("/chat/1", parts=prompt("deadly", "own"))
        self.driver.take_effects()
        for number in range(3):
            report = CrashReport(
                f"g/{number}",
                f"s{number}",
                1,
                self.driver.now,
                self.driver.now + number,
                (part_hash(PromptPart("deadly", 1)),),
            )
            self.driver.apply(ev.CrashReported(report))
        (refusal,) = (e for e in self.driver.take_effects() if isinstance(e, ev.Refuse))
        self.assertEqual((refusal.serial, refusal.status), (waiting, 503))

    def test_quarantine_ends_when_the_reports_expire(self):
        for number in range(3):
            self.crash("deadly", f"own{number}")
        self.driver.advance(REPORT_TTL_S)
        self.assertIsInstance(self.decide("deadly", "own"), ev.Forward)

    def test_resets_of_many_connections_quarantine_nothing(self):
        """No server was started again, so none had crashed the first time.

        The time of the first reset with the send before the second one made each of the
        servers count as a crash of its own.
        """
        reports = [
            CrashReport(f"g/{server}{at}", server, 1, at - 0.5, at, ("root",))
            for at in (100.0, 120.0)
            for server in ("e1", "e2", "e3")
        ]
        for order in (reports, reports[::-1]):
            quarantine = PromptQuarantine("g")
            for report in order:
                self.assertIsNone(quarantine.add(report))

    def reset(self, *ids: str) -> str:
        """Sends a request whose connection is reset; returns the server's id."""
        self.driver.advance(1.0)
        self.driver.take_effects()
        serial = self.driver.send_request("/chat/1", parts=prompt(*ids))
        (forward,) = self.driver.take_effects()
        self.driver.end_attempt(serial, CRASHED)
        return forward.server.id

    def test_part_is_released_if_its_servers_had_not_crashed(self):
        """The connections of one session were reset, and it was refused for long."""
        used = set()
        while len(used) < 3:
            used.add(self.reset("root", "session", "own"))
        self.assertIsInstance(self.decide("root", "session", "own"), ev.Refuse)
        for _ in range(ALIVE_HEARTBEATS):
            self.driver.advance(1.2)
            self.driver.add_servers(*self.servers)
        self.assertIsInstance(self.decide("root", "session", "own"), ev.Forward)

    def reset_three(self, *ids: str) -> set[str]:
        """Resets requests until three servers have reset one; returns the servers."""
        used: set[str] = set()
        while len(used) < QUARANTINE_CRASHES:
            used.add(self.reset(*ids, "own"))
        self.assertIsInstance(self.decide(*ids, "own"), ev.Refuse)
        return used

    def test_part_is_released_though_no_entry_of_its_servers_changes(self):
        """Guards CONFIG (review case 7): resets by sound servers kept a route refused.

        Only four changed entries took a report back, and an entry in which nothing but
        its count changes brings no event.
        """
        self.reset_three("root", "session")
        for _ in range(8):
            self.driver.advance(1.0)
        self.assertIsInstance(self.decide("root", "session", "own"), ev.Forward)

    def test_part_is_not_released_while_the_store_is_away(self):
        """Guards BUDGET: leases may pause, so that the entry of a crashed server stays."""
        self.reset_three("root", "deadly")
        for _ in range(30):
            self.driver.now += 1.0
            self.driver.apply(ev.Tick())
        self.driver.advance(1.0)
        self.assertIsInstance(self.decide("root", "deadly", "own"), ev.Refuse)

    def test_part_is_not_released_by_an_entry_that_came_back(self):
        """Guards BUDGET: the last heartbeat of a crashed server may arrive late."""
        for number in range(3):
            self.crash("root", "deadly", f"own{number}")
        for _ in range(6):
            self.driver.advance(1.0)
        self.driver.add_servers(*self.servers)
        self.driver.advance(1.0)
        self.assertIsInstance(self.decide("root", "deadly", "own"), ev.Refuse)

    def test_part_is_released_if_its_servers_answer_later_requests(self):
        """Guards CONFIG: other requests showed at once that no server had crashed."""
        self.reset_three("root", "session")
        self.driver.advance(COINCIDENCE_S)
        for number in range(len(self.servers) * 2):
            serial = self.driver.send_request("/chat/1", parts=prompt(f"other{number}"))
            self.driver.apply(ev.ResponseStarted(serial, None, 0.1, True))
        withdrawn = [
            e for e in self.driver.take_effects() if isinstance(e, ReportsWithdrawn)
        ]
        self.assertTrue(withdrawn)
        self.assertEqual({e.evidence for e in withdrawn}, {"answer"})
        self.assertIsInstance(self.decide("root", "session", "own"), ev.Forward)

    def test_refusal_at_the_same_address_does_not_release_a_part(self):
        """Guards BUDGET: another server may have the address of the one that crashed."""
        self.reset_three("root", "deadly")
        self.driver.advance(COINCIDENCE_S)
        for number in range(len(self.servers) * 2):
            serial = self.driver.send_request("/chat/1", parts=prompt(f"other{number}"))
            self.driver.apply(ev.ResponseStarted(serial, None, 0.1, False))
        self.assertIsInstance(self.decide("root", "deadly", "own"), ev.Refuse)

    def test_answer_to_an_earlier_request_does_not_release_a_part(self):
        """Guards BUDGET: it was sent before the crash."""
        serials = [
            self.driver.send_request("/chat/1", parts=prompt(f"other{number}"))
            for number in range(len(self.servers))
        ]
        self.reset_three("root", "deadly")
        for serial in serials:
            self.driver.apply(ev.ResponseStarted(serial, None, 0.1, True))
        self.assertIsInstance(self.decide("root", "deadly", "own"), ev.Refuse)

    def test_answer_of_the_next_start_does_not_release_a_part(self):
        """Guards BUDGET: the gateway may not have read the entry of the next start."""
        self.reset_three("root", "deadly")
        self.driver.now += MIN_RESTART_S
        for number in range(len(self.servers) * 2):
            serial = self.driver.send_request("/chat/1", parts=prompt(f"other{number}"))
            self.driver.apply(ev.ResponseStarted(serial, None, 0.1, True))
        self.assertIsInstance(self.decide("root", "deadly", "own"), ev.Refuse)

    def test_report_that_is_read_again_has_no_effect(self):
        """Guards CONFIG: a gateway reads the records again after a compaction."""
        self.driver.advance(1.0)
        for _ in range(10):
            self.driver.advance(1.0)
        at = self.driver.now - 9.0
        for number in range(3):
            report = CrashReport(
                f"g/{number}", f"e{number}", 1, at, at + number, ("part",)
            )
            self.driver.apply(ev.CrashReported(report))
        # The reports are 9, 8 and 7 seconds old, and the servers are listed since.
        self.assertEqual(self.driver.reducer.crashes.quarantined, {})

    def test_part_stays_in_quarantine_when_its_servers_have_restarted(self):
        """A few heartbeats from before a crash may arrive after it."""
        for number in range(3):
            self.crash("root", "deadly", f"own{number}")
        for _ in range(ALIVE_HEARTBEATS - 1):
            self.driver.advance(1.2)
            self.driver.add_servers(*self.servers)
        for _ in range(ALIVE_HEARTBEATS * 2):
            self.driver.advance(1.2)
            self.driver.add_servers(*(s.replace(incarnation=2) for s in self.servers))
        self.assertIsInstance(self.decide("root", "deadly", "own"), ev.Refuse)

    def test_report_from_a_wrong_clock_keeps_no_other_report(self):
        """The first report that was not old ended the search for old ones."""
        quarantine = PromptQuarantine("g")
        quarantine.add(CrashReport("h/1", "e9", 1, 9e9, 9e9, ("root",)))
        for number in range(3):
            at = 100.0 + number
            report = CrashReport(f"g/{number}", f"e{number}", 1, at, at, ("session",))
            quarantine.add(report)
        self.assertEqual(len(quarantine.crash_counts), 1)
        quarantine.expire(102.0 + REPORT_TTL_S)
        self.assertEqual(quarantine.crash_counts, {})
        self.assertEqual(quarantine._reports, {})

    def test_last_part_of_a_prompt_is_never_suspected(self):
        """It belongs to one request or session, so it tells nothing about others."""
        for _ in range(3):
            self.crash("own")
        self.assertIsInstance(self.decide("own"), ev.Forward)

    def test_reports_are_bounded(self):
        quarantine = PromptQuarantine("g")
        for number in range(MAX_REPORTS + 5):
            quarantine.add(
                CrashReport(f"r{number}", f"s{number}", 1, 0.0, number, ("p",))
            )
        self.assertEqual(len(quarantine._reports), MAX_REPORTS)

    def test_reports_of_a_large_outage_do_not_block_the_gateway(self):
        """Each report was compared with all others, 14 s for so many on one machine."""
        started_at = time.process_time()
        quarantine = PromptQuarantine("g")
        for number in range(MAX_REPORTS):
            at = 100.0 + number / 2000
            parts = (f"root{number % 3}", *(f"{number}-{n}" for n in range(7)))
            server_id = f"s{number % 40}"
            quarantine.add(CrashReport(f"r{number}", server_id, 1, at, at, parts))
        for number in range(MAX_REPORTS):
            quarantine.remove(f"r{number}")
        self.assertLess(time.process_time() - started_at, 4.0)
        self.assertEqual(quarantine._crash_times, {})

    def test_removed_reports_leave_nothing_behind(self):
        """The rest counts as if the removed reports and parts had never been there."""
        for seed in range(20):
            rng = random.Random(seed)
            quarantine = PromptQuarantine("g")
            cleared: list[tuple[str, float]] = []
            for number in range(60):
                at = rng.uniform(0.0, 40.0)
                parts = tuple(f"p{rng.randrange(6)}" for _ in range(rng.randrange(5)))
                quarantine.add(
                    CrashReport(
                        f"r{number}",
                        f"s{rng.randrange(6)}",
                        rng.randrange(3),
                        at - rng.uniform(0.0, 2.0),
                        at,
                        parts,
                    )
                )
                if rng.random() < 0.5:
                    quarantine.remove(f"r{rng.randrange(60)}")
                if rng.random() < 0.1:
                    cleared.append((f"p{rng.randrange(6)}", rng.uniform(-30.0, 40.0)))
                    quarantine.clear(40.0, cleared[-1][:1], 40.0 - cleared[-1][1])
                fresh = PromptQuarantine("g")
                for part, completed_at in cleared:
                    fresh.clear(40.0, (part,), 40.0 - completed_at)
                for report in quarantine._reports.values():
                    fresh.add(report)
                self.assertEqual(quarantine._crash_times, fresh._crash_times)
                self.assertEqual(quarantine.crash_counts, fresh.crash_counts)


class PeerReportTest(unittest.IsolatedAsyncioTestCase):
    async def test_report_reaches_another_gateway(self):
        received = asyncio.Queue()
        sender = PeerLink(lambda event: None, Metrics())
        receiver = PeerLink(received.put_nowait, Metrics())
        for link in (sender, receiver):
            await link.bind("127.0.0.1", 0)
            self.addCleanup(link.close)
        report = CrashReport("g/1", "e1", 1, 1.0, 2.0, ("a",))
        sender.send_effect(ev.SendCrash((receiver.address,), report))
        async with asyncio.timeout(2):
            event = await received.get()
        self.assertEqual(event, ev.PeerCrashReceived(sender.address, report))

    async def test_completed_parts_reach_another_gateway(self):
        received = asyncio.Queue()
        sender = PeerLink(lambda event: None, Metrics())
        receiver = PeerLink(received.put_nowait, Metrics())
        for link in (sender, receiver):
            await link.bind("127.0.0.1", 0)
            self.addCleanup(link.close)
        parts = tuple("abcdef")
        cleared = ev.PublishCleared(parts, 31.0)
        sender.send_effect(ev.SendCleared((receiver.address,), cleared))
        async with asyncio.timeout(2):
            events = [await received.get() for _ in parts]
        peer = sender.address
        self.assertEqual(events, [ev.PartCleared(p, 31.0, peer) for p in parts])

    async def test_malformed_record_of_a_peer_is_ignored(self):
        events = []
        link = PeerLink(events.append, Metrics())
        for record in (
            (CRASH_PREFIX + "g/1", b"{}"),
            (CLEARED_PREFIX + "a", b"[]"),
            ("other/1", b"{}"),
        ):
            message = PeerMessage(MessageKind.RECORDS, 1, 1, 0, (), records=(record,))
            link._on_datagram(encode(message), "10.0.0.1:1")
        self.assertEqual(events, [])

    def test_report_of_an_unknown_peer_is_rejected(self):
        driver = Driver()
        driver.take_effects()
        report = CrashReport("g/1", "e1", 1, 1.0, 2.0, ("a",))
        for event in (
            ev.PeerCrashReceived("10.0.0.9:1", report),
            ev.PartCleared("a", 0.0, "10.0.0.9:1"),
        ):
            driver.apply(event)
            rejected = [ev.RejectPeerMessage("10.0.0.9:1")]
            self.assertEqual(driver.take_effects(), rejected)


class RecordTest(unittest.TestCase):
    def read(self, key: str, value: bytes | None) -> list[ev.Event]:
        return PlatformReader().read(Entry(key, 7, value), False)

    def test_report_survives_the_store(self):
        report = CrashReport("g-1/2", "e1", 1234, 99.0, 99.5, ("a", "b"))
        key, value = encode_report(report)
        self.assertEqual(self.read(key, value), [ev.CrashReported(report)])
        self.assertEqual(self.read(key, None), [ev.CrashReportRemoved("g-1/2")])

    def test_cleared_part_is_read(self):
        (event,) = self.read(CLEARED_PREFIX + "a", b"{}")
        self.assertEqual(event, ev.PartCleared("a"))

    def test_completion_survives_the_store_with_its_age(self):
        ((key, value),) = encode_cleared(ev.PublishCleared(("a",), 32.5))
        self.assertEqual(self.read(key, value), [ev.PartCleared("a", 32.5)])

    def test_malformed_cleared_part_is_ignored(self):
        for value in (b"[]", b"\xff", b'{"age_s": -1}', b'{"age_s": 1e999}', b"null"):
            with self.subTest(value), self.assertLogs(level="WARNING"):
                self.assertEqual(self.read(CLEARED_PREFIX + "a", value), [])

    def test_malformed_report_is_ignored(self):
        good = json.loads(encode_report(CrashReport("r", "e1", 1, 1.0, 2.0, ("a",)))[1])
        for changes in (
            {"parts": "abc"},
            {"parts": None},
            {"at": "soon"},
            {"at": float("inf")},
            {"sent_at": None},
            {"incarnation": {}},
        ):
            with self.subTest(changes):
                value = json.dumps(good | changes).encode()
                with self.assertRaises(CrashRecordError):
                    decode_report("r", value)
                self.assertEqual(self.read(CRASH_PREFIX + "r", value), [])
        self.assertEqual(self.read(CRASH_PREFIX + "r", b"\xff"), [])
        self.assertEqual(self.read(CRASH_PREFIX + "r", b"[]"), [])


class FailingStore:
    """Store that fails a number of times before it accepts a write."""

    era = 0

    def __init__(self, failures: int) -> None:
        self.failures = failures
        self.grants: list[float] = []
        self.written: dict[str, bytes] = {}

    async def grant(self, ttl_s: float) -> int:
        self.grants.append(ttl_s)
        return len(self.grants)

    async def commit(self, compares, puts, deletes=(), lease_id=0) -> int:
        if self.failures:
            self.failures -= 1
            raise StoreUnavailable("down")
        self.written |= puts
        return 1


class FixedClock:
    def now(self) -> float:
        return 100.0


class PublisherTest(unittest.IsolatedAsyncioTestCase):
    async def test_reports_of_one_crash_are_written_together_after_an_outage(self):
        store, outbox = FailingStore(failures=1), CrashOutbox()
        publisher = asyncio.create_task(
            CrashPublisher(store, outbox, FixedClock()).run()
        )
        for number in range(5):
            report = CrashReport(f"g/{number}", "e1", 1, 1.0, 2.0, ("a",))
            outbox.add(ev.PublishCrash(report))
        outbox.add(ev.PublishCleared(("b",)))
        async with asyncio.timeout(5):
            while len(store.written) < 6:
                await asyncio.sleep(0.01)
        publisher.cancel()
        self.assertEqual(store.grants, [REPORT_TTL_S] * 2)
        self.assertIn(CLEARED_PREFIX + "b", store.written)

    async def test_reports_of_several_crashes_are_kept_while_the_store_is_away(self):
        """Of three crashes with 256 reports each, only those of the last were written."""
        outbox = CrashOutbox()
        for number in range(3 * 256):
            report = CrashReport(f"g/{number}", f"e{number % 3}", 1, 1.0, 2.0, ("a",))
            outbox.add(ev.PublishCrash(report))
        self.assertIn(CRASH_PREFIX + "g/0", outbox.next_batch())

    async def test_outbox_is_bounded(self):
        outbox = CrashOutbox()
        with self.assertLogs("heatherswitch.gateway.crash_publisher", "WARNING"):
            outbox.add(ev.PublishCleared(tuple(map(str, range(MAX_OUTBOX + 1)))))
        self.assertNotIn(CLEARED_PREFIX + "0", outbox.next_batch())


class ServiceTest(unittest.IsolatedAsyncioTestCase):
    """Through real sockets, with the stand-in store and servers."""

    async def test_servers_do_not_keep_crashing_on_one_prompt_part(self):
        deployment = Deployment()
        self.addAsyncCleanup(deployment.stop)
        await deployment.start()
        servers = [
            await deployment.add_server(
                f"e{n}", "appraiser", Behaviour(events=2, crash_part="deadly")
            )
            for n in range(5)
        ]
        statuses = []
        for number in range(6):
            parts = f"root:10,deadly:20,own{number}:5"
            try:
                status, _, _ = await deployment.call(
                    "/answer/1", method="POST", X_Prompt_Prefix=parts
                )
            except OSError:
                status = 0
            statuses.append(status)
            await asyncio.sleep(COINCIDENCE_S)
        self.assertEqual(sum(s.crashed for s in servers), 3)
        self.assertEqual(statuses[-1], 503)
        status, body, _ = await deployment.call(
            "/answer/1", method="POST", X_Prompt_Prefix="root:10,own:5"
        )
        self.assertEqual(status, 200)
        await deployment.wait_until(
            lambda: any(key.startswith(CRASH_PREFIX) for key in self._keys(deployment))
        )

    def _keys(self, deployment: Deployment) -> list[str]:
        return [item.key.decode() for item in deployment.store.data.range(b"h", b"i")]
