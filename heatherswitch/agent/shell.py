"""The agent process: connects listeners, fleet node, journal and backend server."""

import asyncio
import logging
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

import grpc

from heatherswitch.agent import events as ev
from heatherswitch.agent.backend import BackendClient
from heatherswitch.agent.claim_adapter import ClaimAdapter, Journal
from heatherswitch.agent.metrics import AgentMetrics
from heatherswitch.agent.request_policy import Identity
from heatherswitch.agent.runner import AgentRunner
from heatherswitch.agent.service import AgentService
from heatherswitch.agent.version_pool import (
    ServiceLoadReader,
    claim_owner_candidates,
    rank_in_version,
)
from heatherswitch.fleet.config import FleetConfig
from heatherswitch.fleet.members import Member, MemberState, MemberTable, Role
from heatherswitch.protocol import heatherswitch_pb2_grpc as pb_grpc
from heatherswitch.util.clock import Clock
from heatherswitch.util.http import STATUS_LIMITS, Request
from heatherswitch.util.http_server import HttpServer, Responder
from heatherswitch.util.transport import Transport, TransportConfig, TransportError

log = logging.getLogger("heatherswitch.agent")

# Interval of checks of deadlines and resume windows, in seconds.
TICK_S = 0.05
# Interval of probes of the backend server, in seconds.
PROBE_INTERVAL_S = 1.0
# Largest gRPC message: the largest body that the settings allow, and its headers.
MAX_MESSAGE_BYTES = 65 * 1024 * 1024
GRPC_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.so_reuseport", 0),
    ("grpc.enable_http_proxy", 0),
)
ANY_PORT = "127.0.0.1:0"
# Timeout of one store call, in seconds.
STORE_TIMEOUT_S = 2.0
# Time that open event streams get to end after the last job ended, in seconds.
STREAM_TIMEOUT_S = 5.0
# Timeout of each other shutdown step, such as releasing the partitions, in seconds.
SHUTDOWN_STEP_TIMEOUT_S = 5.0


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
        """Announces the agent's record once more and ends the periodic exchange."""

    async def run_exchange(self) -> None:
        """Runs one exchange at once and waits for it."""


class AgentJournal(Journal, Protocol):
    """The part of ``agent.journal.ClaimJournal`` that the shell uses."""

    def on_config(self, config: FleetConfig) -> None:
        """Called after the configuration changed."""

    def on_members(self) -> None:
        """Called after the live agents changed."""

    async def release_all(self) -> None:
        """Releases all partitions at shutdown."""


@dataclass(frozen=True, slots=True)
class AgentConfig:
    """The agent's process settings, from flags and environment variables.

    Fields have the names of the flags. Listeners are ``host:port``; port 0 picks
    a free one.

    :param id: unique in the fleet.
    :param backend: ``host:port`` of the backend server.
    :param advertise: ``host:port`` that routers connect to; empty for the bound one.
    :param peers: ``host:port`` of the routers to contact first.
    :param store: ``host:port`` of the store's endpoints; empty for a service
        without claims.
    :param drain_delay_s: seconds that the listeners stay open after the last
        job has ended.
    :param drain_timeout_s: seconds that running jobs get after a shutdown request.
    :param log_level: unused here; the caller applies it before it builds the agent.
    :param ready_file: unused here; the caller writes it after the start.
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
        on_config=lambda entries: agent.on_config_changed(),
        on_members=agent.on_members_changed,
        on_pool_load=agent.on_pool_load,
        clock=agent.clock,
        transport=agent.transport,
    )
    node.set_exchange_extension(
        ServiceLoadReader(agent.config.service, agent.on_service_load)
    )
    return node


def open_journal(agent: "Agent") -> AgentJournal | None:
    """Builds the claim journal of an agent; returns None without a store."""
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
    """Returns the claim partition of an idempotency key."""
    from heatherswitch.fleet import partitions as rules

    return rules.partition_of(service, workspace, key, partitions)


class Agent:
    """The agent process of one backend server.

    :param node_factory: builds the fleet node, which tests replace.
    :param journal_factory: builds the claim journal; returns None without a store.
    :param partition: returns the claim partition of an idempotency key.
    """

    def __init__(
        self,
        config: AgentConfig,
        backend: BackendClient,
        node_factory: Callable[["Agent"], Node] = open_node,
        journal_factory: Callable[["Agent"], AgentJournal | None] = open_journal,
        partition: Callable[[str, str, str, int], int] = partition_of,
    ) -> None:
        self._config = config
        self._clock = Clock()
        self._incarnation = time.time_ns()
        self._transport = Transport.from_config(config.transport)
        self._backend = backend
        self._metrics = AgentMetrics()
        self._state = MemberState.STARTING
        self._reported_total = 0
        self._reported_running = 0
        self._tasks: list[asyncio.Task] = []
        self._server: grpc.aio.Server | None = None
        self._port = 0
        self._stop_task: asyncio.Task | None = None
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
            ClaimAdapter(self._journal, self._clock.now),
            self._metrics,
            self._clock.now,
            partition,
        )
        self._node = node_factory(self)
        self._runner.fetch_config = self._node.run_exchange
        self._http = HttpServer(self._handle_http, STATUS_LIMITS)

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
        """The agent's process settings."""
        return self._config

    @property
    def transport(self) -> Transport:
        """The transport for connections to other processes of the fleet."""
        return self._transport

    @property
    def clock(self) -> Clock:
        """The clock that all events take their time from."""
        return self._clock

    @property
    def incarnation(self) -> int:
        """Nanoseconds since the epoch when the agent was built."""
        return self._incarnation

    @property
    def runner(self) -> AgentRunner:
        """The runner, which passes events to the reducer."""
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
        """Returns the agent's record for the fleet and stores the load it reports."""
        record = self._member()
        self._reported_total = record.load.total
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

    def on_config_changed(self) -> None:
        """Makes the node's configuration effective once the node is ready."""
        if not self._node.ready:
            return
        self._runner.set_config(self._node.config)
        if self._state is MemberState.STARTING and self._port:
            self._state = MemberState.LIVE
        if self._journal is not None:
            self._journal.on_config(self._node.config)

    def on_members_changed(self) -> None:
        """Called after the members changed or the node became ready."""
        rank, agents = rank_in_version(self._node.members, self._member())
        self._runner.post(ev.VersionAgentsChanged(self._clock.now(), rank, agents))
        if not self._runner.reducer.configured:
            self.on_config_changed()
        elif self._journal is not None:
            self._journal.on_members()

    def live_agents(self) -> list[str]:
        """Returns the ids of the live agents that may own the service's partitions."""
        now = self._clock.now()
        own = self._member()
        return claim_owner_candidates(self._node.config, self._node.members, own, now)

    def on_pool_load(self, total: int, agents: int) -> None:
        """Called with the load of the agent's pool, which a router reported.

        :param total: running and queued requests of all agents of the pool.
        """
        own = min(self._reported_total, total)
        self._runner.post(ev.PoolLoadReported(self._clock.now(), total, agents, own))

    def on_service_load(self, total: int, agents: int) -> None:
        """Called with the load of the service, which a router reported.

        :param total: running requests of all versions.
        """
        own = min(self._reported_running, total)
        event = ev.ServiceLoadReported(self._clock.now(), total, agents, own)
        self._runner.post(event)

    async def start(self) -> None:
        """Binds the listeners and starts to serve requests.

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
        self.on_config_changed()
        self._tasks += [
            asyncio.create_task(self._run_periodically(TICK_S, self._tick)),
            asyncio.create_task(self._run_periodically(PROBE_INTERVAL_S, self._probe)),
        ]
        log.info("agent started", extra={"address": self.address})

    async def stop(self) -> None:
        """Shuts down gracefully; further calls wait for the first one to finish."""
        if self._stop_task is None:
            self._stop_task = asyncio.create_task(self._stop())
        await asyncio.shield(self._stop_task)

    async def _stop(self) -> None:
        self._state = MemberState.LEAVING
        self._runner.post(ev.StopRequested(self._clock.now()))
        await self._run_shutdown_step(
            "shutdown could not be announced to the fleet", self._node.run_exchange()
        )
        try:
            async with asyncio.timeout(self._config.drain_timeout_s):
                await self._runner.drain()
        except TimeoutError:
            log.error("requests were still running at the end of the drain timeout")
        if self._journal is not None:
            release = self._journal.release_all()
            await self._run_shutdown_step(
                "claim partitions could not be released", release
            )
        await asyncio.sleep(self._config.drain_delay_s)
        streams = self._server.stop(STREAM_TIMEOUT_S)
        await self._run_shutdown_step(
            "event streams did not end", streams, 2 * STREAM_TIMEOUT_S
        )
        await self._run_shutdown_step(
            "the exchange with the fleet could not be stopped", self._node.stop()
        )
        for task in self._tasks:
            task.cancel()
        self._runner.cancel_all()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._http.stop(grace_s=1.0)
        self._backend.close()
        log.info("agent stopped")

    async def _run_shutdown_step(
        self, failure_message: str, awaitable, timeout_s=SHUTDOWN_STEP_TIMEOUT_S
    ) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                await awaitable
        except Exception as error:
            log.warning(failure_message, extra={"error": repr(error)})

    async def _run_periodically(self, interval_s: float, callback) -> None:
        while True:
            await asyncio.sleep(interval_s)
            try:
                await callback()
            except Exception:
                log.exception("periodic task failed")

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
                ev.ServerLoadReported(
                    self._clock.now(), load.running, load.waiting, load.started_at
                )
            )

    async def _handle_http(self, request: Request, responder: Responder) -> None:
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
