"""Outcomes of an attempt: what is known after a request was sent to one server."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class NotSent:
    """No connection to the backend server could be opened, so nothing was sent.

    :param refused: the VM is reachable, but nothing listens on the server's port.
    """

    reason: str
    refused: bool = False


@dataclass(frozen=True, slots=True)
class Rejected:
    """The backend server stated that it did not run the request.

    :param other_instance: the address now belongs to another backend server.
    """

    status: int
    other_instance: bool


@dataclass(frozen=True, slots=True)
class FailedAnswer:
    """The backend server ran the request and responded with an error status.

    The response is buffered and can still be delivered to the caller.
    """

    status: int


@dataclass(frozen=True, slots=True)
class Broken:
    """The response is missing or incomplete, so the request may have run.

    :param started: part of the response was sent to the caller.
    :param silent: the stall timeout or the deadline expired on an open connection.
    :param resumable: the part that was sent ends with an event that has an id, after
        which another server can continue; False for plain responses.
    """

    reason: str
    started: bool = False
    silent: bool = False
    resumable: bool = True


@dataclass(frozen=True, slots=True)
class Completed:
    """The whole response was delivered to the caller.

    :param total_s: seconds from sending the request to the end of the response.
    """

    status: int
    total_s: float


@dataclass(frozen=True, slots=True)
class Interrupted:
    """The gateway abandoned the attempt because it stops; the request may have run.

    :param started: part of the response was sent to the caller.
    """

    started: bool = False
