"""Sequential test of a starting version against the active one.

Both versions serve in the same time window, so load and time of day affect both
alike. Each window gives a 2x2 table (version, outcome) and a factor of an
e-process; by Ville's inequality the chance that the process ever reaches 1/alpha
for a version that is as good as the active one is at most alpha, however often
it is looked at. Source: Turner, Ly and Gruenwald, "Generic E-variables for exact
sequential k-sample tests that allow for optional stopping" (2024).
"""

import math
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

# Alternatives for the starting version's rate: p + lift * (1 - p).
LIFTS = (0.03, 0.1, 0.3, 0.7)
# A version whose failure rate is higher by this much must not count as proven.
TOLERATED_EXCESS = 0.1
# Chance that a version beyond TOLERATED_EXCESS counts as proven.
FALSE_PROOF_RATE = 0.01
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


@dataclass(frozen=True, slots=True)
class Counts:
    """Answers of one version in one window.

    :param slow: answers whose first byte took longer than the threshold that
        the router applied to both versions in this window.
    """

    requests: int = 0
    failures: int = 0
    slow: int = 0

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
        """The verdict so far; ``BAD`` is final."""

    @property
    def reason(self) -> str:
        """Route and signal that led to ``BAD``, or an empty string."""

    def add(self, window: Window) -> Verdict:
        """Takes one window and returns the verdict."""


class _Stream:
    """E-process of one route and signal."""

    __slots__ = ("_bad", "_logs", "_total")

    def __init__(self) -> None:
        # One log e-value for each alternative; their mean is an e-value too.
        self._logs = [0.0] * len(LIFTS)
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
        top = max(self._logs)
        return top + math.log(
            sum(math.exp(value - top) for value in self._logs) / len(self._logs)
        )

    def add(self, active: Counts, starting: Counts, signal: Signal) -> None:
        rate = self.rate
        for index, lift in enumerate(LIFTS):
            alternative = rate + lift * (1.0 - rate)
            self._logs[index] += _log_factor(
                active, starting, signal, rate, alternative
            )
        self._bad += active.bad(signal)
        self._total += active.requests


def _log_factor(
    active: Counts, starting: Counts, signal: Signal, rate: float, alternative: float
) -> float:
    """Returns the log e-variable of one 2x2 table.

    The rates come from earlier windows, and the sizes do not depend on outcomes
    of this window, as the source requires.
    """
    total = active.requests + starting.requests
    if not active.requests or not starting.requests:
        return 0.0
    common = (active.requests * rate + starting.requests * alternative) / total
    return _log_ratio(active, signal, rate, common) + _log_ratio(
        starting, signal, alternative, common
    )


def _log_ratio(counts: Counts, signal: Signal, rate: float, common: float) -> float:
    bad = counts.bad(signal)
    good = counts.requests - bad
    return bad * math.log(rate / common) + good * math.log((1 - rate) / (1 - common))


class SequentialTest:
    """Anytime-valid test over all routes and signals.

    :param false_alarm_rate: bound on the chance that a version as good as the
        active one is ever judged ``BAD``.
    """

    __slots__ = (
        "_proof",
        "_reason",
        "_streams",
        "_threshold",
        "_verdict",
        "_weights",
    )

    def __init__(self, false_alarm_rate: float) -> None:
        self._threshold = -math.log(false_alarm_rate)
        self._streams: dict[tuple[str, Signal], _Stream] = {}
        self._weights: dict[tuple[str, Signal], float] = {}
        # Log e-value against "the failure rate is too high by the tolerated excess".
        self._proof = 0.0
        self._verdict = Verdict.UNDECIDED
        self._reason = ""

    @property
    def verdict(self) -> Verdict:
        """The verdict so far; ``BAD`` is final."""
        return self._verdict

    @property
    def reason(self) -> str:
        """Route and signal that led to ``BAD``, or an empty string."""
        return self._reason

    def add(self, window: Window) -> Verdict:
        """Takes one window and returns the verdict."""
        if self._verdict is Verdict.BAD:
            return self._verdict
        for signal in Signal:
            self._add_signal(window, signal)
        if self._verdict is Verdict.UNDECIDED and self._proof >= -math.log(
            FALSE_PROOF_RATE
        ):
            self._verdict = Verdict.PROVEN
        return self._verdict

    def _add_signal(self, window: Window, signal: Signal) -> None:
        key = (window.route, signal)
        stream = self._streams.get(key)
        if stream is None:
            stream = self._streams[key] = _Stream()
            # Weights 6/(pi k)^2 sum to at most 1, so the false-alarm rate holds
            # over all streams without knowing their number.
            rank = len(self._streams)
            self._weights[key] = 6.0 / (math.pi * rank) ** 2
        if signal is Signal.FAILURE:
            self._add_proof(window.starting, stream.rate)
        stream.add(window.active, window.starting, signal)
        if stream.log_e + math.log(self._weights[key]) >= self._threshold:
            self._verdict = Verdict.BAD
            self._reason = f"{signal.value} on {window.route}"

    def _add_proof(self, starting: Counts, rate: float) -> None:
        excess = min(rate + TOLERATED_EXCESS, 0.99)
        good = starting.requests - starting.failures
        self._proof += starting.failures * math.log(rate / excess)
        self._proof += good * math.log((1 - rate) / (1 - excess))
        # Restarting at 1 keeps an early fault from blocking a good version for
        # ever; the bound then holds for each start anew.
        self._proof = max(self._proof, 0.0)
