"""Client of the platform's key-value store over its etcd v3 JSON gateway.

In the JSON format of the gateway, keys and values are base64, 64-bit integers are
strings, and fields with default values are omitted.
"""

import base64
import json
import logging
from collections.abc import AsyncIterator, Iterable, Iterator, Mapping
from contextlib import aclosing, contextmanager
from dataclasses import dataclass
from typing import Any

from heatherswitch.statecore.replica import Entry
from heatherswitch.util.http import ConnectFailed, ConnectionLost
from heatherswitch.util.http_client import HttpClient, HttpResponse
from heatherswitch.util.untrusted import (
    MAX_INTEGER,
    MalformedInput,
    describe,
    describe_error,
    parse_object,
    require_integer,
)

log = logging.getLogger("heatherswitch.store")

# A watch that receives nothing for this long is restarted, in seconds. It is shorter
# than the 4 s within which a configuration change must be applied.
WATCH_IDLE_S = 3.0
_JSON_HEADERS = [("Content-Type", "application/json")]


# Replaces a value that cannot be read. No decoder accepts it; an empty value would pass
# for a journal segment without claims.
UNREADABLE_VALUE = b"\x00"


class StoreError(Exception):
    """A call to the store failed.

    Raised directly if the store rejected a request as invalid.
    """


class StoreUnavailable(StoreError):
    """The store is unreachable or sent no valid response; no write was applied."""


class UnusableResponse(StoreUnavailable):
    """The store responded, but the response is malformed, too large or too slow.

    Repeating the same call may fail again in the same way.
    """


class ResponseOverLimit(UnusableResponse):
    """The response has more bytes, or takes longer, than the call may take."""


class HistoryTooLarge(UnusableResponse):
    """The changes since the start of a watch can't be read in time.

    The newest entries may be far smaller, since each change holds a whole entry.
    """


class StaleRead(StoreUnavailable):
    """The response is of an earlier revision or era than one that was read before."""


class StoreRestored(StoreError):
    """The store was restored from a backup; revisions read before mean nothing now."""


class IncompleteWatch(StoreError):
    """The store answered a watch without some of the changes."""


class AmbiguousWrite(StoreError):
    """The response to a write was lost, so that the write may have been applied."""


class CompareFailed(StoreError):
    """A key had a mod_revision other than the required one; nothing was applied."""


class Compacted(StoreError):
    """The history from the start of a watch was compacted; read a snapshot instead."""


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All entries whose keys start with a prefix, at one revision.

    :param current_at: time of the clock at which the store had no newer revision; 0 if
        the client does not provide it.
    :param era: how often the store was restored from a backup; 0 if it doesn't say.
    """

    revision: int
    entries: tuple[Entry, ...]
    current_at: float = 0.0
    era: int = 0


@dataclass(frozen=True, slots=True)
class WatchBatch:
    """Changes of entries whose keys start with a prefix, complete up to ``revision``.

    :param entries: oldest first; empty if the store only reports progress.
    :param current_at: time of the clock at which the store had no newer revision; 0 if
        the client does not provide it.
    :param era: how often the store was restored from a backup; 0 if it doesn't say.
    """

    revision: int
    entries: tuple[Entry, ...]
    current_at: float = 0.0
    era: int = 0


class StoreClient:
    """Store client that uses one address at a time.

    It moves on to the next address if a connection fails.
    """

    __slots__ = (
        "_clients",
        "_current_client",
        "_revision",
        "_timeout_s",
        "_watch_idle_s",
    )

    def __init__(
        self,
        clients: list[HttpClient],
        timeout_s: float,
        watch_idle_s: float = WATCH_IDLE_S,
    ) -> None:
        self._clients = clients
        self._current_client = 0
        self._timeout_s = timeout_s
        self._watch_idle_s = watch_idle_s
        self._revision = 0

    @classmethod
    def from_addresses(
        cls,
        addresses: Iterable[str],
        timeout_s: float = 2.0,
        watch_idle_s: float = WATCH_IDLE_S,
    ) -> "StoreClient":
        """Builds a client.

        :param addresses: ``host:port`` of each instance of the store.
        :param timeout_s: seconds without progress after which a call fails.
        :param watch_idle_s: seconds without data after which a watch is restarted.
        :raises ValueError: if no address is given.
        """
        clients = [HttpClient.from_address(address) for address in addresses]
        if not clients:
            raise ValueError("the store needs at least one address")
        return cls(clients, timeout_s, watch_idle_s)

    @property
    def revision(self) -> int:
        """The highest revision that the store has returned."""
        return self._revision

    @property
    def era(self) -> int:
        """Always 0: the protocol does not tell of a restore from a backup."""
        return 0

    async def get(self, key: str) -> Entry | None:
        """Reads one key; returns None if it does not exist.

        :raises StoreUnavailable: if there is no response, or a stale one.
        """
        result = await self._read({"key": _encode_base64(key)})
        with _converting_parse_errors(StoreUnavailable):
            return next((_parse_entry(kv) for kv in result.get("kvs", [])), None)

    async def range(self, prefix: str) -> Snapshot:
        """Reads all entries whose keys start with a prefix, sorted by key.

        :raises StoreUnavailable: if there is no response, or a stale one.
        """
        result = await self._read(_prefix_range(prefix))
        with _converting_parse_errors(StoreUnavailable):
            entries = tuple(_parse_entry(kv) for kv in result.get("kvs", []))
            return Snapshot(_parse_int(result["header"]["revision"]), entries)

    async def commit(
        self,
        compares: Mapping[str, int],
        puts: Mapping[str, bytes],
        deletes: Iterable[str] = (),
        lease_id: int = 0,
    ) -> int:
        """Writes in one transaction and returns its revision.

        :param compares: required mod_revision by key; 0 for a key that does not exist.
        :param lease_id: lease that the keys of ``puts`` are attached to; 0 for none.
        :raises StoreUnavailable: if the request was not sent.
        :raises AmbiguousWrite: if the response was lost.
        :raises CompareFailed: if a key had another mod_revision.
        """
        lease = {"lease": str(lease_id)} if lease_id else {}
        operations = [
            {
                "request_put": {
                    "key": _encode_base64(key),
                    "value": _encode_base64(value),
                }
                | lease
            }
            for key, value in puts.items()
        ]
        operations += [
            {"request_delete_range": {"key": _encode_base64(key)}} for key in deletes
        ]
        body = {
            "compare": [_build_compare(key, rev) for key, rev in compares.items()],
            "success": operations,
        }
        result = await self._call("/v3/kv/txn", body, write=True)
        with _converting_parse_errors(AmbiguousWrite):
            revision = self._record_revision(result)
        if not result.get("succeeded", False):
            raise CompareFailed(f"comparison failed for {', '.join(compares)}")
        return revision

    async def grant(self, ttl_s: float) -> int:
        """Creates a lease and returns its id.

        :param ttl_s: time to live in whole seconds, at least 1.
        :raises AmbiguousWrite: if the response was lost; the lease expires by itself.
        """
        body = {"TTL": str(max(1, int(ttl_s)))}
        result = await self._call("/v3/lease/grant", body, write=True)
        with _converting_parse_errors(AmbiguousWrite):
            return _parse_int(result["ID"])

    async def keep_alive(self, lease_id: int) -> float:
        """Renews a lease and returns its remaining seconds, 0 if it has expired.

        :raises StoreUnavailable: if there is no response; the lease may have been
            renewed.
        """
        body = {"ID": str(lease_id)}
        result = await self._call("/v3/lease/keepalive", body, write=False)
        with _converting_parse_errors(StoreUnavailable):
            # The time to live of an expired lease may be negative.
            return float(_parse_int(result["result"].get("TTL", 0), -MAX_INTEGER))

    async def revoke(self, lease_id: int) -> None:
        """Revokes a lease and deletes its keys.

        :raises StoreError: if the lease does not exist.
        """
        await self._call("/v3/lease/revoke", {"ID": str(lease_id)}, write=True)

    async def watch(self, prefix: str, from_revision: int) -> AsyncIterator[WatchBatch]:
        """Yields the changes of entries whose keys start with a prefix.

        A connection that fails or receives nothing for ``watch_idle_s`` is replaced by
        one that continues at the next revision.

        :param from_revision: first revision to yield, one above that of the caller's
            snapshot.
        :raises Compacted: if that revision is no longer in the store's history.
        :raises StoreUnavailable: if no address accepts a connection, or a connection
            ends before the store has sent anything.
        """
        start = from_revision
        while True:
            received = False
            try:
                async with aclosing(self._watch_once(prefix, start)) as results:
                    async for result in results:
                        received = True
                        with _converting_parse_errors(ConnectionLost):
                            batch = _parse_watch_result(result)
                        if batch is not None and batch.revision >= start - 1:
                            start = batch.revision + 1
                            self._revision = max(self._revision, batch.revision)
                            yield batch
            except ConnectionLost as error:
                if not received:
                    raise StoreUnavailable(f"the watch failed: {error}") from error
                log.info("restarting the store watch", extra={"error": str(error)})

    async def _watch_once(self, prefix: str, start: int) -> AsyncIterator[dict]:
        create = _prefix_range(prefix) | {
            "start_revision": str(start),
            "progress_notify": True,
        }
        body = json.dumps({"create_request": create}).encode()
        response = await self._send("/v3/watch", body, True, self._watch_idle_s)
        try:
            if response.status != 200:
                raise ConnectionLost(f"status {response.status}")
            line = b""
            async for chunk in response.chunks():
                *lines, line = (line + chunk).split(b"\n")
                for text in lines:
                    if text.strip():
                        yield _parse_json_object(text).get("result", {})
        finally:
            response.close()
        raise ConnectionLost("the store ended the watch")

    def close(self) -> None:
        """Closes the idle connections."""
        for client in self._clients:
            client.close()

    async def _read(self, body: dict) -> dict:
        """Reads a range of keys.

        :raises StaleRead: if the revision is below one that was returned before.
        """
        known = self._revision
        result = await self._call("/v3/kv/range", body, write=False)
        with _converting_parse_errors(StoreUnavailable):
            revision = self._record_revision(result)
        if revision < known:
            raise StaleRead(f"answer at revision {revision}, {known} is known")
        return result

    def _record_revision(self, result: dict) -> int:
        revision = _parse_int(result["header"]["revision"])
        self._revision = max(self._revision, revision)
        return revision

    async def _call(self, path: str, value: dict, write: bool) -> Any:
        """Sends a call and returns the parsed response.

        :param write: True if a lost response makes the outcome unknown and therefore
            raises ``AmbiguousWrite``.
        """
        lost_error = AmbiguousWrite if write else StoreUnavailable
        try:
            body = json.dumps(value).encode()
            response = await self._send(path, body, False, self._timeout_s)
            try:
                result = _parse_json_object(await response.read())
            except BaseException:
                response.close()
                raise
        except ConnectionLost as error:
            # The idle connections to an unresponsive instance would fail as well.
            self._clients[self._current_client].close()
            self._current_client = (self._current_client + 1) % len(self._clients)
            raise lost_error(f"{path}: {error}") from error
        if response.status == 200:
            return result
        message = f"{path}: status {response.status}: {describe(result)}"
        raise lost_error(message) if response.status >= 500 else StoreError(message)

    async def _send(
        self, path: str, body: bytes, fresh: bool, timeout: float
    ) -> HttpResponse:
        failure = None
        for _ in self._clients:
            client = self._clients[self._current_client]
            try:
                return await client.request(
                    "POST", path, _JSON_HEADERS, body, timeout, fresh
                )
            except ConnectFailed as error:
                failure = error
                self._current_client = (self._current_client + 1) % len(self._clients)
        raise StoreUnavailable(f"{path}: {failure}") from failure


@contextmanager
def _converting_parse_errors(error_type: type[Exception]) -> Iterator[None]:
    """Converts exceptions from a malformed response to ``error_type``."""
    try:
        yield
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise error_type(f"malformed answer: {describe_error(error)}") from error


def _encode_base64(value: str | bytes) -> str:
    data = value.encode() if isinstance(value, str) else value
    return base64.b64encode(data).decode()


def _parse_json_object(data: bytes) -> dict:
    try:
        return parse_object(data)
    except MalformedInput as error:
        raise ConnectionLost(f"the answer is not a JSON object: {error}") from error


def _parse_int(value: Any, minimum: int = 0) -> int:
    """Returns a 64-bit number, which the store writes as text.

    :raises ValueError: if it is malformed.
    """
    if isinstance(value, str):
        value = int(value)
    return require_integer(value, minimum)


def _prefix_range(prefix: str) -> dict[str, str]:
    start = prefix.encode()
    # The end of the key range is the prefix with its last byte incremented.
    end = start[:-1] + bytes([start[-1] + 1])
    return {"key": _encode_base64(start), "range_end": _encode_base64(end)}


def _build_compare(key: str, mod_revision: int) -> dict[str, str]:
    return {
        "key": _encode_base64(key),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(mod_revision),
    }


def _parse_entry(kv: dict, deleted: bool = False) -> Entry:
    # Keys of other writers may be no UTF-8; they must not hide the other entries.
    key = base64.b64decode(kv["key"]).decode(errors="backslashreplace")
    revision = _parse_int(kv["mod_revision"])
    if deleted:
        return Entry(key, revision, None)
    try:
        return Entry(key, revision, base64.b64decode(kv.get("value", "")))
    except (TypeError, ValueError) as error:
        log.warning(
            "value of a store entry cannot be read",
            extra={"key": key, "error": describe_error(error)},
        )
        return Entry(key, revision, UNREADABLE_VALUE)


def _parse_watch_result(result: dict) -> WatchBatch | None:
    """Parses one message of a watch; returns None if it only confirms the creation.

    :raises Compacted: if the store canceled the watch.
    """
    if result.get("canceled"):
        raise Compacted(
            f"history is compacted up to revision {result.get('compact_revision', '?')}"
        )
    if result.get("created"):
        return None
    events = result.get("events", [])
    entries = tuple(_parse_entry(e["kv"], e.get("type") == "DELETE") for e in events)
    if entries:
        return WatchBatch(max(e.mod_revision for e in entries), entries)
    return WatchBatch(_parse_int(result["header"]["revision"]), ())
