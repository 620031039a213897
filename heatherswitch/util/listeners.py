"""Listening sockets."""

import socket

# Maximum number of connections that wait to be accepted.
LISTEN_BACKLOG = 1024
# Receive buffer of an accepted connection. What a process doesn't read counts as its
# memory on the platform, and the system's default grows to megabytes for each connection.
RECEIVE_BUFFER_BYTES = 32 * 1024


def limit_receive_buffer(listener: socket.socket) -> None:
    """Sets the receive buffer of the connections that a listener accepts from now on."""
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)


def bind_listener(address: str) -> socket.socket:
    """Binds a TCP listener; callers can connect to it at once.

    :param address: ``host:port``; port 0 lets the system choose a free port.
    :raises OSError: if the address cannot be bound.
    :raises ValueError: if it has no valid port.
    """
    host, _, port = address.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setblocking(False)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        limit_receive_buffer(listener)
        listener.bind((host, int(port)))
        listener.listen(LISTEN_BACKLOG)
    except BaseException:
        listener.close()
        raise
    return listener
