"""A small deployment on the platform's stand-ins, in one process."""

import asyncio
from dataclasses import replace

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


def route(prefix: str, kind: str, service: str, **changes) -> dict:
    """Returns a route of the configuration."""
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


def configuration(version: int = 1, **changes) -> dict:
    """Returns a configuration with one route of each kind."""
    engine = {"slots": 8, "kv_capacity_tokens": 100_000}
    return {
        "version": version,
        "routes": [
            route("/lookup/", "safe", "ledger"),
            route("/settle/", "non_idempotent", "ledger", retry_attempts=1),
            route("/draft/", "streaming", "appraiser", retry_attempts=1),
            route("/answer/", "streaming", "appraiser", stream_resume=True),
            route("/open/", "safe", "ledger", allow_anonymous=True),
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
    """A store, backend servers and one gateway.

    :ivar servers: backend servers by id.
    """

    def __init__(self) -> None:
        self.store = PlatformStoreServer()
        self.servers: dict[str, PlatformServer] = {}
        self.gateway: Gateway | None = None
        self.clock = Clock()
        self._ids = 0

    async def start(self, limits: Limits | None = None, **changes) -> None:
        """Starts the store and the gateway, and waits until it is ready."""
        await self.store.start()
        self.store.put("op/config", configuration(**changes))
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
            config = replace(config, limits=limits)
        self.gateway = build_gateway(config, self.clock)
        await self.gateway.start()
        await self.until(lambda: self.gateway.ready)

    async def stop(self) -> None:
        """Stops everything that still runs."""
        if self.gateway is not None:
            await self.gateway.close()
        for server in self.servers.values():
            await server.stop()
        await self.store.stop()

    async def add(
        self, server_id: str, service: str, behaviour: Behaviour | None = None, **entry
    ) -> PlatformServer:
        """Starts a backend server, lists it and waits until the gateway knows it."""
        server = PlatformServer(server_id, behaviour)
        await server.start()
        self.servers[server_id] = server
        self.store.put(f"servers/{server_id}", server.entry(service, **entry))
        await self.until(lambda: self.gateway.routes_to(server_id))
        return server

    async def until(self, condition, timeout_s: float = 5.0) -> None:
        """Waits until a condition holds."""
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(0.01)

    async def send(
        self, path: str, method: str = "GET", body: bytes = b"", **headers
    ) -> HttpResponse:
        """Sends a request over a new connection and returns its answer's head.

        :param headers: underscores stand for dashes; None leaves a header out.
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
        """Sends a request and reads the whole answer."""
        response = await self.send(path, **options)
        body = await response.read()
        return response.status, body, dict(response.headers)
