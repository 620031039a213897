"""Carries questions and counts between gateways in datagrams."""

import asyncio
import itertools
import logging
import random
from collections.abc import Callable

from heatherswitch.fleet.counters import Count
from heatherswitch.fleet.peer_messages import (
    Holder,
    Kind,
    PeerMessage,
    PeerMessageError,
    decode,
    encode,
)
from heatherswitch.gateway import events as ev
from heatherswitch.util.datagrams import DatagramSocket
from heatherswitch.util.metrics import Metrics

log = logging.getLogger("heatherswitch.gateway.peers")

# A question that is not answered after this long is given up, in seconds: several round
# trips between zones, and a small part of the time to a first event.
ANSWER_TIMEOUT_S = 0.025
# Bits of the number that differs between two starts of a gateway.
RUN_BITS = 48


class PeerLink:
    """Messages to and from the other gateways.

    :param apply: takes one event.
    """

    __slots__ = ("_apply", "_metrics", "_numbers", "_questions", "_run", "_socket")

    def __init__(self, apply: Callable[[ev.Event], None], metrics: Metrics) -> None:
        self._apply = apply
        self._metrics = metrics
        self._run = random.getrandbits(RUN_BITS)
        self._numbers = itertools.count(1)
        # Number of a question and whom it went to, to what waits for the answer.
        self._questions: dict[tuple[int, str], asyncio.Future] = {}
        self._socket: DatagramSocket | None = None

    @property
    def address(self) -> str:
        """``host:port`` that other gateways send to, or an empty string."""
        return self._socket.address if self._socket is not None else ""

    async def bind(self, host: str, port: int) -> None:
        """Binds the socket."""
        socket = DatagramSocket(self._on_datagram)
        await socket.bind(host, port)
        self._socket = socket

    def close(self) -> None:
        """Closes the socket."""
        if self._socket is not None:
            self._socket.close()

    async def ask(
        self, ask: ev.QueryLoad | ev.QueryHolder
    ) -> ev.LoadReplyReceived | ev.HolderReplyReceived | ev.PeerQueryFailed:
        """Asks for the load of a server, or for a server that holds a part."""
        counts = (ask.count,) if isinstance(ask, ev.QueryLoad) else ()
        holders = (ask.holder,) if isinstance(ask, ev.QueryHolder) else ()
        number = self._send(ask.peer, Kind.ASK, counts, holders=holders)
        answer = asyncio.get_running_loop().create_future()
        self._questions[number, ask.peer] = answer
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                message = await answer
        except TimeoutError:
            self._count("unanswered")
            log.info("a gateway did not answer", extra={"peer": ask.peer})
            return ev.PeerQueryFailed(ask.serial, ask.peer)
        finally:
            del self._questions[number, ask.peer]
        for told in message.counts:
            return ev.LoadReplyReceived(ask.serial, ask.peer, told.key, told.value)
        for holder in message.holders:
            return ev.HolderReplyReceived(ask.serial, ask.peer, holder)
        # Another release may answer without what was asked for.
        return ev.PeerQueryFailed(ask.serial, ask.peer)

    def carry_out(self, effect: ev.PeerEffect) -> None:
        """Sends what an effect says."""
        match effect:
            case ev.SendCounts():
                kind = Kind.ASK if effect.wants_reply else Kind.TELL
                self._send(effect.peer, kind, effect.counts)
            case ev.ReplyToPeer():
                self._send(
                    effect.peer,
                    Kind.TOLD,
                    effect.counts,
                    effect.in_reply_to,
                    effect.holders,
                )
            case ev.RejectPeerMessage():
                self._count("stranger")
                log.info("a stranger's message", extra={"peer": effect.peer})

    def _send(
        self,
        peer: str,
        kind: Kind,
        counts: tuple[Count, ...],
        question: int = 0,
        holders: tuple[Holder, ...] = (),
    ) -> int:
        number = next(self._numbers)
        message = PeerMessage(kind, self._run, number, question, counts, holders)
        self._socket.send(encode(message), peer)
        self._count(f"sent {kind.name.lower()}")
        return number

    def _on_datagram(self, data: bytes, peer: str) -> None:
        try:
            message = decode(data)
        except PeerMessageError as error:
            self._count("malformed")
            log.info("datagram ignored", extra={"peer": peer, "error": str(error)})
            return
        if message.kind is not Kind.TOLD:
            self._apply(
                ev.PeerCountsReceived(
                    peer,
                    message.run,
                    message.number,
                    message.counts,
                    message.kind is Kind.ASK,
                    message.holders,
                )
            )
            return
        waiting = self._questions.get((message.question, peer))
        if waiting is None:
            self._apply(ev.ServiceTotalsReceived(peer, message.counts))
        elif not waiting.done():
            waiting.set_result(message)

    def _count(self, what: str) -> None:
        self._metrics.count(
            "gateway_peer_messages_total",
            "Messages between gateways, by what became of them.",
            {"what": what},
        )
