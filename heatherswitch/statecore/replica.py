"""Replica of store entries whose revision never decreases."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple


class Position(NamedTuple):
    """Place of a write among all writes of the store, ordered across restores.

    :param era: how often the store had been restored from a backup; 0 if unknown.
    :param revision: revision of the write in that era.
    """

    era: int
    revision: int


@dataclass(frozen=True, slots=True)
class Entry:
    """One store entry.

    :param mod_revision: store revision of the entry's last change.
    :param value: None if the entry was deleted at that revision.
    :param era: era of the store that the revision belongs to; 0 if the store has none.
    """

    key: str
    mod_revision: int
    value: bytes | None
    era: int = 0

    @property
    def position(self) -> Position:
        """Era and revision of the entry's last change."""
        return Position(self.era, self.mod_revision)


@dataclass(frozen=True, slots=True)
class KeyRange:
    """The keys with a prefix that sort after a given key.

    :param after: empty for all keys with the prefix.
    """

    prefix: str = ""
    after: str = ""

    def covers(self, key: str) -> bool:
        """Tells whether a key is in the range."""
        return key.startswith(self.prefix) and key > self.after


class ReplicatedEntries:
    """Holds the newest known entries and the revision up to which they are complete.

    Deleted entries are kept as tombstones, so that deltas include the deletions.
    """

    __slots__ = ("_entries", "_newest_revision", "_revision")

    def __init__(self) -> None:
        self._entries: dict[str, Entry] = {}
        self._newest_revision = 0
        self._revision = 0

    @property
    def revision(self) -> int:
        """Store revision up to which all changes are held."""
        return self._revision

    def get(self, key: str) -> Entry | None:
        """Returns an entry, or None if it does not exist or is deleted."""
        entry = self._entries.get(key)
        return entry if entry is not None and entry.value is not None else None

    def with_prefix(self, prefix: str) -> list[Entry]:
        """Returns existing entries whose keys start with a prefix, sorted by key."""
        found = [
            entry
            for key, entry in self._entries.items()
            if key.startswith(prefix) and entry.value is not None
        ]
        return sorted(found, key=lambda entry: entry.key)

    def apply(self, entries: Iterable[Entry], complete_revision: int) -> list[Entry]:
        """Merges entries that are newer than the held ones.

        :param complete_revision: revision up to which the given and the held entries
            together are complete; 0 if unknown.
        :returns: the entries that were merged, in order of revision.
        """
        merged = []
        for entry in sorted(entries, key=lambda e: e.mod_revision):
            known = self._entries.get(entry.key)
            if known is not None and known.mod_revision >= entry.mod_revision:
                continue
            self._entries[entry.key] = entry
            self._newest_revision = max(self._newest_revision, entry.mod_revision)
            merged.append(entry)
        self._revision = max(self._revision, complete_revision)
        return merged

    def apply_snapshot(self, entries: Iterable[Entry], revision: int) -> list[Entry]:
        """Replaces the held entries by all entries that exist at ``revision``.

        A held entry that the snapshot lacks was deleted, unless it is newer. A
        snapshot below the held revision is stale and is ignored entirely.

        :returns: the changes, in order of revision.
        """
        changed = self.apply_range(entries, revision, KeyRange())
        self.complete(revision)
        return changed

    def apply_range(
        self, entries: Iterable[Entry], revision: int, key_range: KeyRange
    ) -> list[Entry]:
        """Like :meth:`apply_snapshot` for the entries of one range of keys.

        The revision up to which all changes are held stays the same.
        """
        if revision < self._revision:
            return []
        present = list(entries)
        keys = {entry.key for entry in present}
        deleted = [
            Entry(entry.key, revision, None)
            for entry in self._entries.values()
            if entry.key not in keys
            and key_range.covers(entry.key)
            and entry.value is not None
            and entry.mod_revision <= revision
        ]
        return self.apply([*present, *deleted], 0)

    def complete(self, revision: int) -> None:
        """Notes that all changes up to a revision are held."""
        self._revision = max(self._revision, revision)

    def since(self, revision: int) -> list[Entry]:
        """Returns entries and tombstones above ``revision``, oldest first.

        Every exchange calls this, so that the usual case without changes returns
        without a search.
        """
        if revision >= self._newest_revision:
            return []
        newer = [e for e in self._entries.values() if e.mod_revision > revision]
        return sorted(newer, key=lambda entry: entry.mod_revision)
