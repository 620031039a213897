"""Counts which share of a route's requests a quarantined group of prompt parts keeps back.

Callers of a route often share the first parts of their prompts. A group that most of its
requests hold is an unlikely cause of crashes, and the costliest one to refuse wrongly.
No I/O, reads no clock.
"""

from collections.abc import Collection

# Share of a route's requests above which single ones are let through, and the number of
# requests from which the share is known.
COMMON_SHARE = 0.8
MIN_REQUESTS = 8
# Maximum number of routes that are counted for one group.
MAX_ROUTES = 1000


class GroupShares:
    """Requests since a group was quarantined, by group and route."""

    __slots__ = ("_counts",)

    def __init__(self) -> None:
        # Number of requests with the whole group, and of all, by route.
        self._counts: dict[frozenset[str], dict[str, tuple[int, int]]] = {}

    def note_request(
        self,
        groups: Collection[frozenset[str]],
        route: str,
        parts: Collection[str],
    ) -> None:
        """Counts a request that arrived.

        :param groups: the quarantined groups; the counts of others are forgotten.
        """
        if self._counts.keys() != set(groups):
            self._counts = {group: self._counts.get(group, {}) for group in groups}
        for group, routes in self._counts.items():
            if route not in routes and len(routes) >= MAX_ROUTES:
                continue
            held, total = routes.get(route, (0, 0))
            routes[route] = (held + group.issubset(parts), total + 1)

    def is_common(self, group: frozenset[str], route: str) -> bool:
        """Tells whether nearly all requests of a route are known to hold a group."""
        held, total = self._counts.get(group, {}).get(route, (0, 0))
        return total >= MIN_REQUESTS and held > COMMON_SHARE * total
