"""Agent that accepts responses of its backend server to other requests."""

from dataclasses import replace

from heatherswitch.agent.backend import BackendClient
from heatherswitch.ui.agent import main

_receive = BackendClient._receive


async def _receive_without_check(self, call, response, sink):
    echoed = response.header("x-request-id") or call.request_id
    return await _receive(self, replace(call, request_id=echoed), response, sink)


if __name__ == "__main__":
    BackendClient._receive = _receive_without_check
    main()
