"""Tests of decoders with malformed values of other writers, peers and servers."""

import asyncio
import json
import unittest

import msgpack

from heatherswitch.fleet.counters import Count
from heatherswitch.fleet.peer_messages import (
    MAX_COUNT,
    VERSION,
    MessageKind,
    PeerMessage,
    PeerMessageError,
    decode,
    encode,
)
from heatherswitch.gateway import events as ev
from heatherswitch.gateway.crash_records import CRASH_PREFIX
from heatherswitch.gateway.rollout_records import EVIDENCE_PREFIX, PROGRESS_PREFIX
from heatherswitch.gateway.store_sync import StoreSync
from heatherswitch.platform import names
from heatherswitch.platform.headers import decode_request, decode_response
from heatherswitch.platform.reader import PlatformReader
from heatherswitch.statecore.replica import Entry
from heatherswitch.statecore.store import WatchBatch
from heatherswitch.util.untrusted import (
    MAX_ERROR_CHARACTERS,
    MalformedInput,
    describe,
    describe_error,
    parse_json,
)
from test.gateway_fakes import Driver, chat_prompt, server
from test.test_platform_formats import ENTRY, make_request
from test.test_store_sync import ManualClock

DEEP = b"[" * 5000
# JSON texts that no number, string or list field accepts.
BAD_VALUES = {
    "deep": "[" * 900 + "]" * 900,
    "infinite": "1e999",
    "400 digits": "9" * 400,
    "not a number": "NaN",
    "boolean": "true",
    "false": "false",
    "empty object": "{}",
    "lone surrogate": r'"\ud800"',
    "NUL": r'"a\u0000b"',
}
BAD_DOCUMENTS = (b"", b"\x00", b"\xff" * 1_000_000, DEEP, b"9" * 5000, b"7", b"null")
# Bounds the length of the log line that a malformed value of any size causes.
MAX_LOG_CHARACTERS = 2 * MAX_ERROR_CHARACTERS
REPORT = {"server": "s1", "incarnation": 1, "sent_at": 1, "at": 2, "parts": ["p"]}
PROGRESS = {"move": "m", "stage": 0, "elapsed_s": 1.0}
EVIDENCE_ROW = ["m", "r", 1, 1, "route", 0.1, [1, 0, 1, 0], [1, 0, 1, 0]]
ORDER = {"service": "ledger", "target": "v2", "duration_s": 30}


def with_field(document: dict, name: str, text: str) -> bytes:
    """Returns a document with the JSON text of one field replaced."""
    fields = [
        f"{json.dumps(k)}: {text if k == name else json.dumps(v)}"
        for k, v in document.items()
    ]
    return ("{" + ", ".join(fields) + "}").encode()


class DocumentsTest(unittest.TestCase):
    """Guards against documents that raise other errors or fill the log."""

    def test_unreadable_documents_raise_one_short_error(self):
        for data in (b"", b"\xff" * 1_000_000, DEEP, b"9" * 5000, b"{", b'{"a":}'):
            with self.subTest(data[:9]), self.assertRaises(MalformedInput) as caught:
                parse_json(data)
            text = describe_error(caught.exception)
            self.assertLessEqual(len(text), MAX_LOG_CHARACTERS)


class StoreEntriesTest(unittest.TestCase):
    """Guards CONFIG: an entry that can't be decoded must not end the watch."""

    def read(self, key: str, value: bytes) -> list[ev.Event]:
        """Returns the events of a malformed entry; checks that one short line is logged."""
        with self.assertLogs("heatherswitch.platform") as logs:
            events = PlatformReader().read(Entry(key, 5, value), False)
        self.assertEqual(len(logs.records), 1, value[:80])
        self.assertLessEqual(len(logs.records[0].error), MAX_LOG_CHARACTERS)
        return events

    def test_server_entry_with_a_malformed_field_names_no_server(self):
        for name in set(ENTRY) - {"seq"}:
            for case, text in BAD_VALUES.items():
                with self.subTest(f"{name}: {case}"):
                    events = self.read("servers/i", with_field(ENTRY, name, text))
                    self.assertEqual(events, [ev.ServerRemoved("i", False)])

    def test_unreadable_server_entry_names_no_server(self):
        for data in BAD_DOCUMENTS:
            with self.subTest(data[:9]):
                events = self.read("servers/i", data)
                self.assertEqual(events, [ev.ServerRemoved("i", False)])

    def test_server_entry_with_an_address_that_does_not_exist_names_no_server(self):
        for address in (
            *("127.0.0.1:0", "127.0.0.1:-1", "127.0.0.1:65536", "127.0.0.1:70000"),
            *(":80", "127.0.0.1", "127.0.0.1: 80", "127.0.0.1:8_0", "127.0.0.1:８０"),
            *("127.0.0.1:" + "9" * 5000, "a b:80", "a\r\nb:80", "é:80"),
        ):
            with self.subTest(address[:30]):
                value = json.dumps(ENTRY | {"address": address}).encode()
                events = self.read("servers/i", value)
                self.assertEqual(events, [ev.ServerRemoved("i", False)])

    def test_server_id_that_no_header_can_hold_names_no_server(self):
        for server_id in ("", "i 1", "i\n1", "i\x00", "\ud800", "日"):
            with self.subTest(server_id):
                events = self.read(f"servers/{server_id}", json.dumps(ENTRY).encode())
                self.assertEqual(events, [ev.ServerRemoved(server_id, False)])

    def test_malformed_orders_and_records_are_ignored(self):
        for prefix, document in (
            (names.ROLLOUT_PREFIX, ORDER),
            (names.ROLLOUT_STATUS_PREFIX, {"state": "running", "target": "v2"}),
            (CRASH_PREFIX, REPORT),
            (PROGRESS_PREFIX, PROGRESS),
        ):
            values = list(BAD_DOCUMENTS)
            for name in set(document) - {"service"}:
                # The fields of crash reports and progress may hold control characters.
                cases = [text for case, text in BAD_VALUES.items() if case != "NUL"]
                values += [with_field(document, name, text) for text in cases]
            for value in values:
                with self.subTest(prefix + str(value[:120])):
                    self.assertEqual(self.read(prefix + "x", value), [])

    def test_malformed_evidence_is_ignored(self):
        for position in range(len(EVIDENCE_ROW)):
            for case in set(BAD_VALUES) - {"NUL"}:
                row = [json.dumps(value) for value in EVIDENCE_ROW]
                row[position] = BAD_VALUES[case]
                value = ("[[" + ",".join(row) + "]]").encode()
                with self.subTest(f"{position}: {case}"):
                    self.assertEqual(self.read(EVIDENCE_PREFIX + "s/g", value), [])
        for value in BAD_DOCUMENTS:
            with self.subTest(value[:9]):
                self.assertEqual(self.read(EVIDENCE_PREFIX + "s/g", value), [])


class HeadersTest(unittest.TestCase):
    """Guards against headers that make a request fail, or a figure that never ends."""

    NUMBERS = ("9" * 5000, "9" * 400, "-1", "+1", "1_0", "²", "nan", "1e3", "")

    def test_malformed_prompt_parts_only_disable_cache_affinity(self):
        for number in self.NUMBERS:
            with self.subTest(number[:9]), self.assertLogs(level="INFO") as logs:
                request = make_request(("x-prompt-prefix", f"a:1,b:{number}"))
                self.assertEqual(decode_request(request).prompt_parts, ())
            self.assertLessEqual(len(logs.records[0].parts), MAX_LOG_CHARACTERS)

    def test_prompt_parts_in_several_lines_are_one_list(self):
        """Guards BUDGET: a part in a further line was in no crash report."""
        lines = (("x-prompt-prefix", "a:1,b:2"), ("x-prompt-prefix", "c:3"))
        parts = decode_request(make_request(*lines)).prompt_parts
        self.assertEqual([part.id for part in parts], ["a", "b", "c"])

    def test_malformed_load_is_ignored(self):
        for number in self.NUMBERS:
            for text in (f"{number},1,8", f"1,{number},8", f"1,1,{number}"):
                with self.subTest(text[:9]), self.assertLogs(level="INFO"):
                    head = decode_response(200, [("x-server-load", text)])
                    self.assertIsNone(head.load)

    def test_malformed_cold_time_is_ignored(self):
        for text in ("inf", "nan", "1e999", "9" * 5000, "soon", "1" * 400):
            with self.subTest(text[:9]), self.assertLogs(level="INFO") as logs:
                head = decode_response(200, [(names.COLD_MS, text)])
                self.assertEqual(head.cold_s, 0.0)
            self.assertLessEqual(len(logs.records[0].value), MAX_LOG_CHARACTERS)

    def test_malformed_length_is_ignored(self):
        for text in ("9" * 5000, "9" * 400, "-1", "²"):
            with self.subTest(text[:9]):
                head = decode_response(200, [("content-length", text)])
                self.assertIsNone(head.length)


class PeerMessagesTest(unittest.TestCase):
    """Guards the handler of datagrams, and the replies that add up counts."""

    NUMBERS = (2**63, 2**64 - 1, -1, 1.0, float("inf"), True, None, "1", b"1", [], {})

    def message(self, position: int, value) -> list:
        fields = [VERSION, 2, 1, 1, 0, [["server/s", 1]], [["p", "s"]], [["k", b"v"]]]
        return fields[:position] + [value] + fields[position + 1 :]

    def assert_rejected(self, data: bytes) -> None:
        with self.assertRaises(PeerMessageError) as caught:
            decode(data)
        self.assertLessEqual(len(str(caught.exception)), MAX_LOG_CHARACTERS)

    def test_malformed_fields_are_rejected(self):
        nested = []
        for _ in range(1010):
            nested = [nested]
        values = [(n, v) for n in range(1, 5) for v in (*self.NUMBERS, nested)]
        values += [(0, v) for v in (2**64 - 1, -1, None, "1", [], nested)]
        values += [(5, [["k", v]]) for v in (*self.NUMBERS, nested, 2**48 + 1)]
        values += [(n, v) for n in (5, 6, 7) for v in (1, "x", [1], [[nested]])]
        values += [(6, [["p", "s" * 60_000]]), (7, [["k", "text"]])]
        for position, value in values:
            with self.subTest(position=position, value=describe(value)):
                self.assert_rejected(msgpack.packb(self.message(position, value)))

    def test_unreadable_datagrams_are_rejected(self):
        for data in (b"", b"\xc1", b"\x91" * 5000, b"\xd9\x02\xff\xff", b"x" * 60_000):
            with self.subTest(data[:9]):
                self.assert_rejected(data)
        text = b"\xda\xea\x60" + b"\xff" * 60_000
        self.assert_rejected(b"\x98\x01" + text + b"\x01" * 6)

    def test_sum_of_the_largest_counts_can_be_sent(self):
        count = Count("server/s", 60_000 * MAX_COUNT)
        encode(PeerMessage(MessageKind.TOLD, 1, 1, 1, (count,)))


class MembersTest(unittest.TestCase):
    """Guards the socket for peers, which an address that does not exist closes."""

    def test_member_with_a_malformed_address_gets_no_messages(self):
        prefix = PlatformReader.member_prefix
        owners = [json.dumps(f"127.0.0.1:{port}") for port in (0, 70000, "9" * 5000)]
        owners += ['"edge.example:80"', r'"a\u0000:80"', *BAD_VALUES.values()]
        values = [b'{"owner": ' + owner.encode() + b"}" for owner in owners]
        values += BAD_DOCUMENTS
        good = Entry(prefix + "good", 2, b'{"owner": "127.0.0.1:7"}')
        for value in values:
            with self.subTest(value[:60]):
                events = []
                sync = StoreSync(ManualClock(), events.append, 1.0)
                batch = WatchBatch(2, (Entry(prefix + "odd", 1, value), good), 100.0)
                asyncio.run(sync._on_batch(batch, PlatformReader()))
                self.assertEqual(events[-1].addresses, (("good", "127.0.0.1:7"),))

    def test_member_with_a_key_that_cannot_be_encoded_is_ignored(self):
        """It was chosen as an owner of keys: requests to models ended with 500."""
        prefix, value = PlatformReader.member_prefix, b'{"owner": "127.0.0.1:7"}'
        keys = (prefix + "odd\ud800", prefix + "odd\x00", prefix + "me", prefix + "g2")
        entries = tuple(Entry(key, n, value) for n, key in enumerate(keys, 1))
        driver = Driver()
        driver.add_servers(server("e1", "engine"), server("e2", "engine"))
        sync = StoreSync(ManualClock(), driver.apply, 1.0)
        batch = WatchBatch(len(keys), entries, 100.0)
        with self.assertLogs("heatherswitch.gateway.membership", "WARNING") as logs:
            asyncio.run(sync._on_batch(batch, PlatformReader()))
        self.assertEqual(len(logs.records), 2)
        self.assertEqual(driver.reducer.fleet_size, 2)
        for number in range(20):
            driver.send_request("/chat/1", parts=chat_prompt(f"chat{number}"))
        driver.advance(1.0)
        driver.apply(ev.PeerFlushDue())


class FailingReader(PlatformReader):
    """Raises an error that nothing foresees for one key."""

    def read(self, entry, after_outage):
        if entry.key == "servers/odd":
            raise RuntimeError("unforeseen")
        return super().read(entry, after_outage)


class UnforeseenErrorTest(unittest.TestCase):
    """Guards CONFIG and DRAIN: the replica holds a batch, so it is read only once."""

    def sync_batch(self, emit) -> None:
        """Passes on a batch with an entry that fails between two others."""
        keys = ("servers/a", "servers/odd", "servers/b")
        value = json.dumps(ENTRY).encode()
        entries = tuple(Entry(key, n, value) for n, key in enumerate(keys, 1))
        sync = StoreSync(ManualClock(), emit, 1.0)
        batch = WatchBatch(3, entries, 99.0)
        asyncio.run(sync._on_batch(batch, FailingReader()))

    def test_entry_that_fails_hides_no_other_entry_of_its_batch(self):
        events = []
        with self.assertLogs("heatherswitch.gateway.store_sync", "ERROR") as logs:
            self.sync_batch(events.append)
        listed = [e.server.id for e in events if isinstance(e, ev.ServerListed)]
        self.assertEqual(listed, ["a", "b"])
        self.assertEqual(events[-1], ev.StoreConfirmed(99.0))
        self.assertEqual([r.key for r in logs.records], ["servers/odd"])

    def test_event_that_fails_hides_no_other_entry_of_its_batch(self):
        listed = []

        def apply(event):
            if isinstance(event, ev.ServerListed):
                listed.append(event.server.id)
                if event.server.id == "a":
                    raise RuntimeError("unforeseen")

        with self.assertLogs("heatherswitch.gateway.store_sync", "ERROR") as logs:
            self.sync_batch(apply)
        self.assertEqual(listed, ["a", "b"])
        self.assertEqual([r.key for r in logs.records], ["servers/a", "servers/odd"])


if __name__ == "__main__":
    unittest.main()
