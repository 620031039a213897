"""Finds prompt parts on which backend servers crash and keeps them from the servers.

A server that crashes takes all its requests with it, so a single crash doesn't show
which request caused it. Gateways share a report for each request whose server broke off
when it began to write. A part is quarantined once several servers crashed on it at
different times, while no request with it was completed. No I/O, reads no clock.
"""

from collections import OrderedDict
from collections.abc import Callable, Collection, Iterable, Mapping
from itertools import islice

from heatherswitch.gateway.crash_attribution import (
    COINCIDENCE_S,
    QUARANTINE_CRASHES,
    attribute_crashes,
    merge_times,
)
from heatherswitch.gateway.crash_report import (
    CONTINUATION,
    CrashReport,
    CrashTimes,
    reported_parts_limit,
)
from heatherswitch.gateway.expired_groups import ExpiredGroups
from heatherswitch.gateway.model import PromptPart, Server
from heatherswitch.gateway.part_completions import SHARED_CRASHES, PartCompletions
from heatherswitch.gateway.quarantine_changes import (
    QuarantineChange,
    QuarantineEffect,
    ReportsWithdrawn,
    group_name,
    join_change,
)
from heatherswitch.statecore.hashing import hash64
from heatherswitch.util.backoff import doubled_delay_s

# Seconds for which a report counts.
REPORT_TTL_S = 600.0
# Maximum number of reports that a gateway remembers.
MAX_REPORTS = 1000
# Maximum number of reports of one crash. The time to remove a report grows with the
# others of its crash. A server runs fewer requests, but long prompts make several reports.
MAX_CRASH_REPORTS = 200
# Number of reports that are compared to find one that may be dropped.
MAX_COMPARED_REPORTS = 8
# Maximum number of remembered parts whose reports were dropped.
MAX_DROPPED_PARTS = 20_000

# Seconds from the last crash until a request with a quarantined group may be let through;
# doubled after each further crash.
FIRST_PROBE_WAIT_S = 2.0
# Crashes from which none is let through while the reports count. The platform allows
# three requests after the fifth crash; one is left for a request on its way.
MAX_PROBED_CRASHES = 7
# Seconds after a crash within which a server isn't back under the same id, so that an
# answer is one of the start before.
MIN_RESTART_S = 1.5
# Heartbeats after which a server that broke off requests counts as not crashed: more
# than the store delivers late.
ALIVE_HEARTBEATS = 4


class PromptQuarantine:
    """Prompt parts that crash servers, by the reports of all gateways.

    :param gateway_id: id of this gateway, unique to its start.
    """

    __slots__ = (
        "_completions",
        "_crash_reports",
        "_crash_times",
        "_dropped_parts",
        "_expired",
        "_gateway_id",
        "_heartbeats",
        "_quarantined",
        "_report_count",
        "_reports",
        "_suspected",
    )

    def __init__(self, gateway_id: str) -> None:
        self._gateway_id = gateway_id
        # Reports by id. The first ones are the oldest, or were compared longest ago when
        # there was no room for all. Cleared parts are removed from them.
        self._reports: OrderedDict[str, CrashReport] = OrderedDict()
        # The same by crash.
        self._crash_reports: dict[tuple[str, int], dict[str, CrashReport]] = {}
        # Heartbeats since the last report of a crash.
        self._heartbeats: dict[tuple[str, int], int] = {}
        self._report_count = 0
        self._completions = PartCompletions(gateway_id)
        self._crash_times: CrashTimes = {}
        # Last crash whose report with a part was dropped, least recent first.
        self._dropped_parts: OrderedDict[str, tuple[str, int]] = OrderedDict()
        # Number of crashes by quarantined group of parts.
        self._quarantined: dict[frozenset[str], int] = {}
        # The same of groups whose crashes happened together.
        self._suspected: dict[frozenset[str], int] = {}
        self._expired = ExpiredGroups()

    @property
    def crash_counts(self) -> Mapping[str, int]:
        """Number of crashes by the name of each group that reports quarantine."""
        return {group_name(group): n for group, n in self._quarantined.items()}

    @property
    def suspected_count(self) -> int:
        """Number of suspected groups of parts."""
        return len(self._suspected)

    @property
    def groups(self) -> Collection[frozenset[str]]:
        """The groups that reports quarantine."""
        return self._quarantined.keys()

    def blocking_group(self, prompt: Iterable[PromptPart]) -> frozenset[str] | None:
        """Returns a group that reports quarantine and a prompt contains, or None."""
        if not self._quarantined:
            return None
        parts = part_hashes(prompt)
        return next((group for group in self._quarantined if group <= parts), None)

    def is_held(self, now: float, prompt: Iterable[PromptPart]) -> bool:
        """Tells whether a prompt contains a group whose reports have expired and which
        crashed a further server.
        """
        return bool(self._expired) and self._expired.blocks(now, part_hashes(prompt))

    def is_worth_probing(
        self, now: float, group: frozenset[str], prompt: Iterable[PromptPart]
    ) -> bool:
        """Tells whether a request would show that a quarantined group is sound.

        It holds no other suspected part, and the last of few crashes was long ago.
        """
        crashes = self._quarantined[group]
        if crashes >= MAX_PROBED_CRASHES:
            return False
        failures = max(0, crashes - QUARANTINE_CRASHES)
        wait_s = doubled_delay_s(FIRST_PROBE_WAIT_S, failures, REPORT_TTL_S)
        times = (t for part in group for t in self._crash_times[part].values())
        if now - max(at for at, _ in times) < wait_s:
            return False
        others = part_hashes(prompt) - group
        return all(len(self._crash_times.get(p, ())) < SHARED_CRASHES for p in others)

    def suspected_group(
        self, now: float, prompt: Iterable[PromptPart]
    ) -> frozenset[str] | None:
        """Returns a group of which single requests with this prompt are let through.

        The prompt contains a part of a suspected group, or all parts of a group that was
        quarantined until its reports expired. Returns None if there is none.
        """
        if not self._suspected and not self._expired:
            return None
        parts = part_hashes(prompt)
        for group in self._suspected:
            if not group.isdisjoint(parts):
                return group
        return self._expired.find(now, parts)

    def report(
        self,
        now: float,
        server: Server,
        sent_at: float,
        prompt: tuple[PromptPart, ...],
        written_at: float | None = None,
    ) -> list[CrashReport]:
        """Returns reports of a broken-off request for all gateways.

        A prompt with more suspected parts than fit into a report makes several.

        :param now: time of the crash.
        :param sent_at: time at which the request was sent to the server.
        :param written_at: time of the report; that of the crash if None.
        :returns: nothing if requests with each of its shared parts were completed
            recently.
        """
        # The last part is this request's own, so no other request can repeat it.
        shared = dict.fromkeys(part_hash(part) for part in prompt[:-1])
        suspected = [p for p in shared if not self._completions.exonerates(p, now)]
        reports = []
        self._report_count += 1
        limit = reported_parts_limit(server.id)
        for first in range(0, len(suspected), limit):
            continued = len(suspected) > limit
            continuation = f"{CONTINUATION}{len(reports)}" if continued else ""
            reports.append(
                CrashReport(
                    f"{self._gateway_id}/{self._report_count}{continuation}",
                    server.id,
                    server.incarnation,
                    sent_at,
                    now,
                    tuple(suspected[first : first + limit]),
                    written_at,
                )
            )
        return reports

    def own_reports(self) -> tuple[CrashReport, ...]:
        """Returns the reports of this gateway that are held, oldest first."""
        own = (r for r in self._reports.values() if r.gateway_id == self._gateway_id)
        return tuple(own)

    def note_completed(
        self, now: float, prompt: tuple[PromptPart, ...]
    ) -> tuple[str, ...]:
        """Notes a completed request.

        :returns: its parts that are suspected of several crashes, to be cleared at all
            gateways.
        """
        shared = [part_hash(part) for part in prompt[:-1]]
        self._completions.note(now, shared)
        return tuple(
            part
            for part in shared
            if len(self._crash_times.get(part, ())) >= SHARED_CRASHES
            or self._expired.suspects(part)
        )

    def add(self, report: CrashReport) -> QuarantineChange | None:
        """Adds a report; one with a known id is ignored.

        If there are too many, one that has no part in common with another crash is
        dropped, so that bystanders of many crashes don't displace the evidence.

        :returns: the change of the quarantine, or None if there is none.
        """
        if report.id in self._reports:
            return None
        exonerates = self._completions.exonerates
        left = tuple(part for part in report.parts if not exonerates(part, report.at))
        report = report.replace(parts=left)
        held = self._expired.note_crash(report)
        change = self._add(report)
        return join_change(change, added=held)

    def _add(self, report: CrashReport) -> QuarantineChange | None:
        changed = [report]
        others = self._crash_reports.get(report.crash, {})
        if len(others) >= MAX_CRASH_REPORTS:
            bystander = self._find_bystander(others) if self._recurs(report) else None
            if bystander is None:
                self._note_dropped(report)
                return None
            changed.append(self._drop(bystander))
        self._insert(report)
        while len(self._reports) > MAX_REPORTS:
            bystander = self._find_bystander(self._reports)
            changed.append(self._drop(bystander or next(iter(self._reports))))
        return self._update(changed)

    def remove(self, report_id: str) -> QuarantineChange | None:
        """Removes a report that has expired; returns as :meth:`add` does."""
        if report_id not in self._reports:
            return None
        return self._expire([report_id])

    def note_heartbeat(self, server: Server) -> list[QuarantineEffect]:
        """Removes the reports of a server that has not started again since.

        A reset of its connections looks like a crash to its callers.
        """
        crash = (server.id, server.incarnation)
        # Without a start time, the next start of the server would look the same.
        if not server.incarnation or crash not in self._crash_reports:
            return []
        self._heartbeats[crash] = self._heartbeats.get(crash, 0) + 1
        if self._heartbeats[crash] < ALIVE_HEARTBEATS:
            return []
        return self._withdraw(crash, list(self._crash_reports[crash]), "heartbeats")

    def note_answer(
        self, now: float, server: Server, sent_at: float
    ) -> list[QuarantineEffect]:
        """Removes the reports of a server that answered a request sent after them.

        :param sent_at: time at which the request was sent, in seconds of the clock.
        """
        crash = (server.id, server.incarnation)
        if not server.incarnation or crash not in self._crash_reports:
            return []
        # The clocks of the gateways that reported may differ a little from this one.
        excused = [
            r.id
            for r in self._crash_reports[crash].values()
            if r.at + COINCIDENCE_S <= sent_at and now < r.at + MIN_RESTART_S
        ]
        return self._withdraw(crash, excused, "answer") if excused else []

    def withdraw_outlived(
        self, outlived: Callable[[str, int, float], bool]
    ) -> list[QuarantineEffect]:
        """Removes the reports of the starts of servers that outlived them.

        :param outlived: tells whether a server has not ended since a time, by its id and
            its start.
        """
        effects: list[QuarantineEffect] = []
        for crash, reports in list(self._crash_reports.items()):
            if outlived(*crash, max(report.at for report in reports.values())):
                effects += self._withdraw(crash, list(reports), "listed")
        return effects

    def _withdraw(
        self, crash: tuple[str, int], report_ids: list[str], evidence: str
    ) -> list[QuarantineEffect]:
        """Removes reports of a crash that was none."""
        change = self._update([self._delete(i) for i in report_ids])
        ended = () if crash in self._crash_reports else self._expired.note_alive(crash)
        change = join_change(change, released=ended)
        withdrawn = ReportsWithdrawn(*crash, len(report_ids), evidence)
        return [withdrawn, change] if change else [withdrawn]

    def note_suspected(self, now: float, report: CrashReport) -> None:
        """Compares a report of another gateway with the requests completed here."""
        for part in report.parts:
            self._completions.note_suspected(now, part, report.crash, report.at)

    def take_completions(self, now: float) -> dict[str, float]:
        """Returns parts whose completion the other gateways need to know, and its time."""
        return self._completions.take_due(now)

    def clear(
        self, now: float, parts: Collection[str], age_s: float
    ) -> QuarantineChange | None:
        """Removes parts from the reports that a completed request with them excuses.

        All gateways know of the request. Returns as :meth:`add` does.

        :param age_s: seconds since the completion.
        """
        self._completions.note_shared(now - age_s, parts)
        released = self._expired.clear(parts)
        changed = [
            r for r in self._reports.values() if not set(parts).isdisjoint(r.parts)
        ]
        exonerates = self._completions.exonerates
        for report in changed:
            # A report from a clock that is ahead seems later than it is.
            crashed_at = min(report.at, now)
            left = tuple(p for p in report.parts if not exonerates(p, crashed_at))
            self._reports[report.id] = report.replace(parts=left)
            self._crash_reports[report.crash][report.id] = self._reports[report.id]
            self._recount(report.crash, set(report.parts).difference(left))
        return join_change(self._update(changed), released=released)

    def expire(self, now: float) -> QuarantineChange | None:
        """Removes reports older than :data:`REPORT_TTL_S`; returns as :meth:`add`.

        Those that far in the future come from a gateway whose clock is wrong.
        """
        old = [r.id for r in self._reports.values() if abs(now - r.at) >= REPORT_TTL_S]
        return self._expire(old) if old else None

    def _expire(self, report_ids: Iterable[str]) -> QuarantineChange | None:
        """Deletes reports because of their age, and remembers the groups they released."""
        before = self._quarantined
        change = self._update([self._delete(i) for i in report_ids])
        for group in before.keys() - self._quarantined.keys():
            self._expired.add(group)
        return change

    def _recurs(self, report: CrashReport) -> bool:
        """Tells whether a part that was not completed lately is in another crash too."""
        for part in report.parts:
            crashes = self._crash_times.get(part, {})
            elsewhere = len(crashes) - (report.crash in crashes)
            if not elsewhere and self._dropped_parts.get(part) in (None, report.crash):
                continue
            if not self._completions.is_recent(part, report.at):
                return True
        return False

    def _find_bystander(self, reports: dict[str, CrashReport]) -> str | None:
        """Returns the id of one of the oldest reports whose parts are in no other crash.

        The others that were compared are moved to the end.

        :returns: None if none of them is such a report.
        """
        for report_id in list(islice(reports, MAX_COMPARED_REPORTS)):
            if not self._recurs(reports[report_id]):
                return report_id
            reports[report_id] = reports.pop(report_id)
        return None

    def _drop(self, report_id: str) -> CrashReport:
        """Deletes a report that there is no room for."""
        self._note_dropped(self._reports[report_id])
        return self._delete(report_id)

    def _note_dropped(self, report: CrashReport) -> None:
        """Remembers the parts of a report, for the next crash that has some of them."""
        for part in report.parts:
            self._dropped_parts[part] = report.crash
            self._dropped_parts.move_to_end(part)
        while len(self._dropped_parts) > MAX_DROPPED_PARTS:
            self._dropped_parts.popitem(last=False)

    def _is_recent(self, part: str) -> bool:
        first_at = min(at for at, _ in self._crash_times[part].values())
        return self._completions.is_recent(part, first_at)

    def _insert(self, report: CrashReport) -> None:
        self._reports[report.id] = report
        self._heartbeats.pop(report.crash, None)
        self._crash_reports.setdefault(report.crash, {})[report.id] = report
        for part in report.parts:
            crashes = self._crash_times.setdefault(part, {})
            crashes[report.crash] = merge_times(crashes.get(report.crash), report)

    def _delete(self, report_id: str) -> CrashReport:
        report = self._reports.pop(report_id)
        others = self._crash_reports[report.crash]
        del others[report_id]
        # A prompt may repeat a part.
        self._recount(report.crash, set(report.parts))
        if not others:
            del self._crash_reports[report.crash]
            self._heartbeats.pop(report.crash, None)
        return report

    def _recount(self, crash: tuple[str, int], parts: Iterable[str]) -> None:
        """Takes the times of a crash from the reports that still hold each part."""
        left: dict[str, tuple[float, float] | None] = dict.fromkeys(parts)
        for report in self._crash_reports[crash].values():
            for part in report.parts:
                if part in left:
                    left[part] = merge_times(left[part], report)
        for part, times in left.items():
            crashes = self._crash_times[part]
            if times is not None:
                crashes[crash] = times
                continue
            del crashes[crash]
            if not crashes:
                del self._crash_times[part]

    def _update(self, changed: Iterable[CrashReport]) -> QuarantineChange | None:
        """Attributes the crashes to parts and quarantines those with several.

        A crash that a quarantined part explains doesn't count for other parts.

        :param changed: reports that were added, or as they were before a change.
        """
        before = self._quarantined
        named = set().union(*before, *self._suspected)
        # A server or zone that fails brings many reports at once, most of which cannot
        # change the quarantine. One crash less may narrow a group.
        least = QUARANTINE_CRASHES - bool(named)
        if not any(
            part in named or len(self._crash_times.get(part, ())) >= least
            for report in changed
            for part in report.parts
        ):
            return None
        found = attribute_crashes(
            list(self._reports.values()), self._crash_times, self._is_recent
        )
        self._quarantined, self._suspected = found.quarantined, found.suspected
        added = {g: n for g, n in self._quarantined.items() if g not in before}
        released = before.keys() - self._quarantined.keys()
        if not added and not released:
            return None
        return QuarantineChange(
            tuple((group_name(group), n) for group, n in added.items()),
            tuple(sorted(map(group_name, released))),
        )


def part_hashes(prompt: Iterable[PromptPart]) -> set[str]:
    """Returns the short hashes of all parts of a prompt."""
    return {part_hash(part) for part in prompt}


def part_hash(part: PromptPart) -> str:
    """Returns a short hash of a part's id, which callers choose freely."""
    return f"{hash64(part.id):016x}"
