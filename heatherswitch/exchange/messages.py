"""Builds and parses the messages of the gossip protocol."""

import logging
from collections.abc import Iterable, Mapping, Sequence
from typing import Protocol

from heatherswitch.exchange import gossip
from heatherswitch.exchange.pools import AgentLoadReport, PoolKey, PoolLoadSummary
from heatherswitch.fleet.members import Load, Member
from heatherswitch.protocol import convert
from heatherswitch.protocol import heatherswitch_pb2 as pb
from heatherswitch.statecore.replica import Entry, ReplicatedEntries

log = logging.getLogger("heatherswitch.exchange.messages")

# Only entries whose keys have this prefix are replicated.
CONFIG_PREFIX = "heatherswitch/config/"
# Member records accepted from one message; the rest are ignored.
MAX_RECEIVED_RECORDS = 2 * (
    gossip.MAX_DIGEST_REPLY_RECORDS + gossip.MAX_CHANGED_RECORDS
)
# Agent loads accepted from one message. A group has about 8 agents.
MAX_RECEIVED_LOADS = 1024
# Digest items accepted from one message.
MAX_RECEIVED_DIGEST_ITEMS = 4 * gossip.MAX_DIGEST_ITEMS


class ExchangeExtension(Protocol):
    """Adds data to the messages of exchanges, for example evidence about versions."""

    def extend_message(self, request: pb.ExchangeRequest) -> None:
        """Adds data to a request before it is sent."""

    def process_message(self, reply: pb.ExchangeReply) -> None:
        """Processes a received reply."""

    def handle_request(
        self, sender: Member, request: pb.ExchangeRequest, reply: pb.ExchangeReply
    ) -> None:
        """Processes a received request and adds data to its reply before it is sent."""


class MessageBuilder:
    """Builds requests and replies from the current state of one process."""

    __slots__ = ("_entries", "_own", "_tombstone_floor")

    def __init__(
        self, own: Member, entries: ReplicatedEntries, tombstone_floor: int
    ) -> None:
        self._own = own
        self._entries = entries
        self._tombstone_floor = tombstone_floor

    def build_request(
        self,
        digest: Sequence[gossip.DigestItem],
        members: Iterable[Member],
        peer_revision: int,
        reports: Iterable[AgentLoadReport] = (),
    ) -> pb.ExchangeRequest:
        """Returns a request to a peer.

        :param digest: range of members whose newer records the peer shall return.
        :param peer_revision: revision up to which the peer is known to have all
            entries, or -1 if unknown.
        :param reports: loads of agents whose service has the peer as home router.
        """
        request = pb.ExchangeRequest(
            sender=convert.member_to_message(self._own),
            config_revision=self._entries.revision,
            digest=[
                pb.MemberDigest(
                    id=item.id, incarnation=item.incarnation, heartbeat=item.heartbeat
                )
                for item in digest
            ],
            members=[convert.member_to_message(member) for member in members],
            loads=[
                pb.AgentLoad(
                    agent_id=report.agent_id,
                    running=min(report.load.running, convert.MAX_UINT32),
                    queued=min(report.load.queued, convert.MAX_UINT32),
                    limit=min(report.load.limit, convert.MAX_UINT32),
                    age_ms=_milliseconds(report.age_s),
                )
                for report in reports
            ],
        )
        if peer_revision >= 0:
            delta = gossip.build_delta(
                self._entries, self._tombstone_floor, peer_revision
            )
            # A snapshot is large and therefore sent only as reply to a request.
            if delta.entries and not delta.snapshot:
                request.entries.extend(map(convert.entry_to_message, delta.entries))
                request.entries_revision = delta.revision
                request.entries_base = peer_revision
        return request

    def build_reply(
        self,
        revision: int,
        sender: Member,
        members: Iterable[Member],
        pools: Mapping[PoolKey, PoolLoadSummary],
        ready: bool,
    ) -> pb.ExchangeReply:
        """Returns the reply to a request.

        :param revision: revision up to which the sender has all entries.
        :param pools: for an agent, the load of its own pool; for a router, those of
            the pools whose agent loads it passed on.
        :param ready: True if this process is ready.
        """
        delta = gossip.build_delta(self._entries, self._tombstone_floor, revision)
        # The sender's own record is returned only if a newer one is known, so that it
        # can refute a record that marks it as gone.
        unique = {
            member.id: member
            for member in members
            if member.id != sender.id or member.recency_key > sender.recency_key
        }
        reply = pb.ExchangeReply(
            sender=convert.member_to_message(self._own),
            config_revision=delta.revision,
            entries=map(convert.entry_to_message, delta.entries),
            members=map(convert.member_to_message, unique.values()),
            ready=ready,
            snapshot=delta.snapshot,
        )
        for (service, version), summary in pools.items():
            reply.pool_loads.add(
                service=service,
                version=version,
                total=min(summary.total, convert.MAX_UINT32),
                agents=summary.agents,
                age_ms=_milliseconds(summary.age_s),
            )
        return reply


def _milliseconds(seconds: float) -> int:
    return min(max(int(seconds * 1000), 0), convert.MAX_UINT32)


def parse_agent_loads(messages: Sequence[pb.AgentLoad]) -> list[AgentLoadReport]:
    """Parses agent loads that the home router of a group passed on."""
    return [
        AgentLoadReport(m.agent_id, Load(m.running, m.queued, m.limit), m.age_ms / 1000)
        for m in messages[:MAX_RECEIVED_LOADS]
    ]


def parse_pool_loads(messages: Iterable[pb.PoolLoad]) -> dict[PoolKey, PoolLoadSummary]:
    """Parses the load summaries of pools."""
    return {
        (m.service, m.version): PoolLoadSummary(m.total, m.agents, m.age_ms / 1000)
        for m in messages
    }


def parse_members(messages: Sequence[pb.MemberRecord]) -> list[Member]:
    """Parses member records; invalid ones are logged and skipped."""
    records = []
    for message in messages[:MAX_RECEIVED_RECORDS]:
        try:
            records.append(convert.member_from_message(message))
        except convert.InvalidMessageError as error:
            log.warning("invalid member record ignored", extra={"error": str(error)})
    return records


def parse_digest(messages: Sequence[pb.MemberDigest]) -> list[gossip.DigestItem]:
    """Parses a digest."""
    return [
        gossip.DigestItem(message.id, message.incarnation, message.heartbeat)
        for message in messages[:MAX_RECEIVED_DIGEST_ITEMS]
    ]


def parse_entries(messages: Iterable[pb.ConfigEntry], revision: int) -> list[Entry]:
    """Parses configuration entries.

    :param revision: revision up to which the sender states that they are complete.
    :raises InvalidMessageError: if the revision is out of range or any entry is
        invalid, because without it the others would not be complete.
    """
    if revision >= convert.MAX_COUNTER:
        raise convert.InvalidMessageError(f"revision {revision} is out of range")
    entries = [convert.entry_from_message(message) for message in messages]
    for entry in entries:
        if not entry.key.startswith(CONFIG_PREFIX):
            raise convert.InvalidMessageError(
                f"{entry.key!r} is not a configuration entry"
            )
    return entries
