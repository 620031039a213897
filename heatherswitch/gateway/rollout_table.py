"""All rollouts at one gateway and which version of a service may take a request."""

from collections import deque
from collections.abc import Callable

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

# Number of responses per route whose times are kept for a later rollout.
MAX_RECENT_TIMES = 64


class RolloutTable:
    """The latest rollout of each service.

    :param gateway_id: id of this gateway.
    :param incarnation: higher for a later run of this gateway, to order its evidence.
    """

    __slots__ = (
        "_completed_targets",
        "_exposure",
        "_gateway_id",
        "_incarnation",
        "_recent_times",
        "_rollouts",
    )

    def __init__(
        self, gateway_id: str, incarnation: int, exposure: ExposureLimit
    ) -> None:
        self._gateway_id = gateway_id
        self._incarnation = incarnation
        self._exposure = exposure
        self._rollouts: dict[str, Rollout] = {}
        # Version that the last completed rollout of each service left in force.
        self._completed_targets: dict[str, str] = {}
        # Latest responses by service and route while no rollout is running.
        self._recent_times: dict[str, RecentTimes] = {}

    @property
    def by_service(self) -> dict[str, Rollout]:
        """Latest rollout of each service, keyed by service name."""
        return self._rollouts

    def on_order(self, now: float, event: ev.RolloutOrdered) -> None:
        """Starts a rollout for a new order, or drops it if the order is withdrawn."""
        current = self._rollouts.get(event.service)
        if event.order is None:
            self._rollouts.pop(event.service, None)
        elif current is None or current.order.revision != event.order.revision:
            rollout = Rollout(
                now, event.order, self._gateway_id, self._incarnation, self._exposure
            )
            recent = self._recent_times.pop(event.service, {})
            rollout.learn_speed(now, recent)
            rollout.in_force = self._is_in_force(now, event.order, recent)
            self._rollouts[event.service] = rollout

    def on_status(self, event: ev.RolloutStatusRead) -> None:
        """Applies a decision recorded in the store."""
        if event.state is RolloutState.COMPLETED:
            self._completed_targets[event.service] = event.target
        rollout = self._rollouts.get(event.service)
        if rollout is not None:
            rollout.apply_status(event.target, event.state, event.revision)

    def _is_in_force(
        self, now: float, order: RolloutOrder, recent: RecentTimes
    ) -> bool:
        """Tells whether an order's target is the version in force already.

        No rollout was running when the recent attempts were sent, so that each of them
        could get any version. A gateway without recent attempts goes by the last
        completed rollout.

        :param recent: attempts of the service before the order, by route.
        """
        versions = {
            version
            for attempts in recent.values()
            for version, times in attempts
            if now - times.sent_at < MAX_LEARNED_AGE_S
        }
        completed = self._completed_targets.get(order.service)
        return (versions or {completed}) == {order.target}

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

    def tick(self, now: float) -> None:
        """Closes the evidence windows that have reached their length."""
        for rollout in self._rollouts.values():
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
