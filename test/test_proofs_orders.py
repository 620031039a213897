"""Proofs of P3 and P8 to P11 on real processes."""

import asyncio
import unittest

from emulator import links
from emulator.launch import Launcher
from test.proof_case import WARM, Load, ProofCase, agent_of

STALE_REVISIONS = 6


def last_zone(launch: Launcher) -> str:
    """Returns a zone without routers."""
    return launch.deployment.zones[-1]


class OrderProofs(ProofCase):
    """Orders, membership and configuration."""

    async def test_p3_zone_stays_out_when_the_store_goes_down(self):
        # Guards against new work in a zone that is out (F5).
        trial = await self.start(extra_arguments=WARM)
        zone = last_zone(trial.launch)
        async with Load(trial):
            self.assertIsNotNone(await trial.move_zone(zone, True, 6.0))
            await trial.set_store_faults(down="refuse")
            await asyncio.sleep(10.0)
            await trial.set_store_faults()
            while not await trial.move_zone(zone, False, 10.0):
                await asyncio.sleep(0.5)
            await asyncio.sleep(2.0)
        await self.assert_green(trial)

    async def test_p8_p9_leaving_agents_and_routers_interrupt_nothing(self):
        # Guards against work for a leaving server and answers cut by SIGTERM (F10).
        trial = await self.start(extra_arguments=WARM)
        launch = trial.launch
        async with Load(trial, chats_per_s=30):
            leaving = [agent_of(launch, "appraiser-1"), agent_of(launch, "ledger-1")]
            await asyncio.gather(
                trial.terminate(launch.routers[0]),
                *(trial.terminate(process) for process in leaving),
            )
            await asyncio.sleep(4.0)
        self.assertGreater(trial.counts["chat answered"], 100)
        await self.assert_green(trial)

    async def test_p8_leaving_agent_that_routers_do_not_hear_gets_no_work(self):
        # Guards against work after an announcement that no router received (F3, F10).
        trial = await self.start(extra_arguments=WARM)
        launch = trial.launch
        async with Load(trial, chats_per_s=20, settlements_per_s=0):
            for router in launch.routers:
                trial.set_link_faults(
                    f"peer:{router.name}", links.PARTITION, "partition"
                )
            await trial.terminate(agent_of(launch, "appraiser-1"))
            await asyncio.sleep(1.0)
            for router in launch.routers:
                trial.clear_link_faults(f"peer:{router.name}", "partition")
            await asyncio.sleep(4.0)
        await self.assert_green(trial)

    async def test_p10_restart_against_a_stale_store_does_not_go_back(self):
        # Guards against an old revision in force after a restart (F1, F8).
        trial = await self.start(extra_arguments=WARM)
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
        await self.assert_green(trial)

    async def test_p10_accepted_change_spreads_while_the_store_is_down(self):
        # Guards against a change that only one router knows (F5).
        trial = await self.start(extra_arguments=WARM)
        self.assertIsNotNone(await trial.set_marker())
        await trial.set_store_faults(down="close")
        await asyncio.sleep(6.0)
        router = trial.launch.routers[1]
        await trial.kill(router)
        await trial.restart(router)
        await asyncio.sleep(5.0)
        await self.assert_green(trial)

    async def run_late_replies(self, router_module: str):
        """Delivers replies of an exchange after newer entries came by the watch."""
        trial = await self.start(
            extra_arguments=WARM, router_module=router_module, sample_period_s=0.05
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
        # Guards against older entries that arrive after newer ones (F14, F16).
        trial = await self.run_late_replies("heatherswitch.ui.router")
        await self.assert_green(trial)

    async def test_p10_is_red_without_the_revision_check(self):
        # Guards against a proof that does not depend on the check.
        double = "test.doubles.router_without_revision_check"
        trial = await self.run_late_replies(double)
        self.assertIn("P10", await self.violations(trial))

    async def test_p11_move_finishes_although_its_owner_dies_or_is_paused(self):
        # Guards against a move that nobody resumes (F1, F2).
        trial = await self.start(extra_arguments=WARM)
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
        await self.assert_green(trial)


if __name__ == "__main__":
    unittest.main()
