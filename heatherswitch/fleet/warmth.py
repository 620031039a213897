"""Concurrency limit of one backend server during a cold start.

The limit starts low and grows with good responses. It is reset when the server seems to
have restarted or responds slowly.
"""

from dataclasses import dataclass

from heatherswitch.fleet.settings import Settings

# Weight of a new sample in the moving average of the first-token latency.
LATENCY_WEIGHT = 0.1
# Number of samples that an average needs before responses are compared with it.
MIN_LATENCY_SAMPLES = 8
# Number of consecutive slow first tokens that indicate a cold server. A single one can
# also be due to a preempted request. Waits that overlap count once, since one short
# stall of the VM delays all of them.
COLD_AFTER_SLOW_RESPONSES = 2
# Latencies below this are never slow, in seconds, because scheduling noise on a busy VM
# exceeds the slow factor of a very short average.
MIN_SLOW_S = 0.05


@dataclass(frozen=True, slots=True)
class ColdStartSettings:
    """Settings of the cold start.

    :param limit: concurrent requests at the begin of a cold start.
    :param growth: factor by which the limit grows.
    :param evidence: good responses at one limit that are needed before it grows.
    :param slow_factor: multiple of the average latency above which a response is slow.
    :param max_running: concurrent requests at a warm server.
    """

    limit: int = 2
    growth: float = 2.0
    evidence: int = 4
    slow_factor: float = 4.0
    max_running: int = 32

    @classmethod
    def from_settings(cls, settings: Settings) -> "ColdStartSettings":
        """Builds the settings from the effective settings of the agent."""
        return cls(
            limit=settings.get("cold_start.limit"),
            growth=settings.get("cold_start.growth"),
            evidence=settings.get("cold_start.evidence"),
            slow_factor=settings.get("cold_start.slow_factor"),
            max_running=settings.get("limits.max_running"),
        )


class LatencyAverages:
    """Moving average of the first-token latency, by computed tokens and load.

    Even at a warm server, a cache miss is slower than a hit and a full batch slower
    than a single request. So responses are compared only with earlier ones that
    computed a similar number of prompt tokens at a similar load.
    """

    __slots__ = ("_averages", "_samples")

    def __init__(self) -> None:
        self._averages: dict[tuple[int, int], float] = {}
        self._samples: dict[tuple[int, int], int] = {}

    def add(self, computed_tokens: int, running: int, seconds: float) -> None:
        """Adds a first-token latency.

        :param computed_tokens: prompt tokens that were not in the cache.
        :param running: requests at the server when this one started.
        :param seconds: the latency.
        """
        group = (computed_tokens.bit_length(), running.bit_length())
        known = self._averages.get(group, seconds)
        self._averages[group] = known + LATENCY_WEIGHT * (seconds - known)
        self._samples[group] = self._samples.get(group, 0) + 1

    def is_slow(
        self, computed_tokens: int, running: int, seconds: float, factor: float
    ) -> bool:
        """Returns whether a latency is above ``factor`` times the average.

        It is False while there are too few samples.
        """
        group = (computed_tokens.bit_length(), running.bit_length())
        if self._samples.get(group, 0) < MIN_LATENCY_SAMPLES or seconds < MIN_SLOW_S:
            return False
        return seconds > factor * self._averages[group]


class ColdStartLimiter:
    """Adapts the number of concurrent requests at a backend server to a cold start.

    The limit grows only by responses to requests that were started under it. The time
    from one change of the limit to the next is called a period.
    """

    __slots__ = (
        "_good_responses",
        "_last_slow_wait",
        "_latency",
        "_limit",
        "_period",
        "_reported_identity",
        "_restart_suspected",
        "_settings",
        "_slow_responses",
    )

    def __init__(self, settings: ColdStartSettings | None = None) -> None:
        self._settings = settings or ColdStartSettings()
        self._latency = LatencyAverages()
        # Incarnation and start times that the server reported, by source.
        self._reported_identity: dict[str, str | float] = {}
        self._period = 0
        self._limit = 0
        # Start and end of the slow wait that was last counted, in seconds.
        self._last_slow_wait = (0.0, 0.0)
        # True from a lost connection until the next health report.
        self._restart_suspected = False
        self.reset()

    @property
    def limit(self) -> int:
        """Number of requests that the server may run at once now."""
        limit = min(self._limit, self._settings.max_running)
        return min(limit, self._settings.limit) if self._restart_suspected else limit

    @property
    def cold(self) -> bool:
        """True until the limit has reached ``max_running``."""
        return self._limit < self._settings.max_running

    @property
    def period(self) -> int:
        """Number of the current period; a request keeps the one in which it started."""
        return self._period

    def configure(self, settings: ColdStartSettings) -> None:
        """Applies changed settings; a warm server stays warm."""
        warm = not self.cold
        at_start_limit = self._limit == self._settings.limit
        self._settings = settings
        if warm:
            self._limit = settings.max_running
        elif at_start_limit:
            self._limit = min(settings.limit, settings.max_running)

    def reset(self) -> None:
        """Begins a cold start; the latency averages are kept."""
        self._limit = min(self._settings.limit, self._settings.max_running)
        self._restart_suspected = False
        self._begin_period()

    def on_health(self, incarnation: str | None, started_at: float | None) -> bool:
        """Handles a health report and begins a cold start if the server was restarted.

        :param incarnation: None when the server does not report one.
        :param started_at: start time in seconds since the epoch, or None.
        :returns: True when the server was restarted, or may have been after a lost
            connection and reports neither value.
        """
        unknown = incarnation is None and started_at is None
        if self._restart_suspected and unknown:
            self.reset()
            return True
        self._restart_suspected = False
        return self._identify(incarnation=incarnation, health_started_at=started_at)

    def on_load_report(self, started_at: float | None) -> bool:
        """Handles a load report and begins a cold start if the server was restarted.

        Its start time is compared only with earlier load reports, since a server may
        take the one in health reports at another moment of its start.

        :param started_at: start time in seconds since the epoch, or None.
        :returns: True when the server was restarted.
        """
        return self._identify(load_started_at=started_at)

    def on_response(
        self,
        period: int,
        first_token_s: float,
        computed: int,
        running: int = 1,
        started_at: float | None = None,
    ) -> bool:
        """Handles a good response.

        :param period: :attr:`period` when the request started.
        :param first_token_s: seconds from the start to the first body byte.
        :param computed: prompt tokens that were not in the cache.
        :param running: requests at the server when this one started.
        :param started_at: start of the request in seconds; without it the wait counts
            as overlapping no other one.
        :returns: True when this response led to a new cold start.
        """
        factor = self._settings.slow_factor
        if self._latency.is_slow(computed, running, first_token_s, factor):
            return self._on_slow_response(started_at, first_token_s)
        self._slow_responses = 0
        self._latency.add(computed, running, first_token_s)
        if self.cold and period == self._period:
            self._good_responses += 1
            if self._good_responses >= self._settings.evidence:
                self._grow()
        return False

    def on_connection_lost(self) -> None:
        """Handles a connection that broke during a request.

        The server may have been restarted, and health probes are a second apart. So the
        cold-start limit applies until the next health report.
        """
        self._good_responses = 0
        self._restart_suspected = True

    def on_failure(self) -> None:
        """Handles a failed response, which resets the count of good ones."""
        self._good_responses = 0

    def _identify(self, **reported: str | float | None) -> bool:
        new = {name: value for name, value in reported.items() if value is not None}
        restarted = any(
            self._reported_identity.get(name, value) != value
            for name, value in new.items()
        )
        self._reported_identity.update(new)
        if restarted:
            self.reset()
        return restarted

    def _on_slow_response(self, started_at: float | None, first_token_s: float) -> bool:
        self._good_responses = 0
        if started_at is not None:
            ended_at = started_at + first_token_s
            start, end = self._last_slow_wait
            if self._slow_responses and started_at < end and start < ended_at:
                return False
            self._last_slow_wait = (started_at, ended_at)
        self._slow_responses += 1
        if self._slow_responses < COLD_AFTER_SLOW_RESPONSES:
            return False
        was_warm = self._limit > self._settings.limit
        if was_warm:
            self.reset()
        return was_warm

    def _grow(self) -> None:
        grown = max(self._limit + 1, int(self._limit * self._settings.growth))
        self._limit = min(grown, self._settings.max_running)
        self._begin_period()

    def _begin_period(self) -> None:
        self._period += 1
        self._good_responses = 0
        self._slow_responses = 0
