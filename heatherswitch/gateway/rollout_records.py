"""Store records by which gateways share the evidence and progress of a rollout."""

import json
from typing import Any

from heatherswitch.fleet.evidence import EvidenceRecord
from heatherswitch.fleet.rollout import Counts
from heatherswitch.util.record import Record
from heatherswitch.util.untrusted import (
    MalformedInput,
    describe_error,
    parse_json,
    parse_object,
    require_integer,
    require_list,
    require_number,
    require_string,
)

EVIDENCE_PREFIX = "heatherswitch/evidence/"
PROGRESS_PREFIX = "heatherswitch/progress/"


class RolloutRecordError(ValueError):
    """A rollout record is malformed."""


class Progress(Record):
    """Progress of a rollout, as recorded by its owner.

    :param rollout_id: see :func:`~heatherswitch.gateway.rollouts.rollout_id`.
    :param stage: index of the current stage.
    :param elapsed_s: seconds since the order.
    """

    __slots__ = (
        "rollout_id",
        "stage",
        "elapsed_s",
    )

    def __init__(self, rollout_id: str, stage: int, elapsed_s: float) -> None:
        self.rollout_id = rollout_id
        self.stage = stage
        self.elapsed_s = elapsed_s


def encode_progress(progress: Progress) -> bytes:
    """Encodes progress as JSON."""
    value = {
        "move": progress.rollout_id,
        "stage": progress.stage,
        "elapsed_s": round(progress.elapsed_s, 2),
    }
    return json.dumps(value).encode()


def decode_progress(value: bytes) -> Progress:
    """Decodes a value of :func:`encode_progress`.

    :raises RolloutRecordError: if it is malformed.
    """
    try:
        tree = parse_object(value)
        return Progress(
            require_string(tree["move"]),
            require_integer(tree["stage"]),
            require_number(tree["elapsed_s"]),
        )
    except (KeyError, MalformedInput) as error:
        message = f"malformed progress record: {describe_error(error)}"
        raise RolloutRecordError(message) from error


def encode_evidence(records: list[EvidenceRecord]) -> bytes:
    """Encodes one gateway's evidence as JSON, with an array for each record."""
    rows = [
        [
            r.move,
            r.router,
            r.incarnation,
            r.sequence,
            r.route,
            r.share,
            _counts_row(r.active),
            _counts_row(r.starting),
        ]
        for r in records
    ]
    return json.dumps(rows, separators=(",", ":")).encode()


def _counts_row(counts: Counts) -> list[int]:
    return [counts.requests, counts.failures, counts.timed, counts.slow]


def decode_evidence(value: bytes) -> list[EvidenceRecord]:
    """Decodes a value of :func:`encode_evidence`.

    :raises RolloutRecordError: if it is malformed.
    """
    try:
        return [_decode_evidence_row(row) for row in require_list(parse_json(value))]
    except ValueError as error:
        message = f"malformed evidence record: {describe_error(error)}"
        raise RolloutRecordError(message) from error


def _decode_evidence_row(row: Any) -> EvidenceRecord:
    move, router, incarnation, sequence, route, share, active, starting = require_list(
        row
    )
    return EvidenceRecord(
        require_string(move),
        require_string(router),
        require_integer(incarnation),
        require_integer(sequence),
        require_string(route),
        require_number(share),
        _decode_counts(active),
        _decode_counts(starting),
    )


def _decode_counts(row: Any) -> Counts:
    requests, failures, timed, slow = map(require_integer, require_list(row))
    return Counts(requests, failures, timed, slow)
