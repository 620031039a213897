"""Exchanges requests and request counts with other gateways over UDP."""

import asyncio
import itertools
import logging
import random
from collections.abc import Callable

from heatherswitch.fleet.counters import Count
from heatherswitch.fleet.peer_messages import (
    MAX_RECORDS,
    MessageKind,
    PeerMessage,
    PeerMessageError,
    PrefixHolder,
    decode,
    encode,
)
from heatherswitch.gateway import events as ev
from heatherswitch.gateway.crash_records import (
    CLEARED_PREFIX,
    CRASH_PREFIX,
    CrashRecordError,
    decode_cleared,
    decode_report,
    encode_cleared,
    encode_report,
)
from heatherswitch.gateway.leaving_records import (
    LEAVING_PREFIX,
    LeavingRecordError,
    decode_leaving,
    encode_leaving,
)
from heatherswitch.util.datagrams import DatagramSocket
from heatherswitch.util.metrics import Metrics

log = logging.getLogger("heatherswitch.gateway.peers")

# Seconds after which a request to another gateway is given up. This allows several round
# trips between zones and is a small part of the time to the first event of a stream.
REPLY_TIMEOUT_S = 0.025
# Size of the random id that tells two runs of a gateway apart.
RUN_ID_BITS = 48


class PeerLink:
    """Sends messages to other gateways and passes on those received.

    :param apply: called with an event for each received message.
    """

    __slots__ = (
        "_apply",
        "_message_numbers",
        "_metrics",
        "_pending_replies",
        "_run_id",
        "_socket",
    )

    def __init__(self, apply: Callable[[ev.Event], None], metrics: Metrics) -> None:
        self._apply = apply
        self._metrics = metrics
        self._run_id = random.getrandbits(RUN_ID_BITS)
        self._message_numbers = itertools.count(1)
        # Futures of replies, by the request's number and the peer that it was sent to.
        self._pending_replies: dict[tuple[int, str], asyncio.Future] = {}
        self._socket: DatagramSocket | None = None

    @property
    def address(self) -> str:
        """The bound ``host:port``, or an empty string before :meth:`bind`."""
        return self._socket.address if self._socket is not None else ""

    async def bind(self, host: str, port: int) -> None:
        """Binds the UDP socket; port 0 picks a free one."""
        socket = DatagramSocket(self._on_datagram)
        await socket.bind(host, port)
        self._socket = socket

    def close(self) -> None:
        """Closes the socket if it was bound."""
        if self._socket is not None:
            self._socket.close()

    async def ask(
        self, effect: ev.QueryLoad | ev.QueryHolder
    ) -> ev.LoadReplyReceived | ev.PrefixOwnerReplyReceived | ev.PeerQueryFailed:
        """Requests a server's load, or a server that has a prompt part cached.

        :returns: the reply, or :class:`~heatherswitch.gateway.events.Unanswered` if none
            that fits arrives in :data:`REPLY_TIMEOUT_S`.
        """
        counts = (effect.count,) if isinstance(effect, ev.QueryLoad) else ()
        holders = (effect.holder,) if isinstance(effect, ev.QueryHolder) else ()
        number = self._send(effect.peer, MessageKind.ASK, counts, holders=holders)
        reply = asyncio.get_running_loop().create_future()
        self._pending_replies[number, effect.peer] = reply
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                message = await reply
        except TimeoutError:
            self._count_message("unanswered")
            log.info("peer did not reply in time", extra={"peer": effect.peer})
            return ev.PeerQueryFailed(effect.serial, effect.peer)
        finally:
            del self._pending_replies[number, effect.peer]
        for count in message.counts:
            return ev.LoadReplyReceived(
                effect.serial, effect.peer, count.key, count.value
            )
        for holder in message.holders:
            return ev.PrefixOwnerReplyReceived(effect.serial, effect.peer, holder)
        # A gateway of another release may reply without the requested data.
        return ev.PeerQueryFailed(effect.serial, effect.peer)

    def send_effect(self, effect: ev.PeerEffect) -> None:
        """Sends the message of an effect; a refused one is only counted and logged."""
        match effect:
            case ev.SendCounts():
                kind = MessageKind.ASK if effect.wants_reply else MessageKind.TELL
                self._send(effect.peer, kind, effect.counts)
            case ev.ReplyToPeer():
                self._send(
                    effect.peer,
                    MessageKind.TOLD,
                    effect.counts,
                    effect.in_reply_to,
                    effect.holders,
                )
            case ev.SendCrash():
                self._send_records(effect.peers, [encode_report(effect.report)])
            case ev.SendCleared():
                self._send_records(effect.peers, encode_cleared(effect.cleared))
            case ev.SendLeaving():
                encoded = map(encode_leaving, effect.starts)
                self._send_records(effect.peers, [r for r in encoded if r is not None])
            case ev.RejectPeerMessage():
                self._count_message("stranger")
                log.info(
                    "message from unknown peer ignored", extra={"peer": effect.peer}
                )

    def _send_records(
        self, peers: tuple[str, ...], records: list[tuple[str, bytes]]
    ) -> None:
        for at in range(0, len(records), MAX_RECORDS):
            batch = tuple(records[at : at + MAX_RECORDS])
            for peer in peers:
                self._send(peer, MessageKind.RECORDS, (), records=batch)

    def _send(
        self,
        peer: str,
        kind: MessageKind,
        counts: tuple[Count, ...],
        question: int = 0,
        holders: tuple[PrefixHolder, ...] = (),
        records: tuple[tuple[str, bytes], ...] = (),
    ) -> int:
        number = next(self._message_numbers)
        message = PeerMessage(
            kind, self._run_id, number, question, counts, holders, records
        )
        self._socket.send(encode(message), peer)
        self._count_message(f"sent {kind.name.lower()}")
        return number

    def _on_datagram(self, data: bytes, peer: str) -> None:
        try:
            message = decode(data)
        except PeerMessageError as error:
            self._count_message("malformed")
            log.info(
                "malformed datagram ignored", extra={"peer": peer, "error": str(error)}
            )
            return
        if message.kind is MessageKind.RECORDS:
            self._on_records(message, peer)
            return
        if message.kind is not MessageKind.TOLD:
            self._apply(
                ev.PeerCountsReceived(
                    peer,
                    message.run,
                    message.number,
                    message.counts,
                    message.kind is MessageKind.ASK,
                    message.holders,
                )
            )
            return
        pending = self._pending_replies.get((message.question, peer))
        if pending is None:
            self._apply(ev.ServiceTotalsReceived(peer, message.counts))
        elif not pending.done():
            pending.set_result(message)

    def _on_records(self, message: PeerMessage, peer: str) -> None:
        for key, value in message.records:
            try:
                event = _decode_record(key, value, peer)
            except (CrashRecordError, LeavingRecordError) as error:
                self._count_message("malformed")
                log.info(
                    "malformed record ignored",
                    extra={"peer": peer, "error": str(error)},
                )
                continue
            if event is not None:
                self._apply(event)

    def _count_message(self, what: str) -> None:
        self._metrics.count(
            "gateway_peer_messages_total",
            "Messages between gateways, by what became of them.",
            {"what": what},
        )


def _decode_record(
    key: str, value: bytes, peer: str
) -> ev.CrashEvent | ev.PeerNoticeReceived | None:
    """Returns the event of a record, or None for those that a later release sends.

    :raises CrashRecordError: if a record about a crash is malformed.
    :raises LeavingRecordError: if one of a server that leaves is.
    """
    if key.startswith(LEAVING_PREFIX):
        return ev.PeerNoticeReceived(peer, decode_leaving(key, value))
    if key.startswith(CLEARED_PREFIX):
        return decode_cleared(key.removeprefix(CLEARED_PREFIX), value, peer)
    if key.startswith(CRASH_PREFIX):
        report = decode_report(key.removeprefix(CRASH_PREFIX), value)
        return ev.PeerCrashReceived(peer, report)
    return None
