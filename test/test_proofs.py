"""Proofs of the invariants P1, P2 and P4 to P6 on real processes.

Each proof provokes one failure and then checks all rules, so that no invariant is kept
at the expense of another one.
"""

import asyncio
import unittest

from emulator import links
from test.proof_case import (
    WARM_ENGINE_ARGUMENTS,
    WORKSPACE,
    ConstantRateLoad,
    ProofCase,
    agent_of,
)

FAIL_ALL_REQUESTS = {"kind": "error", "rate": 1.0}


class LoadProofs(ProofCase):
    """P1, the load bound; P2, the limit on cold engines; P4, the share of versions."""

    async def test_p1_hot_chats_stay_within_the_load_bound_while_an_agent_dies(self):
        # Guards against an engine with more than 1.25 x mean + 1 requests. Bursts of
        # one chat prefer one engine (F11), and an agent is killed during them (F1).
        trial = await self.start_trial(extra_arguments=WARM_ENGINE_ARGUMENTS)
        async with ConstantRateLoad(trial, chats_per_s=30, settlements_per_s=0):
            for burst in range(4):
                calls = [trial.chat("hot", WORKSPACE, 40) for _ in range(12)]
                responses = asyncio.gather(*(trial.call(call) for call in calls))
                if burst == 1:
                    await trial.kill(agent_of(trial.launch, "appraiser-1"))
                await responses
            await trial.restart(agent_of(trial.launch, "appraiser-1"))
            await asyncio.sleep(2.0)
        self.assertGreater(trial.counts["chat answered"], 60)
        await self.assert_no_violations(trial, ignored_rules=frozenset())

    async def test_p2_cold_engines_get_no_more_than_their_limit(self):
        # Guards against overload of engines that are cold, after the first start and
        # after a restart of a killed engine (F1).
        trial = await self.start_trial()
        async with ConstantRateLoad(trial, chats_per_s=30, settlements_per_s=0):
            await asyncio.sleep(3.0)
            server = trial.launch.backends_of("appraiser")[0].server
            await trial.kill(server)
            await asyncio.sleep(1.0)
            await trial.restart(server)
            await asyncio.sleep(4.0)
        await self.assert_no_violations(trial)

    async def test_p2_silent_loss_of_warmth_is_noticed(self):
        # Guards against overload of an engine that becomes cold without reporting it
        # (F12).
        trial = await self.start_trial()
        async with ConstantRateLoad(trial, chats_per_s=30, settlements_per_s=0):
            await asyncio.sleep(4.0)
            server = trial.launch.backends_of("appraiser")[0].server
            await trial.set_server_faults(server, {"kind": "go_cold"})
            await trial.set_server_faults(server)
            await asyncio.sleep(6.0)
        await self.assert_no_violations(trial)

    async def test_p4_version_that_fails_at_once_is_taken_back(self):
        # Guards against a new version that fails every request (F13) and keeps its
        # traffic or gets more.
        trial = await self.start_trial(extra_arguments=WARM_ENGINE_ARGUMENTS)
        launch = trial.launch
        engines, zone = launch.deployment.engines, launch.deployment.zones[0]
        backend = await launch.add_backend(engines, zone, "v2", ("--warm",))
        trial.record_backend(backend)
        await trial.set_server_faults(backend.server, FAIL_ALL_REQUESTS)
        path = f"/v1/versions/{engines.name}/v2/start"
        body, fields = {"deadline_s": 20}, {"service": engines.name, "version": "v2"}
        async with ConstantRateLoad(trial, chats_per_s=40, settlements_per_s=0):
            response = await trial.send_command(
                "version_start", "POST", path, body, **fields
            )
            self.assertIsNotNone(response)
            await asyncio.sleep(21.0)
        await self.assert_no_violations(trial)


class RequestProofs(ProofCase):
    """P5, each response is whole and belongs to its request; P6, "not run" is true."""

    async def test_p5_crossed_answers_and_silent_connections_reach_no_caller(self):
        # Guards against callers that get the response to another request or parts of
        # several. Servers swap (F16) and truncate (F17) responses, and connections
        # go silent (F4).
        trial = await self.start_trial(extra_arguments=WARM_ENGINE_ARGUMENTS)
        servers = [backend.server for backend in trial.launch.backends_of("appraiser")]
        async with ConstantRateLoad(trial):
            for kind in ("swap_answer", "swap_id", "truncate"):
                for server in servers:
                    await trial.set_server_faults(server, {"kind": kind, "rate": 0.3})
                await asyncio.sleep(2.0)
            for server in servers:
                await trial.set_server_faults(server)
            trial.set_link_faults(
                "agent:agent-appraiser-1", links.DROP_EXISTING, "silent"
            )
            trial.set_link_faults(
                "backend:agent-appraiser-2", links.DROP_EXISTING, "silent"
            )
            await asyncio.sleep(5.0)
            trial.clear_link_faults("agent:agent-appraiser-1", "silent")
            trial.clear_link_faults("backend:agent-appraiser-2", "silent")
        self.assertGreater(trial.counts["chat answered"], 100)
        await self.assert_no_violations(trial)

    async def test_p6_not_run_is_true_when_answers_are_lost(self):
        # Guards against a "not run" for a request that an agent received. The response
        # is lost on the link (F3), or the server or the agent is killed (F1).
        trial = await self.start_trial(extra_arguments=WARM_ENGINE_ARGUMENTS)
        async with ConstantRateLoad(trial, settlements_per_s=20):
            for agent in ("agent-appraiser-1", "agent-ledger-1"):
                trial.set_link_faults(
                    f"agent:{agent}", links.LOSE_RESPONSES, "answers lost"
                )
                await asyncio.sleep(2.0)
                trial.clear_link_faults(f"agent:{agent}", "answers lost")
            server = trial.launch.backends_of("ledger")[1].server
            await trial.kill(server)
            await asyncio.sleep(2.0)
            await trial.restart(server)
            await trial.kill(agent_of(trial.launch, "appraiser-2"))
            await asyncio.sleep(1.0)
            await trial.restart(agent_of(trial.launch, "appraiser-2"))
        await self.assert_no_violations(trial)


if __name__ == "__main__":
    unittest.main()
