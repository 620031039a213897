"""A caller's request after all checks, as the router passes it to agents."""

from dataclasses import dataclass, field

from heatherswitch.protocol import heatherswitch_pb2 as pb
from heatherswitch.router.events import NO_PARTITION, RequestArrived
from heatherswitch.util.http import Headers

# Largest value of the protocol's 32-bit deadline, in milliseconds.
MAX_DEADLINE_MS = 2**32 - 1


@dataclass(frozen=True, slots=True)
class Call:
    """One checked request.

    :param request_id: unique in the fleet; made by the router.
    :param caller_request_id: the id that the caller sees.
    :param deadline_at: seconds since the epoch.
    :param target: path and query for the backend server.
    :param route: path of the declared route, for evidence by route.
    :param stream: the answer is passed on as it arrives.
    """

    request_id: str
    caller_request_id: str
    service: str
    workspace: str
    request_class: str
    priority: int
    chat_key: str
    deadline_at: float
    method: str
    target: str
    route: str
    headers: Headers = field(default_factory=list)
    body: bytes = b""
    idempotent: bool = True
    idempotency_key: str = ""
    partition: int = NO_PARTITION
    stream: bool = False
    traceparent: str = ""

    def arrived(self, now: float) -> RequestArrived:
        """Returns the event that starts the request."""
        return RequestArrived(
            now,
            self.request_id,
            self.service,
            self.workspace,
            self.chat_key,
            self.deadline_at,
            self.idempotent,
            self.partition,
        )

    def to_message(self, now: float, attempt: int) -> pb.ExecuteRequest:
        """Returns the message of one attempt, without its agent.

        :param now: seconds since the epoch.
        """
        left_ms = int((self.deadline_at - now) * 1000)
        return pb.ExecuteRequest(
            request_id=self.request_id,
            attempt=attempt,
            service=self.service,
            workspace=self.workspace,
            request_class=self.request_class,
            chat_key=self.chat_key,
            idempotent=self.idempotent,
            idempotency_key=self.idempotency_key,
            deadline_ms=min(max(left_ms, 1), MAX_DEADLINE_MS),
            priority=self.priority,
            method=self.method,
            target=self.target,
            headers=[pb.Header(name=n, value=v) for n, v in self.headers],
            body=self.body,
            traceparent=self.traceparent,
        )
