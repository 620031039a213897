"""Writes of operators: one transaction with an outcome that is known or reported."""

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

# Times that a write with a lost answer is read back and repeated.
AMBIGUOUS_ATTEMPTS = 4
# Pause between them, in seconds.
AMBIGUOUS_PAUSE_S = 0.25


class WritableStore(Protocol):
    """The part of the store client that writes need."""

    async def get(self, key: str) -> Entry | None:
        """Reads one key."""

    async def range(self, prefix: str) -> Snapshot:
        """Reads all entries under a prefix."""

    async def commit(
        self, compares: Mapping[str, int], puts: Mapping[str, bytes], deletes=()
    ) -> int:
        """Writes in one transaction."""


class WriteError(Exception):
    """A write was not accepted."""


class NotWritten(WriteError):
    """The store was away; the write was certainly not applied."""


class WriteUnknown(WriteError):
    """The write may have been applied, and could not be read back."""


class Conflict(WriteError):
    """A key changed since it was read; nothing was applied.

    :param revision: present mod_revision of the key, 0 when it does not exist.
    """

    def __init__(self, message: str, revision: int) -> None:
        super().__init__(message)
        self.revision = revision


@dataclass(frozen=True, slots=True)
class Transaction:
    """Keys to compare, write and delete together."""

    compares: dict[str, int]
    puts: dict[str, bytes] = field(default_factory=dict)
    deletes: tuple[str, ...] = ()

    def entries(self, revision: int) -> list[Entry]:
        """Returns the written entries at the revision of the write."""
        written = [Entry(key, revision, value) for key, value in self.puts.items()]
        return written + [Entry(key, revision, None) for key in self.deletes]


class StoreWriter:
    """Commits transactions and finds out what became of those with a lost answer."""

    __slots__ = ("_pause_s", "_store")

    def __init__(
        self, store: WritableStore, pause_s: float = AMBIGUOUS_PAUSE_S
    ) -> None:
        self._store = store
        self._pause_s = pause_s

    async def get(self, key: str) -> Entry | None:
        """Reads one key.

        :raises NotWritten: if the store is away.
        """
        try:
            return await self._store.get(key)
        except StoreError as error:
            raise NotWritten(f"the store is not available: {error}") from error

    async def range(self, prefix: str) -> Snapshot:
        """Reads all keys under a prefix.

        :raises NotWritten: if the store is away.
        """
        try:
            return await self._store.range(prefix)
        except StoreError as error:
            raise NotWritten(f"the store is not available: {error}") from error

    async def commit(self, transaction: Transaction) -> int:
        """Commits a transaction and returns its revision.

        A write with a lost answer is read back, then repeated under the same
        comparisons, so that it cannot be applied twice.

        :raises Conflict: if a compared key has changed.
        :raises NotWritten: if the write was certainly not applied.
        :raises WriteUnknown: if the outcome stays unknown.
        """
        sent = False
        for attempt in range(AMBIGUOUS_ATTEMPTS):
            if attempt:
                await asyncio.sleep(self._pause_s)
            try:
                return await self._store.commit(
                    transaction.compares, transaction.puts, transaction.deletes
                )
            except AmbiguousWrite as error:
                log.warning("answer to a write lost", extra={"error": str(error)})
                sent = True
            except CompareFailed as error:
                if sent and (revision := await self._read_back(transaction)):
                    return revision
                if sent:
                    raise WriteUnknown(
                        f"changed after a lost answer: {error}"
                    ) from error
                raise await self._conflict(transaction) from error
            except StoreUnavailable as error:
                if not sent:
                    raise NotWritten(f"the store is not available: {error}") from error
            except StoreError as error:
                if not sent:
                    raise NotWritten(f"the store refused: {error}") from error
            if revision := await self._read_back(transaction):
                return revision
        raise WriteUnknown("the store did not confirm the write")

    async def _read_back(self, transaction: Transaction) -> int:
        """Returns the revision of the write if all its keys show it, else 0."""
        revision = 0
        try:
            for key, value in transaction.puts.items():
                entry = await self._store.get(key)
                old = transaction.compares.get(key, 0)
                if entry is None or entry.value != value or entry.mod_revision <= old:
                    return 0
                revision = max(revision, entry.mod_revision)
            for key in transaction.deletes:
                if await self._store.get(key) is not None:
                    return 0
            if not transaction.puts:
                snapshot = await self._store.range(transaction.deletes[0])
                revision = snapshot.revision
        except StoreError as error:
            log.warning("write not read back", extra={"error": str(error)})
            return 0
        return revision

    async def _conflict(self, transaction: Transaction) -> WriteError:
        for key, expected in transaction.compares.items():
            entry = await self.get(key)
            present = entry.mod_revision if entry is not None else 0
            if present != expected:
                return Conflict(f"{key} is at revision {present}", present)
        return Conflict("changed at the same time by another operator", 0)
