import asyncio
import json
import tempfile
import unittest

from emulator.batching import Batcher, Generation, PerformanceModel
from emulator.completions import expected_completion
from emulator.engine import CHAT_PATH, Engine, EngineConfig
from emulator.prefix_cache import PrefixCache
from heatherswitch.util.http import ConnectionLost
from heatherswitch.util.http_client import HttpClient
from test.emulated import read_history_file, serve_app, set_faults

FAST = PerformanceModel(step_s=0.001, step_per_request_s=0, cold_slowdown_factor=1)


def chat(text: str, **values) -> dict:
    return {"messages": [{"role": "user", "content": text}], **values}


class EngineTest(unittest.IsolatedAsyncioTestCase):
    async def start_engine(self, **values) -> HttpClient:
        engine = Engine(EngineConfig(performance=FAST, event_lag_s=0, **values))
        engine.start()
        self.addCleanup(engine.stop)
        return await self.enterAsyncContext(serve_app(engine))

    async def send_chat(self, client: HttpClient, body: dict, request_id: str = "r1"):
        headers = [("X-Request-Id", request_id)]
        data = json.dumps(body).encode()
        return await client.request("POST", CHAT_PATH, headers, data, 5.0)

    async def test_stream_and_json_response_carry_the_same_completion(self):
        # Guards against completions from which a caller cannot tell that a response
        # belongs to its request.
        client = await self.start_engine(warm=True)
        body = chat("one two")
        json_completion = json.loads(await (await self.send_chat(client, body)).read())
        response = await self.send_chat(client, {**body, "stream": True})
        events = (await response.read()).decode().split("\n\n")[:-1]
        self.assertEqual(events.pop(), "data: [DONE]")
        deltas = [json.loads(e[6:])["choices"][0]["delta"] for e in events]
        text = "".join(delta.get("content", "") for delta in deltas)
        self.assertEqual(text, expected_completion(body["messages"]))
        self.assertEqual(json_completion["choices"][0]["message"]["content"], text)
        self.assertEqual(response.header("x-request-id"), "r1")

    async def test_next_turn_reuses_the_cached_prefix(self):
        # Guards against a prefix cache that later turns of a chat never hit.
        client = await self.start_engine(warm=True)
        body = chat("word " * 100, max_tokens=40)
        first = json.loads(await (await self.send_chat(client, body)).read())
        reply = first["choices"][0]["message"]
        second_turn = [*body["messages"], reply, {"role": "user", "content": "go on"}]
        body = {"messages": second_turn, "max_tokens": 1}
        second = json.loads(await (await self.send_chat(client, body)).read())
        details = second["usage"]["prompt_tokens_details"]
        self.assertEqual(first["usage"]["prompt_tokens_details"]["cached_tokens"], 0)
        self.assertGreaterEqual(details["cached_tokens"], 128)
        _, events = await client.request_json("GET", "/v1/cache/events?after=0")
        self.assertEqual(events["events"][0]["type"], "stored")

    async def test_closed_connection_cancels_the_request(self):
        # Guards against requests that keep running after the caller disconnects.
        with tempfile.NamedTemporaryFile() as file:
            client = await self.start_engine(warm=True, history=file.name)
            response = await self.send_chat(
                client, chat("x", stream=True, max_tokens=4000)
            )
            await anext(response.chunks())
            response.close()
            for _ in range(100):
                _, stats = await client.request_json("GET", "/_stats")
                if stats["cancelled"]:
                    break
                await asyncio.sleep(0.05)
            events = [line["event"] for line in read_history_file(file.name)]
        self.assertEqual(events, ["started", "cancelled"])
        self.assertEqual(stats["running"], 0)

    async def test_fault_rules_apply_only_to_matching_requests(self):
        # Guards against fault rules whose conditions are ignored.
        client = await self.start_engine(warm=True)
        await set_faults(client, {"kind": "error", "status": 503, "route": "/v1"})
        response = await self.send_chat(client, chat("x"))
        self.assertEqual(response.status, 503)
        self.assertIn("message", json.loads(await response.read())["error"])
        await set_faults(client, {"kind": "error", "min_running": 1})
        self.assertEqual((await self.send_chat(client, chat("x"))).status, 200)
        status, _ = await client.request_json("POST", "/_faults", {"faults": [{}]})
        self.assertEqual(status, 400)

    async def test_swapped_aborted_and_truncated_responses(self):
        # Guards against faults after which the response still looks correct.
        client = await self.start_engine(warm=True)
        await (await self.send_chat(client, chat("first"))).read()
        await set_faults(client, {"kind": "swap_answer"})
        response = await self.send_chat(client, chat("second"), "r2")
        self.assertEqual(response.header("x-request-id"), "r1")
        text = json.loads(await response.read())["choices"][0]["message"]["content"]
        self.assertEqual(text, expected_completion(chat("first")["messages"]))
        await set_faults(client, {"kind": "cut"})
        for stream in (False, True):
            with self.subTest(stream=stream), self.assertRaises(ConnectionLost):
                await (await self.send_chat(client, chat("x", stream=stream))).read()
        await set_faults(client, {"kind": "truncate"})
        response = await self.send_chat(client, chat("x", stream=True))
        self.assertNotIn(b"[DONE]", await response.read())

    async def test_go_cold_is_silent_and_restart_changes_the_incarnation(self):
        # Guards against a go_cold fault that shows in the health report, and a restart
        # that does not.
        client = await self.start_engine(warm=True)
        _, before = await client.request_json("GET", "/health")
        await set_faults(client, {"kind": "go_cold"})
        _, after_go_cold = await client.request_json("GET", "/health")
        _, stats = await client.request_json("GET", "/_stats")
        self.assertEqual(after_go_cold, before)
        self.assertEqual(stats["warmth"], 0)
        await set_faults(client, {"kind": "restart"})
        _, after_restart = await client.request_json("GET", "/health")
        self.assertNotEqual(after_restart["incarnation"], before["incarnation"])
        self.assertGreater(after_restart["started_at"], before["started_at"])

    async def test_overloaded_cold_engine_fails_requests(self):
        # Guards against a cold engine that serves any load without errors.
        client = await self.start_engine(cache_blocks=64)
        bodies = [chat(f"chat {n}", max_tokens=200) for n in range(12)]
        responses = await asyncio.gather(
            *(self.send_chat(client, body) for body in bodies)
        )
        self.assertIn(500, {response.status for response in responses})

    async def test_metrics_report_load_with_a_lag(self):
        # Guards against a load report without the lag that real engines have.
        client = await self.start_engine(warm=True, report_lag_s=60)
        task = asyncio.create_task(self.send_chat(client, chat("x", max_tokens=500)))
        await asyncio.sleep(0.1)
        body = await (await client.request("GET", "/metrics")).read()
        self.assertIn(b'num_requests_running{model_name="appraiser"} 0', body)
        await task


class BatcherTest(unittest.IsolatedAsyncioTestCase):
    async def test_steps_slow_down_above_the_safe_load(self):
        # Guards against a step time that does not depend on the load.
        batcher = Batcher(PerformanceModel(), PrefixCache(8), lambda: 0.0)
        batcher.skip_warm_up()
        idle = batcher.step_time()
        for number in range(48):
            batcher.submit(Generation(f"r{number}", ["a"], ["b"], number % 3))
        self.assertGreater(batcher.step_time(), 5 * idle)

    async def test_lowest_priority_number_runs_first(self):
        # Guards against urgent requests that wait for requests of lower priority.
        performance = PerformanceModel(step_s=0.001, max_batch=1)
        batcher = Batcher(performance, PrefixCache(8), lambda: 0.0)
        batcher.skip_warm_up()
        low_priority = Generation("late", ["a"], ["x"] * 50, 7)
        urgent = Generation("urgent", ["a"], ["x"], 0)
        batcher.submit(low_priority)
        batcher.submit(urgent)
        task = asyncio.create_task(batcher.run())
        self.addCleanup(task.cancel)
        await urgent.next_word()
        self.assertEqual(low_priority.emitted_words, 0)
