"""What a gateway holds of the store, and up to when that is known to be complete.

Within an era of the store, a higher revision is newer. A store that was restored from a
backup begins a new era, in which revisions of the former one are used again, so that
revisions of two eras can't be compared.
"""

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
    :param current_at: time of the clock at which the store had nothing newer.
    :param restored: it is the first response of a new era.
    """

    __slots__ = ("changed", "current_at", "era", "revision", "restored")

    def __init__(
        self,
        changed: list[Entry],
        current_at: float,
        era: int,
        revision: int,
        restored: bool = False,
    ) -> None:
        self.changed = changed
        self.current_at = current_at
        self.era = era
        self.revision = revision
        self.restored = restored


class StoreView:
    """The entries of the store's newest era, as far as they were read."""

    __slots__ = ("_entries", "_era", "_started")

    def __init__(self) -> None:
        self._entries = ReplicatedEntries()
        self._era = 0
        self._started = False

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
        changed = self._entries.apply(batch.entries, batch.revision)
        return Applied(changed, batch.current_at, batch.era, batch.revision)

    def take_range(self, part: Snapshot, key_range: KeyRange) -> Applied:
        """Takes in all entries of a range; see :meth:`complete`.

        :raises StaleRead: if they are older than what is held.
        """
        restored = self._started and part.era > self._era
        if restored:
            self._entries = ReplicatedEntries()
        self._era = max(self._era, part.era)
        self._require_newest(part)
        self._started = True
        changed = self._entries.apply_range(part.entries, part.revision, key_range)
        return Applied(changed, part.current_at, part.era, part.revision, restored)

    def complete(self, *parts: Applied) -> Applied:
        """Notes that ranges that were taken in are all entries that matter.

        :returns: the oldest revision and time of the parts, without changes.
        :raises StoreRestored: if they are of different eras.
        """
        if any(part.era != self._era for part in parts):
            raise StoreRestored(f"era {self._era} began while entries were read")
        revision = min(part.revision for part in parts)
        self._entries.complete(revision)
        current_at = min(part.current_at for part in parts)
        return Applied([], current_at, self._era, revision)

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
