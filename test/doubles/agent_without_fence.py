"""Agent whose journal writes do not compare the partition head."""

from dataclasses import replace

from heatherswitch.agent.journal import ClaimJournal
from heatherswitch.fleet.records import PARTITIONS_PREFIX
from heatherswitch.ui.agent import main

_commit = ClaimJournal._commit


async def _commit_unfenced(self, effect):
    compares = {
        key: revision
        for key, revision in effect.compares.items()
        if not key.startswith(PARTITIONS_PREFIX)
    }
    return await _commit(self, replace(effect, compares=compares))


if __name__ == "__main__":
    ClaimJournal._commit = _commit_unfenced
    main()
