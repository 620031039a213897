"""A gateway with stand-ins for the platform's store and backend servers, in one process."""

import asyncio

from emulator.platform.server import Behaviour, PlatformServer
from emulator.platform.store import PlatformStoreServer
from emulator.standin import LOOPBACK
from heatherswitch.gateway.limits import Limits
from heatherswitch.gateway.shell import Gateway, GatewayConfig
from heatherswitch.platform.gateway import build_gateway
from heatherswitch.util.clock import Clock
from heatherswitch.util.http_client import HttpClient, HttpResponse

HOST = "auction.example"
API_KEY = "key-huon-leaf"
WORKSPACE = "huon-leaf"


def build_route(prefix: str, kind: str, service: str, **changes) -> dict:
    """Returns a route as it stands in the configuration entry.

    :param kind: ``safe``, ``non_idempotent`` or ``streaming``.
    :param changes: fields that replace the defaults.
    """
    return {
        "name": prefix.strip("/"),
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeout_ms": 3000,
        "target_latency_ms": 300,
        "priority": 1,
        "service": service,
        "retry_attempts": 2,
        "allow_anonymous": False,
        "session_affinity": kind == "streaming",
        "stream_resume": False,
    } | changes


def build_configuration(version: int = 1, **changes) -> dict:
    """Returns the value of the configuration entry, with a route of each kind.

    :param changes: top-level fields that replace the defaults.
    """
    engine = {"slots": 8, "kv_capacity_tokens": 100_000}
    return {
        "version": version,
        "routes": [
            build_route("/lookup/", "safe", "ledger"),
            build_route("/settle/", "non_idempotent", "ledger", retry_attempts=1),
            build_route("/draft/", "streaming", "appraiser", retry_attempts=1),
            build_route("/answer/", "streaming", "appraiser", stream_resume=True),
            build_route("/open/", "safe", "ledger", allow_anonymous=True),
        ],
        "services": [
            {"name": "ledger", "max_connections": 64},
            {"name": "appraiser", "max_connections": 64, "engine": engine},
        ],
        "limits": {
            "max_header_bytes": 4096,
            "max_body_bytes": 65536,
            "header_timeout_ms": 500,
            "idle_timeout_ms": 5000,
        },
        "tenants": [{"name": WORKSPACE, "api_keys": [API_KEY], "priority": 1}],
    } | changes


class Deployment:
    """A stand-in store, stand-in backend servers and one gateway.

    :ivar servers: backend servers by id.
    :ivar gateway: None before :meth:`start`.
    """

    def __init__(self) -> None:
        self.store = PlatformStoreServer()
        self.servers: dict[str, PlatformServer] = {}
        self.gateway: Gateway | None = None
        self.clock = Clock()
        self._ids = 0

    async def start(self, limits: Limits | None = None, **changes) -> None:
        """Starts the store and the gateway, and waits until the gateway is ready.

        :param limits: limits of the gateway; the defaults if None.
        :param changes: arguments of :func:`build_configuration`.
        :raises TimeoutError: if the gateway does not become ready.
        """
        await self.store.start()
        self.store.put("op/config", build_configuration(**changes))
        config = GatewayConfig(
            id="gateway-a",
            zone="a",
            regions={"a": "east", "b": "east", "c": "west"},
            listen=f"{LOOPBACK}:0",
            ready_listen=f"{LOOPBACK}:0",
            store=self.store.address,
            grace_s=4.0,
        )
        if limits is not None:
            config = config.replace(limits=limits)
        self.gateway = build_gateway(config, self.clock)
        await self.gateway.start()
        await self.wait_until(lambda: self.gateway.ready)

    async def stop(self) -> None:
        """Stops the gateway, the backend servers and the store."""
        if self.gateway is not None:
            await self.gateway.close()
        for server in self.servers.values():
            await server.stop()
        await self.store.stop()

    async def add_server(
        self, server_id: str, service: str, behaviour: Behaviour | None = None, **entry
    ) -> PlatformServer:
        """Starts a backend server, writes its store entry and waits for a route to it.

        :param entry: fields that replace the defaults of the store entry.
        :raises TimeoutError: if the gateway does not route to the server in time.
        """
        server = PlatformServer(server_id, behaviour)
        await server.start()
        self.servers[server_id] = server
        self.store.put(f"servers/{server_id}", server.store_entry(service, **entry))
        await self.wait_until(lambda: self.gateway.routes_to(server_id))
        return server

    async def wait_until(self, condition, timeout_s: float = 5.0) -> None:
        """Polls a condition until it is true.

        :raises TimeoutError: if it does not become true in time.
        """
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(0.01)

    async def send(
        self, path: str, method: str = "GET", body: bytes = b"", **headers
    ) -> HttpResponse:
        """Sends a request over a new connection.

        :param headers: header fields; underscores in their names stand for dashes, and
            None leaves a default header out.
        :returns: the response, whose body is not read yet.
        """
        self._ids += 1
        fields = {
            "Host": HOST,
            "X-Attempt-Id": f"{self._ids:08x}",
            "X-Deadline-Ms": "3000",
            "Authorization": f"Bearer {API_KEY}",
        }
        for name, value in headers.items():
            fields[name.replace("_", "-")] = value
        given = [(name, value) for name, value in fields.items() if value is not None]
        client = HttpClient.from_address(self.gateway.addresses["callers"])
        return await client.request(method, path, given, body, new_connection=True)

    async def call(self, path: str, **options) -> tuple[int, bytes, dict[str, str]]:
        """Sends a request and reads the whole response.

        :param options: arguments of :meth:`send`.
        :returns: status, body and headers.
        """
        response = await self.send(path, **options)
        body = await response.read()
        return response.status, body, dict(response.headers)
