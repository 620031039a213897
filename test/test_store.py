import asyncio
import socket
import unittest

from heatherswitch.statecore.store import (
    AmbiguousWrite,
    Compacted,
    CompareFailed,
    StaleRead,
    StoreClient,
    StoreUnavailable,
)
from heatherswitch.util.http_server import HttpServer
from test.store_process import StoreProcess


def unused_address() -> str:
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{listener.getsockname()[1]}"


class StoreClientTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.process = await StoreProcess.start("--history", "20")
        self.addAsyncCleanup(self.process.stop)
        self.store = self.client([self.process.address])

    def client(self, addresses, **options) -> StoreClient:
        store = StoreClient.from_addresses(addresses, timeout_s=0.5, **options)
        self.addCleanup(store.close)
        return store

    async def test_commit_compares_the_revision(self):
        # Guards against a lost update by a writer that read an older value.
        revision = await self.store.commit({"a/1": 0}, {"a/1": b"\x00x"})
        entry = await self.store.get("a/1")
        self.assertEqual((entry.value, entry.mod_revision), (b"\x00x", revision))
        with self.assertRaises(CompareFailed):
            await self.store.commit({"a/1": 0}, {"a/1": b"y"})
        await self.store.commit({"a/1": revision}, {"a/2": b"z"}, ["a/1"])
        snapshot = await self.store.range("a/")
        self.assertEqual([e.key for e in snapshot.entries], ["a/2"])
        self.assertEqual(snapshot.revision, revision + 1)

    async def test_write_with_lost_response_is_ambiguous_and_applied(self):
        # Guards against reporting a write as not applied although it was.
        await self.process.set_faults(lose_answer=1)
        with self.assertRaises(AmbiguousWrite):
            await self.store.commit({"k": 0}, {"k": b"v"})
        self.assertEqual((await self.store.get("k")).value, b"v")

    async def test_hanging_store_is_ambiguous_for_writes_only(self):
        await self.process.set_faults(hang=True)
        with self.assertRaises(AmbiguousWrite):
            await self.store.commit({}, {"k": b"v"})
        with self.assertRaises(StoreUnavailable):
            await self.store.get("k")

    async def test_refused_connection_means_not_applied(self):
        # Guards against treating a write that was never sent as ambiguous.
        await self.process.set_faults(down="refuse")
        with self.assertRaises(StoreUnavailable):
            await self.store.commit({}, {"k": b"v"})
        await self.process.set_faults()
        self.assertIsNone(await self.store.get("k"))

    async def test_next_address_is_tried(self):
        store = self.client([unused_address(), self.process.address])
        self.assertGreater(await store.commit({}, {"k": b"v"}), 0)

    async def test_stale_response_is_rejected(self):
        # Guards against decisions based on an old revision.
        await self.store.commit({}, {"k": b"1"})
        await self.store.commit({}, {"k": b"2"})
        await self.process.set_faults(stale=1)
        with self.assertRaises(StaleRead):
            await self.store.get("k")
        other = self.client([self.process.address])
        self.assertEqual((await other.get("k")).value, b"1")

    async def test_watch_includes_past_changes_and_deletions(self):
        first = await self.store.commit({}, {"w/a": b"1"})
        await self.store.commit({}, {}, ["w/a"])
        seen = []
        async for batch in self.store.watch("w/", first):
            seen += [entry.value for entry in batch.entries]
            if len(seen) == 2:
                break
        self.assertEqual(seen, [b"1", None])
        stats = await self.process.stats()
        self.assertEqual(stats["total"]["watch"], 1)

    async def test_silent_watch_restarts_and_misses_nothing(self):
        # Guards against missed changes when a connection stops delivering data.
        store = self.client([self.process.address], watch_idle_s=0.4)
        revision = await store.commit({}, {"w/a": b"0"})
        values = []

        async def follow():
            async for batch in store.watch("w/", revision + 1):
                values.extend(entry.value for entry in batch.entries)

        task = asyncio.create_task(follow())
        for number in range(3):
            # The store reports progress once a second, so the watch restarts in between.
            await asyncio.sleep(0.6)
            await self.store.commit({}, {"w/a": str(number).encode()})
        await asyncio.sleep(0.3)
        task.cancel()
        self.assertEqual(values, [b"0", b"1", b"2"])
        self.assertGreater((await self.process.stats())["total"]["watch"], 1)

    async def test_compacted_history_is_reported(self):
        # Guards against a watcher that misses changes without noticing.
        for number in range(30):
            await self.store.commit({}, {"w/a": str(number).encode()})
        with self.assertRaises(Compacted):
            async for _ in self.store.watch("w/", 3):
                pass

    async def test_malformed_responses_are_store_errors(self):
        # Guards against a partition of the journal that stops after an unexpected
        # response from the store.
        responses = [b"{}", b"[]", b"x", b'{"header":{"revision":"x"}}']

        async def respond(request, responder):
            await responder.send(200, responses[0])

        server = HttpServer(respond)
        await server.start("127.0.0.1", 0)
        store = self.client([f"127.0.0.1:{server.port}"])
        while responses:
            with self.assertRaises(AmbiguousWrite):
                await store.commit({}, {"k": b"v"})
            with self.assertRaises(StoreUnavailable):
                await store.range("k")
            with self.assertRaises(AmbiguousWrite):
                await store.grant(5)
            with self.assertRaises(StoreUnavailable):
                await store.keep_alive(5)
            responses.pop(0)
        await server.stop(0)
