"""Differences between this gateway's clock and those of others, from their messages.

No I/O, reads no clock.
"""

from collections import OrderedDict

# Seconds for which the shortest delay of a message counts, since clocks drift.
OFFSET_TTL_S = 600.0
# Maximum number of gateways, among them those that have ended.
MAX_GATEWAYS = 1000


class ClockOffsets:
    """Seconds by which this gateway's clock is ahead of each other one."""

    __slots__ = ("_offsets",)

    def __init__(self) -> None:
        # Offset and the time at which it was found, least recent first.
        self._offsets: OrderedDict[str, tuple[float, float]] = OrderedDict()

    def note(self, now: float, gateway_id: str, written_at: float) -> None:
        """Notes a message that was sent as soon as it was written.

        The delay of a message adds to the offset, so that the least one is nearest.

        :param written_at: time in the message, by its sender's clock.
        """
        offset_s = now - written_at
        known = self._offsets.get(gateway_id)
        if known is None or offset_s < known[0] or now - known[1] >= OFFSET_TTL_S:
            self._offsets[gateway_id] = (offset_s, now)
            self._offsets.move_to_end(gateway_id)
        while len(self._offsets) > MAX_GATEWAYS:
            self._offsets.popitem(last=False)

    def offset_s(self, gateway_id: str) -> float:
        """Returns the offset, or 0 for a gateway that sent no message."""
        return self._offsets.get(gateway_id, (0.0, 0.0))[0]
