"""Sequential test of a starting version against the active one.

Both versions serve in the same time window, so load and time of day affect both
alike. Each window gives a 2x2 table (version, outcome) and a factor of an
e-process; by Ville's inequality the chance that the process ever reaches 1/alpha
for a version that is as good as the active one is at most alpha, however often
it is looked at. A mixture over start windows finds faults that begin late. Source:
Turner, Ly and Gruenwald, "Generic E-variables for exact sequential k-sample tests
that allow for optional stopping" (2024).
"""

import math
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

# A version whose failure rate is higher by this much must not count as proven.
TOLERATED_EXCESS = 0.1
# Chance that a version beyond TOLERATED_EXCESS counts as proven.
FALSE_PROOF_RATE = 0.01
# Answers with a known first byte that a step needs to count as proven.
MIN_TIMED = 10
# Pseudo counts of the rate estimate, so that the first window is usable.
PRIOR_BAD = 0.5
PRIOR_TOTAL = 50.0


class Verdict(Enum):
    """What the evidence says of a starting version."""

    UNDECIDED = "undecided"
    PROVEN = "proven"
    BAD = "bad"


class Signal(Enum):
    """What is counted as a bad answer."""

    FAILURE = "failure"
    SLOW = "slow"


# Alternatives for the starting version's rate: p + lift * (1 - p). A new version
# has colder caches and a smaller pool, so only a large excess of slow answers counts.
LIFTS = {Signal.FAILURE: (0.03, 0.1, 0.3, 0.7), Signal.SLOW: (0.3, 0.7)}


@dataclass(frozen=True, slots=True)
class Counts:
    """Answers of one version.

    :param requests: requests that ended.
    :param timed: requests whose first byte came, or is later than the threshold.
    :param slow: timed requests whose first byte took longer than the threshold
        that the router applied to both versions in the same window.
    """

    requests: int = 0
    failures: int = 0
    timed: int = 0
    slow: int = 0

    def __add__(self, other: "Counts") -> "Counts":
        return Counts(
            self.requests + other.requests,
            self.failures + other.failures,
            self.timed + other.timed,
            self.slow + other.slow,
        )

    def __sub__(self, other: "Counts") -> "Counts":
        return Counts(
            self.requests - other.requests,
            self.failures - other.failures,
            self.timed - other.timed,
            self.slow - other.slow,
        )

    @property
    def valid(self) -> bool:
        """True when no part is larger than its whole."""
        return 0 <= self.failures <= self.requests and 0 <= self.slow <= self.timed

    def total(self, signal: Signal) -> int:
        """Returns the number of answers that count for a signal."""
        return self.requests if signal is Signal.FAILURE else self.timed

    def bad(self, signal: Signal) -> int:
        """Returns the number of bad answers for a signal."""
        return self.failures if signal is Signal.FAILURE else self.slow


@dataclass(frozen=True, slots=True)
class Window:
    """Answers of both versions on one route in the same window."""

    route: str
    active: Counts
    starting: Counts


class VersionTest(Protocol):
    """Judges a starting version by windows of evidence."""

    @property
    def verdict(self) -> Verdict:
        """The verdict so far; ``BAD`` is final, ``PROVEN`` holds for this step."""

    @property
    def reason(self) -> str:
        """Route and signal that led to ``BAD``, or an empty string."""

    def add(self, window: Window) -> Verdict:
        """Takes one window and returns the verdict."""

    def start_step(self) -> None:
        """The share grew: the version must be proven again at the new share."""


class _Stream:
    """E-process of one route and signal.

    It is a mixture of e-processes that start at each window, with weights
    1/(k(k+1)). Without it, good answers would outweigh a fault that begins late.
    """

    __slots__ = ("_bad", "_logs", "_signal", "_total", "_windows")

    def __init__(self, signal: Signal) -> None:
        self._signal = signal
        # One log e-value for each alternative; their mean is an e-value too.
        self._logs = [-math.inf] * len(LIFTS[signal])
        self._windows = 0
        # Answers of the active version, for the rate estimate.
        self._bad = PRIOR_BAD
        self._total = PRIOR_TOTAL

    @property
    def rate(self) -> float:
        """Estimated rate of the active version, from past windows only."""
        return self._bad / self._total

    @property
    def log_e(self) -> float:
        """Logarithm of the e-value."""
        mean = _log_sum(*self._logs) - math.log(len(self._logs))
        # Weight of the processes that have not started yet.
        return _log_sum(mean, -math.log(self._windows + 1))

    def add(self, active: Counts, starting: Counts) -> None:
        """Takes the counts of one window."""
        rate, signal = self.rate, self._signal
        if active.total(signal) and starting.total(signal):
            self._windows += 1
            weight = -math.log(self._windows * (self._windows + 1))
            for index, lift in enumerate(LIFTS[signal]):
                alternative = rate + lift * (1.0 - rate)
                factor = _log_factor(active, starting, signal, rate, alternative)
                self._logs[index] = _log_sum(self._logs[index], weight) + factor
        self._bad += active.bad(signal)
        self._total += active.total(signal)


def _log_sum(*logs: float) -> float:
    """Returns the logarithm of the sum of numbers given by their logarithms."""
    top = max(logs)
    if top == -math.inf:
        return top
    return top + math.log(sum(math.exp(value - top) for value in logs))


def _log_factor(
    active: Counts, starting: Counts, signal: Signal, rate: float, alternative: float
) -> float:
    """Returns the log e-variable of one 2x2 table.

    The rates come from earlier windows, and the sizes do not depend on outcomes
    of this window, as the source requires.
    """
    ours, theirs = starting.total(signal), active.total(signal)
    common = (theirs * rate + ours * alternative) / (theirs + ours)
    return _log_ratio(active, signal, rate, common) + _log_ratio(
        starting, signal, alternative, common
    )


def _log_ratio(counts: Counts, signal: Signal, rate: float, common: float) -> float:
    bad = counts.bad(signal)
    good = counts.total(signal) - bad
    return bad * math.log(rate / common) + good * math.log((1 - rate) / (1 - common))


class SequentialTest:
    """Anytime-valid test over all routes and signals.

    :param false_alarm_rate: bound on the chance that a version as good as the
        active one is ever judged ``BAD``.
    """

    __slots__ = (
        "_bad",
        "_proof",
        "_reason",
        "_streams",
        "_threshold",
        "_timed",
        "_weights",
    )

    def __init__(self, false_alarm_rate: float) -> None:
        self._threshold = -math.log(false_alarm_rate)
        self._streams: dict[tuple[str, Signal], _Stream] = {}
        self._weights: dict[tuple[str, Signal], float] = {}
        # Log e-value against "the failure rate is too high by the tolerated excess".
        self._proof = 0.0
        # Answers of the starting version at this step with a known first byte.
        self._timed = 0
        self._bad = False
        self._reason = ""

    @property
    def verdict(self) -> Verdict:
        """The verdict so far; ``BAD`` is final, ``PROVEN`` holds for this step."""
        if self._bad:
            return Verdict.BAD
        if self._timed >= MIN_TIMED and self._proof >= -math.log(FALSE_PROOF_RATE):
            return Verdict.PROVEN
        return Verdict.UNDECIDED

    @property
    def reason(self) -> str:
        """Route and signal that led to ``BAD``, or an empty string."""
        return self._reason

    def start_step(self) -> None:
        """The share grew: the version must be proven again at the new share.

        Evidence of a fault is kept.
        """
        self._proof = 0.0
        self._timed = 0

    def add(self, window: Window) -> Verdict:
        """Takes one window and returns the verdict."""
        if not self._bad:
            self._timed += window.starting.timed
            for signal in Signal:
                self._add_signal(window, signal)
        return self.verdict

    def _add_signal(self, window: Window, signal: Signal) -> None:
        key = (window.route, signal)
        stream = self._streams.get(key)
        if stream is None:
            stream = self._streams[key] = _Stream(signal)
            # Weights 6/(pi k)^2 sum to at most 1, so the false-alarm rate holds
            # over all streams without knowing their number.
            rank = len(self._streams)
            self._weights[key] = 6.0 / (math.pi * rank) ** 2
        if signal is Signal.FAILURE:
            self._add_proof(window.starting, stream.rate)
        stream.add(window.active, window.starting)
        enough = stream.log_e + math.log(self._weights[key]) >= self._threshold
        if enough and not self._bad:
            self._bad = True
            self._reason = f"{signal.value} on {window.route}"

    def _add_proof(self, starting: Counts, rate: float) -> None:
        excess = min(rate + TOLERATED_EXCESS, 0.99)
        good = starting.requests - starting.failures
        self._proof += starting.failures * math.log(rate / excess)
        self._proof += good * math.log((1 - rate) / (1 - excess))
        # Restarting at 1 keeps an early fault from blocking a good version for
        # ever; the bound then holds for each start anew.
        self._proof = max(self._proof, 0.0)
