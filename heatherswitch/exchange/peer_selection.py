"""Whom a member exchanges with: home routers, groups of agents and random peers.

In a small fleet every agent exchanges with the three home routers of its service. In
a large one it exchanges with the home router of its group, which passes the loads of
its agents on to the home router of the service, so that no router carries a pool.
"""

from collections.abc import Iterable, Sequence

from heatherswitch.fleet.members import Member, MemberTable, Role
from heatherswitch.statecore.hashing import hash64, rendezvous_order

# Home routers of a member. Three keep one reachable when a zone and one more router
# are lost. In a large fleet the first that answers is used.
HOME_ROUTER_COUNT = 3
# Routers that watch the store; more would only add store calls.
STORE_WATCHER_COUNT = 3
# Other routers that a router picks at random in each round.
RANDOM_PEERS_PER_ROUND = 2
# Unknown --peers addresses that are tried in each round of a started process.
SEEDS_PER_ROUND = 2
# Up to this many routers every one can afford to hear all agents of a service.
SMALL_FLEET_MAX_ROUTERS = 8
# Agents of one group on average. A home router answers each twice a second; the home
# router of a pool of 83 hears its 11 groups twice a second.
MEAN_GROUP_SIZE = 8
# In a large fleet an agent also asks a random router in every this many rounds, so
# that a home router that is cut off does not keep changes from its group.
AGENT_RANDOM_PEER_PERIOD = 4
# A peer that did not answer is passed over for this long, in seconds.
FAILED_PEER_BACKOFF_S = 5.0


def home_key(member: Member) -> str:
    """Returns the rendezvous key of a member's home routers.

    Agents of one service share them, so that each sees the load of whole pools.
    """
    is_agent = member.role is Role.AGENT
    return f"home/{member.service}" if is_agent else f"router/{member.id}"


def group_key(agent: Member, agents: int) -> str:
    """Returns the rendezvous key of the home routers of an agent's group.

    :param agents: number of agents of the service.
    """
    groups = -(-max(agents, 1) // MEAN_GROUP_SIZE)
    return f"group/{agent.service}/{hash64(agent.id) % groups}"


def select_store_watchers(router_ids: Iterable[str]) -> list[str]:
    """Returns the ids of the routers that watch the store."""
    return rendezvous_order("store-watchers", set(router_ids))[:STORE_WATCHER_COUNT]


class HomeRouterMap:
    """Remembers the home routers by key.

    The answers are kept until the set of live routers changes, because each one
    takes a hash per router.
    """

    __slots__ = ("_home_router_ids", "_own", "_routers")

    def __init__(self) -> None:
        self._own: Member | None = None
        self._routers: dict[str, Member] = {}
        self._home_router_ids: dict[str, list[str]] = {}

    @property
    def is_large_fleet(self) -> bool:
        """True when agents exchange with the home router of their group only."""
        return len(self._routers) > SMALL_FLEET_MAX_ROUTERS

    def update(self, own: Member, table: MemberTable) -> None:
        """Takes the live routers of this round."""
        routers = {router.id: router for router in table.routers()}
        if own.role is Role.ROUTER:
            routers[own.id] = own
        if routers.keys() != self._routers.keys():
            self._home_router_ids.clear()
        self._own = own
        self._routers = routers

    def routers_for(self, member: Member, key: str = "") -> list[Member]:
        """Returns the home routers of a member, most preferred first.

        :param key: key of the member's group; by default that of its service.
        """
        key = key or home_key(member)
        order = self._home_router_ids.get(key)
        if order is None:
            others = self._routers.keys() - {member.id}
            order = rendezvous_order(key, others)[:HOME_ROUTER_COUNT]
            self._home_router_ids[key] = order
        return [self._routers[i] for i in order]

    def is_home_router_of(self, member: Member) -> bool:
        """Tells whether the own process watches over a member.

        In a large fleet that is the first home router alone, because the others
        hear the member only while the first one does not answer.
        """
        if self._own is None or self._own.role is not Role.ROUTER:
            return False
        home_routers = self.routers_for(member)[
            : 1 if self.is_large_fleet else HOME_ROUTER_COUNT
        ]
        return any(router.id == self._own.id for router in home_routers)


class PeerSelector:
    """Chooses the peers of each round and passes over those that failed."""

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
        """Notes that a peer did not answer."""
        self._avoid_until[address] = now + FAILED_PEER_BACKOFF_S

    def mark_reachable(self, address: str) -> None:
        """Notes that a peer answered."""
        self._avoid_until.pop(address, None)

    def order_by_reachability(self, now: float, routers: Iterable[Member]) -> list[str]:
        """Returns the addresses of routers; those that failed lately come last."""
        addresses = [router.address for router in routers]
        return sorted(addresses, key=lambda a: self._avoid_until.get(a, 0.0) > now)

    def choose(
        self, now: float, own: Member, table: MemberTable, ready: bool
    ) -> list[str]:
        """Returns the addresses to exchange with in this round."""
        self._round_count += 1
        routers = [router for router in table.routers() if router.id != own.id]
        targets = self._home_targets(now, own, table, ready)
        others = [r.address for r in routers if r.address not in targets]
        random_peer_count = self._random_peer_count(own)
        targets += self._random.sample(others, min(random_peer_count, len(others)))
        known = {router.address for router in routers}
        unknown_seeds = [s for s in self._seeds if s not in known and s != own.address]
        if ready:
            # Finds routers again after a network partition in which both sides
            # removed each other.
            unknown_seeds = self._random.sample(
                unknown_seeds, min(SEEDS_PER_ROUND, len(unknown_seeds))
            )
        return list(dict.fromkeys(targets + unknown_seeds))

    def _home_targets(self, now, own: Member, table, ready: bool) -> list[str]:
        key = ""
        if own.role is Role.AGENT and self._home_routers.is_large_fleet:
            key = group_key(own, 1 + len(table.agents(own.service)))
        home_routers = [
            r for r in self._home_routers.routers_for(own, key) if r.id != own.id
        ]
        addresses = self.order_by_reachability(now, home_routers)
        # Readiness needs the answers of two routers.
        return (
            addresses[:1] if self._home_routers.is_large_fleet and ready else addresses
        )

    def _random_peer_count(self, own: Member) -> int:
        if not self._home_routers.is_large_fleet:
            return RANDOM_PEERS_PER_ROUND if own.role is Role.ROUTER else 0
        if own.role is Role.ROUTER:
            return 1
        return 1 if self._round_count % AGENT_RANDOM_PEER_PERIOD == 0 else 0
