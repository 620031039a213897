"""Applies the agent's identity and configuration to requests; does no I/O."""

from dataclasses import dataclass

from heatherswitch.agent.events import ExecuteReceived
from heatherswitch.fleet.admission import FIXED_RETRY_AFTER_MS, AdmissionLimits, Denied
from heatherswitch.fleet.config import FleetConfig
from heatherswitch.fleet.fair_queue import Ticket
from heatherswitch.fleet.outcomes import NotRun, Reason
from heatherswitch.fleet.settings import Settings
from heatherswitch.fleet.warmth import ColdStartLimiter

# Retry-After of refusals without an entry in RETRY_AFTER_MS, such as those of queued
# jobs, in milliseconds. It is short because another agent may have capacity.
DEFAULT_RETRY_AFTER_MS = 250
# ConfigState is read again after this time or at a new revision, in seconds. Reading it
# scans the settings tree, which has about 28,000 nodes in the largest planned fleet.
CONFIG_STATE_TTL_S = 0.25


@dataclass(frozen=True, slots=True)
class Identity:
    """Identifies an agent process.

    :param incarnation: start of the process in nanoseconds since the epoch.
    """

    agent_id: str
    incarnation: int
    service: str
    version: str
    zone: str


@dataclass(frozen=True, slots=True)
class ConfigState:
    """Configuration that decides whether the agent may start jobs.

    :param read_at: seconds at which the values were read.
    :param zone_out: True while the agent's availability zone is out of service.
    :param version_closed: True when the agent's version must take no more requests.
    :param share: share of the chats that the starting version gets, 0 to 1.
    """

    revision: int
    read_at: float
    zone_out: bool
    version_closed: bool
    share: float


class RequestPolicy:
    """Refuses requests that the agent may not run and reads their settings."""

    __slots__ = ("_config", "_config_state", "_identity", "_zone_was_out", "leaving")

    def __init__(self, identity: Identity) -> None:
        self._identity = identity
        self._config: FleetConfig | None = None
        self._config_state: ConfigState | None = None
        self._zone_was_out = False
        # True once a shutdown was requested.
        self.leaving = False

    @property
    def configured(self) -> bool:
        """True once a configuration was received."""
        return self._config is not None

    @property
    def revision(self) -> int:
        """Revision of the configuration; 0 before one was received."""
        return self._config.revision if self._config else 0

    def set_config(self, config: FleetConfig) -> None:
        """Makes a configuration effective."""
        self._config = config
        self._config_state = None

    def settings(self, workspace: str = "") -> Settings:
        """Returns the agent's effective settings.

        It must not be called before :meth:`set_config`.
        """
        identity = self._identity
        return self._config.settings(
            identity.service, identity.zone, workspace, identity.version
        )

    def zone_restored(self, now: float) -> bool:
        """Returns whether the zone came back into service since the last call."""
        was_out = self._zone_was_out
        self._zone_was_out = self._read_config_state(now).zone_out
        return was_out and not self._zone_was_out

    def refusal(self, event: ExecuteReceived) -> NotRun | None:
        """Returns why the agent may not take a request, or None."""
        return self._identity_refusal(event) or self.config_refusal(event.now)

    def _identity_refusal(self, event: ExecuteReceived) -> NotRun | None:
        identity = self._identity
        if event.agent_id and event.agent_id != identity.agent_id:
            return not_run(Reason.WRONG_INCARNATION, f"this is {identity.agent_id}")
        if event.incarnation and event.incarnation != identity.incarnation:
            return not_run(
                Reason.WRONG_INCARNATION,
                f"now {identity.incarnation}",
            )
        if event.service and event.service != identity.service:
            return not_run(
                Reason.WRONG_INCARNATION,
                f"serves {identity.service}",
            )
        if event.version and event.version != identity.version:
            return not_run(Reason.WRONG_INCARNATION, f"runs {identity.version}")
        if not event.idempotent and not event.idempotency_key:
            return not_run(Reason.NOT_READY, "Idempotency-Key is missing")
        return None

    def config_refusal(self, now: float) -> NotRun | None:
        """Returns why no job may be started now, or None.

        It applies to new requests and to jobs that were admitted before.
        """
        if self._config is None:
            return not_run(Reason.NOT_READY, "no configuration was received yet")
        if self.leaving:
            return not_run(Reason.LEAVING)
        state = self._read_config_state(now)
        if state.zone_out:
            return not_run(Reason.ZONE_OUT)
        if state.version_closed:
            return not_run(Reason.VERSION_TAKEN_BACK)
        return None

    def _read_config_state(self, now: float) -> ConfigState:
        cached = self._config_state
        if cached is not None and cached.revision == self._config.revision:
            age_s = now - cached.read_at
            if 0.0 <= age_s < CONFIG_STATE_TTL_S:
                return cached
        identity, config = self._identity, self._config
        self._config_state = ConfigState(
            config.revision,
            now,
            config.zone_is_out(identity.service, identity.zone, now),
            config.version_is_closed(identity.service, identity.version, now),
            config.split(identity.service, now).share,
        )
        return self._config_state

    def in_own_pool(self, service: str, version: str) -> bool:
        """Returns whether a service and version are those of the agent's pool."""
        identity = self._identity
        return service == identity.service and version in ("", identity.version)

    def ticket(self, event: ExecuteReceived) -> Ticket:
        """Builds the queue entry of a request from its class settings."""
        settings = self.settings(event.workspace)
        class_settings = settings.request_class(event.request_class)
        # The agent's configuration takes precedence, as the router's may be older.
        priority = class_settings.priority if class_settings else event.priority
        class_settings = class_settings or settings.request_class()
        if priority is None:
            priority = class_settings.priority if class_settings else 0
        deadline_s = event.deadline_s or (
            class_settings.deadline_s if class_settings else 0.0
        )
        deadline_s = deadline_s or settings.get("limits.request_timeout_s")
        return Ticket(
            event.job_id,
            event.workspace,
            event.request_class,
            priority,
            settings.get("share"),
            event.now,
            event.now + deadline_s,
        )

    def limits(self, now: float, warmth: ColdStartLimiter) -> AdmissionLimits:
        """Returns the current admission limits."""
        settings = self.settings()
        unproven = None
        if settings.get("version_state") == "starting":
            allowed = settings.get("move.unproven_share")
            # A rollout exceeds this share only on evidence that the version works.
            if self._read_config_state(now).share <= allowed:
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
        """Returns whether a claim must be recorded before the start."""
        settings = self.settings(request.workspace)
        return not request.idempotent and not settings.get("checks_idempotency")


def not_run(reason: Reason, detail: str = "") -> NotRun:
    """Builds a refusal with the Retry-After for its reason."""
    wait_ms = FIXED_RETRY_AFTER_MS.get(reason, DEFAULT_RETRY_AFTER_MS)
    return NotRun(reason, wait_ms, detail)


def denial(denied: Denied) -> NotRun:
    """Builds the refusal for a request that admission denied."""
    return NotRun(denied.reason, denied.retry_after_ms)
