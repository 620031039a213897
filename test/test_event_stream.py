import unittest

from hypothesis import given
from hypothesis import strategies as st

from heatherswitch.gateway.event_stream import EventReader


def event(number: int) -> bytes:
    return b"id: %d\ndata: piece\n\n" % number


class EventReaderTest(unittest.TestCase):
    @given(st.lists(st.integers(1, 40), max_size=8))
    def test_events_are_complete_for_any_split_of_the_data(self, sizes):
        data = b"".join(event(n) for n in range(1, 8))
        reader, out, at = EventReader(), b"", 0
        for size in [*sizes, len(data)]:
            complete = reader.feed(data[at : at + size])
            self.assertTrue(complete == b"" or complete.endswith(b"\n\n"))
            out += complete
            at += size
        self.assertEqual(out + reader.remainder(), data)
        self.assertEqual(reader.last_id, 7)

    def test_incomplete_event_is_not_returned(self):
        """After a resumption the rest would be appended to it from another server."""
        reader = EventReader()
        self.assertEqual(reader.feed(event(1) + b"id: 2\nda"), event(1))
        self.assertEqual(reader.remainder(), b"id: 2\nda")

    def test_resumed_stream_drops_events_that_the_caller_has(self):
        reader = EventReader(after=2, resumed=True)
        self.assertEqual(reader.feed(event(2) + event(3)), event(3))

    def test_missing_event_after_a_resumption_is_an_error(self):
        reader = EventReader(after=2, resumed=True)
        with self.assertRaises(ValueError):
            reader.feed(event(4))
