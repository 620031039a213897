"""Router that replaces configuration entries by older revisions of them."""

from heatherswitch.statecore.replica import ReplicatedEntries
from heatherswitch.ui.router import main


def _apply_without_check(self, entries, complete_revision):
    applied = sorted(entries, key=lambda entry: entry.mod_revision)
    for entry in applied:
        self._entries[entry.key] = entry
        self._newest_revision = max(self._newest_revision, entry.mod_revision)
    self._revision = max(self._revision, complete_revision)
    return applied


if __name__ == "__main__":
    ReplicatedEntries.apply = _apply_without_check
    main()
