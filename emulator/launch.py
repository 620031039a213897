"""Starts a whole deployment as real processes on loopback, and stops it."""

import asyncio
import json
import logging
import secrets
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from emulator.deployments import LEAFLINE, Deployment, ServiceShape, bearer, demo_key
from emulator.links import Links
from emulator.processes import LaunchError, ManagedProcess, free_address, run_all
from heatherswitch.util.http import HttpError
from heatherswitch.util.http_client import HttpClient

log = logging.getLogger("heatherswitch.emulator.launch")

# Listener on any free port.
ANY_PORT = "127.0.0.1:0"
# Seconds between SIGTERM and SIGKILL.
STOP_GRACE_S = 10.0
# Seconds until the deployment must serve requests.
SERVING_TIMEOUT_S = 30.0
RETRY_PERIOD_S = 0.25


@dataclass(frozen=True, slots=True)
class LaunchConfig:
    """What to start.

    The module names let tests start stand-ins for the product's programs.

    :param run_directory: takes logs, ready files and histories.
    :param extra_arguments: further arguments by process name or service name.
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
    """One backend server and the agent beside it."""

    service: ServiceShape
    zone: str
    version: str
    server: ManagedProcess
    agent: ManagedProcess
    history: Path


class Launch:
    """A running deployment."""

    __slots__ = (
        "_backends",
        "_config",
        "_directory",
        "_links",
        "_peer_environment",
        "_numbers",
        "_routers",
        "_router_peers",
        "_servers",
        "_store",
        "_token",
    )

    def __init__(self, config: LaunchConfig) -> None:
        self._config = config
        self._directory = config.run_directory.resolve()
        self._links = Links(config.proxied)
        self._token = secrets.token_hex(16)
        self._peer_environment = {"HEATHERSWITCH_FLEET_TOKEN": secrets.token_hex(16)}
        self._store: ManagedProcess | None = None
        self._routers: list[ManagedProcess] = []
        self._router_peers: list[str] = []
        self._servers: list[ManagedProcess] = []
        # Backend servers started so far, by service.
        self._numbers: Counter[str] = Counter()
        self._backends: list[Backend] = []

    @classmethod
    def from_config(cls, config: LaunchConfig) -> "Launch":
        """Prepares a deployment; :meth:`start` starts it."""
        return cls(config)

    @property
    def deployment(self) -> Deployment:
        """What this launch runs."""
        return self._config.deployment

    @property
    def run_directory(self) -> Path:
        """Absolute path of the logs, ready files and histories."""
        return self._directory

    @property
    def links(self) -> Links:
        """The network links, with their proxies if the launch is proxied."""
        return self._links

    @property
    def store(self) -> ManagedProcess:
        """The stand-in store."""
        return self._store

    @property
    def routers(self) -> list[ManagedProcess]:
        """The routers, in the order of their ids."""
        return self._routers

    @property
    def backends(self) -> list[Backend]:
        """All backend servers with their agents."""
        return self._backends

    def backends_of(self, service: str = "", zone: str = "") -> list[Backend]:
        """Returns the backend servers of a service, a zone, or both."""
        return [
            item
            for item in self._backends
            if service in ("", item.service.name) and zone in ("", item.zone)
        ]

    def endpoints(self) -> dict[str, Any]:
        """Returns all that callers and operators need, as JSON values."""
        return {
            "deployment": self.deployment.name,
            "operator_token": self._token,
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
            "keys": {name: demo_key(name) for name in self.deployment.workspaces()},
        }

    async def start(self) -> None:
        """Starts all processes, applies the settings and waits until they serve.

        :raises LaunchError: if a process does not start or requests are refused;
            what was started is stopped first.
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
        """Stops all processes, callers' side first.

        :returns: names of processes that SIGTERM did not end in time.
        """
        stages = [
            self._routers,
            [item.agent for item in self._backends],
            self._servers,
            [self._store] if self._store else [],
        ]
        late: list[str] = []
        for stage in stages:
            ended = await asyncio.gather(*(item.stop(grace_s) for item in stage))
            late += [item.name for item, ok in zip(stage, ended, strict=True) if not ok]
        await self._links.stop()
        return late

    async def add_backend(
        self,
        service: ServiceShape,
        zone: str,
        version: str = "v1",
        arguments: tuple[str, ...] = (),
    ) -> Backend:
        """Starts one more backend server with its agent and waits until both listen.

        :param arguments: further arguments of the backend server.
        :raises LaunchError: if one of them does not start.
        """
        server = self._start_server(service, version, arguments)
        await server.wait_ready()
        agent = await self._start_agent(service, zone, version, server)
        history = self._history(server.name)
        backend = Backend(service, zone, version, server, agent, history)
        self._backends.append(backend)
        await agent.wait_ready()
        return backend

    async def remove_backend(self, backend: Backend, grace_s: float = STOP_GRACE_S):
        """Stops an agent and then its server, as for a VM that leaves.

        :returns: True if SIGTERM was enough for both.
        """
        stopped = await backend.agent.stop(grace_s)
        stopped = await backend.server.stop(grace_s) and stopped
        self._backends.remove(backend)
        return stopped

    async def operator_request(
        self,
        method: str,
        path: str,
        body: Any = None,
        timeout_s: float = 5.0,
        only: str = "",
    ) -> tuple[int, Any]:
        """Sends an operator's request to the first router that answers.

        :param only: name of the only router to ask; empty for all.
        :returns: status and parsed answer.
        :raises LaunchError: if no router answers.
        """
        data = b"" if body is None else json.dumps(body).encode()
        headers = [*bearer(self._token), ("Content-Type", "application/json")]
        last: Exception | None = None
        for router in self._routers:
            if not router.alive or only not in ("", router.name):
                continue
            client = HttpClient.from_address(router.addresses["operator"])
            try:
                answer = await client.request(method, path, headers, data, timeout_s)
                text = await answer.read()
                return answer.status, json.loads(text) if text else None
            except (HttpError, ValueError) as error:
                last = error
            finally:
                client.close()
        raise LaunchError(f"no router answered {method} {path}: {last}")

    async def apply(self, nodes: dict[str, Any]) -> None:
        """Applies settings; a refusal as not run is tried again for a while.

        :raises LaunchError: if the settings are refused.
        """
        limit = time.monotonic() + SERVING_TIMEOUT_S
        while True:
            status, answer = await self.operator_request(
                "POST", "/v1/apply", {"nodes": nodes}
            )
            if status < 300:
                return
            if status != 503 or time.monotonic() > limit:
                raise LaunchError(f"settings were refused with {status}: {answer}")
            await asyncio.sleep(RETRY_PERIOD_S)

    async def _start_all(self) -> None:
        self._store = self._process("store", self._config.store_module, ["--port", "0"])
        self._store.start()
        await self._store.wait_ready()
        await self._start_routers()
        places = [
            (service, self._zone(index))
            for service in self.deployment.services
            for index in range(service.count)
        ]
        starting = [self.add_backend(*place) for place in places]
        starting += [router.wait_ready() for router in self._routers]
        await run_all(*starting)
        await self.apply(self.deployment.nodes())
        await run_all(*(self._wait_serving(r) for r in self._routers))

    def _process(self, name: str, module: str, arguments: list[str], **options):
        extra = self._config.extra_arguments.get(name, ())
        arguments = [*arguments, *extra]
        return ManagedProcess(name, module, arguments, self._directory, **options)

    def _zone(self, index: int) -> str:
        return self.deployment.zones[index % len(self.deployment.zones)]

    async def _start_routers(self) -> None:
        names = [f"r{index + 1}" for index in range(self.deployment.routers)]
        listeners = [free_address() for _ in names]
        peers = self._router_peers = [
            await self._links.connect_address(f"peer:{name}", own)
            for name, own in zip(names, listeners, strict=True)
        ]
        environment = self._peer_environment | {
            "HEATHERSWITCH_OPERATOR_TOKEN": self._token
        }
        for index, name in enumerate(names):
            others = [peer for peer in peers if peer != peers[index]]
            arguments = ["--id", name, "--zone", self._zone(index)]
            arguments += ["--listen", ANY_PORT]
            arguments += ["--operator-listen", ANY_PORT, "--metrics-listen", ANY_PORT]
            arguments += ["--peer-listen", listeners[index]]
            arguments += ["--advertise", peers[index], "--peers", ",".join(others)]
            arguments += ["--store", await self._store_link(name)]
            module = self._config.router_module
            router = self._process(name, module, arguments, environment=environment)
            router.start()
            self._routers.append(router)

    async def _store_link(self, name: str) -> str:
        address = self._store.addresses["address"]
        return await self._links.connect_address(f"store:{name}", address)

    def _start_server(
        self, service: ServiceShape, version: str, arguments: tuple[str, ...]
    ) -> ManagedProcess:
        number = self._numbers[service.name] = self._numbers[service.name] + 1
        name = f"{service.name}-{number}"
        given = ["--port", "0", "--id", name, "--seed", str(number)]
        given += ["--history", str(self._history(name)), *service.arguments]
        if service is self.deployment.engines:
            given += ["--version", version]
        given += [*self._config.extra_arguments.get(service.name, ()), *arguments]
        server = self._process(name, service.module, given)
        server.start()
        self._servers.append(server)
        return server

    def _history(self, name: str) -> Path:
        return self._directory / f"{name}.jsonl"

    async def _start_agent(
        self, service: ServiceShape, zone: str, version: str, server: ManagedProcess
    ) -> ManagedProcess:
        name, listen = f"agent-{server.name}", free_address()
        backend = server.addresses["address"]
        backend = await self._links.connect_address(f"backend:{name}", backend)
        advertised = await self._links.connect_address(f"agent:{name}", listen)
        arguments = ["--id", name, "--zone", zone, "--service", service.name]
        arguments += ["--version", version, "--backend", backend]
        arguments += ["--listen", listen, "--metrics-listen", ANY_PORT]
        arguments += ["--advertise", advertised]
        arguments += ["--store", await self._store_link(name)]
        arguments += ["--peers", ",".join(self._router_peers)]
        module = self._config.agent_module
        environment = self._peer_environment
        agent = self._process(name, module, arguments, environment=environment)
        agent.start()
        return agent

    async def _wait_serving(self, router: ManagedProcess) -> None:
        """Waits until a router answers for both services."""
        key = demo_key(next(iter(self.deployment.workspaces())))
        lookup = _lookup_path(self.deployment)
        chat = {"messages": [{"role": "user", "content": "probe"}], "max_tokens": 1}
        probes = [("GET", lookup, b"")]
        probes.append(("POST", "/v1/chat/completions", self._chat_probe(chat)))
        client = HttpClient.from_address(router.addresses["caller"])
        limit = time.monotonic() + SERVING_TIMEOUT_S
        for method, path, body in probes:
            seen = ""
            while seen != "200":
                if time.monotonic() > limit:
                    raise LaunchError(f"{router.name} answers {method} {path}: {seen}")
                try:
                    headers = bearer(key)
                    answer = await client.request(method, path, headers, body, 3.0)
                    text = await answer.read()
                    seen = str(answer.status)
                except HttpError as error:
                    text, seen = b"", str(error)
                if seen != "200":
                    log.debug("not serving yet: %s %r", seen, text)
                    await asyncio.sleep(RETRY_PERIOD_S)
        client.close()

    def _chat_probe(self, chat: dict[str, Any]) -> bytes:
        return json.dumps({"model": self.deployment.engines.name, **chat}).encode()


def _lookup_path(deployment: Deployment) -> str:
    """Returns a path that the plain service answers without any effect."""
    plain = deployment.plain.name
    routes = deployment.nodes()[f"/service={plain}"]["routes"]
    harmless = next(route["path"] for route in routes if route["idempotent"])
    return f"/{plain}{harmless}/probe"
