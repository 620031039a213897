"""JSON error responses to callers."""

from dataclasses import dataclass

from heatherswitch.fleet.outcomes import Failed, NotRun, OutcomeUnknown, Reason, Retry
from heatherswitch.util.http import Headers

# Suggested delay before a retry, if the refusing process gave none.
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
    """A caller's request is invalid and must not be repeated unchanged.

    :param status: HTTP status.
    :param code: machine-readable error code.
    """

    def __init__(self, status: int, code: str, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.code = code


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """An error response to a caller.

    :param outcome: ``not_run``, ``failed`` or ``outcome_unknown``.
    :param retry: whether and how the caller may repeat the request.
    :param retry_after_ms: suggested delay before a retry, or 0 for none.
    """

    status: int
    code: str
    message: str
    outcome: str
    retry: Retry
    retry_after_ms: int = 0

    def body(self, request_id: str) -> dict:
        """Returns the JSON body in the format that OpenAI client libraries parse."""
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
        """Returns a ``Retry-After`` header of at least 1 s, or none without a retry."""
        if self.retry is Retry.NEVER:
            return []
        seconds = max(1, -(-self.retry_after_ms // 1000))
        return [("Retry-After", str(seconds))]


def invalid_request_response(error: InvalidRequest) -> ErrorResponse:
    """Returns the response to a request that was rejected before any attempt."""
    return ErrorResponse(error.status, error.code, str(error), "not_run", Retry.NEVER)


def outcome_response(
    outcome: NotRun | OutcomeUnknown | Failed, idempotent: bool
) -> ErrorResponse:
    """Returns the response to a request that no attempt completed."""
    # A non-idempotent request is safe to repeat only with its idempotency key.
    safe_retry = Retry.LATER if idempotent else Retry.SAME_KEY
    if isinstance(outcome, NotRun):
        return _not_run_response(outcome, safe_retry)
    detail = outcome.detail or outcome.code
    if isinstance(outcome, OutcomeUnknown):
        message = f"the request may or may not have run: {detail}"
        return ErrorResponse(
            504,
            outcome.code,
            message,
            "outcome_unknown",
            safe_retry,
            DEFAULT_RETRY_AFTER_MS,
        )
    retry = Retry.LATER if idempotent else Retry.NEVER
    wait_ms = DEFAULT_RETRY_AFTER_MS if idempotent else 0
    message = f"the request failed: {detail}"
    return ErrorResponse(502, outcome.code, message, "failed", retry, wait_ms)


def _not_run_response(outcome: NotRun, safe_retry: Retry) -> ErrorResponse:
    status = _NOT_RUN_STATUS.get(outcome.reason, 503)
    code = outcome.reason.value.lower()
    message = f"the request was not run: {outcome.detail or code}"
    if outcome.reason is Reason.KEY_REUSED:
        message = "the Idempotency-Key was used before with another body"
        return ErrorResponse(status, code, message, "not_run", Retry.NEVER)
    wait_ms = outcome.retry_after_ms or DEFAULT_RETRY_AFTER_MS
    return ErrorResponse(status, code, message, "not_run", safe_retry, wait_ms)
