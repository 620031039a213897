"""Router whose replica takes entries that are older than the ones it holds."""

from heatherswitch.statecore.replica import ReplicatedEntries
from heatherswitch.ui.router import main


def _apply_any(self, entries, complete_revision):
    taken = sorted(entries, key=lambda entry: entry.mod_revision)
    for entry in taken:
        self._entries[entry.key] = entry
        self._newest_revision = max(self._newest_revision, entry.mod_revision)
    self._revision = max(self._revision, complete_revision)
    return taken


if __name__ == "__main__":
    ReplicatedEntries.apply = _apply_any
    main()
