"""Keys, revisions, leases and change history of the stand-in store, without I/O."""

from collections import Counter, deque
from dataclasses import dataclass


class StoreRequestError(Exception):
    """A request that the store rejects.

    :param code: gRPC status code, which the gateway reports to the client.
    """

    def __init__(self, code: int, message: str) -> None:
        super().__init__(message)
        self.code = code


@dataclass(frozen=True, slots=True)
class KeyVersion:
    """One version of a key.

    :param value: None for a deletion.
    :param create_revision: revision at which the key was created; 0 for a deletion.
    :param mod_revision: revision of this version.
    :param version: number of writes since the key was created; 0 for a deletion.
    :param lease: id of the lease that the key depends on; 0 without one.
    """

    key: bytes
    value: bytes | None
    create_revision: int
    mod_revision: int
    version: int
    lease: int = 0


class StoreData:
    """The current keys and a bounded history of their changes.

    :param history_limit: changes that are kept; older ones are compacted.
    """

    __slots__ = (
        "_compacted",
        "_compacted_items",
        "_history",
        "_items",
        "_lease_expiry",
        "_lease_ttl",
        "_next_lease",
        "revision",
    )

    def __init__(self, history_limit: int = 10000) -> None:
        self._items: dict[bytes, KeyVersion] = {}
        # Items at the compacted revision; the history since then yields past states.
        self._compacted_items: dict[bytes, KeyVersion] = {}
        self._history: deque[KeyVersion] = deque(maxlen=history_limit)
        self._compacted = 0
        self._lease_ttl: dict[int, float] = {}
        self._lease_expiry: dict[int, float] = {}
        self._next_lease = 1000
        self.revision = 1

    @property
    def compacted(self) -> int:
        """Newest revision whose changes are no longer in the history; 0 for none."""
        return self._compacted

    def range(self, key: bytes, end: bytes, revision: int = 0) -> list[KeyVersion]:
        """Returns the items in ``[key, end)`` by key, or just ``key`` if end is empty.

        :param revision: past revision to read; 0 reads the current items.
        :raises StoreRequestError: if the revision has been compacted.
        """
        items = self._items if revision <= 0 else self._items_at(revision)
        found = [item for item in items.values() if in_range(item.key, key, end)]
        return sorted(found, key=lambda item: item.key)

    def _items_at(self, revision: int) -> dict[bytes, KeyVersion]:
        if revision < self._compacted:
            message = "etcdserver: mvcc: required revision has been compacted"
            raise StoreRequestError(11, message)
        items = dict(self._compacted_items)
        for change in self._history:
            if change.mod_revision <= revision:
                items[change.key] = change
        return {key: item for key, item in items.items() if item.value is not None}

    def compare(self, key: bytes, operator: str, mod_revision: int) -> bool:
        """Returns whether a comparison of a transaction holds.

        The mod_revision of a key that does not exist is 0.

        :param operator: ``EQUAL``, ``NOT_EQUAL``, ``GREATER`` or ``LESS``.
        """
        item = self._items.get(key)
        actual = item.mod_revision if item else 0
        return {
            "EQUAL": actual == mod_revision,
            "NOT_EQUAL": actual != mod_revision,
            "GREATER": actual > mod_revision,
            "LESS": actual < mod_revision,
        }[operator]

    def write(
        self, puts: list[tuple[bytes, bytes, int]], deletes: list[tuple[bytes, bytes]]
    ) -> None:
        """Applies puts (key, value, lease) and deletes (key, end) as one revision.

        :raises StoreRequestError: if a lease does not exist; nothing is applied.
        """
        for _, _, lease in puts:
            if lease and lease not in self._lease_ttl:
                raise StoreRequestError(5, "etcdserver: requested lease not found")
        deleted = [item for key, end in deletes for item in self.range(key, end)]
        if not puts and not deleted:
            return
        self.revision += 1
        for item in deleted:
            if self._items.pop(item.key, None):
                self._append_to_history(KeyVersion(item.key, None, 0, self.revision, 0))
        for key, value, lease in puts:
            previous = self._items.get(key)
            created = previous.create_revision if previous else self.revision
            version = previous.version + 1 if previous else 1
            item = KeyVersion(key, value, created, self.revision, version, lease)
            self._items[key] = item
            self._append_to_history(item)

    def _append_to_history(self, change: KeyVersion) -> None:
        if len(self._history) == self._history.maxlen:
            oldest = self._history[0]
            self._compacted = oldest.mod_revision
            self._compacted_items[oldest.key] = oldest
        self._history.append(change)

    def changes(self, key: bytes, end: bytes, start: int) -> list[KeyVersion]:
        """Returns the changes in a range from revision ``start`` on, oldest first."""
        found = []
        for change in reversed(self._history):
            if change.mod_revision < start:
                break
            if in_range(change.key, key, end):
                found.append(change)
        return found[::-1]

    def grant(self, now: float, ttl_s: float) -> int:
        """Creates a lease and returns its id.

        :param now: current time, in seconds.
        """
        self._next_lease += 1
        self._lease_ttl[self._next_lease] = ttl_s
        self._lease_expiry[self._next_lease] = now + ttl_s
        return self._next_lease

    def keep_alive(self, now: float, lease: int) -> float:
        """Renews a lease and returns its TTL in seconds, or 0 if it does not exist."""
        if lease not in self._lease_ttl:
            return 0.0
        self._lease_expiry[lease] = now + self._lease_ttl[lease]
        return self._lease_ttl[lease]

    def extend_leases(self, now: float) -> None:
        """Lets all leases run from now on, as in a store that was restored."""
        for lease, ttl_s in self._lease_ttl.items():
            self._lease_expiry[lease] = now + ttl_s

    def revoke(self, lease: int) -> None:
        """Ends a lease and deletes its keys.

        :raises StoreRequestError: if the lease does not exist.
        """
        if lease not in self._lease_ttl:
            raise StoreRequestError(5, "etcdserver: requested lease not found")
        del self._lease_ttl[lease]
        del self._lease_expiry[lease]
        keys = [(key, b"") for key, item in self._items.items() if item.lease == lease]
        self.write([], keys)

    def expire(self, now: float) -> None:
        """Revokes the leases that have expired."""
        for lease in [i for i, at in self._lease_expiry.items() if at <= now]:
            self.revoke(lease)


class CallStats:
    """Counts requests by kind, in total and per second."""

    __slots__ = ("_counts_by_second", "_total_counts")

    def __init__(self) -> None:
        self._total_counts: Counter[str] = Counter()
        self._counts_by_second: dict[int, Counter[str]] = {}

    def count(self, now: float, kind: str) -> None:
        """Counts one request.

        :param now: time of the request, in seconds.
        """
        self._total_counts[kind] += 1
        self._counts_by_second.setdefault(int(now), Counter())[kind] += 1
        while len(self._counts_by_second) > 600:
            del self._counts_by_second[min(self._counts_by_second)]

    def to_json(self) -> dict:
        """Returns totals, and counts of the last 600 seconds that had requests."""
        seconds = {str(second): dict(c) for second, c in self._counts_by_second.items()}
        return {"total": dict(self._total_counts), "seconds": seconds}


def in_range(key: bytes, start: bytes, end: bytes) -> bool:
    """Returns whether a key lies in ``[start, end)``.

    An empty end means the key ``start`` alone, and a zero byte means no upper limit.
    """
    if not end:
        return key == start
    return key >= start and (end == b"\0" or key < end)
