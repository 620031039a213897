"""Groups of prompt parts that were quarantined until the crash reports expired.

The part at fault may still be in requests then. Single requests with such a group are let
through: a completed one shows that its parts are sound, and one that crashes a server
quarantines the group again, each time for twice as long. No I/O, reads no clock.
"""

from collections import OrderedDict
from collections.abc import Collection

from heatherswitch.gateway.crash_report import CrashReport
from heatherswitch.util.backoff import doubled_delay_s

# Seconds for which a group is quarantined after a further crash, and the maximum.
FIRST_HOLD_S = 1200.0
MAX_HOLD_S = 24 * 3600.0
# Maximum number of groups that are remembered.
MAX_EXPIRED_GROUPS = 100


class _Hold:
    """The last further crash on a group.

    :ivar crashes: number of further crashes.
    :ivar crash: the last one; None if there was none.
    :ivar at: time of it, in seconds of the clock.
    :ivar hold_s: seconds of quarantine after it.
    """

    __slots__ = ("at", "crash", "crashes", "hold_s")

    def __init__(self) -> None:
        self.crashes = 0
        self.crash: tuple[str, int] | None = None
        self.at = float("-inf")
        self.hold_s = 0.0

    def is_active(self, now: float) -> bool:
        """Tells whether the group is quarantined.

        A report from a clock that is far ahead has no effect until that time is near.
        """
        return abs(now - self.at) < self.hold_s


class ExpiredGroups:
    """The groups whose reports have expired, the newest last."""

    __slots__ = ("_holds",)

    def __init__(self) -> None:
        self._holds: OrderedDict[frozenset[str], _Hold] = OrderedDict()

    def __len__(self) -> int:
        return len(self._holds)

    def add(self, group: frozenset[str]) -> None:
        """Adds a group; if there are too many, the oldest one is forgotten."""
        self._holds[group] = _Hold()
        while len(self._holds) > MAX_EXPIRED_GROUPS:
            self._holds.popitem(last=False)

    def blocks(self, now: float, parts: Collection[str]) -> bool:
        """Tells whether a prompt contains all parts of a quarantined group."""
        return any(
            h.is_active(now) and g.issubset(parts) for g, h in self._holds.items()
        )

    def find(self, now: float, parts: Collection[str]) -> frozenset[str] | None:
        """Returns a group of a prompt of which single requests are let through."""
        for group, hold in self._holds.items():
            if not hold.is_active(now) and group.issubset(parts):
                return group
        return None

    def note_crash(self, report: CrashReport) -> tuple[frozenset[str], ...]:
        """Quarantines the groups of a crashed request; returns them."""
        found = []
        for group, hold in self._holds.items():
            if hold.is_active(report.at) or not group.issubset(report.parts):
                continue
            hold.hold_s = doubled_delay_s(FIRST_HOLD_S, hold.crashes, MAX_HOLD_S)
            hold.crashes += 1
            hold.crash, hold.at = report.crash, report.at
            found.append(group)
        return tuple(found)

    def note_alive(self, crash: tuple[str, int]) -> tuple[frozenset[str], ...]:
        """Ends the quarantine for a crash that was none; returns its groups."""
        found = tuple(g for g, h in self._holds.items() if h.crash == crash)
        for group in found:
            self._holds[group] = _Hold()
        return found

    def clear(self, parts: Collection[str]) -> tuple[frozenset[str], ...]:
        """Forgets the groups that hold a part which is sound; returns them."""
        found = tuple(g for g in self._holds if not g.isdisjoint(parts))
        for group in found:
            del self._holds[group]
        return found

    def suspects(self, part: str) -> bool:
        """Tells whether a part is in a group."""
        return any(part in group for group in self._holds)
