"""Client of the platform's key-value store over HTTP/1.1 with JSON bodies."""

import asyncio
import base64
import json
import logging
from collections.abc import AsyncIterator, Iterable, Mapping
from typing import Any
from urllib.parse import urlencode

from heatherswitch.gateway.timing import Timing
from heatherswitch.statecore.replica import Entry
from heatherswitch.statecore.store import (
    AmbiguousWrite,
    Compacted,
    CompareFailed,
    Snapshot,
    StoreError,
    StoreUnavailable,
    WatchBatch,
)
from heatherswitch.util.clock import Clock
from heatherswitch.util.http import ConnectFailed, ConnectionLost
from heatherswitch.util.http_client import HttpClient

log = logging.getLogger("heatherswitch.platform.store")

# Seconds without progress after which a call has failed. The store answers in 4 ms,
# and in 60 times that on its slow days.
CALL_TIMEOUT_S = 1.0
# Seconds for the whole of an answer that goes on arriving. An entry holds up to a
# megabyte and VMs have links from 5 Mbit/s on, so a configuration takes seconds there.
ANSWER_TIMEOUT_S = 10.0
# Least seconds between two calls of a watch.
MIN_PAUSE_S = 0.02
# Bytes of an answer. A page holds a megabyte and is sent in Base64; a watch may tell of
# several configurations at once.
ANSWER_BYTES = 16 * 1024 * 1024


class PlatformStore:
    """Calls the store; reads are linearizable.

    :param timing: how long a watch waits, and the pause after it.
    """

    __slots__ = ("_client", "_clock", "_timing")

    def __init__(self, client: HttpClient, clock: Clock, timing: Timing) -> None:
        self._client = client
        self._clock = clock
        self._timing = timing

    @classmethod
    def from_address(
        cls, address: str, clock: Clock, timing: Timing
    ) -> "PlatformStore":
        """Builds a client from ``host:port``."""
        return cls(HttpClient.from_address(address), clock, timing)

    def close(self) -> None:
        """Closes the idle connections."""
        self._client.close()

    async def get(self, key: str) -> Entry | None:
        """Reads one key.

        :raises StoreUnavailable: if the store gives no answer.
        """
        status, answer = await self._call("GET", f"/kv-key?{urlencode({'key': key})}")
        if status == 404:
            return None
        return _entry(_expect(200, status, answer))

    async def snapshot(self, prefixes: Iterable[str]) -> Snapshot:
        """Reads all entries under some prefixes.

        The pages are no snapshot by themselves; the revision is that of the first
        page, so that a watch from there repeats what changed in between.

        :raises StoreUnavailable: if the store gives no answer.
        """
        sent_at = self._clock.now()
        revision = 0
        entries: list[Entry] = []
        for prefix in prefixes:
            after = ""
            while True:
                query = {"prefix": prefix} | ({"after": after} if after else {})
                path = f"/kv-range?{urlencode(query)}"
                page = _expect(200, *await self._call("GET", path))
                revision = revision or _number(page, "as_of")
                items = [_entry(item) for item in page.get("items") or ()]
                entries += items
                if not page.get("truncated") or not items:
                    break
                after = items[-1].key
        return Snapshot(revision, tuple(entries), sent_at)

    async def watch(self, prefix: str, from_revision: int) -> AsyncIterator[WatchBatch]:
        """Yields changes under a prefix, at most one batch each pause.

        :raises Compacted: if that history is no longer available.
        :raises StoreUnavailable: if the store gives no answer.
        """
        after = from_revision - 1
        while True:
            wait_ms = int(self._timing.watch_wait_s * 1000)
            query = {"prefix": prefix, "after": after, "wait_ms": wait_ms}
            sent_at = self._clock.now()
            status, answer = await self._call(
                "GET", f"/kv-watch?{urlencode(query)}", self._timing.watch_timeout_s
            )
            if status == 410:
                raise Compacted(f"history after revision {after} is gone")
            body = _expect(200, status, answer)
            entries = tuple(_entry(item) for item in body.get("events") or ())
            after = max(after, _number(body, "as_of"))
            waited_s = 0.0 if entries else wait_ms / 1000
            current_at = confirmed_at(sent_at, waited_s, self._clock.now())
            yield WatchBatch(after, entries, current_at)
            # Counts from what the answer tells of: a large one over a thin link takes
            # seconds, in which servers leave.
            next_at = current_at + self._timing.watch_pause_s
            await asyncio.sleep(max(MIN_PAUSE_S, next_at - self._clock.now()))

    async def commit(
        self,
        compares: Mapping[str, int],
        puts: Mapping[str, bytes],
        deletes: Iterable[str] = (),
        lease_id: int = 0,
    ) -> int:
        """Writes in one transaction and returns its revision.

        :param compares: revision that each key must have; 0 for no such key.
        :param lease_id: lease that the put keys are attached to; 0 for none.
        :raises StoreUnavailable: if nothing was done.
        :raises AmbiguousWrite: if the answer was lost.
        :raises CompareFailed: if a key had another revision.
        """
        body = {
            "expected": [{"key": k, "revision": r} for k, r in compares.items()],
            "writes": [
                {"key": key, "value": base64.b64encode(value).decode()}
                | ({"lease": lease_id} if lease_id else {})
                for key, value in puts.items()
            ],
            "remove": list(deletes),
        }
        status, answer = await self._write("POST", "/kv-txn", body)
        if status == 412:
            raise CompareFailed(f"comparison failed for {', '.join(compares)}")
        return _number(_expect(200, status, answer), "revision")

    async def grant(self, ttl_s: float) -> int:
        """Creates a lease and returns its id.

        :raises AmbiguousWrite: if the answer was lost; such a lease runs out.
        """
        body = {"ttl_ms": int(ttl_s * 1000)}
        status, answer = await self._write("POST", "/kv-lease", body)
        return _number(_expect(200, status, answer), "lease")

    async def keep_alive(self, lease_id: int) -> float:
        """Renews a lease and returns its seconds to live, 0 when it has ended.

        :raises StoreUnavailable: if the store gives no answer; a renewal may have
            taken effect.
        """
        status, answer = await self._call("POST", f"/kv-keep/{lease_id}")
        if status == 404:
            return 0.0
        return _number(_expect(200, status, answer), "ttl_ms") / 1000

    async def revoke(self, lease_id: int) -> None:
        """Ends a lease and deletes its keys.

        :raises StoreError: if the lease does not exist.
        """
        status, answer = await self._write("DELETE", f"/kv-lease-end/{lease_id}")
        if status != 200 and status != 204:
            raise StoreError(f"lease {lease_id}: status {status}: {answer}")

    async def _write(self, method: str, path: str, body: Any = None):
        return await self._call(method, path, CALL_TIMEOUT_S, body, AmbiguousWrite)

    async def _call(
        self,
        method: str,
        path: str,
        timeout_s: float = CALL_TIMEOUT_S,
        body: Any = None,
        lost: type[StoreError] = StoreUnavailable,
    ) -> tuple[int, Any]:
        """Sends a call; 429 and 503 mean that nothing was done.

        :param timeout_s: seconds to the head of the answer, and between its parts.
        """
        try:
            async with asyncio.timeout(timeout_s):
                response = await self._client.request(
                    method,
                    path,
                    [("Content-Type", "application/json")],
                    b"" if body is None else json.dumps(body).encode(),
                    timeout_s,
                )
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                data = await response.read(ANSWER_BYTES)
            answer = json.loads(data) if data else {}
        except ConnectFailed as error:
            raise StoreUnavailable(f"{path}: {error}") from error
        except (ConnectionLost, TimeoutError, ValueError) as error:
            # Idle connections to a store that went silent are of no use either.
            self._client.close()
            raise lost(f"{path}: {error or 'timeout'}") from error
        if response.status in (429, 503):
            raise StoreUnavailable(f"{path}: status {response.status}")
        if response.status >= 500:
            raise lost(f"{path}: status {response.status}")
        return response.status, answer


def confirmed_at(sent_at: float, waited_s: float, now: float) -> float:
    """Returns a time at which nothing newer existed than a watch has answered.

    :param sent_at: time at which the call was sent, in seconds.
    :param waited_s: seconds that the store waited before it answered; 0 if the answer
        holds changes.
    :param now: time at which the answer arrived.
    """
    return min(sent_at + waited_s, now)


def _expect(expected: int, status: int, answer: Any) -> dict:
    if status != expected or not isinstance(answer, dict):
        raise StoreError(f"status {status}: {answer}")
    return answer


def _number(answer: dict, name: str) -> int:
    value = answer.get(name)
    if not isinstance(value, int):
        raise StoreUnavailable(f"malformed answer: {name} is {value!r}")
    return value


def _entry(item: Any) -> Entry:
    """Reads an item or a tombstone.

    :raises StoreUnavailable: if it does not have the platform's format.
    """
    try:
        if item.get("tombstone"):
            return Entry(item["key"], int(item["revision"]), None)
        value = base64.b64decode(item["value"], validate=True)
        return Entry(item["key"], int(item["revision"]), value)
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise StoreUnavailable(f"malformed item: {error!r}") from error
