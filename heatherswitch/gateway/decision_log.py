"""Log lines and counters of a gateway's decisions about requests and servers."""

import logging

from heatherswitch.gateway import events as ev
from heatherswitch.gateway.model import CallerRequest
from heatherswitch.gateway.reducer import GatewayReducer
from heatherswitch.gateway.response_timing import ResponseTiming
from heatherswitch.gateway.telemetry import Telemetry
from heatherswitch.util.clock import Clock

log = logging.getLogger("heatherswitch.gateway")

# Decimal places to which log lines round seconds.
LOG_DECIMALS = 4


class DecisionLog:
    """Logs and counts each decision, with the inputs that decided it.

    :param reducer: whose state at the time of a decision is logged with it.
    """

    __slots__ = ("_clock", "_reducer", "_telemetry")

    def __init__(
        self, clock: Clock, reducer: GatewayReducer, telemetry: Telemetry
    ) -> None:
        self._clock = clock
        self._reducer = reducer
        self._telemetry = telemetry

    def log_forward(self, caller_request: CallerRequest, forward: ev.Forward) -> None:
        """Logs that a request is sent to a server; for a repeat, also its budget."""
        self._telemetry.count_forward(forward)
        repeat = {}
        if forward.repeats:
            service = forward.server.service
            budget = self._reducer.retry_budget_left(self._clock.now(), service)
            repeat = {
                "service": service,
                "repeats": forward.repeats,
                "budget_left": round(budget, LOG_DECIMALS),
                "fleet_size": self._reducer.fleet_size,
            }
        log.info(
            "request forwarded",
            extra={
                "request": caller_request.id,
                "route": forward.route.name,
                "server": forward.server.id,
                "version": forward.server.version,
                "copy_from": forward.copy_source.id if forward.copy_source else "",
                "reason": forward.reason,
                "prompt": ",".join(
                    f"{p.id}:{p.tokens}" for p in caller_request.prompt_parts
                ),
                "time_left_s": round(
                    forward.deadline_at - self._clock.now(), LOG_DECIMALS
                ),
                "servers_age_s": round(forward.servers_age_s, LOG_DECIMALS),
                **repeat,
            },
        )

    def log_failure(
        self, caller_request: CallerRequest, forward: ev.Forward, outcome: ev.Outcome
    ) -> None:
        """Logs the outcome of an attempt that failed."""
        if isinstance(outcome, ev.Completed):
            return
        self._telemetry.count_failed_attempt(forward, outcome)
        log.info(
            "attempt failed",
            extra={
                "request": caller_request.id,
                "server": forward.server.id,
                "outcome": repr(outcome),
            },
        )

    def log_stall(
        self,
        caller_request: CallerRequest,
        forward: ev.Forward,
        stalled_s: float,
        decision: ev.Effect,
    ) -> None:
        """Logs that a server stalled, and whether the attempt goes on.

        :param stalled_s: seconds without progress.
        """
        self._telemetry.count_stall(forward, decision)
        log.info(
            "server stalled",
            extra={
                "request": caller_request.id,
                "server": forward.server.id,
                "stalled_s": round(stalled_s, LOG_DECIMALS),
                "decision": type(decision).__name__,
                "reason": getattr(decision, "reason", ""),
            },
        )

    def log_end(
        self,
        caller_request: CallerRequest,
        effect: ev.Effect,
        status: int,
        total_s: float,
        timing: ResponseTiming,
    ) -> None:
        """Logs the final response of a request.

        :param total_s: seconds since the request arrived.
        """
        self._telemetry.count_request(effect, status, total_s)
        current = self._reducer.configuration
        route = current.routes.find(caller_request.host, caller_request.path)
        log.info(
            "request ended",
            extra={
                "request": caller_request.id,
                "effect": type(effect).__name__,
                "status": status,
                "reason": getattr(effect, "reason", ""),
                "route": route.name if route else "",
                "configuration": current.version,
                "configuration_age_s": round(current.age_s(self._clock.now()), 2),
                "after_s": round(total_s, LOG_DECIMALS),
                **_timing_fields(timing),
            },
        )

    def log_caller_left(
        self, caller_request: CallerRequest, total_s: float, timing: ResponseTiming
    ) -> None:
        """Logs a request whose caller left before its final response."""
        self._telemetry.count_caller_left()
        log.info(
            "request not finished: the caller left",
            extra={
                "request": caller_request.id,
                "after_s": round(total_s, LOG_DECIMALS),
                **_timing_fields(timing),
            },
        )

    def log_server_change(self, effect: ev.ServerEffect) -> None:
        """Logs that a server was taken out or returned."""
        self._telemetry.count_server_change(effect)
        if isinstance(effect, ev.ServerTakenOut):
            log.info(
                "server taken out",
                extra={
                    "server": effect.server_id,
                    "request": effect.request_id,
                    "reason": effect.reason,
                    "source": effect.source,
                    "delay_s": _rounded(effect.delay_s),
                },
            )
        else:
            log.info(
                "server returned",
                extra={"server": effect.server_id, "reason": effect.reason},
            )


def _timing_fields(timing: ResponseTiming) -> dict[str, float | int | None]:
    """Returns the log fields of the last attempt's response times."""
    times = {
        "head_s": timing.head_s,
        "first_event_s": timing.first_event_s,
        "last_event_s": timing.last_event_s,
    }
    rounded = {name: _rounded(value) for name, value in times.items()}
    return {**rounded, "events": timing.events}


def _rounded(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, LOG_DECIMALS)
