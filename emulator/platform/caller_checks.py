"""Checks of a gateway soak on late responses and on prompts that crash servers."""

from emulator.platform.configuration_checks import versions_in_force
from emulator.platform.soak_checks import CONTACT_S, STREAM_PREFIXES, Call, History

# Seconds after the time limit of a route in which a response may come.
LATE_S = 0.5
# Fewest requests that last longer than the time limit for their share to count, and the
# largest share of them that may be late.
MIN_LONG_CALLS = 8
MAX_LATE_SHARE = 0.25
# Crashes after which requests with the part must be kept from the servers.
MAX_CRASHES = 5
# Requests with the part that may reach servers after that.
MAX_BAD_ARRIVALS = 3
# Fewest sound streams, with and without crashes, whose share counts, and the smallest
# share that must begin, relative to that without crashes.
MIN_SOUND_CALLS = 20
MIN_SOUND_SHARE = 0.5


def find_late_responses(history: History) -> list[str]:
    """Checks that requests end soon after the time limit of their route.

    :returns: one line if too many do not.
    """
    long, late = [], []
    for call in history.calls:
        timeouts_s = [
            version.timeouts_s.get(version.find_route(call.host, call.path))
            for version in versions_in_force(history, call.sent_at, call.ended_at)
        ]
        if call.left or None in timeouts_s or not _sent_in_touch(history, call):
            continue
        over_s = call.ended_at - call.sent_at - max(timeouts_s)
        if over_s > 0:
            long.append(call)
        if over_s > LATE_S:
            late.append(call)
    if len(long) < MIN_LONG_CALLS or len(late) <= MAX_LATE_SHARE * len(long):
        return []
    ids = [call.id for call in late[:5]]
    return [f"late: {len(late)} of {len(long)} long requests, such as {ids}"]


def find_bad_prompt_violations(history: History) -> list[str]:
    """Checks that a part that crashes servers is kept from them, and sound ones not."""
    if not history.crashes:
        return []
    crashes = sorted(history.crashes)
    calls = {call.id: call for call in history.calls}
    last = crashes[min(MAX_CRASHES, len(crashes)) - 1]
    found = []
    late_ids = {
        arrival.id
        for arrival in history.arrivals
        if arrival.id in calls
        and calls[arrival.id].bad_prompt
        and len(crashes) >= MAX_CRASHES
        and calls[arrival.id].sent_at > last + CONTACT_S
        and _sent_in_touch(history, calls[arrival.id])
    }
    if len(late_ids) > MAX_BAD_ARRIVALS:
        found.append(
            f"bad prompt: {len(late_ids)} requests with it reached servers after crash "
            f"{MAX_CRASHES} of {len(crashes)}, such as {sorted(late_ids)[:5]}"
        )
    bad = [call.sent_at for call in history.calls if call.bad_prompt]
    return found + _check_sound_streams(
        history, crashes[0], last + 2 * CONTACT_S, max(bad, default=0.0)
    )


def _check_sound_streams(
    history: History, first_crash: float, since: float, until: float
) -> list[str]:
    """Checks the share of sound streams that begin between two moments."""
    ran = {run.id for run in history.runs}
    streams = [
        call
        for call in history.calls
        if call.path.startswith(STREAM_PREFIXES)
        and not call.bad_prompt
        and not call.left
        and call.status not in (401, 404)
        and _sent_in_touch(history, call)
    ]
    before = [call for call in streams if call.sent_at < first_crash]
    later = [call for call in streams if since < call.sent_at < until]
    if min(len(before), len(later)) < MIN_SOUND_CALLS:
        return []
    begun_before = sum(call.id in ran for call in before)
    begun = sum(call.id in ran for call in later)
    if begun / len(later) >= MIN_SOUND_SHARE * begun_before / len(before):
        return []
    return [
        f"sound prompts: {begun} of {len(later)} streams began after the crashes, "
        f"{begun_before} of {len(before)} before"
    ]


def _sent_in_touch(history: History, call: Call) -> bool:
    return history.was_in_touch(call.gateway, call.sent_at - CONTACT_S, call.ended_at)
