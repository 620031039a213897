"""Threshold of the time to first byte above which a response counts as slow."""

from hdrh.histogram import HdrHistogram

# Range of the histograms: up to ten minutes in microseconds, with two decimal digits.
MAX_US = 600_000_000
DIGITS = 2
# Percentile of the active version's times on which the threshold is based.
PERCENTILE = 95.0
# Multiple of that percentile. A new version has colder caches, so with a smaller factor
# the first responses of a good version would count as slow.
SLOW_FACTOR = 2.0
# Lower limit of the threshold, in seconds; shorter times are never slow.
MIN_THRESHOLD_S = 0.05
# Number of samples that a histogram needs.
MIN_SAMPLES = 20
# Time span of each of the two rotating histograms, in seconds.
HISTOGRAM_SPAN_S = 15.0
# Interval at which the threshold is recomputed, in seconds. In between, both versions
# are compared with the same value.
THRESHOLD_HOLD_S = 1.0


class SlowThreshold:
    """Computes the threshold for one route from recent times of the active version.

    The threshold does not fall below that of the time when the active version got
    nearly all requests. Near the end of a move it has little load and responds faster
    than the new version can.

    :param now: current time in seconds.
    :param percentile: percentile of the times on which the threshold is based.
    :param factor: multiple of that percentile.
    :param min_samples: number of samples without which there is no threshold.
    :param min_threshold_s: lower limit of the threshold, in seconds.
    """

    __slots__ = (
        "_computed_at",
        "_factor",
        "_min_samples",
        "_min_threshold_s",
        "_percentile",
        "_previous",
        "_recent",
        "_reference",
        "_rotated_at",
        "_threshold_s",
    )

    def __init__(
        self,
        now: float,
        percentile: float = PERCENTILE,
        factor: float = SLOW_FACTOR,
        min_samples: int = MIN_SAMPLES,
        min_threshold_s: float = MIN_THRESHOLD_S,
    ) -> None:
        self._percentile = percentile
        self._factor = factor
        self._min_samples = min_samples
        self._min_threshold_s = min_threshold_s
        self._reference = HdrHistogram(1, MAX_US, DIGITS)
        self._recent = HdrHistogram(1, MAX_US, DIGITS)
        self._previous = HdrHistogram(1, MAX_US, DIGITS)
        self._rotated_at = now
        self._computed_at = now
        self._threshold_s: float | None = None

    def add(self, seconds: float, loaded: bool = False) -> None:
        """Adds the time to first byte of one response of the active version.

        :param seconds: time to first byte.
        :param loaded: whether the active version currently gets nearly all requests.
        """
        value = min(MAX_US, max(1, int(seconds * 1e6)))
        self._recent.record_value(value)
        if loaded:
            self._reference.record_value(value)

    def threshold_s(self, now: float) -> float | None:
        """Returns the threshold in seconds, or None with too few samples.

        It is computed from earlier samples, so that it does not depend on the responses
        to which it is applied.
        """
        if now - self._computed_at >= THRESHOLD_HOLD_S:
            self._computed_at = now
            self._threshold_s = self._compute()
            if now - self._rotated_at >= HISTOGRAM_SPAN_S:
                self._rotate(now)
        return self._threshold_s

    def _compute(self) -> float | None:
        both = HdrHistogram(1, MAX_US, DIGITS)
        both.add(self._recent)
        both.add(self._previous)
        known = [
            h
            for h in (both, self._reference)
            if h.get_total_count() >= self._min_samples
        ]
        if not known:
            return None
        quantile_us = max(h.get_value_at_percentile(self._percentile) for h in known)
        return max(self._min_threshold_s, self._factor * quantile_us / 1e6)

    def _rotate(self, now: float) -> None:
        self._rotated_at = now
        self._previous, self._recent = self._recent, self._previous
        self._recent.reset()
