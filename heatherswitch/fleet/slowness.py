"""The time to the first byte above which an answer counts as slow."""

from hdrh.histogram import HdrHistogram

# Histograms hold microseconds up to ten minutes with two digits.
MAX_US = 600_000_000
DIGITS = 2
# Percentile of the active version that the threshold is based on, ...
PERCENTILE = 95.0
# ... and its multiple. A new version has colder caches, so a smaller one would
# count a good version's first answers as slow.
SLOW_FACTOR = 2.0
# Differences below this do not matter, in seconds.
MIN_THRESHOLD_S = 0.05
# Values that a threshold needs.
MIN_VALUES = 20
# Time that one of the two histograms covers, in seconds.
GENERATION_S = 15.0
# The threshold is the same for this long, in seconds, for both versions.
FROZEN_S = 1.0


class SlowThreshold:
    """Threshold from the active version's recent first bytes on one route.

    It does not fall below that of the time when the active version carried nearly
    all requests: near the end of a move it has little load and answers faster than
    the new version ever could.
    """

    __slots__ = (
        "_frozen_at",
        "_older",
        "_recent",
        "_reference",
        "_rotated_at",
        "_threshold_s",
    )

    def __init__(self, now: float) -> None:
        self._reference = HdrHistogram(1, MAX_US, DIGITS)
        self._recent = HdrHistogram(1, MAX_US, DIGITS)
        self._older = HdrHistogram(1, MAX_US, DIGITS)
        self._rotated_at = now
        self._frozen_at = now
        self._threshold_s: float | None = None

    def add(self, seconds: float, loaded: bool = False) -> None:
        """Adds the time to the first byte of one answer of the active version.

        :param loaded: the active version carries nearly all requests.
        """
        value = min(MAX_US, max(1, int(seconds * 1e6)))
        self._recent.record_value(value)
        if loaded:
            self._reference.record_value(value)

    def threshold_s(self, now: float) -> float | None:
        """Returns the threshold in seconds, or None with too few values.

        It comes from values before the present window, so that it does not depend
        on the answers that it is applied to.
        """
        if now - self._frozen_at >= FROZEN_S:
            self._frozen_at = now
            self._threshold_s = self._compute()
            if now - self._rotated_at >= GENERATION_S:
                self._rotate(now)
        return self._threshold_s

    def _compute(self) -> float | None:
        both = HdrHistogram(1, MAX_US, DIGITS)
        both.add(self._recent)
        both.add(self._older)
        known = [
            h for h in (both, self._reference) if h.get_total_count() >= MIN_VALUES
        ]
        if not known:
            return None
        quantile_us = max(h.get_value_at_percentile(PERCENTILE) for h in known)
        return max(MIN_THRESHOLD_S, SLOW_FACTOR * quantile_us / 1e6)

    def _rotate(self, now: float) -> None:
        self._rotated_at = now
        self._older, self._recent = self._recent, self._older
        self._recent.reset()
