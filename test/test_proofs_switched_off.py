"""Shows that the proofs of P1 and P5 fail if the mechanism that they test is disabled.

The same is shown for the claim fence in test_proofs_claims and for the revision check
in test_proofs_orders.
"""

import asyncio
import unittest

from test.proof_case import (
    WARM_ENGINE_ARGUMENTS,
    WORKSPACE,
    ConstantRateLoad,
    ProofCase,
)

BURST_REQUESTS = 16
# Seconds of load before the burst. It raises the limits on cold engines, so that only
# the load bound limits an engine.
WARM_UP_S = 4.0


class SwitchedOffTest(ProofCase):
    """Tests with programs of test.doubles, which have one mechanism disabled."""

    async def run_hot_burst(self, agent_module: str):
        """Sends the same chat many times at once; all copies prefer the same engine."""
        trial = await self.start_trial(
            extra_arguments=WARM_ENGINE_ARGUMENTS, agent_module=agent_module
        )
        async with ConstantRateLoad(trial, chats_per_s=30, settlements_per_s=0):
            await asyncio.sleep(WARM_UP_S)
        calls = [trial.chat("hot", WORKSPACE, 64) for _ in range(BURST_REQUESTS)]
        await asyncio.gather(*(trial.call(call) for call in calls))
        return trial

    async def test_p1_is_green_with_the_load_bound(self):
        # Guards against a burst that violates the load bound whatever the agents do.
        trial = await self.run_hot_burst("heatherswitch.ui.agent")
        await self.assert_no_violations(trial)

    async def test_p1_is_red_without_the_load_bound(self):
        # Guards against a proof that passes even without the load bound.
        agent_module = "test.doubles.agent_without_load_bound"
        trial = await self.run_hot_burst(agent_module)
        self.assertIn("P1", await self.stop_and_find_violations(trial))

    async def test_p5_is_red_without_the_identity_check(self):
        # Guards against a proof that passes even without the check of the request id.
        agent_module = "test.doubles.agent_without_identity_check"
        trial = await self.start_trial(
            extra_arguments=WARM_ENGINE_ARGUMENTS, agent_module=agent_module
        )
        for backend in trial.launch.backends_of("appraiser"):
            fault = {"kind": "swap_answer", "rate": 0.5}
            await trial.set_server_faults(backend.server, fault)
        async with ConstantRateLoad(trial, settlements_per_s=0):
            await asyncio.sleep(2.0)
        self.assertIn("P5", await self.stop_and_find_violations(trial))


if __name__ == "__main__":
    unittest.main()
