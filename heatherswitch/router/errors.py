"""The one JSON form in which callers are told that a request has no answer."""

from dataclasses import dataclass

from heatherswitch.fleet.outcomes import Failed, NotRun, OutcomeUnknown, Reason, Retry
from heatherswitch.util.http import Headers

# Suggested pause when the refusing process named none, in milliseconds.
DEFAULT_RETRY_AFTER_MS = 500
_NOT_RUN_STATUS = {Reason.FAIR_SHARE: 429, Reason.KEY_REUSED: 409}
_TYPES = {
    400: "invalid_request_error",
    401: "authentication_error",
    404: "not_found_error",
    409: "conflict_error",
    413: "invalid_request_error",
    429: "rate_limit_error",
}


class InvalidRequest(Exception):
    """A caller's request cannot be served as it is.

    :param status: HTTP status.
    :param code: short machine-readable cause.
    """

    def __init__(self, status: int, code: str, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.code = code


@dataclass(frozen=True, slots=True)
class ErrorAnswer:
    """An error as callers receive it.

    :param retry_after_ms: earliest sensible repeat, or 0 when none is suggested.
    """

    status: int
    code: str
    message: str
    outcome: str
    retry: Retry
    retry_after_ms: int = 0

    def body(self, request_id: str) -> dict:
        """Returns the JSON form, which OpenAI client libraries parse."""
        error = {
            "message": self.message,
            "type": _TYPES.get(self.status, "server_error"),
            "code": self.code,
            "param": None,
            "outcome": self.outcome,
            "retry": self.retry.value,
            "retry_after_ms": self.retry_after_ms,
            "request_id": request_id,
        }
        return {"error": error}

    def headers(self) -> Headers:
        """Returns ``Retry-After`` when a repeat can help; at least one second."""
        if self.retry is Retry.NEVER:
            return []
        seconds = max(1, -(-self.retry_after_ms // 1000))
        return [("Retry-After", str(seconds))]


def invalid_answer(error: InvalidRequest) -> ErrorAnswer:
    """Returns the answer to a request that was rejected before any attempt."""
    return ErrorAnswer(error.status, error.code, str(error), "not_run", Retry.NEVER)


def outcome_answer(
    outcome: NotRun | OutcomeUnknown | Failed, idempotent: bool
) -> ErrorAnswer:
    """Returns the answer to a request that ended without a whole answer."""
    # A non-idempotent request is only safe to repeat under the same key.
    again = Retry.LATER if idempotent else Retry.SAME_KEY
    if isinstance(outcome, NotRun):
        return _not_run(outcome, again)
    detail = outcome.detail or outcome.code
    if isinstance(outcome, OutcomeUnknown):
        message = f"the request may or may not have run: {detail}"
        return ErrorAnswer(
            504, outcome.code, message, "outcome_unknown", again, DEFAULT_RETRY_AFTER_MS
        )
    retry = Retry.LATER if idempotent else Retry.NEVER
    wait_ms = DEFAULT_RETRY_AFTER_MS if idempotent else 0
    message = f"the request failed: {detail}"
    return ErrorAnswer(502, outcome.code, message, "failed", retry, wait_ms)


def _not_run(outcome: NotRun, again: Retry) -> ErrorAnswer:
    status = _NOT_RUN_STATUS.get(outcome.reason, 503)
    code = outcome.reason.value.lower()
    message = f"the request was not run: {outcome.detail or code}"
    if outcome.reason is Reason.KEY_REUSED:
        message = "the Idempotency-Key was used before with another body"
        return ErrorAnswer(status, code, message, "not_run", Retry.NEVER)
    wait_ms = outcome.retry_after_ms or DEFAULT_RETRY_AFTER_MS
    return ErrorAnswer(status, code, message, "not_run", again, wait_ms)
