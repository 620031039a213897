"""Tests of the counters shared between routers and of the peer message encoding."""

import tracemalloc
import unittest

import msgpack
from hypothesis import given
from hypothesis import strategies as st

from heatherswitch.fleet.counters import (
    COUNT_TTL_S,
    SUSPECT_DURATION_S,
    Count,
    KeyOwners,
    SharedCounters,
)
from heatherswitch.fleet.peer_messages import (
    MAX_COUNTS,
    MessageKind,
    PeerMessage,
    PeerMessageError,
    PrefixHolder,
    decode,
    encode,
)

KEY = "server/s1"


class SharedCountersTest(unittest.TestCase):
    def setUp(self):
        self.counters = SharedCounters()

    def note(self, now, router, value, run=1, number=1):
        self.counters.update(now, router, run, number, [Count(KEY, value)])

    def test_sum_leaves_out_the_querying_router(self):
        self.note(0.0, "a", 2)
        self.note(0.0, "b", 3)
        self.assertEqual(self.counters.sum_of_others(0.0, KEY, "a"), 3)
        self.assertEqual(self.counters.sum_of_others(0.0, KEY, ""), 5)

    def test_count_that_is_not_refreshed_expires(self):
        """Counts of a gateway that died must not occupy capacity for ever."""
        self.note(0.0, "a", 2)
        self.assertEqual(self.counters.sum_of_others(COUNT_TTL_S + 0.1, KEY, ""), 0)
        self.counters.expire(COUNT_TTL_S + 0.1)
        self.assertEqual(self.counters._by_key, {})

    def test_datagram_that_arrives_out_of_order_is_ignored(self):
        self.note(0.0, "a", 1, number=2)
        self.note(0.0, "a", 9, number=1)
        self.assertEqual(self.counters.sum_of_others(0.0, KEY, ""), 1)

    def test_counts_from_before_a_restart_are_dropped(self):
        """When a gateway restarts, its earlier requests have ended at all servers."""
        self.counters.update(0.0, "a", 1, 50, [Count(KEY, 4), Count("server/s2", 4)])
        self.counters.update(0.1, "a", 2, 1, [Count(KEY, 1)])
        self.assertEqual(self.counters.sum_of_others(0.1, KEY, ""), 1)
        self.assertEqual(self.counters.sum_of_others(0.1, "server/s2", ""), 0)


class KeyOwnersTest(unittest.TestCase):
    def setUp(self):
        self.owners = KeyOwners("g0")
        self.owners.update({f"g{n}": f"10.0.0.{n}:1" for n in range(5)})

    def test_all_routers_agree_on_the_owner(self):
        other = KeyOwners("g3")
        other.update({f"g{n}": f"10.0.0.{n}:1" for n in reversed(range(5))})
        for number in range(50):
            key = f"server/s{number}"
            self.assertEqual(self.owners.owner(0.0, key), other.owner(0.0, key))

    def test_memory_is_bounded_however_many_keys_are_asked_for(self):
        """Guards against a cache of prompt parts that grows until the fleet changes."""
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        sizes = []
        for start in (0, 20_000):
            for number in range(start, start + 20_000):
                self.owners.owner(0.0, f"part/{number:032x}")
            sizes.append(tracemalloc.get_traced_memory()[0])
        self.assertLess(sizes[1], 1.1 * sizes[0])

    def test_unresponsive_owner_is_replaced_and_retried_later(self):
        first = self.owners.owner(0.0, KEY)
        self.owners.record_timeout(0.0, first)
        self.assertEqual(self.owners.owner(0.0, KEY), first)
        self.owners.record_timeout(0.0, first)
        second = self.owners.owner(0.1, KEY)
        self.assertNotIn(second, (first, None))
        self.assertEqual(self.owners.owner(SUSPECT_DURATION_S + 0.1, KEY), first)

    def test_no_owner_is_returned_when_all_are_unresponsive(self):
        for _ in range(2):
            address = self.owners.owner(0.0, KEY)
            self.owners.record_timeout(0.0, address)
            self.owners.record_timeout(0.0, address)
        self.assertIsNone(self.owners.owner(0.1, KEY))

    def test_unlisted_router_gets_no_owner(self):
        self.owners.update({"g1": "10.0.0.1:1"})
        self.assertIsNone(self.owners.owner(0.0, KEY))

    def test_unlisted_address_is_rejected(self):
        self.assertTrue(self.owners.has_address("10.0.0.4:1"))
        self.assertFalse(self.owners.has_address("10.0.0.9:1"))


def messages():
    numbers = st.integers(0, 2**48)
    counts = st.builds(Count, st.text(max_size=40), numbers)
    holders = st.builds(PrefixHolder, st.text(max_size=40), st.text(max_size=40))
    return st.builds(
        PeerMessage,
        st.sampled_from(MessageKind),
        numbers,
        numbers,
        numbers,
        st.lists(counts, max_size=MAX_COUNTS // 2).map(tuple),
        st.lists(holders, max_size=MAX_COUNTS // 2).map(tuple),
    )


class PeerMessageTest(unittest.TestCase):
    @given(messages())
    def test_encoding_round_trip(self, message):
        self.assertEqual(decode(encode(message)), message)

    @given(messages())
    def test_fields_of_a_later_release_are_ignored(self, message):
        items = msgpack.unpackb(encode(message))
        items[5] = [[*count, "later"] for count in items[5]]
        self.assertEqual(decode(msgpack.packb([*items, {"later": 1}])), message)

    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_raise_only_peer_message_error(self, data):
        try:
            decode(data)
        except PeerMessageError:
            return

    @given(messages(), st.data())
    def test_corrupted_message_raises_only_peer_message_error(self, message, data):
        raw = bytearray(encode(message))
        at = data.draw(st.integers(0, len(raw) - 1))
        raw[at] ^= data.draw(st.integers(1, 255))
        try:
            decode(bytes(raw))
        except PeerMessageError:
            return

    def test_unknown_versions_and_invalid_fields_are_rejected(self):
        good = msgpack.unpackb(encode(PeerMessage(MessageKind.TELL, 1, 1, 0, ())))
        for at, value in ((0, 9), (1, 77), (2, -1), (3, True)):
            bad = list(good)
            bad[at] = value
            with self.assertRaises(PeerMessageError):
                decode(msgpack.packb(bad))


if __name__ == "__main__":
    unittest.main()
