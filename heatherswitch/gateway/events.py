"""Input events of the gateway's reducer and the effects that it returns."""

from dataclasses import dataclass

from heatherswitch.fleet.counters import Count
from heatherswitch.fleet.evidence import EvidenceRecord
from heatherswitch.fleet.peer_messages import PrefixHolder
from heatherswitch.gateway.model import (
    CallerRequest,
    Configuration,
    Load,
    Route,
    Server,
)
from heatherswitch.gateway.rollout_records import Progress
from heatherswitch.gateway.rollouts import RolloutOrder, RolloutState


@dataclass(frozen=True, slots=True)
class NotSent:
    """No connection to the backend server could be opened, so nothing was sent.

    :param refused: the VM is reachable, but nothing listens on the server's port.
    """

    reason: str
    refused: bool = False


@dataclass(frozen=True, slots=True)
class Rejected:
    """The backend server stated that it did not run the request.

    :param other_instance: the address now belongs to another backend server.
    """

    status: int
    other_instance: bool


@dataclass(frozen=True, slots=True)
class FailedAnswer:
    """The backend server ran the request and responded with an error status.

    The response is buffered and can still be delivered to the caller.
    """

    status: int


@dataclass(frozen=True, slots=True)
class Broken:
    """The response is missing or incomplete, so the request may have run.

    :param started: part of the response was sent to the caller.
    :param silent: the idle timeout or the deadline expired on an open connection.
    """

    reason: str
    started: bool = False
    silent: bool = False


@dataclass(frozen=True, slots=True)
class Completed:
    """The whole response was delivered to the caller.

    :param total_s: seconds from sending the request to the end of the response.
    """

    status: int
    total_s: float


Outcome = NotSent | Rejected | FailedAnswer | Broken | Completed


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A caller's request was read completely.

    :param serial: number of the request, unique within this process.
    """

    serial: int
    request: CallerRequest


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """The status line and headers of a response arrived.

    :param load: load that the server reports in the headers, or None.
    :param first_byte_s: seconds from sending the request to the response headers.
    :param success: the status shows that the server has started to run the request.
    :param cold_for_s: seconds for which the server says that it stays cold; 0 if warm.
    """

    serial: int
    load: Load | None
    first_byte_s: float
    success: bool
    cold_for_s: float = 0.0


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt to serve a request at a backend server ended."""

    serial: int
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller closed its connection before the response was complete."""

    serial: int


@dataclass(frozen=True, slots=True)
class ConfigurationRead:
    """A version of the operators' configuration was read from the store."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class StoreConfirmed:
    """Everything read from the store so far was up to date at a point in time.

    :param current_at: that time, in seconds of the reducer's clock.
    """

    current_at: float


@dataclass(frozen=True, slots=True)
class ServerListed:
    """A backend server's entry in the store was added or updated."""

    server: Server


@dataclass(frozen=True, slots=True)
class ServerRemoved:
    """A backend server's entry was removed from the store.

    :param after_outage: the store was unreachable shortly before, so the entry may have
        expired although the server is alive.
    """

    server_id: str
    after_outage: bool


@dataclass(frozen=True, slots=True)
class ZonesOut:
    """The set of zones that operators have taken out of service changed."""

    zones: frozenset[str]


@dataclass(frozen=True, slots=True)
class RoutersListed:
    """The list of live routers in the fleet changed.

    :param ids: ids of all live routers, including this one.
    :param addresses: pairs of router id and the ``host:port`` that receives messages
        from other routers; routers that receive none are left out.
    """

    ids: tuple[str, ...]
    addresses: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class RolloutOrdered:
    """An operator ordered a rollout of another version of a service.

    :param order: None if the order was withdrawn.
    """

    service: str
    order: RolloutOrder | None


@dataclass(frozen=True, slots=True)
class RolloutStatusRead:
    """The recorded state of a rollout was read from the store.

    :param target: version that the rollout moves the service to.
    :param revision: store revision of the record.
    """

    service: str
    target: str
    state: RolloutState
    revision: int


@dataclass(frozen=True, slots=True)
class RolloutProgressRead:
    """The progress record that the owner of a rollout keeps was read."""

    service: str
    progress: Progress


@dataclass(frozen=True, slots=True)
class RolloutEvidenceRead:
    """Per-version request counts of another gateway during a rollout were read."""

    service: str
    records: tuple[EvidenceRecord, ...]


@dataclass(frozen=True, slots=True)
class LoadReplyReceived:
    """The owner of a server's request count replied to :class:`QueryLoad`.

    :param peer: address of the owner.
    :param key: key of the count, see :mod:`heatherswitch.gateway.peers`.
    :param other_requests: requests of all other gateways at the server.
    """

    serial: int
    peer: str
    key: str
    other_requests: int


@dataclass(frozen=True, slots=True)
class PrefixOwnerReplyReceived:
    """The owner of a prompt part replied to :class:`QueryHolder`.

    :param holder: the part and a server that has it cached, if one is known.
    """

    serial: int
    peer: str
    holder: PrefixHolder


@dataclass(frozen=True, slots=True)
class PeerQueryFailed:
    """Another gateway did not reply to a query in time, or not with what was asked."""

    serial: int
    peer: str


@dataclass(frozen=True, slots=True)
class PeerCountsReceived:
    """Another gateway sent its own request counts.

    :param peer: address of the sender.
    :param incarnation: differs between two starts of the sender.
    :param sequence: increases with each message of one start; the reply repeats it.
    :param wants_reply: the sender asks for the sum of all other gateways' counts.
    :param holders: prompt parts for which the sender wants to know a server that has
        them cached, each with the server that the request is about to go to.
    """

    peer: str
    incarnation: int
    sequence: int
    counts: tuple[Count, ...]
    wants_reply: bool
    holders: tuple[PrefixHolder, ...] = ()


@dataclass(frozen=True, slots=True)
class ServiceTotalsReceived:
    """Another gateway sent the sums of all other gateways' counts for whole services."""

    peer: str
    counts: tuple[Count, ...]


@dataclass(frozen=True, slots=True)
class PeerFlushDue:
    """Changed counts are due to be sent to the other gateways."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Periodic event that lets the reducer act on the passage of time."""


Event = (
    RequestArrived
    | ResponseStarted
    | AttemptEnded
    | CallerDisconnected
    | ConfigurationRead
    | StoreConfirmed
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
    | PeerFlushDue
    | Tick
)


@dataclass(frozen=True, slots=True)
class Forward:
    """Send the request to a backend server.

    :param copy_source: server that has more of the prompt cached and from which
        ``server`` can copy it, or None.
    :param deadline_at: time by which the caller must have its final response.
    :param stall_timeout_s: seconds without progress after which the attempt is
        abandoned; None to wait until the deadline.
    :param reason: which rule decided the choice, for the log.
    """

    serial: int
    server: Server
    copy_source: Server | None
    route: Route
    workspace: str
    priority: int
    deadline_at: float
    stall_timeout_s: float | None
    reason: str


@dataclass(frozen=True, slots=True)
class Refuse:
    """Respond to the caller with an error status generated by the gateway.

    :param retry_after_s: seconds after which the caller should retry; None if a retry
        would not help.
    """

    serial: int
    status: int
    reason: str
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class Relay:
    """Deliver the buffered error response of the last attempt."""

    serial: int


@dataclass(frozen=True, slots=True)
class Cut:
    """Abort the caller's connection because part of a response was already sent."""

    serial: int
    reason: str


@dataclass(frozen=True, slots=True)
class Finish:
    """The request is complete and needs no further action."""

    serial: int


@dataclass(frozen=True, slots=True)
class QueryLoad:
    """Ask the owner of a server's request count for it before forwarding a request.

    :param peer: address of the owner.
    :param count: requests of this gateway at the server, including the new one.
    """

    serial: int
    peer: str
    count: Count


@dataclass(frozen=True, slots=True)
class QueryHolder:
    """Ask the owner of a prompt part which server has it cached.

    :param peer: address of the owner.
    :param holder: the part, and the server that the request is about to go to.
    """

    serial: int
    peer: str
    holder: PrefixHolder


@dataclass(frozen=True, slots=True)
class SendCounts:
    """Send counts of this gateway to another one.

    :param wants_reply: ask for the sum of all other gateways' counts.
    """

    peer: str
    counts: tuple[Count, ...]
    wants_reply: bool = False


@dataclass(frozen=True, slots=True)
class ReplyToPeer:
    """Reply to a query of another gateway.

    :param in_reply_to: sequence number of the query.
    """

    peer: str
    in_reply_to: int
    counts: tuple[Count, ...]
    holders: tuple[PrefixHolder, ...] = ()


@dataclass(frozen=True, slots=True)
class RejectPeerMessage:
    """Ignore a message whose sender is not on the list of live routers."""

    peer: str


PeerEffect = SendCounts | ReplyToPeer | RejectPeerMessage
Effect = Forward | Refuse | Relay | Cut | Finish | QueryLoad | QueryHolder | PeerEffect
