"""Agent whose journal writes do not check that the partition head is unchanged."""

from dataclasses import replace

from heatherswitch.agent.journal import ClaimJournal
from heatherswitch.fleet.records import PARTITIONS_PREFIX
from heatherswitch.ui.agent import main

_commit = ClaimJournal._commit


async def _commit_without_fence(self, effect):
    compares = {
        key: revision
        for key, revision in effect.compares.items()
        if not key.startswith(PARTITIONS_PREFIX)
    }
    return await _commit(self, replace(effect, compares=compares))


if __name__ == "__main__":
    ClaimJournal._commit = _commit_without_fence
    main()
