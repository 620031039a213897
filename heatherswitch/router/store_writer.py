"""Commits transactions to the store and determines their outcome."""

import asyncio
import logging
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

from heatherswitch.statecore.replica import Entry
from heatherswitch.statecore.store import (
    AmbiguousWrite,
    CompareFailed,
    Snapshot,
    StoreError,
    StoreUnavailable,
)

log = logging.getLogger("heatherswitch.operators.writes")

# Total attempts to commit a write whose response was lost.
MAX_COMMIT_ATTEMPTS = 4
# Delay between two attempts, in seconds.
COMMIT_RETRY_DELAY_S = 0.25


class WritableStore(Protocol):
    """The part of the store client that :class:`StoreWriter` needs."""

    async def get(self, key: str) -> Entry | None:
        """Reads one key; returns None if it does not exist."""

    async def range(self, prefix: str) -> Snapshot:
        """Reads all entries under a prefix."""

    async def commit(
        self, compares: Mapping[str, int], puts: Mapping[str, bytes], deletes=()
    ) -> int:
        """Runs one transaction and returns its revision.

        :param compares: required mod_revision by key, 0 for a key that must not exist.
        """


class WriteError(Exception):
    """A write did not succeed, or its outcome is unknown."""


class NotWritten(WriteError):
    """The store was unavailable or refused; the write was certainly not applied."""


class WriteOutcomeUnknown(WriteError):
    """The write may have been applied; reading it back gave no proof."""


class WriteConflict(WriteError):
    """A compared key has changed; nothing was written.

    :param revision: current mod_revision of the key, 0 if it does not exist.
    """

    def __init__(self, message: str, revision: int) -> None:
        super().__init__(message)
        self.revision = revision


@dataclass(frozen=True, slots=True)
class Transaction:
    """A store transaction that compares, writes and deletes keys atomically.

    :param compares: required mod_revision by key, 0 for a key that must not exist.
    """

    compares: dict[str, int]
    puts: dict[str, bytes] = field(default_factory=dict)
    deletes: tuple[str, ...] = ()

    def entries(self, revision: int) -> list[Entry]:
        """Returns the written and deleted entries.

        :param revision: store revision of the transaction.
        """
        written = [Entry(key, revision, value) for key, value in self.puts.items()]
        return written + [Entry(key, revision, None) for key in self.deletes]


class StoreWriter:
    """Commits transactions and finds out the outcome if the response was lost."""

    __slots__ = ("_retry_delay_s", "_store")

    def __init__(
        self, store: WritableStore, retry_delay_s: float = COMMIT_RETRY_DELAY_S
    ) -> None:
        self._store = store
        self._retry_delay_s = retry_delay_s

    async def get(self, key: str) -> Entry | None:
        """Reads one key; returns None if it does not exist.

        :raises NotWritten: if the store is unavailable.
        """
        try:
            return await self._store.get(key)
        except StoreError as error:
            raise NotWritten(f"the store is not available: {error}") from error

    async def range(self, prefix: str) -> Snapshot:
        """Reads all keys under a prefix.

        :raises NotWritten: if the store is unavailable.
        """
        try:
            return await self._store.range(prefix)
        except StoreError as error:
            raise NotWritten(f"the store is not available: {error}") from error

    async def commit(self, transaction: Transaction) -> int:
        """Commits a transaction and returns its revision.

        If the response is lost, the keys are read back. If they do not show the write,
        it is repeated with the same comparisons, so that it cannot be applied twice.

        :raises WriteConflict: if a compared key has changed.
        :raises NotWritten: if the write was certainly not applied.
        :raises WriteOutcomeUnknown: if the outcome stays unknown.
        """
        ambiguous = False
        for attempt in range(MAX_COMMIT_ATTEMPTS):
            if attempt:
                await asyncio.sleep(self._retry_delay_s)
            try:
                return await self._store.commit(
                    transaction.compares, transaction.puts, transaction.deletes
                )
            except AmbiguousWrite as error:
                log.warning("response to a write lost", extra={"error": str(error)})
                ambiguous = True
            except CompareFailed as error:
                if ambiguous and (revision := await self._read_back(transaction)):
                    return revision
                if ambiguous:
                    raise WriteOutcomeUnknown(
                        f"a key changed after the response was lost: {error}"
                    ) from error
                raise await self._find_conflict(transaction) from error
            except StoreUnavailable as error:
                if not ambiguous:
                    raise NotWritten(f"the store is not available: {error}") from error
            except StoreError as error:
                if not ambiguous:
                    raise NotWritten(f"the store refused: {error}") from error
            if revision := await self._read_back(transaction):
                return revision
        raise WriteOutcomeUnknown("the store did not confirm the write")

    async def _read_back(self, transaction: Transaction) -> int:
        """Returns the revision of the write if all its keys reflect it, else 0."""
        revision = 0
        try:
            for key, value in transaction.puts.items():
                entry = await self._store.get(key)
                previous = transaction.compares.get(key, 0)
                if (
                    entry is None
                    or entry.value != value
                    or entry.mod_revision <= previous
                ):
                    return 0
                revision = max(revision, entry.mod_revision)
            for key in transaction.deletes:
                if await self._store.get(key) is not None:
                    return 0
            if not transaction.puts:
                snapshot = await self._store.range(transaction.deletes[0])
                revision = snapshot.revision
        except StoreError as error:
            log.warning("write could not be read back", extra={"error": str(error)})
            return 0
        return revision

    async def _find_conflict(self, transaction: Transaction) -> WriteError:
        for key, expected in transaction.compares.items():
            entry = await self.get(key)
            current = entry.mod_revision if entry is not None else 0
            if current != expected:
                return WriteConflict(f"{key} is at revision {current}", current)
        return WriteConflict("changed at the same time by another operator", 0)
