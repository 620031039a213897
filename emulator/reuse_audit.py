"""Cache reuse and load of engines, computed from recorded calls and histories."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from emulator.caller import Call, CallResult
from emulator.completions import prompt_words
from emulator.prefix_cache import PrefixCache

# Events of an engine's history that end a request.
END_EVENTS = ("finished", "cancelled", "failed")


@dataclass(frozen=True, slots=True)
class TimedCall:
    """A call with its times, in seconds since the epoch."""

    call: Call
    result: CallResult
    started: float
    ended: float

    @property
    def chat(self) -> tuple[str, int]:
        """The chat's id and the number of the turn."""
        name, _, turn = self.call.request_id.rpartition("-")
        return name, int(turn)


@dataclass(frozen=True, slots=True)
class Presence:
    """A time in which an engine belonged to the pool, in seconds since the epoch."""

    engine: str
    since: float
    until: float = float("inf")


def best_cached(calls: Sequence[TimedCall], blocks: int) -> dict[str, int]:
    """Replays calls through one cache with the memory of all engines.

    Prompts are stored when the first token came, and prompts with their answers at
    the end, as an engine stores them.

    :param blocks: capacity of the cache.
    :returns: tokens served from cache by request id, for the calls answered.
    """
    cache = PrefixCache(blocks)
    cached: dict[str, int] = {}
    moments = []
    for item in calls:
        if item.result.outcome == "answered":
            prompt = prompt_words(item.call.body["messages"])
            first = item.started + item.result.first_token_s
            moments.append((item.started, 0, item, prompt))
            moments.append((first, 1, item, prompt))
            whole = prompt + item.result.text.split()
            moments.append((item.ended, 2, item, whole))
    for time, kind, item, words in sorted(moments, key=lambda moment: moment[:2]):
        if kind:
            cache.store(words, time)
        else:
            cached[item.call.request_id] = cache.cached_tokens(words)
    return cached


@dataclass(slots=True)
class Reuse:
    """Cache reuse of a set of calls and where the best possible was missed.

    :param lost: tokens by cause: ``moved`` (the chat's last turn ran on another
        engine), ``first`` (first turn of a chat) and ``same`` (same engine).
    """

    prompt: int = 0
    cached: int = 0
    best: int = 0
    moved_turns: int = 0
    later_turns: int = 0
    lost: Counter[str] = field(default_factory=Counter)

    @property
    def share(self) -> float:
        """Share of the prompt tokens served from cache."""
        return self.cached / self.prompt if self.prompt else 0.0

    @property
    def best_share(self) -> float:
        """The same with one cache that has all the memory."""
        return self.best / self.prompt if self.prompt else 0.0

    @property
    def of_best(self) -> float:
        """Tokens served from cache over the best possible."""
        return self.cached / self.best if self.best else 0.0

    def add(self, item: TimedCall, best: int, moved: bool | None) -> None:
        """Adds an answered call.

        :param best: tokens that the best possible cache serves.
        :param moved: whether the engine changed; None for a first turn.
        """
        self.prompt += item.result.prompt_tokens
        self.cached += item.result.cached_tokens
        self.best += best
        self.later_turns += moved is not None
        self.moved_turns += bool(moved)
        cause = {None: "first", True: "moved", False: "same"}[moved]
        self.lost[cause] += best - item.result.cached_tokens


def engine_by_call(events: Mapping[str, Iterable[dict]]) -> dict[str, str]:
    """Returns the engine that last started each call.

    :param events: histories by engine.
    """
    found: dict[str, tuple[float, str]] = {}
    for engine, history in events.items():
        for event in history:
            if event["event"] == "started":
                # The router's id, the call and the caller's attempt.
                call = event["request_id"].split(".", 1)[-1].rpartition(".")[0]
                entry = (event["time"], engine)
                found[call] = max(found.get(call, entry), entry)
    return {call: engine for call, (_, engine) in found.items()}


@dataclass(slots=True)
class LoadAudit:
    """Running requests of engines against the mean of their pool, at each start.

    :param over: starts that broke invariant P1.
    :param worst: most requests above the bound; negative without any.
    """

    starts: int = 0
    over: int = 0
    worst: float = float("-inf")
    largest: int = 0
    largest_ratio: float = 0.0
    mean_sum: float = 0.0

    @property
    def mean(self) -> float:
        """Mean running requests of an engine, over the starts."""
        return self.mean_sum / self.starts if self.starts else 0.0

    def add(self, running: int, mean: float, multiple: float, extra: int) -> None:
        """Adds a start, which ``running`` and ``mean`` already count."""
        excess = running - (multiple * mean + extra)
        self.starts += 1
        # A sum of binary fractions may exceed an equal bound by a rounding error.
        self.over += excess > 1e-9
        self.worst = max(self.worst, excess)
        self.largest = max(self.largest, running)
        self.largest_ratio = max(self.largest_ratio, running / mean)
        self.mean_sum += mean


def audit_load(
    events: Mapping[str, Iterable[dict]],
    pool: Sequence[Presence],
    spans: Mapping[str, tuple[float, float]],
    multiple: float = 1.25,
    extra: int = 1,
) -> dict[str, LoadAudit]:
    """Compares each start with the true mean of the pool at that time.

    :param events: histories by engine.
    :param pool: when each engine belonged to the pool.
    :param spans: name and times of the phases, in seconds since the epoch.
    """
    moments = sorted(
        (event["time"], event["event"] == "started", engine)
        for engine, history in events.items()
        for event in history
        if event["event"] == "started" or event["event"] in END_EVENTS
    )
    running: Counter[str] = Counter()
    audits = {name: LoadAudit() for name in spans}
    for time, start, engine in moments:
        running[engine] += 1 if start else -1
        present = {p.engine for p in pool if p.since <= time < p.until}
        if not start or engine not in present:
            continue
        mean = sum(running[name] for name in present) / len(present)
        for name, (since, until) in spans.items():
            if since <= time < until:
                audits[name].add(running[engine], mean, multiple, extra)
    return audits
