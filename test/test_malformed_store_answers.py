"""Tests of the platform store's client with malformed answers."""

import asyncio
import unittest

from heatherswitch.gateway.timing import Timing
from heatherswitch.platform.store import PlatformStore
from heatherswitch.statecore.replica import Entry
from heatherswitch.statecore.store import (
    UNREADABLE_VALUE,
    AmbiguousWrite,
    StoreClient,
    StoreError,
    StoreUnavailable,
)
from heatherswitch.util.clock import Clock

DEEP = b"[" * 5000
GOOD_ITEM = b'{"key": "b", "revision": 2, "value": "Yg=="}'
GOOD = Entry("b", 2, b"b")
BAD_NUMBERS = (b"1e999", b"9" * 400, b"NaN", b"true", b"-1", b'"1"', b"[]", b"null")
# Items without a usable key or revision. Some parsers of numbers reject the whole answer.
UNREADABLE_ITEMS = (b"7", b"null", b"[]", b"{}", b'{"key": 1}', b'{"key": []}') + tuple(
    b'{"key": "a", "revision": ' + number + b', "value": "Yg=="}'
    for number in BAD_NUMBERS
)
# Bounds the length of the log line that a malformed answer of any size causes.
MAX_ERROR_CHARACTERS = 400


class AnswersCase(unittest.IsolatedAsyncioTestCase):
    """A server that answers requests with given bodies."""

    async def asyncSetUp(self):
        self.answers: list[bytes] = []
        server = await asyncio.start_server(self.respond, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        self.store = self.client(f"127.0.0.1:{port}")
        self.addCleanup(self.store.close)

    async def respond(self, reader, writer):
        """Sends the next answer to one request; the last one is sent again and again."""
        head = await reader.readuntil(b"\r\n\r\n")
        length = head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0]
        await reader.readexactly(int(length or 0))
        body = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
        head = f"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {len(body)}"
        writer.write(head.encode() + b"\r\n\r\n" + body)
        writer.close()


class MalformedAnswersTest(AnswersCase):
    """Guards the watch of the store, which an unforeseen error would end."""

    def client(self, address: str) -> PlatformStore:
        """Returns a client of the platform's store."""
        return PlatformStore.from_address(address, Clock(), Timing.from_bounds())

    async def watch(self, body: bytes):
        self.answers = [body]
        return await anext(self.store.watch("", 1))

    async def snapshot(self, *bodies: bytes):
        self.answers = list(bodies)
        async with asyncio.timeout(2.0):
            return await self.store.snapshot([""])

    async def test_malformed_answers_fail_as_unavailable(self):
        as_of = [b'{"items": [], "events": [], "as_of": ' + n for n in BAD_NUMBERS]
        lists = (b"7", b'"x"', b"{}")
        bodies = [b"\xff" * 1_000_000, DEEP, b"9" * 5000, *(a + b"}" for a in as_of)]
        bodies += [b'{"as_of": 1, "items": %b, "events": %b}' % (i, i) for i in lists]
        for body in bodies:
            for call in (self.watch, self.snapshot):
                with self.subTest(body[:90], call=call.__name__):
                    await self.assert_unavailable(call, body)

    async def assert_unavailable(self, call, body: bytes) -> None:
        with self.assertRaises(StoreUnavailable) as caught:
            await call(body)
        self.assertLessEqual(len(str(caught.exception)), MAX_ERROR_CHARACTERS)

    async def test_change_that_cannot_be_read_ends_the_watch(self):
        """The batch would pass for complete without it; all entries are read then."""
        for item in UNREADABLE_ITEMS:
            body = b'{"as_of": 2, "events": [' + item + b", " + GOOD_ITEM + b"]}"
            with self.subTest(item):
                await self.assert_unavailable(self.watch, body)

    async def test_item_that_cannot_be_read_hides_no_other_item(self):
        """All entries were unreadable, at all gateways, for as long as it stood."""
        for item in UNREADABLE_ITEMS:
            body = b'{"as_of": 2, "items": [' + item + b", " + GOOD_ITEM + b"]}"
            with self.subTest(item), self.assertLogs(level="WARNING") as logs:
                snapshot = await self.snapshot(body)
                # The entry exists as of the page, whatever its revision was.
                known = [Entry("a", 2, b"b")] if b'"a"' in item else []
                self.assertEqual(list(snapshot.entries), [*known, GOOD])
            for record in logs.records:
                self.assertLessEqual(len(record.error), MAX_ERROR_CHARACTERS)

    async def test_page_that_ends_with_an_unreadable_item_is_continued(self):
        for item in UNREADABLE_ITEMS:
            first = GOOD_ITEM.replace(b'"b"', b'"0"') + b", " + item
            pages = (
                b'{"as_of": 2, "truncated": true, "items": [' + first + b"]}",
                b'{"as_of": 2, "items": [' + GOOD_ITEM + b"]}",
            )
            with self.subTest(item), self.assertLogs(level="WARNING"):
                snapshot = await self.snapshot(*pages)
                self.assertEqual(snapshot.entries[0], Entry("0", 2, b"b"))
                self.assertEqual(snapshot.entries[-1], GOOD)

    async def test_page_without_any_readable_item_ends_the_read(self):
        """The next page begins after a key, of which there is none."""
        page = b'{"as_of": 2, "truncated": true, "items": [7]}'
        with self.assertLogs(level="WARNING"):
            await self.assert_unavailable(self.snapshot, page)

    async def test_nested_answers_to_other_calls_are_store_errors(self):
        """An error message that repeats a nested answer would raise RecursionError."""
        for body in (b"[" * 900 + b"]" * 900, DEEP, b'"' + b"x" * 1_000_000 + b'"'):
            self.answers = [body]
            for call in (
                self.store.get("a"),
                self.store.grant(5.0),
                self.store.keep_alive(1),
                self.store.commit({"a": 0}, {"a": b"1"}),
            ):
                with self.subTest(body[:9]):
                    with self.assertRaises(StoreError) as caught:
                        await call
                    text = str(caught.exception)
                    self.assertLessEqual(len(text), MAX_ERROR_CHARACTERS)

    async def test_value_that_cannot_be_read_hides_no_other_item(self):
        values = (b'"%%%"', b'"\xc3\xa9"', b"7", b"null", b"[]", b"1e999")
        for value in values:
            item = b'{"key": "a", "revision": 1, "value": ' + value + b"}"
            body = b"[" + item + b", " + GOOD_ITEM + b"]"
            expected = (Entry("a", 1, UNREADABLE_VALUE), GOOD)
            with self.subTest(value), self.assertLogs(level="WARNING"):
                batch = await self.watch(b'{"as_of": 2, "events": ' + body + b"}")
                self.assertEqual(batch.entries, expected)
                snapshot = await self.snapshot(b'{"as_of": 2, "items": ' + body + b"}")
                self.assertEqual(snapshot.entries, expected)

    async def test_page_after_a_key_with_a_lone_surrogate_is_read(self):
        item = rb'{"key": "a\ud800", "revision": 1, "value": "Yg=="}'
        first = b'{"as_of": 2, "truncated": true, "items": [' + item + b"]}"
        last = b'{"as_of": 2, "items": [' + GOOD_ITEM + b"]}"
        snapshot = await self.snapshot(first, last)
        self.assertEqual(snapshot.entries, (Entry("a\ud800", 1, b"b"), GOOD))

    async def test_page_that_is_repeated_ends_the_read(self):
        page = b'{"as_of": 2, "truncated": true, "items": [' + GOOD_ITEM + b"]}"
        with self.assertRaises(StoreUnavailable):
            await self.snapshot(page)

    async def test_write_with_a_malformed_revision_is_ambiguous(self):
        """The store has executed it, so that it must not count as not applied."""
        for number in BAD_NUMBERS:
            self.answers = [b'{"revision": ' + number + b"}"]
            with self.subTest(number), self.assertRaises(AmbiguousWrite):
                await self.store.commit({"a": 0}, {"a": b"1"})


class MalformedEtcdAnswersTest(AnswersCase):
    """Guards the store watcher and the leases of routers and agents."""

    NUMBERS = (b"1e999", b"9" * 400, b"NaN", b"true", b"[]", b'"x"', DEEP)

    def client(self, address: str) -> StoreClient:
        """Returns a client of the store of routers and agents."""
        return StoreClient.from_addresses([address], timeout_s=2.0)

    async def test_malformed_numbers_are_store_errors(self):
        for number in self.NUMBERS:
            header = b'{"header": {"revision": ' + number + b"}"
            kv = b'{"key": "YQ==", "value": "", "mod_revision": ' + number + b"}"
            for body, call in (
                (header + b"}", lambda: self.store.get("a")),
                (header + b"}", lambda: self.store.commit({}, {"a": b"1"})),
                (header + b', "kvs": []}', lambda: self.store.range("a")),
                (
                    b'{"header": {"revision": "1"}, "kvs": [' + kv + b"]}",
                    lambda: self.store.range("a"),
                ),
                (b'{"ID": ' + number + b"}", lambda: self.store.grant(5)),
                (
                    b'{"result": {"TTL": ' + number + b"}}",
                    lambda: self.store.keep_alive(5),
                ),
            ):
                self.answers = [body]
                with self.subTest(body[:60]):
                    with self.assertRaises(StoreError) as caught:
                        await call()
                    text = str(caught.exception)
                    self.assertLessEqual(len(text), MAX_ERROR_CHARACTERS)

    async def test_entry_that_cannot_be_read_hides_no_other_one(self):
        good = b'{"key": "Yg==", "value": "Yg==", "mod_revision": "2"}'
        for key, value, expected in (
            (b"YQ==", b'"%%%\xc3\xa9"', Entry("a", 1, UNREADABLE_VALUE)),
            (b"YQ==", b"7", Entry("a", 1, UNREADABLE_VALUE)),
            (b"/w==", b'"Yg=="', Entry(r"\xff", 1, b"b")),
        ):
            kv = b'{"key": "%b", "value": %b, "mod_revision": "1"}' % (key, value)
            header = b'{"header": {"revision": "2"}, "kvs": ['
            self.answers = [header + kv + b", " + good + b"]}"]
            with self.subTest(kv):
                snapshot = await self.store.range("a")
                self.assertEqual(snapshot.entries, (expected, GOOD))


if __name__ == "__main__":
    unittest.main()
