"""Keys, revisions, leases and history of the stand-in store, without I/O."""

from collections import Counter, deque
from dataclasses import dataclass


class DataError(Exception):
    """A request cannot be applied.

    :param code: gRPC status code, as the gateway reports it.
    """

    def __init__(self, code: int, message: str) -> None:
        super().__init__(message)
        self.code = code


@dataclass(frozen=True, slots=True)
class Stored:
    """One version of a key.

    :param value: None marks a deletion.
    :param version: number of writes since the key was created.
    """

    key: bytes
    value: bytes | None
    create_revision: int
    mod_revision: int
    version: int
    lease: int = 0


class StoreData:
    """The key space at its newest revision, and a bounded history of changes."""

    __slots__ = (
        "_base",
        "_compacted",
        "_expiry",
        "_history",
        "_items",
        "_next_lease",
        "_ttl",
        "revision",
    )

    def __init__(self, history_limit: int = 10000) -> None:
        self._items: dict[bytes, Stored] = {}
        # The items at the compacted revision, from which the past is rebuilt.
        self._base: dict[bytes, Stored] = {}
        self._history: deque[Stored] = deque(maxlen=history_limit)
        self._compacted = 0
        self._ttl: dict[int, float] = {}
        self._expiry: dict[int, float] = {}
        self._next_lease = 1000
        self.revision = 1

    @property
    def compacted(self) -> int:
        """Changes up to this revision are no longer in the history."""
        return self._compacted

    def range(self, key: bytes, end: bytes, revision: int = 0) -> list[Stored]:
        """Returns the items in ``[key, end)``, or the single key without an end.

        :param revision: reads the past when above 0.
        """
        items = self._items if revision <= 0 else self._items_at(revision)
        found = [item for item in items.values() if in_range(item.key, key, end)]
        return sorted(found, key=lambda item: item.key)

    def _items_at(self, revision: int) -> dict[bytes, Stored]:
        if revision < self._compacted:
            message = "etcdserver: mvcc: required revision has been compacted"
            raise DataError(11, message)
        items = dict(self._base)
        for change in self._history:
            if change.mod_revision <= revision:
                items[change.key] = change
        return {k: v for k, v in items.items() if v.value is not None}

    def compare(self, key: bytes, operator: str, mod_revision: int) -> bool:
        """Compares a key's mod_revision, which is 0 when it does not exist."""
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
        """Applies puts (key, value, lease) and deletes (key, end) as one revision."""
        for _, _, lease in puts:
            if lease and lease not in self._ttl:
                raise DataError(5, "etcdserver: requested lease not found")
        doomed = [item for key, end in deletes for item in self.range(key, end)]
        if not puts and not doomed:
            return
        self.revision += 1
        for item in doomed:
            if self._items.pop(item.key, None):
                self._record(Stored(item.key, None, 0, self.revision, 0))
        for key, value, lease in puts:
            known = self._items.get(key)
            created = known.create_revision if known else self.revision
            version = known.version + 1 if known else 1
            item = Stored(key, value, created, self.revision, version, lease)
            self._items[key] = item
            self._record(item)

    def _record(self, change: Stored) -> None:
        if len(self._history) == self._history.maxlen:
            oldest = self._history[0]
            self._compacted = oldest.mod_revision
            self._base[oldest.key] = oldest
        self._history.append(change)

    def changes(self, key: bytes, end: bytes, start: int) -> list[Stored]:
        """Returns the changes in a range from revision ``start`` on, oldest first."""
        found = []
        for change in reversed(self._history):
            if change.mod_revision < start:
                break
            if in_range(change.key, key, end):
                found.append(change)
        return found[::-1]

    def grant(self, now: float, ttl_s: float) -> int:
        """Creates a lease."""
        self._next_lease += 1
        self._ttl[self._next_lease] = ttl_s
        self._expiry[self._next_lease] = now + ttl_s
        return self._next_lease

    def keep_alive(self, now: float, lease: int) -> float:
        """Renews a lease and returns its time to live, 0 when it does not exist."""
        if lease not in self._ttl:
            return 0.0
        self._expiry[lease] = now + self._ttl[lease]
        return self._ttl[lease]

    def revoke(self, lease: int) -> None:
        """Ends a lease and deletes its keys."""
        if lease not in self._ttl:
            raise DataError(5, "etcdserver: requested lease not found")
        del self._ttl[lease]
        del self._expiry[lease]
        keys = [(k, b"") for k, item in self._items.items() if item.lease == lease]
        self.write([], keys)

    def expire(self, now: float) -> None:
        """Ends the leases whose time has passed."""
        for lease in [i for i, at in self._expiry.items() if at <= now]:
            self.revoke(lease)


class CallStats:
    """Counts calls by kind, in total and per second."""

    __slots__ = ("_seconds", "_total")

    def __init__(self) -> None:
        self._total: Counter[str] = Counter()
        self._seconds: dict[int, Counter[str]] = {}

    def count(self, now: float, kind: str) -> None:
        """Counts one call."""
        self._total[kind] += 1
        self._seconds.setdefault(int(now), Counter())[kind] += 1
        while len(self._seconds) > 600:
            del self._seconds[min(self._seconds)]

    def to_json(self) -> dict:
        """Returns totals, and counts of the last 600 s by whole second."""
        seconds = {str(second): dict(c) for second, c in self._seconds.items()}
        return {"total": dict(self._total), "seconds": seconds}


def in_range(key: bytes, start: bytes, end: bytes) -> bool:
    """Tells whether a key lies in a range of the gateway."""
    if not end:
        return key == start
    return key >= start and (end == b"\0" or key < end)
