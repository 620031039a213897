"""Remembers which prompt parts were completed lately, at this gateway or another one.

A completed request shows that its parts are sound. Gateways tell each other of it only
for parts that are suspected of several crashes. No I/O, reads no clock.
"""

from collections import OrderedDict
from collections.abc import Iterable

from heatherswitch.statecore.hashing import unit_hash

# Seconds after a completed request in which its parts are not suspected of a crash.
EXONERATION_S = 30.0
# Seconds after a completed request in which its parts are suspected of a crash only if
# no part without one explains it. As long as a crash report counts.
COMPLETION_TTL_S = 600.0
# Maximum number of completed parts that a gateway remembers, and of those that wait to
# be shared.
MAX_COMPLETED_PARTS = 60_000
MAX_WAITING_PARTS = 1000
# Crashes from which a completion of the part is shared with other gateways. Most parts in
# reports belong to bystanders of a single crash.
SHARED_CRASHES = 2
# Seconds over which gateways spread their messages about a part that several of them
# have completed. The first message makes the others unnecessary.
SHARE_SPREAD_S = 3.0


class PartCompletions:
    """Times of the last completed requests, by the hash of each prompt part.

    :param gateway_id: id of this gateway.
    """

    __slots__ = ("_at", "_gateway_id", "_shared_at", "_suspected", "_waiting")

    def __init__(self, gateway_id: str) -> None:
        self._gateway_id = gateway_id
        # Time of the last known completion, least recent first.
        self._at: OrderedDict[str, float] = OrderedDict()
        # Time of the last completion that all gateways know of.
        self._shared_at: OrderedDict[str, float] = OrderedDict()
        # Time of each crash of which other gateways suspect a part that was completed.
        self._suspected: OrderedDict[str, dict[tuple[str, int], float]] = OrderedDict()
        # Time at which the completion of a part is to be shared.
        self._waiting: dict[str, float] = {}

    def note(self, at: float, parts: Iterable[str]) -> None:
        """Notes a completed request."""
        for part in parts:
            _set_latest(self._at, part, at, MAX_COMPLETED_PARTS)

    def note_shared(self, at: float, parts: Iterable[str]) -> None:
        """Notes a completed request of which all gateways know."""
        for part in parts:
            _set_latest(self._at, part, at, MAX_COMPLETED_PARTS)
            _set_latest(self._shared_at, part, at, MAX_COMPLETED_PARTS)
            self._waiting.pop(part, None)
            self._suspected.pop(part, None)

    def exonerates(self, part: str, crashed_at: float) -> bool:
        """Tells whether a part is not suspected of a crash."""
        return _is_within(self._at.get(part), crashed_at, EXONERATION_S)

    def is_recent(self, part: str, crashed_at: float) -> bool:
        """Tells whether parts that were not completed are suspected before this one."""
        return _is_within(self._at.get(part), crashed_at, COMPLETION_TTL_S)

    def note_suspected(
        self, now: float, part: str, crash: tuple[str, int], crashed_at: float
    ) -> None:
        """Notes that another gateway suspects a part of a crash.

        The completion of the part is to be shared if it tells the others something.
        """
        if not self._tells_more(part, crashed_at):
            return
        crashes = self._suspected.setdefault(part, {})
        self._suspected.move_to_end(part)
        crashes[crash] = crashed_at
        for other, at in list(crashes.items()):
            if crashed_at - at >= COMPLETION_TTL_S:
                del crashes[other]
        while len(self._suspected) > MAX_WAITING_PARTS:
            dropped, _ = self._suspected.popitem(last=False)
            self._waiting.pop(dropped, None)
        if len(crashes) >= SHARED_CRASHES and part not in self._waiting:
            spread = unit_hash(self._gateway_id, part)
            self._waiting[part] = now + SHARE_SPREAD_S * spread

    def take_due(self, now: float) -> dict[str, float]:
        """Returns the parts whose completions are to be shared now, and their times."""
        due = [part for part, due_at in self._waiting.items() if due_at <= now]
        times = {part: self._at[part] for part in due if part in self._at}
        for part in due:
            del self._waiting[part]
        for part, at in times.items():
            self.note_shared(at, (part,))
        return times

    def _tells_more(self, part: str, crashed_at: float) -> bool:
        """Tells whether this gateway's knowledge of a part excuses more than the shared."""
        own, shared = self._at.get(part), self._shared_at.get(part)
        return any(
            _is_within(own, crashed_at, within_s)
            and not _is_within(shared, crashed_at, within_s)
            for within_s in (EXONERATION_S, COMPLETION_TTL_S)
        )


def _is_within(completed_at: float | None, crashed_at: float, within_s: float) -> bool:
    return completed_at is not None and crashed_at - completed_at < within_s


def _set_latest(
    times: OrderedDict[str, float], part: str, at: float, limit: int
) -> None:
    times[part] = max(at, times.get(part, at))
    times.move_to_end(part)
    while len(times) > limit:
        times.popitem(last=False)
