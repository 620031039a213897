"""Checks that the gateways' repeats stay within the fleet's retry budget."""

from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from emulator.platform.configuration_checks import versions_in_force
from emulator.platform.soak_checks import History

# Seconds of the sliding window in which repeats are counted.
BUDGET_WINDOW_S = 10.0


@dataclass(frozen=True, slots=True)
class BudgetUse:
    """Repeats in the window in which a service used most of its retry budget.

    :param ends_at: end of the window, in seconds of the monotonic clock.
    :param repeats: arrivals beyond the first of each request.
    :param allowed: number of repeats that the budget allows.
    """

    service: str
    ends_at: float
    repeats: int
    allowed: float

    @property
    def share(self) -> float:
        """Repeats as a share of the allowed ones; above 1 the budget is exceeded."""
        return self.repeats / self.allowed


def worst_budget_use(
    service: str,
    sent_at: Iterable[float],
    arrivals: Iterable[tuple[float, str]],
    ratio: float,
    slack: float,
    window_s: float = BUDGET_WINDOW_S,
) -> BudgetUse | None:
    """Returns the window in which the repeats exceed the budget most.

    The requests are counted in the window itself, the one before it, or the one half a
    window before it, whichever has most.

    :param service: name of the service.
    :param sent_at: when callers sent requests for the service, in seconds.
    :param arrivals: when each request, given by its id, reached a server of the service.
    :param ratio: repeats allowed per request.
    :param slack: repeats allowed in each window in addition.
    :returns: None if no request was repeated.
    """
    requests = sorted(sent_at)
    seen: set[str] = set()
    repeats = []
    for at, request_id in sorted(arrivals):
        if request_id in seen:
            repeats.append(at)
        seen.add(request_id)

    def requests_until(end: float) -> int:
        return bisect_right(requests, end) - bisect_left(requests, end - window_s)

    worst = None
    for number, at in enumerate(repeats, start=1):
        count = number - bisect_left(repeats, at - window_s)
        shifts = (0.0, window_s / 2, window_s)
        most = max(requests_until(at - shift) for shift in shifts)
        use = BudgetUse(service, at, count, ratio * most + slack)
        if worst is None or use.share > worst.share:
            worst = use
    return worst


def worst_uses(history: History, ratio: float, slack: float) -> list[BudgetUse]:
    """Returns the worst window of each service whose requests were repeated.

    A request counts for each service to which a version that may be in force sends it,
    and for those that it reached.
    """
    arrivals = defaultdict(list)
    reached = defaultdict(set)
    for arrival in history.arrivals:
        service = history.services[arrival.server_id]
        arrivals[service].append((arrival.at, arrival.id))
        reached[arrival.id].add(service)
    sent_at = defaultdict(list)
    for call in history.calls:
        versions = versions_in_force(history, call.sent_at, call.sent_at)
        allowed = {s for v in versions for s in v.find_services(call.host, call.path)}
        for service in allowed | reached[call.id]:
            sent_at[service].append(call.sent_at)
    uses = [
        worst_budget_use(service, sent_at[service], arrivals[service], ratio, slack)
        for service in arrivals
    ]
    return [use for use in uses if use is not None]


def find_budget_violations(history: History, ratio: float, slack: float) -> list[str]:
    """Checks the retry budget of each service over all gateways.

    No impairment excuses repeats beyond it.

    :returns: one line for each violation.
    """
    return [
        f"budget: {use.repeats} repeats at {use.service} in {BUDGET_WINDOW_S:g} s, "
        f"{use.allowed:.0f} allowed, at {use.ends_at:.2f} s"
        for use in worst_uses(history, ratio, slack)
        if use.share > 1
    ]
