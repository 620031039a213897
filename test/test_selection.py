"""Replays of load against placement: which servers read the same part of a prompt again."""

import random
import unittest

from heatherswitch.gateway import events as ev
from heatherswitch.gateway.model import Load
from test.gateway_fakes import Driver, chat, server

GATEWAYS = 31
SERVERS = 12
SUBJECTS = 120
# Time that a request runs, in seconds.
RUN_S = 1.2
# A part that is read again this long after its last use costs nothing, in seconds.
REUSE_WINDOW_S = 10.0


class Fleet:
    """Gateways that share servers, of which each sees its own requests only.

    :ivar read_again: parts that a server read though another one held them.
    :ivar sent: requests sent.
    """

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        routers = [f"g{n}" for n in range(GATEWAYS)]
        self.gateways = [Driver(routers=routers) for _ in routers]
        # Server to the subjects that it holds, and subject to the time of its last use.
        self.held: dict[str, set[str]] = {}
        self.used_at: dict[str, float] = {}
        self.running: list[tuple[float, Driver, int, str]] = []
        self.load: dict[str, int] = {}
        self.read_again = self.sent = 0

    def join(self, *server_ids: str) -> None:
        """Lists servers at all gateways."""
        for server_id in server_ids:
            self.held[server_id] = set()
            self.load[server_id] = 0
            for gateway in self.gateways:
                gateway.list(server(server_id, "engine", slots=64))

    def leave(self, server_id: str) -> None:
        """Removes a server at all gateways."""
        del self.held[server_id]
        for gateway in self.gateways:
            gateway.apply(ev.ServerRemoved(server_id, after_outage=False))

    def request(self, now: float, subject: str) -> None:
        """Sends a request through some gateway."""
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
        sent = gateway.decide("/chat/1", parts=chat(subject), deadline_s=10.0)
        target = sent.server.id
        self._count(now, subject, target, sent.source.id if sent.source else "")
        self.load[target] += 1
        self.running.append((now + RUN_S, gateway, sent.serial, target))
        report = Load(self.load[target], 0, 64)
        gateway.apply(ev.AnswerStarted(sent.serial, report, 0.05, True))

    def _count(self, now: float, subject: str, target: str, source: str) -> None:
        holders = {s for s, subjects in self.held.items() if subject in subjects}
        recent = now - self.used_at.get(subject, -REUSE_WINDOW_S) < REUSE_WINDOW_S
        if holders and recent and not holders & {target, source}:
            self.read_again += 1
        self.held[target].add(subject)
        self.used_at[subject] = now
        self.sent += 1


class ReadAgainTest(unittest.TestCase):
    def test_servers_that_join_copy_what_others_hold(self):
        """Replays a scale-out and a release under 60 requests a second (scale-1, grown).

        A gateway sees one request in 31, so that it mostly does not know where a chat
        was last. At most one request in a hundred may read a prompt again.
        """
        fleet = Fleet(5)
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
        self.assertLessEqual(fleet.read_again, 0.01 * fleet.sent)


if __name__ == "__main__":
    unittest.main()
