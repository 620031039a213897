"""Proofs of the invariants on operators' orders, members and configuration.

They run on real processes and cover P3 and P8 to P11.
"""

import asyncio
import unittest

from emulator import links
from emulator.launch import Launcher
from test.proof_case import WARM_ENGINE_ARGUMENTS, ConstantRateLoad, ProofCase, agent_of

# Number of revisions by which a stale store lags behind.
STALE_REVISIONS = 6


def last_zone(launch: Launcher) -> str:
    """Returns the last zone of the deployment, which has no routers."""
    return launch.deployment.zones[-1]


class OrderProofs(ProofCase):
    """P3, zones taken out; P8 and P9, planned stops; P10, configuration; P11, moves."""

    async def test_p3_zone_stays_out_when_the_store_goes_down(self):
        # Guards against new work in a zone that is out when the store goes down (F5).
        trial = await self.start_trial(extra_arguments=WARM_ENGINE_ARGUMENTS)
        zone = last_zone(trial.launch)
        async with ConstantRateLoad(trial):
            self.assertIsNotNone(await trial.move_zone(zone, True, 6.0))
            await trial.set_store_faults(down="refuse")
            await asyncio.sleep(10.0)
            await trial.set_store_faults()
            while not await trial.move_zone(zone, False, 10.0):
                await asyncio.sleep(0.5)
            await asyncio.sleep(2.0)
        await self.assert_no_violations(trial)

    async def test_p8_p9_leaving_agents_and_routers_interrupt_nothing(self):
        # Guards against new work for a leaving server and against responses that a
        # planned stop by SIGTERM (F10) interrupts.
        trial = await self.start_trial(extra_arguments=WARM_ENGINE_ARGUMENTS)
        launch = trial.launch
        async with ConstantRateLoad(trial, chats_per_s=30):
            leaving = [agent_of(launch, "appraiser-1"), agent_of(launch, "ledger-1")]
            await asyncio.gather(
                trial.terminate(launch.routers[0]),
                *(trial.terminate(process) for process in leaving),
            )
            await asyncio.sleep(4.0)
        self.assertGreater(trial.counts["chat answered"], 100)
        await self.assert_no_violations(trial)

    async def test_p8_leaving_agent_that_routers_do_not_hear_gets_no_work(self):
        # Guards against new work for a server whose announcement to leave (F10) is lost
        # because the links to the routers' exchange are cut (F3).
        trial = await self.start_trial(extra_arguments=WARM_ENGINE_ARGUMENTS)
        launch = trial.launch
        async with ConstantRateLoad(trial, chats_per_s=20, settlements_per_s=0):
            for router in launch.routers:
                trial.set_link_faults(
                    f"peer:{router.name}", links.PARTITION, "partition"
                )
            await trial.terminate(agent_of(launch, "appraiser-1"))
            await asyncio.sleep(1.0)
            for router in launch.routers:
                trial.clear_link_faults(f"peer:{router.name}", "partition")
            await asyncio.sleep(4.0)
        await self.assert_no_violations(trial)

    async def test_p10_restart_against_a_stale_store_does_not_go_back(self):
        # Guards against a router that, killed and restarted (F1), applies an old
        # revision because the store returns stale data (F8).
        trial = await self.start_trial(extra_arguments=WARM_ENGINE_ARGUMENTS)
        router = trial.launch.routers[0]
        for _ in range(STALE_REVISIONS + 2):
            self.assertIsNotNone(await trial.set_marker())
        await asyncio.sleep(1.0)
        await trial.set_store_faults(stale=STALE_REVISIONS)
        await trial.kill(router)
        await trial.restart(router)
        await asyncio.sleep(5.0)
        await trial.set_store_faults()
        await asyncio.sleep(3.0)
        await self.assert_no_violations(trial)

    async def test_p10_accepted_change_spreads_while_the_store_is_down(self):
        # Guards against an accepted change that a router does not learn of because it
        # restarts while the store is down (F5).
        trial = await self.start_trial(extra_arguments=WARM_ENGINE_ARGUMENTS)
        self.assertIsNotNone(await trial.set_marker())
        await trial.set_store_faults(down="close")
        await asyncio.sleep(6.0)
        router = trial.launch.routers[1]
        await trial.kill(router)
        await trial.restart(router)
        await asyncio.sleep(5.0)
        await self.assert_no_violations(trial)

    async def run_with_delayed_replies(self, router_module: str):
        """Delays exchange replies until the store's watch has sent newer entries."""
        trial = await self.start_trial(
            extra_arguments=WARM_ENGINE_ARGUMENTS,
            router_module=router_module,
            sample_period_s=0.05,
        )
        trial.set_link_faults("store:r1", {"to_client": {"delay_s": 0.3}}, "late")
        trial.set_link_faults("peer:r2", {"to_client": {"delay_s": 0.7}}, "late")
        for _ in range(30):
            await trial.set_marker("r2")
            await asyncio.sleep(0.2)
        trial.clear_link_faults("store:r1", "late")
        trial.clear_link_faults("peer:r2", "late")
        await asyncio.sleep(2.0)
        return trial

    async def test_p10_late_replies_bring_nothing_back(self):
        # Guards against older entries that replace newer ones because they arrive later
        # (F14, F16).
        trial = await self.run_with_delayed_replies("heatherswitch.ui.router")
        await self.assert_no_violations(trial)

    async def test_p10_is_red_without_the_revision_check(self):
        # Guards against a proof above that passes even without the check.
        router_module = "test.doubles.router_without_revision_check"
        trial = await self.run_with_delayed_replies(router_module)
        self.assertIn("P10", await self.stop_and_find_violations(trial))

    async def test_p11_move_finishes_although_its_owner_dies_or_is_paused(self):
        # Guards against a move that no router continues after its owner is killed (F1)
        # or paused (F2).
        trial = await self.start_trial(extra_arguments=WARM_ENGINE_ARGUMENTS)
        first, second = trial.launch.routers
        zone = last_zone(trial.launch)
        self.assertIsNotNone(await trial.move_zone(zone, True, 16.0))
        await trial.kill(first)
        await asyncio.sleep(1.0)
        await trial.restart(first)
        trial.pause(second)
        await asyncio.sleep(7.0)
        trial.resume(second)
        await asyncio.sleep(9.0)
        await self.assert_no_violations(trial)


if __name__ == "__main__":
    unittest.main()
