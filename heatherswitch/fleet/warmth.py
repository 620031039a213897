"""Cold-start limit of one backend server and the evidence that raises it."""

from dataclasses import dataclass

from heatherswitch.fleet.settings import Settings

# Weight of a new sample in the warm level of the first-token latency.
LEVEL_WEIGHT = 0.1
# Samples before a warm level is compared with.
MIN_LEVEL_SAMPLES = 8
# Consecutive slow first tokens that show a cold server. One alone also follows
# from a preempted request. Waits that overlap count once, since one short stall
# of the VM delays all of them.
SLOW_ANSWERS = 2
# Latencies below this are never slow, in seconds, because scheduling noise on a
# busy VM exceeds the multiple of a very short level.
MIN_SLOW_S = 0.05


@dataclass(frozen=True, slots=True)
class WarmthSettings:
    """Settings of the cold start.

    :param limit: requests at once when cold.
    :param growth: factor by which the limit grows.
    :param evidence: good answers at one limit before it grows.
    :param slow_factor: multiple of the warm level that counts as slow.
    :param max_running: requests at once when warm.
    """

    limit: int = 2
    growth: float = 2.0
    evidence: int = 4
    slow_factor: float = 4.0
    max_running: int = 32

    @classmethod
    def from_settings(cls, settings: Settings) -> "WarmthSettings":
        """Reads the effective settings of the agent."""
        return cls(
            limit=settings.get("cold_start.limit"),
            growth=settings.get("cold_start.growth"),
            evidence=settings.get("cold_start.evidence"),
            slow_factor=settings.get("cold_start.slow_factor"),
            max_running=settings.get("limits.max_running"),
        )


class LatencyLevel:
    """Moving level of the first-token latency, by prompt work and load.

    A cache miss is slower than a hit and a full batch slower than an idle server,
    without the server being cold. So answers are compared only with answers that
    computed a similar number of tokens at a similar load.
    """

    __slots__ = ("_levels", "_samples")

    def __init__(self) -> None:
        self._levels: dict[tuple[int, int], float] = {}
        self._samples: dict[tuple[int, int], int] = {}

    def add(self, computed_tokens: int, running: int, seconds: float) -> None:
        """Adds a latency.

        :param computed_tokens: prompt tokens that were not in the cache.
        :param running: requests at the server when this one was started.
        """
        size = (computed_tokens.bit_length(), running.bit_length())
        known = self._levels.get(size, seconds)
        self._levels[size] = known + LEVEL_WEIGHT * (seconds - known)
        self._samples[size] = self._samples.get(size, 0) + 1

    def is_slow(
        self, computed_tokens: int, running: int, seconds: float, factor: float
    ) -> bool:
        """Tells whether a latency is far above the level; False when unknown."""
        size = (computed_tokens.bit_length(), running.bit_length())
        if self._samples.get(size, 0) < MIN_LEVEL_SAMPLES or seconds < MIN_SLOW_S:
            return False
        return seconds > factor * self._levels[size]


class Warmth:
    """The number of requests that a backend server may run now.

    A limit grows only by answers to requests that were started under it.
    """

    __slots__ = (
        "_good",
        "_identity",
        "_level",
        "_limit",
        "_period",
        "_settings",
        "_slow",
        "_slow_wait",
        "_suspect",
    )

    def __init__(self, settings: WarmthSettings | None = None) -> None:
        self._settings = settings or WarmthSettings()
        self._level = LatencyLevel()
        # What the server reported of itself, by source.
        self._identity: dict[str, str | float] = {}
        self._period = 0
        self._limit = 0
        # Start and end of the wait that was found slow first, in seconds.
        self._slow_wait = (0.0, 0.0)
        # True from a lost connection to the next health report.
        self._suspect = False
        self.reset()

    @property
    def limit(self) -> int:
        """Requests that the server may run at once."""
        limit = min(self._limit, self._settings.max_running)
        return min(limit, self._settings.limit) if self._suspect else limit

    @property
    def cold(self) -> bool:
        """True until the limit has reached ``max_running``."""
        return self._limit < self._settings.max_running

    @property
    def period(self) -> int:
        """Number of the present limit; a request keeps the one it started under."""
        return self._period

    def configure(self, settings: WarmthSettings) -> None:
        """Takes changed settings; a warm server stays warm."""
        warm = not self.cold
        untouched = self._limit == self._settings.limit
        self._settings = settings
        if warm:
            self._limit = settings.max_running
        elif untouched:
            self._limit = min(settings.limit, settings.max_running)

    def reset(self) -> None:
        """Starts a cold start; the latency level of earlier runs is kept."""
        self._limit = min(self._settings.limit, self._settings.max_running)
        self._suspect = False
        self._begin_period()

    def on_health(self, incarnation: str | None, started_at: float | None) -> bool:
        """Compares the server's identity with the one known.

        :param incarnation: None when the server does not report one.
        :param started_at: seconds since the epoch, or None.
        :returns: True when the server was restarted, or may have been and does not
            report an identity.
        """
        unknown = incarnation is None and started_at is None
        if self._suspect and unknown:
            self.reset()
            return True
        self._suspect = False
        return self._identify(incarnation=incarnation, health_started_at=started_at)

    def on_load_report(self, started_at: float | None) -> bool:
        """Compares the start time in the load report with the one known.

        It is kept apart from that of the health report, since a server may
        measure the two at different moments of its start.

        :returns: True when the server was restarted.
        """
        return self._identify(load_started_at=started_at)

    def on_answer(
        self,
        period: int,
        first_token_s: float,
        computed: int,
        running: int = 1,
        started_at: float | None = None,
    ) -> bool:
        """Takes a good answer.

        :param period: :attr:`period` when the request was started.
        :param first_token_s: seconds from the start to the first body byte.
        :param computed: prompt tokens that were not in the cache.
        :param running: requests at the server when this one was started.
        :param started_at: seconds; without it the wait overlaps no other one.
        :returns: True when this answer showed that the server is cold.
        """
        factor = self._settings.slow_factor
        if self._level.is_slow(computed, running, first_token_s, factor):
            return self._on_slow(started_at, first_token_s)
        self._slow = 0
        self._level.add(computed, running, first_token_s)
        if self.cold and period == self._period:
            self._good += 1
            if self._good >= self._settings.evidence:
                self._grow()
        return False

    def on_connection_lost(self) -> None:
        """Takes a connection that broke during a request.

        The server may have been restarted. The cold limit holds until a health
        report tells, since probes are a second apart.
        """
        self._good = 0
        self._suspect = True

    def on_failure(self) -> None:
        """Takes a failed answer: the evidence at this limit starts again."""
        self._good = 0

    def _identify(self, **reported: str | float | None) -> bool:
        new = {name: value for name, value in reported.items() if value is not None}
        restarted = any(
            self._identity.get(name, value) != value for name, value in new.items()
        )
        self._identity.update(new)
        if restarted:
            self.reset()
        return restarted

    def _on_slow(self, started_at: float | None, first_token_s: float) -> bool:
        self._good = 0
        if started_at is not None:
            ended_at = started_at + first_token_s
            start, end = self._slow_wait
            if self._slow and started_at < end and start < ended_at:
                return False
            self._slow_wait = (started_at, ended_at)
        self._slow += 1
        if self._slow < SLOW_ANSWERS:
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
        self._good = 0
        self._slow = 0
