"""Computes the cache reuse and load of engines from recorded calls and events."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from emulator.caller import Call, CallResult
from emulator.completions import prompt_words
from emulator.prefix_cache import PrefixCache

# Events that an engine records when a request ends.
END_EVENTS = ("finished", "cancelled", "failed")


@dataclass(frozen=True, slots=True)
class TimedCall:
    """A call with its start and end, in seconds since the epoch."""

    call: Call
    result: CallResult
    started_at: float
    ended_at: float

    @property
    def chat_turn(self) -> tuple[str, int]:
        """Id of the chat, and number of the turn counted from 0."""
        name, _, turn = self.call.request_id.rpartition("-")
        return name, int(turn)


@dataclass(frozen=True, slots=True)
class PoolMembership:
    """Period in which an engine belonged to the pool, in seconds since the epoch."""

    engine: str
    since: float
    until: float = float("inf")


def best_cached_tokens(calls: Sequence[TimedCall], blocks: int) -> dict[str, int]:
    """Replays calls through one cache of the size of all engines' caches together.

    Like an engine, it stores a prompt at the first token, and the prompt with its
    response at the end.

    :param blocks: capacity of the cache in blocks.
    :returns: tokens served from cache by request id, for answered calls only.
    """
    cache = PrefixCache(blocks)
    cached: dict[str, int] = {}
    steps = []
    for item in calls:
        if item.result.outcome == "answered":
            prompt = prompt_words(item.call.body["messages"])
            first = item.started_at + item.result.first_token_s
            steps.append((item.started_at, 0, item, prompt))
            steps.append((first, 1, item, prompt))
            whole = prompt + item.result.text.split()
            steps.append((item.ended_at, 2, item, whole))
    for time, kind, item, words in sorted(steps, key=lambda step: step[:2]):
        if kind:
            cache.store(words, time)
        else:
            cached[item.call.request_id] = cache.cached_tokens(words)
    return cached


@dataclass(slots=True)
class ReuseSummary:
    """Cache reuse of a set of calls, compared with :func:`best_cached_tokens`.

    :param best_tokens: tokens that the best possible cache would have served.
    :param moved_turns: turns that ran on another engine than the previous turn.
    :param followup_turns: turns other than the first ones of their chats.
    :param missed_tokens: difference to ``best_tokens`` by cause: ``moved`` (the previous
        turn ran on another engine), ``first`` (first turn of a chat) and ``same``
        (previous turn on the same engine).
    """

    prompt_tokens: int = 0
    cached_tokens: int = 0
    best_tokens: int = 0
    moved_turns: int = 0
    followup_turns: int = 0
    missed_tokens: Counter[str] = field(default_factory=Counter)

    @property
    def cached_share(self) -> float:
        """Share of the prompt tokens served from cache."""
        return self.cached_tokens / self.prompt_tokens if self.prompt_tokens else 0.0

    @property
    def best_share(self) -> float:
        """Share of the prompt tokens that the best possible cache would have served."""
        return self.best_tokens / self.prompt_tokens if self.prompt_tokens else 0.0

    @property
    def share_of_best(self) -> float:
        """Tokens served from cache, relative to the best possible cache."""
        return self.cached_tokens / self.best_tokens if self.best_tokens else 0.0

    def add(self, item: TimedCall, best: int, moved: bool | None) -> None:
        """Adds an answered call.

        :param best: tokens that the best possible cache serves for the call.
        :param moved: whether the previous turn ran on another engine; None for the
            first turn.
        """
        self.prompt_tokens += item.result.prompt_tokens
        self.cached_tokens += item.result.cached_tokens
        self.best_tokens += best
        self.followup_turns += moved is not None
        self.moved_turns += bool(moved)
        cause = {None: "first", True: "moved", False: "same"}[moved]
        self.missed_tokens[cause] += best - item.result.cached_tokens


def engine_by_call(events: Mapping[str, Iterable[dict]]) -> dict[str, str]:
    """Returns the engine that last started each call, by call id.

    :param events: recorded events by engine.
    """
    last_starts: dict[str, tuple[float, str]] = {}
    for engine, history in events.items():
        for event in history:
            if event["event"] == "started":
                # The id consists of the router's id, the call id and the attempt.
                call = event["request_id"].split(".", 1)[-1].rpartition(".")[0]
                entry = (event["time"], engine)
                last_starts[call] = max(last_starts.get(call, entry), entry)
    return {call: engine for call, (_, engine) in last_starts.items()}


@dataclass(slots=True)
class LoadAudit:
    """Load of engines compared with the mean of their pool, at each start of a request.

    :param violations: starts that exceeded the load bound (invariant P1).
    :param worst_excess: largest difference between running requests and the bound;
        negative if the bound was never reached.
    :param max_ratio: largest ratio of running requests to the mean.
    """

    starts: int = 0
    violations: int = 0
    worst_excess: float = float("-inf")
    max_running: int = 0
    max_ratio: float = 0.0
    sum_of_means: float = 0.0

    @property
    def mean_of_means(self) -> float:
        """Mean of the pool's mean load, over all starts."""
        return self.sum_of_means / self.starts if self.starts else 0.0

    def add(
        self, running: int, mean: float, bound_factor: float, bound_extra: int
    ) -> None:
        """Adds the start of a request.

        :param running: running requests of the engine, including the new one.
        :param mean: mean running requests of the pool, including the new one.
        """
        excess = running - (bound_factor * mean + bound_extra)
        self.starts += 1
        # The tolerance covers rounding errors of the floating-point bound.
        self.violations += excess > 1e-9
        self.worst_excess = max(self.worst_excess, excess)
        self.max_running = max(self.max_running, running)
        self.max_ratio = max(self.max_ratio, running / mean)
        self.sum_of_means += mean


def audit_load(
    events: Mapping[str, Iterable[dict]],
    pool: Sequence[PoolMembership],
    phase_times: Mapping[str, tuple[float, float]],
    bound_factor: float = 1.25,
    bound_extra: int = 1,
) -> dict[str, LoadAudit]:
    """Compares the load at each start of a request with the pool's mean at that time.

    :param events: recorded events by engine.
    :param pool: periods in which the engines belonged to the pool.
    :param phase_times: start and end of each phase, in seconds since the epoch.
    :param bound_factor: factor of the mean in the load bound.
    :param bound_extra: requests that the load bound adds to that.
    :returns: one audit for each phase.
    """
    steps = sorted(
        (event["time"], event["event"] == "started", engine)
        for engine, history in events.items()
        for event in history
        if event["event"] == "started" or event["event"] in END_EVENTS
    )
    running: Counter[str] = Counter()
    audits = {name: LoadAudit() for name in phase_times}
    for time, start, engine in steps:
        running[engine] += 1 if start else -1
        members = {p.engine for p in pool if p.since <= time < p.until}
        if not start or engine not in members:
            continue
        mean = sum(running[name] for name in members) / len(members)
        for name, (since, until) in phase_times.items():
            if since <= time < until:
                audits[name].add(running[engine], mean, bound_factor, bound_extra)
    return audits
