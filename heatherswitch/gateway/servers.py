"""State of the backend servers as seen by one gateway."""

from collections import OrderedDict
from collections.abc import Iterable, Iterator

from heatherswitch.fleet.shares import FleetSize, TokenBucket
from heatherswitch.gateway.model import Load, Server, ServerStart, Service
from heatherswitch.gateway.notices import (
    MAX_REMEMBERED_STARTS,
    NoticeMemory,
    ServerNotices,
)
from heatherswitch.util.backoff import doubled_delay_s

# A reported load is valid for this multiple of the server's own latency, within the
# limits below in seconds. After that the requests that it counted have ended, and only
# those of this gateway are known.
LOAD_TTL_LATENCIES = 2.0
MIN_LOAD_TTL_S = 0.3
MAX_LOAD_TTL_S = 3.0
# Time for which the fleet-wide load that a server's owner sent is used, in seconds. It
# covers a few round trips, during which a request may query further servers.
FLEET_LOAD_TTL_S = 0.05
# A server whose entry disappeared right after a store outage still gets requests for
# this time, in seconds: the platform states that the entries of live servers are back
# within about two seconds.
REAPPEAR_GRACE_S = 2.0
# Maximum number of routers that share the request rate of one cold server. The rate has
# a margin of about five requests above the average, so each of them may send one
# immediately.
COLD_SERVER_SENDERS = 4
# Share of a server's connection limit that all gateways together use.
CONNECTION_SHARE = 0.8
# Time for which a server is avoided after its first failure, in seconds; each further
# failure in a row doubles it, up to the maximum.
BACKOFF_S = 0.3
MAX_BACKOFF_S = 3.0
# The same for a server that did not respond at all. A crashed server stays listed for
# three heartbeats, 3.6 s, and each attempt costs a caller a timeout.
UNRESPONSIVE_BACKOFF_S = 1.2
# Weight of the newest response in the moving averages of latency and failures.
EWMA_WEIGHT = 0.15
# Latency assumed for a server before its first response, in seconds.
INITIAL_LATENCY_S = 0.05


class ServerState:
    """Load, health and warm-up state of one backend server."""

    __slots__ = (
        "_latency_measured",
        "_backoff_until",
        "_cold_bucket",
        "_failures_in_row",
        "_other_requests",
        "_other_requests_at",
        "_fleet_load_at",
        "cold_until",
        "excluded_until",
        "failure_rate",
        "removed",
        "in_flight",
        "latency_s",
        "first_seen_at",
        "entry_lost_at",
        "unproven_until",
        "notices",
        "record",
    )

    def __init__(
        self, now: float, record: Server, notices: ServerNotices | None = None
    ) -> None:
        self.record = record
        # What this start of the server has said of itself. A start that leaves does not
        # take that back, and an earlier heartbeat may reach the store after a later one.
        self.notices = notices or ServerNotices()
        self.note_draining(record)
        # Time at which this gateway first read the server's entry.
        self.first_seen_at = now
        self.in_flight = 0
        self.removed = False
        # Until then, or to its next heartbeat, the server gets no requests: its process
        # has probably exited, but its entry expires only after three heartbeats.
        self.excluded_until = float("-inf")
        # Time at which the entry disappeared after a store outage.
        self.entry_lost_at: float | None = None
        # Until then only a later heartbeat shows that the server still runs.
        self.unproven_until = float("-inf")
        self.cold_until = now + record.cold_for_s
        self.latency_s = INITIAL_LATENCY_S
        self.failure_rate = 0.0
        # False while ``latency_s`` is the initial assumption.
        self._latency_measured = False
        self._backoff_until = 0.0
        self._failures_in_row = 0
        # Requests of other gateways at the server, and when this count was updated.
        self._other_requests = 0
        self._other_requests_at = float("-inf")
        # Time of the last sum over all gateways, as opposed to a server's own report.
        self._fleet_load_at = float("-inf")
        self._cold_bucket: TokenBucket | None = None

    @property
    def leaving(self) -> bool:
        """True if the store or the server itself says that it is shutting down."""
        return self.record.draining or self.notices.leaving

    def update(self, now: float, record: Server) -> None:
        """Takes a newer store entry of the same start of the server."""
        self.note_draining(record)
        if record.sequence > self.record.sequence:
            self.unproven_until = float("-inf")
        self.record = record
        self.excluded_until = float("-inf")
        self.entry_lost_at = None
        self.extend_cold_period(now, record.cold_for_s)

    def note_draining(self, record: Server) -> None:
        """Notes for good whether this start of the server leaves.

        Without a stated start, the next entry may be one of a new start.
        """
        if record.draining and record.incarnation:
            self.notices.leaving = True

    def extend_cold_period(self, now: float, cold_for_s: float) -> None:
        """Extends the cold period to the remaining seconds that the server reports."""
        if cold_for_s > 0:
            self.cold_until = max(self.cold_until, now + cold_for_s)

    def accepts_work(self, now: float) -> bool:
        """Tells whether new requests may be sent to the server."""
        if self.removed or self.is_excluded(now) or self.leaving:
            return False
        if now < self.unproven_until:
            return False
        return self.entry_lost_at is None or now - self.entry_lost_at < REAPPEAR_GRACE_S

    def exclude(self, now: float, entry_ttl_s: float) -> None:
        """Keeps requests from a server that seems to have exited.

        It refused a connection, or another server answered at its address. If its entry
        stays for longer than that of a crashed server, it runs: the connections may have
        been refused by something on the way, and a heartbeat that changes only its
        number is no event.

        :param entry_ttl_s: seconds after which the entry of a crashed server is gone.
        """
        self.excluded_until = now + entry_ttl_s

    def is_excluded(self, now: float) -> bool:
        """Tells whether the server seems to have exited; see :meth:`exclude`."""
        return now < self.excluded_until

    def in_backoff(self, now: float) -> bool:
        """Tells whether the server is avoided after a recent failure."""
        return now < self._backoff_until

    def load(self, now: float) -> float:
        """Estimates the number of requests of all gateways at the server."""
        valid_s = max(MIN_LOAD_TTL_S, LOAD_TTL_LATENCIES * self.latency_s)
        if now - self._other_requests_at > min(MAX_LOAD_TTL_S, valid_s):
            return self.in_flight
        return self.in_flight + self._other_requests

    def has_fleet_load(self, now: float) -> bool:
        """Tells whether a recent sum over all gateways' requests is known."""
        return now - self._fleet_load_at < FLEET_LOAD_TTL_S

    def set_reported_load(self, now: float, load: Load) -> None:
        """Takes the load that the server reported with a response."""
        self._other_requests = max(0, load.running + load.waiting - self.in_flight)
        self._other_requests_at = now

    def set_fleet_load(self, now: float, other_requests: int) -> None:
        """Takes the sum of all other gateways' requests from the owner of the count."""
        self._other_requests = other_requests
        self._other_requests_at = self._fleet_load_at = now

    def record_success(self, latency_s: float) -> None:
        """Records a successful response.

        :param latency_s: seconds from the send to the end of the response.
        """
        self._failures_in_row = 0
        self._backoff_until = 0.0
        self.failure_rate *= 1 - EWMA_WEIGHT
        weight = EWMA_WEIGHT if self._latency_measured else 1.0
        self._latency_measured = True
        self.latency_s += weight * (latency_s - self.latency_s)

    def record_failure(self, now: float, base_backoff_s: float = BACKOFF_S) -> None:
        """Records a failure of the server.

        One that has asked for time is not avoided any longer than that, so that work
        returns when the time is over.

        :param base_backoff_s: seconds for which the server is avoided after a first
            failure; 0 if the failure does not predict that the next request fails.
        """
        if self.notices.busy_s(now):
            return
        self.failure_rate += EWMA_WEIGHT * (1 - self.failure_rate)
        if base_backoff_s > 0:
            backoff_s = doubled_delay_s(
                base_backoff_s, self._failures_in_row, MAX_BACKOFF_S
            )
            self._failures_in_row += 1
            self._backoff_until = now + backoff_s

    def is_cold(self, now: float) -> bool:
        """Tells whether the server is warming up and tolerates a low request rate only."""
        return now < self.cold_until

    def cold_wait_s(self, now: float, service: Service, fleet: FleetSize) -> float:
        """Returns the seconds until this gateway may send a request; 0 if not cold.

        Only a few gateways share the rate of a cold server; the others wait until it is
        warm.
        """
        if not self.is_cold(now) or service.cold_rate <= 0:
            return 0.0
        chosen, sharers = fleet.select_for_limit(self.record.id, COLD_SERVER_SENDERS)
        if not chosen:
            return self.cold_until - now
        rate = service.cold_rate / sharers
        if self._cold_bucket is None:
            self._cold_bucket = TokenBucket(now, rate, 1.0)
        else:
            self._cold_bucket.set_rate(now, rate, 1.0)
        return self._cold_bucket.wait_s(now)

    def wait_s(self, now: float, service: Service, fleet: FleetSize) -> float:
        """Returns the seconds until this gateway may send a request.

        The server may be cold, or have asked for no requests for some time.
        """
        return max(self.notices.busy_s(now), self.cold_wait_s(now, service, fleet))

    def take_cold_token(self, now: float) -> None:
        """Counts a request against the rate limit of a cold server."""
        if self.is_cold(now) and self._cold_bucket is not None:
            self._cold_bucket.take(now)


class ServerTable:
    """The backend servers by id and by service.

    :param outage_s: the store counts as unreachable after this time without a
        confirmation, in seconds.
    :param entry_ttl_s: seconds after which the entry of a crashed server is gone if the
        store is reachable.
    """

    __slots__ = (
        "_by_service",
        "_confirmed_at",
        "_ended",
        "_entry_ttl_s",
        "_notices",
        "_out",
        "_outage_s",
        "_reachable_since",
        "_restored_at",
        "_servers",
    )

    def __init__(self, outage_s: float, entry_ttl_s: float) -> None:
        self._outage_s = outage_s
        self._entry_ttl_s = entry_ttl_s
        # Starts of servers whose entries were removed, and their last heartbeats; the
        # newest last.
        self._ended: OrderedDict[tuple[str, int], int] = OrderedDict()
        # Time at which the store had no newer entries than those held here.
        self._confirmed_at = float("-inf")
        # Time of the first confirmation since the last outage of the store.
        self._reachable_since = float("-inf")
        # Time at which the store was last restored from a backup.
        self._restored_at = float("-inf")
        self._notices = NoticeMemory()
        # Ids of servers that were taken out and why, the newest last.
        self._out: OrderedDict[str, str] = OrderedDict()
        self._servers: dict[str, ServerState] = {}
        self._by_service: dict[str, dict[str, ServerState]] = {}

    def __iter__(self) -> Iterator[ServerState]:
        return iter(self._servers.values())

    def confirm(self, current_at: float) -> None:
        """Notes that the store held nothing newer at ``current_at``."""
        if current_at - self._confirmed_at > self._outage_s:
            self._reachable_since = current_at
        self._confirmed_at = max(self._confirmed_at, current_at)

    def note_restored(self, now: float) -> None:
        """Notes that the store was restored from a backup, in which leases run anew."""
        self._reachable_since = self._restored_at = now

    def age_s(self, now: float) -> float:
        """Returns the seconds since the last confirmation; infinite before the first."""
        return now - self._confirmed_at

    def get(self, server_id: str) -> ServerState | None:
        """Returns the server with an id, or None."""
        return self._servers.get(server_id)

    def outlived(self, server_id: str, incarnation: int, at: float) -> bool:
        """Tells whether a start of a server certainly ran at a time and has not ended.

        The store lists it for longer than the entry of a crashed server stays. Leases
        may pause while the store is down, so that the time counts from the last outage;
        a shorter one may have passed unnoticed.

        :param at: time of a failure that looked like a crash, in seconds of the clock.
        """
        state = self._servers.get(server_id)
        # Without a stated start, the next start of the server would look the same.
        if state is None or not incarnation or state.entry_lost_at is not None:
            return False
        if state.record.incarnation != incarnation:
            return False
        since = max(at, self._reachable_since, state.first_seen_at)
        return self._confirmed_at - since >= self._entry_ttl_s + self._outage_s

    def for_service(self, service: str) -> Iterable[ServerState]:
        """Returns the servers of a service."""
        return self._by_service.get(service, {}).values()

    def versions(self, service: str) -> set[str]:
        """Returns the versions of a service's servers."""
        return {state.record.version for state in self.for_service(service)}

    def is_outdated(self, now: float, record: Server) -> bool:
        """Tells whether an entry is an earlier heartbeat than one that was read before.

        A heartbeat may reach the store late, also after the entry was removed. A start
        whose entry lapsed although it runs comes back with a later one. A backup from
        which the store was restored may hold an earlier start.
        """
        existing = self._servers.get(record.id)
        if existing is not None and existing.record.incarnation == record.incarnation:
            return record.is_older_than(existing.record.sequence)
        if existing is not None and self._may_be_of_backup(now):
            return 0 < record.incarnation < existing.record.incarnation
        last = self._ended.get((record.id, record.incarnation), 0)
        return record.is_older_than(last) or self._had_ended(now, record)

    def is_foreign(self, record: Server) -> bool:
        """Tells whether an entry that states no start is one of another writer.

        Servers of a platform that states starts do so in each entry.
        """
        if record.incarnation:
            return False
        existing = self._servers.get(record.id)
        if existing is not None and existing.record.incarnation:
            return True
        ended = any(server_id == record.id for server_id, _ in self._ended)
        return ended or self._notices.knows_start_of(record.id)

    def _may_be_of_backup(self, now: float) -> bool:
        """Tells whether an entry may be one of a backup whose server has gone since.

        Its lease runs anew when the store is restored.
        """
        return now - self._restored_at < self._entry_ttl_s

    def _had_ended(self, now: float, record: Server) -> bool:
        """Tells whether a backup lists a start whose entry had been removed before."""
        last = self._ended.get((record.id, record.incarnation))
        if last is None or record.id in self._servers:
            return False
        return self._may_be_of_backup(now) and record.sequence <= last

    def upsert(self, now: float, record: Server) -> bool:
        """Adds or updates a server from its store entry, unless that is outdated.

        Of an outdated entry, only the notice that the server leaves counts. A server
        that had gone before the store was restored gets no requests unless it shows that
        it runs: by a later heartbeat, or if its entry stays.

        :returns: True if the server is new or was started again.
        """
        existing = self._servers.get(record.id)
        had_ended = self._had_ended(now, record)
        if not had_ended and self.is_outdated(now, record):
            if (
                existing is not None
                and existing.record.incarnation == record.incarnation
            ):
                existing.note_draining(record)
            return False
        same_start = existing is not None and (
            existing.record.incarnation == record.incarnation
            and existing.record.service == record.service
            and existing.record.host == record.host
            and existing.record.port == record.port
        )
        if same_start:
            existing.update(now, record)
            return False
        self._drop(now, record.id)
        state = ServerState(now, record, self._notices.find(now, record))
        if had_ended:
            state.unproven_until = self._restored_at + self._entry_ttl_s
        self._servers[record.id] = state
        self._by_service.setdefault(record.service, {})[record.id] = state
        return True

    def remove(self, now: float, server_id: str, after_outage: bool) -> None:
        """Handles the removal of a server's store entry.

        :param after_outage: the entry may have expired because the store was
            unreachable, so the server is kept for a grace period unless it was
            shutting down.
        """
        state = self._servers.get(server_id)
        if state is None:
            return
        if after_outage and not state.leaving:
            state.entry_lost_at = now
        else:
            self._drop(now, server_id)

    def expire(self, now: float) -> None:
        """Removes servers whose entry did not reappear after a store outage."""
        for state in list(self._servers.values()):
            if (
                state.entry_lost_at is not None
                and now - state.entry_lost_at >= REAPPEAR_GRACE_S
            ):
                self._drop(now, state.record.id)

    def take_out(
        self,
        now: float,
        server: Server | ServerStart,
        leaving: bool,
        busy_s: float = 0.0,
    ) -> str:
        """Takes a start of a server out that is leaving or wants no requests.

        :param server: the server as the request was sent to it; its entry may have
            changed or disappeared since.
        :param busy_s: seconds for which it wants no requests; 0 for none.
        :returns: the reason, or an empty string if the server was out already or has
            started again since.
        """
        state = self._servers.get(server.id)
        same_start = (
            state is not None and state.record.incarnation == server.incarnation
        )
        if same_start:
            notices = state.notices
        else:
            notices = self._notices.find(now, server) or ServerNotices()
        reason = notices.note(now, leaving, busy_s)
        self._notices.remember(now, server, notices)
        if not reason or (state is not None and not same_start):
            return ""
        self._out[server.id] = reason
        self._out.move_to_end(server.id)
        while len(self._out) > MAX_REMEMBERED_STARTS:
            self._out.popitem(last=False)
        return reason

    def take_returned(self) -> list[tuple[str, str]]:
        """Returns the ids of servers that are no longer out, and why they were out.

        Each one is returned once.
        """
        returned = [
            (server_id, reason)
            for server_id, reason in self._out.items()
            if server_id in self._servers and not self._servers[server_id].notices.out
        ]
        for server_id, _ in returned:
            del self._out[server_id]
        return returned

    def _drop(self, now: float, server_id: str) -> None:
        state = self._servers.pop(server_id, None)
        if state is not None:
            state.removed = True
            if state.record.incarnation:
                key = (server_id, state.record.incarnation)
                last = self._ended.get(key, 0)
                self._ended[key] = max(last, state.record.sequence)
                self._ended.move_to_end(key)
                while len(self._ended) > MAX_REMEMBERED_STARTS:
                    self._ended.popitem(last=False)
            del self._by_service[state.record.service][server_id]
            if state.notices.out:
                self._notices.remember(now, state.record, state.notices)
