"""Selects the peers of a member: its home routers and random routers.

In a small fleet every agent exchanges with the three home routers of its service. In
a large fleet it exchanges with the home router of its group, which passes the loads of
its agents on to the home router of the service, so that no single router has to serve
a whole pool.
"""

from collections.abc import Iterable, Sequence

from heatherswitch.fleet.members import Member, MemberTable, Role
from heatherswitch.statecore.hashing import hash64, rendezvous_order

# Number of home routers of a member. With three, one stays reachable if an availability
# zone and another router fail. In a large fleet only the first reachable one is used.
HOME_ROUTER_COUNT = 3
# Number of routers that watch the store; more would only add store calls.
STORE_WATCHER_COUNT = 3
# Number of random routers that a router of a small fleet exchanges with in each round.
RANDOM_PEERS_PER_ROUND = 2
# Number of --peers addresses without a known router that a ready process tries in each
# round.
SEEDS_PER_ROUND = 2
# Up to this number of routers, each one can handle the exchanges of all agents of a
# service.
SMALL_FLEET_MAX_ROUTERS = 8
# Average number of agents in a group. A home router exchanges with each of them twice a
# second; the home router of a pool of 83 agents gets the loads of 11 groups twice a
# second.
MEAN_GROUP_SIZE = 8
# In a large fleet an agent also exchanges with a random router, once in this number of
# rounds, so that its group gets changes even if its home router is partitioned off.
AGENT_RANDOM_PEER_PERIOD = 4
# A peer that did not reply is tried only after others for this long, in seconds.
FAILED_PEER_BACKOFF_S = 5.0


def home_key(member: Member) -> str:
    """Returns the rendezvous hash key that determines a member's home routers.

    All agents of a service have the same home routers, so that each of these routers
    knows the load of whole pools.
    """
    is_agent = member.role is Role.AGENT
    return f"home/{member.service}" if is_agent else f"router/{member.id}"


def group_key(agent: Member, agents: int) -> str:
    """Returns the rendezvous hash key for the home routers of an agent's group.

    :param agents: number of agents of the service.
    """
    groups = -(-max(agents, 1) // MEAN_GROUP_SIZE)
    return f"group/{agent.service}/{hash64(agent.id) % groups}"


def select_store_watchers(router_ids: Iterable[str]) -> list[str]:
    """Returns the ids of the routers that shall watch the store."""
    return rendezvous_order("store-watchers", set(router_ids))[:STORE_WATCHER_COUNT]


class HomeRouterMap:
    """Determines the home routers of members.

    Results are cached until the set of live routers changes, because each one takes a
    hash per router.
    """

    __slots__ = ("_home_router_ids", "_own", "_routers")

    def __init__(self) -> None:
        self._own: Member | None = None
        self._routers: dict[str, Member] = {}
        self._home_router_ids: dict[str, list[str]] = {}

    @property
    def is_large_fleet(self) -> bool:
        """True if the fleet is large, so that agents are divided into groups."""
        return len(self._routers) > SMALL_FLEET_MAX_ROUTERS

    def update(self, own: Member, table: MemberTable) -> None:
        """Updates the set of live routers from the membership table."""
        routers = {router.id: router for router in table.routers()}
        if own.role is Role.ROUTER:
            routers[own.id] = own
        if routers.keys() != self._routers.keys():
            self._home_router_ids.clear()
        self._own = own
        self._routers = routers

    def routers_for(self, member: Member, key: str = "") -> list[Member]:
        """Returns the home routers of a member, most preferred first.

        :param key: rendezvous hash key; by default ``home_key(member)``.
        """
        key = key or home_key(member)
        router_ids = self._home_router_ids.get(key)
        if router_ids is None:
            others = self._routers.keys() - {member.id}
            router_ids = rendezvous_order(key, others)[:HOME_ROUTER_COUNT]
            self._home_router_ids[key] = router_ids
        return [self._routers[i] for i in router_ids]

    def is_monitored_here(self, member: Member) -> bool:
        """Tells whether this process detects the failure of a member.

        In a large fleet only the first home router does, because the others hear from
        the member only while the first one does not reply.
        """
        if self._own is None or self._own.role is not Role.ROUTER:
            return False
        home_routers = self.routers_for(member)[
            : 1 if self.is_large_fleet else HOME_ROUTER_COUNT
        ]
        return any(router.id == self._own.id for router in home_routers)


class PeerSelector:
    """Selects the peers of each round and avoids those that failed recently."""

    __slots__ = ("_avoid_until", "_home_routers", "_random", "_round_count", "_seeds")

    def __init__(
        self, home_routers: HomeRouterMap, random, seeds: Sequence[str] = ()
    ) -> None:
        """:param random: source of randomness, as ``random.Random``.
        :param seeds: addresses from ``--peers``.
        """
        self._home_routers = home_routers
        self._random = random
        self._seeds = seeds
        self._round_count = 0
        self._avoid_until: dict[str, float] = {}

    def mark_failed(self, now: float, address: str) -> None:
        """Records that a peer did not reply."""
        self._avoid_until[address] = now + FAILED_PEER_BACKOFF_S

    def mark_reachable(self, address: str) -> None:
        """Records that a peer replied."""
        self._avoid_until.pop(address, None)

    def order_by_reachability(self, now: float, routers: Iterable[Member]) -> list[str]:
        """Returns the addresses of routers, those that failed recently last."""
        addresses = [router.address for router in routers]
        return sorted(addresses, key=lambda a: self._avoid_until.get(a, 0.0) > now)

    def select_peers(
        self, now: float, own: Member, table: MemberTable, ready: bool
    ) -> list[str]:
        """Starts a new round and returns the addresses to exchange with in it.

        :param ready: True if this process is ready. Otherwise all home routers and all
            addresses from ``--peers`` are included.
        """
        self._round_count += 1
        routers = [router for router in table.routers() if router.id != own.id]
        selected = self._home_router_addresses(now, own, table, ready)
        others = [r.address for r in routers if r.address not in selected]
        random_peer_count = self._random_peer_count(own)
        selected += self._random.sample(others, min(random_peer_count, len(others)))
        known = {router.address for router in routers}
        unknown_seeds = [s for s in self._seeds if s not in known and s != own.address]
        if ready:
            # Reconnects the two sides of a network partition that have removed each
            # other's members.
            unknown_seeds = self._random.sample(
                unknown_seeds, min(SEEDS_PER_ROUND, len(unknown_seeds))
            )
        return list(dict.fromkeys(selected + unknown_seeds))

    def _home_router_addresses(self, now, own: Member, table, ready: bool) -> list[str]:
        key = ""
        if own.role is Role.AGENT and self._home_routers.is_large_fleet:
            key = group_key(own, 1 + len(table.agents(own.service)))
        home_routers = [
            r for r in self._home_routers.routers_for(own, key) if r.id != own.id
        ]
        addresses = self.order_by_reachability(now, home_routers)
        # To become ready a process needs replies from two routers.
        return (
            addresses[:1] if self._home_routers.is_large_fleet and ready else addresses
        )

    def _random_peer_count(self, own: Member) -> int:
        if not self._home_routers.is_large_fleet:
            return RANDOM_PEERS_PER_ROUND if own.role is Role.ROUTER else 0
        if own.role is Role.ROUTER:
            return 1
        return 1 if self._round_count % AGENT_RANDOM_PEER_PERIOD == 0 else 0
