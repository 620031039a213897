"""Starts and stops a deployment as local processes that listen on loopback."""

import asyncio
import json
import logging
import secrets
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from emulator.deployments import (
    LEAFLINE,
    Deployment,
    ServiceDefinition,
    bearer_headers,
    demo_api_key,
)
from emulator.links import Links
from emulator.processes import (
    LaunchError,
    ManagedProcess,
    pick_free_address,
    run_concurrently,
)
from heatherswitch.util.http import HttpError
from heatherswitch.util.http_client import HttpClient

log = logging.getLogger("heatherswitch.emulator.launch")

# Address of a listener on any free port.
ANY_PORT = "127.0.0.1:0"
# Seconds between SIGTERM and SIGKILL.
STOP_GRACE_S = 10.0
# Seconds that a deployment has to serve its first requests.
SERVING_TIMEOUT_S = 30.0
RETRY_PERIOD_S = 0.25


@dataclass(frozen=True, slots=True)
class LaunchConfig:
    """The deployment to start and how to run it.

    The module names let tests replace the router, the agent or the store.

    :param run_directory: directory of logs, ready files and history files.
    :param extra_arguments: further arguments, by name of a process or service.
    :param proxied: puts a fault proxy into each link; see :mod:`emulator.links`.
    """

    deployment: Deployment = LEAFLINE
    run_directory: Path = Path(".run")
    router_module: str = "heatherswitch.ui.router"
    agent_module: str = "heatherswitch.ui.agent"
    store_module: str = "emulator.store"
    extra_arguments: dict[str, tuple[str, ...]] = field(default_factory=dict)
    proxied: bool = False


@dataclass(frozen=True, slots=True)
class Backend:
    """A backend server and its agent.

    :param history: path of the server's history file.
    """

    service: ServiceDefinition
    zone: str
    version: str
    server: ManagedProcess
    agent: ManagedProcess
    history: Path


class Launcher:
    """Starts, changes and stops the processes of one deployment."""

    __slots__ = (
        "_backends",
        "_config",
        "_directory",
        "_fleet_environment",
        "_links",
        "_operator_token",
        "_peer_addresses",
        "_routers",
        "_server_counts",
        "_servers",
        "_store",
    )

    def __init__(self, config: LaunchConfig) -> None:
        self._config = config
        self._directory = config.run_directory.resolve()
        self._links = Links(config.proxied)
        self._operator_token = secrets.token_hex(16)
        self._fleet_environment = {"HEATHERSWITCH_FLEET_TOKEN": secrets.token_hex(16)}
        self._store: ManagedProcess | None = None
        self._routers: list[ManagedProcess] = []
        self._peer_addresses: list[str] = []
        self._servers: list[ManagedProcess] = []
        # Number of backend servers started so far, by service.
        self._server_counts: Counter[str] = Counter()
        self._backends: list[Backend] = []

    @classmethod
    def from_config(cls, config: LaunchConfig) -> "Launcher":
        """Returns a launcher; :meth:`start` starts the processes."""
        return cls(config)

    @property
    def deployment(self) -> Deployment:
        """The deployment that is launched."""
        return self._config.deployment

    @property
    def run_directory(self) -> Path:
        """Absolute path of the directory of logs, ready files and history files."""
        return self._directory

    @property
    def links(self) -> Links:
        """The network links; they have proxies if the configuration asks for them."""
        return self._links

    @property
    def store(self) -> ManagedProcess:
        """The stand-in store."""
        return self._store

    @property
    def routers(self) -> list[ManagedProcess]:
        """The routers ``r1``, ``r2`` and so on, in this order."""
        return self._routers

    @property
    def backends(self) -> list[Backend]:
        """All backend servers with their agents, without those removed."""
        return self._backends

    def backends_of(self, service: str = "", zone: str = "") -> list[Backend]:
        """Returns the backend servers of a service, in a zone, or both.

        :param service: name of the service; empty for all.
        :param zone: name of the zone; empty for all.
        """
        return [
            item
            for item in self._backends
            if service in ("", item.service.name) and zone in ("", item.zone)
        ]

    def endpoints(self) -> dict[str, Any]:
        """Returns the addresses, keys and tokens of the deployment as a JSON object."""
        return {
            "deployment": self.deployment.name,
            "operator_token": self._operator_token,
            "routers": [{"id": r.name, **r.addresses} for r in self._routers],
            "store": self._store.addresses["address"],
            "backends": [
                {
                    "id": item.server.name,
                    "service": item.service.name,
                    "zone": item.zone,
                    "version": item.version,
                    **item.server.addresses,
                }
                for item in self._backends
            ],
            "keys": {
                name: demo_api_key(name) for name in self.deployment.workspace_shares()
            },
        }

    async def start(self) -> None:
        """Starts all processes, applies the settings and waits until routers serve.

        :raises LaunchError: if a process does not start or the settings or the first
            requests fail; all processes are stopped before.
        """
        self._directory.mkdir(parents=True, exist_ok=True)
        for path in self._directory.iterdir():
            if path.suffix in (".log", ".ready", ".jsonl"):
                path.unlink()
        try:
            await self._start_all()
        except BaseException:
            await self.stop(grace_s=1.0)
            raise

    async def stop(self, grace_s: float = STOP_GRACE_S) -> list[str]:
        """Stops all processes: routers, then agents, backend servers and the store.

        :returns: names of processes that needed SIGKILL after ``grace_s`` seconds.
        """
        stages = [
            self._routers,
            [item.agent for item in self._backends],
            self._servers,
            [self._store] if self._store else [],
        ]
        killed: list[str] = []
        for stage in stages:
            stopped_in_time = await asyncio.gather(
                *(item.stop(grace_s) for item in stage)
            )
            killed += [
                item.name
                for item, in_time in zip(stage, stopped_in_time, strict=True)
                if not in_time
            ]
        await self._links.stop()
        return killed

    async def add_backend(
        self,
        service: ServiceDefinition,
        zone: str,
        version: str = "v1",
        arguments: tuple[str, ...] = (),
    ) -> Backend:
        """Starts another backend server with its agent and waits until both are ready.

        :param arguments: further arguments of the backend server.
        :raises LaunchError: if either does not start.
        """
        server = self._start_server(service, version, arguments)
        await server.wait_ready()
        agent = await self._start_agent(service, zone, version, server)
        history = self._history_path(server.name)
        backend = Backend(service, zone, version, server, agent, history)
        self._backends.append(backend)
        await agent.wait_ready()
        return backend

    async def remove_backend(self, backend: Backend, grace_s: float = STOP_GRACE_S):
        """Stops an agent and then its server, as when a VM leaves the fleet.

        :returns: True if both exited without SIGKILL.
        """
        stopped_in_time = await backend.agent.stop(grace_s)
        stopped_in_time = await backend.server.stop(grace_s) and stopped_in_time
        self._backends.remove(backend)
        return stopped_in_time

    async def operator_request(
        self,
        method: str,
        path: str,
        body: Any = None,
        timeout_s: float = 5.0,
        router_name: str = "",
    ) -> tuple[int, Any]:
        """Sends an operator's request to the routers in turn until one responds.

        :param router_name: the only router to try; empty for all.
        :returns: status and parsed response body; None for an empty body.
        :raises LaunchError: if no router responds.
        """
        data = b"" if body is None else json.dumps(body).encode()
        headers = [
            *bearer_headers(self._operator_token),
            ("Content-Type", "application/json"),
        ]
        last_error: Exception | None = None
        for router in self._routers:
            if not router.alive or router_name not in ("", router.name):
                continue
            client = HttpClient.from_address(router.addresses["operator"])
            try:
                response = await client.request(method, path, headers, data, timeout_s)
                text = await response.read()
                return response.status, json.loads(text) if text else None
            except (HttpError, ValueError) as error:
                last_error = error
            finally:
                client.close()
        raise LaunchError(f"no router responded to {method} {path}: {last_error}")

    async def apply_settings(self, nodes: dict[str, Any]) -> None:
        """Applies settings; retries a 503 response for ``SERVING_TIMEOUT_S`` seconds.

        :param nodes: overrides by node path.
        :raises LaunchError: if the settings are rejected or the retries fail.
        """
        deadline = time.monotonic() + SERVING_TIMEOUT_S
        while True:
            status, response = await self.operator_request(
                "POST", "/v1/apply", {"nodes": nodes}
            )
            if status < 300:
                return
            if status != 503 or time.monotonic() > deadline:
                raise LaunchError(
                    f"settings were rejected with status {status}: {response}"
                )
            await asyncio.sleep(RETRY_PERIOD_S)

    async def _start_all(self) -> None:
        self._store = self._new_process(
            "store", self._config.store_module, ["--port", "0"]
        )
        self._store.start()
        await self._store.wait_ready()
        await self._start_routers()
        placements = [
            (service, self._zone_for(index))
            for service in self.deployment.services
            for index in range(service.count)
        ]
        starting = [self.add_backend(*placement) for placement in placements]
        starting += [router.wait_ready() for router in self._routers]
        await run_concurrently(*starting)
        await self.apply_settings(self.deployment.settings_by_node())
        await run_concurrently(*(self._wait_until_serving(r) for r in self._routers))

    def _new_process(self, name: str, module: str, arguments: list[str], **options):
        extra = self._config.extra_arguments.get(name, ())
        arguments = [*arguments, *extra]
        return ManagedProcess(name, module, arguments, self._directory, **options)

    def _zone_for(self, index: int) -> str:
        return self.deployment.zones[index % len(self.deployment.zones)]

    async def _start_routers(self) -> None:
        names = [f"r{index + 1}" for index in range(self.deployment.routers)]
        listeners = [pick_free_address() for _ in names]
        peers = self._peer_addresses = [
            await self._links.connect_address(f"peer:{name}", listener)
            for name, listener in zip(names, listeners, strict=True)
        ]
        environment = self._fleet_environment | {
            "HEATHERSWITCH_OPERATOR_TOKEN": self._operator_token
        }
        for index, name in enumerate(names):
            others = [peer for peer in peers if peer != peers[index]]
            arguments = ["--id", name, "--zone", self._zone_for(index)]
            arguments += ["--listen", ANY_PORT]
            arguments += ["--operator-listen", ANY_PORT, "--metrics-listen", ANY_PORT]
            arguments += ["--peer-listen", listeners[index]]
            arguments += ["--advertise", peers[index], "--peers", ",".join(others)]
            arguments += ["--store", await self._store_address_for(name)]
            module = self._config.router_module
            router = self._new_process(name, module, arguments, environment=environment)
            router.start()
            self._routers.append(router)

    async def _store_address_for(self, name: str) -> str:
        address = self._store.addresses["address"]
        return await self._links.connect_address(f"store:{name}", address)

    def _start_server(
        self, service: ServiceDefinition, version: str, arguments: tuple[str, ...]
    ) -> ManagedProcess:
        number = self._server_counts[service.name] = (
            self._server_counts[service.name] + 1
        )
        name = f"{service.name}-{number}"
        server_arguments = ["--port", "0", "--id", name, "--seed", str(number)]
        server_arguments += [
            "--history",
            str(self._history_path(name)),
            *service.arguments,
        ]
        if service is self.deployment.engines:
            server_arguments += ["--version", version]
        server_arguments += [
            *self._config.extra_arguments.get(service.name, ()),
            *arguments,
        ]
        server = self._new_process(name, service.module, server_arguments)
        server.start()
        self._servers.append(server)
        return server

    def _history_path(self, name: str) -> Path:
        return self._directory / f"{name}.jsonl"

    async def _start_agent(
        self,
        service: ServiceDefinition,
        zone: str,
        version: str,
        server: ManagedProcess,
    ) -> ManagedProcess:
        name, listen_address = f"agent-{server.name}", pick_free_address()
        backend_address = server.addresses["address"]
        backend_address = await self._links.connect_address(
            f"backend:{name}", backend_address
        )
        advertised = await self._links.connect_address(f"agent:{name}", listen_address)
        arguments = ["--id", name, "--zone", zone, "--service", service.name]
        arguments += ["--version", version, "--backend", backend_address]
        arguments += ["--listen", listen_address, "--metrics-listen", ANY_PORT]
        arguments += ["--advertise", advertised]
        arguments += ["--store", await self._store_address_for(name)]
        arguments += ["--peers", ",".join(self._peer_addresses)]
        module = self._config.agent_module
        environment = self._fleet_environment
        agent = self._new_process(name, module, arguments, environment=environment)
        agent.start()
        return agent

    async def _wait_until_serving(self, router: ManagedProcess) -> None:
        """Waits until a router returns 200 for a request to each service.

        :raises LaunchError: after ``SERVING_TIMEOUT_S`` seconds.
        """
        key = demo_api_key(next(iter(self.deployment.workspace_shares())))
        lookup = _lookup_path(self.deployment)
        chat_request = {
            "messages": [{"role": "user", "content": "probe"}],
            "max_tokens": 1,
        }
        probes = [("GET", lookup, b"")]
        probes.append(("POST", "/v1/chat/completions", self._chat_probe(chat_request)))
        client = HttpClient.from_address(router.addresses["caller"])
        deadline = time.monotonic() + SERVING_TIMEOUT_S
        for method, path, body in probes:
            last_result = ""
            while last_result != "200":
                if time.monotonic() > deadline:
                    raise LaunchError(
                        f"{router.name} does not serve {method} {path}: {last_result}"
                    )
                try:
                    headers = bearer_headers(key)
                    response = await client.request(method, path, headers, body, 3.0)
                    text = await response.read()
                    last_result = str(response.status)
                except HttpError as error:
                    text, last_result = b"", str(error)
                if last_result != "200":
                    log.debug(
                        "router does not serve requests yet: %s %r", last_result, text
                    )
                    await asyncio.sleep(RETRY_PERIOD_S)
        client.close()

    def _chat_probe(self, chat_request: dict[str, Any]) -> bytes:
        return json.dumps(
            {"model": self.deployment.engines.name, **chat_request}
        ).encode()


def _lookup_path(deployment: Deployment) -> str:
    """Returns the path of an idempotent route of the plain service, for probes."""
    plain = deployment.plain.name
    routes = deployment.settings_by_node()[f"/service={plain}"]["routes"]
    idempotent_path = next(route["path"] for route in routes if route["idempotent"])
    return f"/{plain}{idempotent_path}/probe"
