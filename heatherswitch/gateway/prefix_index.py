"""Which backend servers hold which parts of prompts, as far as this gateway knows.

It learns from its own requests only. What it says is a hint: servers drop parts when
their memory is full, and other gateways send requests too.
"""

from collections import OrderedDict
from collections.abc import Collection, Iterable

from heatherswitch.gateway.model import PromptPart

# Parts that are remembered. One takes about 300 bytes.
MAX_PARTS = 20_000
# Servers that are remembered for a part, the newest last.
MAX_HOLDERS = 4


class PrefixIndex:
    """Remembers the servers that read a part, the least recently used part first."""

    __slots__ = ("_holders",)

    def __init__(self) -> None:
        self._holders: OrderedDict[str, list[str]] = OrderedDict()

    def add(self, parts: Iterable[PromptPart], server_id: str) -> None:
        """Notes that a server has read the shared parts of a prompt."""
        for part in parts:
            holders = self._holders.setdefault(part.id, [])
            if server_id in holders:
                holders.remove(server_id)
            holders.append(server_id)
            del holders[:-MAX_HOLDERS]
            self._holders.move_to_end(part.id)
        while len(self._holders) > MAX_PARTS:
            self._holders.popitem(last=False)

    def holders(self, part_id: str) -> Collection[str]:
        """Returns the ids of the servers that read a part, the newest last."""
        return self._holders.get(part_id, ())

    def remove_server(self, server_id: str) -> None:
        """Drops a server that has ended."""
        for part_id in [p for p, held in self._holders.items() if server_id in held]:
            holders = self._holders[part_id]
            holders.remove(server_id)
            if not holders:
                del self._holders[part_id]
