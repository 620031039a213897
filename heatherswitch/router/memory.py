"""Divides the memory of a router between callers and operators."""

from heatherswitch.util.connection_budget import reservable_bytes
from heatherswitch.util.http import HttpLimits

# Memory of a router whose settings don't state it, in megabytes.
DEFAULT_MEMORY_MB = 1024.0
# Memory of a router without what callers and operators make it hold.
OWN_MEMORY_BYTES = 100_000_000
# Share of the other memory that requests of operators may take.
OPERATOR_SHARE = 0.25
# A body is held as received, in the message to the agent, as gRPC has encoded it, and in
# what gRPC has not sent.
BODY_COPIES = 4


def caller_limits(memory_mb: float) -> HttpLimits:
    """Returns the limits of the callers' listener.

    :param memory_mb: memory of the process, in megabytes.
    """
    memory_bytes = reservable_bytes(memory_mb, OWN_MEMORY_BYTES)
    return HttpLimits(
        memory_bytes=int(memory_bytes * (1 - OPERATOR_SHARE)), body_copies=BODY_COPIES
    )


def operator_memory_bytes(memory_mb: float) -> int:
    """Returns the bytes that requests of operators may hold together.

    :param memory_mb: memory of the process, in megabytes.
    """
    return int(reservable_bytes(memory_mb, OWN_MEMORY_BYTES) * OPERATOR_SHARE)
