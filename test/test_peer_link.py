"""Tests of messages between gateways over real sockets."""

import asyncio
import socket
import unittest

from heatherswitch.fleet.counters import Count
from heatherswitch.gateway import events as ev
from heatherswitch.gateway.peer_link import REPLY_TIMEOUT_S, PeerLink
from heatherswitch.util.metrics import Metrics

LOOPBACK = "127.0.0.1"
COUNT = Count("server/s1", 1)


class PeerLinkTest(unittest.IsolatedAsyncioTestCase):
    async def open_link(self, answer: int | None = 5) -> PeerLink:
        """Returns a bound link.

        :param answer: load that it replies with; None to send no replies.
        """
        self.events = []

        def apply(event):
            self.events.append(event)
            if isinstance(event, ev.PeerCountsReceived) and answer is not None:
                counts = tuple(Count(c.key, answer) for c in event.counts)
                link.send_effect(ev.ReplyToPeer(event.peer, event.sequence, counts))

        link = PeerLink(apply, Metrics())
        await link.bind(LOOPBACK, 0)
        self.addCleanup(link.close)
        return link

    async def test_request_gets_a_reply(self):
        owner, asker = await self.open_link(), await self.open_link()
        reply = await asker.ask(ev.QueryLoad(7, owner.address, COUNT))
        self.assertEqual(reply, ev.LoadReplyReceived(7, owner.address, "server/s1", 5))

    async def test_missing_reply_times_out(self):
        owner, asker = await self.open_link(None), await self.open_link()
        started_at = asyncio.get_running_loop().time()
        reply = await asker.ask(ev.QueryLoad(7, owner.address, COUNT))
        self.assertEqual(reply, ev.PeerQueryFailed(7, owner.address))
        elapsed_s = asyncio.get_running_loop().time() - started_at
        self.assertLess(elapsed_s, REPLY_TIMEOUT_S + 0.1)

    async def test_closed_port_counts_as_unanswered(self):
        asker = await self.open_link()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as unused:
            unused.bind((LOOPBACK, 0))
            address = f"{LOOPBACK}:{unused.getsockname()[1]}"
        reply = await asker.ask(ev.QueryLoad(7, address, COUNT))
        self.assertEqual(reply, ev.PeerQueryFailed(7, address))

    async def test_malformed_datagrams_are_ignored(self):
        owner, asker = await self.open_link(), await self.open_link()
        host, _, port = owner.address.rpartition(":")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for data in (b"", b"\\x93", b"x" * 1000):
                sender.sendto(data, (host, int(port)))
        reply = await asker.ask(ev.QueryLoad(7, owner.address, COUNT))
        self.assertIsInstance(reply, ev.LoadReplyReceived)

    async def test_late_reply_is_not_used_for_another_request(self):
        """A reply is matched to its request by the message number."""
        owner, asker = await self.open_link(None), await self.open_link()
        await asker.ask(ev.QueryLoad(7, owner.address, COUNT))
        first_message = next(
            e for e in self.events if isinstance(e, ev.PeerCountsReceived)
        )
        late_counts = (Count("server/s1", 99),)
        second = asyncio.create_task(asker.ask(ev.QueryLoad(8, owner.address, COUNT)))
        await asyncio.sleep(0)
        owner.send_effect(
            ev.ReplyToPeer(asker.address, first_message.sequence, late_counts)
        )
        self.assertIsInstance(await second, ev.PeerQueryFailed)


if __name__ == "__main__":
    unittest.main()
