"""A report of a request whose server may have crashed on its prompt."""

import json
import math

from heatherswitch.util.record import Record

# Maximum number of prompt parts in a report. Its record has 19 bytes for each, and a
# datagram takes records of 1000 bytes.
MAX_REPORTED_PARTS = 40
PART_RECORD_BYTES = 19
# Bytes of a server's id in a record above which fewer parts fit.
SHORT_ID_BYTES = 100

# Separates the id of a request from the number of a report, if it has several.
CONTINUATION = "+"

# Time of each crash and of the last send before it, in seconds since the epoch, by
# prompt part and crash.
CrashTimes = dict[str, dict[tuple[str, int], tuple[float, float]]]


def reported_parts_limit(server_id: str) -> int:
    """Returns how many parts fit into a report about a server."""
    id_bytes = len(json.dumps(server_id))
    excess_bytes = max(0, id_bytes - SHORT_ID_BYTES)
    return max(1, MAX_REPORTED_PARTS - math.ceil(excess_bytes / PART_RECORD_BYTES))


class CrashReport(Record):
    """A server broke off a request when it began to write.

    :param id: unique id; starts with that of the reporting gateway. Several reports of
        one request differ by the number after :data:`CONTINUATION`.
    :param incarnation: start of the server, to tell two crashes apart.
    :param sent_at: time at which the request was sent to the server, in seconds since
        the epoch.
    :param at: time of the crash, in seconds since the epoch.
    :param parts: hashes of shared prompt parts.
    :param written_at: time of the report; later than the crash if the server fell silent.
        That of the crash if None.
    """

    __slots__ = (
        "id",
        "server_id",
        "incarnation",
        "sent_at",
        "at",
        "parts",
        "written_at",
    )

    def __init__(
        self,
        id: str,
        server_id: str,
        incarnation: int,
        sent_at: float,
        at: float,
        parts: tuple[str, ...],
        written_at: float | None = None,
    ) -> None:
        self.id = id
        self.server_id = server_id
        self.incarnation = incarnation
        self.sent_at = sent_at
        self.at = at
        self.parts = parts
        self.written_at = at if written_at is None else written_at

    @property
    def gateway_id(self) -> str:
        """Id of the reporting gateway."""
        return self.id.rpartition("/")[0]

    @property
    def request_id(self) -> str:
        """Identifies the request; several reports hold the parts of a long prompt."""
        gateway_id, _, name = self.id.rpartition("/")
        return f"{gateway_id}/{name.partition(CONTINUATION)[0]}"

    @property
    def crash(self) -> tuple[str, int]:
        """Identifies the crash; several requests may report the same one."""
        return (self.server_id, self.incarnation)
