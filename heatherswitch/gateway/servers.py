"""State of the backend servers as one gateway sees it."""

from collections.abc import Iterable, Iterator

from heatherswitch.fleet.shares import FleetView, TokenBucket
from heatherswitch.gateway.model import Load, Server, Service

# A reported load counts for as many times the server's own latency, within these
# limits in seconds. Later the requests that it counted have ended, and only the
# gateway's own are known.
LOAD_TTL_LATENCIES = 2.0
MIN_LOAD_TTL_S = 0.3
MAX_LOAD_TTL_S = 3.0
# What the owner of a server tells of its load decides for this long, in seconds: a few
# round trips, in which a request may ask for other servers.
FLEET_LOAD_TTL_S = 0.05
# A server whose entry disappeared right after an outage of the store keeps its work
# for this long, in seconds: the platform states that living servers are back within
# about two seconds.
REAPPEAR_GRACE_S = 2.0
# Routers that share the request rate of one cold server. The rate leaves room for
# about five requests beyond the average, so each sharer may send one at once.
COLD_SERVER_SENDERS = 4
# Share of a server's connections that all gateways together use.
CONNECTION_SHARE = 0.8
# A server is avoided for this long after its first failure, in seconds; each
# further failure in a row doubles the time up to the maximum.
BACKOFF_S = 0.3
MAX_BACKOFF_S = 3.0
# The same for a server that did not answer at all. A dead one stays listed for three
# heartbeats, 3.6 s, and each try costs a caller a time-out.
UNRESPONSIVE_BACKOFF_S = 1.2
# Weight of the newest answer in the moving averages of latency and failures.
EWMA_WEIGHT = 0.15
# Latency that is assumed of a plain server before its first answer, in seconds.
INITIAL_LATENCY_S = 0.05


class ServerState:
    """One backend server."""

    __slots__ = (
        "_latency_measured",
        "_backoff_until",
        "_cold_bucket",
        "_failures_in_row",
        "_other_requests",
        "_other_requests_at",
        "_fleet_load_at",
        "cold_until",
        "connection_refused",
        "failure_rate",
        "removed",
        "in_flight",
        "latency_s",
        "first_seen_at",
        "entry_lost_at",
        "record",
    )

    def __init__(self, now: float, record: Server) -> None:
        self.record = record
        # Time at which this gateway first saw the server.
        self.first_seen_at = now
        self.in_flight = 0
        self.removed = False
        # True from a refused connection to the next heartbeat: the process has ended,
        # and its entry stays for three heartbeats.
        self.connection_refused = False
        # Time at which the entry disappeared after an outage of the store.
        self.entry_lost_at: float | None = None
        self.cold_until = now + record.cold_for_s
        self.latency_s = INITIAL_LATENCY_S
        self.failure_rate = 0.0
        # True once the latency is a measured one.
        self._latency_measured = False
        self._backoff_until = 0.0
        self._failures_in_row = 0
        # Requests of other gateways at the server, and when they were learned.
        self._other_requests = 0
        self._other_requests_at = float("-inf")
        # Time at which another gateway told them, which counts all at once.
        self._fleet_load_at = float("-inf")
        self._cold_bucket: TokenBucket | None = None

    def update(self, now: float, record: Server) -> None:
        """Takes a newer entry of the same start of the server."""
        self.record = record
        self.connection_refused = False
        self.entry_lost_at = None
        self.extend_cold_period(now, record.cold_for_s)

    def extend_cold_period(self, now: float, cold_for_s: float) -> None:
        """Takes the server's word on how long it stays cold."""
        if cold_for_s > 0:
            self.cold_until = max(self.cold_until, now + cold_for_s)

    def accepts_work(self, now: float) -> bool:
        """Tells whether the server is listed, not leaving and not replaced."""
        if self.removed or self.connection_refused or self.record.draining:
            return False
        return self.entry_lost_at is None or now - self.entry_lost_at < REAPPEAR_GRACE_S

    def in_backoff(self, now: float) -> bool:
        """Tells whether the server failed a short time ago."""
        return now < self._backoff_until

    def load(self, now: float) -> float:
        """Estimates the requests at the server, with those of other gateways."""
        valid_s = max(MIN_LOAD_TTL_S, LOAD_TTL_LATENCIES * self.latency_s)
        if now - self._other_requests_at > min(MAX_LOAD_TTL_S, valid_s):
            return self.in_flight
        return self.in_flight + self._other_requests

    def has_fleet_load(self, now: float) -> bool:
        """Tells whether the load was added up over all gateways just now."""
        return now - self._fleet_load_at < FLEET_LOAD_TTL_S

    def set_reported_load(self, now: float, load: Load) -> None:
        """Takes a load that the server reported."""
        self._other_requests = max(0, load.running + load.waiting - self.in_flight)
        self._other_requests_at = now

    def set_fleet_load(self, now: float, other_requests: int) -> None:
        """Takes the requests of all other gateways, as the server's owner counts."""
        self._other_requests = other_requests
        self._other_requests_at = self._fleet_load_at = now

    def record_success(self, latency_s: float) -> None:
        """Counts a good answer."""
        self._failures_in_row = 0
        self._backoff_until = 0.0
        self.failure_rate *= 1 - EWMA_WEIGHT
        weight = EWMA_WEIGHT if self._latency_measured else 1.0
        self._latency_measured = True
        self.latency_s += weight * (latency_s - self.latency_s)

    def record_failure(self, now: float, base_backoff_s: float = BACKOFF_S) -> None:
        """Counts a failure of the server.

        :param base_backoff_s: seconds for which the server is avoided at its first failure;
            0 where the failure says nothing of the next request.
        """
        self.failure_rate += EWMA_WEIGHT * (1 - self.failure_rate)
        if base_backoff_s > 0:
            backoff_s = min(MAX_BACKOFF_S, base_backoff_s * 2**self._failures_in_row)
            self._failures_in_row += 1
            self._backoff_until = now + backoff_s

    def is_cold(self, now: float) -> bool:
        """Tells whether the server tolerates only a low rate of requests."""
        return now < self.cold_until

    def cold_wait_s(self, now: float, service: Service, fleet: FleetView) -> float:
        """Returns the seconds until this gateway may send to the cold server."""
        if not self.is_cold(now) or service.cold_rate <= 0:
            return 0.0
        chosen, sharers = fleet.sharers(self.record.id, COLD_SERVER_SENDERS)
        if not chosen:
            return self.cold_until - now
        rate = service.cold_rate / sharers
        if self._cold_bucket is None:
            self._cold_bucket = TokenBucket(now, rate, 1.0)
        else:
            self._cold_bucket.limit(now, rate, 1.0)
        return self._cold_bucket.wait_s(now)

    def take_cold_token(self, now: float) -> None:
        """Counts a request that is sent to the server while it is cold."""
        if self.is_cold(now) and self._cold_bucket is not None:
            self._cold_bucket.take(now)


class ServerTable:
    """The backend servers of all services."""

    __slots__ = ("_by_service", "_servers")

    def __init__(self) -> None:
        self._servers: dict[str, ServerState] = {}
        self._by_service: dict[str, dict[str, ServerState]] = {}

    def __iter__(self) -> Iterator[ServerState]:
        return iter(self._servers.values())

    def get(self, server_id: str) -> ServerState | None:
        """Returns a server by its id, or None."""
        return self._servers.get(server_id)

    def for_service(self, service: str) -> Iterable[ServerState]:
        """Returns the servers of a service."""
        return self._by_service.get(service, {}).values()

    def upsert(self, now: float, record: Server) -> bool:
        """Takes an entry of the store; returns True for a new start of a server."""
        known = self._servers.get(record.id)
        same_start = known is not None and (
            known.record.incarnation == record.incarnation
            and known.record.service == record.service
            and known.record.host == record.host
            and known.record.port == record.port
        )
        if same_start:
            known.update(now, record)
            return False
        self._drop(record.id)
        state = ServerState(now, record)
        self._servers[record.id] = state
        self._by_service.setdefault(record.service, {})[record.id] = state
        return True

    def remove(self, now: float, server_id: str, after_outage: bool) -> None:
        """Takes the removal of an entry."""
        state = self._servers.get(server_id)
        if state is None:
            return
        if after_outage and not state.record.draining:
            state.entry_lost_at = now
        else:
            self._drop(server_id)

    def expire(self, now: float) -> None:
        """Forgets servers that did not reappear after an outage of the store."""
        for state in list(self._servers.values()):
            if (
                state.entry_lost_at is not None
                and now - state.entry_lost_at >= REAPPEAR_GRACE_S
            ):
                self._drop(state.record.id)

    def _drop(self, server_id: str) -> None:
        state = self._servers.pop(server_id, None)
        if state is not None:
            state.removed = True
            del self._by_service[state.record.service][server_id]
