"""Placement policies: how an agent scores for a request."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

from heatherswitch.fleet.members import Member
from heatherswitch.statecore.hashing import hash64, rendezvous_score, unit_hash


@dataclass(frozen=True, slots=True)
class PlacementKey:
    """What decides the preference order.

    :param chat_key: chat of the request, or the partition of its claim.
    :param owner: agent that owns the claim partition; empty for none.
    :param request_id: differs between the requests of a chat.
    """

    service: str
    workspace: str
    chat_key: str
    owner: str = ""
    request_id: str = ""


# Returns the score of an agent with a weight; the highest is tried first.
Scorer = Callable[[Member, float], float]


class PlacementPolicy(Protocol):
    """Ranks the agents of a pool for a request."""

    def scorer(self, key: PlacementKey) -> Scorer:
        """Returns the function that scores the agents for one request."""


class Affinity:
    """Weighted rendezvous hashing on the chat, so that it finds its cache."""

    __slots__ = ()

    def scorer(self, key: PlacementKey) -> Scorer:
        """Returns the same scores for all requests of a chat."""
        chat = f"{hash64(key.workspace, key.chat_key):016x}"
        return lambda member, weight: rendezvous_score(chat, member.id, weight)


class RandomPlacement:
    """A random order for each request; a baseline for measurements."""

    __slots__ = ()

    def scorer(self, key: PlacementKey) -> Scorer:
        """Returns scores that depend on the request alone."""
        return lambda member, weight: unit_hash(key.request_id, member.id)


class LeastLoaded:
    """The agent with the least load per weight, as the router last saw it."""

    __slots__ = ()

    def scorer(self, key: PlacementKey) -> Scorer:
        """Returns scores whose ties are broken by the request."""

        def score(member: Member, weight: float) -> float:
            tie = unit_hash(key.request_id, member.id) / (2 * weight)
            return -member.load.total / weight + tie

        return score


# Policies by the value of ``routing.policy``.
POLICIES: Mapping[str, PlacementPolicy] = {
    "affinity": Affinity(),
    "random": RandomPlacement(),
    "least_loaded": LeastLoaded(),
}
