"""Ownership of one store key under a lease, with a compare that fences writes."""

import asyncio
import json
import logging
from collections.abc import Iterable, Mapping
from typing import Protocol

from heatherswitch.statecore.replica import Entry
from heatherswitch.statecore.store import AmbiguousWrite, CompareFailed, StoreError
from heatherswitch.util.clock import Clock

log = logging.getLogger("heatherswitch.lease")

# Share of the time to live by which the holder stops before the store does. It
# covers the difference in speed of two clocks and the time to send a write.
SAFETY_MARGIN_RATIO = 0.2


class LeaseStore(Protocol):
    """A store with compare-and-swap and leases."""

    async def get(self, key: str) -> Entry | None:
        """Reads one key."""

    async def commit(
        self,
        compares: Mapping[str, int],
        puts: Mapping[str, bytes],
        deletes: Iterable[str] = (),
        lease_id: int = 0,
    ) -> int:
        """Writes in one transaction and returns its revision."""

    async def grant(self, ttl_s: float) -> int:
        """Creates a lease and returns its id."""

    async def keep_alive(self, lease_id: int) -> float:
        """Renews a lease and returns its remaining seconds, 0 when it has ended."""

    async def revoke(self, lease_id: int) -> None:
        """Ends a lease and deletes its keys."""


class LeaseLost(Exception):
    """The lease is not held, or can no longer be proven to be held."""


class Lease:
    """Holds a key while its lease is kept alive.

    ``held`` saves a lapsed holder a write that would fail. Safety comes from
    :attr:`fencing_compares`: the key is deleted when the lease ends, so its mod_revision
    never returns.
    """

    __slots__ = (
        "_clock",
        "_key",
        "_lease_id",
        "_mod_revision",
        "_owner",
        "_store",
        "_ttl_s",
        "_valid_until",
    )

    def __init__(
        self, store: LeaseStore, key: str, owner: str, ttl_s: float, clock: Clock
    ) -> None:
        self._store = store
        self._key = key
        self._owner = owner
        self._ttl_s = ttl_s
        self._clock = clock
        self._lease_id = 0
        self._mod_revision = 0
        self._valid_until = 0.0

    @property
    def key(self) -> str:
        """Store key that stands for the ownership."""
        return self._key

    @property
    def fencing_compares(self) -> dict[str, int]:
        """What each write of the holder must compare.

        :raises LeaseLost: if the lease is not held by the local clock.
        """
        if not self.is_held(self._clock.now()):
            raise LeaseLost(f"the lease of {self._key} has lapsed")
        return {self._key: self._mod_revision}

    def is_held(self, now: float) -> bool:
        """Tells whether the lease is held, with a safety margin.

        :param now: time of the clock in seconds.
        """
        return self._mod_revision > 0 and now < self._valid_until

    async def acquire(self) -> bool:
        """Tries to take the key; returns False when another process holds it.

        :raises StoreError: if the store gives no answer.
        """
        sent_at = self._clock.now()
        lease_id = await self._store.grant(self._ttl_s)
        value = json.dumps({"owner": self._owner, "lease": lease_id}).encode()
        try:
            revision = await self._store.commit(
                {self._key: 0}, {self._key: value}, lease_id=lease_id
            )
        except CompareFailed:
            revision = 0
        except AmbiguousWrite:
            revision = await self._find_written_revision(value)
        if not revision:
            await self._revoke(lease_id)
            return False
        self._lease_id = lease_id
        self._mod_revision = revision
        self._extend(sent_at, self._ttl_s)
        return True

    async def _find_written_revision(self, value: bytes) -> int:
        """Returns the mod_revision of the key if it holds ``value``, else 0.

        The value names the lease. A write that arrives after the lease is revoked
        is refused by the store.
        """
        entry = await self._store.get(self._key)
        return entry.mod_revision if entry and entry.value == value else 0

    def _extend(self, sent_at: float, ttl_s: float) -> None:
        # Counts from before the call: the store started to count later.
        self._valid_until = sent_at + ttl_s * (1 - SAFETY_MARGIN_RATIO)

    async def keep_alive(self) -> None:
        """Renews the lease.

        :raises LeaseLost: if the lease has ended in the store.
        :raises StoreError: if the store gives no answer; the lease may still hold.
        """
        if not self._mod_revision:
            raise LeaseLost(f"the lease of {self._key} was not acquired")
        sent_at = self._clock.now()
        remaining = await self._store.keep_alive(self._lease_id)
        if remaining <= 0:
            self._clear()
            raise LeaseLost(f"the lease of {self._key} has ended")
        self._extend(sent_at, remaining)

    async def renew_until_lost(self) -> None:
        """Renews the lease until it is lost.

        :raises LeaseLost: when the lease has ended or has lapsed.
        """
        while True:
            await asyncio.sleep(self._ttl_s / 4)
            try:
                await self.keep_alive()
            except StoreError as error:
                log.warning("lease renewal failed", extra={"error": str(error)})
                if not self.is_held(self._clock.now()):
                    self._clear()
                    raise LeaseLost(f"the lease of {self._key} has lapsed") from error

    async def release(self) -> None:
        """Gives the key up."""
        lease_id = self._lease_id
        self._clear()
        if lease_id:
            await self._revoke(lease_id)

    def _clear(self) -> None:
        self._lease_id = 0
        self._mod_revision = 0
        self._valid_until = 0.0

    async def _revoke(self, lease_id: int) -> None:
        try:
            await self._store.revoke(lease_id)
        except StoreError as error:
            # The lease runs out on its own.
            log.info("lease not revoked", extra={"error": str(error)})
