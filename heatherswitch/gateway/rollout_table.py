"""All rollouts at one gateway and which version of a service may take a request."""

from collections import deque
from collections.abc import Callable, Collection

from heatherswitch.gateway import events as ev
from heatherswitch.gateway.response_speed import AttemptTimes
from heatherswitch.gateway.rollouts import (
    MAX_LEARNED_AGE_S,
    ExposureLimit,
    RecentTimes,
    Rollout,
    RolloutOrder,
    RolloutState,
    rollout_id,
)
from heatherswitch.statecore.hashing import unit_hash

# Returns True if servers of a version may take a request.
VersionFilter = Callable[[str], bool]

# Seconds after a restore of the store for which an order with the content of the one that
# is held is that order, written again.
ORDER_REWRITE_S = 10.0
# Seconds after a restore for which an earlier order that the backup brings back is not
# followed: operators write the lost one again.
EARLIER_ORDER_GRACE_S = 2.0
# Number of responses per route whose times are kept for a later rollout.
MAX_RECENT_TIMES = 64


class RolloutTable:
    """The latest rollout of each service.

    :param gateway_id: id of this gateway.
    :param incarnation: higher for a later run of this gateway, to order its evidence.
    """

    __slots__ = (
        "_decisions",
        "_earlier_orders",
        "_exposure",
        "_gateway_id",
        "_incarnation",
        "_recent_times",
        "_restored_at",
        "_rollouts",
        "_served_alone",
    )

    def __init__(
        self, gateway_id: str, incarnation: int, exposure: ExposureLimit
    ) -> None:
        self._gateway_id = gateway_id
        self._incarnation = incarnation
        self._exposure = exposure
        self._rollouts: dict[str, Rollout] = {}
        # Time at which the store was last restored from a backup.
        self._restored_at = float("-inf")
        # Orders of the backup that are earlier than the held ones, by service.
        self._earlier_orders: dict[str, ev.RolloutOrdered] = {}
        # Last decision on a version of each service, and the state that it left.
        self._decisions: dict[str, tuple[str, RolloutState]] = {}
        # When a version last served requests that no rollout had sent to it.
        self._served_alone: dict[str, dict[str, float]] = {}
        # Latest responses by service and route while no rollout is running.
        self._recent_times: dict[str, RecentTimes] = {}

    @property
    def by_service(self) -> dict[str, Rollout]:
        """Latest rollout of each service, keyed by service name."""
        return self._rollouts

    def on_order(
        self, now: float, event: ev.RolloutOrdered, listed_versions: Collection[str]
    ) -> None:
        """Starts a rollout for a new order, or drops it if the order is withdrawn.

        :param listed_versions: versions of the service's servers in the store.
        """
        current = self._rollouts.get(event.service)
        self._earlier_orders.pop(event.service, None)
        if event.order is None:
            self._rollouts.pop(event.service, None)
        elif current is not None and self._was_written_again(now, current, event.order):
            current.adopt_order(event.order)
        elif current is not None and self._is_earlier(now, current, event.order):
            self._earlier_orders[event.service] = event
        elif current is None or current.order.position != event.order.position:
            rollout = Rollout(
                now, event.order, self._gateway_id, self._incarnation, self._exposure
            )
            rollout.learn_speed(now, self._recent_times.pop(event.service, {}))
            rollout.was_in_force = self._was_in_force(now, event.order, current)
            rollout.update_versions(listed_versions)
            self._rollouts[event.service] = rollout

    def note_restored(self, now: float) -> None:
        """Notes that the store was restored from a backup, with earlier orders."""
        self._restored_at = now
        for rollout in self._rollouts.values():
            rollout.note_restored()

    def _was_written_again(
        self, now: float, current: Rollout, order: RolloutOrder
    ) -> bool:
        """Tells whether an order is the held one, written again after a restore."""
        is_later = order.position.era > 0 and order.position > current.order.position
        since_s = now - self._restored_at
        return is_later and since_s < ORDER_REWRITE_S and order.repeats(current.order)

    def _is_earlier(self, now: float, current: Rollout, order: RolloutOrder) -> bool:
        """Tells whether a backup brought an order back that the held one had replaced.

        Revisions of the backup are those of the former era.
        """
        held, read = current.order.position, order.position
        from_backup = read.era > held.era and read.revision < held.revision
        return from_backup and now - self._restored_at < EARLIER_ORDER_GRACE_S

    def on_status(self, event: ev.RolloutStatusRead) -> None:
        """Applies a decision recorded in the store."""
        if event.state is not RolloutState.RUNNING:
            self._decisions[event.service] = event.target, event.state
        rollout = self._rollouts.get(event.service)
        if rollout is not None:
            rollout.apply_status(event.target, event.state, event.position)

    def _was_in_force(
        self, now: float, order: RolloutOrder, current: Rollout | None
    ) -> bool:
        """Tells whether an order's target was in force when the order came.

        That is the version of the last completed rollout, or one that has served requests
        without a rollout.

        :param current: the rollout of the order before, or None.
        """
        target = order.target
        decided, state = self._decisions.get(order.service, ("", RolloutState.RUNNING))
        if decided == target:
            return state is RolloutState.COMPLETED
        if current is not None and current.order.target == target:
            return current.was_in_force
        served = self._served_alone.get(order.service, {})
        return now - served.get(target, float("-inf")) < MAX_LEARNED_AGE_S

    def on_progress(self, now: float, event: ev.RolloutProgressRead) -> None:
        """Applies progress that the owner recorded."""
        rollout = self._rollouts.get(event.service)
        if rollout is not None and event.progress.rollout_id == rollout_id(
            rollout.order
        ):
            rollout.apply_progress(now, event.progress.stage, event.progress.elapsed_s)

    def on_evidence(self, now: float, event: ev.RolloutEvidenceRead) -> None:
        """Adds the evidence of another gateway."""
        rollout = self._rollouts.get(event.service)
        for record in event.records if rollout else ():
            rollout.add_evidence(now, record)

    def tick(
        self, now: float, listed_versions: Callable[[str], Collection[str]]
    ) -> None:
        """Closes the evidence windows that have reached their length.

        :param listed_versions: returns the versions of a service's servers in the store.
        """
        if now - self._restored_at >= EARLIER_ORDER_GRACE_S:
            # No order was written in their place.
            for event in list(self._earlier_orders.values()):
                self.on_order(now, event, listed_versions(event.service))
        for service, rollout in self._rollouts.items():
            rollout.update_versions(listed_versions(service))
            rollout.advance_evidence(now)

    def version_filters(
        self, now: float, service: str, request_id: str, gateways: int
    ) -> list[VersionFilter]:
        """Returns filters for the versions that may serve a request, preferred first.

        The new version replaces an unavailable old one only once it may take all
        requests.

        :param gateways: number of gateways that share the exposure bound.
        """
        rollout = self._rollouts.get(service)
        if rollout is None:
            return [_any_version]
        target, share = rollout.order.target, rollout.share(now, gateways)
        to_target = unit_hash("rollout", request_id) < share

        def is_target(version: str) -> bool:
            return version == target

        def is_other(version: str) -> bool:
            return version != target

        return [
            is_target if to_target else is_other,
            _any_version if share >= 1.0 else is_other,
        ]

    def count_request(
        self, now: float, service: str, version: str, gateways: int
    ) -> bool:
        """Counts a request that is sent to a version.

        :param gateways: number of gateways that share the exposure bound.
        :returns: True if it was assigned to one of both versions at random.
        """
        rollout = self._rollouts.get(service)
        if rollout is None:
            return False
        randomized = rollout.share(now, gateways) > 0
        rollout.count_request(version == rollout.order.target)
        return randomized

    def count_response(
        self,
        now: float,
        service: str,
        route: str,
        version: str,
        failed: bool,
        times: AttemptTimes,
        randomized: bool,
    ) -> None:
        """Counts a response of a version that has ended.

        :param randomized: what :meth:`count_request` returned for the request.
        """
        rollout = self._rollouts.get(service)
        rolled_back = rollout is not None and rollout.state is RolloutState.ROLLED_BACK
        if rollout is None or (rolled_back and version != rollout.order.target):
            self._served_alone.setdefault(service, {})[version] = times.sent_at
        if rollout is None or rollout.state is not RolloutState.RUNNING:
            routes = self._recent_times.setdefault(service, {})
            recent = routes.setdefault(route, deque(maxlen=MAX_RECENT_TIMES))
            recent.append((version, times))
        if rollout is not None:
            rollout.count_response(now, route, version, failed, times, randomized)

    def count_speed(
        self,
        now: float,
        service: str,
        route: str,
        version: str,
        times: AttemptTimes,
    ) -> None:
        """Counts whether a response is slow, if that is known before its end.

        The request must have been assigned to one of both versions at random.
        """
        rollout = self._rollouts.get(service)
        if rollout is not None:
            rollout.count_speed(now, route, version, times)


def _any_version(version: str) -> bool:
    return True
