"""Ownership of one store key under a lease, with compares that fence writes."""

import asyncio
import json
import logging
import secrets
from collections.abc import Iterable, Mapping
from typing import Protocol

from heatherswitch.statecore.replica import Entry
from heatherswitch.statecore.store import AmbiguousWrite, CompareFailed, StoreError
from heatherswitch.util.clock import Clock

log = logging.getLogger("heatherswitch.lease")

# Fraction of the time to live by which the holder regards the lease as expired before
# the store does. It covers the drift between two clocks and the time to send a write.
SAFETY_MARGIN_RATIO = 0.2
# Random bytes in the name of a fence key, so that no two acquisitions share one.
FENCE_KEY_BYTES = 8


class LeaseStore(Protocol):
    """The part of a store client that a lease needs."""

    @property
    def era(self) -> int:
        """How often the store was restored from a backup, as far as it is known."""

    async def get(self, key: str) -> Entry | None:
        """Reads one key; returns None if it does not exist."""

    async def commit(
        self,
        compares: Mapping[str, int],
        puts: Mapping[str, bytes],
        deletes: Iterable[str] = (),
        lease_id: int = 0,
    ) -> int:
        """Writes in one transaction and returns its revision.

        :param compares: required mod_revision by key; 0 for a key that does not exist.
        """

    async def grant(self, ttl_s: float) -> int:
        """Creates a lease with a time to live and returns its id."""

    async def keep_alive(self, lease_id: int) -> float:
        """Renews a lease and returns its remaining seconds, 0 if it has expired."""

    async def revoke(self, lease_id: int) -> None:
        """Revokes a lease and deletes its keys."""


class LeaseLost(Exception):
    """The lease is not held, or it is unknown whether it still is."""


class Lease:
    """Owns a key as long as its lease is renewed.

    :meth:`is_held` only saves a former holder writes that would fail. Safety comes from
    :attr:`fencing_compares`: the key is deleted when the lease expires, so that its
    mod_revision never occurs again, unless the store is restored from a backup. Then
    lease ids may occur again too, so that a renewal may prolong another holder's lease.

    :param fence_prefix: prefix of a key that only this acquisition writes, under the same
        lease. A former holder's writes fail without it, whatever revisions occur again.
        Empty for a store that is never restored.
    """

    __slots__ = (
        "_clock",
        "_era",
        "_fence_key",
        "_fence_prefix",
        "_key",
        "_lease_id",
        "_mod_revision",
        "_owner",
        "_store",
        "_ttl_s",
        "_valid_until",
        "_value",
    )

    def __init__(
        self,
        store: LeaseStore,
        key: str,
        owner: str,
        ttl_s: float,
        clock: Clock,
        fence_prefix: str = "",
    ) -> None:
        self._store = store
        self._key = key
        self._fence_prefix = fence_prefix
        self._fence_key = ""
        # Era in which the key was last known to be this holder's, and its value.
        self._era = 0
        self._value = b""
        self._owner = owner
        self._ttl_s = ttl_s
        self._clock = clock
        self._lease_id = 0
        self._mod_revision = 0
        self._valid_until = 0.0

    @property
    def key(self) -> str:
        """Store key whose holder is the owner."""
        return self._key

    @property
    def fencing_compares(self) -> dict[str, int]:
        """Compares that each write of the holder must include.

        They make the write fail if the lease has expired in the store.

        :raises LeaseLost: if the lease is not held according to the local clock.
        """
        if not self.is_held(self._clock.now()):
            raise LeaseLost(f"the lease of {self._key} is not held")
        compares = {self._key: self._mod_revision}
        if self._fence_key:
            compares[self._fence_key] = self._mod_revision
        return compares

    def is_held(self, now: float) -> bool:
        """Tells whether the lease is held, with a safety margin.

        :param now: time of the lease's clock, in seconds.
        """
        return self._mod_revision > 0 and now < self._valid_until

    async def acquire(self) -> bool:
        """Tries to create the key; returns False if another process holds it.

        :raises StoreError: if the store does not respond.
        """
        sent_at = self._clock.now()
        lease_id = await self._store.grant(self._ttl_s)
        era = self._store.era
        value = json.dumps({"owner": self._owner, "lease": lease_id}).encode()
        fence_key = ""
        if self._fence_prefix:
            fence_key = self._fence_prefix + secrets.token_hex(FENCE_KEY_BYTES)
        keys = [key for key in (self._key, fence_key) if key]
        try:
            revision = await self._store.commit(
                {self._key: 0}, dict.fromkeys(keys, value), lease_id=lease_id
            )
        except CompareFailed:
            revision = 0
        except AmbiguousWrite:
            revision = await self._find_written_revision(value)
        if revision and self._store.era != era:
            await self._delete(keys, revision)
            return False
        if not revision:
            await self._revoke(lease_id, era)
            return False
        self._lease_id = lease_id
        self._era = era
        self._value = value
        self._fence_key = fence_key
        self._mod_revision = revision
        self._extend(sent_at, self._ttl_s)
        return True

    async def _delete(self, keys: list[str], revision: int) -> None:
        """Deletes keys that were written under a lease of an earlier era.

        Its id may be that of another holder's lease now, which would keep them.
        """
        try:
            await self._store.commit(dict.fromkeys(keys, revision), {}, keys)
        except StoreError as error:
            log.warning(
                "key of a lost lease could not be deleted",
                extra={"key": self._key, "error": str(error)},
            )

    async def _find_written_revision(self, value: bytes) -> int:
        """Returns the mod_revision of the key if it holds ``value``, else 0.

        The value contains the id of the lease. The store refuses a delayed write that
        arrives after the lease was revoked.
        """
        entry = await self._store.get(self._key)
        return entry.mod_revision if entry and entry.value == value else 0

    def _extend(self, sent_at: float, ttl_s: float) -> None:
        # Counted from before the call, since the time in the store starts later.
        self._valid_until = sent_at + ttl_s * (1 - SAFETY_MARGIN_RATIO)

    async def keep_alive(self) -> None:
        """Renews the lease.

        :raises LeaseLost: if the lease was not acquired or has expired in the store.
        :raises StoreError: if the store does not respond; the lease may still be held.
        """
        if not self._mod_revision:
            raise LeaseLost(f"the lease of {self._key} was not acquired")
        sent_at = self._clock.now()
        remaining = await self._store.keep_alive(self._lease_id)
        if remaining <= 0:
            self._clear()
            raise LeaseLost(f"the lease of {self._key} has expired in the store")
        await self._check_era()
        self._extend(sent_at, remaining)

    async def _check_era(self) -> None:
        """Checks that the key is still held if the store was restored from a backup.

        :raises LeaseLost: if it is not; the lease that was renewed may be another's.
        :raises StoreError: if the store does not respond.
        """
        era = self._store.era
        if era == self._era:
            return
        # Not held by the clock until it is known to be.
        self._valid_until = 0.0
        if await self._find_written_revision(self._value) != self._mod_revision:
            self._clear()
            raise LeaseLost(f"the store was restored without the lease of {self._key}")
        self._era = era

    async def renew_until_lost(self) -> None:
        """Renews the lease until it is lost.

        :raises LeaseLost: when the lease has expired, in the store or by the clock.
        """
        while True:
            await asyncio.sleep(self._ttl_s / 4)
            try:
                await self.keep_alive()
            except StoreError as error:
                log.warning("lease renewal failed", extra={"error": str(error)})
                if not self.is_held(self._clock.now()):
                    self._clear()
                    raise LeaseLost(f"the lease of {self._key} has expired") from error

    async def release(self) -> None:
        """Gives up the key by revoking the lease, if it was acquired."""
        lease_id, era = self._lease_id, self._era
        self._clear()
        if lease_id:
            await self._revoke(lease_id, era)

    def _clear(self) -> None:
        self._lease_id = 0
        self._mod_revision = 0
        self._valid_until = 0.0
        self._fence_key = ""

    async def _revoke(self, lease_id: int, era: int) -> None:
        """Revokes a lease of an era; in a later one, its id may be another's."""
        if era != self._store.era:
            log.info("lease left to expire after a restore", extra={"key": self._key})
            return
        try:
            await self._store.revoke(lease_id)
        except StoreError as error:
            # The lease expires by itself.
            log.info("lease could not be revoked", extra={"error": str(error)})
