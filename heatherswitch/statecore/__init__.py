"""Base layer: reducers, store access, replicated entries and hashing.

Nothing here depends on chats, availability zones or backend servers.
"""

from heatherswitch.statecore.hashing import (
    checksum64,
    hash64,
    rendezvous_order,
    rendezvous_score,
    unit_hash,
)
from heatherswitch.statecore.reducer import Effect, Event, Log, Reducer, write_log

__all__ = [
    "Effect",
    "Event",
    "Log",
    "Reducer",
    "checksum64",
    "hash64",
    "rendezvous_order",
    "rendezvous_score",
    "unit_hash",
    "write_log",
]
