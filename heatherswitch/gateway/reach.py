"""Which availability zones a gateway can reach, as its connections show."""

# Servers of one zone that must be out of reach within the time below before the zone
# counts as cut off: one alone may have crashed without a word.
SERVERS_OUT_OF_REACH = 2
EVIDENCE_S = 1.0
# A zone that is cut off is left alone for this long, in seconds, then tried again.
CUT_OFF_S = 1.0


class ZoneReach:
    """Notes servers that do not answer while a connection is opened.

    A cut between zones silences all servers of a zone at once. Without this, each of
    them would cost a request its connect timeout.
    """

    __slots__ = ("_cut_until", "_out_of_reach")

    def __init__(self) -> None:
        # Zone to its servers that did not answer, with the time.
        self._out_of_reach: dict[str, dict[str, float]] = {}
        self._cut_until: dict[str, float] = {}

    def note_unreachable(self, now: float, zone: str, server_id: str) -> None:
        """Notes that a server did not answer."""
        servers = self._out_of_reach.setdefault(zone, {})
        servers[server_id] = now
        for known, at in list(servers.items()):
            if now - at > EVIDENCE_S:
                del servers[known]
        if len(servers) >= SERVERS_OUT_OF_REACH:
            self._cut_until[zone] = now + CUT_OFF_S

    def note_reached(self, zone: str) -> None:
        """Notes an answer from a zone."""
        self._out_of_reach.pop(zone, None)
        self._cut_until.pop(zone, None)

    def is_cut_off(self, now: float, zone: str) -> bool:
        """Tells whether requests should go to other zones."""
        return now < self._cut_until.get(zone, 0.0)
