"""HTTP client of a router's operator API."""

import asyncio
import json
from typing import Any, Protocol
from urllib.parse import urlencode

from heatherswitch.ui.errors import ExitCode, UserError
from heatherswitch.util.http import ConnectFailed, ConnectionLost
from heatherswitch.util.http_client import HttpClient

# Timeout of a request, in seconds. If the store's response to a write is lost, the router
# reads the value back for a few seconds before it responds.
REQUEST_TIMEOUT_S = 15.0

# HTTP status to the exit code and a hint that is appended to the error message.
_STATUS_ERRORS = {
    401: (ExitCode.UNAUTHORIZED, "set HEATHERSWITCH_OPERATOR_TOKEN or --token-file"),
    400: (ExitCode.USAGE, ""),
    404: (ExitCode.USAGE, ""),
    409: (ExitCode.CONFLICT, "read the current value and repeat"),
    503: (ExitCode.NOT_RUN, "nothing was changed; repeat later"),
    504: (ExitCode.OUTCOME_UNKNOWN, "check with get or move list before repeating"),
}


class ApiClient(Protocol):
    """A client of the operator API."""

    def request(
        self, method: str, path: str, query: dict[str, str], body: Any = None
    ) -> dict[str, Any]:
        """Sends a request and returns the response body.

        :raises UserError: if the request fails or is refused.
        """


class OperatorClient:
    """Sends requests to the operator API of one router.

    :param address: operator address of the router, as ``host:port``.
    :param token: operator token.
    """

    __slots__ = ("_address", "_timeout_s", "_token")

    def __init__(
        self, address: str, token: str, timeout_s: float = REQUEST_TIMEOUT_S
    ) -> None:
        self._address = address
        self._token = token
        self._timeout_s = timeout_s

    def request(
        self,
        method: str,
        path: str,
        query: dict[str, str] | None = None,
        body: Any = None,
    ) -> dict[str, Any]:
        """Sends a request, waits for the response and returns its JSON body.

        :param body: encoded as JSON; None sends an empty body.
        :raises UserError: if the router is unreachable, sends no complete response or
            responds with a status other than 200.
        """
        target = path + ("?" + urlencode(query) if query else "")
        status, response = asyncio.run(self._send(method, target, body))
        if status == 200:
            return response
        raise _user_error(status, response)

    async def _send(self, method: str, target: str, body: Any) -> tuple[int, Any]:
        """Returns the status and the decoded body of the response."""
        client = HttpClient.from_address(self._address)
        headers = [("Authorization", f"Bearer {self._token}")]
        data = b"" if body is None else json.dumps(body).encode()
        try:
            response = await client.request(
                method, target, headers, data, self._timeout_s
            )
            return response.status, json.loads(await response.read())
        except ConnectFailed as error:
            raise UserError(
                f"router {self._address} is unreachable ({error}); check --router",
                ExitCode.NOT_RUN,
            ) from error
        except (ConnectionLost, ValueError) as error:
            code = ExitCode.NOT_RUN if method == "GET" else ExitCode.OUTCOME_UNKNOWN
            raise UserError(
                f"router {self._address} sent no complete response ({error}); check with get",
                code,
            ) from error
        finally:
            client.close()


def _user_error(status: int, response: Any) -> UserError:
    """Converts an error response to an error with a message, a hint and an exit code."""
    error = response.get("error") if isinstance(response, dict) else None
    error = error if isinstance(error, dict) else {}
    code, hint = _STATUS_ERRORS.get(status, (ExitCode.FAILED, f"status {status}"))
    message = str(error.get("message", "the router refused the request"))
    if error.get("written"):
        hint = f"already written: {', '.join(error['written'])}; {hint}"
    return UserError(f"{message}; {hint}" if hint else message, code)
