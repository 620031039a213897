"""Store records by which gateways share crash reports and cleared prompt parts."""

import json
import math

from heatherswitch.gateway.prompt_quarantine import MAX_REPORTED_PARTS, CrashReport
from heatherswitch.util.untrusted import (
    MalformedInput,
    describe_error,
    parse_object,
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
    return CRASH_PREFIX + report.id, json.dumps(value).encode()


def decode_report(report_id: str, value: bytes) -> CrashReport:
    """Decodes a value of :func:`encode_report`.

    :param report_id: the key without :data:`CRASH_PREFIX`.
    :raises CrashRecordError: if it is malformed.
    """
    try:
        tree = parse_object(value)
        sent_at, at = require_number(tree["sent_at"]), require_number(tree["at"])
        if not math.isfinite(sent_at + at):
            raise MalformedInput("the times are out of range")
        parts = require_list(tree["parts"])
        return CrashReport(
            report_id,
            require_string(tree["server"]),
            require_integer(tree["incarnation"]),
            sent_at,
            at,
            tuple(require_string(part) for part in parts[-MAX_REPORTED_PARTS:]),
        )
    except (KeyError, MalformedInput) as error:
        message = f"malformed crash report: {describe_error(error)}"
        raise CrashRecordError(message) from error


def cleared_record(part: str) -> tuple[str, bytes]:
    """Returns the store key and value that clear a part of all earlier reports."""
    return CLEARED_PREFIX + part, b"{}"
