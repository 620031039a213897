"""Turns entries of the platform's store into events of the gateway."""

import logging

from heatherswitch.gateway import events as ev
from heatherswitch.platform import names
from heatherswitch.platform.records import (
    RecordError,
    decode_configuration,
    decode_server,
)
from heatherswitch.statecore.replica import Entry

log = logging.getLogger("heatherswitch.platform.reader")


class PlatformReader:
    """Decodes the operators' and the backend servers' entries."""

    __slots__ = ("_zones_out",)

    member_prefix = "heatherswitch/routers/"
    prefixes = ("op/", names.SERVERS_PREFIX, member_prefix)

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
