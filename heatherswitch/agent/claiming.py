"""Connects the reducer's claims to the journal."""

import asyncio
import logging
from collections.abc import Callable
from typing import Protocol

from heatherswitch.agent.events import (
    ClaimRecorded,
    ClaimRejected,
    SameWork,
    StoredAnswer,
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

# Time for recording an outcome before it is given up, in seconds. A repeat then
# finds the claim without outcome, which is answered as unknown.
COMPLETE_TIMEOUT_S = 10.0


class Journal(Protocol):
    """The part of the claim journal that requests use."""

    async def claim(
        self,
        partition: int,
        workspace: str,
        key: str,
        fingerprint: str,
        request_id: str,
    ) -> ClaimResult:
        """Records a claim; returns a result of ``fleet.claims``."""

    async def complete(
        self,
        partition: int,
        workspace: str,
        key: str,
        status: int,
        headers: Headers,
        body: bytes,
    ) -> None:
        """Records the outcome of claimed work."""

    async def abandon(self, partition: int, workspace: str, key: str) -> None:
        """Records that claimed work was not started."""


class ClaimTarget:
    """Names one claim."""

    __slots__ = ("fingerprint", "key", "partition", "work_id", "workspace")

    def __init__(self, work_id, workspace, key, fingerprint, partition) -> None:
        self.work_id: str = work_id
        self.workspace: str = workspace
        self.key: str = key
        self.fingerprint: str = fingerprint
        self.partition: int = partition


class Claims:
    """Runs journal calls and turns their results into events.

    :param now: returns the time in seconds.
    """

    __slots__ = ("_journal", "_now")

    def __init__(self, journal: Journal | None, now: Callable[[], float]) -> None:
        self._journal = journal
        self._now = now

    async def claim(self, target: ClaimTarget) -> ClaimRecorded | ClaimRejected:
        """Records a claim. Any error is a rejection, so nothing is started."""
        if self._journal is None:
            return self._rejected(target, _unavailable("no store is configured"))
        try:
            result = await self._journal.claim(
                target.partition,
                target.workspace,
                target.key,
                target.fingerprint,
                target.work_id,
            )
        except Exception as error:
            log.exception("claim failed")
            return self._rejected(target, _unavailable(str(error)))
        if isinstance(result, Claimed):
            return ClaimRecorded(self._now(), target.work_id, result.epoch)
        return self._rejected(target, rejection(result))

    async def complete(self, target: ClaimTarget, status, headers, body) -> None:
        """Records an outcome; a failure is logged."""
        call = self._journal.complete(
            target.partition, target.workspace, target.key, status, headers, body
        )
        await self._finish("recording an outcome failed", call)

    async def abandon(self, target: ClaimTarget) -> None:
        """Records that the work was not started; a failure is logged."""
        call = self._journal.abandon(target.partition, target.workspace, target.key)
        await self._finish("abandoning a claim failed", call)

    async def _finish(self, message: str, call) -> None:
        try:
            async with asyncio.timeout(COMPLETE_TIMEOUT_S):
                await call
        except Exception as error:
            log.warning(message, extra={"error": repr(error)})

    def _rejected(self, target: ClaimTarget, result) -> ClaimRejected:
        return ClaimRejected(self._now(), target.work_id, result)


def rejection(result: ClaimResult) -> StoredAnswer | SameWork | NotRun | OutcomeUnknown:
    """Turns a claim that must not be started into what the router is told."""
    match result:
        case Replay():
            return StoredAnswer(result.status, tuple(result.headers), result.body)
        case AlreadyRunning():
            return SameWork(result.request_id)
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
