"""Plays the decisions of many gateways against each other in simulated time.

The reducers are the real ones; the network, the callers and the model servers are
simple. It shows what gateways that know little of each other do to the servers' load.
"""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from heatherswitch.fleet.counters import Count
from heatherswitch.gateway import events as ev
from heatherswitch.gateway.limits import Limits
from heatherswitch.gateway.model import (
    CallerLimits,
    CallerRequest,
    Configuration,
    Load,
    PromptPart,
    RequestKind,
    Route,
    Server,
    Service,
)
from heatherswitch.gateway.peer_link import REPLY_TIMEOUT_S
from heatherswitch.gateway.reducer import GatewayReducer
from heatherswitch.gateway.shell import HOUSEKEEPING_INTERVAL_S, PEER_FLUSH_INTERVAL_S

SERVICE = "engine"
HOST = "simulated.example"
CONFIRM_S = 1.0
CALLER_PATIENCE_S = 12.0
# The platform's bound on a server's load: a multiple of the mean, plus requests.
BOUND_FACTOR = 2.0
BOUND_SLACK = 3.0
# Span of the rule in seconds, and of each sample of the load.
RULE_WINDOW_S = 5.0
SAMPLE_S = 0.25


@dataclass(frozen=True, slots=True)
class RequestClass:
    """Requests of one kind.

    :param rate: arrivals a second at all gateways together.
    :param run_s: mean seconds at a server.
    :param chats: prompts that requests share, the popular ones more often.
    :param skew: exponent of the popularity.
    """

    name: str
    rate: float
    run_s: float
    chats: int
    skew: float = 0.6


# The model requests of the large deployment on a quiet day.
QUIET = (
    RequestClass("appraisal", 51.0, 1.9, 600),
    RequestClass("question", 80.0, 1.3, 600),
    RequestClass("tag", 112.0, 0.15, 1900),
)


@dataclass(frozen=True, slots=True)
class Network:
    """How datagrams travel.

    :param delay_s: mean seconds of one way.
    :param loss: part of the datagrams that is lost.
    :param cut: tells whether a datagram between two gateways is dropped at a time.
    """

    delay_s: float = 0.0008
    loss: float = 0.0
    cut: Callable[[float, int, int], bool] = lambda now, a, b: False


@dataclass(slots=True)
class Findings:
    """What a simulation saw.

    :ivar arrivals: time of each arrival at a server, and whether the server held more
        than the platform's bound.
    :ivar peaks: busiest server over the mean, for each sample.
    :ivar messages: datagrams by kind.
    """

    arrivals: list[tuple[float, bool]] = field(default_factory=list)
    peaks: list[float] = field(default_factory=list)
    messages: Counter = field(default_factory=Counter)
    refused: int = 0
    questions: int = 0
    waited_s: float = 0.0

    @property
    def over_bound(self) -> float:
        """Part of all arrivals at servers over the bound."""
        return sum(over for _, over in self.arrivals) / max(1, len(self.arrivals))

    def worst_window(self, from_s: float = 0.0) -> float:
        """Part of the arrivals over the bound in the worst window of the rule."""
        worst, begin, over = 0.0, 0, 0
        arrivals = [a for a in self.arrivals if a[0] >= from_s]
        for end, (at, is_over) in enumerate(arrivals):
            over += is_over
            while at - arrivals[begin][0] > RULE_WINDOW_S:
                over -= arrivals[begin][1]
                begin += 1
            if at - arrivals[0][0] >= RULE_WINDOW_S:
                worst = max(worst, over / (end - begin + 1))
        return worst


class FleetSimulation:
    """Gateways, servers and callers in simulated time.

    :param peers: gateways know each other's addresses.
    """

    def __init__(
        self,
        gateways: int,
        servers: int,
        seed: int,
        classes: tuple[RequestClass, ...] = QUIET,
        network: Network | None = None,
        peers: bool = True,
        slots: int = 16,
    ) -> None:
        self.now = 100.0
        self.findings = Findings()
        self._random = random.Random(seed)
        self._network = network or Network()
        self._classes = classes
        self._peers = peers
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._loads = [0] * servers
        self._slots = slots
        self._records = [_server(number, slots) for number in range(servers)]
        self._ids = [f"g{number}" for number in range(gateways)]
        self._runs = [1] * gateways
        self._numbers = itertools.count(1)
        self._serials = itertools.count(1)
        # Serial of a running request to its gateway and server.
        self._running: dict[int, tuple[int, int]] = {}
        self._weights = {
            c.name: [1 / (n + 1) ** c.skew for n in range(c.chats)] for c in classes
        }
        self._requests: dict[int, tuple[CallerRequest, RequestClass, float]] = {}
        self._reducers: list[GatewayReducer] = []
        for number in range(gateways):
            self._reducers.append(self._started(number))
            self._every(CONFIRM_S, lambda n=number: self._confirm(n))
            self._every(
                HOUSEKEEPING_INTERVAL_S, lambda n=number: self._give(n, ev.Tick())
            )
            self._every(
                PEER_FLUSH_INTERVAL_S, lambda n=number: self._give(n, ev.PeerFlushDue())
            )
        for request_class in classes:
            self._after(0.0, lambda c=request_class: self._arrive(c))
        self._every(SAMPLE_S, self._sample)

    def play(self, seconds: float) -> Findings:
        """Goes on for some seconds and returns what was seen so far."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = end
        return self.findings

    def restart(self, number: int) -> None:
        """Kills a gateway and starts it again; its requests are lost."""
        for serial, (gateway, server) in list(self._running.items()):
            if gateway == number:
                del self._running[serial]
                self._loads[server] -= 1
        self._ids[number] += "'"
        self._runs[number] += 1
        self._reducers[number] = self._started(number)
        for other, reducer in enumerate(self._reducers):
            if other != number:
                reducer.apply(self.now, self._listed())

    def _started(self, number: int) -> GatewayReducer:
        reducer = GatewayReducer(self.now, self._ids[number], "a", {}, Limits())
        reducer.apply(self.now, ev.ConfigurationRead(_configuration(self._slots)))
        reducer.apply(self.now, ev.StoreConfirmed(self.now))
        reducer.apply(self.now, self._listed())
        for record in self._records:
            reducer.apply(self.now, ev.ServerListed(record))
        return reducer

    def _listed(self) -> ev.RoutersListed:
        addresses = tuple((i, _address(n)) for n, i in enumerate(self._ids))
        return ev.RoutersListed(tuple(self._ids), addresses if self._peers else ())

    # Time

    def _after(self, seconds: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (self.now + seconds, next(self._order), action))

    def _every(self, seconds: float, action: Callable[[], None]) -> None:
        def again() -> None:
            action()
            self._after(seconds, again)

        self._after(self._random.uniform(0, seconds), again)

    def _confirm(self, number: int) -> None:
        self._reducers[number].apply(self.now, ev.StoreConfirmed(self.now))

    # Callers

    def _arrive(self, request_class: RequestClass) -> None:
        self._after(
            self._random.expovariate(request_class.rate),
            lambda: self._arrive(request_class),
        )
        serial = next(self._serials)
        weights = self._weights[request_class.name]
        chat = self._random.choices(range(len(weights)), weights)[0]
        name = f"{request_class.name}-{chat}"
        parts = (PromptPart(name, 1000), PromptPart(f"r{serial}", 50))
        request = CallerRequest(
            f"r{serial}", HOST, "/chat/", CALLER_PATIENCE_S, "", parts
        )
        self._requests[serial] = (request, request_class, self.now)
        gateway = self._random.randrange(len(self._reducers))
        self._give(gateway, ev.RequestArrived(serial, request))

    # Effects

    def _give(self, number: int, event: ev.Event) -> None:
        for effect in self._reducers[number].apply(self.now, event):
            match effect:
                case ev.Forward():
                    self._forward(number, effect)
                case ev.QueryLoad():
                    self._ask(number, effect)
                case ev.QueryHolder():
                    self._ask_holder(number, effect)
                case ev.SendCounts():
                    self._tell(number, effect)
                case ev.Refuse():
                    self.findings.refused += 1
                    del self._requests[effect.serial]

    def _forward(self, number: int, forward: ev.Forward) -> None:
        server = int(forward.server.id[1:])
        mean = sum(self._loads) / len(self._loads)
        over = self._loads[server] > BOUND_FACTOR * mean + BOUND_SLACK
        _, request_class, arrived_at = self._requests.pop(forward.serial)
        self.findings.arrivals.append((self.now, over))
        self.findings.waited_s += self.now - arrived_at
        self._loads[server] += 1
        self._running[forward.serial] = (number, server)
        # A server slows down the more it runs.
        slowed = 1 + 0.5 * self._loads[server] / self._slots
        run_s = request_class.run_s * slowed * self._random.uniform(0.6, 1.4)
        self._after(run_s, lambda: self._end(forward.serial, run_s))

    def _end(self, serial: int, run_s: float) -> None:
        found = self._running.pop(serial, None)
        if found is None:
            return
        number, server = found
        load = Load(self._loads[server], 0, self._slots)
        self._loads[server] -= 1
        self._give(number, ev.ResponseStarted(serial, load, 0.05, True))
        self._give(number, ev.AttemptEnded(serial, ev.Completed(200, run_s)))

    # Messages

    def _ask(self, number: int, ask: ev.QueryLoad) -> None:
        self.findings.questions += 1
        peer = _gateway(ask.peer)
        done = False

        def answered(counts: tuple[Count, ...]) -> None:
            nonlocal done
            if not done:
                done = True
                (count,) = counts
                told = ev.LoadReplyReceived(
                    ask.serial, ask.peer, count.key, count.value
                )
                self._give(number, told)

        def unanswered() -> None:
            nonlocal done
            if not done:
                done = True
                self._give(number, ev.PeerQueryFailed(ask.serial, ask.peer))

        self._send(number, peer, (ask.count,), True, answered)
        self._after(REPLY_TIMEOUT_S, unanswered)

    def _ask_holder(self, number: int, ask: ev.QueryHolder) -> None:
        # Who holds a part does not change the load, which is what is simulated.
        self._give(number, ev.HolderReplyReceived(ask.serial, ask.peer, ask.holder))

    def _tell(self, number: int, tell: ev.SendCounts) -> None:
        def answered(counts: tuple[Count, ...]) -> None:
            self._give(number, ev.ServiceTotalsReceived(tell.peer, counts))

        peer = _gateway(tell.peer)
        self._send(number, peer, tell.counts, tell.wants_reply, answered)

    def _send(self, number, peer: int, counts, wants_answer: bool, answered) -> None:
        message = ev.PeerCountsReceived(
            _address(number),
            self._runs[number],
            next(self._numbers),
            counts,
            wants_answer,
        )
        self.findings.messages["ask" if wants_answer else "tell"] += 1

        def arrives() -> None:
            for effect in self._reducers[peer].apply(self.now, message):
                if isinstance(effect, ev.ReplyToPeer):
                    self.findings.messages["told"] += 1
                    self._carry(peer, number, lambda e=effect: answered(e.counts))

        self._carry(number, peer, arrives)

    def _carry(self, sender: int, receiver: int, arrives: Callable[[], None]) -> None:
        lost = self._random.random() < self._network.loss
        if lost or self._network.cut(self.now, sender, receiver):
            return
        delay_s = self._network.delay_s * self._random.uniform(0.7, 1.8)
        self._after(delay_s, arrives)

    def _sample(self) -> None:
        mean = sum(self._loads) / len(self._loads)
        if mean > 0:
            self.findings.peaks.append(max(self._loads) / mean)


def _address(number: int) -> str:
    return f"10.0.0.{number}:7341"


def _gateway(address: str) -> int:
    return int(address.partition(":")[0].rpartition(".")[2])


def _server(number: int, slots: int) -> Server:
    return Server(
        id=f"s{number}",
        incarnation=1,
        service=SERVICE,
        host="10.1.0.1",
        port=8000 + number,
        zone="a",
        version="v1",
        slots=slots,
        draining=False,
        cold_for_s=0.0,
    )


def _configuration(slots: int) -> Configuration:
    route = Route(
        name="chat",
        host=HOST,
        prefix="/chat/",
        kind=RequestKind.STREAMING,
        service_weights=((SERVICE, 1.0),),
        timeout_s=CALLER_PATIENCE_S,
        latency_objective_s=0.4,
        priority=1,
        max_servers=1,
        anonymous=True,
    )
    service = Service(SERVICE, 4096, 0.0, 0.0, True, slots)
    return Configuration(1, (route,), {SERVICE: service}, CallerLimits(), {}, False)
