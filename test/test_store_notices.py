"""Servers of which the store says that they are leaving or gone; rule DRAIN."""

import time
import unittest

from emulator.platform.server import Behaviour
from heatherswitch.gateway import events as ev
from heatherswitch.gateway.leaving_records import (
    LEAVING_PREFIX,
    LeavingRecordError,
    decode_leaving,
    encode_leaving,
)
from heatherswitch.gateway.model import ServerStart
from test.gateway_fakes import Driver, server
from test.gateway_process_case import ProcessCase


class NoticeAgeTest(unittest.TestCase):
    """Guards against notices that get older and older without a trace in the logs."""

    def setUp(self):
        self.driver = Driver()
        self.driver.add_servers(server("l1"), server("l2"))
        self.driver.take_effects()
        self.driver.now += 1.5

    def test_notice_of_the_store_is_reported_once_with_its_greatest_age(self):
        for _ in range(2):
            self.driver.add_servers(server("l1", draining=True))
        self.assertEqual(
            self.driver.take_effects(),
            [ev.ServerTakenOut("l1", "", "leaving", "store", 1.5)],
        )

    def test_removed_entry_is_reported_unless_the_server_was_leaving(self):
        self.driver.add_servers(server("l2", draining=True))
        self.driver.take_effects()
        for server_id in ("l1", "l2"):
            self.driver.apply(ev.ServerRemoved(server_id, after_outage=False))
        self.assertEqual(
            self.driver.take_effects(),
            [ev.ServerTakenOut("l1", "", "removed", "store", 1.5)],
        )

    def test_forwarded_request_states_the_age_of_the_server_list(self):
        self.assertEqual(self.driver.decide("/safe/1").servers_age_s, 1.5)


class ForeignEntryTest(unittest.TestCase):
    """Guards DRAIN: an entry of another writer without a start took a server in again.

    Its requests were cut when the server ended.
    """

    def setUp(self):
        self.driver = Driver()
        self.driver.add_servers(server("l1", sequence=5), server("l2", sequence=5))

    def accepts(self, server_id: str) -> bool:
        return self.driver.reducer.server_accepts_work(self.driver.now, server_id)

    def list_foreign(self) -> None:
        self.driver.add_servers(server("l1", incarnation=0, sequence=9))

    def test_server_that_leaves_stays_out(self):
        self.driver.add_servers(server("l1", sequence=6, draining=True))
        self.list_foreign()
        self.assertFalse(self.accepts("l1"))
        self.driver.add_servers(server("l1", sequence=7, draining=True))
        self.assertFalse(self.accepts("l1"))

    def test_server_that_said_so_in_a_response_stays_out(self):
        start = self.driver.reducer._servers.get("l1").record
        self.driver.apply(ev.NoticeReceived(start, "r1", leaving=True, busy_s=0.0))
        self.list_foreign()
        self.assertFalse(self.accepts("l1"))

    def test_server_that_left_and_is_gone_stays_out(self):
        self.driver.add_servers(server("l1", sequence=6, draining=True))
        self.driver.apply(ev.ServerRemoved("l1", after_outage=False))
        self.list_foreign()
        self.assertFalse(self.accepts("l1"))

    def test_server_that_runs_is_used_after_its_next_heartbeat(self):
        self.list_foreign()
        self.assertFalse(self.accepts("l1"))
        self.driver.add_servers(server("l1", sequence=6))
        self.assertTrue(self.accepts("l1"))
        self.assertTrue(self.accepts("l2"))

    def test_platform_that_states_no_starts(self):
        self.driver.add_servers(server("l3", incarnation=0))
        self.assertTrue(self.accepts("l3"))
        self.driver.add_servers(server("l3", incarnation=0, draining=True))
        self.assertFalse(self.accepts("l3"))


class RevokedNoticeTest(unittest.TestCase):
    """Guards DRAIN: an entry of a start that leaves took it in again."""

    def setUp(self):
        self.driver = Driver()
        self.driver.add_servers(server("l1"), server("l2"))

    def assert_only_the_other_is_used(self):
        used = {self.driver.decide("/safe/1").server.id for _ in range(6)}
        self.assertEqual(used, {"l2"})

    def test_entry_of_a_start_that_leaves_does_not_return_it(self):
        self.driver.add_servers(server("l1", draining=True), server("l1"))
        self.assert_only_the_other_is_used()

    def test_entry_that_is_back_after_its_removal_does_not_return_it(self):
        self.driver.add_servers(server("l1", draining=True))
        self.driver.apply(ev.ServerRemoved("l1", after_outage=False))
        self.driver.add_servers(server("l1"))
        self.assert_only_the_other_is_used()

    def test_late_heartbeat_of_a_start_whose_entry_was_removed_does_not_return_it(self):
        """Some servers leave without saying so; their entries are only removed."""
        self.driver.add_servers(server("l1", sequence=5))
        self.driver.apply(ev.ServerRemoved("l1", after_outage=False))
        self.driver.add_servers(server("l1", sequence=4))
        self.assert_only_the_other_is_used()

    def test_start_whose_entry_lapsed_is_back_with_its_next_heartbeat(self):
        self.driver.add_servers(server("l1", sequence=5))
        for server_id in ("l1", "l2"):
            self.driver.apply(ev.ServerRemoved(server_id, after_outage=False))
        self.driver.add_servers(server("l1", sequence=6))
        self.assertEqual(self.driver.decide("/safe/1").server.id, "l1")

    def test_late_heartbeat_changes_nothing_but_its_notice_counts(self):
        self.driver.add_servers(server("l1", sequence=5, slots=9))
        self.driver.add_servers(server("l1", sequence=4, slots=3))
        record = self.driver.reducer._servers.get("l1").record
        self.assertEqual((record.slots, record.sequence), (9, 5))
        self.driver.add_servers(server("l1", sequence=4, draining=True))
        self.assert_only_the_other_is_used()

    def test_entry_without_a_stated_start_follows_its_newest_state(self):
        """It may be one of a new start, which nothing else tells apart."""
        for draining in (True, False):
            entry = server("l3", incarnation=0, draining=draining)
            self.driver.add_servers(entry)
        used = {self.driver.decide("/safe/1").server.id for _ in range(9)}
        self.assertIn("l3", used)

    def test_new_start_under_the_id_is_used(self):
        self.driver.add_servers(server("l1", draining=True))
        self.driver.apply(ev.ServerRemoved("l2", after_outage=False))
        self.driver.add_servers(server("l1", incarnation=2))
        self.assertEqual(self.driver.decide("/safe/1").server.id, "l1")


class PeerNoticeTest(unittest.TestCase):
    """Guards DRAIN: gateways that read the store late went on using leaving servers."""

    PEER = "10.0.0.2:7341"

    def setUp(self):
        self.driver = Driver(routers=("me", "peer"))
        addresses = (("me", "10.0.0.1:7341"), ("peer", self.PEER))
        self.driver.apply(ev.RoutersListed(("me", "peer"), addresses))
        self.driver.add_servers(server("l1"), server("l2"))
        self.driver.take_effects()

    def hear(self, incarnation: int = 1, peer: str = PEER, server_id: str = "l1"):
        start = ServerStart(server_id, incarnation)
        self.driver.apply(ev.PeerNoticeReceived(peer, start))

    def flush(self):
        self.driver.take_effects()
        self.driver.apply(ev.PeerFlushDue())
        return [e for e in self.driver.take_effects() if isinstance(e, ev.SendLeaving)]

    def used(self):
        return {self.driver.decide("/safe/1").server.id for _ in range(6)}

    def test_notices_of_store_and_responses_are_told_to_the_others_once(self):
        self.driver.add_servers(server("l1", draining=True))
        self.driver.apply(ev.NoticeReceived(server("l2"), "r", leaving=True))
        starts = (ServerStart("l1", 1), ServerStart("l2", 1))
        self.assertEqual(self.flush(), [ev.SendLeaving((self.PEER,), starts)])
        self.driver.add_servers(server("l1", draining=True, sequence=2))
        self.assertEqual(self.flush(), [])

    def test_notice_of_a_peer_takes_the_server_out_and_is_not_told_again(self):
        self.hear()
        self.assertEqual(
            self.driver.take_effects(),
            [ev.ServerTakenOut("l1", "", "leaving", "peer")],
        )
        self.assertEqual(self.used(), {"l2"})
        self.driver.add_servers(server("l1", draining=True))
        self.assertEqual(self.flush(), [])

    def test_notice_holds_although_the_store_still_lists_the_server_as_ready(self):
        self.hear()
        self.driver.add_servers(server("l1", sequence=9))
        self.assertEqual(self.used(), {"l2"})

    def test_notice_of_another_start_has_no_effect(self):
        self.driver.add_servers(server("l1", incarnation=2))
        self.hear(incarnation=1)
        self.assertEqual(self.used(), {"l1", "l2"})

    def test_notice_that_is_older_than_the_entry_here_is_kept(self):
        self.hear(server_id="l3")
        self.driver.add_servers(server("l3"))
        self.assertNotIn("l3", self.used())

    def test_notice_of_a_stranger_is_rejected(self):
        self.hear(peer="10.0.0.9:7341")
        rejected = ev.RejectPeerMessage("10.0.0.9:7341")
        self.assertEqual(self.driver.take_effects(), [rejected])
        self.assertEqual(self.used(), {"l1", "l2"})

    def test_start_that_is_not_stated_is_not_told(self):
        self.driver.add_servers(server("l4", incarnation=0))
        self.driver.add_servers(server("l4", incarnation=0, draining=True))
        self.assertEqual(self.flush(), [])

    def test_notices_of_a_gateway_without_peers_do_not_pile_up(self):
        self.driver.apply(ev.RoutersListed(("me",), (("me", "10.0.0.1:7341"),)))
        self.driver.add_servers(server("l1", draining=True))
        self.assertEqual(self.flush(), [])
        self.assertEqual(self.driver.reducer._peers._leaving, [])


class LeavingRecordTest(unittest.TestCase):
    def test_record_is_decoded_as_it_was_encoded(self):
        start = ServerStart("i-7f3a91c2", 1_772_560_972_122)
        self.assertEqual(decode_leaving(*encode_leaving(start)), start)

    def test_malformed_records_are_errors(self):
        """A record without a start would apply to each later one."""
        values = (b"", b"7", b"{}", b'{"incarnation": 0}', b'{"incarnation": -1}')
        for value in (*values, b'{"incarnation": "1"}', b"\xff", b"[" * 900):
            with self.subTest(value), self.assertRaises(LeavingRecordError):
                decode_leaving(LEAVING_PREFIX + "l1", value)
        for server_id in ("", "a b", "a\r\nb"):
            with self.subTest(server_id), self.assertRaises(LeavingRecordError):
                decode_leaving(LEAVING_PREFIX + server_id, b'{"incarnation": 1}')

    def test_id_that_does_not_fit_a_message_is_not_sent(self):
        self.assertIsNone(encode_leaving(ServerStart("x" * 190, 1)))


class PeerNoticeProcessTest(ProcessCase):
    """Guards DRAIN: a gateway that the store keeps waiting hears of notices late."""

    ADDRESS_GROUP = 233

    async def test_gateway_cut_off_the_store_hears_of_a_notice_from_another_one(self):
        await self.start(2, l1="ledger", l2="ledger", l3="ledger")
        for server_id in ("l2", "l3"):
            # Gateways prefer the other server to these slower ones.
            self.servers[server_id].behaviour = Behaviour(delay_s=0.05)
        await self.load(0.5)
        self.store_links[1].set_faults({"to_client": {"drop_all": True}})
        self.publish("l1", "ledger", seq=2, state="draining")
        noticed_at = time.monotonic()
        await self.load(1.5)
        last_s = max(self.arrivals("l1")) - noticed_at
        others = len(self.arrivals("l2")) + len(self.arrivals("l3"))
        self.assertGreater(others, 20)
        self.assertLess(last_s, 0.7)
        self.assertEqual({call.status for call in self.history.calls}, {200})


if __name__ == "__main__":
    unittest.main()
