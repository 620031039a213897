"""Turns entries of the platform's store into events of the gateway."""

import json
import logging

from heatherswitch.gateway import events as ev
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
    decode_configuration,
    decode_order,
    decode_server,
)
from heatherswitch.statecore.replica import Entry

log = logging.getLogger("heatherswitch.platform.reader")


class PlatformReader:
    """Decodes the operators' and the backend servers' entries."""

    __slots__ = ("_zones_out",)

    member_prefix = "heatherswitch/routers/"
    # One page holds all of them in most deployments, and each call is billed.
    prefixes = ("",)

    def __init__(self) -> None:
        self._zones_out: set[str] = set()

    def read(self, entry: Entry, after_outage: bool) -> list[ev.Event]:
        """Returns the events of one changed entry."""
        key, value = entry.key, entry.value
        if key == names.CONFIG_KEY:
            return self._configuration(value)
        if key.startswith(names.SERVERS_PREFIX):
            server_id = key.removeprefix(names.SERVERS_PREFIX)
            server = decode_server(server_id, value) if value is not None else None
            if server is None:
                return [ev.ServerRemoved(server_id, after_outage and value is None)]
            return [ev.ServerListed(server)]
        if key.startswith(names.EVACUATE_PREFIX):
            zone = key.removeprefix(names.EVACUATE_PREFIX)
            change = self._zones_out.discard if value is None else self._zones_out.add
            change(zone)
            log.info(
                "zone order", extra={"zones_out": sorted(self._zones_out), "zone": zone}
            )
            return [ev.ZonesOut(frozenset(self._zones_out))]
        if key.startswith(names.ROLLOUT_PREFIX):
            return self._order(entry)
        if key.startswith(names.ROLLOUT_STATUS_PREFIX) and value is not None:
            status = self.read_status(entry)
            return [status] if status else []
        if value is not None:
            return self._own_record(key, value)
        return []

    def status(
        self, service: str, state: RolloutState, target: str
    ) -> tuple[str, bytes]:
        """Returns key and value of a move's status for operators."""
        value = {"state": state.value, "target": target}
        return names.ROLLOUT_STATUS_PREFIX + service, json.dumps(value).encode()

    def _order(self, entry: Entry) -> list[ev.Event]:
        service = entry.key.removeprefix(names.ROLLOUT_PREFIX)
        if entry.value is None:
            return [ev.RolloutOrdered(service, None)]
        try:
            order = decode_order(service, entry.mod_revision, entry.value)
        except RecordError as error:
            log.error("an order of a move is unusable", extra={"error": str(error)})
            return []
        log.info("move ordered", extra={"service": service, "target": order.target})
        return [ev.RolloutOrdered(service, order)]

    def read_status(self, entry: Entry) -> ev.RolloutStatusRead | None:
        """Reads a move's status; returns None if it is unusable."""
        service = entry.key.removeprefix(names.ROLLOUT_STATUS_PREFIX)
        try:
            tree = json.loads(entry.value)
            state = RolloutState(tree["state"])
            target = str(tree["target"])
        except (KeyError, TypeError, ValueError) as error:
            log.warning("status of a move is unusable", extra={"error": repr(error)})
            return None
        return ev.RolloutStatusRead(service, target, state, entry.mod_revision)

    def _own_record(self, key: str, value: bytes) -> list[ev.Event]:
        """Reads what the gateways themselves keep about moves."""
        try:
            if key.startswith(PROGRESS_PREFIX):
                service = key.removeprefix(PROGRESS_PREFIX)
                return [ev.RolloutProgressRead(service, decode_progress(value))]
            if key.startswith(EVIDENCE_PREFIX):
                service = key.removeprefix(EVIDENCE_PREFIX).rpartition("/")[0]
                return [ev.RolloutEvidenceRead(service, tuple(decode_evidence(value)))]
        except RolloutRecordError as error:
            log.warning("record of a move is unusable", extra={"error": str(error)})
        return []

    def _configuration(self, value: bytes | None) -> list[ev.Event]:
        if value is None:
            log.warning("the configuration was deleted; the last one stays in force")
            return []
        try:
            return [ev.ConfigurationRead(decode_configuration(value))]
        except RecordError as error:
            log.error("the configuration is unusable", extra={"error": str(error)})
            return []
