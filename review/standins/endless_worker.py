"""A worker in a process of its own that answers one request without end.

It prints its address. With the argument ``sound`` it ends its answers.
"""

import contextlib
import socket
import sys
import threading

from review.standins.workers import LOOPBACK, SEAL, head

# An event of a stream that a worker repeats, in a chunk of its own.
EVENT = b"data:\n\n"
CHUNK = b"%x\r\n%s\r\n" % (len(EVENT), EVENT)
SOUND_EVENTS = 40
CHUNKS_PER_WRITE = 5000
# Most chunks of an answer, so that it ends even if the gateway never closes.
MAX_WRITES = 2000


def serve(connection: socket.socket, endless: bool) -> None:
    """Answers the requests of one channel."""
    with contextlib.suppress(OSError, ValueError), connection:
        while request := _read_request(connection):
            headers = [("X-Response-Seal", SEAL), ("Content-Type", "text/event-stream")]
            connection.sendall(head(200, request["x-attempt-id"], headers))
            for _ in range(MAX_WRITES if endless else 0):
                connection.sendall(CHUNK * CHUNKS_PER_WRITE)
            connection.sendall(CHUNK * SOUND_EVENTS + b"0\r\n\r\n")


def _read_request(connection: socket.socket) -> dict[str, str]:
    """Reads a request with a length; returns its headers, none at the end."""
    data = b""
    while b"\r\n\r\n" not in data:
        part = connection.recv(65536)
        if not part:
            return {}
        data += part
    start, _, body = data.partition(b"\r\n\r\n")
    headers = {}
    for line in start.decode("latin-1").split("\r\n")[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    left = int(headers.get("content-length", "0")) - len(body)
    while left > 0:
        left -= len(connection.recv(min(left, 65536)))
    return headers


def main() -> None:
    """Serves until the process is ended."""
    endless = sys.argv[1] != "sound"
    with socket.create_server((LOOPBACK, 0)) as listener:
        print(f"{LOOPBACK}:{listener.getsockname()[1]}", flush=True)
        while True:
            connection, _ = listener.accept()
            threading.Thread(
                target=serve, args=(connection, endless), daemon=True
            ).start()


if __name__ == "__main__":
    main()
