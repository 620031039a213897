import asyncio
import contextlib
import io
import json
import tempfile
import unittest
from collections import Counter
from dataclasses import replace
from pathlib import Path

from emulator.audit import ZoneMove, audit_executions, audit_zone
from emulator.batching import PerformanceModel
from emulator.caller import CHAT_PATH, Call, Caller, CallResult
from emulator.demo import Demo, DemoConfig
from emulator.deployments import LEAFLINE
from emulator.engine import Engine
from emulator.engine_config import EngineConfig
from emulator.launch import LaunchConfig, Launcher
from emulator.load import LoadGenerator, LoadReport, workload_for
from emulator.processes import LaunchError
from emulator.standin import HistoryFile, StandInServer
from emulator.workload import action_plans, chat_plans
from heatherswitch.util.http_client import HttpClient
from heatherswitch.util.http_server import HttpServer
from test.emulated import read_history_file, set_faults


def chat_call(text: str = "hello", stream: bool = True) -> Call:
    body = {"messages": [{"role": "user", "content": text}], "stream": stream}
    return Call("c1", "w1", "bidder", CHAT_PATH, body)


class CallerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.engine = Engine(
            EngineConfig(warm=True, performance=PerformanceModel(step_s=0.001))
        )
        self.engine.start()
        self.addCleanup(self.engine.stop)
        self.server = StandInServer(self.engine)
        await self.server.start()
        self.addAsyncCleanup(self.server.stop, 0)
        self.client = HttpClient.from_address(self.server.address)
        self.addCleanup(self.client.close)

    def caller(self, *addresses: str, history: HistoryFile | None = None) -> Caller:
        addresses = addresses or (self.server.address,)
        caller = Caller(list(addresses), {"w1": "demo-w1"}, history)
        self.addCleanup(caller.close)
        return caller

    async def test_correct_response_is_accepted_and_timed(self):
        # Guards against a check that rejects correct responses.
        for stream in (True, False):
            result = await self.caller().call(chat_call(stream=stream))
            self.assertEqual((result.outcome, result.problem), ("answered", ""))
        result = await self.caller().call(chat_call("more"))
        self.assertGreater(len(result.token_gaps_s), 5)
        self.assertGreater(result.total_s, result.first_token_s)

    async def test_faulty_responses_are_detected(self):
        # Guards against a check that accepts swapped or truncated responses.
        await self.caller().call(chat_call("first"))
        cases = {"swap_id": "wrong", "truncate": "wrong", "cut": "no_answer"}
        for kind, outcome in {**cases, "error": "refused"}.items():
            with self.subTest(kind):
                await set_faults(self.client, {"kind": kind})
                call = replace(chat_call("second"), request_id=kind)
                result = await self.caller().call(call, max_attempts=1)
                self.assertEqual(result.outcome, outcome)

    async def test_truncated_event_is_followed_by_its_error(self):
        # Guards against a crash on an event that a router had to truncate.
        error = {"outcome": "failed", "code": "truncated", "retry": "never"}

        async def serve(request, responder) -> None:
            await responder.start(200, [("Content-Type", "text/event-stream")])
            await responder.write(b'data: {"choices": [{"del\n\n')
            await responder.write(b"data: " + json.dumps({"error": error}).encode())
            await responder.write(b"\n\n")
            await responder.finish()

        server = HttpServer(serve)
        await server.start("127.0.0.1", 0)
        self.addAsyncCleanup(server.stop, 0)
        result = await self.caller(f"127.0.0.1:{server.port}").call(chat_call())
        self.assertEqual((result.outcome, result.error_outcome), ("refused", "failed"))

    async def test_retry_uses_the_next_router(self):
        # Guards against a caller that gives up when a router is unreachable.
        closed = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
        unreachable = f"127.0.0.1:{closed.sockets[0].getsockname()[1]}"
        closed.close()
        await closed.wait_closed()
        with tempfile.NamedTemporaryFile() as file:
            caller = self.caller(
                unreachable, self.server.address, history=HistoryFile(file.name)
            )
            result = await caller.call(chat_call())
            events = [line["event"] for line in read_history_file(file.name)]
        self.assertEqual((result.outcome, result.attempts), ("answered", 2))
        self.assertEqual(events, ["asked", "no_answer", "asked", "answered"])

    async def test_open_loop_run_reuses_prefixes(self):
        # Guards against a workload whose chats have no further turns.
        config = workload_for(
            LEAFLINE, seconds=1.0, chats_per_s=8, actions_per_s=0, pause_s=0.05
        )
        report = await LoadGenerator(self.caller(), config, {}).run()
        self.assertGreater(len(report.results), 5)
        self.assertEqual(len(report.with_outcome("answered")), len(report.results))
        self.assertGreater(report.cache_reuse, 0.2)
        self.assertEqual(len(report.lines()), 1 + len(report.classes))


class WorkloadTest(unittest.TestCase):
    def test_same_seed_gives_the_same_workload(self):
        # Guards against runs that cannot be reproduced.
        config = workload_for(LEAFLINE, seconds=20.0)
        self.assertEqual(chat_plans(config), chat_plans(config))
        self.assertNotEqual(action_plans(config), action_plans(replace(config, seed=2)))

    def test_surge_raises_the_rate_of_one_workspace_only(self):
        # Guards against a surge that has no effect or affects all workspaces.
        config = workload_for(
            LEAFLINE,
            seconds=300.0,
            actions_per_s=10.0,
            surge_workspace="kingston-traders",
            surge_factor=10.0,
            surge_start_s=100.0,
            surge_end_s=200.0,
        )
        counts = Counter(
            (plan.workspace == "kingston-traders", int(plan.at_s // 100))
            for plan in action_plans(config)
        )
        self.assertGreater(counts[True, 1], 6 * counts[True, 0])
        self.assertLess(counts[False, 1], 1.5 * counts[False, 0])


class AuditTest(unittest.TestCase):
    def test_repeated_or_missing_execution_is_reported(self):
        # Guards against a demo that passes although a settlement was executed twice.
        report = LoadReport({})
        for key in ("once", "twice", "never"):
            call = Call(key, "w1", "settlement", "/ledger/settle", key=key)
            report.add(call, CallResult("answered"))
        problems = audit_executions(report, Counter(once=1, twice=2))
        self.assertEqual(len(problems), 2)

    def test_late_start_in_a_zone_is_reported(self):
        # Guards against a demo that misses requests started in a zone that is out.
        out = ZoneMove("z", True, 10.0, 10.1)
        back = ZoneMove("z", False, 20.0, 20.1)
        times = (9.0, 11.0, 14.0, 21.1)
        events = [{"event": "started", "time": time} for time in times]
        events.append({"event": "cancelled", "time": 12.0})
        audit = audit_zone(events, out, back, 3.0)
        self.assertEqual(audit.interrupted, 1)
        self.assertEqual(audit.late_starts, 1)
        self.assertAlmostEqual(audit.last_start_s, 3.9)
        self.assertAlmostEqual(audit.resumed_s, 1.0)


class DemoTest(unittest.IsolatedAsyncioTestCase):
    async def run_demo(self, *ledger_arguments: str) -> tuple[Demo, str]:
        directory = self.enterContext(tempfile.TemporaryDirectory())
        # The fake fleet does not use the store; any module that writes a ready file does.
        launch = LaunchConfig(
            run_directory=Path(directory),
            router_module="test.fake_fleet",
            agent_module="test.fake_fleet",
            store_module="emulator.vmlist",
            extra_arguments={"ledger": ledger_arguments, "appraiser": ("--warm",)},
        )
        demo = Demo(
            DemoConfig(
                launch,
                seconds=4.0,
                kill_router_at_s=1.0,
                zone_out_at_s=1.5,
                zone_back_at_s=2.5,
            )
        )
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            await demo.run()
        return demo, output.getvalue()

    async def test_failed_start_leaves_no_process(self):
        # Guards against processes that keep running after a failed start.
        directory = Path(self.enterContext(tempfile.TemporaryDirectory()))
        launch = Launcher(
            LaunchConfig(
                run_directory=directory,
                router_module="test.fake_fleet",
                agent_module="test.no_such_module",
                store_module="emulator.vmlist",
            )
        )
        with self.assertRaisesRegex(LaunchError, "agent-"):
            await launch.start()
        processes = [*launch.routers, launch.store]
        processes += [part for b in launch.backends for part in (b.server, b.agent)]
        self.assertFalse([process.name for process in processes if process.alive])

    async def test_demo_runs_against_a_fake_fleet(self):
        # Guards against incompatible changes to launcher, load generator and checks.
        demo, output = await self.run_demo("--checks-idempotency")
        self.assertEqual(demo.problems, [])
        self.assertIn("cache reuse", output)
        self.assertIn("killed router r1", output)
