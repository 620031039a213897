"""Stand-in model engine: OpenAI chat completions with a prefix cache.

Run it with ``python -m emulator.engine --port 0 --ready-file PATH``.
"""

import asyncio
import contextlib
import json
import secrets
from collections import deque
from typing import Any
from urllib.parse import parse_qs

from emulator.batching import Batcher, Generation, GenerationFailed
from emulator.chat_format import (
    build_generation,
    encode_chunk_event,
    finish_reason,
    parse_chat,
    response_envelope,
    token_usage,
)
from emulator.engine_config import EngineConfig, add_engine_options, config_from_options
from emulator.faults import Fault, FaultRuleSet
from emulator.prefix_cache import PrefixCache
from emulator.standin import (
    HistoryFile,
    InjectedDisconnect,
    StandInServer,
    configure_stand_in_logs,
    create_option_parser,
    run_until_stopped,
)
from heatherswitch.util.clock import Clock
from heatherswitch.util.http import BadRequest, Headers, Request
from heatherswitch.util.http_server import Responder
from heatherswitch.util.metrics import Metrics

CHAT_PATH = "/v1/chat/completions"
FAULT_KINDS = (
    "delay",
    "error",
    "hang",
    "cut",
    "truncate",
    "swap_id",
    "swap_answer",
    "slow",
    "go_cold",
    "restart",
)
# Share of requests that fail while a cold engine is overloaded.
COLD_OVERLOAD_ERROR_RATE = 0.5
# The load is sampled so that metrics can report it with a lag.
LOAD_SAMPLE_PERIOD_S = 0.05


class InjectedTruncation(Exception):
    """A fault rule ends a stream early while the HTTP response stays valid."""


class Engine:
    """HTTP application of one engine process."""

    __slots__ = (
        "_batcher",
        "_cache",
        "_clock",
        "_config",
        "_counts",
        "_history",
        "_incarnation",
        "_load_samples",
        "_previous_generation",
        "_started_at",
        "_tasks",
        "rules",
    )

    def __init__(self, config: EngineConfig) -> None:
        self._config = config
        self._clock = Clock()
        self._history = HistoryFile(config.history, self._clock)
        self._cache = PrefixCache(
            config.cache_blocks, config.event_gap_rate, config.seed
        )
        self._batcher = Batcher(config.performance, self._cache, self._clock.now)
        self._counts = dict.fromkeys(
            ("started", "finished", "cancelled", "failed", "prompt", "cached"), 0
        )
        self._load_samples: deque[tuple[float, int, int]] = deque(maxlen=1000)
        self._previous_generation: Generation | None = None
        self._tasks: list[asyncio.Task] = []
        self.rules = FaultRuleSet(FAULT_KINDS, config.seed)
        self._start_new_incarnation()
        if config.warm:
            self._batcher.skip_warm_up()
        else:
            self._history.write("cold", announced=True)

    @property
    def history(self) -> HistoryFile:
        """File that records started and ended requests."""
        return self._history

    def start(self) -> None:
        """Starts the batch loop and load sampling; needs a running event loop."""
        self._tasks = [
            asyncio.create_task(self._batcher.run()),
            asyncio.create_task(self._sample_load()),
        ]

    def stop(self) -> None:
        """Stops the tasks of :meth:`start` and closes the history file."""
        for task in self._tasks:
            task.cancel()
        self._history.close()

    def stats(self) -> dict[str, Any]:
        """Returns current counters, without the lag of the metrics."""
        return {
            **self._counts,
            "running": self._batcher.running,
            "waiting": self._batcher.waiting,
            "warmth": self._batcher.warmth,
            "cache_blocks": len(self._cache),
        }

    def on_faults_replaced(self, rules: tuple[Fault, ...]) -> None:
        """Performs the rules that act at once: ``go_cold`` and ``restart``.

        ``go_cold`` resets the warm-up and the cache without a cache event or a new
        incarnation.
        """
        for rule in rules:
            if rule.kind in ("go_cold", "restart"):
                self._history.write("cold", announced=False)
            if rule.kind == "go_cold":
                self._batcher.reset_warmth()
                self._cache.clear(self._clock.now(), publish=False)
            elif rule.kind == "restart":
                self._batcher.reset_warmth()
                self._cache.clear(self._clock.now())
                self._batcher.fail_all()
                self._start_new_incarnation()

    async def serve(self, request: Request, responder: Responder) -> None:
        """Routes a request to its handler."""
        if request.path == CHAT_PATH and request.method == "POST":
            await self._handle_chat(request, responder)
        elif request.path == "/health":
            await responder.send_json(200, self._health_report())
        elif request.path == "/metrics":
            body, content_type = self._render_metrics()
            await responder.send(200, body, [("Content-Type", content_type)])
        elif request.path == "/v1/models":
            model = {"id": self._config.model, "object": "model"}
            await responder.send_json(200, {"object": "list", "data": [model]})
        elif request.path == "/v1/cache/events":
            await responder.send_json(200, self._cache_events(request.query))
        else:
            raise BadRequest(404, f"no route {request.method} {request.path}")

    def _start_new_incarnation(self) -> None:
        self._incarnation = secrets.token_hex(8)
        self._started_at = self._clock.now()

    def _health_report(self) -> dict[str, Any]:
        return {
            "status": "ok",
            "version": self._config.version,
            "started_at": self._started_at,
            "incarnation": self._incarnation,
        }

    def _render_metrics(self) -> tuple[bytes, str]:
        cutoff = self._clock.now() - self._config.report_lag_s
        running = waiting = 0
        for time, sampled_running, sampled_waiting in self._load_samples:
            if time > cutoff:
                break
            running, waiting = sampled_running, sampled_waiting
        metrics = Metrics()
        labels = {"model_name": self._config.model}
        values = {
            "num_requests_running": running,
            "num_requests_waiting": waiting,
            "prompt_tokens": self._counts["prompt"],
            "prompt_tokens_cached": self._counts["cached"],
            "process_start_time_seconds": self._started_at,
        }
        for name, value in values.items():
            metrics.gauge(name, name.replace("_", " "), labels, value)
        return metrics.render()

    def _cache_events(self, query: str) -> dict[str, Any]:
        try:
            after = int(parse_qs(query).get("after", ["0"])[0])
        except ValueError:
            raise BadRequest(400, "after must be a number") from None
        cutoff = self._clock.now() - self._config.event_lag_s
        events = self._cache.events_after(after, cutoff)
        return {"incarnation": self._incarnation, "events": events}

    async def _sample_load(self) -> None:
        while True:
            sample = (self._clock.now(), self._batcher.running, self._batcher.waiting)
            self._load_samples.append(sample)
            await asyncio.sleep(LOAD_SAMPLE_PERIOD_S)

    def _current_load(self) -> int:
        return self._batcher.running + self._batcher.waiting

    def _select_fault(self, kind: str, request_class: str = "") -> Fault | None:
        now, load = self._clock.now(), self._current_load()
        return self.rules.select(
            kind, CHAT_PATH, load, now, request_class=request_class
        )

    async def _handle_chat(self, request: Request, responder: Responder) -> None:
        body = parse_chat(request)
        request_id = request.header("x-request-id") or secrets.token_hex(8)
        generation = build_generation(body, request, request_id)
        self._record_event("started", request_id)
        final_event = "cancelled"
        try:
            request_class = request.header("x-request-class")
            final_event = await self._respond_to_chat(
                body, generation, responder, request_class
            )
        except InjectedTruncation:
            final_event = "failed"
        except (GenerationFailed, InjectedDisconnect):
            final_event = "failed"
            raise ConnectionResetError(
                "response aborted by an injected fault"
            ) from None
        finally:
            self._batcher.cancel(generation)
            self._record_event(final_event, request_id)

    async def _respond_to_chat(
        self, body, generation, responder, request_class: str = ""
    ) -> str:
        """Responds to a chat request and returns the event for the history file."""
        delay = self._select_fault("delay", request_class)
        if delay:
            await asyncio.sleep(delay.seconds)
        if self._select_fault("hang", request_class):
            await asyncio.Event().wait()
        error = (
            self._select_fault("error", request_class) or self._cold_overload_error()
        )
        if error:
            await self._send_error(error, generation.request_id, responder)
            return "failed"
        response_request_id = self._response_request_id(generation)
        self._batcher.submit(generation)
        headers = [("X-Request-Id", response_request_id)]
        if body.get("stream"):
            await self._send_event_stream(body, generation, responder, headers)
        else:
            await self._send_json_completion(body, generation, responder, headers)
        return "finished"

    def _response_request_id(self, generation: Generation) -> str:
        """Returns the request id to echo, which the swap faults replace."""
        previous = self._previous_generation
        self._previous_generation = generation
        if previous is None:
            return generation.request_id
        if self._select_fault("swap_answer"):
            generation.completion = previous.completion
            return previous.request_id
        if self._select_fault("swap_id"):
            return previous.request_id
        return generation.request_id

    def _cold_overload_error(self) -> Fault | None:
        """Returns an error for some requests while a cold engine is overloaded."""
        if (
            self._batcher.warmth >= 1
            or self._current_load() < self._batcher.safe_running
        ):
            return None
        # Every n-th request instead of random ones, so that runs are reproducible.
        error_interval = round(1 / COLD_OVERLOAD_ERROR_RATE)
        return Fault("error") if self._counts["started"] % error_interval == 0 else None

    async def _send_error(self, fault: Fault, request_id: str, responder) -> None:
        error = {
            "message": "the engine failed",
            "type": "server_error",
            "param": None,
            "code": "engine_error",
        }
        headers = [("X-Request-Id", request_id)]
        await responder.send_json(fault.status, {"error": error}, headers)

    async def _generate_words(self, generation: Generation):
        """Yields the words of a generation.

        :raises InjectedDisconnect: halfway, by a ``cut`` fault.
        :raises InjectedTruncation: halfway, by a ``truncate`` fault.
        """
        cut, truncate, slow = map(self._select_fault, ("cut", "truncate", "slow"))
        half = len(generation.completion) // 2
        position = 0
        while (word := await generation.next_word()) is not None:
            if slow:
                await asyncio.sleep(slow.seconds)
            if position >= half and cut:
                raise InjectedDisconnect("connection closed by an injected fault")
            if position >= half and truncate:
                raise InjectedTruncation("response truncated by an injected fault")
            position += 1
            yield word
        self._counts["prompt"] += len(generation.prompt)
        self._counts["cached"] += generation.cached_tokens

    async def _send_json_completion(
        self, body, generation, responder, headers: Headers
    ) -> None:
        words, error = [], None
        try:
            async for word in self._generate_words(generation):
                words.append(word)
        except (InjectedDisconnect, InjectedTruncation) as injected:
            error = injected
        completion = response_envelope(body, generation, "chat.completion")
        message = {"role": "assistant", "content": " ".join(words)}
        completion["choices"] = [
            {"index": 0, "message": message, "finish_reason": finish_reason(body)}
        ]
        completion["usage"] = token_usage(generation)
        data = json.dumps(completion).encode()
        response_headers = [*headers, ("Content-Type", "application/json")]
        await responder.start(
            200, [*response_headers, ("Content-Length", str(len(data)))]
        )
        if error:
            await responder.write(data[: len(data) // 2])
            raise error
        await responder.write(data)
        await responder.finish()

    async def _send_event_stream(
        self, body, generation, responder, headers: Headers
    ) -> None:
        response_headers = [*headers, ("Content-Type", "text/event-stream")]
        envelope = response_envelope(body, generation, "chat.completion.chunk")
        separator = ""
        try:
            async for word in self._generate_words(generation):
                delta = {"content": separator + word}
                if not separator:
                    await responder.start(200, response_headers)
                    delta = {"role": "assistant", **delta}
                separator = " "
                await responder.write(encode_chunk_event(envelope, delta, None))
        except InjectedTruncation:
            # The HTTP response ends properly but lacks its last events.
            await responder.finish()
            raise
        await responder.write(encode_chunk_event(envelope, {}, finish_reason(body)))
        if (body.get("stream_options") or {}).get("include_usage"):
            usage_chunk = {**envelope, "choices": [], "usage": token_usage(generation)}
            await responder.write(
                b"data: " + json.dumps(usage_chunk).encode() + b"\n\n"
            )
        await responder.write(b"data: [DONE]\n\n")
        await responder.finish()

    def _record_event(self, event: str, request_id: str) -> None:
        self._counts[event] += 1
        self._history.write(
            event,
            request_id=request_id,
            running=self._batcher.running,
            waiting=self._batcher.waiting,
        )


async def _main(options) -> None:
    engine = Engine(config_from_options(options))
    engine.start()
    await run_until_stopped(StandInServer(engine), options)
    engine.stop()


def main() -> None:
    """Runs the engine until SIGTERM."""
    parser = create_option_parser("engine", __doc__)
    add_engine_options(parser)
    options = parser.parse_args()
    configure_stand_in_logs("engine", options)
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(_main(options))


if __name__ == "__main__":
    main()
