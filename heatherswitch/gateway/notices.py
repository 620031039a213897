"""What backend servers say of themselves. Performs no I/O."""

from collections import OrderedDict

from heatherswitch.gateway.model import Server, ServerStart

# Longest time for which a server that asks for it gets no requests, in seconds. Then one
# request shows whether it still refuses, so that an absurd value does not take it out.
MAX_BUSY_S = 300.0
# Seconds for which the notices of a server without a store entry are remembered. An
# entry that expired in an outage of the store is back within seconds of its end, while a
# server that left ends within about a minute.
NOTICE_MEMORY_S = 300.0
# Maximum number of starts of servers whose notices are remembered. An entry takes about
# 400 bytes.
MAX_REMEMBERED_STARTS = 1000


class ServerNotices:
    """What one start of a server has said of itself, here or to another gateway.

    A server that wanted no requests for some time gets one at a time after that, until
    it has taken one.

    :ivar leaving: it is shutting down and must get no new requests.
    """

    __slots__ = ("leaving", "_busy_until", "_on_trial", "_trial_serial")

    def __init__(self) -> None:
        self.leaving = False
        self._busy_until = 0.0
        # True from a refusal that asks for time to the first request taken after it.
        self._on_trial = False
        # Serial number of the only request that the server has got since.
        self._trial_serial: int | None = None

    @property
    def out(self) -> bool:
        """True if the server gets no new requests, or only one at a time."""
        return self.leaving or self._on_trial

    @property
    def trial_runs(self) -> bool:
        """True while a request runs that shows whether the server takes work again."""
        return self._trial_serial is not None

    def busy_s(self, now: float) -> float:
        """Returns the seconds for which the server still wants no requests."""
        return max(0.0, self._busy_until - now)

    def note(self, now: float, leaving: bool, busy_s: float) -> str:
        """Notes what the server said in a response.

        :param leaving: it is shutting down, which holds until it starts again.
        :param busy_s: seconds for which it wants no requests; 0 for none.
        :returns: ``leaving`` or ``busy`` if the server is taken out by it, and an empty
            string if it was out already.
        """
        reason = ""
        if busy_s > 0:
            reason = "" if self.out else "busy"
            self._busy_until = max(self._busy_until, now + busy_s)
            self._on_trial = True
            self._trial_serial = None
        if leaving and not self.leaving:
            reason = "leaving"
            self.leaving = True
        return reason

    def start_request(self, serial: int) -> None:
        """Notes that a request is sent to the server."""
        if self._on_trial:
            self._trial_serial = serial

    def end_request(self, serial: int, taken: bool) -> None:
        """Notes that a request has ended or was taken.

        :param taken: the server has started to run it.
        """
        if serial == self._trial_serial:
            self._trial_serial = None
            self._on_trial = not taken


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

    def remember(
        self, now: float, server: Server | ServerStart, notices: ServerNotices
    ) -> None:
        """Keeps the notices of a start of a server for :data:`NOTICE_MEMORY_S`."""
        key = (server.id, server.incarnation)
        self._by_start[key] = notices, now
        self._by_start.move_to_end(key)
        while len(self._by_start) > MAX_REMEMBERED_STARTS:
            self._by_start.popitem(last=False)

    def find(self, now: float, server: Server | ServerStart) -> ServerNotices | None:
        """Returns the notices of a start of a server, or None."""
        notices, remembered_at = self._by_start.get(
            (server.id, server.incarnation), (None, now)
        )
        return notices if now - remembered_at < NOTICE_MEMORY_S else None

    def knows_start_of(self, server_id: str) -> bool:
        """Tells whether notices of a stated start of a server are remembered."""
        return any(
            known_id == server_id and incarnation
            for known_id, incarnation in self._by_start
        )
