"""Proofs of P1 to P6 on real processes; each fails when its invariant is violated.

Every proof checks all rules, so that a fault cannot pass by breaking another one.
"""

import asyncio
import unittest

from emulator import links
from test.proof_case import WARM, WORKSPACE, Load, ProofCase, agent_of

ERRORS = {"kind": "error", "rate": 1.0}


class LoadProofs(ProofCase):
    """P1, P2 and P4."""

    async def test_p1_hot_chats_stay_within_the_load_bound_while_an_agent_dies(self):
        # Guards against an engine above 1.25 x mean + 1 under skew (F1, F11).
        trial = await self.start(extra_arguments=WARM)
        async with Load(trial, chats_per_s=30, settlements_per_s=0):
            for burst in range(4):
                calls = [trial.chat("hot", WORKSPACE, 40) for _ in range(12)]
                waiting = asyncio.gather(*(trial.call(call) for call in calls))
                if burst == 1:
                    await trial.kill(agent_of(trial.launch, "appraiser-1"))
                await waiting
            await trial.restart(agent_of(trial.launch, "appraiser-1"))
            await asyncio.sleep(2.0)
        self.assertGreater(trial.counts["chat answered"], 60)
        await self.assert_green(trial, skipped=frozenset())

    async def test_p2_cold_engines_get_no_more_than_their_limit(self):
        # Guards against overload of engines that start, also after a kill (F1).
        trial = await self.start()
        async with Load(trial, chats_per_s=30, settlements_per_s=0):
            await asyncio.sleep(3.0)
            server = trial.launch.backends_of("appraiser")[0].server
            await trial.kill(server)
            await asyncio.sleep(1.0)
            await trial.restart(server)
            await asyncio.sleep(4.0)
        await self.assert_green(trial)

    async def test_p2_silent_loss_of_warmth_is_noticed(self):
        # Guards against overload of an engine that became cold without a sign (F12).
        trial = await self.start()
        async with Load(trial, chats_per_s=30, settlements_per_s=0):
            await asyncio.sleep(4.0)
            server = trial.launch.backends_of("appraiser")[0].server
            await trial.set_server_faults(server, {"kind": "go_cold"})
            await trial.set_server_faults(server)
            await asyncio.sleep(6.0)
        await self.assert_green(trial)

    async def test_p4_version_that_fails_at_once_is_taken_back(self):
        # Guards against a bad version that keeps or gains traffic (F13).
        trial = await self.start(extra_arguments=WARM)
        launch = trial.launch
        engines, zone = launch.deployment.engines, launch.deployment.zones[0]
        backend = await launch.add_backend(engines, zone, "v2", ("--warm",))
        trial.record_backend(backend)
        await trial.set_server_faults(backend.server, ERRORS)
        path = f"/v1/versions/{engines.name}/v2/start"
        body, names = {"deadline_s": 20}, {"service": engines.name, "version": "v2"}
        async with Load(trial, chats_per_s=40, settlements_per_s=0):
            answer = await trial.send_command(
                "version_start", "POST", path, body, **names
            )
            self.assertIsNotNone(answer)
            await asyncio.sleep(21.0)
        await self.assert_green(trial)


class RequestProofs(ProofCase):
    """P5 and P6."""

    async def test_p5_crossed_answers_and_silent_connections_reach_no_caller(self):
        # Guards against answers of other requests, and mixed ones (F4, F16, F17).
        trial = await self.start(extra_arguments=WARM)
        servers = [item.server for item in trial.launch.backends_of("appraiser")]
        async with Load(trial):
            for kind in ("swap_answer", "swap_id", "truncate"):
                for server in servers:
                    await trial.set_server_faults(server, {"kind": kind, "rate": 0.3})
                await asyncio.sleep(2.0)
            for server in servers:
                await trial.set_server_faults(server)
            trial.set_link_faults("agent:agent-appraiser-1", links.DROP_EXISTING, "silent")
            trial.set_link_faults("backend:agent-appraiser-2", links.DROP_EXISTING, "silent")
            await asyncio.sleep(5.0)
            trial.clear_link_faults("agent:agent-appraiser-1", "silent")
            trial.clear_link_faults("backend:agent-appraiser-2", "silent")
        self.assertGreater(trial.counts["chat answered"], 100)
        await self.assert_green(trial)

    async def test_p6_not_run_is_true_when_answers_are_lost(self):
        # Guards against a false "not run" after an agent got the request (F1, F3).
        trial = await self.start(extra_arguments=WARM)
        async with Load(trial, settlements_per_s=20):
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
        await self.assert_green(trial)


if __name__ == "__main__":
    unittest.main()
