"""Input events of the gateway's reducer and the effects that it returns."""

from heatherswitch.fleet.counters import Count
from heatherswitch.fleet.evidence import EvidenceRecord
from heatherswitch.fleet.peer_messages import PrefixHolder
from heatherswitch.gateway import crash_events
from heatherswitch.gateway.model import (
    CallerRequest,
    Configuration,
    Load,
    Route,
    Server,
    ServerStart,
)
from heatherswitch.gateway.outcomes import (
    Broken,
    Completed,
    FailedAnswer,
    Interrupted,
    NotSent,
    Rejected,
)
from heatherswitch.gateway.quarantine_changes import QuarantineEffect
from heatherswitch.gateway.rollout_records import Progress
from heatherswitch.gateway.rollouts import RolloutOrder, RolloutState
from heatherswitch.statecore.replica import Position
from heatherswitch.util.record import Record

Outcome = NotSent | Rejected | FailedAnswer | Broken | Interrupted | Completed


class RequestArrived(Record):
    """A caller's request was read completely.

    :param serial: number of the request, unique within this process.
    """

    __slots__ = (
        "serial",
        "request",
    )

    def __init__(self, serial: int, request: CallerRequest) -> None:
        self.serial = serial
        self.request = request


class ResponseStarted(Record):
    """The status line and headers of a response arrived.

    :param load: load that the server reports in the headers, or None.
    :param first_byte_s: seconds from sending the request to the response headers.
    :param success: the status shows that the server has started to run the request.
    :param cold_for_s: seconds for which the server says that it stays cold; 0 if warm.
    """

    __slots__ = (
        "serial",
        "load",
        "first_byte_s",
        "success",
        "cold_for_s",
    )

    def __init__(
        self,
        serial: int,
        load: Load | None,
        first_byte_s: float,
        success: bool,
        cold_for_s: float = 0.0,
    ) -> None:
        self.serial = serial
        self.load = load
        self.first_byte_s = first_byte_s
        self.success = success
        self.cold_for_s = cold_for_s


class AttemptStalled(Record):
    """The server of a running attempt made no progress for the stall timeout.

    The event is repeated after each further timeout without progress. The effect for the
    request is :class:`KeepWaiting`; any other one means that the attempt has ended with
    ``outcome`` and comes in its place.

    :param outcome: outcome of the attempt if it ends now.
    """

    __slots__ = (
        "serial",
        "outcome",
    )

    def __init__(self, serial: int, outcome: Broken) -> None:
        self.serial = serial
        self.outcome = outcome


class StreamProgressed(Record):
    """The first event of a stream arrived, or the interval between events is known.

    :param first_event_s: seconds from sending the request to the first event.
    :param event_interval_s: mean seconds between the first events, or None.
    """

    __slots__ = (
        "serial",
        "first_event_s",
        "event_interval_s",
    )

    def __init__(
        self, serial: int, first_event_s: float, event_interval_s: float | None
    ) -> None:
        self.serial = serial
        self.first_event_s = first_event_s
        self.event_interval_s = event_interval_s


class NoticeReceived(Record):
    """A backend server said in a response that it is leaving or wants no requests.

    It is separate from :class:`ResponseStarted`, since it also counts if the caller has
    left or the response belongs to another request.

    :param server: the server as the request was sent to it.
    :param request_id: id of the caller's request, for the log.
    :param busy_s: seconds for which it wants no requests; 0 for none.
    """

    __slots__ = (
        "server",
        "request_id",
        "leaving",
        "busy_s",
    )

    def __init__(
        self, server: Server, request_id: str, leaving: bool, busy_s: float = 0.0
    ) -> None:
        self.server = server
        self.request_id = request_id
        self.leaving = leaving
        self.busy_s = busy_s


class PeerNoticeReceived(Record):
    """Another gateway told that a start of a backend server is leaving.

    :param peer: address of the gateway.
    """

    __slots__ = ("peer", "start")

    def __init__(self, peer: str, start: ServerStart) -> None:
        self.peer = peer
        self.start = start


class AttemptEnded(Record):
    """An attempt to serve a request at a backend server ended."""

    __slots__ = (
        "serial",
        "outcome",
    )

    def __init__(self, serial: int, outcome: Outcome) -> None:
        self.serial = serial
        self.outcome = outcome


class CallerDisconnected(Record):
    """The caller closed its connection before the response was complete."""

    __slots__ = ("serial",)

    def __init__(self, serial: int) -> None:
        self.serial = serial


class ConfigurationRead(Record):
    """A version of the operators' configuration was read from the store.

    :param configuration: None if the newest version could not be decoded.
    """

    __slots__ = ("configuration",)

    def __init__(self, configuration: Configuration | None) -> None:
        self.configuration = configuration


class StoreConfirmed(Record):
    """Everything read from the store so far was up to date at a point in time.

    :param current_at: that time, in seconds of the reducer's clock.
    """

    __slots__ = ("current_at",)

    def __init__(self, current_at: float) -> None:
        self.current_at = current_at


class StoreRestored(Record):
    """The store was restored from a backup and has lost its latest changes.

    Operators and backend servers write theirs again. What follows from an entry that was
    lost holds until then, unless it can't be taken back at all.

    :param era: how often the store was restored.
    """

    __slots__ = ("era",)

    def __init__(self, era: int) -> None:
        self.era = era


class ServersConfirmed(Record):
    """The entries of backend servers were up to date at a point in time.

    The configuration may be older: it takes longer to read.

    :param current_at: that time, in seconds of the reducer's clock.
    """

    __slots__ = ("current_at",)

    def __init__(self, current_at: float) -> None:
        self.current_at = current_at


class ServerListed(Record):
    """A backend server's entry in the store was added or updated."""

    __slots__ = ("server",)

    def __init__(self, server: Server) -> None:
        self.server = server


class ServerRemoved(Record):
    """A backend server's entry was removed from the store.

    :param after_outage: the store was unreachable shortly before, so the entry may have
        expired although the server is alive.
    """

    __slots__ = (
        "server_id",
        "after_outage",
    )

    def __init__(self, server_id: str, after_outage: bool) -> None:
        self.server_id = server_id
        self.after_outage = after_outage


class ZonesOut(Record):
    """The set of zones that operators have taken out of service changed."""

    __slots__ = ("zones",)

    def __init__(self, zones: frozenset[str]) -> None:
        self.zones = zones


class RoutersListed(Record):
    """The list of live routers in the fleet changed.

    :param ids: ids of all live routers, including this one.
    :param addresses: pairs of router id and the ``host:port`` that receives messages
        from other routers; routers that receive none are left out.
    """

    __slots__ = (
        "ids",
        "addresses",
    )

    def __init__(
        self, ids: tuple[str, ...], addresses: tuple[tuple[str, str], ...] = ()
    ) -> None:
        self.ids = ids
        self.addresses = addresses


class RolloutOrdered(Record):
    """An operator ordered a rollout of another version of a service.

    :param order: None if the order was withdrawn.
    """

    __slots__ = (
        "service",
        "order",
    )

    def __init__(self, service: str, order: RolloutOrder | None) -> None:
        self.service = service
        self.order = order


class RolloutStatusRead(Record):
    """The recorded state of a rollout was read from the store.

    :param target: version that the rollout moves the service to.
    :param position: when the record was written.
    """

    __slots__ = (
        "service",
        "target",
        "state",
        "position",
    )

    def __init__(
        self, service: str, target: str, state: RolloutState, position: Position
    ) -> None:
        self.service = service
        self.target = target
        self.state = state
        self.position = position


class RolloutProgressRead(Record):
    """The progress record that the owner of a rollout keeps was read."""

    __slots__ = (
        "service",
        "progress",
    )

    def __init__(self, service: str, progress: Progress) -> None:
        self.service = service
        self.progress = progress


class RolloutEvidenceRead(Record):
    """Per-version request counts of another gateway during a rollout were read."""

    __slots__ = (
        "service",
        "records",
    )

    def __init__(self, service: str, records: tuple[EvidenceRecord, ...]) -> None:
        self.service = service
        self.records = records


class LoadReplyReceived(Record):
    """The owner of a server's request count replied to :class:`QueryLoad`.

    :param peer: address of the owner.
    :param key: key of the count, see :mod:`heatherswitch.gateway.peers`.
    :param other_requests: requests of all other gateways at the server.
    """

    __slots__ = (
        "serial",
        "peer",
        "key",
        "other_requests",
    )

    def __init__(self, serial: int, peer: str, key: str, other_requests: int) -> None:
        self.serial = serial
        self.peer = peer
        self.key = key
        self.other_requests = other_requests


class PrefixOwnerReplyReceived(Record):
    """The owner of a prompt part replied to :class:`QueryHolder`.

    :param holder: the part and a server that has it cached, if one is known.
    """

    __slots__ = (
        "serial",
        "peer",
        "holder",
    )

    def __init__(self, serial: int, peer: str, holder: PrefixHolder) -> None:
        self.serial = serial
        self.peer = peer
        self.holder = holder


class PeerQueryFailed(Record):
    """Another gateway did not reply to a query in time, or not with what was asked."""

    __slots__ = (
        "serial",
        "peer",
    )

    def __init__(self, serial: int, peer: str) -> None:
        self.serial = serial
        self.peer = peer


class PeerCountsReceived(Record):
    """Another gateway sent its own request counts.

    :param peer: address of the sender.
    :param incarnation: differs between two starts of the sender.
    :param sequence: increases with each message of one start; the reply repeats it.
    :param wants_reply: the sender asks for the sum of all other gateways' counts.
    :param holders: prompt parts for which the sender wants to know a server that has
        them cached, each with the server that the request is about to go to.
    """

    __slots__ = (
        "peer",
        "incarnation",
        "sequence",
        "counts",
        "wants_reply",
        "holders",
    )

    def __init__(
        self,
        peer: str,
        incarnation: int,
        sequence: int,
        counts: tuple[Count, ...],
        wants_reply: bool,
        holders: tuple[PrefixHolder, ...] = (),
    ) -> None:
        self.peer = peer
        self.incarnation = incarnation
        self.sequence = sequence
        self.counts = counts
        self.wants_reply = wants_reply
        self.holders = holders


class ServiceTotalsReceived(Record):
    """Another gateway sent the sums of all other gateways' counts for whole services."""

    __slots__ = (
        "peer",
        "counts",
    )

    def __init__(self, peer: str, counts: tuple[Count, ...]) -> None:
        self.peer = peer
        self.counts = counts


CrashEvent = crash_events.CrashEvent
CrashReported = crash_events.CrashReported
PeerCrashReceived = crash_events.PeerCrashReceived
CrashReportRemoved = crash_events.CrashReportRemoved
PartCleared = crash_events.PartCleared


class PeerFlushDue(Record):
    """Changed counts are due to be sent to the other gateways."""

    __slots__ = ()


class Tick(Record):
    """Periodic event that lets the reducer act on the passage of time."""

    __slots__ = ()


class GraceEnding(Record):
    """The gateway stops: every open request must get its final response now."""

    __slots__ = ()


Event = (
    RequestArrived
    | ResponseStarted
    | AttemptStalled
    | StreamProgressed
    | NoticeReceived
    | PeerNoticeReceived
    | AttemptEnded
    | CallerDisconnected
    | ConfigurationRead
    | StoreConfirmed
    | StoreRestored
    | ServersConfirmed
    | ServerListed
    | ServerRemoved
    | ZonesOut
    | RoutersListed
    | RolloutOrdered
    | RolloutStatusRead
    | RolloutProgressRead
    | RolloutEvidenceRead
    | LoadReplyReceived
    | PrefixOwnerReplyReceived
    | PeerQueryFailed
    | PeerCountsReceived
    | ServiceTotalsReceived
    | CrashEvent
    | PeerFlushDue
    | Tick
    | GraceEnding
)


class Forward(Record):
    """Send the request to a backend server.

    :param copy_source: server that has more of the prompt cached and from which
        ``server`` can copy it, or None.
    :param deadline_at: time by which the caller must have its final response.
    :param stall_timeout_s: seconds without progress after which
        :class:`AttemptStalled` is due; None for never.
    :param reason: which rule decided the choice, for the log.
    :param repeats: number of servers that the request has reached before.
    :param servers_age_s: seconds since the store confirmed the list of servers.
    """

    __slots__ = (
        "serial",
        "server",
        "copy_source",
        "route",
        "workspace",
        "priority",
        "deadline_at",
        "stall_timeout_s",
        "reason",
        "repeats",
        "servers_age_s",
    )

    def __init__(
        self,
        serial: int,
        server: Server,
        copy_source: Server | None,
        route: Route,
        workspace: str,
        priority: int,
        deadline_at: float,
        stall_timeout_s: float | None,
        reason: str,
        repeats: int = 0,
        servers_age_s: float = 0.0,
    ) -> None:
        self.serial = serial
        self.server = server
        self.copy_source = copy_source
        self.route = route
        self.workspace = workspace
        self.priority = priority
        self.deadline_at = deadline_at
        self.stall_timeout_s = stall_timeout_s
        self.reason = reason
        self.repeats = repeats
        self.servers_age_s = servers_age_s


class KeepWaiting(Record):
    """Go on with a stalled attempt until its deadline.

    :param reason: why the request is not sent to another server now.
    """

    __slots__ = (
        "serial",
        "reason",
    )

    def __init__(self, serial: int, reason: str) -> None:
        self.serial = serial
        self.reason = reason


class Refuse(Record):
    """Respond to the caller with an error status generated by the gateway.

    :param retry_after_s: seconds after which the caller should retry; None if a retry
        would not help.
    """

    __slots__ = (
        "serial",
        "status",
        "reason",
        "retry_after_s",
    )

    def __init__(
        self, serial: int, status: int, reason: str, retry_after_s: float | None = None
    ) -> None:
        self.serial = serial
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s


class Relay(Record):
    """Deliver the buffered error response of the last attempt."""

    __slots__ = ("serial",)

    def __init__(self, serial: int) -> None:
        self.serial = serial


class Cut(Record):
    """Abort the caller's connection because part of a response was already sent."""

    __slots__ = (
        "serial",
        "reason",
    )

    def __init__(self, serial: int, reason: str) -> None:
        self.serial = serial
        self.reason = reason


class Finish(Record):
    """The request is complete and needs no further action."""

    __slots__ = ("serial",)

    def __init__(self, serial: int) -> None:
        self.serial = serial


class QueryLoad(Record):
    """Ask the owner of a server's request count for it before forwarding a request.

    :param peer: address of the owner.
    :param count: requests of this gateway at the server, including the new one.
    """

    __slots__ = (
        "serial",
        "peer",
        "count",
    )

    def __init__(self, serial: int, peer: str, count: Count) -> None:
        self.serial = serial
        self.peer = peer
        self.count = count


class QueryHolder(Record):
    """Ask the owner of a prompt part which server has it cached.

    :param peer: address of the owner.
    :param holder: the part, and the server that the request is about to go to.
    """

    __slots__ = (
        "serial",
        "peer",
        "holder",
    )

    def __init__(self, serial: int, peer: str, holder: PrefixHolder) -> None:
        self.serial = serial
        self.peer = peer
        self.holder = holder


class SendCounts(Record):
    """Send counts of this gateway to another one.

    :param wants_reply: ask for the sum of all other gateways' counts.
    """

    __slots__ = (
        "peer",
        "counts",
        "wants_reply",
    )

    def __init__(
        self, peer: str, counts: tuple[Count, ...], wants_reply: bool = False
    ) -> None:
        self.peer = peer
        self.counts = counts
        self.wants_reply = wants_reply


class ReplyToPeer(Record):
    """Reply to a query of another gateway.

    :param in_reply_to: sequence number of the query.
    """

    __slots__ = (
        "peer",
        "in_reply_to",
        "counts",
        "holders",
    )

    def __init__(
        self,
        peer: str,
        in_reply_to: int,
        counts: tuple[Count, ...],
        holders: tuple[PrefixHolder, ...] = (),
    ) -> None:
        self.peer = peer
        self.in_reply_to = in_reply_to
        self.counts = counts
        self.holders = holders


class RejectPeerMessage(Record):
    """Ignore a message whose sender is not on the list of live routers."""

    __slots__ = ("peer",)

    def __init__(self, peer: str) -> None:
        self.peer = peer


class SendLeaving(Record):
    """Tell other gateways which starts of backend servers are leaving.

    :param peers: their addresses.
    """

    __slots__ = ("peers", "starts")

    def __init__(self, peers: tuple[str, ...], starts: tuple[ServerStart, ...]) -> None:
        self.peers = peers
        self.starts = starts


class ServerTakenOut(Record):
    """A backend server gets no new requests.

    :param request_id: id of the caller's request that it responded to; empty if the
        notice came from elsewhere.
    :param reason: ``leaving``, ``busy``, or ``removed`` if its entry disappeared.
    :param source: where this gateway learned of it: ``response``, ``store`` or
        ``peer``.
    :param delay_s: upper bound on the seconds from the time at which the store had the
        notice; None if unknown.
    """

    __slots__ = (
        "server_id",
        "request_id",
        "reason",
        "source",
        "delay_s",
    )

    def __init__(
        self,
        server_id: str,
        request_id: str,
        reason: str,
        source: str = "response",
        delay_s: float | None = None,
    ) -> None:
        self.server_id = server_id
        self.request_id = request_id
        self.reason = reason
        self.source = source
        self.delay_s = delay_s


class ServerReturned(Record):
    """A backend server that was taken out gets requests again.

    :param reason: why it was taken out.
    """

    __slots__ = (
        "server_id",
        "reason",
    )

    def __init__(self, server_id: str, reason: str) -> None:
        self.server_id = server_id
        self.reason = reason


CrashEffect = crash_events.CrashEffect
PublishCrash = crash_events.PublishCrash
PublishCleared = crash_events.PublishCleared
RepublishCrashes = crash_events.RepublishCrashes
SendCrash = crash_events.SendCrash
SendCleared = crash_events.SendCleared
PeerEffect = (
    SendCounts | ReplyToPeer | SendCrash | SendCleared | SendLeaving | RejectPeerMessage
)
ServerEffect = ServerTakenOut | ServerReturned
Effect = (
    Forward
    | KeepWaiting
    | Refuse
    | Relay
    | Cut
    | Finish
    | QueryLoad
    | QueryHolder
    | PeerEffect
    | CrashEffect
    | QuarantineEffect
    | ServerEffect
)
