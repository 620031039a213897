"""Memberships by which gateways know of each other: entries of the store under leases."""

import asyncio
import ipaddress
import logging
import random

from heatherswitch.statecore.lease import Lease, LeaseLost, LeaseStore
from heatherswitch.statecore.replica import Entry
from heatherswitch.statecore.store import StoreError
from heatherswitch.util.clock import Clock
from heatherswitch.util.record import Record
from heatherswitch.util.untrusted import (
    MalformedInput,
    describe_error,
    parse_object,
    require_name,
    require_port,
    require_token,
)

log = logging.getLogger("heatherswitch.gateway.membership")

# Pause before a lost or failed registration is repeated, in seconds; drawn at random, so
# that gateways don't repeat theirs together.
MIN_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 0.8
# Seconds for which a gateway that stops waits for the store to remove its membership.
# Waiting longer would exceed the grace period while the store is unreachable.
RELEASE_TIMEOUT_S = 0.2


class Member(Record):
    """A gateway that is registered in the store as live.

    :param address: ``host:port`` for messages from other gateways; empty for none.
    """

    __slots__ = (
        "id",
        "address",
    )

    def __init__(self, id: str, address: str = "") -> None:
        self.id = id
        self.address = address


def decode_member(entry: Entry, prefix: str) -> Member | None:
    """Decodes an entry written by :func:`maintain_membership`.

    The lease stores the address in the ``owner`` field. A socket would look up a host
    name while the event loop waits, and a port that does not exist would close it.

    :returns: a member without an address if the value is malformed; None if the key is,
        since no gateway has such an id and it could not be hashed.
    """
    member_id = entry.key.removeprefix(prefix)
    try:
        require_name(member_id)
    except MalformedInput as error:
        log.warning(
            "membership entry ignored: its key is malformed",
            extra={"error": describe_error(error)},
        )
        return None
    try:
        address = parse_object(entry.value)["owner"]
        if not address:
            return Member(member_id)
        host, _, port = require_token(address).rpartition(":")
        ipaddress.ip_address(host)
        require_port(port)
        return Member(member_id, address)
    except (ValueError, KeyError) as error:
        log.warning(
            "membership entry is malformed",
            extra={"router": member_id, "error": describe_error(error)},
        )
        return Member(member_id)


async def _release_in_time(lease: Lease) -> None:
    """Releases a lease unless the store is slow; the lease then expires by itself."""
    try:
        async with asyncio.timeout(RELEASE_TIMEOUT_S):
            await lease.release()
    except TimeoutError:
        log.info("membership lease not released: the store did not respond")


async def maintain_membership(
    store: LeaseStore, key: str, address: str, ttl_s: float, clock: Clock
) -> None:
    """Keeps this gateway registered as live until cancelled, then unregisters it.

    :param key: key of the membership entry.
    :param address: ``host:port`` for messages from other gateways; empty for none.
    :param ttl_s: time to live of the entry in seconds.
    """
    while True:
        lease = Lease(store, key, address, ttl_s, clock)
        try:
            if await lease.acquire():
                log.info("membership registered", extra={"key": key})
                await lease.renew_until_lost()
        except LeaseLost as error:
            log.warning("membership lease lost", extra={"error": str(error)})
        except StoreError as error:
            log.warning("membership not registered", extra={"error": str(error)})
        except asyncio.CancelledError:
            await _release_in_time(lease)
            raise
        await asyncio.sleep(random.uniform(MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S))
