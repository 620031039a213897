"""Crowds of clients that don't behave, in a soak of gateways.

None of their requests may reach a server: they never end, or have no route.
"""

import asyncio
import itertools
from collections.abc import Iterator

from emulator.platform.client_crowds import (
    Crowd,
    Form,
    ProcessSampler,
    chunked,
    endless,
    pieces,
)
from emulator.platform.deployment import HOST
from emulator.platform.soak_configuration import API_KEYS, MAX_BODY_BYTES
from emulator.platform.soak_deployment import MEMORY_MB
from emulator.platform.soak_fault_base import FaultBase

# Smallest and largest number of clients, and the longest time that they stay, in seconds.
MIN_CLIENTS = 10
MAX_CLIENTS = 60
MAX_STAY_S = 3.0

_BODY = b"x" * MAX_BODY_BYTES
_numbers = itertools.count(1)


def _head(key: str, *fields: str, path: str = "/settle/1") -> bytes:
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Attempt-Id: crowd{next(_numbers):06x}",
        f"Authorization: Bearer {key}",
        *fields,
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def build_forms(key: str) -> dict[str, Form]:
    """Returns what the clients of a crowd send, by its name.

    :param key: API key of the requests.
    """

    def unfinished_body(number: int) -> Iterator[bytes]:
        yield _head(key, f"Content-Length: {MAX_BODY_BYTES}") + _BODY[1:]

    def unfinished_pieces(number: int) -> Iterator[bytes]:
        yield _head(key, f"Content-Length: {MAX_BODY_BYTES}")
        yield from pieces(_BODY[1:])

    def unrouted_body(number: int) -> Iterator[bytes]:
        yield _head(key, f"Content-Length: {MAX_BODY_BYTES}", path="/nowhere/1")
        yield from pieces(_BODY)

    def endless_chunks(number: int) -> Iterator[bytes]:
        yield _head(key, "Transfer-Encoding: chunked")
        yield from endless(chunked(_BODY[:65536]))

    def endless_body(number: int) -> Iterator[bytes]:
        yield _head(key, f"Content-Length: {10**11}")
        yield from endless(_BODY[:65536])

    def unfinished_head(number: int) -> Iterator[bytes]:
        yield _head(key)[:-2] + b"A: " + b"x" * 3000

    def nothing(number: int) -> Iterator[bytes]:
        yield from ()

    forms = (
        unfinished_body,
        unfinished_pieces,
        unrouted_body,
        endless_chunks,
        endless_body,
        unfinished_head,
        nothing,
    )
    return {form.__name__: form for form in forms}


class ClientFaults(FaultBase):
    """Clients that send what is never served."""

    async def fault_client_crowd(self) -> None:
        """Lets a crowd come to a gateway, which may be stopped or killed meanwhile."""
        forms = build_forms(self._random.choice(sorted(API_KEYS)))
        form = forms[self._random.choice(sorted(forms))]
        gateway = self._random.choice(self._deployment.gateways)
        clients = self._random.randint(MIN_CLIENTS, MAX_CLIENTS)
        leaves = self._random.random() < 0.3
        stay_s = self._random.uniform(0.0, MAX_STAY_S)
        if not gateway.running:
            return
        sampler = ProcessSampler(gateway.pid, gateway.host)
        crowd = Crowd(gateway.address, form, clients, leaves=leaves)
        async with sampler, crowd:
            await asyncio.sleep(stay_s)
        if sampler.peak_bytes > MEMORY_MB * 10**6:
            self._history.memory_excesses.append(
                f"{gateway.name} held {sampler.peak_bytes / 1e6:.0f} MB of {MEMORY_MB} "
                f"beside {clients} clients that send {form.__name__}"
            )
