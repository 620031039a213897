"""The gateway process: listeners, the reducer and what carries out its effects."""

import asyncio
import itertools
import logging
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

from heatherswitch.gateway import events as ev
from heatherswitch.gateway.limits import Limits
from heatherswitch.gateway.model import CallerRequest, RequestKind
from heatherswitch.gateway.peer_link import PeerLink
from heatherswitch.gateway.reducer import GatewayReducer
from heatherswitch.gateway.relay import Codec, Relay
from heatherswitch.gateway.rollouts import VersionMove
from heatherswitch.gateway.store_sync import Member, StoreSync
from heatherswitch.gateway.telemetry import Telemetry
from heatherswitch.gateway.upstream import AnswerHead, ConnectionPool
from heatherswitch.util.clock import Clock
from heatherswitch.util.http import HttpLimits, Request
from heatherswitch.util.http_server import HttpServer, Responder
from heatherswitch.util.metrics import Metrics

log = logging.getLogger("heatherswitch.gateway")

# Returns the newest move between versions of each service.
Moves = Callable[[], dict[str, VersionMove]]

# Seconds between two looks at waiting requests.
WAIT_TICK_S = 0.02
# Seconds between two rounds of housekeeping.
HOUSEKEEPING_S = 0.5
# Seconds in which changes of this gateway's counts are gathered for other gateways.
TELL_PEERS_S = 0.1
# Seconds after SIGTERM in which new connections are still served. The platform's
# balancer needs two missed checks, one second apart, to stop sending them.
LINGER_S = 2.5
# Decimal places of seconds in log lines.
LOG_DIGITS = 4


class GatewayCodec(Codec, Protocol):
    """Decodes callers' requests and speaks to backend servers."""

    def decode_request(self, request: Request) -> CallerRequest:
        """Reads the fields that decide where a request goes."""


@dataclass(frozen=True, slots=True)
class GatewayConfig:
    """Settings of one gateway.

    :param listen: ``host:port`` for callers.
    :param ready_listen: ``host:port`` for the balancer's status checks.
    :param store: ``host:port`` of the platform's store.
    :param peer_listen: ``host:port`` for datagrams of other gateways; empty to take
        none and decide alone.
    :param grace_s: seconds in which requests may end after SIGTERM.
    :param metrics_port: port of metrics and health on ``metrics_host``; -1 for none.
    """

    id: str
    zone: str
    regions: Mapping[str, str]
    listen: str
    ready_listen: str
    store: str
    peer_listen: str = ""
    grace_s: float = 7.0
    metrics_host: str = "127.0.0.1"
    metrics_port: int = -1
    limits: Limits = field(default_factory=Limits)
    http: HttpLimits = field(default_factory=HttpLimits)


class Gateway:
    """Routes callers' requests straight to backend servers.

    :param follow: follows the store with a :class:`StoreSync` until cancelled and keeps
        this gateway on the list of live ones.
    """

    __slots__ = (
        "_callers",
        "_clock",
        "_codec",
        "_config",
        "_follow",
        "_mailboxes",
        "_peers",
        "_member",
        "_metrics",
        "_metrics_server",
        "_pool",
        "_ready_server",
        "_reducer",
        "_serials",
        "_stopping",
        "_tasks",
        "_telemetry",
        "_version",
    )

    def __init__(
        self,
        config: GatewayConfig,
        clock: Clock,
        codec: GatewayCodec,
        follow: Callable[[StoreSync, Member, Moves], Any],
    ) -> None:
        self._config = config
        self._clock = clock
        self._codec = codec
        self._follow = follow
        # A gateway that starts again is another member of the fleet.
        self._member = f"{config.id}-{random.getrandbits(32):08x}"
        self._reducer = GatewayReducer(
            clock.now(), self._member, config.zone, dict(config.regions), config.limits
        )
        self._pool = ConnectionPool()
        self._metrics = Metrics()
        self._telemetry = Telemetry(self._metrics)
        self._peers = PeerLink(self._apply, self._metrics)
        self._callers = HttpServer(self._handle, config.http)
        self._ready_server = HttpServer(self._handle_ready)
        self._metrics_server: HttpServer | None = None
        # Requests that wait for an effect of the reducer, by serial number.
        self._mailboxes: dict[int, asyncio.Future] = {}
        self._serials = itertools.count(1)
        self._tasks: list[asyncio.Task] = []
        self._stopping = False
        self._version = 0

    @property
    def addresses(self) -> Mapping[str, str]:
        """Listener name to the ``host:port`` that is bound."""
        host = self._config.listen.rpartition(":")[0]
        ready_host = self._config.ready_listen.rpartition(":")[0]
        return {
            "callers": f"{host}:{self._callers.port}",
            "ready": f"{ready_host}:{self._ready_server.port}",
        }

    @property
    def ready(self) -> bool:
        """True when callers should be sent here."""
        return not self._stopping and self._reducer.ready(self._clock.now())

    @property
    def zones_out(self) -> frozenset[str]:
        """Zones whose backend servers get no new work."""
        return self._reducer.zones_out

    def knows(self, server_id: str) -> bool:
        """Tells whether the gateway would send work to a backend server."""
        return self._reducer.server_accepts_work(self._clock.now(), server_id)

    async def start(self) -> None:
        """Binds the listeners and starts to follow the store."""
        await _bind(self._callers, self._config.listen)
        await _bind(self._ready_server, self._config.ready_listen)
        if self._config.metrics_port >= 0:
            from heatherswitch.router.health import HealthPages

            pages = HealthPages(self._metrics, lambda: self.ready)
            self._metrics_server = HttpServer(pages.handle)
            await self._metrics_server.start(
                self._config.metrics_host, self._config.metrics_port
            )
        if self._config.peer_listen:
            host, _, port = self._config.peer_listen.rpartition(":")
            await self._peers.bind(host, int(port))
        sync = StoreSync(self._clock, self._apply, self._config.limits.timing.outage_s)
        member = Member(self._member, self._peers.address)
        self._tasks = [
            asyncio.create_task(
                self._follow(sync, member, lambda: self._reducer.moves)
            ),
            asyncio.create_task(self._keep_house()),
            asyncio.create_task(self._serve_waiting()),
        ]
        if self._config.peer_listen:
            self._tasks.append(asyncio.create_task(self._tell_peers()))
        log.info("gateway started", extra={"addresses": dict(self.addresses)})

    async def stop(self) -> None:
        """Lets the balancer take this gateway out, then lets requests end."""
        self._stopping = True
        log.info("gateway stops", extra={"pending": self._reducer.pending_count})
        self._callers.draining = True
        linger_s = min(LINGER_S, self._config.grace_s / 2)
        await asyncio.sleep(linger_s)
        await self._callers.stop(self._config.grace_s - linger_s)
        await self.close()
        log.info("gateway stopped", extra={"pending": self._reducer.pending_count})

    async def close(self) -> None:
        """Closes what is open at once."""
        await self._callers.stop(0)
        await self._ready_server.stop(0)
        if self._metrics_server is not None:
            await self._metrics_server.stop(0)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._peers.close()
        self._pool.close()

    async def _handle_ready(self, request: Request, responder: Responder) -> None:
        await responder.send(200 if self.ready else 503)

    # Events and effects

    def _apply(self, event: ev.Event) -> None:
        """Gives an event to the reducer and hands its effects to their requests."""
        for effect in self._reducer.apply(self._clock.now(), event):
            if isinstance(effect, ev.PeerEffect):
                self._peers.carry_out(effect)
                continue
            mailbox = self._mailboxes.get(effect.serial)
            if mailbox is not None and not mailbox.done():
                mailbox.set_result(effect)
        if isinstance(event, ev.ConfigurationRead):
            self._on_configuration()

    def _on_configuration(self) -> None:
        current = self._reducer.configuration
        if current.version == self._version:
            return
        self._version = current.version
        limits = current.configuration.caller_limits
        known = self._callers.limits
        self._callers.limits = HttpLimits(
            limits.head_bytes,
            limits.body_bytes,
            known.connections,
            limits.idle_timeout_s,
            limits.head_timeout_s,
            known.read_timeout_s,
        )
        log.info(
            "configuration in force",
            extra={
                "version": current.version,
                "routes": len(current.configuration.routes),
                "keys": len(current.configuration.api_keys),
            },
        )

    async def _submit(self, serial: int, event: ev.Event) -> ev.Effect:
        """Gives an event to the reducer and waits for the effect on its request."""
        mailbox = asyncio.get_running_loop().create_future()
        self._mailboxes[serial] = mailbox
        self._apply(event)
        return await mailbox

    # Requests

    async def _handle(self, request: Request, responder: Responder) -> None:
        asked = self._codec.decode_request(request)
        serial = next(self._serials)
        relay = Relay(
            self._codec,
            self._pool,
            self._clock.now,
            request,
            asked.id,
            responder,
            lambda forward, head, first_s: self._on_started(
                serial, forward, head, first_s
            ),
        )
        arrived_at = self._clock.now()
        event: ev.Event = ev.RequestArrived(serial, asked)
        finished = False
        try:
            while not finished:
                effect = await self._submit(serial, event)
                if isinstance(effect, ev.Forward):
                    self._log_forward(asked, effect)
                    outcome = await self._attempt(relay, effect)
                    self._log_outcome(asked, effect, outcome)
                    event = ev.AttemptEnded(serial, outcome)
                elif isinstance(effect, ev.QueryLoad | ev.QueryHolder):
                    event = await self._peers.ask(effect)
                else:
                    await self._end(relay, responder, asked, effect, arrived_at)
                    finished = True
        finally:
            del self._mailboxes[serial]
            if not finished:
                self._apply(ev.CallerDisconnected(serial))
                self._telemetry.caller_left()
                log.info(
                    "request not finished: the caller left",
                    extra={"request": asked.id, "after_s": self._since(arrived_at)},
                )

    def _on_started(
        self, serial: int, forward: ev.Forward, head: AnswerHead, first_s: float
    ) -> None:
        self._telemetry.started(forward, first_s)
        success = head.status < 300
        self._apply(
            ev.ResponseStarted(serial, head.load, first_s, success, head.cold_s)
        )

    async def _attempt(self, relay: Relay, forward: ev.Forward) -> ev.Outcome:
        """Runs an attempt; one that may run only once outlives its caller."""
        if forward.route.kind is not RequestKind.NON_IDEMPOTENT:
            return await relay.attempt(forward)
        task = asyncio.create_task(relay.attempt(forward))
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            relay.discard()
            raise

    async def _end(self, relay, responder, asked, effect, arrived_at: float) -> None:
        """Gives the caller its final answer."""
        status = 0
        match effect:
            case ev.Refuse():
                status = effect.status
                headers = []
                if effect.retry_after_s is not None:
                    headers.append(("Retry-After", f"{effect.retry_after_s:g}"))
                await responder.send(status, b"", headers)
            case ev.Relay():
                await relay.deliver_held()
            case ev.Cut():
                raise ConnectionAbortedError(effect.reason)
            case ev.Finish():
                pass
        total_s = self._clock.now() - arrived_at
        self._telemetry.ended(effect, status, total_s)
        log.info(
            "request ended",
            extra={
                "request": asked.id,
                "effect": type(effect).__name__,
                "status": status,
                "reason": getattr(effect, "reason", ""),
                "configuration": self._version,
                "configuration_age_s": round(
                    self._reducer.configuration.age_s(self._clock.now()), 2
                ),
                "after_s": round(total_s, LOG_DIGITS),
            },
        )

    def _since(self, at: float) -> float:
        return round(self._clock.now() - at, LOG_DIGITS)

    def _log_forward(self, asked: CallerRequest, forward: ev.Forward) -> None:
        self._telemetry.forwarded(forward)
        log.info(
            "request forwarded",
            extra={
                "request": asked.id,
                "route": forward.route.name,
                "server": forward.server.id,
                "copy_from": forward.copy_source.id if forward.copy_source else "",
                "reason": forward.reason,
                "prompt": ",".join(f"{p.id}:{p.tokens}" for p in asked.prompt_parts),
                "time_left_s": round(
                    forward.deadline_at - self._clock.now(), LOG_DIGITS
                ),
            },
        )

    def _log_outcome(self, asked, forward: ev.Forward, outcome: ev.Outcome) -> None:
        if isinstance(outcome, ev.Completed):
            return
        self._telemetry.failed(forward, outcome)
        log.info(
            "attempt failed",
            extra={
                "request": asked.id,
                "server": forward.server.id,
                "outcome": repr(outcome),
            },
        )

    # Background work

    async def _serve_waiting(self) -> None:
        while True:
            await asyncio.sleep(WAIT_TICK_S if self._reducer.waiting_count else 0.1)
            if self._reducer.waiting_count:
                self._apply(ev.Tick())

    async def _tell_peers(self) -> None:
        while True:
            await asyncio.sleep(TELL_PEERS_S)
            self._apply(ev.PeerFlushDue())

    async def _keep_house(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_S)
            self._apply(ev.Tick())
            now = self._clock.now()
            self._pool.expire(now)
            self._telemetry.state(now, self._reducer, self._pool)
            # Callers on open connections do not see the status checks fail.
            self._callers.draining = not self.ready


async def _bind(server: HttpServer, address: str) -> None:
    host, _, port = address.rpartition(":")
    await server.start(host, int(port))
