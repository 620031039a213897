"""Decides which parts of prompts are responsible for crashes of servers.

Parts that were in the same prompts in all crashes can't be told apart. They are
quarantined as a group: only a request with all of them is kept from the servers. The
next request with some of them is served and shows that these are sound, or crashes a
server and leaves a smaller group.

Several servers that crash at one moment may have lost power, or have got requests with
one part at once. Such a part is suspected: single requests with it are let through.
"""

from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping

from heatherswitch.gateway.crash_report import CONTINUATION, CrashReport, CrashTimes
from heatherswitch.util.record import Record

# Crashes after which a part is quarantined.
QUARANTINE_CRASHES = 3
# Crashes within this many seconds count as one, unless the request was sent after the
# crash before. A zone that fails takes servers down together, whatever they run.
COINCIDENCE_S = 0.3
# Share of the requests in its crashes above which a part is likelier to be one that most
# prompts share than the cause.
COMMON_SHARE = 0.5
# Crashes of a part that a group in some of its prompts need not explain: a part that many
# prompts share may be in one that crashes for another reason.
UNEXPLAINED_CRASHES = 1


class Attribution(Record):
    """Groups of parts that may be responsible for crashes, with their numbers of crashes.

    :param quarantined: groups in enough crashes at different times.
    :param suspected: groups in as many crashes, of which too many happened together.
    """

    __slots__ = ("quarantined", "suspected")

    def __init__(
        self,
        quarantined: dict[frozenset[str], int],
        suspected: dict[frozenset[str], int],
    ) -> None:
        self.quarantined = quarantined
        self.suspected = suspected


def attribute_crashes(
    reports: Collection[CrashReport],
    crash_times: CrashTimes,
    is_recent: Callable[[str], bool],
) -> Attribution:
    """Finds the parts that are responsible for crashes.

    A crash that a group explains doesn't count for other parts.

    :param is_recent: tells whether a request with a part was completed recently. Such a
        part is quarantined only if the others don't explain the crashes, and otherwise
        not suspected.
    """
    quarantined: dict[frozenset[str], int] = {}
    suspected: dict[frozenset[str], int] = {}
    times = _with_several_crashes(crash_times)
    recent = {part for part in times if is_recent(part)}
    while enough := {p: t for p, t in times.items() if len(t) >= QUARANTINE_CRASHES}:
        separate = {part: _count_separate(t.values()) for part, t in enough.items()}
        certain = {p: n for p, n in separate.items() if n >= QUARANTINE_CRASHES}
        certain = {p: n for p, n in certain.items() if p not in recent} or certain
        # A part of which no crash is certain may explain those of others.
        counts = {
            p: len(t) for p, t in enough.items() if p not in recent or p in certain
        }
        if not counts:
            break
        part, group = _most_suspected(
            reports, times, certain or counts, counts, _nearly_enough(times, recent)
        )
        groups = quarantined if certain else suspected
        groups[group] = len(times[part])
        explained = times[part].keys()
        reports = [r for r in reports if r.crash not in explained]
        times = _with_several_crashes(
            {
                other: {c: t for c, t in crashes.items() if c not in explained}
                for other, crashes in times.items()
            }
        )
    return Attribution(quarantined, suspected)


def merge_times(
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


def _with_several_crashes(crash_times: CrashTimes) -> CrashTimes:
    """Returns the times of the parts that the quarantine needs at most one crash more of."""
    least = QUARANTINE_CRASHES - 1
    return {p: t for p, t in crash_times.items() if len(t) >= least}


def _nearly_enough(times: CrashTimes, recent: Collection[str]) -> dict[str, int]:
    """Returns the parts that lack one crash for the quarantine, and their crashes."""
    lacking = QUARANTINE_CRASHES - 1
    return {
        part: lacking
        for part, crashes in times.items()
        if len(crashes) == lacking == _count_separate(crashes.values())
        and part not in recent
    }


def _most_suspected(
    reports: Collection[CrashReport],
    times: CrashTimes,
    certain: Mapping[str, int],
    counts: Mapping[str, int],
    nearly: Mapping[str, int],
) -> tuple[str, frozenset[str]]:
    """Returns the part to quarantine next, and its group.

    That is the part with the most crashes, and of several with as many the one in the
    fewest requests. If prompts with this part have others too that explain nearly all of
    its crashes, the largest group of them is chosen: fewer requests hold it.

    :param times: crashes of each part.
    :param certain: number of crashes of each part that may be chosen first.
    :param counts: number of crashes of each suspected part, also of those that happened
        together.
    :param nearly: the same of parts that lack one crash. They may explain those of a part
        that most requests share, which is in crashes for other reasons most often.
    """
    groups, requests = _group(reports, counts.keys())
    most = max(certain, key=lambda part: (certain[part], -requests[part], part))
    # Requests with a common part are sent between crashes at one moment, so that more of
    # them seem separate. A part that is in all of these crashes with fewer requests each
    # explains more.
    per_crash = {part: requests[part] / len(times[part]) for part in certain}
    within = [
        part
        for part in certain
        if per_crash[part] < per_crash[most]
        and times[part].keys() >= times[most].keys()
    ]
    if within:
        most = min(within, key=lambda part: (per_crash[part], part))
    if nearly and _is_common(reports, most, requests[most]):
        counts = {**counts, **nearly}
        groups, _ = _group(reports, counts.keys())
    nested = [
        part
        for part, group in groups.items()
        if most in group and counts[part] + UNEXPLAINED_CRASHES >= counts[most]
    ]
    part = max(nested, key=lambda part: (len(groups[part]), counts[part], part))
    return part, groups[part]


def _is_common(reports: Collection[CrashReport], part: str, requests: int) -> bool:
    """Tells whether a part is in most requests of the crashes that it is in."""
    crashes = {report.crash for report in reports if part in report.parts}
    others = {report.request_id for report in reports if report.crash in crashes}
    return requests > COMMON_SHARE * len(others)


def _group(
    reports: Iterable[CrashReport], suspected: Collection[str]
) -> tuple[dict[str, frozenset[str]], Counter[str]]:
    """Returns the suspected parts that are in all requests with each one.

    :returns: these parts, and the number of requests, by part.
    """
    # An outage brings many reports with the same suspected parts.
    counts: Counter[frozenset[str]] = Counter()
    # A long prompt has several reports, but its parts are in one request.
    parts_by_request: dict[str, frozenset[str]] = {}
    for report in reports:
        found = frozenset(part for part in report.parts if part in suspected)
        if CONTINUATION in report.id:
            others = parts_by_request.get(report.request_id, frozenset())
            parts_by_request[report.request_id] = found | others
        else:
            counts[found] += 1
    counts.update(parts_by_request.values())
    groups: dict[str, frozenset[str]] = {}
    requests: Counter[str] = Counter()
    for parts, count in counts.items():
        for part in parts:
            groups[part] = groups[part] & parts if part in groups else parts
            requests[part] += count
    return groups, requests


def _count_separate(times: Iterable[tuple[float, float]]) -> int:
    """Counts crashes; those that happened together count as one."""
    count = 0
    counted_at = float("-inf")
    for at, sent_at in sorted(times):
        if at - counted_at >= COINCIDENCE_S or sent_at >= counted_at:
            count += 1
            counted_at = at
    return count
