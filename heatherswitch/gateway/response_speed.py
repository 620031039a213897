"""Tells slow responses from others while two versions of a service are compared.

A response that is sent at once is measured by the time to its head. A stream is also
measured by the interval between its events: the time to its first event depends on the
length of the prompt and on how much of it is cached, which varies more between two
responses of one version than between two versions, while servers generate at nearly
the same speed for all prompts.
"""

from heatherswitch.fleet.slowness import SlowThreshold
from heatherswitch.util.record import Record

# Intervals between the first events of a stream over whose mean it is measured. A version
# must be judged long before its streams end, which takes up to ten seconds.
MEASURED_INTERVALS = 8
# Intervals that a shorter stream needs to be measured. A single one may include the
# prefill of another request.
MIN_INTERVALS = 2
# Percentile of the intervals between events on which their limit is based, its factor, the
# least number of streams and the lowest limit in seconds. A version that is several times
# slower exceeds twice the median with nearly all of its streams.
INTERVAL_PERCENTILE = 50.0
INTERVAL_FACTOR = 2.5
MIN_INTERVAL_SAMPLES = 8
MIN_INTERVAL_LIMIT_S = 0.002


class AttemptTimes(Record):
    """Times of one attempt, as far as they are known.

    :param sent_at: time at which the request was sent, in seconds.
    :param head_s: seconds from the send to the head of the response.
    :param first_event_s: seconds from the send to the first event of a stream.
    :param event_interval_s: mean interval between the first events of a stream.
    :param judged: the attempt was counted as slow or not slow.
    """

    __slots__ = ("sent_at", "head_s", "first_event_s", "event_interval_s", "judged")

    def __init__(
        self,
        sent_at: float,
        head_s: float | None = None,
        first_event_s: float | None = None,
        event_interval_s: float | None = None,
        judged: bool = False,
    ) -> None:
        self.sent_at = sent_at
        self.head_s = head_s
        self.first_event_s = first_event_s
        self.event_interval_s = event_interval_s
        self.judged = judged


class SpeedLimits:
    """Limits above which responses of a service are slow, from those of one version.

    A route with too few streams uses the limit of all streams of the service.
    """

    __slots__ = ("_all_intervals", "_heads", "_intervals")

    def __init__(self, now: float) -> None:
        self._heads: dict[str, SlowThreshold] = {}
        self._intervals: dict[str, SlowThreshold] = {}
        self._all_intervals = _interval_threshold(now)

    def add(self, now: float, route: str, times: AttemptTimes, loaded: bool) -> None:
        """Adds the times of a response of the old version that has ended.

        :param loaded: the old version currently gets nearly all requests.
        """
        if times.head_s is not None:
            self._head_threshold(now, route).add(times.head_s, loaded)
        if times.event_interval_s is not None:
            if route not in self._intervals:
                self._intervals[route] = _interval_threshold(now)
            self._intervals[route].add(times.event_interval_s, loaded)
            self._all_intervals.add(times.event_interval_s, loaded)

    def is_slow(
        self, now: float, route: str, times: AttemptTimes, ended: bool
    ) -> bool | None:
        """Tells whether a response is slow; None if that is not known, or not yet.

        A response that is overdue is slow before it arrives.

        :param ended: nothing more of the response will arrive.
        """
        elapsed_s = now - times.sent_at
        head_limit_s = self._head_threshold(now, route).threshold_s(now)
        head_s = elapsed_s if times.head_s is None else times.head_s
        if head_limit_s is not None and head_s > head_limit_s:
            return True
        if times.first_event_s is not None:
            limit_s = self._interval_limit_s(now, route)
            if times.event_interval_s is not None:
                return None if limit_s is None else times.event_interval_s > limit_s
            streaming_s = elapsed_s - times.first_event_s
            if limit_s is not None and streaming_s > MEASURED_INTERVALS * limit_s:
                return True
        return False if ended and head_limit_s is not None else None

    def _head_threshold(self, now: float, route: str) -> SlowThreshold:
        if route not in self._heads:
            self._heads[route] = SlowThreshold(now)
        return self._heads[route]

    def _interval_limit_s(self, now: float, route: str) -> float | None:
        own = self._intervals.get(route)
        limit_s = own.threshold_s(now) if own is not None else None
        return self._all_intervals.threshold_s(now) if limit_s is None else limit_s


def _interval_threshold(now: float) -> SlowThreshold:
    return SlowThreshold(
        now,
        INTERVAL_PERCENTILE,
        INTERVAL_FACTOR,
        MIN_INTERVAL_SAMPLES,
        MIN_INTERVAL_LIMIT_S,
    )
