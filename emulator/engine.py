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
    chunk_event,
    envelope,
    finish_reason,
    generation_for,
    parse_chat,
    usage,
)
from emulator.engine_config import EngineConfig, add_engine_options, config_from_options
from emulator.faults import Fault, FaultRules
from emulator.prefix_cache import PrefixCache
from emulator.standin import (
    AnswerCut,
    History,
    StandIn,
    option_parser,
    run_until_stopped,
    start_logs,
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
# Share of requests that fail while the engine is colder than its load allows.
FRAGILE_ERROR_RATE = 0.5
# Samples of the load, so that metrics can report it late.
SAMPLE_PERIOD_S = 0.05


class AnswerTruncated(Exception):
    """A fault rule ends a stream early but in good form."""


class Engine:
    """The app of one engine process."""

    __slots__ = (
        "_batcher",
        "_cache",
        "_clock",
        "_config",
        "_counts",
        "_history",
        "_incarnation",
        "_last",
        "_samples",
        "_started_at",
        "_tasks",
        "rules",
    )

    def __init__(self, config: EngineConfig) -> None:
        self._config = config
        self._clock = Clock()
        self._history = History(config.history, self._clock)
        self._cache = PrefixCache(
            config.cache_blocks, config.event_gap_rate, config.seed
        )
        self._batcher = Batcher(config.times, self._cache, self._clock.now)
        self._counts = dict.fromkeys(
            ("started", "finished", "cancelled", "failed", "prompt", "cached"), 0
        )
        self._samples: deque[tuple[float, int, int]] = deque(maxlen=1000)
        self._last: Generation | None = None
        self._tasks: list[asyncio.Task] = []
        self.rules = FaultRules(FAULT_KINDS, config.seed)
        self._new_incarnation()
        if config.warm:
            self._batcher.make_warm()
        else:
            self._history.write("cold", announced=True)

    @property
    def history(self) -> History:
        """The file of started and ended requests."""
        return self._history

    def start(self) -> None:
        """Starts the batch loop; needs a running event loop."""
        self._tasks = [
            asyncio.create_task(self._batcher.run()),
            asyncio.create_task(self._sample_load()),
        ]

    def stop(self) -> None:
        """Stops the batch loop."""
        for task in self._tasks:
            task.cancel()
        self._history.close()

    def stats(self) -> dict[str, Any]:
        """Returns exact counters, without the lag of the metrics."""
        return {
            **self._counts,
            "running": self._batcher.running,
            "waiting": self._batcher.waiting,
            "warmth": self._batcher.warmth,
            "cache_blocks": len(self._cache),
        }

    def on_faults(self, rules: tuple[Fault, ...]) -> None:
        """Carries out the rules that are events: a silent loss, a restart."""
        for rule in rules:
            if rule.kind in ("go_cold", "restart"):
                self._history.write("cold", announced=False)
            if rule.kind == "go_cold":
                self._batcher.make_cold()
                self._cache.clear(self._clock.now(), publish=False)
            elif rule.kind == "restart":
                self._batcher.make_cold()
                self._cache.clear(self._clock.now())
                self._batcher.fail_all()
                self._new_incarnation()

    async def serve(self, request: Request, responder: Responder) -> None:
        """Answers one request."""
        if request.path == CHAT_PATH and request.method == "POST":
            await self._chat(request, responder)
        elif request.path == "/health":
            await responder.send_json(200, self._health())
        elif request.path == "/metrics":
            body, content_type = self._metrics()
            await responder.send(200, body, [("Content-Type", content_type)])
        elif request.path == "/v1/models":
            model = {"id": self._config.model, "object": "model"}
            await responder.send_json(200, {"object": "list", "data": [model]})
        elif request.path == "/v1/cache/events":
            await responder.send_json(200, self._events(request.query))
        else:
            raise BadRequest(404, f"no route {request.method} {request.path}")

    def _new_incarnation(self) -> None:
        self._incarnation = secrets.token_hex(8)
        self._started_at = self._clock.now()

    def _health(self) -> dict[str, Any]:
        return {
            "status": "ok",
            "version": self._config.version,
            "started_at": self._started_at,
            "incarnation": self._incarnation,
        }

    def _metrics(self) -> tuple[bytes, str]:
        before = self._clock.now() - self._config.report_lag_s
        running = waiting = 0
        for time, running_then, waiting_then in self._samples:
            if time > before:
                break
            running, waiting = running_then, waiting_then
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

    def _events(self, query: str) -> dict[str, Any]:
        try:
            after = int(parse_qs(query).get("after", ["0"])[0])
        except ValueError:
            raise BadRequest(400, "after must be a number") from None
        before = self._clock.now() - self._config.event_lag_s
        events = self._cache.events_after(after, before)
        return {"incarnation": self._incarnation, "events": events}

    async def _sample_load(self) -> None:
        while True:
            sample = (self._clock.now(), self._batcher.running, self._batcher.waiting)
            self._samples.append(sample)
            await asyncio.sleep(SAMPLE_PERIOD_S)

    def _load(self) -> int:
        return self._batcher.running + self._batcher.waiting

    def _pick(self, kind: str, request_class: str = "") -> Fault | None:
        now, load = self._clock.now(), self._load()
        return self.rules.pick(kind, CHAT_PATH, load, now, request_class=request_class)

    async def _chat(self, request: Request, responder: Responder) -> None:
        body = parse_chat(request)
        request_id = request.header("x-request-id") or secrets.token_hex(8)
        generation = generation_for(body, request, request_id)
        self._record("started", request_id)
        ended = "cancelled"
        try:
            request_class = request.header("x-request-class")
            ended = await self._serve_chat(body, generation, responder, request_class)
        except AnswerTruncated:
            ended = "failed"
        except (GenerationFailed, AnswerCut):
            ended = "failed"
            raise ConnectionResetError("the answer is cut by a fault") from None
        finally:
            self._batcher.cancel(generation)
            self._record(ended, request_id)

    async def _serve_chat(
        self, body, generation, responder, request_class: str = ""
    ) -> str:
        """Answers a chat request and returns the event for the history."""
        delay = self._pick("delay", request_class)
        if delay:
            await asyncio.sleep(delay.seconds)
        if self._pick("hang", request_class):
            await asyncio.Event().wait()
        error = self._pick("error", request_class) or self._fragile_error()
        if error:
            await self._send_error(error, generation.request_id, responder)
            return "failed"
        answer_id = self._answer_identity(generation)
        self._batcher.submit(generation)
        headers = [("X-Request-Id", answer_id)]
        if body.get("stream"):
            await self._stream(body, generation, responder, headers)
        else:
            await self._send_whole(body, generation, responder, headers)
        return "finished"

    def _answer_identity(self, generation: Generation) -> str:
        """Returns the request id to echo, after the faults that swap answers."""
        other = self._last
        self._last = generation
        if other is None:
            return generation.request_id
        if self._pick("swap_answer"):
            generation.words = other.words
            return other.request_id
        if self._pick("swap_id"):
            return other.request_id
        return generation.request_id

    def _fragile_error(self) -> Fault | None:
        """Fails requests while a cold engine has more load than it can stand."""
        if self._batcher.warmth >= 1 or self._load() < self._batcher.safe_running:
            return None
        # Every second request, so that runs can be repeated.
        share = round(1 / FRAGILE_ERROR_RATE)
        return Fault("error") if self._counts["started"] % share == 0 else None

    async def _send_error(self, fault: Fault, request_id: str, responder) -> None:
        error = {
            "message": "the engine failed",
            "type": "server_error",
            "param": None,
            "code": "engine_error",
        }
        headers = [("X-Request-Id", request_id)]
        await responder.send_json(fault.status, {"error": error}, headers)

    async def _words(self, generation: Generation):
        """Yields the words, fewer of them if a fault cuts or truncates the answer."""
        cut, truncate, slow = map(self._pick, ("cut", "truncate", "slow"))
        half = len(generation.words) // 2
        position = 0
        while (word := await generation.next_word()) is not None:
            if slow:
                await asyncio.sleep(slow.seconds)
            if position >= half and cut:
                raise AnswerCut("the answer is cut by a fault")
            if position >= half and truncate:
                raise AnswerTruncated("the answer ends early by a fault")
            position += 1
            yield word
        self._counts["prompt"] += len(generation.prompt)
        self._counts["cached"] += generation.cached

    async def _send_whole(self, body, generation, responder, headers: Headers) -> None:
        words, error = [], None
        try:
            async for word in self._words(generation):
                words.append(word)
        except (AnswerCut, AnswerTruncated) as caught:
            error = caught
        answer = envelope(body, generation, "chat.completion")
        message = {"role": "assistant", "content": " ".join(words)}
        answer["choices"] = [
            {"index": 0, "message": message, "finish_reason": finish_reason(body)}
        ]
        answer["usage"] = usage(generation)
        data = json.dumps(answer).encode()
        typed = [*headers, ("Content-Type", "application/json")]
        await responder.start(200, [*typed, ("Content-Length", str(len(data)))])
        if error:
            await responder.write(data[: len(data) // 2])
            raise error
        await responder.write(data)
        await responder.finish()

    async def _stream(self, body, generation, responder, headers: Headers) -> None:
        typed = [*headers, ("Content-Type", "text/event-stream")]
        shared = envelope(body, generation, "chat.completion.chunk")
        separator = ""
        try:
            async for word in self._words(generation):
                delta = {"content": separator + word}
                if not separator:
                    await responder.start(200, typed)
                    delta = {"role": "assistant", **delta}
                separator = " "
                await responder.write(chunk_event(shared, delta, None))
        except AnswerTruncated:
            # The connection ends well, but the answer lacks its last events.
            await responder.finish()
            raise
        await responder.write(chunk_event(shared, {}, finish_reason(body)))
        if (body.get("stream_options") or {}).get("include_usage"):
            last = {**shared, "choices": [], "usage": usage(generation)}
            await responder.write(b"data: " + json.dumps(last).encode() + b"\n\n")
        await responder.write(b"data: [DONE]\n\n")
        await responder.finish()

    def _record(self, event: str, request_id: str) -> None:
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
    await run_until_stopped(StandIn(engine), options)
    engine.stop()


def main() -> None:
    """Runs the engine until SIGTERM."""
    parser = option_parser("engine", __doc__)
    add_engine_options(parser)
    options = parser.parse_args()
    start_logs("engine", options)
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(_main(options))


if __name__ == "__main__":
    main()
