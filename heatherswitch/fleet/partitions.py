"""Mapping of idempotency keys to claim partitions, and of partitions to agents."""

from collections.abc import Iterable

from heatherswitch.statecore.hashing import hash64, rendezvous_order


def partition_of(service: str, workspace: str, key: str, partitions: int) -> int:
    """Returns the partition of an idempotency key, in [0, ``partitions``).

    :raises ValueError: if ``partitions`` is below 1.
    """
    if partitions < 1:
        raise ValueError("the number of partitions is below 1")
    return hash64(service, workspace, key) % partitions


def preferred_owner(service: str, partition: int, agents: Iterable[str]) -> str:
    """Returns the agent that should own a partition, or an empty string without agents.

    All processes with the same list of agents get the same result.

    :param agents: ids of the live agents of the service.
    """
    order = rendezvous_order(f"{service}/{partition}", agents)
    return order[0] if order else ""
