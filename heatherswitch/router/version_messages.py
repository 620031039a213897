"""Converts evidence about versions and version blocks to and from protocol messages."""

from dataclasses import dataclass

from heatherswitch.fleet.evidence import EvidenceRecord
from heatherswitch.fleet.rollout import Counts
from heatherswitch.protocol import heatherswitch_pb2 as pb

# Records per message. Each takes about 130 bytes and is sent only during a version
# move. A daemon sends about 12 messages/s and has a traffic budget of 14 KB/s in all.
MAX_EVIDENCE = 12
# How many of them may be the sender's own. The remaining ones are relayed for other
# routers, so that they reach routers that do not exchange messages with their origin.
MAX_OWN_EVIDENCE = 8
# Version blocks per message.
MAX_BLOCKS = 16
# Longer reasons are truncated.
MAX_REASON_LENGTH = 200


@dataclass(frozen=True, slots=True)
class VersionBlock:
    """Stops requests to a version regardless of its configured share.

    On the wire it is a ``VersionCut``.

    :param move: id of the version move.
    :param until: deadline of the move, in seconds since the epoch.
    :param reason: evidence behind the decision, for operators.
    """

    move: str
    service: str
    version: str
    until: float
    reason: str


def record_to_message(record: EvidenceRecord) -> pb.VersionEvidence:
    """Converts an evidence record to its protocol message."""
    return pb.VersionEvidence(
        move=record.move,
        router=record.router,
        incarnation=record.incarnation,
        sequence=record.sequence,
        route=record.route,
        share=record.share,
        active=_counts_to_message(record.active),
        starting=_counts_to_message(record.starting),
    )


def record_from_message(message: pb.VersionEvidence) -> EvidenceRecord:
    """Converts a protocol message to an evidence record."""
    return EvidenceRecord(
        message.move,
        message.router,
        message.incarnation,
        message.sequence,
        message.route,
        message.share,
        _counts_from_message(message.active),
        _counts_from_message(message.starting),
    )


def block_to_message(block: VersionBlock) -> pb.VersionCut:
    """Converts a version block to its protocol message."""
    return pb.VersionCut(
        move=block.move,
        service=block.service,
        version=block.version,
        until=block.until,
        reason=block.reason,
    )


def block_from_message(message: pb.VersionCut) -> VersionBlock:
    """Converts a protocol message to a version block, with its reason truncated."""
    return VersionBlock(
        message.move,
        message.service,
        message.version,
        message.until,
        message.reason[:MAX_REASON_LENGTH],
    )


def _counts_to_message(counts: Counts) -> pb.VersionCounts:
    return pb.VersionCounts(
        requests=counts.requests,
        failures=counts.failures,
        timed=counts.timed,
        slow=counts.slow,
    )


def _counts_from_message(message: pb.VersionCounts) -> Counts:
    return Counts(message.requests, message.failures, message.timed, message.slow)
