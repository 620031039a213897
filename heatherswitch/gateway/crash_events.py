"""Events and effects about servers that crash on parts of prompts."""

from heatherswitch.gateway.crash_report import CrashReport
from heatherswitch.util.record import Record


class CrashEvent(Record):
    """Base of the events that tell of crashes and of completed prompt parts."""

    __slots__ = ()


class CrashReported(CrashEvent):
    """A gateway reported that a server broke off a request when it began to write."""

    __slots__ = ("report",)

    def __init__(self, report: CrashReport) -> None:
        self.report = report


class PeerCrashReceived(CrashEvent):
    """Another gateway sent a crash report that it also writes to the store.

    :param peer: address of the sender.
    """

    __slots__ = (
        "peer",
        "report",
    )

    def __init__(self, peer: str, report: CrashReport) -> None:
        self.peer = peer
        self.report = report


class CrashReportRemoved(CrashEvent):
    """A crash report has expired in the store."""

    __slots__ = ("report_id",)

    def __init__(self, report_id: str) -> None:
        self.report_id = report_id


class PartCleared(CrashEvent):
    """A gateway completed a request with a prompt part that was in crash reports.

    :param part: hash of the part.
    :param age_s: seconds from the completion to the message about it.
    :param peer: address of the gateway that sent the message; empty for the store.
    """

    __slots__ = ("part", "age_s", "peer")

    def __init__(self, part: str, age_s: float = 0.0, peer: str = "") -> None:
        self.part = part
        self.age_s = age_s
        self.peer = peer


class SendCrash(Record):
    """Send a crash report to other gateways.

    :param peers: their addresses.
    """

    __slots__ = (
        "peers",
        "report",
    )

    def __init__(self, peers: tuple[str, ...], report: CrashReport) -> None:
        self.peers = peers
        self.report = report


class PublishCrash(Record):
    """Report a broken-off request to all gateways."""

    __slots__ = ("report",)

    def __init__(self, report: CrashReport) -> None:
        self.report = report


class RepublishCrashes(Record):
    """Write this gateway's crash reports to the store again, which has lost them."""

    __slots__ = ("reports",)

    def __init__(self, reports: tuple[CrashReport, ...]) -> None:
        self.reports = reports


class PublishCleared(Record):
    """Tell all gateways that requests with some prompt parts were completed.

    :param parts: hashes of the parts.
    :param age_s: seconds since the completion.
    """

    __slots__ = ("parts", "age_s")

    def __init__(self, parts: tuple[str, ...], age_s: float = 0.0) -> None:
        self.parts = parts
        self.age_s = age_s


class SendCleared(Record):
    """Tell other gateways that requests with some prompt parts were completed.

    :param peers: their addresses.
    :param cleared: what is also written to the store.
    """

    __slots__ = ("peers", "cleared")

    def __init__(self, peers: tuple[str, ...], cleared: PublishCleared) -> None:
        self.peers = peers
        self.cleared = cleared


CrashEffect = PublishCrash | RepublishCrashes | PublishCleared
