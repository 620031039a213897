import asyncio
import json
import tempfile
import unittest

from emulator.answers import expected_answer
from emulator.batching import Batcher, BatchTimes, Generation
from emulator.engine import CHAT_PATH, Engine, EngineConfig
from emulator.prefix_cache import PrefixCache
from heatherswitch.util.http import ConnectionLost
from heatherswitch.util.http_client import HttpClient
from test.emulated import read_history, serving, set_faults

FAST = BatchTimes(step_s=0.001, step_per_request_s=0, cold_factor=1)


def chat(text: str, **values) -> dict:
    return {"messages": [{"role": "user", "content": text}], **values}


class EngineTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, **values) -> HttpClient:
        engine = Engine(EngineConfig(times=FAST, event_lag_s=0, **values))
        engine.start()
        self.addCleanup(engine.stop)
        return await self.enterAsyncContext(serving(engine))

    async def ask(self, client: HttpClient, body: dict, request_id: str = "r1"):
        headers = [("X-Request-Id", request_id)]
        data = json.dumps(body).encode()
        return await client.request("POST", CHAT_PATH, headers, data, 5.0)

    async def test_stream_carries_the_same_answer_as_json(self):
        # Guards against an answer that a caller cannot tell from another one.
        client = await self.start(warm=True)
        body = chat("one two")
        whole = json.loads(await (await self.ask(client, body)).read())
        response = await self.ask(client, {**body, "stream": True})
        events = (await response.read()).decode().split("\n\n")[:-1]
        self.assertEqual(events.pop(), "data: [DONE]")
        parts = [json.loads(e[6:])["choices"][0]["delta"] for e in events]
        text = "".join(part.get("content", "") for part in parts)
        self.assertEqual(text, expected_answer(body["messages"]))
        self.assertEqual(whole["choices"][0]["message"]["content"], text)
        self.assertEqual(response.header("x-request-id"), "r1")

    async def test_next_turn_reuses_the_prefix(self):
        # Guards against a cache that never serves a returning chat.
        client = await self.start(warm=True)
        body = chat("word " * 100, max_tokens=40)
        first = json.loads(await (await self.ask(client, body)).read())
        answer = first["choices"][0]["message"]
        follow = [*body["messages"], answer, {"role": "user", "content": "go on"}]
        body = {"messages": follow, "max_tokens": 1}
        second = json.loads(await (await self.ask(client, body)).read())
        details = second["usage"]["prompt_tokens_details"]
        self.assertEqual(first["usage"]["prompt_tokens_details"]["cached_tokens"], 0)
        self.assertGreaterEqual(details["cached_tokens"], 128)
        _, events = await client.request_json("GET", "/v1/cache/events?after=0")
        self.assertEqual(events["events"][0]["type"], "stored")

    async def test_closed_connection_cancels_the_request(self):
        # Guards against work that goes on for a caller that has left.
        with tempfile.NamedTemporaryFile() as file:
            client = await self.start(warm=True, history=file.name)
            response = await self.ask(client, chat("x", stream=True, max_tokens=4000))
            await anext(response.chunks())
            response.close()
            for _ in range(100):
                _, stats = await client.request_json("GET", "/_stats")
                if stats["cancelled"]:
                    break
                await asyncio.sleep(0.05)
            events = [line["event"] for line in read_history(file.name)]
        self.assertEqual(events, ["started", "cancelled"])
        self.assertEqual(stats["running"], 0)

    async def test_faults_hit_only_matching_requests(self):
        # Guards against fault rules that hit every run or none.
        client = await self.start(warm=True)
        await set_faults(client, {"kind": "error", "status": 503, "route": "/v1"})
        response = await self.ask(client, chat("x"))
        self.assertEqual(response.status, 503)
        self.assertIn("message", json.loads(await response.read())["error"])
        await set_faults(client, {"kind": "error", "min_running": 1})
        self.assertEqual((await self.ask(client, chat("x"))).status, 200)
        status, _ = await client.request_json("POST", "/_faults", {"faults": [{}]})
        self.assertEqual(status, 400)

    async def test_swapped_and_broken_answers(self):
        # Guards against faults that leave a right-looking answer.
        client = await self.start(warm=True)
        await (await self.ask(client, chat("first"))).read()
        await set_faults(client, {"kind": "swap_answer"})
        response = await self.ask(client, chat("second"), "r2")
        self.assertEqual(response.header("x-request-id"), "r1")
        text = json.loads(await response.read())["choices"][0]["message"]["content"]
        self.assertEqual(text, expected_answer(chat("first")["messages"]))
        await set_faults(client, {"kind": "cut"})
        for stream in (False, True):
            with self.subTest(stream=stream), self.assertRaises(ConnectionLost):
                await (await self.ask(client, chat("x", stream=stream))).read()
        await set_faults(client, {"kind": "truncate"})
        response = await self.ask(client, chat("x", stream=True))
        self.assertNotIn(b"[DONE]", await response.read())

    async def test_silent_and_visible_restart(self):
        # Guards against cold faults that leave a trace where none belongs.
        client = await self.start(warm=True)
        _, before = await client.request_json("GET", "/health")
        await set_faults(client, {"kind": "go_cold"})
        _, silent = await client.request_json("GET", "/health")
        _, stats = await client.request_json("GET", "/_stats")
        self.assertEqual(silent, before)
        self.assertEqual(stats["warmth"], 0)
        await set_faults(client, {"kind": "restart"})
        _, visible = await client.request_json("GET", "/health")
        self.assertNotEqual(visible["incarnation"], before["incarnation"])
        self.assertGreater(visible["started_at"], before["started_at"])

    async def test_cold_engine_fails_under_load(self):
        # Guards against a cold start that any load survives.
        client = await self.start(cache_blocks=64)
        bodies = [chat(f"chat {n}", max_tokens=200) for n in range(12)]
        answers = await asyncio.gather(*(self.ask(client, body) for body in bodies))
        self.assertIn(500, {answer.status for answer in answers})

    async def test_metrics_report_load_late(self):
        # Guards against a load report that is fresher than that of real engines.
        client = await self.start(warm=True, report_lag_s=60)
        task = asyncio.create_task(self.ask(client, chat("x", max_tokens=500)))
        await asyncio.sleep(0.1)
        body = await (await client.request("GET", "/metrics")).read()
        self.assertIn(b'num_requests_running{model_name="appraiser"} 0', body)
        await task


class BatcherTest(unittest.IsolatedAsyncioTestCase):
    async def test_steps_slow_down_over_the_safe_load(self):
        # Guards against an engine model without a limit.
        batcher = Batcher(BatchTimes(), PrefixCache(8), lambda: 0.0)
        batcher.make_warm()
        idle = batcher.step_time()
        for number in range(48):
            batcher.submit(Generation(f"r{number}", ["a"], ["b"], number % 3))
        self.assertGreater(batcher.step_time(), 5 * idle)

    async def test_lowest_priority_number_runs_first(self):
        # Guards against urgent requests that wait behind long ones.
        times = BatchTimes(step_s=0.001, max_batch=1)
        batcher = Batcher(times, PrefixCache(8), lambda: 0.0)
        batcher.make_warm()
        late = Generation("late", ["a"], ["x"] * 50, 7)
        urgent = Generation("urgent", ["a"], ["x"], 0)
        batcher.submit(late)
        batcher.submit(urgent)
        task = asyncio.create_task(batcher.run())
        self.addCleanup(task.cancel)
        await urgent.next_word()
        self.assertEqual(late.emitted, 0)
