"""Adapts the claim journal to the events of the agent's reducer."""

import asyncio
import logging
from collections.abc import Callable
from typing import Protocol

from heatherswitch.agent.events import (
    ClaimRecorded,
    ClaimRejected,
    DuplicateJob,
    StoredResponse,
)
from heatherswitch.fleet.admission import FIXED_RETRY_AFTER_MS
from heatherswitch.fleet.claims import (
    AlreadyRunning,
    Claimed,
    ClaimOutcomeUnknown,
    ClaimResult,
    KeyReused,
    NotOwner,
    Replay,
)
from heatherswitch.fleet.outcomes import NotRun, OutcomeUnknown, Reason
from heatherswitch.util.http import Headers

log = logging.getLogger("heatherswitch.agent.claims")

# Timeout for recording an outcome, in seconds. After it, a retry of the request finds a
# claim without an outcome and gets an unknown outcome.
RECORD_TIMEOUT_S = 10.0


class Journal(Protocol):
    """The part of the claim journal that is used for requests."""

    async def claim(
        self,
        partition: int,
        workspace: str,
        key: str,
        fingerprint: str,
        request_id: str,
    ) -> ClaimResult:
        """Records a claim; the caller may start the job only on :class:`Claimed`."""

    async def complete(
        self,
        partition: int,
        workspace: str,
        key: str,
        status: int,
        headers: Headers,
        body: bytes,
    ) -> None:
        """Records the response of a claimed request."""

    async def abandon(self, partition: int, workspace: str, key: str) -> None:
        """Records that a claimed request was not started."""


class ClaimRequest:
    """The request to claim an idempotency key for a job."""

    __slots__ = ("fingerprint", "job_id", "key", "partition", "workspace")

    def __init__(self, job_id, workspace, key, fingerprint, partition) -> None:
        self.job_id: str = job_id
        self.workspace: str = workspace
        self.key: str = key
        self.fingerprint: str = fingerprint
        self.partition: int = partition


class ClaimAdapter:
    """Makes journal calls and turns their results into reducer events.

    :param journal: None when no store is configured; every claim is then rejected.
    :param now: returns the monotonic time in seconds.
    """

    __slots__ = ("_journal", "_now")

    def __init__(self, journal: Journal | None, now: Callable[[], float]) -> None:
        self._journal = journal
        self._now = now

    async def claim(self, claim_request: ClaimRequest) -> ClaimRecorded | ClaimRejected:
        """Records a claim; after an error it counts as rejected, so nothing starts."""
        if self._journal is None:
            return self._rejected(claim_request, _unavailable("no store is configured"))
        try:
            result = await self._journal.claim(
                claim_request.partition,
                claim_request.workspace,
                claim_request.key,
                claim_request.fingerprint,
                claim_request.job_id,
            )
        except Exception as error:
            log.exception("claim could not be recorded")
            return self._rejected(claim_request, _unavailable(str(error)))
        if isinstance(result, Claimed):
            return ClaimRecorded(self._now(), claim_request.job_id, result.epoch)
        return self._rejected(claim_request, rejection_result(result))

    async def complete(
        self, claim_request: ClaimRequest, status, headers, body
    ) -> None:
        """Records the response of a claimed job; an error is only logged."""
        call = self._journal.complete(
            claim_request.partition,
            claim_request.workspace,
            claim_request.key,
            status,
            headers,
            body,
        )
        await self._log_failure("outcome of a claim could not be recorded", call)

    async def abandon(self, claim_request: ClaimRequest) -> None:
        """Records that the job was not started; an error is only logged."""
        call = self._journal.abandon(
            claim_request.partition, claim_request.workspace, claim_request.key
        )
        await self._log_failure("claim could not be abandoned", call)

    async def _log_failure(self, message: str, call) -> None:
        try:
            async with asyncio.timeout(RECORD_TIMEOUT_S):
                await call
        except Exception as error:
            log.warning(message, extra={"error": repr(error)})

    def _rejected(self, claim_request: ClaimRequest, result) -> ClaimRejected:
        return ClaimRejected(self._now(), claim_request.job_id, result)


def rejection_result(
    result: ClaimResult,
) -> StoredResponse | DuplicateJob | NotRun | OutcomeUnknown:
    """Converts the result of a claim that does not allow a start."""
    match result:
        case Replay():
            return StoredResponse(result.status, tuple(result.headers), result.body)
        case AlreadyRunning():
            return DuplicateJob(result.request_id)
        case ClaimOutcomeUnknown():
            return OutcomeUnknown(result.code)
        case KeyReused():
            return NotRun(Reason.KEY_REUSED)
        case NotOwner():
            wait_ms = FIXED_RETRY_AFTER_MS[Reason.NOT_OWNER]
            return NotRun(Reason.NOT_OWNER, wait_ms, owner=result.owner)
        case _:
            return _unavailable()


def _unavailable(detail: str = "") -> NotRun:
    wait_ms = FIXED_RETRY_AFTER_MS[Reason.STORE_UNAVAILABLE]
    return NotRun(Reason.STORE_UNAVAILABLE, wait_ms, detail)
