"""Wires the parts of the router program and stops them in order."""

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
from heatherswitch.router.runner import RequestRunner
from heatherswitch.router.telemetry import Telemetry
from heatherswitch.util.clock import Clock
from heatherswitch.util.http import HttpLimits
from heatherswitch.util.http_server import HttpServer
from heatherswitch.util.metrics import Metrics
from heatherswitch.util.transport import Transport, TransportConfig

log = logging.getLogger("heatherswitch.router")

# Time between two looks at deadlines, in seconds.
TICK_S = 0.05
# New requests are refused this long after the drain delay, in seconds.
SERVE_AFTER_DRAIN_S = 1.0
ANY_PORT = "127.0.0.1:0"
GRPC_SERVER_OPTIONS = (
    # A second process on the same port must fail instead of sharing the port.
    ("grpc.so_reuseport", 0),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
)


@dataclass(frozen=True, slots=True)
class RouterConfig:
    """The process's own settings, from flags and environment.

    Fields have the names of the flags. Listeners are ``host:port``; port 0 picks
    a free one.

    :param listen: listener for callers.
    :param store: ``host:port`` of the store's endpoints.
    :param peers: ``host:port`` of other routers' gRPC listeners.
    :param advertise: ``host:port`` that peers connect to; empty for the bound one.
    :param operator_token: bearer token of operators; an empty one refuses all.
    :param drain_delay_s: seconds between a failing ``/readyz`` and the end of
        accepting, so that the load balancer notices.
    :param grace_s: seconds that running requests get after that.
    :param version_test: how starting versions are judged, a name in
        ``version_monitor.VERSION_TESTS``.
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
    caller_limits: HttpLimits = field(default_factory=HttpLimits)
    transport: TransportConfig = TransportConfig()
    version_test: str = "sequential"
    log_level: str = "info"
    ready_file: str = ""


class Node(Protocol):
    """What the router needs of ``exchange.node.FleetNode``."""

    @property
    def config(self) -> FleetConfig:
        """The configuration in force."""

    @property
    def members(self) -> MemberTable:
        """The other members that are known."""

    @property
    def ready(self) -> bool:
        """True once the configuration is recent enough to serve."""

    def servicer(self) -> Any:
        """Returns the gRPC ``Peer`` service of this process."""

    async def start(self) -> None:
        """Starts the periodic exchange."""

    async def stop(self) -> None:
        """Announces the own record once more, then ends the exchange."""

    async def exchange_now(self) -> None:
        """Runs one exchange at once."""


class Part(Protocol):
    """A further task of the program, for example the store feed."""

    @property
    def addresses(self) -> Mapping[str, str]:
        """Listener name to the ``host:port`` that is bound."""

    async def start(self) -> None:
        """Starts the part."""

    async def stop(self) -> None:
        """Stops the part."""


# Called with the keyword arguments of ``FleetNode.from_config``.
NodeFactory = Callable[..., Node]


class Router:
    """The router program."""

    __slots__ = (
        "_channels",
        "_clock",
        "_config",
        "_front",
        "_callers",
        "_grpc",
        "_health",
        "_incarnation",
        "_metrics",
        "_node",
        "_parts",
        "_peer_address",
        "_runner",
        "_state",
        "_ticker",
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
        self._front = CallerApi(
            lambda: self._node.config,
            self._runner,
            self._clock,
            telemetry,
            lambda: self._node.ready,
            lambda: self._runner.stopping,
        )
        self._callers = HttpServer(self._front.handle, config.caller_limits)
        self._health = HttpServer(HealthEndpoints(metrics, self._is_ready).handle)
        self._grpc: grpc.aio.Server | None = None
        self._ticker: asyncio.Task | None = None
        self._parts: list[Part] = []

    @classmethod
    def from_config(
        cls, config: RouterConfig, node_factory: NodeFactory | None = None
    ) -> "Router":
        """Builds a router.

        :param node_factory: builds the fleet state. By default it is
            ``FleetNode.from_config``, with the parts that need the store.
        """
        if node_factory is not None:
            return cls(config, node_factory, Metrics())
        # Imported here so that tests of the router need neither exchange nor store.
        from heatherswitch.exchange.node import FleetNode
        from heatherswitch.router.control import ControlParts

        router = cls(config, FleetNode.from_config, Metrics())
        if config.store:
            parts = ControlParts.from_config(
                config, router.node, router.runner, router.clock
            )
            router.add_part(parts)
        return router

    @property
    def node(self) -> Node:
        """The fleet state of this process."""
        return self._node

    @property
    def runner(self) -> RequestRunner:
        """Runs requests; receives events of other parts of the program."""
        return self._runner

    @property
    def metrics(self) -> Metrics:
        """The metrics of this process."""
        return self._metrics

    @property
    def addresses(self) -> Mapping[str, str]:
        """Listener name to the ``host:port`` that is bound."""
        bound = {
            "caller": _bound(self._config.listen, self._callers.port),
            "metrics": _bound(self._config.metrics_listen, self._health.port),
            "peer": self._peer_address,
        }
        for part in self._parts:
            bound.update(part.addresses)
        return bound

    @property
    def clock(self) -> Clock:
        """The clock of this process."""
        return self._clock

    def add_part(self, part: Part) -> None:
        """Adds a part that starts before callers are served.

        Parts stop in reverse order once no request runs.
        """
        self._parts.append(part)

    async def start(self) -> None:
        """Opens the listeners and joins the fleet."""
        config = self._config
        await self._health.start(*_host_port(config.metrics_listen))
        self._grpc = self._transport.server(GRPC_SERVER_OPTIONS)
        pb_grpc.add_PeerServicer_to_server(self._node.servicer(), self._grpc)
        port = self._transport.bind(self._grpc, config.peer_listen)
        self._peer_address = _bound(config.peer_listen, port)
        await self._grpc.start()
        self._state = MemberState.LIVE
        await self._node.start()
        for part in self._parts:
            await part.start()
        self._ticker = asyncio.create_task(self._tick())
        await self._callers.start(*_host_port(config.listen))
        log.info("router started", extra={"addresses": dict(self.addresses)})

    async def stop(self) -> None:
        """Shuts down gracefully: no accepted request is interrupted in the grace.

        A repeated call returns at once.
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
            await self._node.exchange_now()
        await asyncio.sleep(max(0.0, drained_at - self._clock.now()))
        await self._callers.stop(self._config.grace_s)
        if self._ticker is not None:
            self._ticker.cancel()
        for part in reversed(self._parts):
            await part.stop()
        await self._node.stop()
        await self._channels.close()
        if self._grpc is not None:
            await self._grpc.stop(1.0)
        await self._health.stop(1.0)
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
                log.exception("tick failed")


def _host_port(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def _bound(address: str, port: int) -> str:
    return f"{_host_port(address)[0]}:{port}"
