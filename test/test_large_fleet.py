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


class PartitionInterceptor(grpc.aio.ServerInterceptor):
    """Rejects exchanges with senders that a simulated network partition cuts off."""

    def __init__(self):
        self.is_cut_off = lambda sender: False

    async def intercept_service(self, continuation, details):
        handler = await continuation(details)

        async def serve(request, context):
            if self.is_cut_off(request.sender.id):
                await context.abort(grpc.StatusCode.UNAVAILABLE, "cut")
            return await handler.unary_unary(request, context)

        return grpc.unary_unary_rpc_method_handler(
            serve, handler.request_deserializer, handler.response_serializer
        )


class LargeFleetTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        # In asyncio's debug mode, 60 nodes use more than one core.
        asyncio.get_running_loop().set_debug(False)

    async def start_fleet(self, routers, agents=0, filtered=False):
        self.members = []
        for i in range(routers + agents):
            partition = PartitionInterceptor()
            name = f"r{i:02d}" if i < routers else f"a{i:02d}"
            fields = {}
            if i >= routers:
                fields = {"role": Role.AGENT, "service": "chat", "version": "v1"}
                fields["load"] = Load(i % 4)
            seeds = [p.address for p in self.members[:3]]
            interceptors = [partition] if filtered else []
            process = Process(name, seeds, interceptors=interceptors, **fields)
            process.partition = partition
            self.addAsyncCleanup(process.server.stop, 0)
            self.addAsyncCleanup(process.node.stop)
            await process.start()
            if i < routers:
                process.node.mark_store_read()
            self.members.append(process)
        other_count = routers + agents - 1
        nodes = [p.node for p in self.members]
        router_processes = self.members[:routers]
        await until(lambda: all(n.ready for n in nodes), 20)
        await until(
            lambda: (
                all(len(p.node.members) == other_count for p in router_processes)
                and all(len(n.members.routers()) >= routers - 1 for n in nodes)
            ),
            20,
        )
        return self.members

    async def test_change_reaches_sixty_members_with_few_messages(self):
        # Guards against changes that spread only by periodic exchanges, and against
        # a flood of messages.
        members = await self.start_fleet(40, 20)
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
        # Three pushes for each router, besides the periodic exchanges in that time.
        self.assertLess(answers, 3 * 40 + rounds)

    async def test_pool_mean_is_correct_over_two_levels_and_without_a_home_router(self):
        # Guards against agents that are counted twice or omitted when loads are
        # forwarded, and against a group without a mean after its home router stopped.
        members = await self.start_fleet(10, 24)
        agents = members[10:]

        def all_correct():
            total = sum(a.record.load.total for a in agents)
            return all(a.loads[-1:] == [(total, 24)] for a in agents)

        await until(all_correct, 6.0)
        homes = agents[0].node._home_routers.routers_for(agents[0].record)
        lost = next(m for m in members if m.record.id == homes[0].id)
        await lost.node.stop()
        await lost.server.stop(0)
        for agent in agents:
            agent.record = replace(agent.record, load=Load(7))
        await until(lambda: all(a.loads[-1:] == [(7 * 24, 24)] for a in agents), 6.0)

    async def test_revisions_never_decrease_across_a_network_partition(self):
        # Guards against a side that adopts an older revision when a network partition
        # heals, or that does not catch up.
        members = await self.start_fleet(12, filtered=True)
        sides = {m.record.id: i % 2 for i, m in enumerate(members)}
        revisions_seen = {m.record.id: [0] for m in members}
        for m in members:
            side = sides[m.record.id]
            m.partition.is_cut_off = lambda sender, side=side: sides[sender] != side
        for revision in range(1, 6):
            share = [entry(revision, "/service=chat", share=revision)]
            members[0].node.apply_entries(share, revision)
            if revision == 2:
                members[1].node.apply_entries([entry(2, "/service=chat", share=2)], 2)
            await asyncio.sleep(0.2)
            for m in members:
                revisions_seen[m.record.id].append(
                    m.node.config.settings("chat").get("share")
                )
        for m in members:
            m.partition.is_cut_off = lambda sender: False
        await until(lambda: all(m.node.entries.revision == 5 for m in members), 4.0)
        for m in members:
            values = [
                *revisions_seen[m.record.id][1:],
                m.node.config.settings("chat").get("share"),
            ]
            self.assertEqual(values, sorted(values))
            self.assertEqual(values[-1], 5)

    async def test_leaving_agent_is_known_everywhere_within_three_seconds(self):
        # Guards against exchanges that are too rare in a large fleet to announce an
        # agent that leaves.
        members = await self.start_fleet(30, 2)
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

    def test_unresponsive_home_router_of_a_group_is_skipped(self):
        # Guards against a group that keeps calling a router that does not respond.
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

    def test_groups_are_small_and_absent_in_small_fleets(self):
        # Guards against one router that serves a whole pool, and against a small
        # deployment without its three home routers.
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

    def test_load_of_an_agent_that_changed_its_home_is_counted_once(self):
        # Guards against a sum with an agent counted at its old and new home router.
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

    def test_gone_record_of_a_reporting_agent_is_rejected(self):
        # Guards against an agent that is removed because only the first home router
        # of its service cannot reach it.
        table, homes = self.table(12, 1), HomeRouterMap()
        homes.update(member("r0"), table)
        table.update_load(9.0, "a0", Load(1))
        gone = replace(table.get("a0"), state=MemberState.GONE, heartbeat=1)
        arguments = (member("r0"), table, [gone], homes)
        self.assertEqual(gossip.filter_acceptable(10.0, *arguments), [])
        self.assertEqual(gossip.filter_acceptable(20.0, *arguments), [gone])

    def test_router_with_part_of_a_pool_gives_no_mean(self):
        # Guards against the mean of one group being used as that of the pool.
        figures = PoolLoadTracker().summarize(
            1.0, self.table(1, 1), ("chat", ""), False
        )
        self.assertIsNone(figures)
