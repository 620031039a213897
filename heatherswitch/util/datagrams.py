"""A UDP socket that hands whole datagrams to a callback."""

import asyncio
import logging
from collections.abc import Callable

log = logging.getLogger("heatherswitch.datagrams")


class DatagramSocket(asyncio.DatagramProtocol):
    """Sends and receives datagrams on one address.

    :param on_datagram: takes the bytes and the ``host:port`` of their sender.
    """

    def __init__(self, on_datagram: Callable[[bytes, str], None]) -> None:
        self._on_datagram = on_datagram
        self._transport: asyncio.DatagramTransport | None = None

    @property
    def address(self) -> str:
        """``host:port`` that the socket is bound to."""
        host, port = self._transport.get_extra_info("sockname")
        return f"{host}:{port}"

    async def bind(self, host: str, port: int) -> None:
        """Binds the socket; port 0 picks a free one."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))

    def send(self, data: bytes, address: str) -> None:
        """Sends one datagram; it may be lost."""
        host, _, port = address.rpartition(":")
        self._transport.sendto(data, (host, int(port)))

    def close(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport) -> None:
        """Keeps the transport."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Hands a datagram on."""
        self._on_datagram(data, f"{addr[0]}:{addr[1]}")

    def error_received(self, exc: OSError) -> None:
        """Notes that a datagram was refused; its sender learns by the time-out."""
        log.debug("a datagram was refused", extra={"error": repr(exc)})
