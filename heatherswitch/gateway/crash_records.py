"""Store records by which gateways share crash reports and cleared prompt parts."""

import json
import math

from heatherswitch.gateway.prompt_quarantine import MAX_REPORTED_PARTS, CrashReport

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
        tree = json.loads(value)
        sent_at, at = float(tree["sent_at"]), float(tree["at"])
        parts = tree["parts"]
        if not isinstance(parts, list) or not math.isfinite(sent_at + at):
            raise CrashRecordError("malformed crash report: parts or time")
        return CrashReport(
            report_id,
            str(tree["server"]),
            int(tree["incarnation"]),
            sent_at,
            at,
            tuple(str(part) for part in parts[-MAX_REPORTED_PARTS:]),
        )
    except (KeyError, TypeError, ValueError, OverflowError) as error:
        raise CrashRecordError(f"malformed crash report: {error!r}") from error


def cleared_record(part: str) -> tuple[str, bytes]:
    """Returns the store key and value that clear a part of all earlier reports."""
    return CLEARED_PREFIX + part, b"{}"
