"""Stable hashes and weighted rendezvous hashing."""

import math
from collections.abc import Iterable

import xxhash

# Number of different xxh3-64 values.
HASH_SPACE = 2**64


def hash64(*parts: str) -> int:
    """Hashes strings to 64 bits.

    They are length-prefixed, so that ("a", "bc") and ("ab", "c") differ.

    :returns: an integer in [0, 2**64).
    """
    hasher = xxhash.xxh3_64()
    for part in parts:
        data = part.encode()
        hasher.update(len(data).to_bytes(4, "big"))
        hasher.update(data)
    return hasher.intdigest()


def unit_hash(*parts: str) -> float:
    """Hashes strings to a float in [0, 1)."""
    # A float holds 53 bits exactly, so that the result is never rounded up to 1.0.
    return (hash64(*parts) >> 11) / 2**53


def checksum64(data: bytes) -> int:
    """Returns the xxh3-64 checksum of ``data``."""
    return xxhash.xxh3_64_intdigest(data)


def rendezvous_score(key: str, node: str, weight: float = 1.0) -> float:
    """Returns the weighted rendezvous score of ``node`` for ``key``.

    Uses the logarithm method of weighted rendezvous hashing. The node with the
    highest score is the most preferred one.

    :param weight: relative share of the keys; must be above 0.
    """
    value = (hash64(key, node) + 0.5) / HASH_SPACE
    return -weight / math.log(value)


def rendezvous_order(key: str, nodes: Iterable[str]) -> list[str]:
    """Orders ``nodes`` by preference for ``key``, most preferred first.

    The removal of a node leaves the order of the others unchanged.
    """
    return sorted(nodes, key=lambda node: (hash64(key, node), node), reverse=True)
