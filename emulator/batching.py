"""Continuous batching of the stand-in engine: each step advances all requests."""

import asyncio
import heapq
from collections.abc import Callable
from dataclasses import dataclass

from emulator.prefix_cache import PrefixCache


@dataclass(frozen=True, slots=True)
class PerformanceModel:
    """Step times and capacity of the engine. Times are in seconds.

    With the defaults a full batch has token gaps of about 20 ms.

    :param step_s: duration of a step with an empty batch.
    :param step_per_request_s: added to a step by each running request.
    :param prefill_per_token_s: added to a step by each uncached prompt token.
    :param prefill_chunk_tokens: most prompt tokens that one step processes.
    :param max_batch: most requests that run at once; further ones wait.
    :param safe_running: running and waiting requests above which steps take longer.
    :param overload_slowdown_factor: slowdown by load above ``safe_running``: twice
        that load multiplies the step time by 1 + this factor.
    :param cold_slowdown_factor: multiplies the step time of a completely cold engine.
        Above the default ``cold_start.slow_factor`` of 4, so that a cold start is
        detected.
    :param cold_safe_running: load at which a completely cold engine starts to fail
        requests; the limit rises to ``safe_running`` during the warm-up.
    :param warm_up_requests: finished requests after which the engine is warm.
    """

    step_s: float = 0.010
    step_per_request_s: float = 0.0006
    prefill_per_token_s: float = 0.00002
    prefill_chunk_tokens: int = 512
    max_batch: int = 16
    safe_running: int = 24
    overload_slowdown_factor: float = 8.0
    cold_slowdown_factor: float = 6.0
    cold_safe_running: int = 4
    warm_up_requests: int = 12


class GenerationFailed(Exception):
    """The engine dropped a request before its completion, as on a restart."""


class Generation:
    """One chat request in the engine, with the queue of its generated words."""

    __slots__ = (
        "_output",
        "cached_tokens",
        "completion",
        "emitted_words",
        "priority",
        "prompt",
        "remaining_prefill_tokens",
        "request_id",
    )

    def __init__(
        self, request_id: str, prompt: list[str], completion: list[str], priority: int
    ) -> None:
        self.request_id = request_id
        self.prompt = prompt
        self.completion = completion
        self.priority = priority
        self.cached_tokens = 0
        self.remaining_prefill_tokens = 0
        self.emitted_words = 0
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
        """Queues a word for :meth:`next_word`, a failure, or None for the end."""
        self._output.put_nowait(item)


class Batcher:
    """Runs the steps of the engine.

    Each step generates one word for every request whose prefill is complete.
    """

    __slots__ = (
        "_cache",
        "_clock",
        "_finished_requests",
        "_performance",
        "_running",
        "_submission_count",
        "_waiting",
        "_work_available",
    )

    def __init__(
        self,
        performance: PerformanceModel,
        cache: PrefixCache,
        clock: Callable[[], float],
    ) -> None:
        self._performance = performance
        self._cache = cache
        self._clock = clock
        self._waiting: list[tuple[int, int, Generation]] = []
        self._running: list[Generation] = []
        self._submission_count = 0
        self._finished_requests = 0
        self._work_available = asyncio.Event()

    @property
    def running(self) -> int:
        """Requests in the batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Requests that wait to enter the batch."""
        return len(self._waiting)

    @property
    def warmth(self) -> float:
        """Progress of the warm-up, from 0 (completely cold) to 1 (warm)."""
        if not self._performance.warm_up_requests:
            return 1.0
        return min(1.0, self._finished_requests / self._performance.warm_up_requests)

    @property
    def safe_running(self) -> float:
        """Load at which an engine that is not fully warm starts to fail requests."""
        cold, warm = self._performance.cold_safe_running, self._performance.safe_running
        return cold + (warm - cold) * self.warmth

    def reset_warmth(self) -> None:
        """Makes the engine completely cold, as after a restart."""
        self._finished_requests = 0

    def skip_warm_up(self) -> None:
        """Makes the engine warm at once."""
        self._finished_requests = self._performance.warm_up_requests

    def submit(self, generation: Generation) -> None:
        """Queues a request; the lowest priority number runs first."""
        self._submission_count += 1
        heapq.heappush(
            self._waiting, (generation.priority, self._submission_count, generation)
        )
        self._work_available.set()

    def cancel(self, generation: Generation) -> None:
        """Removes a waiting or running request; does nothing for a finished one."""
        if generation in self._running:
            self._running.remove(generation)
        self._waiting = [item for item in self._waiting if item[2] is not generation]
        heapq.heapify(self._waiting)

    def fail_all(self) -> None:
        """Drops all requests; their readers get :class:`GenerationFailed`."""
        for generation in [*self._running, *(item[2] for item in self._waiting)]:
            generation.put(GenerationFailed("the engine restarted"))
        self._running.clear()
        self._waiting.clear()

    def step_time(self, prefill_tokens: int = 0) -> float:
        """Returns the duration of a step in seconds at the current load and warmth."""
        performance = self._performance
        base = performance.step_s + performance.step_per_request_s * len(self._running)
        base += performance.prefill_per_token_s * prefill_tokens
        load = len(self._running) + len(self._waiting)
        excess = max(0.0, load / performance.safe_running - 1)
        overload_slowdown = 1 + performance.overload_slowdown_factor * excess
        return (
            base
            * overload_slowdown
            * (1 + (performance.cold_slowdown_factor - 1) * (1 - self.warmth))
        )

    async def run(self) -> None:
        """Runs steps until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            self._admit()
            if not self._running:
                self._work_available.clear()
                await self._work_available.wait()
                continue
            started = loop.time()
            duration = self.step_time(self._run_prefill())
            await asyncio.sleep(max(0.0, started + duration - loop.time()))
            self._emit_words()

    def _admit(self) -> None:
        while self._waiting and len(self._running) < self._performance.max_batch:
            generation = heapq.heappop(self._waiting)[2]
            generation.cached_tokens = self._cache.cached_tokens(generation.prompt)
            generation.remaining_prefill_tokens = (
                len(generation.prompt) - generation.cached_tokens
            )
            self._running.append(generation)

    def _run_prefill(self) -> int:
        """Processes one chunk of prompt tokens and returns their number."""
        budget = self._performance.prefill_chunk_tokens
        for generation in sorted(self._running, key=lambda item: item.priority):
            used = min(budget, generation.remaining_prefill_tokens)
            if used:
                generation.remaining_prefill_tokens -= used
                budget -= used
                if not generation.remaining_prefill_tokens:
                    self._cache.store(generation.prompt, self._clock())
        return self._performance.prefill_chunk_tokens - budget

    def _emit_words(self) -> None:
        for generation in list(self._running):
            if generation.remaining_prefill_tokens:
                continue
            generation.put(generation.completion[generation.emitted_words])
            generation.emitted_words += 1
            if generation.emitted_words == len(generation.completion):
                self._running.remove(generation)
                self._finished_requests += 1
                tokens = generation.prompt + generation.completion
                self._cache.store(tokens, self._clock())
                generation.put(None)
