import re
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from heatherswitch.gateway.event_stream import EventReader

BYTE_ORDER_MARK = b"\xef\xbb\xbf"
LINE_ENDS = (b"\n", b"\r", b"\r\n")
TOKENS = (*LINE_ENDS, b"id: 1", b"id:2", b"data: x", b"data", b":", BYTE_ORDER_MARK)
PROPERTY_EXAMPLES = 500

line_ends = st.lists(st.sampled_from(LINE_ENDS), min_size=1, max_size=12)
sizes = st.lists(st.integers(1, 12), max_size=60)


def event(number: int) -> bytes:
    return b"id: %d\ndata: piece\n\n" % number


def encode(numbers, ends: list[bytes], mark: bool = False, comments: int = 0) -> bytes:
    """Returns a stream of numbered events.

    :param ends: line ends, which are used in turn.
    :param comments: every so many events are preceded by a comment; 0 for none.
    """
    lines = []
    for number in numbers:
        if comments and number % comments == 0:
            lines += [b": waiting", b""]
        lines += [b"id: %d" % number, b"data: piece %d" % number, b"data:more", b""]
    stream = BYTE_ORDER_MARK if mark else b""
    for index, line in enumerate(lines):
        end = ends[index % len(ends)]
        if not line and end == b"\n" and stream.endswith(b"\r"):
            # The two would be one line end.
            end = b"\r\n"
        stream += line + end
    return stream


def parse(stream: bytes) -> tuple[list[tuple[bytes, bytes]], bytes]:
    """Parses a whole stream as the standard says.

    :returns: id and data of each event, and the lines after the last one.
    """
    if stream.startswith(BYTE_ORDER_MARK):
        stream = stream[len(BYTE_ORDER_MARK) :]
    *lines, rest = re.split(rb"\r\n|\r|\n", stream)
    events, last_id, data, pending = [], b"", [], []
    for line in lines:
        if not line:
            if data:
                events.append((last_id, b"\n".join(data)))
            data, pending = [], []
            continue
        pending.append(line)
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"id":
            last_id = value
        elif name == b"data":
            data.append(value)
    return events, b"".join([*pending, rest])


def feed(reader: EventReader, stream: bytes, parts: list[int]) -> list[bytes]:
    """Feeds a stream in parts of the given sizes, and then the rest."""
    outputs, at = [], 0
    for size in [*parts, len(stream)]:
        if at < len(stream):
            outputs.append(reader.feed(stream[at : at + size]))
            at += size
    return outputs


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


class StepTest(unittest.TestCase):
    """Guards LOST: streams whose ids increase by more than one were cut when resumed.

    An event may hold several tokens, and an id may count them.
    """

    def resume(self, before: list[int], after: list[int]) -> list[int]:
        """Returns the ids that a caller gets, of two servers' events."""
        first = EventReader()
        returned = first.feed(b"".join(map(event, before)))
        second = EventReader(first.last_id, resumed=True, counted=first.counted)
        returned += second.feed(b"".join(map(event, after)))
        return [int(number) for number in re.findall(rb"id: (\d+)", returned)]

    def test_stream_goes_on_with_its_next_event(self):
        for before, after in (
            ([6, 12], [18, 24]),
            ([6], [12]),
            ([3, 9, 10], [15]),
            ([6, 7], [8]),
        ):
            with self.subTest(before=before):
                self.assertEqual(self.resume(before, after), before + after)

    def test_server_that_begins_anew_repeats_nothing(self):
        self.assertEqual(self.resume([6, 12], [6, 12, 18]), [6, 12, 18])

    def test_server_that_divides_the_stream_elsewhere_is_an_error(self):
        """A part of the event would come twice."""
        with self.assertRaises(ValueError):
            self.resume([6, 12], [5, 10, 15])

    def test_gap_in_ids_that_increase_by_one_is_an_error(self):
        for before, after in (([1, 2, 3], [5]), ([1], [3]), ([6, 7], [9])):
            with self.subTest(before=before), self.assertRaises(ValueError):
                self.resume(before, after)


class LineEndTest(unittest.TestCase):
    """Guards against ids that are missed: a resumed stream then began anew.

    Lines may end with CR, LF or CR LF, and a read may end between CR and LF.
    """

    @settings(max_examples=PROPERTY_EXAMPLES, deadline=None)
    @given(line_ends, st.booleans(), st.integers(0, 3), sizes)
    def test_any_line_ends_and_reads_give_the_events_of_the_whole_text(
        self, ends, mark, comments, parts
    ):
        stream = encode(range(1, 7), ends, mark, comments)
        reader = EventReader()
        outputs = feed(reader, stream, parts)
        returned = b""
        for output in outputs:
            returned += output
            _, rest = parse(returned)
            self.assertEqual(rest, b"", "an event is incomplete")
        self.assertEqual(returned + reader.remainder(), stream)
        self.assertEqual(parse(returned)[0], parse(stream)[0])
        self.assertEqual(reader.last_id, 6)
        self.assertEqual(reader.event_count, 6 + (6 // comments if comments else 0))
        self.assertFalse(reader.inside_event)

    @settings(max_examples=PROPERTY_EXAMPLES, deadline=None)
    @given(st.lists(st.sampled_from(TOKENS), max_size=40), sizes)
    def test_any_text_gives_the_events_of_the_whole_text(self, tokens, parts):
        stream = b"".join(tokens)
        reader = EventReader()
        returned = b"".join(feed(reader, stream, parts))
        events, rest = parse(stream)
        self.assertEqual(returned + reader.remainder(), stream)
        self.assertEqual(parse(returned), (events, b""))
        self.assertEqual(reader.inside_event, bool(rest))

    @settings(max_examples=PROPERTY_EXAMPLES, deadline=None)
    @given(
        line_ends,
        line_ends,
        st.booleans(),
        st.integers(0, 3),
        st.integers(0, 200),
        st.booleans(),
        sizes,
    )
    def test_resumed_stream_has_each_event_once(
        self, ends, other_ends, mark, comments, cut_at, from_start, parts
    ):
        """The second server may ignore the id and begin with the first event."""
        stream = encode(range(1, 7), ends, mark, comments)
        first = EventReader()
        returned = b"".join(feed(first, stream[:cut_at], parts))
        after = first.last_id
        start = 1 if from_start or after is None else after + 1
        second = EventReader(after, resumed=True)
        rest = encode(range(start, 7), other_ends, mark, comments)
        if after is not None:
            returned += b"".join(feed(second, rest, parts[::-1]))
            self.assertEqual(parse(returned), (parse(stream)[0], b""))
            self.assertNotIn(BYTE_ORDER_MARK, returned[3:])
        self.assertFalse(second.inside_event)

    def test_event_is_returned_without_waiting_for_the_byte_after_its_last_cr(self):
        reader = EventReader()
        self.assertEqual(reader.feed(b"id: 1\rdata: x\r\r"), b"id: 1\rdata: x\r\r")
        self.assertEqual(reader.last_id, 1)

    def test_line_feed_after_the_last_cr_belongs_to_the_same_line_end(self):
        reader = EventReader()
        self.assertEqual(reader.feed(b"id: 1\r\n\r"), b"id: 1\r\n\r")
        self.assertEqual(reader.feed(b"\nid: 2\r\n\r\n"), b"\nid: 2\r\n\r\n")
        self.assertEqual((reader.last_id, reader.event_count), (2, 2))

    def test_line_feed_after_the_cr_of_a_dropped_event_is_dropped(self):
        reader = EventReader(after=1, resumed=True)
        self.assertEqual(reader.feed(b"id: 1\r\n\r"), b"")
        self.assertEqual(reader.feed(b"\nid: 2\r\n\r\n"), b"id: 2\r\n\r\n")

    def test_event_without_id_after_a_dropped_one_is_dropped(self):
        """It was delivered together with the event before it."""
        reader = EventReader(after=1, resumed=True)
        stream = event(1) + b"data: more\n\n" + event(2)
        self.assertEqual(reader.feed(stream), event(2))

    def test_byte_order_mark_is_not_part_of_the_first_line(self):
        reader = EventReader()
        self.assertEqual(reader.feed(BYTE_ORDER_MARK[:2]), b"")
        stream = BYTE_ORDER_MARK[2:] + event(1)
        self.assertEqual(reader.feed(stream), BYTE_ORDER_MARK + event(1))
        self.assertEqual(reader.last_id, 1)

    def test_byte_order_mark_of_a_resumed_stream_is_removed(self):
        """In the middle of a stream clients take it for part of a field name."""
        reader = EventReader(after=1, resumed=True)
        self.assertEqual(reader.feed(BYTE_ORDER_MARK + event(2)), event(2))

    def test_byte_order_mark_alone_is_no_event(self):
        reader = EventReader()
        reader.feed(BYTE_ORDER_MARK)
        self.assertFalse(reader.inside_event)
        self.assertEqual(reader.remainder(), BYTE_ORDER_MARK)
