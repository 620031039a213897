"""Shows that the proofs of P1 and P5 fail without the mechanism they rest on.

The claim fence and the revision check are with their proofs, in test_proofs_claims
and test_proofs_orders.
"""

import asyncio
import unittest

from test.proof_case import WARM, WORKSPACE, Load, ProofCase

BURST = 16
# Load that raises the cold limits, so that only the load bound limits an engine.
WARM_UP_S = 4.0


class SwitchedOffTest(ProofCase):
    """Each test runs a double with one mechanism patched away."""

    async def run_hot_burst(self, agent_module: str):
        """Sends one chat many times at once, which prefers one engine."""
        trial = await self.start(extra_arguments=WARM, agent_module=agent_module)
        async with Load(trial, chats_per_s=30, settlements_per_s=0):
            await asyncio.sleep(WARM_UP_S)
        calls = [trial.chat("hot", WORKSPACE, 64) for _ in range(BURST)]
        await asyncio.gather(*(trial.call(call) for call in calls))
        return trial

    async def test_p1_is_green_with_the_load_bound(self):
        # Guards against a burst that no agent could pass.
        trial = await self.run_hot_burst("heatherswitch.ui.agent")
        await self.assert_green(trial)

    async def test_p1_is_red_without_the_load_bound(self):
        # Guards against a proof that does not depend on the bound.
        double = "test.doubles.agent_without_load_bound"
        trial = await self.run_hot_burst(double)
        self.assertIn("P1", await self.violations(trial))

    async def test_p5_is_red_without_the_identity_check(self):
        # Guards against a proof that does not depend on the check of the request id.
        double = "test.doubles.agent_without_identity_check"
        trial = await self.start(extra_arguments=WARM, agent_module=double)
        for backend in trial.launch.backends_of("appraiser"):
            fault = {"kind": "swap_answer", "rate": 0.5}
            await trial.set_server_faults(backend.server, fault)
        async with Load(trial, settlements_per_s=0):
            await asyncio.sleep(2.0)
        self.assertIn("P5", await self.violations(trial))


if __name__ == "__main__":
    unittest.main()
