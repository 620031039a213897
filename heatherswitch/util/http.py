"""Types, limits and errors shared by the HTTP server and client."""

import json
from collections.abc import Sequence
from typing import Any

from heatherswitch.util.connection_budget import CONNECTION_BYTES
from heatherswitch.util.record import Record
from heatherswitch.util.request_body import BodyPart

# Maximum size of one read from a socket.
MAX_READ_BYTES = 65536
# Seconds after which an idle connection is closed.
IDLE_TIMEOUT_S = 75.0
# Seconds after which a request that is not received completely is rejected.
REQUEST_READ_TIMEOUT_S = 20.0
# Memory that the connections of a listener may hold if no setting limits it.
DEFAULT_MEMORY_BYTES = 256 * 1024 * 1024

# Range of the statuses of final responses.
MIN_FINAL_STATUS = 200
MAX_FINAL_STATUS = 599

Headers = list[tuple[str, str]]


def encode_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Returns the bytes that were decoded as Latin-1 when the headers were received.

    h11 accepts only ASCII in text, but any bytes in a value.
    """
    return [
        (name.encode("latin-1"), value.encode("latin-1")) for name, value in headers
    ]


class HttpError(Exception):
    """An HTTP exchange failed."""


class ConnectFailed(HttpError):
    """No connection could be opened, so nothing of the request was sent."""


class ConnectionLost(HttpError):
    """The connection failed or timed out after the request may have been sent."""


class ResponseTooLarge(ConnectionLost):
    """The response is over the limit that its reader set."""


def check_final_status(status: int) -> None:
    """Checks the status of a final response; h11 accepts any number of three digits.

    :raises ConnectionLost: if HTTP has no such status (RFC 9110, section 15).
    """
    if not MIN_FINAL_STATUS <= status <= MAX_FINAL_STATUS:
        raise ConnectionLost(f"the answer is malformed: status {status}")


class RequestRefused(HttpError):
    """A request was not run; its caller may repeat it.

    :param retry_after_s: seconds after which the caller should do so.
    """

    def __init__(self, message: str, retry_after_s: float) -> None:
        super().__init__(message)
        self.retry_after_s = retry_after_s


class BadRequest(HttpError):
    """A request is invalid or incomplete; the message is sent to the caller.

    :param status: HTTP status of the error response.
    """

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


class HttpLimits(Record):
    """Limits of a listener.

    :param header_bytes: maximum size of the request line and headers.
    :param body_bytes: maximum size of a request body.
    :param connections: maximum number of open connections.
    :param idle_timeout_s: time that a connection may wait for its next request.
    :param head_timeout_s: time for receiving the request line and headers.
    :param read_timeout_s: time for receiving a whole request, with its body.
    :param memory_bytes: memory that all connections may hold together.
    :param body_copies: how often a body is held while its request is served.
    """

    __slots__ = (
        "header_bytes",
        "body_bytes",
        "connections",
        "idle_timeout_s",
        "head_timeout_s",
        "read_timeout_s",
        "memory_bytes",
        "body_copies",
    )

    def __init__(
        self,
        header_bytes: int = 16384,
        body_bytes: int = 4 * 1024 * 1024,
        connections: int = 2048,
        idle_timeout_s: float = IDLE_TIMEOUT_S,
        head_timeout_s: float = REQUEST_READ_TIMEOUT_S,
        read_timeout_s: float = REQUEST_READ_TIMEOUT_S,
        memory_bytes: int = DEFAULT_MEMORY_BYTES,
        body_copies: int = 1,
    ) -> None:
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self.connections = connections
        self.idle_timeout_s = idle_timeout_s
        self.head_timeout_s = head_timeout_s
        self.read_timeout_s = read_timeout_s
        self.memory_bytes = memory_bytes
        self.body_copies = body_copies


# Limits of a listener for status checks and metrics, whose requests have no body. The
# load balancer and the metrics collector use a few connections.
STATUS_LIMITS = HttpLimits(
    body_bytes=0,
    connections=64,
    memory_bytes=64 * CONNECTION_BYTES,
)


class Request(Record):
    """An HTTP request with its complete body.

    :param target: request target as sent: path and query, or an absolute URL.
    :param headers: pairs of lower-case name and value, in the order received.
    :ivar body_parts: the body, of which a large one is in several parts.
    """

    __slots__ = (
        "method",
        "target",
        "headers",
        "body_parts",
    )

    def __init__(
        self,
        method: str,
        target: str,
        headers: Headers | None = None,
        body: bytes = b"",
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers if headers is not None else []
        self.body_parts: Sequence[BodyPart] = (body,) if body else ()

    @property
    def body(self) -> bytes:
        """The body in one piece; the parts of a large one are joined on first use."""
        if not self.body_parts:
            return b""
        if len(self.body_parts) > 1 or not isinstance(self.body_parts[0], bytes):
            self.body_parts = (b"".join(self.body_parts),)
        return self.body_parts[0]

    @property
    def body_length(self) -> int:
        """Size of the body in bytes."""
        return sum(map(len, self.body_parts))

    @property
    def path(self) -> str:
        """The request target without its query."""
        return self.target.split("?", 1)[0]

    @property
    def query(self) -> str:
        """The query without its question mark, or an empty string."""
        return self.target.partition("?")[2]

    def header(self, name: str, default: str = "") -> str:
        """Returns the first value of a header, or ``default``.

        :param name: name in lower case.
        """
        for key, value in self.headers:
            if key == name:
                return value
        return default

    def json(self) -> Any:
        """Parses the body as JSON.

        :raises BadRequest: if the body is not JSON.
        """
        try:
            return json.loads(self.body)
        except (ValueError, RecursionError) as error:
            raise BadRequest(400, f"the body is not valid JSON: {error}") from error
