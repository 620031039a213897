"""Finds prompt parts on which backend servers crash and keeps them from the servers.

A server that crashes takes all its requests with it, so a single crash doesn't show
which request caused it. Gateways share a report for each request whose server broke off
before the first output. A part is quarantined once several servers crashed on it at
different times, while no request with it was completed. No I/O, reads no clock.
"""

from collections import OrderedDict
from collections.abc import Collection, Iterable, Mapping

from heatherswitch.gateway.model import PromptPart, Server
from heatherswitch.statecore.hashing import hash64
from heatherswitch.util.record import Record

# Crashes after which a part is quarantined.
QUARANTINE_CRASHES = 3
# Crashes from which a completed request with the part is announced to other gateways.
# Most parts in reports belong to bystanders of a single crash.
CLEAR_CRASHES = 2
# Crashes within this many seconds count as one, unless the request was sent after the
# crash before. A zone that fails takes servers down together, whatever they run.
COINCIDENCE_S = 0.3
# Seconds after a completed request in which its parts are not suspected here.
COMPLETION_TTL_S = 30.0
# Seconds for which a report counts.
REPORT_TTL_S = 600.0
# Maximum number of reports and of completed parts that a gateway remembers.
MAX_REPORTS = 1000
MAX_COMPLETED_PARTS = 20_000
# Parts of one prompt in a report: the last ones, since fewer prompts share them.
MAX_REPORTED_PARTS = 8

# Heartbeats after which a server that broke off requests counts as not crashed: more
# than the store delivers late.
ALIVE_HEARTBEATS = 4

# Time of each crash and of the last send before it, in seconds since the epoch, by
# prompt part and crash.
CrashTimes = dict[str, dict[tuple[str, int], tuple[float, float]]]


class CrashReport(Record):
    """A server broke off a request before its first output.

    :param id: unique id; starts with that of the reporting gateway.
    :param incarnation: start of the server, to tell two crashes apart.
    :param sent_at: time at which the request was sent to the server, in seconds since
        the epoch.
    :param at: time of the crash, in seconds since the epoch.
    :param parts: hashes of the shared prompt parts, in the order of the prompt.
    """

    __slots__ = (
        "id",
        "server_id",
        "incarnation",
        "sent_at",
        "at",
        "parts",
    )

    def __init__(
        self,
        id: str,
        server_id: str,
        incarnation: int,
        sent_at: float,
        at: float,
        parts: tuple[str, ...],
    ) -> None:
        self.id = id
        self.server_id = server_id
        self.incarnation = incarnation
        self.sent_at = sent_at
        self.at = at
        self.parts = parts

    @property
    def crash(self) -> tuple[str, int]:
        """Identifies the crash; several requests may report the same one."""
        return (self.server_id, self.incarnation)


class QuarantineChange(Record):
    """Prompt parts that were added to the quarantine or released from it.

    :param added: hash of each added part and the number of crashes on it.
    :param released: hashes of the released parts.
    """

    __slots__ = (
        "added",
        "released",
    )

    def __init__(
        self, added: tuple[tuple[str, int], ...], released: tuple[str, ...]
    ) -> None:
        self.added = added
        self.released = released


class PromptQuarantine:
    """Prompt parts that crash servers, by the reports of all gateways.

    :param gateway_id: id of this gateway, unique to its start.
    """

    __slots__ = (
        "_completed_at",
        "_crash_reports",
        "_crash_times",
        "_gateway_id",
        "_heartbeats",
        "_quarantined",
        "_report_count",
        "_reports",
    )

    def __init__(self, gateway_id: str) -> None:
        self._gateway_id = gateway_id
        # Reports by id, oldest first. Cleared parts are removed from them.
        self._reports: OrderedDict[str, CrashReport] = OrderedDict()
        # The same by crash.
        self._crash_reports: dict[tuple[str, int], dict[str, CrashReport]] = {}
        # Heartbeats since the last report of a crash.
        self._heartbeats: dict[tuple[str, int], int] = {}
        self._report_count = 0
        # Time of the last completed request with a part, least recent first.
        self._completed_at: OrderedDict[str, float] = OrderedDict()
        self._crash_times: CrashTimes = {}
        # Number of crashes by quarantined part.
        self._quarantined: dict[str, int] = {}

    @property
    def crash_counts(self) -> Mapping[str, int]:
        """Number of crashes by the hash of each quarantined part."""
        return self._quarantined

    def blocks(self, prompt: Iterable[PromptPart]) -> bool:
        """Returns True if a prompt contains a quarantined part."""
        return bool(self._quarantined) and any(
            part_hash(part) in self._quarantined for part in prompt
        )

    def report(
        self,
        now: float,
        server: Server,
        sent_at: float,
        prompt: tuple[PromptPart, ...],
    ) -> CrashReport | None:
        """Returns a report of a broken-off request for all gateways.

        :param sent_at: time at which the request was sent to the server.
        :returns: None if requests with each of its shared parts were completed
            recently.
        """
        # The last part is this request's own, so no other request can repeat it.
        shared = [part_hash(part) for part in prompt[:-1]]
        suspected = [part for part in shared if not self._is_completed(now, part)]
        if not suspected:
            return None
        self._report_count += 1
        return CrashReport(
            f"{self._gateway_id}/{self._report_count}",
            server.id,
            server.incarnation,
            sent_at,
            now,
            tuple(suspected[-MAX_REPORTED_PARTS:]),
        )

    def note_completed(
        self, now: float, prompt: tuple[PromptPart, ...]
    ) -> tuple[str, ...]:
        """Notes a completed request.

        :returns: its parts that are suspected of several crashes, to be cleared at all
            gateways.
        """
        shared = [part_hash(part) for part in prompt[:-1]]
        for part in shared:
            self._completed_at[part] = now
            self._completed_at.move_to_end(part)
        while len(self._completed_at) > MAX_COMPLETED_PARTS:
            self._completed_at.popitem(last=False)
        return tuple(
            part
            for part in shared
            if len(self._crash_times.get(part, ())) >= CLEAR_CRASHES
        )

    def add(self, report: CrashReport) -> QuarantineChange | None:
        """Adds a report; one with a known id is ignored.

        :returns: the change of the quarantine, or None if there is none.
        """
        if report.id in self._reports:
            return None
        self._insert(report)
        changed = [report]
        while len(self._reports) > MAX_REPORTS:
            changed.append(self._delete(next(iter(self._reports))))
        return self._update(changed)

    def remove(self, report_id: str) -> QuarantineChange | None:
        """Removes a report that has expired; returns as :meth:`add` does."""
        if report_id not in self._reports:
            return None
        return self._update([self._delete(report_id)])

    def note_heartbeat(self, server: Server) -> QuarantineChange | None:
        """Removes the reports of a server that has not started again since.

        A reset of its connections looks like a crash to its callers. Returns as
        :meth:`add` does.
        """
        crash = (server.id, server.incarnation)
        # Without a start time, the next start of the server would look the same.
        if not server.incarnation or crash not in self._crash_reports:
            return None
        self._heartbeats[crash] = self._heartbeats.get(crash, 0) + 1
        if self._heartbeats[crash] < ALIVE_HEARTBEATS:
            return None
        return self._update([self._delete(i) for i in list(self._crash_reports[crash])])

    def clear(self, parts: Collection[str]) -> QuarantineChange | None:
        """Removes parts from all reports so far: a request with them was completed.

        Returns as :meth:`add` does.
        """
        changed = []
        for report in list(self._reports.values()):
            if not report.parts or set(report.parts).isdisjoint(parts):
                continue
            left = tuple(part for part in report.parts if part not in parts)
            changed.append(report)
            self._reports[report.id] = report.replace(parts=left)
            self._crash_reports[report.crash][report.id] = self._reports[report.id]
        for part in parts:
            self._crash_times.pop(part, None)
        return self._update(changed)

    def expire(self, now: float) -> QuarantineChange | None:
        """Removes reports older than :data:`REPORT_TTL_S`; returns as :meth:`add`.

        Those that far in the future come from a gateway whose clock is wrong.
        """
        old = [r.id for r in self._reports.values() if abs(now - r.at) >= REPORT_TTL_S]
        return self._update([self._delete(i) for i in old]) if old else None

    def _is_completed(self, now: float, part: str) -> bool:
        completed_at = self._completed_at.get(part)
        return completed_at is not None and now - completed_at < COMPLETION_TTL_S

    def _insert(self, report: CrashReport) -> None:
        self._reports[report.id] = report
        self._heartbeats.pop(report.crash, None)
        self._crash_reports.setdefault(report.crash, {})[report.id] = report
        for part in report.parts:
            crashes = self._crash_times.setdefault(part, {})
            crashes[report.crash] = _merge(crashes.get(report.crash), report)

    def _delete(self, report_id: str) -> CrashReport:
        report = self._reports.pop(report_id)
        others = self._crash_reports[report.crash]
        del others[report_id]
        # A prompt may repeat a part.
        for part in set(report.parts):
            times = None
            for other in others.values():
                if part in other.parts:
                    times = _merge(times, other)
            crashes = self._crash_times[part]
            if times is not None:
                crashes[report.crash] = times
                continue
            del crashes[report.crash]
            if not crashes:
                del self._crash_times[part]
        if not others:
            del self._crash_reports[report.crash]
            self._heartbeats.pop(report.crash, None)
        return report

    def _update(self, changed: Iterable[CrashReport]) -> QuarantineChange | None:
        """Attributes the crashes to parts and quarantines those with several.

        A crash that a quarantined part explains doesn't count for other parts.

        :param changed: reports that were added, or as they were before a change.
        """
        before = self._quarantined
        # A server or zone that fails brings many reports at once, most of which cannot
        # change the quarantine.
        if not any(
            part in before or len(self._crash_times.get(part, ())) >= QUARANTINE_CRASHES
            for report in changed
            for part in report.parts
        ):
            return None
        self._quarantined = {}
        reports: Collection[CrashReport] = list(self._reports.values())
        times = _with_several_crashes(self._crash_times)
        while (part := _most_suspected(reports, times)) is not None:
            self._quarantined[part] = len(times[part])
            explained = times[part].keys()
            reports = [r for r in reports if r.crash not in explained]
            times = _with_several_crashes(
                {
                    other: {c: t for c, t in crashes.items() if c not in explained}
                    for other, crashes in times.items()
                }
            )
        added = {p: n for p, n in self._quarantined.items() if p not in before}
        released = tuple(before.keys() - self._quarantined.keys())
        if not added and not released:
            return None
        return QuarantineChange(tuple(added.items()), released)


def part_hash(part: PromptPart) -> str:
    """Returns a short hash of a part's id, which callers choose freely."""
    return f"{hash64(part.id):016x}"


def _with_several_crashes(crash_times: CrashTimes) -> CrashTimes:
    """Returns the times of the parts that have enough crashes for the quarantine."""
    return {p: t for p, t in crash_times.items() if len(t) >= QUARANTINE_CRASHES}


def _merge(
    known: tuple[float, float] | None, report: CrashReport
) -> tuple[float, float]:
    """Adds a report to the times of its crash.

    A server that was sent a request after it had broken off others did not crash then:
    its connections were reset, for instance. Only the last time counts.
    """
    if known is None or report.sent_at > known[0] + COINCIDENCE_S:
        return (report.at, report.sent_at)
    at, sent_at = known
    if sent_at > report.at + COINCIDENCE_S:
        return known
    return (min(at, report.at), max(sent_at, report.sent_at))


def _most_suspected(
    reports: Iterable[CrashReport], crash_times: CrashTimes
) -> str | None:
    """Returns the part to quarantine next, or None.

    That is the part with the most crashes, unless a later part of the same prompts
    accounts for at least half of them: the later one is in fewer prompts, so
    quarantining it refuses fewer requests.
    """
    counts = {part: _count_separate(t.values()) for part, t in crash_times.items()}
    suspected = {p: n for p, n in counts.items() if n >= QUARANTINE_CRASHES}
    if not suspected:
        return None
    most = max(suspected, key=lambda part: (suspected[part], part))
    later = [
        part
        for report in reports
        if most in report.parts
        for part in report.parts[report.parts.index(most) + 1 :]
        if 2 * suspected.get(part, 0) >= suspected[most]
    ]
    return later[-1] if later else most


def _count_separate(times: Iterable[tuple[float, float]]) -> int:
    """Counts crashes; those that happened together count as one."""
    count = 0
    counted_at = float("-inf")
    for at, sent_at in sorted(times):
        if at - counted_at >= COINCIDENCE_S or sent_at >= counted_at:
            count += 1
            counted_at = at
    return count
