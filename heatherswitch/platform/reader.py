"""Translates entries of the platform's store into gateway events."""

import json
import logging
from collections.abc import Generator

from heatherswitch.gateway import events as ev
from heatherswitch.gateway.crash_records import (
    CLEARED_PREFIX,
    CRASH_PREFIX,
    CrashRecordError,
    decode_cleared,
    decode_report,
)
from heatherswitch.gateway.rollout_records import (
    EVIDENCE_PREFIX,
    PROGRESS_PREFIX,
    RolloutRecordError,
    decode_evidence,
    decode_progress,
)
from heatherswitch.gateway.rollouts import RolloutState
from heatherswitch.platform import names
from heatherswitch.platform.records import (
    RecordError,
    decode_configuration_steps,
    decode_rollout_order,
    decode_server,
)
from heatherswitch.statecore.replica import Entry, KeyRange
from heatherswitch.util.fairness import finish_steps
from heatherswitch.util.untrusted import (
    describe_error,
    parse_object,
    require_name,
)

log = logging.getLogger("heatherswitch.platform.reader")

# Prefix of the keys that gateways write.
OWN_PREFIX = "heatherswitch/"


class PlatformReader:
    """Decodes the entries of operators, backend servers and other gateways.

    Malformed entries are logged. That of a backend server counts as removed; others are
    ignored.
    """

    __slots__ = ("_evacuated_zones",)

    member_prefix = f"{OWN_PREFIX}routers/"
    server_prefix = names.SERVERS_PREFIX
    order_prefix = names.ROLLOUT_PREFIX
    # Reads all keys at once: they fit one page in most deployments, and each call is
    # billed.
    prefixes = ("",)
    # The configuration is up to a megabyte, all others are small. Most of them sort
    # after it, so that a single call reads these.
    small_ranges = (KeyRange("", after=names.CONFIG_KEY), KeyRange(OWN_PREFIX))
    bulk_ranges = (KeyRange(names.CONFIG_KEY),)

    def __init__(self) -> None:
        self._evacuated_zones: set[str] = set()

    def read(self, entry: Entry, after_outage: bool) -> list[ev.Event]:
        """Returns the events that follow from a changed or deleted entry.

        :param after_outage: the store was unreachable shortly before, so an entry may
            have expired although its server runs.
        """
        key, value = entry.key, entry.value
        if key == names.CONFIG_KEY:
            return finish_steps(self._read_configuration(value))
        if key.startswith(names.SERVERS_PREFIX):
            server_id = key.removeprefix(names.SERVERS_PREFIX)
            server = decode_server(server_id, value) if value is not None else None
            if server is None:
                return [ev.ServerRemoved(server_id, after_outage and value is None)]
            return [ev.ServerListed(server)]
        if key.startswith(names.EVACUATE_PREFIX):
            zone = key.removeprefix(names.EVACUATE_PREFIX)
            update = (
                self._evacuated_zones.discard
                if value is None
                else self._evacuated_zones.add
            )
            update(zone)
            log.info(
                "evacuated zones changed",
                extra={"zones_out": sorted(self._evacuated_zones), "zone": zone},
            )
            return [ev.ZonesOut(frozenset(self._evacuated_zones))]
        if key.startswith(names.ROLLOUT_PREFIX):
            return self._read_rollout_order(entry)
        if key.startswith(names.ROLLOUT_STATUS_PREFIX) and value is not None:
            status = self.read_status(entry)
            return [status] if status else []
        if key.startswith(CRASH_PREFIX):
            return self._read_crash_report(key.removeprefix(CRASH_PREFIX), value)
        if value is not None:
            return self._read_gateway_record(key, value)
        return []

    def read_steps(
        self, entry: Entry, after_outage: bool
    ) -> Generator[None, None, list[ev.Event]]:
        """Like :meth:`read`; yields between the items of a configuration."""
        if entry.key == names.CONFIG_KEY:
            return (yield from self._read_configuration(entry.value))
        return self.read(entry, after_outage)

    def read_failed(self, entry: Entry) -> list[ev.Event]:
        """Returns the events for an entry that an unforeseen error kept from effect."""
        if entry.key == names.CONFIG_KEY:
            return [ev.ConfigurationRead(None)]
        return []

    def status(
        self, service: str, state: RolloutState, target: str
    ) -> tuple[str, bytes]:
        """Returns the store key and value that show a rollout's state to operators."""
        value = {"state": state.value, "target": target}
        return names.ROLLOUT_STATUS_PREFIX + service, json.dumps(value).encode()

    def _read_rollout_order(self, entry: Entry) -> list[ev.Event]:
        service = entry.key.removeprefix(names.ROLLOUT_PREFIX)
        if entry.value is None:
            return [ev.RolloutOrdered(service, None)]
        try:
            order = decode_rollout_order(service, entry)
        except RecordError as error:
            log.error(
                "ignoring invalid rollout order",
                extra={"service": service, "error": str(error)},
            )
            return []
        log.info("rollout ordered", extra={"service": service, "target": order.target})
        return [ev.RolloutOrdered(service, order)]

    def read_status(self, entry: Entry) -> ev.RolloutStatusRead | None:
        """Decodes the status of a rollout; returns None if it is malformed."""
        service = entry.key.removeprefix(names.ROLLOUT_STATUS_PREFIX)
        try:
            document = parse_object(entry.value)
            state = RolloutState(require_name(document["state"]))
            target = require_name(document["target"])
        except (KeyError, ValueError) as error:
            log.warning(
                "ignoring invalid rollout status",
                extra={"service": service, "error": describe_error(error)},
            )
            return None
        return ev.RolloutStatusRead(service, target, state, entry.position)

    def _read_crash_report(self, report_id: str, value: bytes | None) -> list[ev.Event]:
        if value is None:
            return [ev.CrashReportRemoved(report_id)]
        try:
            return [ev.CrashReported(decode_report(report_id, value))]
        except CrashRecordError as error:
            log.warning(
                "ignoring invalid crash report",
                extra={"report": report_id, "error": str(error)},
            )
            return []

    def _read_gateway_record(self, key: str, value: bytes) -> list[ev.Event]:
        """Decodes rollout progress, rollout evidence and cleared prompt parts."""
        try:
            if key.startswith(CLEARED_PREFIX):
                return [decode_cleared(key.removeprefix(CLEARED_PREFIX), value)]
            if key.startswith(PROGRESS_PREFIX):
                service = key.removeprefix(PROGRESS_PREFIX)
                return [ev.RolloutProgressRead(service, decode_progress(value))]
            if key.startswith(EVIDENCE_PREFIX):
                service = key.removeprefix(EVIDENCE_PREFIX).rpartition("/")[0]
                return [ev.RolloutEvidenceRead(service, tuple(decode_evidence(value)))]
        except RolloutRecordError as error:
            log.warning(
                "ignoring invalid rollout record",
                extra={"key": key, "error": str(error)},
            )
        except CrashRecordError as error:
            log.warning(
                "ignoring invalid cleared part",
                extra={"key": key, "error": str(error)},
            )
        return []

    def _read_configuration(
        self, value: bytes | None
    ) -> Generator[None, None, list[ev.Event]]:
        if value is None:
            log.warning("configuration was deleted; keeping the last one")
            return []
        try:
            configuration = yield from decode_configuration_steps(value)
            return [ev.ConfigurationRead(configuration)]
        except RecordError as error:
            log.error("ignoring invalid configuration", extra={"error": str(error)})
            return [ev.ConfigurationRead(None)]
