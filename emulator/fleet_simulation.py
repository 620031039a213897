"""Simulates the placement decisions of many gateways in simulated time.

The gateways' reducers are those of the product; network, callers and model servers are
simple models. It shows the load of the servers when each gateway knows only part of the
requests of the others.
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
STORE_CONFIRM_INTERVAL_S = 1.0
CALLER_TIMEOUT_S = 12.0
# The platform bounds a server's load to the mean times a factor, plus some requests.
BOUND_FACTOR = 2.0
BOUND_SLACK = 3.0
# Seconds over which the platform evaluates the bound, and between samples of the load.
BOUND_WINDOW_S = 5.0
SAMPLE_INTERVAL_S = 0.25


@dataclass(frozen=True, slots=True)
class RequestClass:
    """Requests of one kind.

    :param rate: arrivals per second at all gateways together.
    :param service_time_s: mean processing time without slowdown by load, in seconds.
    :param chats: number of prompt prefixes that the requests share.
    :param popularity_exponent: exponent of the Zipf distribution over the chats.
    """

    name: str
    rate: float
    service_time_s: float
    chats: int
    popularity_exponent: float = 0.6


# Model requests of the large deployment at off-peak load.
OFF_PEAK_CLASSES = (
    RequestClass("appraisal", 51.0, 1.9, 600),
    RequestClass("question", 80.0, 1.3, 600),
    RequestClass("tag", 112.0, 0.15, 1900),
)


@dataclass(frozen=True, slots=True)
class Network:
    """Network between the gateways.

    :param delay_s: base one-way delay in seconds; the delay of each datagram is 0.7 to
        1.8 times as long.
    :param loss: share of the datagrams that are lost.
    :param partitioned: returns whether a datagram sent at a time from one gateway to
        another is dropped.
    """

    delay_s: float = 0.0008
    loss: float = 0.0
    partitioned: Callable[[float, int, int], bool] = lambda now, a, b: False


@dataclass(slots=True)
class SimulationResult:
    """Measurements of a simulation.

    :ivar arrivals: time of each arrival at a server, and whether the server's load was
        above the platform's bound.
    :ivar peak_ratios: ratio of the largest load to the mean load, for each sample.
    :ivar messages: number of datagrams by kind.
    :ivar refused: number of requests that the gateways refused.
    :ivar load_queries: number of load queries between gateways.
    :ivar waited_s: total time of requests at the gateways, in seconds.
    """

    arrivals: list[tuple[float, bool]] = field(default_factory=list)
    peak_ratios: list[float] = field(default_factory=list)
    messages: Counter = field(default_factory=Counter)
    refused: int = 0
    load_queries: int = 0
    waited_s: float = 0.0

    @property
    def over_bound(self) -> float:
        """Share of the arrivals at servers above the bound."""
        return sum(over_bound for _, over_bound in self.arrivals) / max(
            1, len(self.arrivals)
        )

    def worst_window_share(self, from_s: float = 0.0) -> float:
        """Largest share of arrivals above the bound in any evaluation window.

        :param from_s: simulated time before which arrivals are ignored.
        """
        worst, begin, over_bound = 0.0, 0, 0
        arrivals = [a for a in self.arrivals if a[0] >= from_s]
        for end, (at, is_over) in enumerate(arrivals):
            over_bound += is_over
            while at - arrivals[begin][0] > BOUND_WINDOW_S:
                over_bound -= arrivals[begin][1]
                begin += 1
            if at - arrivals[0][0] >= BOUND_WINDOW_S:
                worst = max(worst, over_bound / (end - begin + 1))
        return worst


class FleetSimulation:
    """Gateways, servers and callers in simulated time, which starts at 100 s.

    :param peers: whether the gateways know each other's addresses.
    :param slots: requests that a server is configured to run at once.
    """

    def __init__(
        self,
        gateways: int,
        servers: int,
        seed: int,
        classes: tuple[RequestClass, ...] = OFF_PEAK_CLASSES,
        network: Network | None = None,
        peers: bool = True,
        slots: int = 16,
    ) -> None:
        self.now = 100.0
        self.result = SimulationResult()
        self._random = random.Random(seed)
        self._network = network or Network()
        self._classes = classes
        self._peers = peers
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._insertion_order = itertools.count()
        self._loads = [0] * servers
        self._slots = slots
        self._servers = [_server(number, slots) for number in range(servers)]
        self._ids = [f"g{number}" for number in range(gateways)]
        self._incarnations = [1] * gateways
        self._message_numbers = itertools.count(1)
        self._serials = itertools.count(1)
        # Gateway and server of each running request, by its serial number.
        self._running: dict[int, tuple[int, int]] = {}
        self._chat_weights = {
            c.name: [1 / (n + 1) ** c.popularity_exponent for n in range(c.chats)]
            for c in classes
        }
        self._requests: dict[int, tuple[CallerRequest, RequestClass, float]] = {}
        self._reducers: list[GatewayReducer] = []
        for number in range(gateways):
            self._reducers.append(self._new_reducer(number))
            self._every(
                STORE_CONFIRM_INTERVAL_S, lambda n=number: self._confirm_store(n)
            )
            self._every(
                HOUSEKEEPING_INTERVAL_S,
                lambda n=number: self._apply_event(n, ev.Tick()),
            )
            self._every(
                PEER_FLUSH_INTERVAL_S,
                lambda n=number: self._apply_event(n, ev.PeerFlushDue()),
            )
        for request_class in classes:
            self._after(0.0, lambda c=request_class: self._create_request(c))
        self._every(SAMPLE_INTERVAL_S, self._sample)

    def run(self, seconds: float) -> SimulationResult:
        """Advances the simulation; returns the measurements since its start."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = end
        return self.result

    def restart(self, number: int) -> None:
        """Kills and restarts a gateway under a new id; its running requests are lost."""
        for serial, (gateway, server) in list(self._running.items()):
            if gateway == number:
                del self._running[serial]
                self._loads[server] -= 1
        self._ids[number] += "'"
        self._incarnations[number] += 1
        self._reducers[number] = self._new_reducer(number)
        for other, reducer in enumerate(self._reducers):
            if other != number:
                reducer.apply(self.now, self._routers_listed())

    def _new_reducer(self, number: int) -> GatewayReducer:
        reducer = GatewayReducer(self.now, self._ids[number], "a", {}, Limits())
        reducer.apply(self.now, ev.ConfigurationRead(_configuration(self._slots)))
        reducer.apply(self.now, ev.StoreConfirmed(self.now))
        reducer.apply(self.now, self._routers_listed())
        for record in self._servers:
            reducer.apply(self.now, ev.ServerListed(record))
        return reducer

    def _routers_listed(self) -> ev.RoutersListed:
        addresses = tuple((i, _address(n)) for n, i in enumerate(self._ids))
        return ev.RoutersListed(tuple(self._ids), addresses if self._peers else ())

    # Time

    def _after(self, seconds: float, action: Callable[[], None]) -> None:
        heapq.heappush(
            self._queue, (self.now + seconds, next(self._insertion_order), action)
        )

    def _every(self, seconds: float, action: Callable[[], None]) -> None:
        def again() -> None:
            action()
            self._after(seconds, again)

        self._after(self._random.uniform(0, seconds), again)

    def _confirm_store(self, number: int) -> None:
        self._reducers[number].apply(self.now, ev.StoreConfirmed(self.now))

    # Callers

    def _create_request(self, request_class: RequestClass) -> None:
        self._after(
            self._random.expovariate(request_class.rate),
            lambda: self._create_request(request_class),
        )
        serial = next(self._serials)
        weights = self._chat_weights[request_class.name]
        chat = self._random.choices(range(len(weights)), weights)[0]
        name = f"{request_class.name}-{chat}"
        parts = (PromptPart(name, 1000), PromptPart(f"r{serial}", 50))
        request = CallerRequest(
            f"r{serial}", HOST, "/chat/", CALLER_TIMEOUT_S, "", parts
        )
        self._requests[serial] = (request, request_class, self.now)
        gateway = self._random.randrange(len(self._reducers))
        self._apply_event(gateway, ev.RequestArrived(serial, request))

    # Effects

    def _apply_event(self, number: int, event: ev.Event) -> None:
        for effect in self._reducers[number].apply(self.now, event):
            match effect:
                case ev.Forward():
                    self._forward(number, effect)
                case ev.QueryLoad():
                    self._query_load(number, effect)
                case ev.QueryHolder():
                    self._query_holder(number, effect)
                case ev.SendCounts():
                    self._send_counts(number, effect)
                case ev.Refuse():
                    self.result.refused += 1
                    del self._requests[effect.serial]

    def _forward(self, number: int, forward: ev.Forward) -> None:
        server = int(forward.server.id[1:])
        mean = sum(self._loads) / len(self._loads)
        over_bound = self._loads[server] > BOUND_FACTOR * mean + BOUND_SLACK
        _, request_class, arrived_at = self._requests.pop(forward.serial)
        self.result.arrivals.append((self.now, over_bound))
        self.result.waited_s += self.now - arrived_at
        self._loads[server] += 1
        self._running[forward.serial] = (number, server)
        # A server gets slower with each running request.
        slowed = 1 + 0.5 * self._loads[server] / self._slots
        service_time_s = (
            request_class.service_time_s * slowed * self._random.uniform(0.6, 1.4)
        )
        self._after(
            service_time_s, lambda: self._end_request(forward.serial, service_time_s)
        )

    def _end_request(self, serial: int, service_time_s: float) -> None:
        found = self._running.pop(serial, None)
        if found is None:
            return
        number, server = found
        load = Load(self._loads[server], 0, self._slots)
        self._loads[server] -= 1
        self._apply_event(number, ev.ResponseStarted(serial, load, 0.05, True))
        self._apply_event(
            number, ev.AttemptEnded(serial, ev.Completed(200, service_time_s))
        )

    # Messages

    def _query_load(self, number: int, query: ev.QueryLoad) -> None:
        self.result.load_queries += 1
        peer = _gateway(query.peer)
        done = False

        def on_reply(counts: tuple[Count, ...]) -> None:
            nonlocal done
            if not done:
                done = True
                (count,) = counts
                reply = ev.LoadReplyReceived(
                    query.serial, query.peer, count.key, count.value
                )
                self._apply_event(number, reply)

        def on_timeout() -> None:
            nonlocal done
            if not done:
                done = True
                self._apply_event(number, ev.PeerQueryFailed(query.serial, query.peer))

        self._send_message(number, peer, (query.count,), True, on_reply)
        self._after(REPLY_TIMEOUT_S, on_timeout)

    def _query_holder(self, number: int, query: ev.QueryHolder) -> None:
        # Confirms the planned server: prompt caches do not affect the simulated load.
        self._apply_event(
            number, ev.PrefixOwnerReplyReceived(query.serial, query.peer, query.holder)
        )

    def _send_counts(self, number: int, send: ev.SendCounts) -> None:
        def on_reply(counts: tuple[Count, ...]) -> None:
            self._apply_event(number, ev.ServiceTotalsReceived(send.peer, counts))

        peer = _gateway(send.peer)
        self._send_message(number, peer, send.counts, send.wants_reply, on_reply)

    def _send_message(
        self, number, peer: int, counts, wants_answer: bool, on_reply
    ) -> None:
        message = ev.PeerCountsReceived(
            _address(number),
            self._incarnations[number],
            next(self._message_numbers),
            counts,
            wants_answer,
        )
        self.result.messages["ask" if wants_answer else "tell"] += 1

        def on_arrival() -> None:
            for effect in self._reducers[peer].apply(self.now, message):
                if isinstance(effect, ev.ReplyToPeer):
                    self.result.messages["told"] += 1
                    self._deliver(peer, number, lambda e=effect: on_reply(e.counts))

        self._deliver(number, peer, on_arrival)

    def _deliver(
        self, sender: int, receiver: int, on_arrival: Callable[[], None]
    ) -> None:
        lost = self._random.random() < self._network.loss
        if lost or self._network.partitioned(self.now, sender, receiver):
            return
        delay_s = self._network.delay_s * self._random.uniform(0.7, 1.8)
        self._after(delay_s, on_arrival)

    def _sample(self) -> None:
        mean = sum(self._loads) / len(self._loads)
        if mean > 0:
            self.result.peak_ratios.append(max(self._loads) / mean)


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
        timeout_s=CALLER_TIMEOUT_S,
        latency_objective_s=0.4,
        priority=1,
        max_servers=1,
        anonymous=True,
    )
    service = Service(SERVICE, 4096, 0.0, 0.0, True, slots)
    return Configuration(1, (route,), {SERVICE: service}, CallerLimits(), {}, False)
