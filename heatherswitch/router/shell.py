"""Builds, starts and stops the router program."""

import asyncio
import contextlib
import logging
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol

import grpc

from heatherswitch.fleet.config import FleetConfig
from heatherswitch.fleet.members import Member, MemberState, MemberTable, Role
from heatherswitch.protocol import heatherswitch_pb2_grpc as pb_grpc
from heatherswitch.router import events
from heatherswitch.router.callers import CallerApi
from heatherswitch.router.channels import MAX_MESSAGE_BYTES, AgentChannels
from heatherswitch.router.health import HealthEndpoints
from heatherswitch.router.memory import DEFAULT_MEMORY_MB, caller_limits
from heatherswitch.router.runner import RequestRunner
from heatherswitch.router.telemetry import Telemetry
from heatherswitch.util.clock import Clock
from heatherswitch.util.http import STATUS_LIMITS, HttpLimits
from heatherswitch.util.http_server import HttpServer
from heatherswitch.util.metrics import Metrics, report_budget
from heatherswitch.util.transport import Transport, TransportConfig

log = logging.getLogger("heatherswitch.router")

# Interval of the reducer's ticks, in seconds; deadlines are accurate to this.
TICK_S = 0.05
# Requests are still served this long after the drain delay, since some may arrive while
# the listener closes.
SERVE_AFTER_DRAIN_S = 1.0
ANY_PORT = "127.0.0.1:0"
GRPC_SERVER_OPTIONS = (
    # A second process must fail to bind the port instead of sharing it.
    ("grpc.so_reuseport", 0),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
)
# Seconds before the end of the grace period at which running requests get their final
# response, so that it still reaches their callers.
FINAL_RESPONSE_S = 0.2


@dataclass(frozen=True, slots=True)
class RouterConfig:
    """Settings of the process, from command line flags and environment.

    Fields are named like the flags. Listeners are ``host:port``; port 0 picks a free
    port.

    :param listen: listener for callers.
    :param store: ``host:port`` of the store's endpoints.
    :param peers: ``host:port`` of other routers' gRPC listeners.
    :param advertise: ``host:port`` that peers connect to; empty for the bound one.
    :param operator_token: bearer token of operators; if empty, all operator requests
        are rejected.
    :param drain_delay_s: at shutdown, seconds from the failure of ``/readyz`` until the
        listener closes, so that the load balancer can react.
    :param grace_s: seconds for running requests to finish after that.
    :param version_test: statistical test of starting versions, a key of
        ``version_monitor.VERSION_TESTS``.
    :param memory_mb: memory that the process may use, in megabytes.
    :param log_level: used before the router is built.
    :param ready_file: used after the router has started.
    """

    id: str
    zone: str
    region: str = ""
    listen: str = ANY_PORT
    operator_listen: str = ANY_PORT
    metrics_listen: str = ANY_PORT
    peer_listen: str = ANY_PORT
    advertise: str = ""
    store: Sequence[str] = ()
    peers: Sequence[str] = ()
    operator_token: str = field(default="", repr=False)
    drain_delay_s: float = 5.0
    grace_s: float = 60.0
    caller_limits: HttpLimits | None = None
    transport: TransportConfig = TransportConfig()
    version_test: str = "sequential"
    memory_mb: float = DEFAULT_MEMORY_MB
    log_level: str = "info"
    ready_file: str = ""


class Node(Protocol):
    """The part of ``exchange.node.FleetNode`` that the router needs."""

    @property
    def config(self) -> FleetConfig:
        """The current configuration."""

    @property
    def members(self) -> MemberTable:
        """The known members of the fleet, without this process."""

    @property
    def ready(self) -> bool:
        """True once the configuration is recent enough to serve."""

    def servicer(self) -> Any:
        """Returns the gRPC ``Peer`` service of this process."""

    async def start(self) -> None:
        """Starts the periodic exchange."""

    async def stop(self) -> None:
        """Sends this process's record a last time, then ends the exchange."""

    async def run_exchange(self) -> None:
        """Runs one exchange at once."""


class Component(Protocol):
    """An additional component of the program, for example the control plane."""

    @property
    def addresses(self) -> Mapping[str, str]:
        """Bound ``host:port`` by listener name."""

    async def start(self) -> None:
        """Starts the component and its listeners."""

    async def stop(self) -> None:
        """Stops the component and waits for it."""


# Called with the keyword arguments of ``FleetNode.from_config``.
NodeFactory = Callable[..., Node]


class Router:
    """The router program."""

    __slots__ = (
        "_caller_api",
        "_caller_server",
        "_channels",
        "_clock",
        "_components",
        "_config",
        "_grpc_server",
        "_health_server",
        "_incarnation",
        "_metrics",
        "_node",
        "_peer_address",
        "_runner",
        "_state",
        "_tick_task",
        "_transport",
    )

    def __init__(
        self, config: RouterConfig, node_factory: NodeFactory, metrics: Metrics
    ) -> None:
        self._config = config
        self._metrics = metrics
        self._clock = Clock()
        self._incarnation = time.time_ns()
        self._state = MemberState.STARTING
        self._peer_address = config.peer_listen
        self._transport = Transport.from_config(config.transport)
        self._channels = AgentChannels(self._transport)
        self._node = node_factory(
            own_record=self._own_record,
            peers=config.peers,
            on_config=self._on_config,
            on_members=self._on_members,
            clock=self._clock,
            transport=self._transport,
        )
        telemetry = Telemetry(metrics)
        self._runner = RequestRunner(self._node, self._channels, self._clock, telemetry)
        self._caller_api = CallerApi(
            lambda: self._node.config,
            self._runner,
            self._clock,
            telemetry,
            lambda: self._node.ready,
            lambda: self._runner.stopping,
        )
        self._caller_server = HttpServer(
            self._caller_api.handle,
            config.caller_limits or caller_limits(config.memory_mb),
        )
        pages = HealthEndpoints(
            metrics,
            self._is_ready,
            lambda: report_budget(metrics, self._caller_server.budget),
        )
        self._health_server = HttpServer(pages.handle, STATUS_LIMITS)
        self._grpc_server: grpc.aio.Server | None = None
        self._tick_task: asyncio.Task | None = None
        self._components: list[Component] = []

    @classmethod
    def from_config(
        cls, config: RouterConfig, node_factory: NodeFactory | None = None
    ) -> "Router":
        """Builds a router.

        :param node_factory: builds the fleet node. By default it is
            ``FleetNode.from_config``, and the control plane is added if the
            configuration names a store.
        """
        if node_factory is not None:
            return cls(config, node_factory, Metrics())
        # Imported here so that tests of the router need neither exchange nor store.
        from heatherswitch.exchange.node import FleetNode
        from heatherswitch.router.control_plane import ControlPlane

        router = cls(config, FleetNode.from_config, Metrics())
        if config.store:
            control_plane = ControlPlane.from_config(
                config, router.node, router.runner, router.clock
            )
            router.add_component(control_plane)
        return router

    @property
    def node(self) -> Node:
        """The fleet node of this process."""
        return self._node

    @property
    def runner(self) -> RequestRunner:
        """The request runner, to which other components post events."""
        return self._runner

    @property
    def metrics(self) -> Metrics:
        """The metrics of this process."""
        return self._metrics

    @property
    def addresses(self) -> Mapping[str, str]:
        """Bound ``host:port`` by listener name."""
        bound = {
            "caller": _bound_address(self._config.listen, self._caller_server.port),
            "metrics": _bound_address(
                self._config.metrics_listen, self._health_server.port
            ),
            "peer": self._peer_address,
        }
        for component in self._components:
            bound.update(component.addresses)
        return bound

    @property
    def clock(self) -> Clock:
        """The clock of this process."""
        return self._clock

    def add_component(self, component: Component) -> None:
        """Adds a component that is started before callers are served.

        Components are stopped in reverse order, after all requests have ended.
        """
        self._components.append(component)

    async def start(self) -> None:
        """Opens the listeners and joins the fleet."""
        config = self._config
        await self._health_server.start(*_host_port(config.metrics_listen))
        self._grpc_server = self._transport.server(GRPC_SERVER_OPTIONS)
        pb_grpc.add_PeerServicer_to_server(self._node.servicer(), self._grpc_server)
        port = self._transport.bind(self._grpc_server, config.peer_listen)
        self._peer_address = _bound_address(config.peer_listen, port)
        await self._grpc_server.start()
        self._state = MemberState.LIVE
        await self._node.start()
        for component in self._components:
            await component.start()
        self._tick_task = asyncio.create_task(self._tick())
        await self._caller_server.start(*_host_port(config.listen))
        log.info("router started", extra={"addresses": dict(self.addresses)})

    async def stop(self) -> None:
        """Shuts down gracefully; running requests get ``grace_s`` to finish.

        A repeated call returns immediately.
        """
        if self._runner.stopping:
            return
        now = self._clock.now()
        drained_at = now + self._config.drain_delay_s
        # Requests that arrive while the listener closes are still served.
        serve_until = drained_at + SERVE_AFTER_DRAIN_S
        self._runner.post(events.StopRequested(now, serve_until))
        self._state = MemberState.LEAVING
        with contextlib.suppress(Exception):
            await self._node.run_exchange()
        await asyncio.sleep(max(0.0, drained_at - self._clock.now()))
        final_response = asyncio.get_running_loop().call_later(
            max(0.0, self._config.grace_s - FINAL_RESPONSE_S),
            lambda: self._runner.post(events.GraceEnding(self._clock.now())),
        )
        await self._caller_server.stop(self._config.grace_s)
        final_response.cancel()
        if self._tick_task is not None:
            self._tick_task.cancel()
        for component in reversed(self._components):
            await component.stop()
        await self._node.stop()
        await self._channels.close()
        if self._grpc_server is not None:
            await self._grpc_server.stop(1.0)
        await self._health_server.stop(1.0)
        log.info("router stopped")

    def _own_record(self) -> Member:
        return Member(
            id=self._config.id,
            role=Role.ROUTER,
            zone=self._config.zone,
            region=self._config.region,
            address=self._config.advertise or self._peer_address,
            incarnation=self._incarnation,
            state=self._state,
        )

    def _is_ready(self) -> bool:
        return self._node.ready and not self._runner.stopping

    def _on_config(self, entries: Sequence[Any]) -> None:
        name = "router_config_revision"
        doc = "Store revision of the newest configuration entry in force."
        self._metrics.gauge(name, doc, {}, self._node.config.revision)
        self._runner.post(events.ConfigChanged(self._clock.now()))

    def _on_members(self) -> None:
        self._runner.keep_only({member.id for member in self._node.members})
        self._runner.post(events.MembersChanged(self._clock.now()))

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            try:
                self._runner.tick()
            except Exception:
                log.exception("router tick failed")


def _host_port(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def _bound_address(address: str, port: int) -> str:
    return f"{_host_port(address)[0]}:{port}"
