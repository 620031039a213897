"""Placement policies, which score the agents of a pool for a request."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

from heatherswitch.fleet.members import Member
from heatherswitch.statecore.hashing import hash64, rendezvous_score, unit_hash


@dataclass(frozen=True, slots=True)
class PlacementKey:
    """Properties of a request that determine the order of the agents.

    :param chat_key: chat of the request, or the partition of its claim.
    :param owner: id of the agent that owns the claim partition; empty for none.
    :param request_id: id of the request, which differs within a chat.
    """

    service: str
    workspace: str
    chat_key: str
    owner: str = ""
    request_id: str = ""


# Maps an agent and its weight to a score; the agent with the highest is tried first.
Scorer = Callable[[Member, float], float]


class PlacementPolicy(Protocol):
    """Scores the agents of a pool for a request."""

    def scorer(self, key: PlacementKey) -> Scorer:
        """Returns the function that scores the agents for one request."""


class Affinity:
    """Weighted rendezvous hashing by chat, so that a chat finds its prefix cache."""

    __slots__ = ()

    def scorer(self, key: PlacementKey) -> Scorer:
        """Returns a scorer that is the same for all requests of a chat."""
        chat = f"{hash64(key.workspace, key.chat_key):016x}"
        return lambda member, weight: rendezvous_score(chat, member.id, weight)


class RandomPlacement:
    """Random order for each request; a baseline for benchmarks."""

    __slots__ = ()

    def scorer(self, key: PlacementKey) -> Scorer:
        """Returns a scorer that depends only on the request and the agent."""
        return lambda member, weight: unit_hash(key.request_id, member.id)


class LeastLoaded:
    """Least load per weight, by the loads last known to the router."""

    __slots__ = ()

    def scorer(self, key: PlacementKey) -> Scorer:
        """Returns a scorer that breaks ties by a hash of the request."""

        def score(member: Member, weight: float) -> float:
            tie = unit_hash(key.request_id, member.id) / (2 * weight)
            return -member.load.total / weight + tie

        return score


# Policy for each value of the setting ``routing.policy``.
POLICIES: Mapping[str, PlacementPolicy] = {
    "affinity": Affinity(),
    "random": RandomPlacement(),
    "least_loaded": LeastLoaded(),
}
