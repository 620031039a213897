"""The gateway process: binds the listeners and executes the reducer's effects."""

import asyncio
import itertools
import logging
import random
import socket
from collections.abc import Callable, Coroutine, Mapping
from typing import Protocol

from heatherswitch.gateway import events as ev
from heatherswitch.gateway.crash_publisher import CrashOutbox
from heatherswitch.gateway.decision_log import DecisionLog
from heatherswitch.gateway.limits import Limits
from heatherswitch.gateway.membership import Member
from heatherswitch.gateway.model import CallerRequest, RequestKind
from heatherswitch.gateway.peer_link import PeerLink
from heatherswitch.gateway.quarantine_changes import (
    QuarantineChange,
    QuarantineEffect,
    ReportsWithdrawn,
)
from heatherswitch.gateway.reducer import GatewayReducer
from heatherswitch.gateway.relay import RequestRelay, ServerCodec
from heatherswitch.gateway.response_timing import ResponseTiming
from heatherswitch.gateway.rollouts import Rollout
from heatherswitch.gateway.store_sync import StoreSync
from heatherswitch.gateway.telemetry import Telemetry
from heatherswitch.gateway.upstream import ConnectionPool, ResponseHead
from heatherswitch.util.clock import Clock
from heatherswitch.util.http import (
    STATUS_LIMITS,
    BadRequest,
    HttpLimits,
    Request,
    RequestRefused,
)
from heatherswitch.util.http_server import HttpServer, Responder
from heatherswitch.util.listeners import bind_listener
from heatherswitch.util.metrics import Metrics, report_budget
from heatherswitch.util.record import Record
from heatherswitch.util.supervision import Supervisor

log = logging.getLogger("heatherswitch.gateway")

# Returns the latest rollout of each service, keyed by service name.
CurrentRollouts = Callable[[], dict[str, Rollout]]

# Follows the store until it is cancelled; see :class:`Gateway`.
FollowStore = Callable[
    [StoreSync, Member, CurrentRollouts, CrashOutbox, Supervisor], Coroutine
]

# Seconds between checks whether a queued request can be forwarded or has expired.
QUEUE_POLL_INTERVAL_S = 0.02
# Seconds between runs of the periodic cleanup.
HOUSEKEEPING_INTERVAL_S = 0.5
# Seconds over which changed request counts are batched before they are sent to the
# other gateways.
PEER_FLUSH_INTERVAL_S = 0.1
# Seconds after SIGTERM during which new connections are still accepted. The platform's
# load balancer stops sending them after two failed checks, one second apart.
DEREGISTRATION_DELAY_S = 2.5
# Seconds before the end of the grace period at which open requests get their final
# response, so that it still reaches their callers.
FINAL_RESPONSE_S = 0.2
# Seconds after the start for which callers wait for the first configuration. The store
# responds within milliseconds; if it is down, callers must be refused before they give
# up, the most hurried ones after a third of a deadline of one and a half seconds.
START_WAIT_S = 0.3
# Status that promises that a request was not run, and that a retry may be served.
NOT_RUN_STATUS = 503
# Smallest value of Retry-After, in seconds. Smaller ones would need an exponent.
MIN_RETRY_AFTER_S = 0.001


class GatewayCodec(ServerCodec, Protocol):
    """Decodes callers' requests and translates HTTP to and from backend servers."""

    def decode_request(self, request: Request) -> CallerRequest:
        """Returns the fields of a request that routing depends on."""


class GatewayConfig(Record):
    """Settings of one gateway.

    :param listen: ``host:port`` on which callers' requests are accepted.
    :param ready_listen: ``host:port`` for the load balancer's readiness checks.
    :param store: ``host:port`` of the platform's store.
    :param peer_listen: ``host:port`` for datagrams from other gateways; empty to
        exchange none and route on local knowledge only.
    :param grace_s: seconds after SIGTERM within which open requests may finish.
    :param metrics_port: port of the metrics and health pages on ``metrics_host``; -1
        to serve none.
    """

    __slots__ = (
        "id",
        "zone",
        "regions",
        "listen",
        "ready_listen",
        "store",
        "peer_listen",
        "grace_s",
        "metrics_host",
        "metrics_port",
        "limits",
        "http",
    )

    def __init__(
        self,
        id: str,
        zone: str,
        regions: Mapping[str, str],
        listen: str,
        ready_listen: str,
        store: str,
        peer_listen: str = "",
        grace_s: float = 7.0,
        metrics_host: str = "127.0.0.1",
        metrics_port: int = -1,
        limits: Limits | None = None,
        http: HttpLimits | None = None,
    ) -> None:
        self.id = id
        self.zone = zone
        self.regions = regions
        self.listen = listen
        self.ready_listen = ready_listen
        self.store = store
        self.peer_listen = peer_listen
        self.grace_s = grace_s
        self.metrics_host = metrics_host
        self.metrics_port = metrics_port
        self.limits = limits if limits is not None else Limits()
        self.http = http if http is not None else HttpLimits()


class AttemptReplaced(Exception):
    """The reducer ended a stalled attempt.

    :ivar outcome: outcome of the attempt.
    :ivar effect: the reducer's next effect for the request.
    """

    def __init__(self, outcome: ev.Broken, effect: ev.Effect) -> None:
        super().__init__("the attempt was replaced")
        self.outcome = outcome
        self.effect = effect


class Gateway:
    """Accepts callers' requests and forwards them to backend servers.

    :param follow_store: coroutine function that runs until it is cancelled: it feeds the
        :class:`StoreSync` from the store and keeps this gateway registered as live.
    :param listeners: listening sockets that are already bound, by ``host:port``; the
        others are bound by :meth:`start`.
    """

    __slots__ = (
        "_caller_server",
        "_clock",
        "_codec",
        "_config",
        "_configuration_version",
        "_configured",
        "_crash_outbox",
        "_decisions",
        "_effect_futures",
        "_follow_store",
        "_listeners",
        "_member_id",
        "_metrics",
        "_metrics_server",
        "_peers",
        "_pool",
        "_ready_server",
        "_reducer",
        "_relays",
        "_serials",
        "_stopping",
        "_supervisor",
        "_tasks",
        "_telemetry",
    )

    def __init__(
        self,
        config: GatewayConfig,
        clock: Clock,
        codec: GatewayCodec,
        follow_store: FollowStore,
        listeners: Mapping[str, socket.socket] | None = None,
    ) -> None:
        self._config = config
        self._clock = clock
        self._codec = codec
        self._follow_store = follow_store
        # A restarted gateway registers as a new member of the fleet.
        self._member_id = f"{config.id}-{random.getrandbits(32):08x}"
        self._reducer = GatewayReducer(
            clock.now(),
            self._member_id,
            config.zone,
            dict(config.regions),
            config.limits,
        )
        self._pool = ConnectionPool()
        self._metrics = Metrics()
        self._telemetry = Telemetry(self._metrics)
        self._supervisor = Supervisor(self._metrics)
        self._decisions = DecisionLog(clock, self._reducer, self._telemetry)
        self._peers = PeerLink(self._apply, self._metrics)
        self._crash_outbox = CrashOutbox()
        self._caller_server = HttpServer(self._handle, config.http, self._screen)
        self._ready_server = HttpServer(self._handle_ready, STATUS_LIMITS)
        self._metrics_server: HttpServer | None = None
        # Futures of requests that wait for an effect of the reducer, by serial number.
        self._effect_futures: dict[int, asyncio.Future] = {}
        # Relays of the open requests, by serial number.
        self._relays: dict[int, RequestRelay] = {}
        self._serials = itertools.count(1)
        self._tasks: list[asyncio.Task] = []
        self._stopping = False
        self._configuration_version = 0
        # Set once a configuration and all entries that came with it were read.
        self._configured = asyncio.Event()
        self._listeners = dict(listeners or {})

    @property
    def addresses(self) -> Mapping[str, str]:
        """The bound ``host:port`` of each listener, by its name."""
        host = self._config.listen.rpartition(":")[0]
        ready_host = self._config.ready_listen.rpartition(":")[0]
        return {
            "callers": f"{host}:{self._caller_server.port}",
            "ready": f"{ready_host}:{self._ready_server.port}",
        }

    @property
    def ready(self) -> bool:
        """True while the load balancer should send callers to this gateway."""
        return not self._stopping and self._reducer.ready(self._clock.now())

    @property
    def zones_out(self) -> frozenset[str]:
        """Availability zones whose backend servers get no new requests."""
        return self._reducer.zones_out

    def routes_to(self, server_id: str) -> bool:
        """Returns True if a backend server may get new requests from this gateway."""
        return self._reducer.server_accepts_work(self._clock.now(), server_id)

    async def start(self) -> None:
        """Binds the listeners and starts the background tasks.

        Callers are served once a configuration was read, or after
        :data:`START_WAIT_S`. Until then their connections wait in the listen queue.
        """
        caller_listener = self._take_listener(self._config.listen)
        await self._ready_server.serve_listener(
            self._take_listener(self._config.ready_listen)
        )
        if self._config.metrics_port >= 0:
            from heatherswitch.router.health import HealthEndpoints

            pages = HealthEndpoints(
                self._metrics,
                lambda: self.ready,
                lambda: report_budget(self._metrics, self._caller_server.budget),
            )
            self._metrics_server = HttpServer(pages.handle, STATUS_LIMITS)
            await self._metrics_server.start(
                self._config.metrics_host, self._config.metrics_port
            )
        if self._config.peer_listen:
            host, _, port = self._config.peer_listen.rpartition(":")
            await self._peers.bind(host, int(port))
        timing = self._config.limits.timing
        sync = StoreSync(
            self._clock,
            self._apply,
            timing.outage_s,
            timing.watch_pause_s,
            timing.member_ttl_s,
        )
        member = Member(self._member_id, self._peers.address)
        self._tasks = [
            asyncio.create_task(
                self._follow_store(
                    sync,
                    member,
                    lambda: self._reducer.rollouts,
                    self._crash_outbox,
                    self._supervisor,
                )
            ),
            self._supervise("housekeeping", self._run_housekeeping),
            self._supervise("queue", self._poll_waiting_requests),
        ]
        if self._config.peer_listen:
            self._tasks.append(self._supervise("peer counts", self._flush_peer_counts))
        try:
            async with asyncio.timeout(START_WAIT_S):
                await self._configured.wait()
        except TimeoutError:
            log.warning("no configuration yet; callers are refused until there is one")
        await self._caller_server.serve_listener(caller_listener)
        log.info("gateway started", extra={"addresses": dict(self.addresses)})

    def _supervise(self, name: str, start: Callable[[], Coroutine]) -> asyncio.Task:
        return asyncio.create_task(self._supervisor.run(name, start))

    def _take_listener(self, address: str) -> socket.socket:
        return self._listeners.pop(address, None) or bind_listener(address)

    async def stop(self) -> None:
        """Shuts down gracefully within ``grace_s``.

        New connections are accepted until the load balancer has noticed that the
        readiness check fails; then open requests may finish.
        """
        self._stopping = True
        log.info("gateway stopping", extra={"pending": self._reducer.pending_count})
        self._caller_server.draining = True
        deregistration_delay_s = min(DEREGISTRATION_DELAY_S, self._config.grace_s / 2)
        await asyncio.sleep(deregistration_delay_s)
        remaining_s = self._config.grace_s - deregistration_delay_s
        final_response = asyncio.get_running_loop().call_later(
            max(0.0, remaining_s - FINAL_RESPONSE_S), self._end_open_requests
        )
        await self._caller_server.stop(remaining_s)
        final_response.cancel()
        await self.close()
        log.info("gateway stopped", extra={"pending": self._reducer.pending_count})

    def _end_open_requests(self) -> None:
        """Gives each open request its final response.

        Otherwise their connections would be closed without one, and callers couldn't
        tell whether their requests have run.
        """
        self._apply(ev.GraceEnding())
        for relay in self._relays.values():
            relay.interrupt()

    async def close(self) -> None:
        """Closes all listeners and connections without waiting for open requests."""
        await self._caller_server.stop(0)
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
        """Passes an event to the reducer and dispatches the resulting effects."""
        for effect in self._reducer.apply(self._clock.now(), event):
            if isinstance(effect, ev.PeerEffect):
                self._peers.send_effect(effect)
                continue
            if isinstance(effect, ev.CrashEffect | QuarantineEffect):
                self._handle_crash_effect(effect)
                continue
            if isinstance(effect, ev.ServerEffect):
                self._decisions.log_server_change(effect)
                continue
            future = self._effect_futures.get(effect.serial)
            if future is not None and not future.done():
                future.set_result(effect)
        if isinstance(event, ev.ConfigurationRead) and event.configuration:
            self._apply_configured_limits()
        elif isinstance(event, ev.StoreConfirmed) and self._configuration_version:
            self._configured.set()
        elif isinstance(event, ev.StoreRestored):
            self._telemetry.count_restore()

    def _handle_crash_effect(self, effect: ev.CrashEffect | QuarantineEffect) -> None:
        """Logs the effect and publishes what other gateways need to know."""
        match effect:
            case ev.PublishCrash(report):
                self._telemetry.count_crash_report()
                silent = report.written_at != report.at
                message = (
                    "server fell silent and ended"
                    if silent
                    else "server broke off before any output"
                )
                log.info(message, extra=report.to_dict())
            case ev.RepublishCrashes(reports):
                log.info("crash reports written again", extra={"reports": len(reports)})
            case ev.PublishCleared(parts):
                log.info("suspected prompt parts completed", extra={"parts": parts})
            case QuarantineChange(added, released):
                log.warning(
                    "prompt quarantine changed",
                    extra={"added": dict(added), "released": released},
                )
                return
            case ReportsWithdrawn():
                log.info("server had not crashed", extra=effect.to_dict())
                return
        self._crash_outbox.add(effect)

    def _apply_configured_limits(self) -> None:
        current = self._reducer.configuration
        if current.version == self._configuration_version:
            return
        self._configuration_version = current.version
        limits = current.configuration.caller_limits
        self._caller_server.limits = self._caller_server.limits.replace(
            header_bytes=limits.head_bytes,
            body_bytes=limits.body_bytes,
            idle_timeout_s=limits.idle_timeout_s,
            head_timeout_s=limits.head_timeout_s,
        )
        log.info(
            "configuration applied",
            extra={
                "version": current.version,
                "routes": len(current.configuration.routes),
                "keys": len(current.configuration.api_keys),
            },
        )

    async def _submit(self, serial: int, event: ev.Event) -> ev.Effect:
        """Applies an event and returns the reducer's next effect for the request."""
        future = asyncio.get_running_loop().create_future()
        self._effect_futures[serial] = future
        self._apply(event)
        return await future

    # Requests

    def _screen(self, request: Request) -> None:
        """Rejects a request that can't be served, before its body is read.

        :raises BadRequest: if it will not be served.
        :raises RequestRefused: if it can't be served now.
        """
        caller_request = self._codec.decode_request(request)
        refusal = self._reducer.screen(self._clock.now(), caller_request)
        if refusal is None:
            return
        self._decisions.log_end(
            caller_request, refusal, refusal.status, 0.0, ResponseTiming()
        )
        if refusal.status != NOT_RUN_STATUS:
            raise BadRequest(refusal.status, refusal.reason)
        raise RequestRefused(refusal.reason, refusal.retry_after_s or 0.0)

    async def _handle(self, request: Request, responder: Responder) -> None:
        caller_request = self._codec.decode_request(request)
        serial = next(self._serials)
        relay = RequestRelay(
            self._codec,
            self._pool,
            self._clock.now,
            request,
            caller_request.id,
            responder,
            lambda forward, head, ttfb_s: self._on_response_started(
                serial, forward, head, ttfb_s
            ),
            lambda forward, stalled_s, outcome: self._on_stalled(
                serial, caller_request, forward, stalled_s, outcome
            ),
            lambda timing: self._apply(
                ev.StreamProgressed(
                    serial, timing.first_event_s, timing.event_interval_s
                )
            ),
            lambda forward, head: self._apply(
                ev.NoticeReceived(
                    forward.server, caller_request.id, head.leaving, head.busy_s
                )
            ),
        )
        self._relays[serial] = relay
        arrived_at = self._clock.now()
        finished = False
        try:
            arrival = ev.RequestArrived(serial, caller_request)
            effect = await self._submit(serial, arrival)
            while not finished:
                if isinstance(effect, ev.Forward):
                    effect = await self._forward(serial, relay, caller_request, effect)
                elif isinstance(effect, ev.QueryLoad | ev.QueryHolder):
                    reply = await self._peers.ask(effect)
                    effect = await self._submit(serial, reply)
                else:
                    # Breaking off raises, as it does when the caller has left.
                    finished = isinstance(effect, ev.Cut)
                    await self._send_final_response(
                        relay, responder, caller_request, effect, arrived_at
                    )
                    finished = True
        finally:
            del self._effect_futures[serial]
            del self._relays[serial]
            if not finished:
                self._apply(ev.CallerDisconnected(serial))
                total_s = self._clock.now() - arrived_at
                self._decisions.log_caller_left(caller_request, total_s, relay.timing)

    def _on_response_started(
        self, serial: int, forward: ev.Forward, head: ResponseHead, ttfb_s: float
    ) -> None:
        self._telemetry.observe_response_start(forward, ttfb_s)
        success = head.status < 300
        self._apply(ev.ResponseStarted(serial, head.load, ttfb_s, success, head.cold_s))

    def _on_stalled(
        self,
        serial: int,
        caller_request: CallerRequest,
        forward: ev.Forward,
        stalled_s: float,
        outcome: ev.Broken,
    ) -> None:
        """Lets the reducer decide whether to go on with a stalled attempt.

        :raises AttemptReplaced: if the attempt must end.
        """
        future = asyncio.get_running_loop().create_future()
        self._effect_futures[serial] = future
        self._apply(ev.AttemptStalled(serial, outcome))
        effect = future.result()
        self._decisions.log_stall(caller_request, forward, stalled_s, effect)
        if not isinstance(effect, ev.KeepWaiting):
            raise AttemptReplaced(outcome, effect)

    async def _forward(
        self, serial: int, relay: RequestRelay, caller_request, forward: ev.Forward
    ) -> ev.Effect:
        """Sends the request to one backend server and returns the next effect."""
        self._decisions.log_forward(caller_request, forward)
        try:
            outcome = await self._run_attempt(relay, forward)
        except AttemptReplaced as replaced:
            self._decisions.log_failure(caller_request, forward, replaced.outcome)
            return replaced.effect
        self._decisions.log_failure(caller_request, forward, outcome)
        return await self._submit(serial, ev.AttemptEnded(serial, outcome))

    async def _run_attempt(
        self, relay: RequestRelay, forward: ev.Forward
    ) -> ev.Outcome:
        """Sends the request to one backend server and returns the outcome.

        A non-idempotent request is not cancelled when the caller disconnects, since
        breaking it off would leave its outcome unknown.
        """
        if forward.route.kind is not RequestKind.NON_IDEMPOTENT:
            return await relay.attempt(forward)
        task = asyncio.create_task(relay.attempt(forward))
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            reservation = relay.discard()
            task.add_done_callback(lambda _: reservation.close())
            raise

    async def _send_final_response(
        self, relay, responder, caller_request, effect, arrived_at: float
    ) -> None:
        """Ends the request as the reducer decided, then logs and counts it.

        :raises ConnectionAbortedError: if a response that was begun is broken off.
        """
        status = 0
        match effect:
            case ev.Refuse():
                status = effect.status
                headers = []
                if effect.retry_after_s is not None:
                    seconds = max(MIN_RETRY_AFTER_S, round(effect.retry_after_s, 3))
                    headers.append(("Retry-After", f"{seconds:g}"))
                await responder.send(status, b"", headers)
            case ev.Relay():
                await relay.deliver_buffered()
        total_s = self._clock.now() - arrived_at
        self._decisions.log_end(caller_request, effect, status, total_s, relay.timing)
        if isinstance(effect, ev.Cut):
            raise ConnectionAbortedError(effect.reason)

    # Background work

    async def _poll_waiting_requests(self) -> None:
        while True:
            await asyncio.sleep(
                QUEUE_POLL_INTERVAL_S if self._reducer.waiting_count else 0.1
            )
            if self._reducer.waiting_count:
                self._apply(ev.Tick())

    async def _flush_peer_counts(self) -> None:
        while True:
            await asyncio.sleep(PEER_FLUSH_INTERVAL_S)
            self._apply(ev.PeerFlushDue())

    async def _run_housekeeping(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
            self._apply(ev.Tick())
            now = self._clock.now()
            self._pool.expire(now)
            self._telemetry.set_gauges(now, self._reducer, self._pool)
            # Only the load balancer sees the readiness checks fail; callers on open
            # connections are told by "Connection: close".
            self._caller_server.draining = not self.ready
