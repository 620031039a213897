"""Replays load against placement and counts prompt parts that are processed repeatedly."""

import itertools
import random
import unittest

from heatherswitch.fleet.counters import Count
from heatherswitch.gateway import events as ev
from heatherswitch.gateway.model import Load, PromptPart
from test.gateway_fakes import Driver, chat_prompt, server

GATEWAYS = 31
SERVERS = 12
SUBJECTS = 120
# Duration of a request, in seconds.
RUN_S = 1.2
# Processing a part again this long after its last use is not counted, in seconds.
REUSE_WINDOW_S = 10.0


class GatewayFleet:
    """Gateways that share servers; each one sees its own requests only.

    :ivar redundant_prefills: number of times that a server processed a prompt part
        although another one had it cached.
    :ivar sent: number of requests sent.
    """

    def __init__(self, seed: int, peers: bool = False) -> None:
        self.random = random.Random(seed)
        routers = [f"g{n}" for n in range(GATEWAYS)]
        self.gateways = [Driver(routers=routers, own_id=name) for name in routers]
        self.sequence = itertools.count(1)
        if peers:
            listed = ev.RoutersListed(
                tuple(routers), tuple((n, f"{n}:1") for n in routers)
            )
            for gateway in self.gateways:
                gateway.apply(listed)
        # Server to the parts that it has cached, and part to the time of its last use.
        self.cached: dict[str, set[str]] = {}
        self.last_used_at: dict[str, float] = {}
        self.running: list[tuple[float, Driver, int, str]] = []
        self.load: dict[str, int] = {}
        self.redundant_prefills = self.sent = 0

    def add_servers(self, *server_ids: str) -> None:
        """Adds servers at all gateways."""
        for server_id in server_ids:
            self.cached[server_id] = set()
            self.load[server_id] = 0
            for gateway in self.gateways:
                gateway.add_servers(server(server_id, "engine", slots=64))

    def remove_server(self, server_id: str) -> None:
        """Removes a server at all gateways."""
        del self.cached[server_id]
        for gateway in self.gateways:
            gateway.apply(ev.ServerRemoved(server_id, after_outage=False))

    def request(self, now: float, subject: str, common: str = "") -> None:
        """Sends a request through a random gateway.

        :param common: prompt part that chats of one kind share; it precedes the
            subject's.
        """
        for done in sorted(
            (r for r in self.running if r[0] <= now), key=lambda r: r[0]
        ):
            self.running.remove(done)
            self.load[done[3]] -= 1
            done[1].now = done[0]
            done[1].apply(ev.AttemptEnded(done[2], ev.Completed(200, RUN_S)))
        gateway = self.random.choice(self.gateways)
        gateway.now = now
        gateway.apply(ev.StoreConfirmed(now))
        parts = chat_prompt(subject)
        if common:
            parts = (PromptPart(common, 500), *parts)
        sent = gateway.decide("/chat/1", parts=parts, deadline_s=10.0)
        while isinstance(sent, ev.QueryLoad | ev.QueryHolder):
            total = Count("service/engine", sum(self.load.values()))
            gateway.apply(ev.ServiceTotalsReceived(sent.peer, (total,)))
            sent = self._reply(now, gateway, sent)
        target = sent.server.id
        source = sent.copy_source.id if sent.copy_source else ""
        for part in [p for p in (common, subject) if p]:
            self._record_use(now, part, target, source)
        self.load[target] += 1
        self.running.append((now + RUN_S, gateway, sent.serial, target))
        report = Load(self.load[target], 0, 64)
        gateway.apply(ev.ResponseStarted(sent.serial, report, 0.05, True))

    def _reply(self, now: float, gateway: Driver, query) -> ev.Effect:
        """Delivers a query to the peer and its reply to the gateway without delay."""
        counts = (query.count,) if isinstance(query, ev.QueryLoad) else ()
        holders = (query.holder,) if isinstance(query, ev.QueryHolder) else ()
        sender = f"g{self.gateways.index(gateway)}:1"
        peer = self.gateways[int(query.peer[1:-2])]
        peer.now = now
        peer.take_effects()
        sequence = next(self.sequence)
        peer.apply(ev.PeerCountsReceived(sender, 1, sequence, counts, True, holders))
        (reply,) = (e for e in peer.take_effects() if isinstance(e, ev.ReplyToPeer))
        if reply.counts:
            (count,) = reply.counts
            event = ev.LoadReplyReceived(
                query.serial, query.peer, count.key, count.value
            )
        else:
            event = ev.PrefixOwnerReplyReceived(
                query.serial, query.peer, reply.holders[0]
            )
        gateway.apply(event)
        (effect,) = gateway.take_effects()
        return effect

    def _record_use(self, now: float, subject: str, target: str, source: str) -> None:
        holders = {s for s, subjects in self.cached.items() if subject in subjects}
        recent = now - self.last_used_at.get(subject, -REUSE_WINDOW_S) < REUSE_WINDOW_S
        if holders and recent and not holders & {target, source}:
            self.redundant_prefills += 1
        self.cached[target].add(subject)
        self.last_used_at[subject] = now
        self.sent += 1


class RedundantPrefillTest(unittest.TestCase):
    def test_new_servers_copy_prompt_parts_that_others_have_cached(self):
        """Replays a scale-out and a rolling replacement under 60 requests per second.

        A gateway sees one request in 31, so it mostly does not know where a chat was
        last. At most one request in a hundred may process a prompt again.
        """
        fleet = GatewayFleet(5)
        fleet.add_servers(*(f"e{n}" for n in range(SERVERS)))
        changes = {300: "n0", 420: "n1", 540: "n2", 660: "n3"}
        for number in range(1500):
            now = 120.0 + number / 60
            if number in changes:
                fleet.add_servers(changes[number])
            if number - 240 in changes:
                fleet.remove_server(f"e{sorted(changes).index(number - 240)}")
            hot = fleet.random.random() < 0.15
            subject = "hot" if hot else f"s{fleet.random.randrange(SUBJECTS)}"
            fleet.request(now, subject)
        self.assertLessEqual(fleet.redundant_prefills, 0.01 * fleet.sent)

    def test_part_shared_by_all_chats_is_copied_to_a_server_without_it(self):
        """Replays the start of a day: new chats whose common parts few servers have.

        These parts made up three quarters of the tokens that were processed repeatedly:
        a gateway sees few requests of a kind, and a guessed server has nothing of a new
        chat cached. Each server that processes the part is therefore reported to the
        part's owner.
        """

        def redundant_prefills(peers: bool) -> int:
            fleet = GatewayFleet(7, peers)
            fleet.add_servers(*(f"e{n}" for n in range(3 * SERVERS)))
            for number in range(600):
                subject = f"s{fleet.random.randrange(10 * SUBJECTS)}"
                common = f"c{fleet.random.randrange(12)}"
                fleet.request(120.0 + number / 120, subject, common)
            return fleet.redundant_prefills

        without_peers, with_peers = redundant_prefills(False), redundant_prefills(True)
        self.assertGreater(without_peers, 100)
        self.assertLess(with_peers, without_peers / 10)


if __name__ == "__main__":
    unittest.main()
