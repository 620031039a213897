"""What must hold in a soak, from what callers and backend servers saw."""

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from emulator.platform.server import Arrival

# Statuses that promise that a request has not run and never will.
PROMISES = frozenset({408, 421, 429, 503})
ONCE_PREFIXES = ("/settle/", "/draft/")


@dataclass(slots=True)
class Call:
    """One request of a caller.

    :param status: 0 when no whole answer came.
    :param sent_at: seconds of the monotonic clock.
    """

    id: str
    path: str
    key: str
    sent_at: float
    status: int = 0
    body: bytes = b""


@dataclass(slots=True)
class History:
    """All that a soak saw.

    :param revoked_at: time at which the withdrawal of a key was acknowledged.
    :param events: events of a whole stream.
    """

    calls: list[Call] = field(default_factory=list)
    runs: list[Arrival] = field(default_factory=list)
    revoked_at: dict[str, float] = field(default_factory=dict)
    events: int = 0


def violations(history: History, revoke_s: float, workspaces: dict[str, str]):
    """Returns a line for each broken promise.

    :param revoke_s: seconds after which a withdrawn key must not be served.
    :param workspaces: API key to its workspace.
    """
    calls = {call.id: call for call in history.calls}
    runs = defaultdict(list)
    for run in history.runs:
        runs[run.id].append(run)
    found = []
    for request_id, arrivals in runs.items():
        call = calls.get(request_id)
        if call is None:
            found.append(f"unasked: {request_id} ran and no caller sent it")
            continue
        found += _check_runs(call, arrivals, history, revoke_s, workspaces)
    for call in history.calls:
        found += _check_answer(call, runs[call.id], history.events)
    return found


def _check_runs(call, arrivals, history, revoke_s, workspaces) -> list[str]:
    found = []
    if call.path.startswith(ONCE_PREFIXES) and len(arrivals) > 1:
        found.append(f"twice: {call.id} {call.path} ran {len(arrivals)} times")
    for arrival in arrivals:
        if arrival.target != call.path:
            found.append(f"changed: {call.id} {call.path} ran as {arrival.target}")
        if "authorization" in arrival.headers:
            found.append(f"key passed on: {call.id}")
        if arrival.headers.get("x-tenant") != workspaces[call.key]:
            found.append(f"workspace: {call.id} ran for the wrong workspace")
    revoked_at = history.revoked_at.get(call.key)
    if revoked_at is not None and call.sent_at > revoked_at + revoke_s:
        late_s = call.sent_at - revoked_at
        found.append(
            f"revoked: {call.id} ran {late_s:.2f} s after its key was withdrawn"
        )
    return found


def _check_answer(call: Call, arrivals: list[Arrival], events: int) -> list[str]:
    if call.status in PROMISES and arrivals and call.path.startswith(ONCE_PREFIXES):
        return [f"refused: {call.id} {call.path} got {call.status} and ran"]
    if call.status != 200:
        return []
    if call.path.startswith(("/draft/", "/answer/")):
        whole = "".join(f"id: {n}\ndata: {call.id}\n\n" for n in range(1, events + 1))
        if call.body != whole.encode():
            return [f"stream: {call.id} {call.path} is not whole: {call.body[-80:]!r}"]
    elif call.body != call.id.encode():
        return [f"mixed: {call.id} {call.path} got {call.body[:80]!r}"]
    return []


def summary(history: History) -> dict[str, int]:
    """Counts calls by the status that the caller saw; 0 stands for no whole answer."""
    return dict(Counter(str(call.status) for call in history.calls))
