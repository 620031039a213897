"""Intervals and timeouts of a gateway, derived from the bounds of its deployment."""

from heatherswitch.util.record import Record

# Longest time that the response to a watch call takes beyond the time for which the
# store held it, in seconds. Tighter bounds reduce it to the given share of the bound.
MAX_ANSWER_TIMEOUT_S = 0.5
ANSWER_TIMEOUT_SHARE = 0.25
# Margin for a request forwarded on outdated information to reach its server, in
# seconds, and its maximum as a share of the bound.
IN_FLIGHT_MARGIN_S = 0.4
IN_FLIGHT_MARGIN_SHARE = 0.2
# The readiness check fails at this share of the age up to which API keys are accepted,
# at the latest. The platform's balancer takes about two seconds to react.
READY_AGE_SHARE = 0.7
MIN_WATCH_WAIT_S = 0.05
# Pause after changes as a share of the bound and, at most, of the longest time between
# two confirmations.
WATCH_PAUSE_SHARE = 0.5
MAX_WATCH_PAUSE_SHARE = 0.75
# Smallest share of that pause. Gateways that read a change at the same moment would go
# on in step otherwise, and none of them would see the next change early.
MIN_PAUSE_SPREAD = 0.5
# Share of the bound that the changes in one response may take to arrive, and the share
# after which their transfer is given up. The second only matters on a link that callers'
# streams fill.
TRANSFER_SHARE = 0.1
MAX_TRANSFER_SHARE = 0.25
# Share of the link that calls to the store get beside callers' streams.
LINK_SHARE = 0.5
# Throughput of the thinnest links, 5 Mbit/s, in bytes a second.
MIN_LINK_BYTES_PER_S = 625_000.0


class Timing(Record):
    """How often the store is queried and how old its data may be, in seconds.

    :param watch_wait_s: how long the store holds a watch call open if nothing changes:
        the longest time between two confirmations. Each call is billed, and a change is
        reported at once.
    :param answer_timeout_s: a watch call without a response is given up so long after
        the time for which the store holds it.
    :param watch_pause_s: pause between two watch calls after changes, at most.
    :param max_watch_bytes: size of a response above which the newest entries are read
        in place of the changes, the small ones first.
    :param transfer_s: the same for a response that takes longer to arrive.
    :param ready_age_s: age of the configuration above which the readiness check fails,
        so that callers use another gateway.
    :param refuse_age_s: age of the configuration up to which an unknown route or key is
        refused with a final status.
    :param outage_s: the store counts as unreachable after this time without a response;
        a single lost response to a watch takes less.
    :param member_ttl_s: time to live of a router's membership entry. A router that
        crashes keeps its share of fleet-wide limits for that long.
    """

    __slots__ = (
        "watch_wait_s",
        "answer_timeout_s",
        "watch_pause_s",
        "max_watch_bytes",
        "transfer_s",
        "ready_age_s",
        "refuse_age_s",
        "outage_s",
        "member_ttl_s",
    )

    def __init__(
        self,
        watch_wait_s: float,
        answer_timeout_s: float,
        watch_pause_s: float,
        max_watch_bytes: int,
        transfer_s: float,
        ready_age_s: float,
        refuse_age_s: float,
        outage_s: float,
        member_ttl_s: float,
    ) -> None:
        self.watch_wait_s = watch_wait_s
        self.answer_timeout_s = answer_timeout_s
        self.watch_pause_s = watch_pause_s
        self.max_watch_bytes = max_watch_bytes
        self.transfer_s = transfer_s
        self.ready_age_s = ready_age_s
        self.refuse_age_s = refuse_age_s
        self.outage_s = outage_s
        self.member_ttl_s = member_ttl_s

    @classmethod
    def from_bounds(
        cls,
        change_s: float = 2.0,
        key_max_age_s: float = 4.5,
        link_bytes_per_s: float = MIN_LINK_BYTES_PER_S,
    ) -> "Timing":
        """Derives the times from the tightest bounds of the deployment.

        Changes take effect in time even if the response to one watch call is lost.

        :param change_s: seconds within which a change in the store must take effect;
            the tightest bound of all kinds of change.
        :param key_max_age_s: age of the configuration up to which API keys are
            accepted.
        :param link_bytes_per_s: throughput of the link over which the store is read.
        """
        answer_s = min(MAX_ANSWER_TIMEOUT_S, ANSWER_TIMEOUT_SHARE * change_s)
        margin_s = min(IN_FLIGHT_MARGIN_S, IN_FLIGHT_MARGIN_SHARE * change_s)
        ready_s = min(change_s, READY_AGE_SHARE * key_max_age_s)
        # Changes that pile up during a lost call arrive in one response after it.
        response_s = answer_s + TRANSFER_SHARE * change_s
        wait_s = min(change_s - response_s, ready_s) - margin_s
        wait_s = max(MIN_WATCH_WAIT_S, wait_s)
        return cls(
            watch_wait_s=wait_s,
            answer_timeout_s=answer_s,
            watch_pause_s=min(
                WATCH_PAUSE_SHARE * change_s, MAX_WATCH_PAUSE_SHARE * wait_s
            ),
            max_watch_bytes=int(
                TRANSFER_SHARE * change_s * LINK_SHARE * link_bytes_per_s
            ),
            transfer_s=MAX_TRANSFER_SHARE * change_s,
            ready_age_s=ready_s,
            refuse_age_s=change_s,
            outage_s=wait_s + response_s + margin_s,
            member_ttl_s=2 * change_s + 2,
        )


class WatchPacing:
    """Decides when the next call of a watch is sent and how long the store may hold it.

    While nothing changes, a call waits in the store, so that a change is reported at
    once. After changes, further ones are collected for a while.
    """

    __slots__ = ("_confirmed_at", "_timing")

    def __init__(self, timing: Timing, now: float) -> None:
        self._timing = timing
        # What was read before the watch began is at most one pause old.
        self._confirmed_at = now - timing.watch_pause_s

    def hold_s(self, now: float) -> float:
        """Returns the seconds for which the store may hold a call that is sent now."""
        next_at = self._confirmed_at + self._timing.watch_wait_s
        return min(self._timing.watch_wait_s, max(0.0, next_at - now))

    def pause_s(
        self, now: float, current_at: float, changed: bool, spread: float
    ) -> float:
        """Returns the seconds until the next call.

        :param current_at: time up to which the last response is complete. The pause
            counts from there, since a large response takes long to arrive.
        :param changed: the last response contained changes.
        :param spread: random number from 0 to 1.
        """
        self._confirmed_at = current_at
        if not changed:
            return 0.0
        share = MIN_PAUSE_SPREAD + (1 - MIN_PAUSE_SPREAD) * spread
        return max(0.0, current_at + share * self._timing.watch_pause_s - now)
