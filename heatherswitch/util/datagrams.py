"""A UDP socket that passes received datagrams to a callback."""

import asyncio
import logging
from collections.abc import Callable

log = logging.getLogger("heatherswitch.datagrams")


class DatagramSocket(asyncio.DatagramProtocol):
    """Sends and receives datagrams on one address.

    :param on_datagram: called with the payload and the sender's ``host:port``.
    """

    def __init__(self, on_datagram: Callable[[bytes, str], None]) -> None:
        self._on_datagram = on_datagram
        self._transport: asyncio.DatagramTransport | None = None

    @property
    def address(self) -> str:
        """The ``host:port`` that the socket is bound to; needs :meth:`bind`."""
        host, port = self._transport.get_extra_info("sockname")
        return f"{host}:{port}"

    async def bind(self, host: str, port: int) -> None:
        """Binds the socket; port 0 lets the system choose a free port.

        :raises OSError: if the address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))

    def send(self, data: bytes, address: str) -> None:
        """Sends one datagram to a ``host:port``, without a guarantee of delivery."""
        host, _, port = address.rpartition(":")
        self._transport.sendto(data, (host, int(port)))

    def close(self) -> None:
        """Closes the socket if it is bound."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport) -> None:
        """Stores the transport of the bound socket."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Passes a datagram to the callback."""
        self._on_datagram(data, f"{addr[0]}:{addr[1]}")

    def error_received(self, exc: OSError) -> None:
        """Logs a delivery error; senders detect lost datagrams by a timeout."""
        log.debug("datagram was not delivered", extra={"error": repr(exc)})
