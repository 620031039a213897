"""Lets single requests through that hold a suspected group of prompt parts.

No I/O, reads no clock.
"""

from collections import OrderedDict
from collections.abc import Callable

from heatherswitch.gateway.pending import Pending

# Seconds in which one gateway may send one request with a suspected group, longer than a
# server takes to begin an answer.
PROBE_SLOT_S = 2.0
# Maximum number of groups whose last request is remembered.
MAX_GROUPS = 100


class Probes:
    """The last request of this gateway with each suspected group.

    :param owns: tells whether this gateway is the one of the fleet that a key falls to.
    """

    __slots__ = ("_last", "_owns")

    def __init__(self, owns: Callable[[str], bool]) -> None:
        self._owns = owns
        self._last: OrderedDict[frozenset[str], tuple[float, Pending]] = OrderedDict()

    def allows(self, now: float, group: frozenset[str], pending: Pending) -> bool:
        """Tells whether a request may be sent to a first server.

        In each slot, another gateway may send a request.
        """
        at, last = self._last.get(group, (float("-inf"), None))
        if last is pending:
            return not pending.reached_server
        slot = int(now // PROBE_SLOT_S)
        if at // PROBE_SLOT_S == slot or pending.reached_server:
            return False
        if not self._owns(f"probe/{slot}/{'+'.join(sorted(group))}"):
            return False
        self._last[group] = (now, pending)
        self._last.move_to_end(group)
        while len(self._last) > MAX_GROUPS:
            self._last.popitem(last=False)
        return True
