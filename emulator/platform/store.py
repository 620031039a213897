"""Stand-in for the platform's key-value store, with its published HTTP interface."""

import asyncio
import base64
import copy
import json
import time
from collections.abc import Callable
from urllib.parse import parse_qs

from emulator.standin import LOOPBACK
from emulator.store_data import CallStats, KeyVersion, StoreData, StoreRequestError
from heatherswitch.util.http import Headers, Request
from heatherswitch.util.http_server import HttpServer, Responder

# Items in one page of a range; so few that tests with few entries need several pages.
PAGE_ITEMS = 50
# Interval at which a waiting watch looks for changes, in seconds.
WATCH_POLL_INTERVAL_S = 0.005
# Seconds between two parts of a response whose rate is limited.
SEND_INTERVAL_S = 0.1
# Maximum size of a key that is written.
MAX_KEY_BYTES = 200
# Prefixes of keys that only operators and backend servers may write.
READ_ONLY_PREFIXES = ("op/", "servers/")


class PlatformStoreServer:
    """Serves the HTTP calls of the platform's store.

    Faults are attributes that a test sets; each stays in force until it is reset.

    :ivar refuse: status of every response, 503 or 429; 0 for normal responses.
    :ivar silent: no call gets a response or takes effect.
    :ivar silent_calls: number of next calls that get no response and take no effect.
    :ivar lose_writes: number of next writes that take effect but get no response.
    :ivar late_writes_s: delay after which such a write takes effect, in seconds.
    :ivar deaf: watches report no changes.
    :ivar deaf_at_request: answers of deaf watches name the revision that was asked for
        instead of the newest one.
    :ivar delay_s: delay before a call is handled, in seconds.
    :ivar bytes_per_s: rate at which watch responses are sent; 0 for no limit.
    :ivar away: all calls are reset while the store is being restored.
    :ivar hold_answers: number of next responses that are kept back, as they are, until
        :meth:`release_answers`.
    :ivar era: number of times that the store was restored from a backup, from 1, which
        each response states; None for a store that states none.
    """

    def __init__(self) -> None:
        self.data = StoreData()
        self.stats = CallStats()
        self.refuse = 0
        self.silent = False
        self.silent_calls = 0
        self.lose_writes = 0
        self.late_writes_s = 0.0
        self.deaf = False
        self.deaf_at_request = False
        self.delay_s = 0.0
        self.bytes_per_s = 0
        self.hold_answers = 0
        self._answers_released = asyncio.Event()
        self.era: int | None = 1
        # Oldest revision in the history. Watches for older changes get status 410.
        self._history_from = 0
        # Number of times that all waiting watches were cut.
        self._watch_cuts = 0
        self.away = False
        self._server = HttpServer(self._handle)
        self._expiry: asyncio.Task | None = None
        self._late_writes: set[asyncio.Task] = set()

    @property
    def address(self) -> str:
        """``host:port`` of the listener."""
        return f"{LOOPBACK}:{self._server.port}"

    async def start(self) -> None:
        """Binds the listener and starts to expire leases."""
        await self._server.start(LOOPBACK, 0)
        self._expiry = asyncio.create_task(self._expire_leases())

    async def stop(self) -> None:
        """Closes the listener and all connections."""
        self._expiry.cancel()
        await self._server.stop(0)

    def put(self, key: str, value: object) -> int:
        """Writes an entry as an operator or a backend server does.

        :param value: bytes, or a value that is encoded as JSON.
        :returns: the new revision of the store.
        """
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.data.write([(key.encode(), data, 0)], [])
        return self.data.revision

    def delete(self, key: str) -> None:
        """Deletes an entry as an operator or a backend server does."""
        self.data.write([], [(key.encode(), b"")])

    def read(self, key: str) -> bytes | None:
        """Returns the value of a key; None if it does not exist."""
        found = self.data.range(key.encode(), b"")
        return found[0].value if found else None

    def discard_history(self) -> None:
        """Discards all past changes; watches for them end with status 410."""
        self._history_from = self.data.revision + 1

    def cut_watches(self) -> None:
        """Closes the connections of all waiting watches."""
        self._watch_cuts += 1

    def release_answers(self) -> None:
        """Sends the responses that were kept back."""
        self._answers_released.set()
        self._answers_released = asyncio.Event()

    def lapse_leases(self) -> None:
        """Ends all leases as if their time was over."""
        self.data.expire(float("inf"))

    def back_up(self) -> StoreData:
        """Returns a backup of all entries, leases and the history."""
        return copy.deepcopy(self.data)

    async def restore(
        self, backup: StoreData, away_s: float, keeps_history: bool = True
    ) -> None:
        """Takes the store away, then restores it from a backup and states a new era.

        All changes since the backup are lost. Its leases run on.

        :param away_s: seconds for which calls are reset.
        :param keeps_history: watches may go on from the revisions of the backup.
        """
        self.away = True
        self.cut_watches()
        await asyncio.sleep(away_s)
        data = copy.deepcopy(backup)
        data.extend_leases(time.monotonic())
        self.data = data
        if not keeps_history:
            self.discard_history()
        if self.era is not None:
            self.era += 1
        self.away = False

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            if self.away:
                continue
            self.data.expire(time.monotonic())

    async def _handle(self, request: Request, responder: Responder) -> None:
        path = request.path
        self.stats.count(time.monotonic(), path.split("/")[1])
        if self.away:
            responder.abort()
            raise ConnectionAbortedError("the store is away")
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if self.silent or self.silent_calls > 0:
            self.silent_calls -= 1
            await asyncio.Event().wait()
        if self.refuse:
            await responder.send(self.refuse, b"", self._era_header())
            return
        query = {name: values[-1] for name, values in parse_qs(request.query).items()}
        if path == "/kv-key":
            await self._read_key(query, responder)
        elif path == "/kv-range":
            await self._read_range(query, responder)
        elif path == "/kv-watch":
            await self._watch_prefix(query, responder)
        else:
            await self._write(request, responder)

    async def _read_key(self, query: dict, responder: Responder) -> None:
        found = self.data.range(query["key"].encode(), b"")
        if not found:
            await self._send_json(responder, 404, {"as_of": self.data.revision})
            return
        body = _to_item(found[0]) | {"as_of": self.data.revision}
        await self._send_json(responder, 200, body)

    async def _read_range(self, query: dict, responder: Responder) -> None:
        start = query.get("prefix", "").encode()
        after = query.get("after", "").encode()
        found = [
            item
            for item in self.data.range(start, _range_end(start))
            if item.key > after
        ]
        page = found[:PAGE_ITEMS]
        await self._send_json(
            responder,
            200,
            {
                "items": [_to_item(item) for item in page],
                "truncated": len(found) > len(page),
                "as_of": self.data.revision,
            },
        )

    async def _watch_prefix(self, query: dict, responder: Responder) -> None:
        start = query.get("prefix", "").encode()
        after = int(query["after"])
        deadline = time.monotonic() + int(query["wait_ms"]) / 1000
        cuts = self._watch_cuts
        while True:
            if cuts != self._watch_cuts:
                responder.abort()
                raise ConnectionAbortedError("the watch was cut")
            # After a restore, a watch may ask for a revision that is not there yet.
            if after < self._history_from - 1 or after > self.data.revision:
                await responder.send(410, b"", self._era_header())
                return
            changes = self.data.changes(start, _range_end(start), after + 1)
            if self.deaf:
                changes = []
            if changes or time.monotonic() >= deadline:
                events = [_to_item(change) for change in changes]
                stale = self.deaf and self.deaf_at_request
                as_of = after if stale else self.data.revision
                body = {"events": events, "as_of": as_of}
                await self._send_slowly(responder, json.dumps(body).encode())
                return
            await asyncio.sleep(WATCH_POLL_INTERVAL_S)

    async def _send_slowly(self, responder: Responder, body: bytes) -> None:
        """Sends a response at ``bytes_per_s``."""
        size = int(self.bytes_per_s * SEND_INTERVAL_S) or len(body)
        headers = [*self._era_header(), ("Content-Length", str(len(body)))]
        await self._hold_answer()
        await responder.start(200, headers, defer_send=True)
        for start in range(0, len(body), size):
            await responder.write(body[start : start + size])
            if self.bytes_per_s:
                await asyncio.sleep(SEND_INTERVAL_S)
        await responder.finish()

    async def _write(self, request: Request, responder: Responder) -> None:
        apply = self._operation(request)
        if self.lose_writes > 0:
            self.lose_writes -= 1
            task = asyncio.create_task(self._apply_late(apply))
            self._late_writes.add(task)
            task.add_done_callback(self._late_writes.discard)
            await asyncio.Event().wait()
        status, body = apply()
        await self._send_json(responder, status, body)

    async def _send_json(self, responder: Responder, status: int, body: dict) -> None:
        headers = self._era_header()
        await self._hold_answer()
        await responder.send_json(status, body, headers)

    async def _hold_answer(self) -> None:
        if self.hold_answers > 0:
            self.hold_answers -= 1
            await self._answers_released.wait()

    def _era_header(self) -> Headers:
        return [] if self.era is None else [("Store-Era", str(self.era))]

    async def _apply_late(self, apply: Callable) -> None:
        await asyncio.sleep(self.late_writes_s)
        apply()

    def _operation(self, request: Request) -> Callable[[], tuple[int, dict]]:
        path = request.path
        if path == "/kv-txn":
            return lambda: self._transaction(request.json())
        if path == "/kv-lease":
            return lambda: self._grant(request.json())
        lease = int(path.rpartition("/")[2])
        if path.startswith("/kv-keep/"):
            return lambda: self._keep_alive(lease)
        return lambda: self._revoke(lease)

    def _transaction(self, body: dict) -> tuple[int, dict]:
        keys = [write["key"] for write in body.get("writes", ())]
        keys += body.get("remove", ())
        if any(key.startswith(READ_ONLY_PREFIXES) for key in keys):
            return 403, {}
        if not all(map(_is_valid_key, keys)):
            return 400, {}
        for row in body.get("expected", ()):
            if not self.data.compare(row["key"].encode(), "EQUAL", row["revision"]):
                return 412, {"items": []}
        puts = [
            (w["key"].encode(), base64.b64decode(w["value"]), w.get("lease", 0))
            for w in body.get("writes", ())
        ]
        deletes = [(key.encode(), b"") for key in body.get("remove", ())]
        try:
            self.data.write(puts, deletes)
        except StoreRequestError:
            return 404, {}
        return 200, {"revision": self.data.revision}

    def _grant(self, body: dict) -> tuple[int, dict]:
        ttl_s = body["ttl_ms"] / 1000
        lease = self.data.grant(time.monotonic(), ttl_s)
        return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}

    def _keep_alive(self, lease: int) -> tuple[int, dict]:
        ttl_s = self.data.keep_alive(time.monotonic(), lease)
        return (200, {"ttl_ms": int(ttl_s * 1000)}) if ttl_s else (404, {})

    def _revoke(self, lease: int) -> tuple[int, dict]:
        try:
            self.data.revoke(lease)
        except StoreRequestError:
            return 404, {}
        return 200, {}


def _is_valid_key(key: str) -> bool:
    try:
        return len(key.encode()) <= MAX_KEY_BYTES
    except UnicodeEncodeError:
        return False


def _range_end(prefix: bytes) -> bytes:
    """Returns the end of the range of all keys with a prefix; all keys without one."""
    return prefix[:-1] + bytes([prefix[-1] + 1]) if prefix else b"\0"


def _to_item(stored: KeyVersion) -> dict:
    item = {"key": stored.key.decode(), "revision": stored.mod_revision}
    if stored.value is None:
        return item | {"tombstone": True}
    return item | {
        "value": base64.b64encode(stored.value).decode(),
        "created": stored.create_revision,
        "lease": stored.lease,
    }
