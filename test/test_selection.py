"""Replays of load against placement: which servers read the same part of a prompt again."""

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
# Time that a request runs, in seconds.
RUN_S = 1.2
# A part that is read again this long after its last use costs nothing, in seconds.
REUSE_WINDOW_S = 10.0


class GatewayFleet:
    """Gateways that share servers, of which each sees its own requests only.

    :ivar read_again: parts that a server read though another one held them.
    :ivar sent: requests sent.
    """

    def __init__(self, seed: int, peers: bool = False) -> None:
        self.random = random.Random(seed)
        routers = [f"g{n}" for n in range(GATEWAYS)]
        self.gateways = [Driver(routers=routers, own_id=name) for name in routers]
        self.numbers = itertools.count(1)
        if peers:
            listed = ev.RoutersListed(
                tuple(routers), tuple((n, f"{n}:1") for n in routers)
            )
            for gateway in self.gateways:
                gateway.apply(listed)
        # Server to the subjects that it holds, and subject to the time of its last use.
        self.held: dict[str, set[str]] = {}
        self.used_at: dict[str, float] = {}
        self.running: list[tuple[float, Driver, int, str]] = []
        self.load: dict[str, int] = {}
        self.redundant_prefills = self.sent = 0

    def join(self, *server_ids: str) -> None:
        """Lists servers at all gateways."""
        for server_id in server_ids:
            self.held[server_id] = set()
            self.load[server_id] = 0
            for gateway in self.gateways:
                gateway.add_servers(server(server_id, "engine", slots=64))

    def leave(self, server_id: str) -> None:
        """Removes a server at all gateways."""
        del self.held[server_id]
        for gateway in self.gateways:
            gateway.apply(ev.ServerRemoved(server_id, after_outage=False))

    def request(self, now: float, subject: str, common: str = "") -> None:
        """Sends a request through some gateway.

        :param common: part that the chats of a kind share, before the subject's.
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
            sent = self._answered(now, gateway, sent)
        target = sent.server.id
        source = sent.copy_source.id if sent.copy_source else ""
        for part in [p for p in (common, subject) if p]:
            self._count(now, part, target, source)
        self.load[target] += 1
        self.running.append((now + RUN_S, gateway, sent.serial, target))
        report = Load(self.load[target], 0, 64)
        gateway.apply(ev.ResponseStarted(sent.serial, report, 0.05, True))

    def _answered(self, now: float, gateway: Driver, ask) -> ev.Effect:
        """Lets the gateway that was asked answer at once."""
        counts = (ask.count,) if isinstance(ask, ev.QueryLoad) else ()
        holders = (ask.holder,) if isinstance(ask, ev.QueryHolder) else ()
        sender = f"g{self.gateways.index(gateway)}:1"
        peer = self.gateways[int(ask.peer[1:-2])]
        peer.now = now
        peer.take_effects()
        number = next(self.numbers)
        peer.apply(ev.PeerCountsReceived(sender, 1, number, counts, True, holders))
        (answer,) = (e for e in peer.take_effects() if isinstance(e, ev.ReplyToPeer))
        if answer.counts:
            (told,) = answer.counts
            event = ev.LoadReplyReceived(ask.serial, ask.peer, told.key, told.value)
        else:
            event = ev.HolderReplyReceived(ask.serial, ask.peer, answer.holders[0])
        gateway.apply(event)
        (effect,) = gateway.take_effects()
        return effect

    def _count(self, now: float, subject: str, target: str, source: str) -> None:
        holders = {s for s, subjects in self.held.items() if subject in subjects}
        recent = now - self.used_at.get(subject, -REUSE_WINDOW_S) < REUSE_WINDOW_S
        if holders and recent and not holders & {target, source}:
            self.redundant_prefills += 1
        self.held[target].add(subject)
        self.used_at[subject] = now
        self.sent += 1


class RedundantPrefillTest(unittest.TestCase):
    def test_servers_that_join_copy_what_others_hold(self):
        """Replays a scale-out and a release under 60 requests a second (scale-1, grown).

        A gateway sees one request in 31, so that it mostly does not know where a chat
        was last. At most one request in a hundred may read a prompt again.
        """
        fleet = GatewayFleet(5)
        fleet.join(*(f"e{n}" for n in range(SERVERS)))
        changes = {300: "n0", 420: "n1", 540: "n2", 660: "n3"}
        for number in range(1500):
            now = 120.0 + number / 60
            if number in changes:
                fleet.join(changes[number])
            if number - 240 in changes:
                fleet.leave(f"e{sorted(changes).index(number - 240)}")
            hot = fleet.random.random() < 0.15
            subject = "hot" if hot else f"s{fleet.random.randrange(SUBJECTS)}"
            fleet.request(now, subject)
        self.assertLessEqual(fleet.redundant_prefills, 0.01 * fleet.sent)

    def test_part_that_all_chats_share_is_copied_to_a_server_that_lacks_it(self):
        """Replays the start of a day (quiet-1, large): new chats at servers without it.

        Of the tokens that were read again there, three quarters were of these parts: a
        gateway meets few requests of a kind, and a likely holder of a new chat holds
        nothing. The owner of the part is told of each server that reads it.
        """

        def read_again(peers: bool) -> int:
            fleet = GatewayFleet(7, peers)
            fleet.join(*(f"e{n}" for n in range(3 * SERVERS)))
            for number in range(600):
                subject = f"s{fleet.random.randrange(10 * SUBJECTS)}"
                common = f"c{fleet.random.randrange(12)}"
                fleet.request(120.0 + number / 120, subject, common)
            return fleet.redundant_prefills

        alone, together = read_again(False), read_again(True)
        self.assertGreater(alone, 100)
        self.assertLess(together, alone / 10)


if __name__ == "__main__":
    unittest.main()
