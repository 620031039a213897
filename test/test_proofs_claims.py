"""Proofs of P7 on real processes, and that they fail without the claim fence."""

import asyncio
import time
import unittest

from test.proof_case import WARM, WORKSPACE, Load, ProofCase, agent_of

# How long the network holds a request back. The agent is paused meanwhile, for longer
# than the 10 s after which a silent member is removed and its partitions change hands.
HELD_BACK_S = 12.0
# Shortest pause: what was held back must wait in the agent's socket when it wakes, so
# that it reads the request before it learns that another agent has its partitions.
PAUSE_S = HELD_BACK_S + 2.0
# Time in which the other agent must have taken a partition over, in seconds: four
# times the above, since the agents share a machine with other tests.
TAKEOVER_S = 40.0
UNFENCED = "test.doubles.agent_without_fence"


class ClaimProofs(ProofCase):
    """Non-idempotent requests run at most once."""

    async def test_p7_settlements_run_once_while_processes_die(self):
        # Guards against repeats after lost answers of the store and the death of
        # routers and agents (F1, F7).
        trial = await self.start(extra_arguments=WARM)
        launch = trial.launch
        async with Load(trial, chats_per_s=5, settlements_per_s=30):
            await trial.set_store_faults(lose_answer=0.3)
            await asyncio.sleep(2.0)
            await trial.kill(launch.routers[0])
            await asyncio.sleep(1.0)
            await trial.restart(launch.routers[0])
            await trial.set_store_faults()
            await trial.kill(agent_of(launch, "ledger-1"))
            await asyncio.sleep(2.0)
            await trial.restart(agent_of(launch, "ledger-1"))
            await asyncio.sleep(2.0)
        self.assertGreater(trial.counts["settlement answered"], 50)
        await self.assert_green(trial)

    async def run_held_back_request(self, agent_module: str):
        """Delivers a request to a former owner that does not know it yet (F2, F16)."""
        trial = await self.start(extra_arguments=WARM, agent_module=agent_module)
        agent = agent_of(trial.launch, "ledger-1")
        # Claims a key in each partition, so that owners are settled.
        keys = [f"before-{n}" for n in range(24)]
        await asyncio.gather(
            *(trial.call(trial.settlement(key, WORKSPACE)) for key in keys)
        )
        link = f"agent:{agent.name}"
        trial.set_link_faults(link, {"to_target": {"delay_s": HELD_BACK_S}}, "late")
        trial.pause(agent)
        calls = [trial.settlement(f"late-{n}", WORKSPACE) for n in range(8)]
        sent = [asyncio.create_task(trial.call(call, 1)) for call in calls]
        paused_at = time.monotonic()
        results = await asyncio.gather(*sent)
        # The other agent owned the partitions of those that were answered all along.
        held = [
            c for c, r in zip(calls, results, strict=True) if r.outcome != "answered"
        ]
        self.assertTrue(held, "no request was held back")
        repeats = [asyncio.create_task(self._repeat(trial, c.key)) for c in held]
        async with asyncio.timeout(TAKEOVER_S):
            await asyncio.wait(repeats, return_when=asyncio.FIRST_COMPLETED)
        await asyncio.sleep(max(0.0, paused_at + PAUSE_S - time.monotonic()))
        trial.resume(agent)
        await asyncio.sleep(3.0)
        for repeat in repeats:
            repeat.cancel()
        await asyncio.gather(*repeats, return_exceptions=True)
        trial.clear_link_faults(link, "late")
        return trial

    async def _repeat(self, trial, key: str) -> None:
        """Repeats a settlement until the other agent has taken its partition over."""
        while True:
            result = await trial.call(trial.settlement(key, WORKSPACE), 1)
            if result.outcome == "answered":
                return
            await asyncio.sleep(0.5)

    async def test_p7_paused_former_owner_runs_nothing_again(self):
        # Guards against a request that reaches the former owner after its takeover.
        trial = await self.run_held_back_request("heatherswitch.ui.agent")
        await self.assert_green(trial)

    async def test_p7_is_red_without_the_claim_fence(self):
        # Guards against a proof that does not depend on the fence.
        trial = await self.run_held_back_request(UNFENCED)
        found = await self.violations(trial)
        self.assertIn("P7", found)


if __name__ == "__main__":
    unittest.main()
