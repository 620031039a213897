"""Checks of a gateway soak, on what callers sent and received and what servers ran."""

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from emulator.platform.server import ReceivedRequest

# Statuses by which a gateway guarantees that a request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Paths of routes whose requests must not run more than once.
RUN_ONCE_PREFIXES = ("/settle/", "/draft/")


@dataclass(slots=True)
class Call:
    """One request of a caller and its response.

    :param key: API key.
    :param sent_at: seconds of the monotonic clock.
    :param status: status of the response; 0 if no complete response arrived.
    """

    id: str
    path: str
    key: str
    sent_at: float
    status: int = 0
    body: bytes = b""


@dataclass(slots=True)
class History:
    """Everything that a soak recorded.

    :param calls: all requests of callers, in the order of sending.
    :param runs: all requests that backend servers started to run.
    :param revoked_at: by API key, when the store acknowledged that it was withdrawn, in
        seconds of the monotonic clock.
    :param events: number of events in a complete stream.
    """

    calls: list[Call] = field(default_factory=list)
    runs: list[ReceivedRequest] = field(default_factory=list)
    revoked_at: dict[str, float] = field(default_factory=dict)
    events: int = 0


def find_violations(
    history: History, revocation_limit_s: float, workspaces: dict[str, str]
):
    """Checks a history.

    :param revocation_limit_s: seconds after which a withdrawn key must not be served.
    :param workspaces: workspace by API key.
    :returns: one line for each violation.
    """
    calls = {call.id: call for call in history.calls}
    runs = defaultdict(list)
    for run in history.runs:
        runs[run.id].append(run)
    found = []
    for request_id, request_runs in runs.items():
        call = calls.get(request_id)
        if call is None:
            found.append(f"unknown: {request_id} ran, but no caller sent it")
            continue
        found += _check_runs(
            call, request_runs, history, revocation_limit_s, workspaces
        )
    for call in history.calls:
        found += _check_response(call, runs[call.id], history.events)
    return found


def _check_runs(
    call, request_runs, history, revocation_limit_s, workspaces
) -> list[str]:
    found = []
    if call.path.startswith(RUN_ONCE_PREFIXES) and len(request_runs) > 1:
        found.append(f"twice: {call.id} {call.path} ran {len(request_runs)} times")
    for run in request_runs:
        if run.target != call.path:
            found.append(f"changed: {call.id} {call.path} ran as {run.target}")
        if "authorization" in run.headers:
            found.append(f"key passed on: a server got the API key of {call.id}")
        if run.headers.get("x-tenant") != workspaces[call.key]:
            found.append(f"workspace: {call.id} ran for the wrong workspace")
    revoked_at = history.revoked_at.get(call.key)
    if revoked_at is not None and call.sent_at > revoked_at + revocation_limit_s:
        after_s = call.sent_at - revoked_at
        found.append(
            f"revoked: {call.id} ran {after_s:.2f} s after its key was withdrawn"
        )
    return found


def _check_response(
    call: Call, request_runs: list[ReceivedRequest], events: int
) -> list[str]:
    if (
        call.status in NOT_RUN_STATUSES
        and request_runs
        and call.path.startswith(RUN_ONCE_PREFIXES)
    ):
        return [f"refused: {call.id} {call.path} got {call.status}, but ran"]
    if call.status != 200:
        return []
    if call.path.startswith(("/draft/", "/answer/")):
        expected = "".join(
            f"id: {n}\ndata: {call.id}\n\n" for n in range(1, events + 1)
        )
        if call.body != expected.encode():
            return [
                f"stream: {call.id} {call.path} is incomplete or wrong: "
                f"{call.body[-80:]!r}"
            ]
    elif call.body != call.id.encode():
        return [f"wrong body: {call.id} {call.path} got {call.body[:80]!r}"]
    return []


def count_statuses(history: History) -> dict[str, int]:
    """Counts calls by status; 0 stands for calls without a complete response."""
    return dict(Counter(str(call.status) for call in history.calls))
