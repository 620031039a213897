"""The agent program: wires listeners, fleet node, journal and backend server."""

import asyncio
import logging
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

import grpc

from heatherswitch.agent import events as ev
from heatherswitch.agent.backend import BackendClient
from heatherswitch.agent.claiming import Claims, Journal
from heatherswitch.agent.gate import Identity
from heatherswitch.agent.metrics import AgentMetrics
from heatherswitch.agent.runner import AgentRunner
from heatherswitch.agent.service import AgentService
from heatherswitch.agent.version_pool import (
    ServiceLoadReader,
    claim_agents,
    place_in_version,
)
from heatherswitch.fleet.config import FleetConfig
from heatherswitch.fleet.members import Member, MemberState, MemberTable, Role
from heatherswitch.protocol import heatherswitch_pb2_grpc as pb_grpc
from heatherswitch.util.clock import Clock
from heatherswitch.util.http import Request
from heatherswitch.util.http_server import HttpServer, Responder
from heatherswitch.util.transport import Transport, TransportConfig, TransportError

log = logging.getLogger("heatherswitch.agent")

# Time between two looks at deadlines and resume windows, in seconds.
TICK_S = 0.05
# Time between two probes of the backend server, in seconds.
PROBE_INTERVAL_S = 1.0
# Largest message: the largest body that settings allow, and its headers.
MAX_MESSAGE_BYTES = 65 * 1024 * 1024
GRPC_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.so_reuseport", 0),
    ("grpc.enable_http_proxy", 0),
)
ANY_PORT = "127.0.0.1:0"
# Time for one call of the store, in seconds.
STORE_TIMEOUT_S = 2.0
# Time for open event streams after the last work has ended, in seconds.
STREAM_GRACE_S = 5.0
# Time for the last exchange and the handover of partitions, in seconds.
GOODBYE_TIMEOUT_S = 5.0


class AgentError(Exception):
    """The agent cannot start."""


class Node(Protocol):
    """The part of ``exchange.node.FleetNode`` that the agent uses."""

    config: FleetConfig
    members: MemberTable
    ready: bool

    def servicer(self) -> Any:
        """Returns the gRPC ``Peer`` service."""

    async def start(self) -> None:
        """Starts the periodic exchange."""

    async def stop(self) -> None:
        """Ends the periodic exchange."""

    async def run_exchange(self) -> None:
        """Runs one exchange at once."""


class OwnedJournal(Journal, Protocol):
    """The part of ``agent.journal.ClaimJournal`` that the shell uses."""

    def on_config(self, config: FleetConfig) -> None:
        """Takes a changed configuration."""

    def on_members(self) -> None:
        """Takes a change of the live agents."""

    async def release_all(self) -> None:
        """Hands over the partitions."""


@dataclass(frozen=True, slots=True)
class AgentConfig:
    """The agent's own settings, from flags and environment.

    Fields have the names of the flags. Listeners are ``host:port``; port 0 picks
    a free one.

    :param id: unique in the fleet.
    :param backend: ``host:port`` of the backend server.
    :param advertise: ``host:port`` that routers connect to; empty for the bound one.
    :param peers: ``host:port`` of routers to start from.
    :param store: ``host:port`` of the store's endpoints; empty for a service
        without claims.
    :param drain_delay_s: seconds that the listeners stay open after the last
        work has ended.
    :param drain_timeout_s: time for running work after a stop was requested.
    :param log_level: used before the agent is built.
    :param ready_file: used after the agent has started.
    """

    id: str
    service: str
    version: str
    zone: str
    backend: str
    region: str = ""
    listen: str = ANY_PORT
    advertise: str = ""
    metrics_listen: str = ANY_PORT
    peers: Sequence[str] = ()
    store: Sequence[str] = ()
    drain_delay_s: float = 0.0
    drain_timeout_s: float = 600.0
    transport: TransportConfig = TransportConfig()
    log_level: str = "info"
    ready_file: str = ""


def open_node(agent: "Agent") -> Node:
    """Builds the fleet node of an agent."""
    from heatherswitch.exchange.node import FleetNode

    node = FleetNode.from_config(
        own_record=agent.own_record,
        peers=agent.config.peers,
        on_config=lambda entries: agent.config_changed(),
        on_members=agent.members_changed,
        on_pool_load=agent.pool_load,
        clock=agent.clock,
        transport=agent.transport,
    )
    node.set_exchange_extension(
        ServiceLoadReader(agent.config.service, agent.service_load)
    )
    return node


def open_journal(agent: "Agent") -> OwnedJournal | None:
    """Builds the claim journal of an agent; None without a store."""
    if not agent.config.store:
        return None
    from heatherswitch.agent.journal import ClaimJournal, JournalConfig
    from heatherswitch.statecore.store import StoreClient

    own = agent.config
    return ClaimJournal.from_config(
        JournalConfig(own.service, own.id, agent.incarnation),
        StoreClient.from_addresses(list(own.store), timeout_s=STORE_TIMEOUT_S),
        agent.live_agents,
        agent.clock,
    )


def partition_of(service: str, workspace: str, key: str, partitions: int) -> int:
    """Returns the claim partition of a key."""
    from heatherswitch.fleet import partitions as rules

    return rules.partition_of(service, workspace, key, partitions)


class Agent:
    """One agent process."""

    def __init__(
        self,
        config: AgentConfig,
        backend: BackendClient,
        node_factory: Callable[["Agent"], Node] = open_node,
        journal_factory: Callable[["Agent"], OwnedJournal | None] = open_journal,
        partition: Callable[[str, str, str, int], int] = partition_of,
    ) -> None:
        self._config = config
        self._clock = Clock()
        self._incarnation = time.time_ns()
        self._transport = Transport.from_config(config.transport)
        self._backend = backend
        self._metrics = AgentMetrics()
        self._state = MemberState.STARTING
        self._reported_own = 0
        self._reported_running = 0
        self._tasks: list[asyncio.Task] = []
        self._server: grpc.aio.Server | None = None
        self._port = 0
        self._stopping: asyncio.Task | None = None
        self._journal = journal_factory(self)
        identity = Identity(
            config.id,
            self._incarnation,
            config.service,
            config.version,
            config.zone,
        )
        self._runner = AgentRunner(
            identity,
            backend,
            Claims(self._journal, self._clock.now),
            self._metrics,
            self._clock.now,
            partition,
        )
        self._node = node_factory(self)
        self._runner.fetch_config = self._node.run_exchange
        self._http = HttpServer(self._on_http)

    @classmethod
    def from_config(cls, config: AgentConfig) -> "Agent":
        """Builds an agent with its backend client, fleet node and journal.

        :raises AgentError: if the backend address is invalid.
        """
        try:
            backend = BackendClient.from_address(config.backend)
        except ValueError as error:
            raise AgentError(f"backend {config.backend!r} is not host:port") from error
        return cls(config, backend)

    @property
    def config(self) -> AgentConfig:
        """The agent's own settings."""
        return self._config

    @property
    def transport(self) -> Transport:
        """Opens connections to other processes of the fleet."""
        return self._transport

    @property
    def clock(self) -> Clock:
        """The clock of all events."""
        return self._clock

    @property
    def incarnation(self) -> int:
        """Nanoseconds since the epoch when the agent was built."""
        return self._incarnation

    @property
    def runner(self) -> AgentRunner:
        """Runs the agent's decisions."""
        return self._runner

    @property
    def address(self) -> str:
        """``host:port`` of the listener for routers."""
        host = self._config.listen.rpartition(":")[0]
        return f"{host}:{self._port}"

    @property
    def addresses(self) -> Mapping[str, str]:
        """Listener name to the ``host:port`` that is bound."""
        host = self._config.metrics_listen.rpartition(":")[0]
        return {"peer": self.address, "metrics": f"{host}:{self._http.port}"}

    @property
    def metrics_port(self) -> int:
        """Port of the metrics and health listener."""
        return self._http.port

    def own_record(self) -> Member:
        """Returns the agent's record for the fleet, as it is reported."""
        record = self._member()
        self._reported_own = record.load.total
        self._reported_running = record.load.running
        return record

    def _member(self) -> Member:
        reducer = self._runner.reducer
        return Member(
            id=self._config.id,
            role=Role.AGENT,
            zone=self._config.zone,
            address=self._config.advertise or self.address,
            incarnation=self._incarnation,
            region=self._config.region,
            state=self._state,
            service=self._config.service,
            version=self._config.version,
            load=reducer.load,
            cold=reducer.cold,
        )

    def config_changed(self) -> None:
        """Puts the node's configuration in force once the node is ready."""
        if not self._node.ready:
            return
        self._runner.set_config(self._node.config)
        if self._state is MemberState.STARTING and self._port:
            self._state = MemberState.LIVE
        if self._journal is not None:
            self._journal.on_config(self._node.config)

    def members_changed(self) -> None:
        """Takes a change of the members, or the first readiness of the node."""
        rank, agents = place_in_version(self._node.members, self._member())
        self._runner.post(ev.VersionAgentsChanged(self._clock.now(), rank, agents))
        if not self._runner.reducer.configured:
            self.config_changed()
        elif self._journal is not None:
            self._journal.on_members()

    def live_agents(self) -> list[str]:
        """Returns the ids of the service's live agents that may own claims."""
        now = self._clock.now()
        own = self._member()
        return claim_agents(self._node.config, self._node.members, own, now)

    def pool_load(self, total: int, agents: int) -> None:
        """Takes the load of the agent's pool from a home router."""
        own = min(self._reported_own, total)
        self._runner.post(ev.PoolMeanReported(self._clock.now(), total, agents, own))

    def service_load(self, total: int, agents: int) -> None:
        """Takes the running requests of all versions from a home router."""
        own = min(self._reported_running, total)
        event = ev.ServiceLoadReported(self._clock.now(), total, agents, own)
        self._runner.post(event)

    async def start(self) -> None:
        """Binds the listeners and starts to take work.

        :raises AgentError: if a listener cannot be bound.
        """
        self._server = self._transport.server(GRPC_OPTIONS)
        service = AgentService(
            self._runner, self._config.id, self._incarnation, self._clock.now
        )
        pb_grpc.add_AgentServicer_to_server(service, self._server)
        pb_grpc.add_PeerServicer_to_server(self._node.servicer(), self._server)
        listen = self._config.listen
        metrics_host, _, metrics_port = self._config.metrics_listen.rpartition(":")
        try:
            self._port = self._transport.bind(self._server, listen)
            await self._http.start(metrics_host, int(metrics_port))
        except (OSError, TransportError) as error:
            raise AgentError(f"cannot listen on {listen}: {error}") from error
        await self._server.start()
        await self._probe()
        await self._node.start()
        self.config_changed()
        self._tasks += [
            asyncio.create_task(self._every(TICK_S, self._tick)),
            asyncio.create_task(self._every(PROBE_INTERVAL_S, self._probe)),
        ]
        log.info("agent started", extra={"address": self.address})

    async def stop(self) -> None:
        """Shuts down gracefully; a second call waits for the first."""
        if self._stopping is None:
            self._stopping = asyncio.create_task(self._stop())
        await asyncio.shield(self._stopping)

    async def _stop(self) -> None:
        self._state = MemberState.LEAVING
        self._runner.post(ev.StopRequested(self._clock.now()))
        await self._try("leaving was not announced", self._node.run_exchange())
        try:
            async with asyncio.timeout(self._config.drain_timeout_s):
                await self._runner.drain()
        except TimeoutError:
            log.error("work was still running at the end of the drain timeout")
        if self._journal is not None:
            handover = self._journal.release_all()
            await self._try("partitions were not handed over", handover)
        await asyncio.sleep(self._config.drain_delay_s)
        streams = self._server.stop(STREAM_GRACE_S)
        await self._try("streams did not end", streams, 2 * STREAM_GRACE_S)
        await self._try("the exchange did not end", self._node.stop())
        for task in self._tasks:
            task.cancel()
        self._runner.cancel_all()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._http.stop(grace_s=1.0)
        self._backend.close()
        log.info("agent stopped")

    async def _try(self, message: str, step, limit_s=GOODBYE_TIMEOUT_S) -> None:
        try:
            async with asyncio.timeout(limit_s):
                await step
        except Exception as error:
            log.warning(message, extra={"error": repr(error)})

    async def _every(self, interval_s: float, work) -> None:
        while True:
            await asyncio.sleep(interval_s)
            try:
                await work()
            except Exception:
                log.exception("periodic work failed")

    async def _tick(self) -> None:
        self._runner.tick()

    async def _probe(self) -> None:
        health = await self._backend.health()
        self._runner.post(
            ev.HealthReported(
                self._clock.now(), health.healthy, health.incarnation, health.started_at
            )
        )
        load = await self._backend.load() if health.healthy else None
        if load is not None:
            self._metrics.set_server_load(load)
            self._runner.post(
                ev.LoadReported(
                    self._clock.now(), load.running, load.waiting, load.started_at
                )
            )

    async def _on_http(self, request: Request, responder: Responder) -> None:
        reducer = self._runner.reducer
        if request.path == "/metrics":
            self._metrics.set_state(reducer.load, reducer.cold, reducer.backend_up)
            self._metrics.set_config_revision(self._node.config.revision)
            body, content_type = self._metrics.render()
            await responder.send(200, body, [("Content-Type", content_type)])
        elif request.path == "/livez":
            await responder.send_json(200, {"status": "alive"})
        elif request.path == "/readyz":
            ready = reducer.configured and reducer.backend_up and not reducer.leaving
            status = "ready" if ready else "not ready"
            await responder.send_json(200 if ready else 503, {"status": status})
        else:
            await responder.send_json(404, {"error": {"message": "no such path"}})
