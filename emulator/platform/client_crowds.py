"""Crowds of clients that send requests in ways that no ordinary caller does."""

import asyncio
import contextlib
import itertools
import os
import socket
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path

# Largest write of a client; also the size of the pieces that it sends.
PIECE_BYTES = 64 * 1024
# Seconds that a crowd gets to send what it sends before it is left waiting.
SEND_TIMEOUT_S = 8.0
# Seconds between two samples of a process's memory and descriptors.
SAMPLE_INTERVAL_S = 0.05

# Returns the bytes that one client sends; its argument is the number of the client.
Form = Callable[[int], Iterable[bytes]]


def pieces(data: bytes) -> Iterator[bytes]:
    """Yields data in pieces of at most :data:`PIECE_BYTES`."""
    for at in range(0, len(data), PIECE_BYTES):
        yield data[at : at + PIECE_BYTES]


def chunked(data: bytes) -> bytes:
    """Returns data as one chunk of a body of unknown length."""
    return b"%x\r\n%s\r\n" % (len(data), data)


class Crowd:
    """Clients of one listener that each send one form and keep their connection open.

    :param address: ``host:port`` of the listener.
    :param gap_s: seconds that a client waits after each part.
    :param leaves: clients close their connections once they have sent everything;
        otherwise they do so when the crowd ends.
    :param reads: clients read what the process sends; otherwise their socket holds as
        little of it as the system allows.
    :ivar status_lines: status lines of the responses that reached clients.
    """

    def __init__(
        self,
        address: str,
        form: Form,
        count: int,
        gap_s: float = 0.0,
        leaves: bool = False,
        reads: bool = True,
    ) -> None:
        self._address = address
        self._form = form
        self._count = count
        self._gap_s = gap_s
        self._leaves = leaves
        self._reads = reads
        self._ending = asyncio.Event()
        self._sending = count
        self._all_sent = asyncio.Event()
        self._tasks: list[asyncio.Task] = []
        self.status_lines: list[bytes] = []

    async def __aenter__(self) -> "Crowd":
        self._tasks = [
            asyncio.create_task(self._run(number)) for number in range(self._count)
        ]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SEND_TIMEOUT_S):
                await self._all_sent.wait()
        return self

    async def __aexit__(self, *exc_info) -> None:
        self._ending.set()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run(self, number: int) -> None:
        host, _, port = self._address.rpartition(":")
        sock = socket.socket()
        sock.setblocking(False)
        if not self._reads:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        loop = asyncio.get_running_loop()
        receiving = None
        try:
            await loop.sock_connect(sock, (host, int(port)))
            if self._reads:
                receiving = asyncio.create_task(self._receive(sock))
            for part in self._form(number):
                await loop.sock_sendall(sock, part)
                await asyncio.sleep(self._gap_s)
            self._note_sent()
            if not self._leaves:
                await self._ending.wait()
        except OSError:
            # The process closed the connection.
            self._note_sent()
        finally:
            if receiving is not None:
                receiving.cancel()
                await asyncio.gather(receiving, return_exceptions=True)
            sock.close()

    async def _receive(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            first = await loop.sock_recv(sock, PIECE_BYTES)
            if first:
                self.status_lines.append(first.partition(b"\r\n")[0])
            while await loop.sock_recv(sock, PIECE_BYTES):
                pass

    def _note_sent(self) -> None:
        self._sending -= 1
        if not self._sending:
            self._all_sent.set()


class ProcessSampler:
    """Records the highest memory and number of descriptors of a process.

    Bytes that its sockets have received and that it has not read yet count as memory.

    :param hosts: loopback addresses on which the process listens, and nothing else.
    """

    def __init__(self, pid: int, *hosts: str) -> None:
        self._pid = pid
        self._hosts = {_hex_address(host) for host in hosts}
        self._task: asyncio.Task | None = None
        self.peak_bytes = 0
        self.most_descriptors = 0

    async def __aenter__(self) -> "ProcessSampler":
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(self, *exc_info) -> None:
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self.sample()

    async def _run(self) -> None:
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def sample(self) -> None:
        """Takes one sample; nothing changes once the process has ended."""
        with contextlib.suppress(OSError, ValueError):
            held = resident_bytes(self._pid) + _unread_bytes(self._hosts)
            self.peak_bytes = max(self.peak_bytes, held, peak_bytes(self._pid))
            descriptors = len(os.listdir(f"/proc/{self._pid}/fd"))
            self.most_descriptors = max(self.most_descriptors, descriptors)


def resident_bytes(pid: int) -> int:
    """Returns the resident memory of a process."""
    return _status_bytes(pid, "VmRSS:")


def peak_bytes(pid: int) -> int:
    """Returns the highest resident memory of a process so far."""
    return _status_bytes(pid, "VmHWM:")


def _status_bytes(pid: int, name: str) -> int:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(name):
            return int(line.split()[1]) * 1024
    raise ValueError(f"process {pid} states no {name}")


def _hex_address(host: str) -> str:
    """Returns an IPv4 address as /proc/net/tcp prints it."""
    return socket.inet_aton(host)[::-1].hex().upper()


def _unread_bytes(hosts: set[str]) -> int:
    lines = Path("/proc/net/tcp").read_text().splitlines()[1:]
    rows = (line.split() for line in lines)
    # The receive queue of a listener (state 0A) is a number of connections.
    return sum(
        int(row[4].partition(":")[2], 16)
        for row in rows
        if row[1].partition(":")[0] in hosts and row[3] != "0A"
    )


def endless(part: bytes) -> Iterator[bytes]:
    """Yields a part without end."""
    return itertools.repeat(part)
