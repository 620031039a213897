"""Calls the operator API of a router for the commands."""

import asyncio
import json
from typing import Any, Protocol
from urllib.parse import urlencode

from heatherswitch.ui.errors import ExitCode, UserError
from heatherswitch.util.http import ConnectFailed, ConnectionLost
from heatherswitch.util.http_client import HttpClient

# A write with a lost answer is read back for a few seconds by the router.
TIMEOUT_S = 15.0

_HINTS = {
    401: (ExitCode.UNAUTHORIZED, "set HEATHERSWITCH_OPERATOR_TOKEN or --token-file"),
    400: (ExitCode.USAGE, ""),
    404: (ExitCode.USAGE, ""),
    409: (ExitCode.CONFLICT, "read the present value and repeat"),
    503: (ExitCode.NOT_RUN, "nothing was changed; repeat later"),
    504: (ExitCode.UNKNOWN, "check with get or move list before you repeat"),
}


class Caller(Protocol):
    """Calls the operator API."""

    def call(
        self, method: str, path: str, query: dict[str, str], body: Any = None
    ) -> dict[str, Any]:
        """Returns the answer; raises ``UserError`` for an error."""


class OperatorClient:
    """Calls one router."""

    __slots__ = ("_address", "_timeout_s", "_token")

    def __init__(self, address: str, token: str, timeout_s: float = TIMEOUT_S) -> None:
        self._address = address
        self._token = token
        self._timeout_s = timeout_s

    def call(
        self,
        method: str,
        path: str,
        query: dict[str, str] | None = None,
        body: Any = None,
    ) -> dict[str, Any]:
        """Sends one call.

        :raises UserError: if the router refuses, fails or cannot be reached.
        """
        target = path + ("?" + urlencode(query) if query else "")
        status, answer = asyncio.run(self._send(method, target, body))
        if status == 200:
            return answer
        raise _user_error(status, answer)

    async def _send(self, method: str, target: str, body: Any) -> tuple[int, Any]:
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
                f"router {self._address} cannot be reached ({error}); check --router",
                ExitCode.NOT_RUN,
            ) from error
        except (ConnectionLost, ValueError) as error:
            code = ExitCode.NOT_RUN if method == "GET" else ExitCode.UNKNOWN
            raise UserError(
                f"router {self._address} gave no whole answer ({error}); check with get",
                code,
            ) from error
        finally:
            client.close()


def _user_error(status: int, answer: Any) -> UserError:
    error = answer.get("error") if isinstance(answer, dict) else None
    error = error if isinstance(error, dict) else {}
    code, hint = _HINTS.get(status, (ExitCode.FAILED, f"status {status}"))
    message = str(error.get("message", "the router refused"))
    if error.get("written"):
        hint = f"already in force: {', '.join(error['written'])}; {hint}"
    return UserError(f"{message}; {hint}" if hint else message, code)
