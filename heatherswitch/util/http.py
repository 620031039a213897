"""Types, limits and errors that the HTTP server and client share."""

import json
from dataclasses import dataclass, field
from typing import Any

# Bytes read from a socket at once.
READ_SIZE = 65536
# A connection that sends nothing for this long is closed, in seconds.
IDLE_TIMEOUT_S = 75.0
# A request whose head and body are not complete by then is refused, in seconds.
REQUEST_READ_TIMEOUT_S = 20.0

Headers = list[tuple[str, str]]


class HttpError(Exception):
    """An HTTP exchange failed."""


class ConnectFailed(HttpError):
    """No connection was made, so nothing of the request was sent."""


class ConnectionLost(HttpError):
    """The connection broke or timed out after the request may have been sent."""


class BadRequest(HttpError):
    """A request cannot be served.

    :param status: HTTP status for the answer.
    """

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits of a listener.

    :param header_bytes: bytes of request line and headers.
    :param body_bytes: bytes of a request body.
    :param connections: connections open at once.
    """

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    connections: int = 2048
    idle_timeout_s: float = IDLE_TIMEOUT_S
    head_timeout_s: float = REQUEST_READ_TIMEOUT_S
    read_timeout_s: float = REQUEST_READ_TIMEOUT_S


@dataclass(slots=True)
class Request:
    """One request with its whole body.

    :param target: path and query as sent.
    :param headers: names in lower case.
    """

    method: str
    target: str
    headers: Headers = field(default_factory=list)
    body: bytes = b""

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.split("?", 1)[0]

    @property
    def query(self) -> str:
        """The query without its question mark, or an empty string."""
        return self.target.partition("?")[2]

    def header(self, name: str, default: str = "") -> str:
        """Returns the first value of a header, by its lower-case name."""
        for key, value in self.headers:
            if key == name:
                return value
        return default

    def json(self) -> Any:
        """Parses the body.

        :raises BadRequest: if the body is not JSON.
        """
        try:
            return json.loads(self.body)
        except (ValueError, RecursionError) as error:
            raise BadRequest(400, f"the body is not valid JSON: {error}") from error
