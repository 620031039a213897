"""Converts evidence and cuts of versions to and from protocol messages."""

from dataclasses import dataclass

from heatherswitch.fleet.evidence import EvidenceRecord
from heatherswitch.fleet.rollout import Counts
from heatherswitch.protocol import heatherswitch_pb2 as pb

# Totals that one message may carry, about 130 bytes each and only while a version
# move runs. A daemon sends about 12 messages a second and may use 14 KB/s in all.
MAX_EVIDENCE = 12
# Of them, totals of the sender itself; those of others reach routers that do not
# exchange with their sender.
MAX_OWN_EVIDENCE = 8
# Cuts that one message may carry.
MAX_CUTS = 16
# Longest reason that is passed on, in characters.
MAX_REASON = 200


@dataclass(frozen=True, slots=True)
class Cut:
    """A version that gets no work, whatever its configured share.

    :param until: deadline of the move, in seconds since the epoch.
    """

    move: str
    service: str
    version: str
    until: float
    reason: str


def record_to_message(record: EvidenceRecord) -> pb.VersionEvidence:
    """Returns the message of a record."""
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
    """Returns the record that a message holds."""
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


def cut_to_message(cut: Cut) -> pb.VersionCut:
    """Returns the message of a cut."""
    return pb.VersionCut(
        move=cut.move,
        service=cut.service,
        version=cut.version,
        until=cut.until,
        reason=cut.reason,
    )


def cut_from_message(message: pb.VersionCut) -> Cut:
    """Returns the cut that a message holds."""
    return Cut(
        message.move,
        message.service,
        message.version,
        message.until,
        message.reason[:MAX_REASON],
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
