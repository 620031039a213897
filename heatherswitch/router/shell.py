"""Wires the parts of the router program and stops them in order."""

import asyncio
import contextlib
import logging
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol

import grpc

from heatherswitch.fleet.config import FleetConfig
from heatherswitch.fleet.members import Member, MemberState, MemberTable, Role
from heatherswitch.protocol import heatherswitch_pb2_grpc as pb_grpc
from heatherswitch.router import events
from heatherswitch.router.callers import CallerFront
from heatherswitch.router.channels import MAX_MESSAGE_BYTES, AgentChannels
from heatherswitch.router.health import HealthPages
from heatherswitch.router.runner import RequestRunner
from heatherswitch.router.telemetry import Telemetry
from heatherswitch.util.clock import Clock
from heatherswitch.util.http import HttpLimits
from heatherswitch.util.http_server import HttpServer
from heatherswitch.util.metrics import Metrics

log = logging.getLogger("heatherswitch.router")

# Time between two looks at deadlines, in seconds.
TICK_S = 0.05
GRPC_SERVER_OPTIONS = (
    # A second process on the same port must fail instead of sharing the port.
    ("grpc.so_reuseport", 0),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
)


@dataclass(frozen=True, slots=True)
class RouterConfig:
    """The process's own settings, from flags and environment.

    Ports are 0 to pick a free one.

    :param peers: ``host:port`` of other routers' gRPC listeners.
    :param store: ``host:port`` of the store.
    :param drain_delay_s: seconds between a failing ``/readyz`` and the end of
        accepting, so that the load balancer notices.
    :param grace_s: seconds that running requests get after that.
    """

    router_id: str
    zone: str
    region: str = ""
    host: str = "127.0.0.1"
    caller_port: int = 0
    health_port: int = 0
    peer_port: int = 0
    peers: Sequence[str] = ()
    store: Sequence[str] = ()
    drain_delay_s: float = 5.0
    grace_s: float = 60.0
    caller_limits: HttpLimits = field(default_factory=HttpLimits)


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
        "_peer_port",
        "_runner",
        "_state",
        "_ticker",
    )

    def __init__(
        self, config: RouterConfig, node_factory: NodeFactory, metrics: Metrics
    ) -> None:
        self._config = config
        self._metrics = metrics
        self._clock = Clock()
        self._incarnation = time.time_ns()
        self._state = MemberState.STARTING
        self._peer_port = config.peer_port
        self._channels = AgentChannels()
        self._node = node_factory(
            own_record=self._own_record,
            peers=config.peers,
            on_config=self._on_config,
            on_members=self._on_members,
            clock=self._clock,
        )
        telemetry = Telemetry(metrics)
        self._runner = RequestRunner(self._node, self._channels, self._clock, telemetry)
        self._front = CallerFront(
            lambda: self._node.config,
            self._runner,
            self._clock,
            telemetry,
            lambda: self._node.ready,
            lambda: self._runner.stopping,
        )
        self._callers = HttpServer(self._front.handle, config.caller_limits)
        self._health = HttpServer(HealthPages(metrics, self._is_ready).handle)
        self._grpc: grpc.aio.Server | None = None
        self._ticker: asyncio.Task | None = None
        self._parts: list[Part] = []

    @classmethod
    def from_config(
        cls, config: RouterConfig, node_factory: NodeFactory | None = None
    ) -> "Router":
        """Builds a router.

        :param node_factory: builds the fleet state; ``FleetNode.from_config`` by
            default.
        """
        if node_factory is None:
            # Imported here so that tests of the router need no exchange.
            from heatherswitch.exchange.node import FleetNode

            node_factory = FleetNode.from_config
        return cls(config, node_factory, Metrics())

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
    def caller_port(self) -> int:
        """Port of the caller listener."""
        return self._callers.port

    @property
    def health_port(self) -> int:
        """Port of the metrics and health listener."""
        return self._health.port

    @property
    def peer_address(self) -> str:
        """``host:port`` of the gRPC listener."""
        return f"{self._config.host}:{self._peer_port}"

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
        await self._health.start(self._config.host, self._config.health_port)
        self._grpc = grpc.aio.server(options=GRPC_SERVER_OPTIONS)
        pb_grpc.add_PeerServicer_to_server(self._node.servicer(), self._grpc)
        address = f"{self._config.host}:{self._config.peer_port}"
        self._peer_port = self._grpc.add_insecure_port(address)
        await self._grpc.start()
        self._state = MemberState.LIVE
        await self._node.start()
        for part in self._parts:
            await part.start()
        self._ticker = asyncio.create_task(self._tick())
        await self._callers.start(self._config.host, self._config.caller_port)
        log.info("router started", extra={"caller_port": self.caller_port})

    async def stop(self) -> None:
        """Shuts down gracefully: no accepted request is interrupted in the grace.

        A repeated call returns at once.
        """
        if self._runner.stopping:
            return
        now = self._clock.now()
        serve_until = now + self._config.drain_delay_s
        self._runner.post(events.StopRequested(now, serve_until))
        self._state = MemberState.LEAVING
        with contextlib.suppress(Exception):
            await self._node.exchange_now()
        await asyncio.sleep(max(0.0, serve_until - self._clock.now()))
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
            id=self._config.router_id,
            role=Role.ROUTER,
            zone=self._config.zone,
            region=self._config.region,
            address=self.peer_address,
            incarnation=self._incarnation,
            state=self._state,
        )

    def _is_ready(self) -> bool:
        return self._node.ready and not self._runner.stopping

    def _on_config(self, entries: Sequence[Any]) -> None:
        self._runner.post(events.ConfigChanged(self._clock.now()))

    def _on_members(self) -> None:
        self._channels.keep_only({member.id for member in self._node.members})
        self._runner.post(events.MembersChanged(self._clock.now()))

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            try:
                self._runner.tick()
            except Exception:
                log.exception("tick failed")
