"""Continuous batching of the stand-in engine: steps that serve all requests."""

import asyncio
import heapq
from collections.abc import Callable
from dataclasses import dataclass

from emulator.prefix_cache import PrefixCache


@dataclass(frozen=True, slots=True)
class BatchTimes:
    """Speed of the engine. Times are in seconds.

    With the defaults a full batch has token gaps of about 20 ms.

    :param step_s: a step with an empty batch.
    :param step_per_request_s: added to a step by each running request.
    :param prefill_per_token_s: added to a step by each uncached prompt token.
    :param prefill_chunk: prompt tokens that one step processes at most.
    :param max_batch: requests that run at once; further ones wait.
    :param safe_running: running and waiting requests above which it slows down.
    :param overload_factor: factor of the step time per excess share of
        ``safe_running``, so that twice the load takes 1 + factor times as long.
    :param cold_factor: factor of the step time while completely cold; above the
        default ``cold_start.slow_factor`` of 4, so that it can be noticed.
    :param cold_running: requests that a completely cold engine can stand.
    :param warm_requests: finished requests after which the engine is warm.
    """

    step_s: float = 0.010
    step_per_request_s: float = 0.0006
    prefill_per_token_s: float = 0.00002
    prefill_chunk: int = 512
    max_batch: int = 16
    safe_running: int = 24
    overload_factor: float = 8.0
    cold_factor: float = 6.0
    cold_running: int = 4
    warm_requests: int = 12


class GenerationFailed(Exception):
    """The engine dropped a request, for example on a restart."""


class Generation:
    """One request in the engine."""

    __slots__ = (
        "_output",
        "cached",
        "emitted",
        "prefill_left",
        "priority",
        "prompt",
        "request_id",
        "words",
    )

    def __init__(
        self, request_id: str, prompt: list[str], words: list[str], priority: int
    ) -> None:
        self.request_id = request_id
        self.prompt = prompt
        self.words = words
        self.priority = priority
        self.cached = 0
        self.prefill_left = 0
        self.emitted = 0
        self._output: asyncio.Queue[str | GenerationFailed | None] = asyncio.Queue()

    async def next_word(self) -> str | None:
        """Returns the next word, or None after the last one.

        :raises GenerationFailed: if the engine dropped the request.
        """
        item = await self._output.get()
        if isinstance(item, GenerationFailed):
            raise item
        return item

    def put(self, item: "str | GenerationFailed | None") -> None:
        """Hands the next word, the end or a failure to the reader."""
        self._output.put_nowait(item)


class Batcher:
    """Runs steps; each adds a word to every request whose prefill is done."""

    __slots__ = (
        "_cache",
        "_clock",
        "_done",
        "_order",
        "_running",
        "_times",
        "_waiting",
        "_wake",
    )

    def __init__(
        self, times: BatchTimes, cache: PrefixCache, clock: Callable[[], float]
    ) -> None:
        self._times = times
        self._cache = cache
        self._clock = clock
        self._waiting: list[tuple[int, int, Generation]] = []
        self._running: list[Generation] = []
        self._order = 0
        self._done = 0
        self._wake = asyncio.Event()

    @property
    def running(self) -> int:
        """Requests in the batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Requests that wait for a place in the batch."""
        return len(self._waiting)

    @property
    def warmth(self) -> float:
        """0 when completely cold, 1 when warm."""
        if not self._times.warm_requests:
            return 1.0
        return min(1.0, self._done / self._times.warm_requests)

    @property
    def safe_running(self) -> float:
        """Requests that the engine can stand at its present warmth."""
        cold, warm = self._times.cold_running, self._times.safe_running
        return cold + (warm - cold) * self.warmth

    def make_cold(self) -> None:
        """Forgets the warmth."""
        self._done = 0

    def make_warm(self) -> None:
        """Skips the cold start."""
        self._done = self._times.warm_requests

    def submit(self, generation: Generation) -> None:
        """Adds a request; the lowest priority number runs first."""
        self._order += 1
        heapq.heappush(self._waiting, (generation.priority, self._order, generation))
        self._wake.set()

    def cancel(self, generation: Generation) -> None:
        """Removes a request, whether it waits or runs."""
        if generation in self._running:
            self._running.remove(generation)
        self._waiting = [item for item in self._waiting if item[2] is not generation]
        heapq.heapify(self._waiting)

    def fail_all(self) -> None:
        """Drops all requests."""
        for generation in [*self._running, *(item[2] for item in self._waiting)]:
            generation.put(GenerationFailed("the engine restarted"))
        self._running.clear()
        self._waiting.clear()

    def step_time(self, prefill_tokens: int = 0) -> float:
        """Returns the length of a step in seconds at the present load."""
        times = self._times
        base = times.step_s + times.step_per_request_s * len(self._running)
        base += times.prefill_per_token_s * prefill_tokens
        load = len(self._running) + len(self._waiting)
        excess = max(0.0, load / times.safe_running - 1)
        slow = 1 + times.overload_factor * excess
        return base * slow * (1 + (times.cold_factor - 1) * (1 - self.warmth))

    async def run(self) -> None:
        """Runs steps until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            self._admit()
            if not self._running:
                self._wake.clear()
                await self._wake.wait()
                continue
            started = loop.time()
            length = self.step_time(self._prefill())
            await asyncio.sleep(max(0.0, started + length - loop.time()))
            self._emit()

    def _admit(self) -> None:
        while self._waiting and len(self._running) < self._times.max_batch:
            generation = heapq.heappop(self._waiting)[2]
            generation.cached = self._cache.cached_tokens(generation.prompt)
            generation.prefill_left = len(generation.prompt) - generation.cached
            self._running.append(generation)

    def _prefill(self) -> int:
        """Advances prefill by one chunk and returns the tokens processed."""
        budget = self._times.prefill_chunk
        for generation in sorted(self._running, key=lambda item: item.priority):
            used = min(budget, generation.prefill_left)
            if used:
                generation.prefill_left -= used
                budget -= used
                if not generation.prefill_left:
                    self._cache.store(generation.prompt, self._clock())
        return self._times.prefill_chunk - budget

    def _emit(self) -> None:
        for generation in list(self._running):
            if generation.prefill_left:
                continue
            generation.put(generation.words[generation.emitted])
            generation.emitted += 1
            if generation.emitted == len(generation.words):
                self._running.remove(generation)
                self._done += 1
                tokens = generation.prompt + generation.words
                self._cache.store(tokens, self._clock())
                generation.put(None)
