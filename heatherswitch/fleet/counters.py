"""Counts that several routers share as soft state, each key at one owner.

A router tells the owner of a key its own present count. The owner adds up what it was
told; a count that is not told again runs out, so that nothing has to be taken back when a
router, the owner or a message is lost.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from heatherswitch.statecore.hashing import rendezvous_order

# A count that was not told again for this long no longer counts, in seconds.
COUNT_TTL_S = 3.0
# Counts above zero are told again after this long, in seconds: two may be lost.
REFRESH_S = 1.0
# An owner that left two questions in a row without an answer is not asked for this long,
# in seconds; the next in rank takes its place meanwhile.
SUSPECT_S = 2.0
SUSPECT_AFTER = 2
# Owners that are tried for a key, in order of rank.
MAX_OWNERS = 2


@dataclass(frozen=True, slots=True)
class Count:
    """How many of something a router has, or all others together.

    :param key: names what is counted.
    """

    key: str
    value: int


@dataclass(slots=True)
class _Contribution:
    value: int
    number: int
    told_at: float


class SharedCounters:
    """What other routers told the owner of some keys."""

    __slots__ = ("_by_key", "_runs")

    def __init__(self) -> None:
        self._by_key: dict[str, dict[str, _Contribution]] = {}
        # Address of a router to the number that differs between its starts.
        self._runs: dict[str, int] = {}

    def note(
        self, now: float, router: str, run: int, number: int, counts: Iterable[Count]
    ) -> None:
        """Takes the counts of one message.

        :param router: address of the sender.
        :param run: differs between two starts of the sender; the requests of the start
            before have ended.
        :param number: rises with each message; an older one changes nothing.
        """
        if self._runs.get(router) != run:
            self._runs[router] = run
            self._drop(lambda name, _: name == router)
        for count in counts:
            routers = self._by_key.setdefault(count.key, {})
            known = routers.get(router)
            if known is None or known.number < number:
                routers[router] = _Contribution(max(0, count.value), number, now)

    def others(self, now: float, key: str, router: str) -> int:
        """Returns the sum for a key without the count of one router."""
        return sum(
            c.value
            for name, c in self._by_key.get(key, {}).items()
            if name != router and now - c.told_at < COUNT_TTL_S
        )

    def expire(self, now: float) -> None:
        """Forgets counts that ran out."""
        self._drop(lambda _, c: now - c.told_at >= COUNT_TTL_S)

    def _drop(self, unwanted: Callable[[str, _Contribution], bool]) -> None:
        for key, routers in list(self._by_key.items()):
            for name in [n for n, c in routers.items() if unwanted(n, c)]:
                del routers[name]
            if not routers:
                del self._by_key[key]


class Owners:
    """Which router owns a key, and which owners give no answer.

    :param own: id of this router.
    """

    __slots__ = (
        "_addresses",
        "_known",
        "_missed",
        "_own",
        "_ranked",
        "_suspect_until",
    )

    def __init__(self, own: str) -> None:
        self._own = own
        self._addresses: dict[str, str] = {}
        self._known: frozenset[str] = frozenset()
        # Key to the addresses of its owners in order of rank.
        self._ranked: dict[str, tuple[str, ...]] = {}
        # Address to the questions in a row that were not answered.
        self._missed: dict[str, int] = {}
        self._suspect_until: dict[str, float] = {}

    @property
    def addresses(self) -> Mapping[str, str]:
        """Id to address of the routers that can be asked, with this one."""
        return self._addresses

    def update(self, addresses: Mapping[str, str]) -> None:
        """Takes the list of live routers that can be asked."""
        self._addresses = dict(addresses)
        self._ranked.clear()
        self._known = frozenset(self._addresses.values())
        for table in (self._missed, self._suspect_until):
            for address in [a for a in table if a not in self._known]:
                del table[address]

    def knows(self, address: str) -> bool:
        """Tells whether a listed router has this address."""
        return address in self._known

    def owner(self, now: float, key: str) -> str | None:
        """Returns the address of the router to ask, or None if none answers.

        It is the address of this router where this router owns the key.
        """
        if self._own not in self._addresses:
            return None
        ranked = self._ranked.get(key)
        if ranked is None:
            ids = rendezvous_order(key, self._addresses)[:MAX_OWNERS]
            ranked = self._ranked[key] = tuple(self._addresses[i] for i in ids)
        for address in ranked:
            if now >= self._suspect_until.get(address, 0.0):
                return address
        return None

    def answered(self, address: str) -> None:
        """Notes that a router answered."""
        self._missed.pop(address, None)
        self._suspect_until.pop(address, None)

    def missed(self, now: float, address: str) -> None:
        """Notes a question without an answer."""
        self._missed[address] = self._missed.get(address, 0) + 1
        if self._missed[address] >= SUSPECT_AFTER:
            self._suspect_until[address] = now + SUSPECT_S
