"""Checks of identity, orders and settings that precede admission; pure."""

from dataclasses import dataclass

from heatherswitch.agent.events import ExecuteReceived
from heatherswitch.fleet.admission import FIXED_RETRY_AFTER_MS, AdmissionLimits, Denied
from heatherswitch.fleet.config import FleetConfig
from heatherswitch.fleet.fair_queue import Ticket
from heatherswitch.fleet.outcomes import NotRun, Reason
from heatherswitch.fleet.settings import Settings
from heatherswitch.fleet.warmth import ColdStartLimiter

# Retry-After of waiting work that is refused later, in milliseconds. It is short,
# since another agent may have room.
DROPPED_RETRY_AFTER_MS = 250
# Orders are read again after this long or at a new revision, in seconds. Reading
# them scans the settings tree, which has about 28,000 nodes at the design size.
ORDERS_VALID_S = 0.25


@dataclass(frozen=True, slots=True)
class Identity:
    """Who the agent is.

    :param incarnation: nanoseconds since the epoch when the process started.
    """

    agent_id: str
    incarnation: int
    service: str
    version: str
    zone: str


@dataclass(frozen=True, slots=True)
class Orders:
    """What the configuration orders for the agent at one time.

    :param share: share of chats of the version that is starting, 0 to 1.
    """

    revision: int
    read_at: float
    zone_out: bool
    version_closed: bool
    share: float


class Gate:
    """The agent's identity and the configuration in force."""

    __slots__ = ("_config", "_identity", "_orders", "_zone_out", "leaving")

    def __init__(self, identity: Identity) -> None:
        self._identity = identity
        self._config: FleetConfig | None = None
        self._orders: Orders | None = None
        self._zone_out = False
        # True after a stop was requested.
        self.leaving = False

    @property
    def configured(self) -> bool:
        """True once a configuration was received."""
        return self._config is not None

    @property
    def revision(self) -> int:
        """Revision in force; 0 without a configuration."""
        return self._config.revision if self._config else 0

    def set_config(self, config: FleetConfig) -> None:
        """Puts a configuration in force."""
        self._config = config
        self._orders = None

    def settings(self, workspace: str = "") -> Settings:
        """Returns the agent's effective settings; needs a configuration."""
        own = self._identity
        return self._config.settings(own.service, own.zone, workspace, own.version)

    def zone_returned(self, now: float) -> bool:
        """Tells whether the zone was out at the last check and is in now."""
        was_out = self._zone_out
        self._zone_out = self._read_orders(now).zone_out
        return was_out and not self._zone_out

    def refusal(self, event: ExecuteReceived) -> NotRun | None:
        """Returns why a request may not enter this agent at all, or None."""
        return self._identity_refusal(event) or self.order_refusal(event.now)

    def _identity_refusal(self, event: ExecuteReceived) -> NotRun | None:
        own = self._identity
        if event.agent_id and event.agent_id != own.agent_id:
            return not_run(Reason.WRONG_INCARNATION, f"this is {own.agent_id}")
        if event.incarnation and event.incarnation != own.incarnation:
            return not_run(Reason.WRONG_INCARNATION, f"now {own.incarnation}")
        if event.service and event.service != own.service:
            return not_run(Reason.WRONG_INCARNATION, f"serves {own.service}")
        if event.version and event.version != own.version:
            return not_run(Reason.WRONG_INCARNATION, f"runs {own.version}")
        if not event.idempotent and not event.idempotency_key:
            return not_run(Reason.NOT_READY, "Idempotency-Key is missing")
        return None

    def order_refusal(self, now: float) -> NotRun | None:
        """Returns why no work may start now, or None.

        It also holds for work that was admitted earlier and still waits.
        """
        if self._config is None:
            return not_run(Reason.NOT_READY, "no configuration was received yet")
        if self.leaving:
            return not_run(Reason.LEAVING)
        orders = self._read_orders(now)
        if orders.zone_out:
            return not_run(Reason.ZONE_OUT)
        if orders.version_closed:
            return not_run(Reason.VERSION_TAKEN_BACK)
        return None

    def _read_orders(self, now: float) -> Orders:
        known = self._orders
        if known is not None and known.revision == self._config.revision:
            age_s = now - known.read_at
            if 0.0 <= age_s < ORDERS_VALID_S:
                return known
        own, config = self._identity, self._config
        self._orders = Orders(
            config.revision,
            now,
            config.zone_is_out(own.service, own.zone, now),
            config.version_is_closed(own.service, own.version, now),
            config.split(own.service, now).share,
        )
        return self._orders

    def in_own_pool(self, service: str, version: str) -> bool:
        """Tells whether a load is one of the agent's own pool."""
        own = self._identity
        return service == own.service and version in ("", own.version)

    def ticket(self, event: ExecuteReceived) -> Ticket:
        """Builds the queue entry of a request."""
        settings = self.settings(event.workspace)
        known = settings.request_class(event.request_class)
        # The agent's own configuration decides; a router may be behind.
        priority = known.priority if known else event.priority
        known = known or settings.request_class()
        if priority is None:
            priority = known.priority if known else 0
        deadline_s = event.deadline_s or (known.deadline_s if known else 0.0)
        deadline_s = deadline_s or settings.get("limits.request_timeout_s")
        return Ticket(
            event.work_id,
            event.workspace,
            event.request_class,
            priority,
            settings.get("share"),
            event.now,
            event.now + deadline_s,
        )

    def limits(self, now: float, warmth: ColdStartLimiter) -> AdmissionLimits:
        """Returns the limits in force."""
        settings = self.settings()
        unproven = None
        if settings.get("version_state") == "starting":
            allowed = settings.get("move.unproven_share")
            # A move gives a version more than this share only on evidence.
            if self._read_orders(now).share <= allowed:
                unproven = allowed
        return AdmissionLimits(
            settings.get("routing.load_bound"),
            settings.get("routing.load_bound_extra"),
            warmth.limit,
            settings.get("limits.max_queued"),
            warmth.cold,
            unproven,
        )

    def needs_claim(self, request: ExecuteReceived) -> bool:
        """Tells whether a claim must be recorded before the start."""
        settings = self.settings(request.workspace)
        return not request.idempotent and not settings.get("checks_idempotency")


def not_run(reason: Reason, detail: str = "") -> NotRun:
    """Builds a refusal with the Retry-After of its reason."""
    wait_ms = FIXED_RETRY_AFTER_MS.get(reason, DROPPED_RETRY_AFTER_MS)
    return NotRun(reason, wait_ms, detail)


def denial(denied: Denied) -> NotRun:
    """Builds the refusal of a request that admission denied."""
    return NotRun(denied.reason, denied.retry_after_ms)
