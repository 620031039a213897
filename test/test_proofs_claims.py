"""Proofs of P7 on real processes, and that they fail without the claim fence."""

import asyncio
import unittest

from test.proof_case import WARM, WORKSPACE, Load, ProofCase, agent_of

# How long the network holds a request back. The agent is paused meanwhile, for longer
# than the 10 s after which a silent member is removed and its partitions change hands.
HELD_BACK_S = 12.0
PAUSE_S = 14.0
UNFENCED = "test.doubles.agent_without_fence"


class ClaimProofs(ProofCase):
    """Non-idempotent requests run at most once."""

    async def test_p7_settlements_run_once_while_processes_die(self):
        # Guards against repeats after lost answers of the store and the death of
        # routers and agents (F1, F7).
        trial = await self.start(extra_arguments=WARM)
        launch = trial.launch
        async with Load(trial, chats_per_s=5, settlements_per_s=30):
            await trial.store_faults(lose_answer=0.3)
            await asyncio.sleep(2.0)
            await trial.kill(launch.routers[0])
            await asyncio.sleep(1.0)
            await trial.restart(launch.routers[0])
            await trial.store_faults()
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
        trial.cut(link, {"to_target": {"delay_s": HELD_BACK_S}}, "late")
        trial.pause(agent)
        calls = [trial.settlement(f"late-{n}", WORKSPACE) for n in range(8)]
        sent = [asyncio.create_task(trial.call(call, 1)) for call in calls]
        resumed = asyncio.create_task(self._resume(trial, agent))
        await asyncio.gather(*sent)
        # The callers repeat until the other agent has taken the partitions over.
        for call in calls:
            for _ in range(20):
                again = trial.settlement(call.key, WORKSPACE)
                result = await trial.call(again, 1)
                if result.outcome == "answered" or resumed.done():
                    break
                await asyncio.sleep(0.5)
        await resumed
        await asyncio.sleep(3.0)
        trial.heal(link, "late")
        return trial

    async def _resume(self, trial, agent) -> None:
        await asyncio.sleep(PAUSE_S)
        trial.resume(agent)

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
