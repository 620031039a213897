"""What backend servers say of themselves in their responses. Performs no I/O."""

from collections import OrderedDict

from heatherswitch.gateway.model import Server

# Seconds for which the notices of a server without a store entry are remembered. An
# entry that expired in an outage of the store is back within seconds of its end, while a
# server that left ends within about a minute.
NOTICE_MEMORY_S = 300.0
# Maximum number of starts of servers whose notices are remembered. An entry takes about
# 400 bytes.
MAX_REMEMBERED_STARTS = 1000


class ServerNotices:
    """What one start of a server has said of itself in its responses.

    :ivar leaving: it is shutting down and must get no new requests.
    """

    __slots__ = ("leaving",)

    def __init__(self) -> None:
        self.leaving = False

    @property
    def out(self) -> bool:
        """True if the server gets no new requests, or not as many as others."""
        return self.leaving

    def note_leaving(self) -> str:
        """Notes that the server is leaving, which holds until it starts again.

        :returns: ``leaving``, or an empty string if that was known.
        """
        reason = "" if self.leaving else "leaving"
        self.leaving = True
        return reason


class NoticeMemory:
    """Notices by server id and incarnation, for servers without a store entry.

    A new start of a server, or another id at its address, is another key.
    """

    __slots__ = ("_by_start",)

    def __init__(self) -> None:
        # The notices and when they were remembered, the newest last.
        self._by_start: OrderedDict[tuple[str, int], tuple[ServerNotices, float]] = (
            OrderedDict()
        )

    def remember(self, now: float, server: Server, notices: ServerNotices) -> None:
        """Keeps the notices of a start of a server for :data:`NOTICE_MEMORY_S`."""
        key = (server.id, server.incarnation)
        self._by_start[key] = notices, now
        self._by_start.move_to_end(key)
        while len(self._by_start) > MAX_REMEMBERED_STARTS:
            self._by_start.popitem(last=False)

    def find(self, now: float, server: Server) -> ServerNotices | None:
        """Returns the notices of a start of a server, or None."""
        notices, remembered_at = self._by_start.get(
            (server.id, server.incarnation), (None, now)
        )
        return notices if now - remembered_at < NOTICE_MEMORY_S else None
