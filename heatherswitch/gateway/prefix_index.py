"""Index of the backend servers that have parts of prompts cached.

Its entries are hints from this gateway's own requests and from its peers: servers evict
parts when their memory is full, and requests of other gateways mostly go unseen.
"""

from collections import OrderedDict
from collections.abc import Collection, Iterable

from heatherswitch.gateway.model import PromptPart

# Maximum number of parts in the index. An entry takes about 300 bytes.
MAX_PARTS = 20_000
# Maximum number of servers per part, most recent last.
MAX_HOLDERS = 4


class PrefixIndex:
    """LRU map from a prompt part to the servers that processed it."""

    __slots__ = ("_holders",)

    def __init__(self) -> None:
        self._holders: OrderedDict[str, list[str]] = OrderedDict()

    def add(self, parts: Iterable[PromptPart], server_id: str) -> None:
        """Records that a server has processed the given parts of a prompt."""
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
        """Returns the ids of servers that processed a part, most recent last."""
        return self._holders.get(part_id, ())

    def remove_server(self, server_id: str) -> None:
        """Removes a server that was replaced and so has lost its cache."""
        for part_id in [p for p, held in self._holders.items() if server_id in held]:
            holders = self._holders[part_id]
            holders.remove(server_id)
            if not holders:
                del self._holders[part_id]
