"""The gateways' own records of a move in the store: evidence and progress."""

import json
from dataclasses import dataclass

from heatherswitch.fleet.evidence import EvidenceRecord
from heatherswitch.fleet.rollout import Counts

EVIDENCE_PREFIX = "heatherswitch/evidence/"
PROGRESS_PREFIX = "heatherswitch/progress/"


class RolloutRecordError(ValueError):
    """A record of a move is malformed."""


@dataclass(frozen=True, slots=True)
class Progress:
    """How far the owner has taken a move.

    :param move: id of the move.
    :param elapsed_s: seconds since the order.
    """

    move: str
    stage: int
    elapsed_s: float


def encode_progress(progress: Progress) -> bytes:
    """Returns the record's bytes."""
    value = {
        "move": progress.move,
        "stage": progress.stage,
        "elapsed_s": round(progress.elapsed_s, 2),
    }
    return json.dumps(value).encode()


def decode_progress(value: bytes) -> Progress:
    """Reads a record.

    :raises RolloutRecordError: if it is malformed.
    """
    try:
        tree = json.loads(value)
        return Progress(
            str(tree["move"]), max(0, int(tree["stage"])), float(tree["elapsed_s"])
        )
    except (KeyError, TypeError, ValueError) as error:
        raise RolloutRecordError(f"progress: {error!r}") from error


def encode_evidence(records: list[EvidenceRecord]) -> bytes:
    """Returns the bytes of one gateway's totals."""
    rows = [
        [
            r.move,
            r.router,
            r.incarnation,
            r.sequence,
            r.route,
            r.share,
            _row(r.active),
            _row(r.starting),
        ]
        for r in records
    ]
    return json.dumps(rows, separators=(",", ":")).encode()


def _row(counts: Counts) -> list[int]:
    return [counts.requests, counts.failures, counts.timed, counts.slow]


def decode_evidence(value: bytes) -> list[EvidenceRecord]:
    """Reads one gateway's totals.

    :raises RolloutRecordError: if they are malformed.
    """
    try:
        return [
            EvidenceRecord(
                str(move),
                str(router),
                int(incarnation),
                int(sequence),
                str(route),
                float(share),
                Counts(*map(int, active)),
                Counts(*map(int, starting)),
            )
            for move, router, incarnation, sequence, route, share, active, starting in (
                json.loads(value)
            )
        ]
    except (TypeError, ValueError) as error:
        raise RolloutRecordError(f"evidence: {error!r}") from error
