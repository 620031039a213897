"""All moves between versions at one gateway: which version serves a request."""

from collections.abc import Callable

from heatherswitch.gateway import events as ev
from heatherswitch.gateway.rollouts import Exposure, VersionMove, order_id
from heatherswitch.statecore.hashing import unit_hash

# Tells whether servers of a version may take a request.
VersionRule = Callable[[str], bool]


class VersionMoves:
    """The newest move of each service.

    :param router: id of this gateway.
    :param incarnation: orders the evidence of two runs of the same gateway.
    """

    __slots__ = ("_exposure", "_incarnation", "_moves", "_router")

    def __init__(self, router: str, incarnation: int, exposure: Exposure) -> None:
        self._router = router
        self._incarnation = incarnation
        self._exposure = exposure
        self._moves: dict[str, VersionMove] = {}

    @property
    def by_service(self) -> dict[str, VersionMove]:
        """Newest move of each service."""
        return self._moves

    def on_order(self, now: float, event: ev.RolloutOrdered) -> None:
        """Takes an operator's order or its withdrawal."""
        known = self._moves.get(event.service)
        if event.order is None:
            self._moves.pop(event.service, None)
        elif known is None or known.order.revision != event.order.revision:
            self._moves[event.service] = VersionMove(
                now, event.order, self._router, self._incarnation, self._exposure
            )

    def on_status(self, event: ev.RolloutStatusRead) -> None:
        """Takes a recorded decision."""
        move = self._moves.get(event.service)
        if move is not None:
            move.take_status(event.target, event.state, event.revision)

    def on_progress(self, now: float, event: ev.RolloutProgressRead) -> None:
        """Takes the owner's record."""
        move = self._moves.get(event.service)
        if move is not None and event.progress.move == order_id(move.order):
            move.resume(now, event.progress.stage, event.progress.elapsed_s)

    def on_evidence(self, now: float, event: ev.RolloutEvidenceRead) -> None:
        """Takes what another gateway saw."""
        move = self._moves.get(event.service)
        for record in event.records if move else ():
            move.take_evidence(now, record)

    def tick(self, now: float) -> None:
        """Ends the windows of evidence that are due."""
        for move in self._moves.values():
            move.advance_evidence(now)

    def rules(self, service: str, request_id: str, routers: int) -> list[VersionRule]:
        """Returns which versions may serve a request, the preferred rule first.

        The new version stands in for the old one only when it may take all requests.

        :param routers: gateways among which the exposure bound is divided.
        """
        move = self._moves.get(service)
        if move is None:
            return [_any_version]
        target, share = move.order.target, move.share(routers)
        to_target = unit_hash("rollout", request_id) < share

        def is_target(version: str) -> bool:
            return version == target

        def is_other(version: str) -> bool:
            return version != target

        return [
            is_target if to_target else is_other,
            _any_version if share >= 1.0 else is_other,
        ]

    def count_request(self, service: str, version: str, routers: int) -> bool:
        """Counts a request that is sent to a version.

        :param routers: gateways among which the exposure bound is divided.
        :returns: whether it was drawn between both versions.
        """
        move = self._moves.get(service)
        if move is None:
            return False
        drawn = move.share(routers) > 0
        move.count_request(version == move.order.target)
        return drawn

    def count_answer(
        self,
        now: float,
        service: str,
        route: str,
        version: str,
        failed: bool,
        first_s: float | None,
        drawn: bool,
    ) -> None:
        """Counts an answer of a version.

        :param first_s: seconds to the head of the answer; None if none came.
        :param drawn: what :meth:`count_request` returned for the request.
        """
        move = self._moves.get(service)
        if move is not None:
            move.count_answer(now, route, version, failed, first_s, drawn)


def _any_version(version: str) -> bool:
    return True
