import asyncio
import json
import random
import time
import unittest
from dataclasses import replace

import grpc

from heatherswitch.exchange import gossip
from heatherswitch.exchange.configuration import APPLY_BATCH_SIZE, ReplicatedConfig
from heatherswitch.exchange.node import FleetNode
from heatherswitch.exchange.peer_selection import HomeRouterMap, PeerSelector
from heatherswitch.fleet.members import Load, Member, MemberState, MemberTable, Role
from heatherswitch.fleet.settings import node_key
from heatherswitch.protocol import convert
from heatherswitch.protocol import heatherswitch_pb2 as pb
from heatherswitch.protocol import heatherswitch_pb2_grpc as pb_grpc
from heatherswitch.statecore.replica import Entry, ReplicatedEntries


def entry(revision, path="/zone=z1", **overrides):
    return Entry(node_key(path), revision, json.dumps(overrides).encode())


def member(member_id, role=Role.ROUTER, **fields):
    return Member(member_id, role, "z1", "127.0.0.1:1", 1, **fields)


async def until(condition, limit_s=4.0):
    end = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > end:
            raise AssertionError("condition not met in time")
        await asyncio.sleep(0.02)


class Process:
    """A FleetNode with its gRPC server on a loopback port."""

    def __init__(self, member_id, peers, role=Role.ROUTER, interceptors=(), **fields):
        self.server = grpc.aio.server(interceptors=interceptors)
        port = self.server.add_insecure_port("127.0.0.1:0")
        self.address = f"127.0.0.1:{port}"
        self.loads = []
        self.record = Member(
            member_id, role, "z1", self.address, time.time_ns(), **fields
        )
        self.node = FleetNode.from_config(
            lambda: self.record,
            peers,
            on_pool_load=lambda total, agents: self.loads.append((total, agents)),
        )
        self.servicer = self.node.servicer()
        pb_grpc.add_PeerServicer_to_server(self.servicer, self.server)

    async def start(self):
        await self.server.start()
        await self.node.start()

    async def stop(self):
        await self.node.stop()
        await self.server.stop(0)


class ExchangeTest(unittest.IsolatedAsyncioTestCase):
    async def fleet(self, count=3):
        processes = []
        for i in range(count):
            await self.start(f"r{i}", [p.address for p in processes], processes)
        return processes

    async def start(self, member_id, peers, processes, **fields):
        process = Process(member_id, peers, **fields)
        self.addAsyncCleanup(process.stop)
        await process.start()
        processes.append(process)
        return process

    async def test_change_reaches_all_routers_and_old_revision_is_ignored(self):
        # Guards against a zone order that stays on one router or is reverted by an older
        # revision that arrives later.
        routers = await self.fleet()
        routers[0].node.apply_snapshot([entry(5, zone_state="out")], 5)
        for router in routers:
            await until(lambda r=router: r.node.entries.revision == 5)
            self.assertTrue(router.node.config.zone_is_out("", "z1", 0.0))
        routers[1].node.apply_snapshot([entry(4, zone_state="in")], 4)
        routers[2].node.apply_entries([entry(3, zone_state="in")], 3)
        await routers[1].node.run_exchange()
        for router in routers:
            self.assertTrue(router.node.config.zone_is_out("", "z1", 0.0))

    async def test_node_started_during_store_outage_gets_configuration_from_peers(self):
        # Guards against a new process that serves with defaults or never becomes ready.
        routers = await self.fleet(2)
        for router in routers:
            router.node.apply_snapshot([entry(9, zone_state="out")], 9)
            router.node.mark_store_read()
        await until(lambda: all(r.node.ready for r in routers))
        late = await self.start("r9", [r.address for r in routers], routers)
        self.assertFalse(late.node.ready)
        await until(lambda: late.node.ready)
        self.assertTrue(late.node.config.zone_is_out("", "z1", 0.0))

    async def test_agent_gets_the_load_of_its_pool(self):
        # Guards against a load bound that leaves out the other agents of the pool.
        processes = await self.fleet(1)
        seed = [processes[0].address]
        for name, running in (("a1", 3), ("a2", 5)):
            await self.start(
                name,
                seed,
                processes,
                role=Role.AGENT,
                service="chat",
                version="v1",
                load=Load(running),
            )
        agent = processes[1]
        await until(lambda: agent.loads[-1:] == [(8, 2)])
        self.assertIsNotNone(agent.node.members.get("a2"))

    async def test_invalid_messages_change_nothing(self):
        # Guards against a peer whose messages crash a process or set an invalid value.
        (router,) = await self.fleet(1)
        router.node.apply_snapshot([entry(1, zone_state="out")], 1)
        sender = convert.member_to_message(member("x"))
        bad = convert.entry_to_message(entry(2, zone_state="sideways"))
        values = {"id": "m", "kind": "zone_back", "state": "running", "zone": "z1"}
        values |= {"started_at": "soon", "deadline_at": None}
        invalid_move = pb.ConfigEntry(
            key="heatherswitch/config/moves/m",
            mod_revision=3,
            value=json.dumps(values).encode(),
        )
        huge = pb.MemberRecord(heartbeat=2**64 - 1, state=pb.GONE)
        own = convert.member_to_message(router.record)
        own.MergeFrom(huge)
        requests = [
            pb.ExchangeRequest(),
            pb.ExchangeRequest(sender=pb.MemberRecord(id="x", role=9)),
            pb.ExchangeRequest(sender=sender, entries=[pb.ConfigEntry()]),
            pb.ExchangeRequest(
                sender=sender, entries=[bad, invalid_move], entries_revision=3
            ),
            pb.ExchangeRequest(sender=sender, members=[pb.MemberRecord(), own]),
            pb.ExchangeRequest(sender=sender, entries_revision=2**64 - 1),
        ]
        async with grpc.aio.insecure_channel(router.address) as channel:
            stub = pb_grpc.PeerStub(channel)
            for request in requests:
                try:
                    await stub.Exchange(request, timeout=5)
                except grpc.aio.AioRpcError as error:
                    self.assertIs(error.code(), grpc.StatusCode.INVALID_ARGUMENT)
        self.assertTrue(router.node.config.zone_is_out("", "z1", 0.0))
        self.assertEqual(router.node.config.moves, [])
        self.assertLess(router.node.own.heartbeat, 2**63)

    async def test_unresponsive_connection_is_replaced(self):
        # Guards against a network device that loses the state of a connection, which
        # then delivers no data. Here the first connection gets no response; later ones
        # reach the peer.
        routers = await self.fleet(1)
        port = int(routers[0].address.rpartition(":")[2])
        writers = []

        async def forward(reader, writer):
            writers.append(writer)
            if len(writers) == 1:
                return
            upstream = await asyncio.open_connection("127.0.0.1", port)
            writers.append(upstream[1])
            await asyncio.gather(
                pipe(reader, upstream[1]),
                pipe(upstream[0], writer),
                return_exceptions=True,
            )

        async def pipe(reader, writer):
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()

        proxy = await asyncio.start_server(forward, "127.0.0.1", 0)
        address = f"127.0.0.1:{proxy.sockets[0].getsockname()[1]}"
        routers[0].node.apply_snapshot([entry(7, zone_state="out")], 7)
        late = await self.start("r9", [address], routers)
        await until(lambda: late.node.entries.revision == 7)
        proxy.close()
        for writer in writers:
            writer.close()


class ConfigurationTest(unittest.IsolatedAsyncioTestCase):
    async def test_large_snapshot_yields_to_event_loop_and_keeps_order(self):
        # Guards against a snapshot that blocks requests for seconds, and against an
        # older entry of the snapshot that replaces a newer change.
        configuration = ReplicatedConfig(lambda applied: None)
        nodes = [entry(i + 1, f"/workspace=w{i}", share=2) for i in range(600)]
        configuration.apply_snapshot(nodes, 600)
        configuration.apply_entries([entry(601, "/workspace=w599", share=5)], 601)
        iterations = 0
        while not configuration.fully_applied:
            iterations += 1
            await asyncio.sleep(0)
        self.assertGreaterEqual(iterations, 600 // APPLY_BATCH_SIZE)
        share = configuration.config.settings(workspace="w599").get("share")
        self.assertEqual(share, 5)


class GossipTest(unittest.TestCase):
    def test_delta_does_not_split_a_transaction(self):
        # Guards against a move record that is replicated without the settings node that
        # was written with it.
        entries = ReplicatedEntries()
        big = [entry(2, f"/workspace=w{i}", share=1) for i in range(200)]
        entries.apply([entry(1), *big, entry(3, "/zone=z3")], 3)
        delta = gossip.build_delta(entries, 0, 1)
        self.assertEqual((len(delta.entries), delta.revision), (200, 2))

    def test_all_own_writes_are_sent_while_revision_does_not_advance(self):
        # Guards against an order that was accepted just before a store outage and is
        # not replicated because it is beyond the size limit in every delta.
        entries = ReplicatedEntries()
        entries.apply([entry(1)], 1)
        for i in range(300):
            entries.apply([entry(2 + i, f"/workspace=w{i}", share=1)], 0)
        delta = gossip.build_delta(entries, 0, 1)
        self.assertEqual((len(delta.entries), delta.revision), (300, 1))

    def test_peer_below_tombstone_floor_gets_a_snapshot(self):
        # Guards against a deleted settings node that one process keeps using.
        holder, behind = ReplicatedEntries(), ReplicatedEntries()
        holder.apply_snapshot([entry(8, "/zone=z2", zone_state="out")], 9)
        behind.apply([entry(4, zone_state="out")], 5)
        delta = gossip.build_delta(holder, 9, behind.revision)
        self.assertTrue(delta.snapshot)
        behind.apply_snapshot(delta.entries, delta.revision)
        self.assertIsNone(behind.get(node_key("/zone=z1")))

    def test_digest_windows_replicate_the_whole_table(self):
        # Guards against members that never become known in a large fleet.
        source, target = MemberTable(), MemberTable()
        source.merge(0.0, [member(f"r{i:03d}") for i in range(100)])
        cursor = gossip.DigestCursor()
        for _ in range(40):
            digest = cursor.next(target)
            found = gossip.records_for(member("me"), digest, source, random)
            self.assertLessEqual(len(found), gossip.MAX_DIGEST_REPLY_RECORDS)
            target.merge(0.0, found)
        self.assertEqual(len(target), 100)

    def test_silent_member_becomes_gone_and_is_not_revived(self):
        # Guards against an old record that adds the member of a lost VM again.
        table, homes, own = MemberTable(), HomeRouterMap(), member("r0")
        table.merge(0.0, [member("a1", Role.AGENT, heartbeat=4)])
        homes.update(own, table)
        self.assertEqual(gossip.gone_records(9.0, own, table, homes), [])
        table.merge(10.5, gossip.gone_records(10.5, own, table, homes))
        self.assertIs(table.get("a1").state, MemberState.GONE)
        self.assertEqual(table.merge(11.0, [member("a1", heartbeat=4)]), [])

    def test_gone_record_of_a_responding_member_is_rejected(self):
        # Guards against a one-way network partition that removes a live agent.
        table, homes, own = MemberTable(), HomeRouterMap(), member("r0")
        agent = member("a1", Role.AGENT)
        table.merge(0.0, [agent])
        homes.update(own, table)
        gone = replace(agent, state=MemberState.GONE, heartbeat=1)
        self.assertEqual(gossip.filter_acceptable(1.0, own, table, [gone], homes), [])
        self.assertEqual(
            gossip.filter_acceptable(5.0, own, table, [gone], homes), [gone]
        )

    def test_gone_record_of_an_unknown_member_is_rejected(self):
        # Guards against records of lost VMs that routers send to each other forever.
        own = member("r0")
        gone = member("a1", Role.AGENT, state=MemberState.GONE)
        arguments = (1.0, own, MemberTable(), [gone], HomeRouterMap())
        self.assertEqual(gossip.filter_acceptable(*arguments), [])

    def test_store_alone_does_not_make_ready_while_peers_may_reply(self):
        # Guards against a restarted process that serves an old revision of the store.
        readiness = gossip.Readiness(0.0)
        readiness.mark_store_read()
        self.assertFalse(readiness.update(0.5, 3, 2))
        readiness.record_peer_reply("r1", True, 9)
        self.assertFalse(readiness.update(2.0, 3, 2))
        self.assertTrue(readiness.update(2.0, 9, 2))

    def test_process_that_is_not_ready_contacts_all_seeds(self):
        table, own = MemberTable(), member("r0")
        seeds = [f"127.0.0.1:{i}" for i in range(2, 6)]
        selector = PeerSelector(HomeRouterMap(), random.Random(1), seeds)
        selected = selector.select_peers(0.0, own, table, False)
        self.assertEqual(selected, seeds)
