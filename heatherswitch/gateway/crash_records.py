"""Store records by which gateways share crash reports and cleared prompt parts."""

import json
import math

from heatherswitch.gateway.crash_events import PartCleared, PublishCleared
from heatherswitch.gateway.crash_report import MAX_REPORTED_PARTS, CrashReport
from heatherswitch.util.untrusted import (
    MalformedInput,
    describe_error,
    parse_object,
    read_field,
    require_integer,
    require_list,
    require_number,
    require_string,
)

CRASH_PREFIX = "heatherswitch/crashes/"
CLEARED_PREFIX = "heatherswitch/cleared-parts/"


class CrashRecordError(ValueError):
    """A crash record is malformed."""


def encode_report(report: CrashReport) -> tuple[str, bytes]:
    """Returns the store key and value of a report."""
    value = {
        "server": report.server_id,
        "incarnation": report.incarnation,
        "sent_at": round(report.sent_at, 3),
        "at": round(report.at, 3),
        "parts": report.parts,
    }
    if report.written_at != report.at:
        value["written_at"] = round(report.written_at, 3)
    return CRASH_PREFIX + report.id, json.dumps(value, separators=(",", ":")).encode()


def decode_report(report_id: str, value: bytes) -> CrashReport:
    """Decodes a value of :func:`encode_report`.

    :param report_id: the key without :data:`CRASH_PREFIX`.
    :raises CrashRecordError: if it is malformed.
    """
    try:
        tree = parse_object(value)
        sent_at, at = require_number(tree["sent_at"]), require_number(tree["at"])
        # Gateways of an earlier release write no time of the report.
        written_at = read_field(tree, "written_at", require_number, at)
        if not math.isfinite(sent_at + at + written_at):
            raise MalformedInput("the times are out of range")
        parts = require_list(tree["parts"])
        return CrashReport(
            report_id,
            require_string(tree["server"]),
            require_integer(tree["incarnation"]),
            sent_at,
            at,
            tuple(require_string(part) for part in parts[-MAX_REPORTED_PARTS:]),
            written_at,
        )
    except (KeyError, MalformedInput) as error:
        message = f"malformed crash report: {describe_error(error)}"
        raise CrashRecordError(message) from error


def encode_cleared(effect: PublishCleared) -> list[tuple[str, bytes]]:
    """Returns the store keys and values that tell of completed parts."""
    value = json.dumps({"age_s": round(effect.age_s, 1)}).encode()
    return [(CLEARED_PREFIX + part, value) for part in effect.parts]


def decode_cleared(part: str, value: bytes, peer: str = "") -> PartCleared:
    """Decodes a value of :func:`encode_cleared`.

    :param part: the key without :data:`CLEARED_PREFIX`.
    :param peer: address of the gateway that sent it; empty for the store.
    :raises CrashRecordError: if it is malformed.
    """
    try:
        # Gateways of an earlier release write no age.
        age_s = require_number(parse_object(value).get("age_s", 0.0))
        if not 0.0 <= age_s < math.inf:
            raise MalformedInput("the age is out of range")
    except MalformedInput as error:
        message = f"malformed cleared part: {describe_error(error)}"
        raise CrashRecordError(message) from error
    return PartCleared(part, age_s, peer)
