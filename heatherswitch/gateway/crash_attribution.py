"""Decides which parts of prompts are responsible for crashes of servers.

Parts that were in the same prompts in all crashes can't be told apart. They are
quarantined as a group: only a request with all of them is kept from the servers. The
next request with some of them is served and shows that these are sound, or crashes a
server and leaves a smaller group.
"""

from collections.abc import Callable, Collection, Iterable, Mapping

from heatherswitch.gateway.crash_report import CrashReport, CrashTimes

# Crashes after which a part is quarantined.
QUARANTINE_CRASHES = 3
# Crashes within this many seconds count as one, unless the request was sent after the
# crash before. A zone that fails takes servers down together, whatever they run.
COINCIDENCE_S = 0.3
# Crashes of a part that a group in some of its prompts need not explain: a part that many
# prompts share may be in one that crashes for another reason.
UNEXPLAINED_CRASHES = 1


def attribute_crashes(
    reports: Collection[CrashReport],
    crash_times: CrashTimes,
    is_recent: Callable[[str], bool],
) -> dict[frozenset[str], int]:
    """Returns the groups of parts to quarantine, with the number of their crashes.

    A crash that a group explains doesn't count for other parts.

    :param is_recent: tells whether a request with a part was completed recently. Such a
        part is quarantined only if the others don't explain the crashes.
    """
    groups: dict[frozenset[str], int] = {}
    times = _with_several_crashes(crash_times)
    recent = {part for part in times if is_recent(part)}
    while times:
        counts = {part: _count_separate(t.values()) for part, t in times.items()}
        counts = {p: n for p, n in counts.items() if n >= QUARANTINE_CRASHES}
        counts = {p: n for p, n in counts.items() if p not in recent} or counts
        if not counts:
            break
        part, group = _most_suspected(reports, counts)
        groups[group] = len(times[part])
        explained = times[part].keys()
        reports = [r for r in reports if r.crash not in explained]
        times = _with_several_crashes(
            {
                other: {c: t for c, t in crashes.items() if c not in explained}
                for other, crashes in times.items()
            }
        )
    return groups


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
    """Returns the times of the parts that have enough crashes for the quarantine."""
    return {p: t for p, t in crash_times.items() if len(t) >= QUARANTINE_CRASHES}


def _most_suspected(
    reports: Iterable[CrashReport], counts: Mapping[str, int]
) -> tuple[str, frozenset[str]]:
    """Returns the part to quarantine next, and its group.

    That is the part with the most crashes, and of several with as many the one in the
    fewest requests. If prompts with this part have others too that explain nearly all of
    its crashes, the largest group of them is chosen: fewer requests hold it.

    :param counts: number of separate crashes of each suspected part.
    """
    groups, requests = _group(reports, counts.keys())
    most = max(counts, key=lambda part: (counts[part], -requests[part], part))
    nested = [
        part
        for part, group in groups.items()
        if most in group and counts[part] + UNEXPLAINED_CRASHES >= counts[most]
    ]
    part = max(nested, key=lambda part: (len(groups[part]), counts[part], part))
    return part, frozenset(groups[part])


def _group(
    reports: Iterable[CrashReport], suspected: Collection[str]
) -> tuple[dict[str, set[str]], dict[str, int]]:
    """Returns the suspected parts that are in all requests with each one.

    :returns: these parts, and the number of requests, by part.
    """
    groups: dict[str, set[str]] = {}
    requests: dict[str, int] = {}
    for report in reports:
        parts = {part for part in report.parts if part in suspected}
        for part in parts:
            groups[part] = groups[part] & parts if part in groups else parts
            requests[part] = requests.get(part, 0) + 1
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
