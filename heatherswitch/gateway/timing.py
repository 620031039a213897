"""Times of a gateway that follow from the bounds of its deployment."""

from dataclasses import dataclass

# Longest wait of a watch in the store, and what its answer may take beyond that, in
# seconds; with tighter bounds both are this part of the bound.
MAX_WATCH_WAIT_S = 0.5
WATCH_WAIT_SHARE = 0.25
# Time in which a request that was sent on old knowledge reaches its server, in seconds,
# and the part of a tighter bound.
IN_FLIGHT_MARGIN_S = 0.4
IN_FLIGHT_MARGIN_SHARE = 0.2
# Part of the age up to which keys are accepted at which callers are sent elsewhere. The
# platform's balancer notices about two seconds later.
READY_AGE_SHARE = 0.7
MIN_WATCH_PAUSE_S = 0.05


@dataclass(frozen=True, slots=True)
class Timing:
    """How often the store is asked, and how old its answers may be, in seconds.

    :param watch_wait_s: a watch waits in the store for a change.
    :param watch_timeout_s: a watch without an answer is lost.
    :param watch_pause_s: between two calls of a watch. Each call is billed.
    :param ready_age_s: age of the configuration above which callers should use another
        gateway.
    :param refuse_age_s: age up to which an unknown route or key is refused for good.
    :param outage_s: without an answer for this long, the store counts as out of reach;
        one lost answer to a watch takes less.
    :param member_ttl_s: time to live of a router's membership. A router that dies keeps
        its share of fleet-wide limits for that long.
    """

    watch_wait_s: float
    watch_timeout_s: float
    watch_pause_s: float
    ready_age_s: float
    refuse_age_s: float
    outage_s: float
    member_ttl_s: float

    @classmethod
    def from_bounds(cls, change_s: float = 2.0, key_max_age_s: float = 4.5) -> "Timing":
        """Derives the times.

        A change is known in time although the answer to one watch is lost.

        :param change_s: seconds in which a change in the store must be in force, the
            tightest of all.
        :param key_max_age_s: age of the configuration up to which keys are accepted.
        """
        wait_s = min(MAX_WATCH_WAIT_S, WATCH_WAIT_SHARE * change_s)
        timeout_s = 2 * wait_s
        margin_s = min(IN_FLIGHT_MARGIN_S, IN_FLIGHT_MARGIN_SHARE * change_s)
        ready_s = min(change_s, READY_AGE_SHARE * key_max_age_s)
        pause_s = min(change_s - timeout_s, ready_s - wait_s) - margin_s
        pause_s = max(MIN_WATCH_PAUSE_S, pause_s)
        return cls(
            watch_wait_s=wait_s,
            watch_timeout_s=timeout_s,
            watch_pause_s=pause_s,
            ready_age_s=ready_s,
            refuse_age_s=change_s,
            outage_s=pause_s + timeout_s + margin_s,
            member_ttl_s=2 * change_s + 2,
        )
