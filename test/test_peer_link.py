"""Messages between gateways over real sockets."""

import asyncio
import socket
import unittest

from heatherswitch.fleet.counters import Count
from heatherswitch.gateway import events as ev
from heatherswitch.gateway.peer_link import ANSWER_TIMEOUT_S, PeerLink
from heatherswitch.util.metrics import Metrics

LOOPBACK = "127.0.0.1"
COUNT = Count("server/s1", 1)


class PeerLinkTest(unittest.IsolatedAsyncioTestCase):
    async def link(self, answer: int | None = 5) -> PeerLink:
        """Returns a link that answers questions, or none."""
        self.events = []

        def apply(event):
            self.events.append(event)
            if isinstance(event, ev.PeerCountsReceived) and answer is not None:
                counts = tuple(Count(c.key, answer) for c in event.counts)
                link.carry_out(ev.ReplyToPeer(event.peer, event.sequence, counts))

        link = PeerLink(apply, Metrics())
        await link.bind(LOOPBACK, 0)
        self.addCleanup(link.close)
        return link

    async def test_question_is_answered(self):
        owner, asker = await self.link(), await self.link()
        told = await asker.ask(ev.QueryLoad(7, owner.address, COUNT))
        self.assertEqual(told, ev.LoadReplyReceived(7, owner.address, "server/s1", 5))

    async def test_silent_owner_costs_one_short_wait(self):
        owner, asker = await self.link(None), await self.link()
        began = asyncio.get_running_loop().time()
        told = await asker.ask(ev.QueryLoad(7, owner.address, COUNT))
        self.assertEqual(told, ev.PeerQueryFailed(7, owner.address))
        took_s = asyncio.get_running_loop().time() - began
        self.assertLess(took_s, ANSWER_TIMEOUT_S + 0.1)

    async def test_port_without_a_listener_costs_no_more(self):
        asker = await self.link()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as unused:
            unused.bind((LOOPBACK, 0))
            address = f"{LOOPBACK}:{unused.getsockname()[1]}"
        told = await asker.ask(ev.QueryLoad(7, address, COUNT))
        self.assertEqual(told, ev.PeerQueryFailed(7, address))

    async def test_bytes_that_are_no_message_are_ignored(self):
        owner, asker = await self.link(), await self.link()
        host, _, port = owner.address.rpartition(":")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
            for data in (b"", b"\\x93", b"x" * 1000):
                stranger.sendto(data, (host, int(port)))
        told = await asker.ask(ev.QueryLoad(7, owner.address, COUNT))
        self.assertIsInstance(told, ev.LoadReplyReceived)

    async def test_answer_that_comes_late_reaches_no_other_request(self):
        """It carries the number of its question and is taken for nothing else."""
        owner, asker = await self.link(None), await self.link()
        await asker.ask(ev.QueryLoad(7, owner.address, COUNT))
        asked = next(e for e in self.events if isinstance(e, ev.PeerCountsReceived))
        late = (Count("server/s1", 99),)
        second = asyncio.create_task(asker.ask(ev.QueryLoad(8, owner.address, COUNT)))
        await asyncio.sleep(0)
        owner.carry_out(ev.ReplyToPeer(asker.address, asked.sequence, late))
        self.assertIsInstance(await second, ev.PeerQueryFailed)


if __name__ == "__main__":
    unittest.main()
