"""What a gateway does when servers crash on parts of prompts, without I/O.

It reports requests that servers broke off, tells which requests are kept from the
servers, and exchanges both with the other gateways.
"""

from collections.abc import Mapping
from typing import Protocol

from heatherswitch.gateway import events as ev
from heatherswitch.gateway.clock_offsets import ClockOffsets
from heatherswitch.gateway.crash_report import CrashReport
from heatherswitch.gateway.group_shares import GroupShares
from heatherswitch.gateway.model import PromptPart, RequestKind, Server
from heatherswitch.gateway.peers import PeerView
from heatherswitch.gateway.pending import Pending
from heatherswitch.gateway.probes import PROBE_SLOT_S, Probes
from heatherswitch.gateway.prompt_quarantine import (
    REPORT_TTL_S,
    PromptQuarantine,
    part_hashes,
)
from heatherswitch.gateway.quarantine_changes import QuarantineChange
from heatherswitch.gateway.servers import ServerState
from heatherswitch.gateway.silent_requests import SilentRequest, SilentRequests

# Seconds of output after which a stream shows that its prompt does not crash the server.
# A server may write a first piece before it crashes.
BEGUN_S = 1.0


class ServerListing(Protocol):
    """The servers that the store lists."""

    def outlived(self, server_id: str, incarnation: int, at: float) -> bool:
        """Tells whether a start of a server certainly has not ended since a time."""


class CrashHandling:
    """The crash reports of the fleet and the requests that they keep back.

    :param own_id: id of this gateway in the fleet.
    :param peers: the other gateways.
    :param listing: the servers by which reports are checked.
    """

    __slots__ = (
        "_clocks",
        "_listing",
        "_peers",
        "_probes",
        "_quarantine",
        "_shares",
        "_silent",
    )

    def __init__(self, own_id: str, peers: PeerView, listing: ServerListing) -> None:
        self._quarantine = PromptQuarantine(own_id)
        self._listing = listing
        self._peers = peers
        self._clocks = ClockOffsets()
        self._probes = Probes(peers.owns)
        self._shares = GroupShares()
        self._silent = SilentRequests()

    @property
    def quarantined(self) -> Mapping[str, int]:
        """Number of crashes by each group of parts that is kept from the servers."""
        return self._quarantine.crash_counts

    @property
    def suspected_count(self) -> int:
        """Number of groups of parts of which single requests are let through."""
        return self._quarantine.suspected_count

    def refusal_s(self, now: float, pending: Pending) -> float | None:
        """Returns for how many seconds a request is kept from the servers.

        :returns: None if it may be sent now.
        """
        prompt = pending.request.prompt_parts
        if self._quarantine.is_held(now, prompt):
            return REPORT_TTL_S
        group = self._quarantine.blocking_group(prompt)
        if group is None:
            group = self._quarantine.suspected_group(now, prompt)
        elif not self._may_probe(now, group, pending):
            return REPORT_TTL_S
        if group is None or self._probes.allows(now, group, pending):
            return None
        return PROBE_SLOT_S

    def _may_probe(self, now: float, group: frozenset[str], pending: Pending) -> bool:
        """Tells whether a request may show that a quarantined group is sound."""
        if not self._shares.is_common(group, pending.route.name):
            return False
        prompt = pending.request.prompt_parts
        return self._quarantine.is_worth_probing(now, group, prompt)

    def note_request(self, pending: Pending) -> None:
        """Notes a request that arrived, once."""
        groups = self._quarantine.groups
        prompt = pending.request.prompt_parts
        if groups and prompt:
            parts = part_hashes(prompt)
            self._shares.note_request(groups, pending.route.name, parts)

    def apply(self, now: float, event: ev.CrashEvent) -> list[ev.Effect]:
        """Processes what other gateways reported."""
        match event:
            case ev.CrashReported():
                change = self._add_from_other(now, event.report)
            case ev.PeerCrashReceived():
                if not self._peers.is_peer(event.peer):
                    return [ev.RejectPeerMessage(event.peer)]
                report = event.report
                self._clocks.note(now, report.gateway_id, report.written_at)
                change = self._add_from_other(now, report)
            case ev.CrashReportRemoved():
                change = self._quarantine.remove(event.report_id)
            case ev.PartCleared():
                if event.peer and not self._peers.is_peer(event.peer):
                    return [ev.RejectPeerMessage(event.peer)]
                change = self._quarantine.clear(now, (event.part,), event.age_s)
        return _effects(change)

    def note_restored(self) -> list[ev.Effect]:
        """Writes the reports again that a restored store may have lost.

        Those of other gateways stay here until they expire, and are written by them.
        """
        reports = self._quarantine.own_reports()
        return [ev.RepublishCrashes(reports)] if reports else []

    def note_heartbeat(self, server: Server) -> list[ev.Effect]:
        """Notes that a server runs."""
        return list(self._quarantine.note_heartbeat(server))

    def note_answer(self, now: float, pending: Pending) -> list[ev.Effect]:
        """Notes that the server of a request's current attempt began to answer it."""
        server = pending.current_server.record
        sent_at = pending.times.sent_at
        return list(self._quarantine.note_answer(now, server, sent_at))

    def tick(self, now: float) -> list[ev.Effect]:
        """Removes old and wrong reports, and tells of completed requests."""
        self._silent.expire(now)
        effects = _effects(self._quarantine.expire(now))
        effects += self._quarantine.withdraw_outlived(self._listing.outlived)
        for age_s, parts in _by_age(now, self._quarantine.take_completions(now)):
            effects += self._clear(now, parts, age_s)
        return effects

    def report(
        self,
        now: float,
        serial: int,
        pending: Pending,
        state: ServerState,
        outcome: ev.Broken,
    ) -> list[ev.Effect]:
        """Reports a request whose server broke off when it began to write.

        A server that fell silent has not crashed, as far as this gateway can tell yet.
        One that had written for :data:`BEGUN_S` did not crash on this prompt, so that
        the parts are cleared of suspicion instead.
        """
        if outcome.silent:
            return self.note_silent(now, serial, pending, state)
        streamed = pending.route.kind is RequestKind.STREAMING
        if outcome.started and not streamed:
            return []
        prompt = pending.request.prompt_parts
        if _has_run(now, pending):
            return self._note_sound(now, prompt)
        return self._report(now, state.record, pending.times.sent_at, prompt)

    def note_silent(
        self, now: float, serial: int, pending: Pending, state: ServerState
    ) -> list[ev.Effect]:
        """Remembers a request whose server fell silent, or whose caller left before.

        It is reported once the server turns out to have ended.
        """
        sent_at, prompt = pending.times.sent_at, pending.request.prompt_parts
        if _has_run(now, pending) or not prompt:
            return []
        request = SilentRequest(state.record, sent_at, now, prompt)
        return self._report_silent(now, self._silent.note(serial, request))

    def note_ended(self, now: float, server: Server) -> list[ev.Effect]:
        """Reports the requests of a server that ended without saying so.

        Its entry in the store has expired, or shows another start.
        """
        return self._report_silent(now, self._silent.note_ended(now, server))

    def note_completed(
        self, now: float, pending: Pending, outcome: ev.Completed
    ) -> list[ev.Effect]:
        """Clears the parts of a completed prompt of suspicion."""
        if outcome.status >= 300:
            return []
        return self._note_sound(now, pending.request.prompt_parts)

    def _report_silent(
        self, now: float, requests: list[SilentRequest]
    ) -> list[ev.Effect]:
        effects: list[ev.Effect] = []
        for request in requests:
            effects += self._report(
                request.at, request.server, request.sent_at, request.prompt, now
            )
        return effects

    def _report(
        self,
        crashed_at: float,
        server: Server,
        sent_at: float,
        prompt: tuple[PromptPart, ...],
        now: float | None = None,
    ) -> list[ev.Effect]:
        """Reports a crash to all gateways.

        :param now: time of the report, if it is later than the crash.
        """
        effects: list[ev.Effect] = []
        for report in self._quarantine.report(crashed_at, server, sent_at, prompt, now):
            published = ev.PublishCrash(report)
            effects += [published, *self._peers.crash_messages(published)]
            effects += _effects(self._add(report.written_at, report))
        return effects

    def _note_sound(
        self, now: float, prompt: tuple[PromptPart, ...]
    ) -> list[ev.Effect]:
        parts = self._quarantine.note_completed(now, prompt)
        return self._clear(now, parts, 0.0) if parts else []

    def _add_from_other(
        self, now: float, report: CrashReport
    ) -> QuarantineChange | None:
        """Adds a report with its times by this gateway's clock."""
        offset_s = self._clocks.offset_s(report.gateway_id)
        sent_at, at = report.sent_at + offset_s, report.at + offset_s
        return self._add(now, report.replace(sent_at=sent_at, at=at))

    def _add(self, now: float, report: CrashReport) -> QuarantineChange | None:
        if self._listing.outlived(*report.crash, report.at):
            # A record in the store outlasts the proof that its server had not crashed.
            return None
        self._quarantine.note_suspected(now, report)
        return self._quarantine.add(report)

    def _clear(
        self, now: float, parts: tuple[str, ...], age_s: float
    ) -> list[ev.Effect]:
        """Clears parts of suspicion here and at the other gateways."""
        change = self._quarantine.clear(now, parts, age_s)
        published = ev.PublishCleared(parts, age_s)
        messages = self._peers.crash_messages(published)
        return [published, *messages, *_effects(change)]


def _has_run(now: float, pending: Pending) -> bool:
    """Tells whether a stream had output for so long that its prompt is sound."""
    begun_s = pending.times.first_event_s
    return begun_s is not None and now - pending.times.sent_at - begun_s >= BEGUN_S


def _by_age(
    now: float, completed_at: dict[str, float]
) -> list[tuple[float, tuple[str, ...]]]:
    """Returns the parts that were completed by one request, with its age in seconds."""
    by_age: dict[float, list[str]] = {}
    for part, at in completed_at.items():
        by_age.setdefault(now - at, []).append(part)
    return [(age_s, tuple(parts)) for age_s, parts in by_age.items()]


def _effects(change: QuarantineChange | None) -> list[ev.Effect]:
    return [change] if change else []
