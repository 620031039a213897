import asyncio
import random
import time
import unittest
from collections import Counter
from dataclasses import replace

import grpc

from heatherswitch.exchange import gossip
from heatherswitch.exchange.peer_selection import (
    MEAN_GROUP_SIZE,
    HomeRouterMap,
    PeerSelector,
    group_key,
)
from heatherswitch.exchange.pools import (
    AgentLoadReport,
    PoolLoadTracker,
    apply_load_reports,
)
from heatherswitch.fleet.members import Load, MemberState, MemberTable, Role
from test.test_exchange import Process, entry, member, until


class Gate(grpc.aio.ServerInterceptor):
    """Refuses exchanges while the server's node is cut off."""

    def __init__(self):
        self.closed_to = lambda sender: False

    async def intercept_service(self, continuation, details):
        handler = await continuation(details)

        async def serve(request, context):
            if self.closed_to(request.sender.id):
                await context.abort(grpc.StatusCode.UNAVAILABLE, "cut")
            return await handler.unary_unary(request, context)

        return grpc.unary_unary_rpc_method_handler(
            serve, handler.request_deserializer, handler.response_serializer
        )


class LargeFleetTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        # The debug mode of asyncio makes 60 nodes take more than a core.
        asyncio.get_running_loop().set_debug(False)

    async def fleet(self, routers, agents=0, filtered=False):
        self.members = []
        for i in range(routers + agents):
            gate = Gate()
            name = f"r{i:02d}" if i < routers else f"a{i:02d}"
            fields = {}
            if i >= routers:
                fields = {"role": Role.AGENT, "service": "chat", "version": "v1"}
                fields["load"] = Load(i % 4)
            seeds = [p.address for p in self.members[:3]]
            interceptors = [gate] if filtered else []
            process = Process(name, seeds, interceptors=interceptors, **fields)
            process.gate = gate
            self.addAsyncCleanup(process.server.stop, 0)
            self.addAsyncCleanup(process.node.stop)
            await process.start()
            if i < routers:
                process.node.mark_store_read()
            self.members.append(process)
        everyone = routers + agents - 1
        nodes = [p.node for p in self.members]
        known = self.members[:routers]
        await until(lambda: all(n.ready for n in nodes), 20)
        await until(
            lambda: (
                all(len(p.node.members) == everyone for p in known)
                and all(len(n.members.routers()) >= routers - 1 for n in nodes)
            ),
            20,
        )
        return self.members

    async def test_change_reaches_sixty_members_with_few_messages(self):
        # Guards against a change that waits for rounds, or that floods the fleet.
        members = await self.fleet(40, 20)
        await asyncio.sleep(2)
        answers = 0

        def count(answer):
            def counted(request):
                nonlocal answers
                answers += 1
                return answer(request)

            return counted

        for process in members:
            servicer = process.servicer
            servicer._handle_request = count(servicer._handle_request)
        started = time.monotonic()
        members[0].node.apply_entries([entry(9, zone_state="out")], 9)
        await until(lambda: all(m.node.entries.revision == 9 for m in members), 4.0)
        rounds = (time.monotonic() - started) * len(members) * 4
        # Three pushes for each router, besides the idle rounds of that time.
        self.assertLess(answers, 3 * 40 + rounds)

    async def test_pool_mean_is_right_through_two_levels_and_without_a_home(self):
        # Guards against agents counted twice or left out when loads are passed on,
        # and against a group that loses its mean with its home router.
        members = await self.fleet(10, 24)
        agents = members[10:]

        def right():
            total = sum(a.record.load.total for a in agents)
            return all(a.loads[-1:] == [(total, 24)] for a in agents)

        await until(right, 6.0)
        homes = agents[0].node._home_routers.routers_for(agents[0].record)
        lost = next(m for m in members if m.record.id == homes[0].id)
        await lost.node.stop()
        await lost.server.stop(0)
        for agent in agents:
            agent.record = replace(agent.record, load=Load(7))
        await until(lambda: all(a.loads[-1:] == [(7 * 24, 24)] for a in agents), 6.0)

    async def test_regions_that_are_cut_and_merged_never_step_back(self):
        # Guards against a region that takes an older revision after a network
        # partition, or stays behind.
        members = await self.fleet(12, filtered=True)
        half = {m.record.id: i % 2 for i, m in enumerate(members)}
        seen = {m.record.id: [0] for m in members}
        for m in members:
            side = half[m.record.id]
            m.gate.closed_to = lambda sender, side=side: half[sender] != side
        for revision in range(1, 6):
            share = [entry(revision, "/service=chat", share=revision)]
            members[0].node.apply_entries(share, revision)
            if revision == 2:
                members[1].node.apply_entries([entry(2, "/service=chat", share=2)], 2)
            await asyncio.sleep(0.2)
            for m in members:
                seen[m.record.id].append(m.node.config.settings("chat").get("share"))
        for m in members:
            m.gate.closed_to = lambda sender: False
        await until(lambda: all(m.node.entries.revision == 5 for m in members), 4.0)
        for m in members:
            values = [
                *seen[m.record.id][1:],
                m.node.config.settings("chat").get("share"),
            ]
            self.assertEqual(values, sorted(values))
            self.assertEqual(values[-1], 5)

    async def test_leaving_agent_is_known_everywhere_within_three_seconds(self):
        # Guards against rounds of a large fleet that are too slow for leaving.
        members = await self.fleet(30, 2)
        await asyncio.sleep(2)
        agent = members[-1]
        agent.record = replace(agent.record, state=MemberState.LEAVING)
        await agent.node.run_exchange()
        await until(
            lambda: all(
                m.node.members.get(agent.record.id).state is MemberState.LEAVING
                for m in members[:30]
            ),
            3.0,
        )


class GroupTest(unittest.TestCase):
    def table(self, routers, agents):
        table = MemberTable()
        named = [member(f"r{i}") for i in range(routers)]
        table.merge(0.0, [replace(r, address=f"127.0.0.1:{r.id}") for r in named])
        table.merge(
            0.0,
            [member(f"a{i}", Role.AGENT, service="chat") for i in range(agents)],
        )
        return table

    def test_lost_group_home_is_passed_over(self):
        # Guards against a group that keeps asking a router that does not answer.
        table, homes = self.table(12, 20), HomeRouterMap()
        own = member("a3", Role.AGENT, service="chat")
        homes.update(own, table)
        chooser = PeerSelector(homes, random.Random(1))
        (first,) = chooser.select_peers(0.0, own, table, True)
        chooser.mark_failed(0.0, first)
        (second,) = chooser.select_peers(0.5, own, table, True)
        self.assertNotEqual(first, second)
        chooser.mark_reachable(first)
        self.assertEqual(chooser.select_peers(1.0, own, table, True), [first])

    def test_groups_are_small_and_small_fleets_have_none(self):
        # Guards against one router that answers a whole pool, and against a small
        # deployment that loses its three home routers.
        counts = Counter()
        for i in range(83):
            agent = member(f"a{i}", Role.AGENT, service="chat")
            counts[group_key(agent, 83)] += 1
        self.assertLessEqual(max(counts.values()), 2 * MEAN_GROUP_SIZE)
        table, homes = self.table(3, 20), HomeRouterMap()
        own = member("a3", Role.AGENT, service="chat")
        homes.update(own, table)
        chooser = PeerSelector(homes, random.Random(1))
        self.assertEqual(len(chooser.select_peers(0.0, own, table, True)), 3)

    def test_load_of_an_agent_that_moved_is_counted_once(self):
        # Guards against a sum that counts an agent at its old and new home router.
        table = self.table(1, 2)
        for report in (
            AgentLoadReport("a0", Load(4), 0.9),
            AgentLoadReport("a0", Load(2), 0.1),
            AgentLoadReport("a0", Load(4), 1.0),
            AgentLoadReport("a1", Load(1), 0.2),
        ):
            apply_load_reports(10.0, table, [report])
        figures = PoolLoadTracker().summarize(10.0, table, ("chat", ""), True)
        self.assertEqual((figures.total, figures.agents), (3, 2))
        self.assertLess(figures.age_s, 0.5)

    def test_gone_record_of_an_agent_that_reports_here_is_not_taken(self):
        # Guards against an agent that is removed because only the first home router
        # of its service lost the path to it.
        table, homes = self.table(12, 1), HomeRouterMap()
        homes.update(member("r0"), table)
        table.update_load(9.0, "a0", Load(1))
        gone = replace(table.get("a0"), state=MemberState.GONE, heartbeat=1)
        arguments = (member("r0"), table, [gone], homes)
        self.assertEqual(gossip.filter_acceptable(10.0, *arguments), [])
        self.assertEqual(gossip.filter_acceptable(20.0, *arguments), [gone])

    def test_router_without_the_whole_pool_gives_no_mean(self):
        # Guards against a mean of one group that is taken for that of the pool.
        figures = PoolLoadTracker().summarize(
            1.0, self.table(1, 1), ("chat", ""), False
        )
        self.assertIsNone(figures)
