"""Requests whose servers fell silent, until it is known whether these crashed.

A server that loses power breaks no connection off, and a caller may leave before the
gateway notices. That alone is no evidence of a crash: the server may be slow or cut off.
Its next start, or its missing heartbeats, show it. No I/O, reads no clock.
"""

from collections import OrderedDict

from heatherswitch.gateway.model import PromptPart, Server
from heatherswitch.util.record import Record

# Seconds for which a request is remembered. An entry in the store expires after three
# heartbeats, 3.6 s, and the gateway learns of it within about 2 s.
SILENCE_TTL_S = 10.0
# Maximum number of requests, and of ended servers, that are remembered.
MAX_SILENT_REQUESTS = 1000
MAX_ENDED_SERVERS = 1000


class SilentRequest(Record):
    """A request whose server fell silent.

    :param server: the server as the request was sent to it.
    :param sent_at: time at which it was sent, in seconds of the clock.
    :param at: time at which the gateway gave up waiting.
    """

    __slots__ = ("server", "sent_at", "at", "prompt")

    def __init__(
        self,
        server: Server,
        sent_at: float,
        at: float,
        prompt: tuple[PromptPart, ...],
    ) -> None:
        self.server = server
        self.sent_at = sent_at
        self.at = at
        self.prompt = prompt


class SilentRequests:
    """The remembered requests, oldest first, and the servers that have ended."""

    __slots__ = ("_ended", "_requests")

    def __init__(self) -> None:
        self._requests: OrderedDict[int, SilentRequest] = OrderedDict()
        # Starts of servers that have ended, and when that was learned.
        self._ended: OrderedDict[tuple[str, int], float] = OrderedDict()

    def note(self, serial: int, request: SilentRequest) -> list[SilentRequest]:
        """Notes a request.

        :returns: the request if its server has ended, otherwise nothing.
        """
        if _start(request.server) in self._ended:
            return [request]
        self._requests[serial] = request
        while len(self._requests) > MAX_SILENT_REQUESTS:
            self._requests.popitem(last=False)
        return []

    def note_ended(self, now: float, server: Server) -> list[SilentRequest]:
        """Notes that a server ended without saying so; returns its requests."""
        start = _start(server)
        self._ended[start] = now
        self._ended.move_to_end(start)
        while len(self._ended) > MAX_ENDED_SERVERS:
            self._ended.popitem(last=False)
        serials = [s for s, r in self._requests.items() if _start(r.server) == start]
        return [self._requests.pop(serial) for serial in serials]

    def expire(self, now: float) -> None:
        """Forgets what is older than :data:`SILENCE_TTL_S`."""
        while self._requests:
            if now - next(iter(self._requests.values())).at < SILENCE_TTL_S:
                break
            self._requests.popitem(last=False)
        while self._ended:
            if now - next(iter(self._ended.values())) < SILENCE_TTL_S:
                break
            self._ended.popitem(last=False)


def _start(server: Server) -> tuple[str, int]:
    return (server.id, server.incarnation)
