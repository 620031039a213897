"""Sequential test of a starting version against the active one.

Both versions serve requests in the same time windows, so load and time of day affect
both alike. Each window yields a 2x2 table (version, outcome) and one factor of an
e-process. By Ville's inequality, the probability that the process ever reaches 1/alpha
is at most alpha for a version that is as good as the active one, however often the test
is evaluated. A mixture over start windows detects faults that begin late. Source:
Turner, Ly and Gruenwald, "Generic E-variables for exact sequential k-sample tests
that allow for optional stopping" (2024).
"""

import math
from enum import Enum
from typing import Protocol

from heatherswitch.util.record import Record

# A version whose failure rate exceeds the active one's by this must not be proven.
TOLERATED_EXCESS = 0.1
# Probability that a version beyond TOLERATED_EXCESS is proven.
FALSE_PROOF_RATE = 0.01
# Timed responses of the starting version that a proof needs at each share.
MIN_TIMED = 10
# Pseudo-counts of the rate estimate, so that the first window can be used.
PRIOR_BAD = 0.5
PRIOR_TOTAL = 50.0


class Verdict(Enum):
    """Result of a test of a starting version."""

    UNDECIDED = "undecided"
    PROVEN = "proven"
    BAD = "bad"


class Signal(Enum):
    """Kind of response that counts as bad."""

    FAILURE = "failure"
    SLOW = "slow"


# Alternative hypotheses for the starting version's rate: p + lift * (1 - p), where p is
# the active version's rate. A new version has colder caches and a smaller pool, so only
# a large excess of slow responses is tested for.
LIFTS = {Signal.FAILURE: (0.03, 0.1, 0.3, 0.7), Signal.SLOW: (0.3, 0.7)}


class Counts(Record):
    """Counts of the responses of one version.

    :param requests: requests that ended.
    :param failures: ended requests that failed.
    :param timed: requests whose first byte arrived, or is later than the threshold, or
        whose speed is known otherwise. They may be counted before they end.
    :param slow: timed requests that took longer than the threshold that the router
        applied to both versions in the same window.
    """

    __slots__ = (
        "requests",
        "failures",
        "timed",
        "slow",
    )

    def __init__(
        self, requests: int = 0, failures: int = 0, timed: int = 0, slow: int = 0
    ) -> None:
        self.requests = requests
        self.failures = failures
        self.timed = timed
        self.slow = slow

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
        """True when no count is negative or larger than the count that includes it."""
        return 0 <= self.failures <= self.requests and 0 <= self.slow <= self.timed

    def total_count(self, signal: Signal) -> int:
        """Returns the number of responses to which a signal applies."""
        return self.requests if signal is Signal.FAILURE else self.timed

    def bad_count(self, signal: Signal) -> int:
        """Returns the number of bad responses for a signal."""
        return self.failures if signal is Signal.FAILURE else self.slow


class Window(Record):
    """Counts of both versions on one route in the same window."""

    __slots__ = (
        "route",
        "active",
        "starting",
    )

    def __init__(self, route: str, active: Counts, starting: Counts) -> None:
        self.route = route
        self.active = active
        self.starting = starting


class VersionTest(Protocol):
    """Test of a starting version by the responses in successive windows."""

    @property
    def verdict(self) -> Verdict:
        """Current verdict; ``BAD`` is final, ``PROVEN`` is for the current share."""

    @property
    def reason(self) -> str:
        """Route and signal that led to ``BAD``, or an empty string."""

    def add(self, window: Window) -> Verdict:
        """Adds one window and returns the verdict."""

    def start_step(self) -> None:
        """Discards the proof after the share grew, but no evidence of a fault."""


class _EProcess:
    """E-process for one route and signal.

    It is a mixture of e-processes, one starting at each window k, with weights
    1/(k(k+1)). Without the mixture, earlier good responses would outweigh a fault that
    begins late.
    """

    __slots__ = ("_bad", "_log_e_values", "_signal", "_total", "_windows")

    def __init__(self, signal: Signal) -> None:
        self._signal = signal
        # One log e-value per alternative; the mean of the e-values is an e-value too.
        self._log_e_values = [-math.inf] * len(LIFTS[signal])
        self._windows = 0
        # Counts of the active version, for the rate estimate.
        self._bad = PRIOR_BAD
        self._total = PRIOR_TOTAL

    @property
    def rate(self) -> float:
        """Estimate of the active version's rate, from past windows only."""
        return self._bad / self._total

    @property
    def log_e(self) -> float:
        """Logarithm of the current e-value."""
        mean = _log_sum(*self._log_e_values) - math.log(len(self._log_e_values))
        # Weight of the processes that have not started yet.
        return _log_sum(mean, -math.log(self._windows + 1))

    def add(self, active: Counts, starting: Counts) -> None:
        """Adds the counts of one window."""
        rate, signal = self.rate, self._signal
        if active.total_count(signal) and starting.total_count(signal):
            self._windows += 1
            weight = -math.log(self._windows * (self._windows + 1))
            for index, lift in enumerate(LIFTS[signal]):
                alternative = rate + lift * (1.0 - rate)
                factor = _log_factor(active, starting, signal, rate, alternative)
                self._log_e_values[index] = (
                    _log_sum(self._log_e_values[index], weight) + factor
                )
        self._bad += active.bad_count(signal)
        self._total += active.total_count(signal)


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

    As the source requires, the rates come from earlier windows and the sample sizes do
    not depend on the outcomes in this window.
    """
    n_starting, n_active = starting.total_count(signal), active.total_count(signal)
    common = (n_active * rate + n_starting * alternative) / (n_active + n_starting)
    return _log_ratio(active, signal, rate, common) + _log_ratio(
        starting, signal, alternative, common
    )


def _log_ratio(counts: Counts, signal: Signal, rate: float, common: float) -> float:
    bad = counts.bad_count(signal)
    good = counts.total_count(signal) - bad
    return bad * math.log(rate / common) + good * math.log((1 - rate) / (1 - common))


class SequentialTest:
    """Anytime-valid test over all routes and signals.

    :param false_alarm_rate: upper bound of the probability that a version as good as
        the active one ever gets the verdict ``BAD``.
    """

    __slots__ = (
        "_bad",
        "_e_processes",
        "_proof_log_e",
        "_reason",
        "_threshold",
        "_timed",
        "_weights",
    )

    def __init__(self, false_alarm_rate: float) -> None:
        self._threshold = -math.log(false_alarm_rate)
        self._e_processes: dict[tuple[str, Signal], _EProcess] = {}
        self._weights: dict[tuple[str, Signal], float] = {}
        # Log e-value against a failure rate of TOLERATED_EXCESS above the active one's.
        self._proof_log_e = 0.0
        # Timed responses of the starting version at the current share.
        self._timed = 0
        self._bad = False
        self._reason = ""

    @property
    def verdict(self) -> Verdict:
        """Current verdict; ``BAD`` is final, ``PROVEN`` is for the current share."""
        if self._bad:
            return Verdict.BAD
        if self._timed >= MIN_TIMED and self._proof_log_e >= -math.log(
            FALSE_PROOF_RATE
        ):
            return Verdict.PROVEN
        return Verdict.UNDECIDED

    @property
    def reason(self) -> str:
        """Route and signal that led to ``BAD``, or an empty string."""
        return self._reason

    def start_step(self) -> None:
        """Discards the proof after the share grew; evidence of a fault is kept."""
        self._proof_log_e = 0.0
        self._timed = 0

    def add(self, window: Window) -> Verdict:
        """Adds one window and returns the verdict."""
        if not self._bad:
            self._timed += window.starting.timed
            for signal in Signal:
                self._add_signal(window, signal)
        return self.verdict

    def _add_signal(self, window: Window, signal: Signal) -> None:
        key = (window.route, signal)
        e_process = self._e_processes.get(key)
        if e_process is None:
            e_process = self._e_processes[key] = _EProcess(signal)
            # Weights 6/(pi k)^2 sum to at most 1, so the false-alarm rate holds over
            # all processes, whose number is not known in advance.
            rank = len(self._e_processes)
            self._weights[key] = 6.0 / (math.pi * rank) ** 2
        if signal is Signal.FAILURE:
            self._update_proof(window.starting, e_process.rate)
        e_process.add(window.active, window.starting)
        exceeds_threshold = (
            e_process.log_e + math.log(self._weights[key]) >= self._threshold
        )
        if exceeds_threshold and not self._bad:
            self._bad = True
            self._reason = f"{signal.value} on {window.route}"

    def _update_proof(self, starting: Counts, rate: float) -> None:
        excess = min(rate + TOLERATED_EXCESS, 0.99)
        good = starting.requests - starting.failures
        self._proof_log_e += starting.failures * math.log(rate / excess)
        self._proof_log_e += good * math.log((1 - rate) / (1 - excess))
        # Restarting the e-value at 1 keeps early failures from blocking a good version
        # for ever; FALSE_PROOF_RATE then holds for each restart.
        self._proof_log_e = max(self._proof_log_e, 0.0)
