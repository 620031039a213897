"""Client of the platform's key-value store, which uses JSON over HTTP/1.1."""

import asyncio
import base64
import json
import logging
import random
from collections.abc import AsyncIterator, Iterable, Mapping
from typing import Any
from urllib.parse import urlencode

from heatherswitch.gateway.timing import Timing, WatchPacing
from heatherswitch.platform import names
from heatherswitch.platform.store_answers import (
    Answer,
    common_era,
    decode_entries,
    decode_entry,
    decode_readable_entries,
    integer_field,
)
from heatherswitch.statecore.replica import Entry, KeyRange
from heatherswitch.statecore.store import (
    AmbiguousWrite,
    Compacted,
    CompareFailed,
    HistoryTooLarge,
    ResponseOverLimit,
    Snapshot,
    StaleRead,
    StoreError,
    StoreUnavailable,
    UnusableResponse,
    WatchBatch,
)
from heatherswitch.util.clock import Clock
from heatherswitch.util.http import ConnectFailed, ConnectionLost, ResponseTooLarge
from heatherswitch.util.http_client import HttpClient, HttpResponse
from heatherswitch.util.record import Record
from heatherswitch.util.untrusted import (
    MalformedInput,
    describe,
    parse_json,
)

log = logging.getLogger("heatherswitch.platform.store")

# Seconds without progress after which a call fails. The store responds in 4 ms, or
# in 60 times that when it is degraded.
CALL_TIMEOUT_S = 1.0
# Time limit for reading a response body, in seconds. An entry holds up to a megabyte
# and the slowest VM links carry 5 Mbit/s, so a configuration can take seconds.
RESPONSE_BODY_TIMEOUT_S = 10.0
# Minimum pause between two calls of a watch, in seconds.
MIN_WATCH_PAUSE_S = 0.02
# Maximum size of a response. A page holds a megabyte and is sent in Base64.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024


class BodyLimit(Record):
    """Largest size of a response's body, and the seconds in which it must arrive."""

    __slots__ = ("bytes", "seconds")

    def __init__(self, bytes: int, seconds: float) -> None:
        self.bytes = bytes
        self.seconds = seconds


DEFAULT_BODY_LIMIT = BodyLimit(MAX_RESPONSE_BYTES, RESPONSE_BODY_TIMEOUT_S)


class PlatformStore:
    """Reads, watches and writes the store; reads are linearizable.

    A response of an earlier era than one that was received before is stale: its data may
    be lost by now.

    :param timing: long-poll time of a watch and the pause between two of its calls.
    """

    __slots__ = ("_client", "_clock", "_era", "_timing")

    def __init__(self, client: HttpClient, clock: Clock, timing: Timing) -> None:
        self._client = client
        self._clock = clock
        self._timing = timing
        self._era = 0

    @property
    def era(self) -> int:
        """The newest era of the store in a response; 0 if it states none."""
        return self._era

    @classmethod
    def from_address(
        cls, address: str, clock: Clock, timing: Timing
    ) -> "PlatformStore":
        """Returns a client for the store at ``host:port``."""
        return cls(HttpClient.from_address(address), clock, timing)

    def close(self) -> None:
        """Closes the idle connections."""
        self._client.close()

    async def get(self, key: str) -> Entry | None:
        """Reads one key; returns None if it does not exist.

        :raises StoreUnavailable: if the store does not respond.
        """
        query = _encode_query({"key": key})
        answer = await self._call("GET", f"/kv-key?{query}")
        if answer.status == 404:
            return None
        return decode_entry(answer.require(200), answer.era)

    async def snapshot(self, prefixes: Iterable[str]) -> Snapshot:
        """Reads all entries under some prefixes; see :meth:`read_range`."""
        parts = [await self.read_range(KeyRange(prefix)) for prefix in prefixes]
        entries = [entry for part in parts for entry in part.entries]
        era = common_era(part.era for part in parts)
        return Snapshot(parts[0].revision, tuple(entries), parts[0].current_at, era)

    async def read_range(self, key_range: KeyRange) -> Snapshot:
        """Reads all entries in a range of keys.

        Pages are read one after the other and may have different revisions. The
        snapshot gets that of the first page, so that a watch from there repeats the
        changes made while the other pages were read.

        :raises StoreRestored: if the store was restored between two pages.
        :raises StoreUnavailable: if the store does not respond.
        """
        sent_at = self._clock.now()
        revision = 0
        eras: set[int] = set()
        entries: list[Entry] = []
        after = key_range.after
        while True:
            query = {"prefix": key_range.prefix} | ({"after": after} if after else {})
            path = f"/kv-range?{_encode_query(query)}"
            answer = await self._call("GET", path)
            eras.add(answer.era)
            page = answer.require(200)
            revision = revision or integer_field(page, "as_of")
            items = await decode_readable_entries(page, answer.era)
            entries += items
            if not page.get("truncated") or not page.get("items"):
                break
            if not items or items[-1].key <= after:
                raise UnusableResponse("malformed response: a page is repeated")
            after = items[-1].key
        return Snapshot(revision, tuple(entries), sent_at, common_era(eras))

    async def watch(self, prefix: str, from_revision: int) -> AsyncIterator[WatchBatch]:
        """Yields changes under a prefix; see :class:`WatchPacing` for the pauses.

        A batch is empty if nothing changed during the long poll.

        :raises Compacted: if the store no longer has the changes from that revision on.
        :raises HistoryTooLarge: if those changes would take too long to arrive.
        :raises StoreUnavailable: if the store does not respond.
        """
        timing = self._timing
        pacing = WatchPacing(timing, self._clock.now())
        after = from_revision - 1
        while True:
            sent_at = self._clock.now()
            wait_ms = int(pacing.hold_s(sent_at) * 1000)
            query = {"prefix": prefix, "after": after, "wait_ms": wait_ms}
            try:
                answer = await self._call(
                    "GET",
                    f"/kv-watch?{urlencode(query)}",
                    wait_ms / 1000 + timing.answer_timeout_s,
                    body_limit=BodyLimit(timing.max_watch_bytes, timing.transfer_s),
                )
            except ResponseOverLimit as error:
                raise HistoryTooLarge(f"changes after {after}: {error}") from error
            if answer.status == 410:
                raise Compacted(f"history after revision {after} was compacted")
            body = answer.require(200)
            entries = tuple(await decode_entries(body, "events", answer.era))
            after = integer_field(body, "as_of")
            waited_s = 0.0 if entries else wait_ms / 1000
            current_at = confirmation_time(sent_at, waited_s, self._clock.now())
            yield WatchBatch(after, entries, current_at, answer.era)
            pause_s = pacing.pause_s(
                self._clock.now(), current_at, bool(entries), random.random()
            )
            await asyncio.sleep(max(MIN_WATCH_PAUSE_S, pause_s))

    async def commit(
        self,
        compares: Mapping[str, int],
        puts: Mapping[str, bytes],
        deletes: Iterable[str] = (),
        lease_id: int = 0,
    ) -> int:
        """Writes in one transaction and returns its revision.

        :param compares: revision that each key must have; 0 if it must not exist.
        :param lease_id: lease that the written keys are attached to; 0 for none.
        :raises StoreUnavailable: if nothing was written.
        :raises AmbiguousWrite: if the response was lost, so it may have been written.
        :raises CompareFailed: if a key has another revision; nothing was written.
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
        answer = await self._write("POST", "/kv-txn", body)
        if answer.status == 412:
            raise CompareFailed(f"revision mismatch in {', '.join(compares)}")
        # The store has executed the transaction, also if the response is malformed.
        try:
            return integer_field(answer.require(200), "revision")
        except StoreUnavailable as error:
            raise AmbiguousWrite(str(error)) from error

    async def grant(self, ttl_s: float) -> int:
        """Creates a lease and returns its id.

        :raises AmbiguousWrite: if the response was lost; a lease created by the call
            expires, since it is not renewed.
        """
        body = {"ttl_ms": int(ttl_s * 1000)}
        answer = await self._write("POST", "/kv-lease", body)
        return integer_field(answer.require(200), "lease")

    async def keep_alive(self, lease_id: int) -> float:
        """Renews a lease and returns its time to live in seconds, 0 if it has ended.

        :raises StoreUnavailable: if the store does not respond; the lease may have been
            renewed.
        """
        answer = await self._call("POST", f"/kv-keep/{lease_id}")
        if answer.status == 404:
            return 0.0
        return integer_field(answer.require(200), "ttl_ms") / 1000

    async def revoke(self, lease_id: int) -> None:
        """Revokes a lease, which deletes its keys.

        :raises StoreError: if the store refuses, as for a lease that does not exist.
        """
        answer = await self._write("DELETE", f"/kv-lease-end/{lease_id}")
        if answer.status not in (200, 204):
            raise StoreError(
                f"lease {lease_id}: status {answer.status}: {describe(answer.payload)}"
            )

    async def _write(self, method: str, path: str, body: Any = None) -> Answer:
        return await self._call(method, path, CALL_TIMEOUT_S, body, AmbiguousWrite)

    async def _call(
        self,
        method: str,
        path: str,
        timeout_s: float = CALL_TIMEOUT_S,
        body: Any = None,
        ambiguous_error: type[StoreError] = StoreUnavailable,
        body_limit: BodyLimit = DEFAULT_BODY_LIMIT,
    ) -> Answer:
        """Sends a request and returns the response.

        :param timeout_s: time limit for the response head, and for each further part of
            the response, in seconds.
        :param ambiguous_error: raised if the store may have executed the request.
        :raises StoreUnavailable: if no connection was made or the store refused the
            request with status 429 or 503; it was not executed.
        :raises UnusableResponse: if the response to a read cannot be used.
        :raises StaleRead: if the response to a read is of an earlier era.
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
            payload = await _read_json(response, body_limit)
        except ConnectFailed as error:
            raise StoreUnavailable(f"{path}: {error}") from error
        except UnusableResponse as error:
            self._client.close()
            if ambiguous_error is StoreUnavailable:
                raise
            raise ambiguous_error(f"{path}: {error}") from error
        except (ConnectionLost, TimeoutError) as error:
            # Other idle connections to an unresponsive store are broken as well.
            self._client.close()
            raise ambiguous_error(f"{path}: {error or 'timeout'}") from error
        if response.status in (429, 503):
            raise StoreUnavailable(f"{path}: status {response.status}")
        if response.status >= 500:
            raise ambiguous_error(f"{path}: status {response.status}")
        try:
            era = self._check_era(response)
        except (StaleRead, UnusableResponse) as error:
            if ambiguous_error is StoreUnavailable:
                raise
            # The store may have executed the request, in an era whose data is lost.
            raise ambiguous_error(f"{path}: {error}") from error
        return Answer(response.status, payload, era)

    def _check_era(self, response: HttpResponse) -> int:
        """Returns the era that a response states, which is the newest one from then on.

        :raises StaleRead: if it is an earlier era.
        :raises UnusableResponse: if it is malformed, or missing although the store has
            stated one before.
        """
        text = response.header(names.ERA_HEADER)
        # At most as many digits as the largest integer that the store may use.
        if text and not (text.isascii() and text.isdecimal() and len(text) < 20):
            raise UnusableResponse(f"malformed era {describe(text)}")
        if not text and self._era:
            raise UnusableResponse(f"no era is stated, {self._era} is known")
        era = int(text or 0)
        if era < self._era:
            raise StaleRead(f"response of era {era}, {self._era} is known")
        if era > self._era:
            log.info("era of the store", extra={"era": era, "era_before": self._era})
            self._era = era
        return era


async def _read_json(response: HttpResponse, limit: BodyLimit) -> Any:
    """Reads a response's body and parses it; an empty one is an empty object.

    :raises ResponseOverLimit: if it is too large or too slow.
    :raises UnusableResponse: if it is no JSON.
    :raises ConnectionLost: if it is truncated.
    """
    try:
        async with asyncio.timeout(limit.seconds):
            data = await response.read(limit.bytes)
    except (ResponseTooLarge, TimeoutError) as error:
        response.close()
        raise ResponseOverLimit(f"response: {error or 'timeout'}") from error
    try:
        return parse_json(data) if data else {}
    except MalformedInput as error:
        raise UnusableResponse(f"response: {error}") from error


def _encode_query(fields: Mapping[str, str]) -> str:
    """Returns a query string; keys of other writers may hold lone surrogates."""
    return urlencode(fields, errors="surrogatepass")


def confirmation_time(sent_at: float, waited_s: float, now: float) -> float:
    """Returns the latest time at which a watch response is known to be up to date.

    :param sent_at: time at which the call was sent, in seconds.
    :param waited_s: seconds that the store waited before it responded; 0 if the
        response contains changes.
    :param now: time at which the response arrived, in seconds.
    """
    return min(sent_at + waited_s, now)
