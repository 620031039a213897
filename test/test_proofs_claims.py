"""Proofs of P7, at-most-once execution of non-idempotent requests, on real processes.

The last test shows that the proof with a paused owner fails without the claim fence.
"""

import asyncio
import time
import unittest

from test.proof_case import (
    WARM_ENGINE_ARGUMENTS,
    WORKSPACE,
    ConstantRateLoad,
    ProofCase,
    agent_of,
)

# Seconds for which the network delays a request while the agent is paused. More than
# the 10 s after which a silent member is removed and its partitions get another owner.
DELIVERY_DELAY_S = 12.0
# Shortest pause in seconds. The delayed requests must be in the agent's socket buffer
# when it continues, so that it reads them before it learns that it lost its partitions.
MIN_PAUSE_S = DELIVERY_DELAY_S + 2.0
# Seconds within which another agent must take a partition over: four times the 10 s
# above, since the agents share a machine with other tests.
TAKEOVER_TIMEOUT_S = 40.0
AGENT_WITHOUT_FENCE = "test.doubles.agent_without_fence"


class ClaimProofs(ProofCase):
    """Non-idempotent requests run at most once."""

    async def test_p7_settlements_run_once_while_processes_die(self):
        # Guards against a second execution after the store's responses to writes are
        # lost (F7) or a router or an agent is killed (F1).
        trial = await self.start_trial(extra_arguments=WARM_ENGINE_ARGUMENTS)
        launch = trial.launch
        async with ConstantRateLoad(trial, chats_per_s=5, settlements_per_s=30):
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
        await self.assert_no_violations(trial)

    async def run_with_delayed_requests(self, agent_module: str):
        """Delivers requests to an agent that does not know that it lost its partitions.

        The agent is paused (F2) and the requests to it are delayed (F16) until another
        agent has taken its partitions over.
        """
        trial = await self.start_trial(
            extra_arguments=WARM_ENGINE_ARGUMENTS, agent_module=agent_module
        )
        agent = agent_of(trial.launch, "ledger-1")
        # Claim keys across the partitions, so that each partition has an owner.
        keys = [f"before-{n}" for n in range(24)]
        await asyncio.gather(
            *(trial.call(trial.settlement(key, WORKSPACE)) for key in keys)
        )
        link = f"agent:{agent.name}"
        trial.set_link_faults(
            link, {"to_target": {"delay_s": DELIVERY_DELAY_S}}, "late"
        )
        trial.pause(agent)
        calls = [trial.settlement(f"late-{n}", WORKSPACE) for n in range(8)]
        tasks = [asyncio.create_task(trial.call(call, 1)) for call in calls]
        paused_at = time.monotonic()
        results = await asyncio.gather(*tasks)
        # Requests that were answered belong to partitions of the other agent.
        delayed = [
            settlement
            for settlement, result in zip(calls, results, strict=True)
            if result.outcome != "answered"
        ]
        self.assertTrue(delayed, "no request was delayed")
        retries = [
            asyncio.create_task(self._retry(trial, settlement.key))
            for settlement in delayed
        ]
        async with asyncio.timeout(TAKEOVER_TIMEOUT_S):
            await asyncio.wait(retries, return_when=asyncio.FIRST_COMPLETED)
        await asyncio.sleep(max(0.0, paused_at + MIN_PAUSE_S - time.monotonic()))
        trial.resume(agent)
        await asyncio.sleep(3.0)
        for retry in retries:
            retry.cancel()
        await asyncio.gather(*retries, return_exceptions=True)
        trial.clear_link_faults(link, "late")
        return trial

    async def _retry(self, trial, key: str) -> None:
        """Retries a settlement until the new owner of its partition answers it."""
        while True:
            result = await trial.call(trial.settlement(key, WORKSPACE), 1)
            if result.outcome == "answered":
                return
            await asyncio.sleep(0.5)

    async def test_p7_paused_former_owner_runs_nothing_again(self):
        # Guards against a second execution by the former owner, which reads a delayed
        # request after the new owner has executed it.
        trial = await self.run_with_delayed_requests("heatherswitch.ui.agent")
        await self.assert_no_violations(trial)

    async def test_p7_is_red_without_the_claim_fence(self):
        # Guards against a proof above that passes even without the fence.
        trial = await self.run_with_delayed_requests(AGENT_WITHOUT_FENCE)
        violations = await self.stop_and_find_violations(trial)
        self.assertIn("P7", violations)


if __name__ == "__main__":
    unittest.main()
