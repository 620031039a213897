"""Client of the platform's key-value store over its etcd v3 JSON gateway.

Source of the format: the published gateway. Keys and values are base64, 64-bit
numbers are strings, and fields with default values are left out.
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

log = logging.getLogger("heatherswitch.store")

# A watch that carries nothing for this long is restarted, in seconds. It is below
# the 4 s in which a configuration change must be in force.
WATCH_IDLE_S = 3.0
_JSON_HEADERS = [("Content-Type", "application/json")]


class StoreError(Exception):
    """A call to the store failed; a request that the store refused as invalid."""


class StoreUnavailable(StoreError):
    """The store could not be reached; nothing was applied."""


class StaleRead(StoreUnavailable):
    """The store answered a read from a revision below one that it showed before."""


class AmbiguousWrite(StoreError):
    """The answer to a write was lost, so the write may have been applied."""


class CompareFailed(StoreError):
    """A compared key had another mod_revision; nothing was applied."""


class Compacted(StoreError):
    """The history before a watch's start was dropped; read a snapshot again."""


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All entries under a prefix at one revision.

    :param current_at: clock time at which the store held nothing newer; 0 if the
        client does not tell.
    """

    revision: int
    entries: tuple[Entry, ...]
    current_at: float = 0.0


@dataclass(frozen=True, slots=True)
class WatchBatch:
    """Changes under a prefix, complete up to ``revision``.

    :param entries: oldest first; empty when the store only reports progress.
    :param current_at: clock time at which the store held nothing newer; 0 if the
        client does not tell.
    """

    revision: int
    entries: tuple[Entry, ...]
    current_at: float = 0.0


class StoreClient:
    """Calls the store at the first of its addresses that accepts a connection."""

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
        :param watch_idle_s: seconds of silence after which a watch is restarted.
        :raises ValueError: without an address.
        """
        clients = [HttpClient.from_address(address) for address in addresses]
        if not clients:
            raise ValueError("the store needs at least one address")
        return cls(clients, timeout_s, watch_idle_s)

    @property
    def revision(self) -> int:
        """The highest revision that the store has shown."""
        return self._revision

    async def get(self, key: str) -> Entry | None:
        """Reads one key.

        :raises StoreUnavailable: if the store gives no answer, or a stale one.
        """
        answer = await self._read({"key": _encode_base64(key)})
        with _converting_parse_errors(StoreUnavailable):
            return next((_parse_entry(kv) for kv in answer.get("kvs", [])), None)

    async def range(self, prefix: str) -> Snapshot:
        """Reads all keys under a prefix, sorted by key.

        :raises StoreUnavailable: if the store gives no answer, or a stale one.
        """
        answer = await self._read(_prefix_range(prefix))
        with _converting_parse_errors(StoreUnavailable):
            entries = tuple(_parse_entry(kv) for kv in answer.get("kvs", []))
            return Snapshot(int(answer["header"]["revision"]), entries)

    async def commit(
        self,
        compares: Mapping[str, int],
        puts: Mapping[str, bytes],
        deletes: Iterable[str] = (),
        lease_id: int = 0,
    ) -> int:
        """Writes in one transaction and returns its revision.

        :param compares: mod_revision that each key must have; 0 for no such key.
        :param lease_id: lease that the put keys are attached to.
        :raises StoreUnavailable: if nothing was sent.
        :raises AmbiguousWrite: if the answer was lost.
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
        answer = await self._call("/v3/kv/txn", body, write=True)
        with _converting_parse_errors(AmbiguousWrite):
            revision = self._record_revision(answer)
        if not answer.get("succeeded", False):
            raise CompareFailed(f"comparison failed for {', '.join(compares)}")
        return revision

    async def grant(self, ttl_s: float) -> int:
        """Creates a lease and returns its id.

        :param ttl_s: time to live in whole seconds, at least 1.
        :raises AmbiguousWrite: if the answer was lost; such a lease runs out.
        """
        body = {"TTL": str(max(1, int(ttl_s)))}
        answer = await self._call("/v3/lease/grant", body, write=True)
        with _converting_parse_errors(AmbiguousWrite):
            return int(answer["ID"])

    async def keep_alive(self, lease_id: int) -> float:
        """Renews a lease and returns its remaining seconds, 0 when it has ended.

        :raises StoreUnavailable: if the store gives no answer; a renewal may have
            taken effect.
        """
        body = {"ID": str(lease_id)}
        answer = await self._call("/v3/lease/keepalive", body, write=False)
        with _converting_parse_errors(StoreUnavailable):
            return float(answer["result"].get("TTL", 0))

    async def revoke(self, lease_id: int) -> None:
        """Ends a lease and deletes its keys.

        :raises StoreError: if the lease does not exist.
        """
        await self._call("/v3/lease/revoke", {"ID": str(lease_id)}, write=True)

    async def watch(self, prefix: str, from_revision: int) -> AsyncIterator[WatchBatch]:
        """Yields changes under a prefix.

        A connection that breaks or carries nothing for ``watch_idle_s`` is replaced
        by one that continues at the next revision.

        :param from_revision: first revision of interest: one above that of the
            snapshot which the caller holds.
        :raises Compacted: if that revision is no longer in the store's history.
        :raises StoreUnavailable: if no address accepts a connection or answers.
        """
        start = from_revision
        while True:
            answered = False
            try:
                async with aclosing(self._watch_once(prefix, start)) as results:
                    async for result in results:
                        answered = True
                        with _converting_parse_errors(ConnectionLost):
                            batch = _parse_watch_result(result)
                        if batch is not None and batch.revision >= start - 1:
                            start = batch.revision + 1
                            self._revision = max(self._revision, batch.revision)
                            yield batch
            except ConnectionLost as error:
                if not answered:
                    raise StoreUnavailable(f"the watch failed: {error}") from error
                log.info("store watch restarted", extra={"error": str(error)})

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
        """Reads a range and rejects an answer that is older than a known one."""
        known = self._revision
        answer = await self._call("/v3/kv/range", body, write=False)
        with _converting_parse_errors(StoreUnavailable):
            revision = self._record_revision(answer)
        if revision < known:
            raise StaleRead(f"answer at revision {revision}, {known} is known")
        return answer

    def _record_revision(self, answer: dict) -> int:
        revision = int(answer["header"]["revision"])
        self._revision = max(self._revision, revision)
        return revision

    async def _call(self, path: str, value: dict, write: bool) -> Any:
        """Sends a call; a lost answer to a read is as good as no answer."""
        lost = AmbiguousWrite if write else StoreUnavailable
        try:
            body = json.dumps(value).encode()
            response = await self._send(path, body, False, self._timeout_s)
            try:
                answer = _parse_json_object(await response.read())
            except BaseException:
                response.close()
                raise
        except ConnectionLost as error:
            # Idle connections to an instance that went silent are of no use either.
            self._clients[self._current_client].close()
            self._current_client = (self._current_client + 1) % len(self._clients)
            raise lost(f"{path}: {error}") from error
        if response.status == 200:
            return answer
        message = f"{path}: status {response.status}: {answer}"
        raise lost(message) if response.status >= 500 else StoreError(message)

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
    """Turns errors in reading an answer into ``error_type``."""
    try:
        yield
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise error_type(f"malformed answer: {error!r}") from error


def _encode_base64(value: str | bytes) -> str:
    data = value.encode() if isinstance(value, str) else value
    return base64.b64encode(data).decode()


def _parse_json_object(data: bytes) -> dict:
    try:
        value = json.loads(data)
    except ValueError as error:
        raise ConnectionLost(f"the answer is not JSON: {error}") from error
    if not isinstance(value, dict):
        raise ConnectionLost("the answer is not a JSON object")
    return value


def _prefix_range(prefix: str) -> dict[str, str]:
    start = prefix.encode()
    # The end of a prefix is the prefix with its last byte increased by one.
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
    key = base64.b64decode(kv["key"]).decode()
    value = None if deleted else base64.b64decode(kv.get("value", ""))
    return Entry(key, int(kv["mod_revision"]), value)


def _parse_watch_result(result: dict) -> WatchBatch | None:
    """Reads one message of a watch; None for its confirmation.

    :raises Compacted: if the store cancelled the watch.
    """
    if result.get("canceled"):
        raise Compacted(f"compacted up to {result.get('compact_revision', '?')}")
    if result.get("created"):
        return None
    events = result.get("events", [])
    entries = tuple(_parse_entry(e["kv"], e.get("type") == "DELETE") for e in events)
    if entries:
        return WatchBatch(max(e.mod_revision for e in entries), entries)
    return WatchBatch(int(result["header"]["revision"]), ())
