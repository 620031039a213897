"""What a gateway does when servers crash on parts of prompts, without I/O.

It reports requests that servers broke off, tells which requests are kept from the
servers, and exchanges both with the other gateways.
"""

from heatherswitch.gateway import events as ev
from heatherswitch.gateway.model import Server
from heatherswitch.gateway.peers import PeerView
from heatherswitch.gateway.pending import Pending
from heatherswitch.gateway.prompt_quarantine import PromptQuarantine, QuarantineChange
from heatherswitch.gateway.servers import ServerState


class CrashHandling:
    """The crash reports of the fleet and the requests that they keep back.

    :param own_id: id of this gateway in the fleet.
    :param peers: the other gateways.
    """

    __slots__ = ("_peers", "_quarantine")

    def __init__(self, own_id: str, peers: PeerView) -> None:
        self._quarantine = PromptQuarantine(own_id)
        self._peers = peers

    @property
    def quarantined_count(self) -> int:
        """Number of prompt parts that are kept from the servers."""
        return len(self._quarantine.crash_counts)

    def blocks(self, pending: Pending) -> bool:
        """Returns True if a request is kept from the servers."""
        return self._quarantine.blocks(pending.request.prompt_parts)

    def apply(self, now: float, event: ev.CrashEvent) -> list[ev.Effect]:
        """Processes what other gateways reported."""
        match event:
            case ev.CrashReported():
                change = self._quarantine.add(event.report)
            case ev.PeerCrashReceived():
                if not self._peers.is_peer(event.peer):
                    return [ev.RejectPeerMessage(event.peer)]
                change = self._quarantine.add(event.report)
            case ev.CrashReportRemoved():
                change = self._quarantine.remove(event.report_id)
            case ev.PartCleared():
                change = self._quarantine.clear((event.part,))
        return _effects(change)

    def note_heartbeat(self, server: Server) -> list[ev.Effect]:
        """Notes that a server runs."""
        return _effects(self._quarantine.note_heartbeat(server))

    def tick(self, now: float) -> list[ev.Effect]:
        """Acts on the passage of time."""
        return _effects(self._quarantine.expire(now))

    def report(
        self, now: float, pending: Pending, state: ServerState, outcome: ev.Broken
    ) -> list[ev.Effect]:
        """Reports a request whose server broke off before the first output.

        A silent server has not crashed, as far as this gateway can tell, and one that
        has sent output did not crash on the prompt.
        """
        if outcome.silent or pending.partly_delivered:
            return []
        prompt = pending.request.prompt_parts
        report = self._quarantine.report(
            now, state.record, pending.times.sent_at, prompt
        )
        if report is None:
            return []
        change = self._quarantine.add(report)
        messages = self._peers.crash_messages(report)
        return [ev.PublishCrash(report), *messages, *_effects(change)]

    def note_completed(
        self, now: float, pending: Pending, outcome: ev.Completed
    ) -> list[ev.Effect]:
        """Clears the parts of a completed prompt of suspicion."""
        if outcome.status >= 300:
            return []
        parts = self._quarantine.note_completed(now, pending.request.prompt_parts)
        if not parts:
            return []
        change = self._quarantine.clear(parts)
        return [ev.PublishCleared(parts), *_effects(change)]


def _effects(change: QuarantineChange | None) -> list[ev.Effect]:
    return [change] if change else []
