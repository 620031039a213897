"""What a gateway holds of the store, and up to when that is known to be complete.

Within an era of the store, a higher revision is newer. A store that was restored from a
backup begins a new era, in which revisions of the former one are used again, so that
revisions of two eras can't be compared.
"""

from collections.abc import Callable

from heatherswitch.statecore.replica import Entry, KeyRange, ReplicatedEntries
from heatherswitch.statecore.store import (
    IncompleteWatch,
    Snapshot,
    StaleRead,
    StoreRestored,
    WatchBatch,
)
from heatherswitch.util.record import Record


class Applied(Record):
    """A response of the store that a view has taken in.

    A view rejects a response by an error, so that one that it has not taken in can't
    confirm it.

    :param changed: the changes, in order of revision.
    :param kept: entries of the former era that the new one holds unchanged.
    :param current_at: time of the clock at which the store had nothing newer.
    :param restored: it is the first response of a new era.
    """

    __slots__ = ("changed", "current_at", "era", "revision", "restored", "kept")

    def __init__(
        self,
        changed: list[Entry],
        current_at: float,
        era: int,
        revision: int,
        restored: bool = False,
        kept: tuple[Entry, ...] = (),
    ) -> None:
        self.changed = changed
        self.current_at = current_at
        self.era = era
        self.revision = revision
        self.restored = restored
        self.kept = kept


class StoreView:
    """The entries of the store's newest era, as far as they were read.

    An entry that a restored store lacks is carried over for a while, since most are
    written again.
    """

    __slots__ = ("_carried", "_complete_at", "_entries", "_era", "_started")

    def __init__(self) -> None:
        self._entries = ReplicatedEntries()
        self._era = 0
        self._started = False
        # Entries of former eras that this era has neither confirmed nor replaced yet.
        self._carried: dict[str, Entry] = {}
        # Time at which all entries of this era had been read for the first time.
        self._complete_at: float | None = None

    @property
    def era(self) -> int:
        """Newest era that was read; 0 for a store that states none."""
        return self._era

    @property
    def revision(self) -> int:
        """Revision of the era up to which all changes are held."""
        return self._entries.revision

    @property
    def started(self) -> bool:
        """True once a response was taken in, in any era."""
        return self._started

    def with_prefix(self, prefix: str) -> list[Entry]:
        """Returns existing entries whose keys start with a prefix, sorted by key."""
        return self._entries.with_prefix(prefix)

    def take_batch(self, batch: WatchBatch) -> Applied:
        """Takes in changes, which must be all since the held revision.

        :raises StoreRestored: if they are of a later era; all entries must be read.
        :raises StaleRead: if they are older than what is held.
        :raises IncompleteWatch: if changes are missing.
        """
        if batch.era > self._era:
            raise StoreRestored(f"the store is in era {batch.era}, {self._era} is held")
        self._require_newest(batch)
        self._check_complete(batch)
        merged = self._entries.apply(batch.entries, batch.revision)
        changed, kept = self._settle(merged)
        return Applied(changed, batch.current_at, batch.era, batch.revision, kept=kept)

    def take_range(self, part: Snapshot, key_range: KeyRange) -> Applied:
        """Takes in all entries of a range; see :meth:`complete`.

        :raises StaleRead: if they are older than what is held.
        """
        restored = self._started and part.era > self._era
        if restored:
            self._carry_over()
        self._era = max(self._era, part.era)
        self._require_newest(part)
        self._started = True
        read = {entry.key for entry in part.entries}
        carried = [self._entries.get(key) for key in self._carried if key not in read]
        merged = self._entries.apply_range(
            [*part.entries, *carried], part.revision, key_range
        )
        changed, kept = self._settle(merged)
        return Applied(
            changed, part.current_at, part.era, part.revision, restored, kept
        )

    def complete(self, now: float, *parts: Applied) -> Applied:
        """Notes that ranges that were taken in are all entries that matter.

        :param now: time of the clock, from which entries are carried over.
        :returns: the oldest revision and time of the parts, without changes.
        :raises StoreRestored: if they are of different eras.
        """
        if any(part.era != self._era for part in parts):
            raise StoreRestored(f"era {self._era} began while entries were read")
        revision = min(part.revision for part in parts)
        self._entries.complete(revision)
        if self._complete_at is None:
            self._complete_at = now
        current_at = min(part.current_at for part in parts)
        return Applied([], current_at, self._era, revision)

    def expire(self, now: float, grace_s: Callable[[str], float]) -> Applied:
        """Deletes the entries that were carried over and not written again in time.

        :param grace_s: returns the seconds for which an entry is carried over after all
            entries of the era were read, by its key.
        """
        lost = []
        if self._carried and self._complete_at is not None:
            held_s = now - self._complete_at
            lost = [key for key in self._carried if held_s >= grace_s(key)]
        deleted = [Entry(key, self.revision, None, self._era) for key in lost]
        for key in lost:
            del self._carried[key]
        changed = self._entries.apply(deleted, 0)
        return Applied(changed, now, self._era, self.revision)

    def _carry_over(self) -> None:
        """Begins a new era with the entries of the former one."""
        held = {entry.key: entry for entry in self._entries.with_prefix("")}
        self._carried = held | self._carried
        self._entries = ReplicatedEntries()
        # Any entry of the new era is newer.
        self._entries.apply(
            [Entry(e.key, 0, e.value, e.era) for e in self._carried.values()], 0
        )
        self._complete_at = None

    def _settle(self, merged: list[Entry]) -> tuple[list[Entry], tuple[Entry, ...]]:
        """Divides merged entries into changes and writes that were held before."""
        if not self._carried:
            return merged, ()
        changed, kept = [], []
        for entry in merged:
            former = self._carried.pop(entry.key, None)
            same_write = former is not None and (
                former.mod_revision == entry.mod_revision
                and former.value == entry.value
            )
            (kept if same_write else changed).append(entry)
        return changed, tuple(kept)

    def _require_newest(self, response: Snapshot | WatchBatch) -> None:
        held, read = (self._era, self.revision), (response.era, response.revision)
        if read < held:
            raise StaleRead(f"era and revision {read} were read, {held} is held")

    def _check_complete(self, batch: WatchBatch) -> None:
        """Checks that a batch holds all changes up to the revision that it names.

        Each revision is a change of some key and the watch covers all keys. A store whose
        watches miss changes for a while may answer with its newest revision all the same.
        """
        known = self.revision
        held = {e.mod_revision for e in batch.entries if e.mod_revision > known}
        missing = batch.revision - known - len(held)
        if missing > 0:
            raise IncompleteWatch(
                f"{missing} of the revisions from {known + 1} to {batch.revision} "
                "are missing"
            )
