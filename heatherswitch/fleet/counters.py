"""Counters summed over several routers as soft state, with one owner per key.

Each router reports its current count for a key to the owner of the key, which adds up
the reports. Reports expire unless they are refreshed, so nothing has to be undone when
a router, an owner or a message is lost.
"""

from collections.abc import Callable, Iterable, Mapping
from functools import lru_cache

from heatherswitch.statecore.hashing import rendezvous_order
from heatherswitch.util.record import Record

# Time after which a reported count expires, in seconds.
COUNT_TTL_S = 3.0
# Interval at which counts above zero are reported again, in seconds. Two reports in a
# row may be lost before a count expires.
REFRESH_INTERVAL_S = 1.0
# An owner that leaves SUSPECT_AFTER_TIMEOUTS queries in a row unanswered is not queried
# for SUSPECT_DURATION_S seconds; the next router in rank replaces it meanwhile.
SUSPECT_DURATION_S = 2.0
SUSPECT_AFTER_TIMEOUTS = 2
# Number of routers that may act as the owner of a key, in order of rank.
MAX_OWNERS = 2
# Keys whose owners are remembered; an entry takes about 220 bytes.
MAX_CACHED_KEYS = 10_000


class Count(Record):
    """Count for one key, of one router or summed over several.

    :param key: identifies what is counted, for example the requests at a server.
    """

    __slots__ = (
        "key",
        "value",
    )

    def __init__(self, key: str, value: int) -> None:
        self.key = key
        self.value = value


class _Contribution(Record):
    __slots__ = (
        "value",
        "number",
        "reported_at",
    )

    def __init__(self, value: int, number: int, reported_at: float) -> None:
        self.value = value
        self.number = number
        self.reported_at = reported_at


class SharedCounters:
    """Counts per key that routers reported to this router, the owner of the keys.

    For example, the gateways count their open requests at each backend server.
    """

    __slots__ = ("_by_key", "_run_numbers")

    def __init__(self) -> None:
        self._by_key: dict[str, dict[str, _Contribution]] = {}
        # Address of a router to its run number, which differs between its starts.
        self._run_numbers: dict[str, int] = {}

    def update(
        self, now: float, router: str, run: int, number: int, counts: Iterable[Count]
    ) -> None:
        """Stores the counts of one message.

        :param router: address of the sender.
        :param run: run number of the sender. When it changes, the counts of the earlier
            run are dropped, since a restart ends all requests.
        :param number: sequence number of the message; counts older than the stored ones
            are ignored.
        """
        if self._run_numbers.get(router) != run:
            self._run_numbers[router] = run
            self._drop(lambda name, _: name == router)
        for count in counts:
            routers = self._by_key.setdefault(count.key, {})
            known = routers.get(router)
            if known is None or known.number < number:
                routers[router] = _Contribution(max(0, count.value), number, now)

    def sum_of_others(self, now: float, key: str, router: str) -> int:
        """Returns the sum of the valid counts for a key, except those of one router."""
        return sum(
            c.value
            for name, c in self._by_key.get(key, {}).items()
            if name != router and now - c.reported_at < COUNT_TTL_S
        )

    def expire(self, now: float) -> None:
        """Removes expired counts."""
        self._drop(lambda _, c: now - c.reported_at >= COUNT_TTL_S)

    def _drop(self, should_drop: Callable[[str, _Contribution], bool]) -> None:
        for key, routers in list(self._by_key.items()):
            for name in [n for n, c in routers.items() if should_drop(n, c)]:
                del routers[name]
            if not routers:
                del self._by_key[key]


class KeyOwners:
    """Maps keys to the routers that own them and avoids unresponsive owners.

    :param own: id of this router.
    """

    __slots__ = (
        "_addresses",
        "_known_addresses",
        "_own",
        "_ranked_addresses",
        "_suspect_until",
        "_timeouts",
    )

    def __init__(self, own: str) -> None:
        self._own = own
        self._addresses: dict[str, str] = {}
        self._known_addresses: frozenset[str] = frozenset()
        # Keys are ids of servers and of prompt parts, and new parts come all the time.
        self._ranked_addresses = lru_cache(MAX_CACHED_KEYS)(self._rank_addresses)
        # Address to the number of consecutive queries without a response.
        self._timeouts: dict[str, int] = {}
        self._suspect_until: dict[str, float] = {}

    @property
    def addresses(self) -> Mapping[str, str]:
        """Id to address of the routers that can be queried, including this one."""
        return self._addresses

    def update(self, addresses: Mapping[str, str]) -> None:
        """Replaces the live routers that can be queried.

        :param addresses: id to address.
        """
        self._addresses = dict(addresses)
        self._ranked_addresses.cache_clear()
        self._known_addresses = frozenset(self._addresses.values())
        for table in (self._timeouts, self._suspect_until):
            for address in [a for a in table if a not in self._known_addresses]:
                del table[address]

    def has_address(self, address: str) -> bool:
        """Returns whether a listed router has this address."""
        return address in self._known_addresses

    def owner(self, now: float, key: str) -> str | None:
        """Returns the address of the router to query, or None.

        It is the own address when this router owns the key. None means that all
        possible owners are unresponsive, or that this router is not listed.
        """
        if self._own not in self._addresses:
            return None
        for address in self._ranked_addresses(key):
            if now >= self._suspect_until.get(address, 0.0):
                return address
        return None

    def record_response(self, address: str) -> None:
        """Records that a router responded, which ends its suspension."""
        self._timeouts.pop(address, None)
        self._suspect_until.pop(address, None)

    def _rank_addresses(self, key: str) -> tuple[str, ...]:
        """Returns the addresses of a key's possible owners, in order of rank."""
        ids = rendezvous_order(key, self._addresses)[:MAX_OWNERS]
        return tuple(self._addresses[i] for i in ids)

    def record_timeout(self, now: float, address: str) -> None:
        """Records a query that timed out."""
        self._timeouts[address] = self._timeouts.get(address, 0) + 1
        if self._timeouts[address] >= SUSPECT_AFTER_TIMEOUTS:
            self._suspect_until[address] = now + SUSPECT_DURATION_S
