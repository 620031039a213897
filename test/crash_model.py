"""Model of a fleet whose servers crash on one part of random prompts.

It plays gateways with the real crash handling, servers that crash and start again, and
messages and store records that are lost or late, in simulated time. A longer run than the
test's: ``python -m test.crash_model WORLDS SEED``; ``--help`` lists what else can fail.
"""

import argparse
import heapq
import itertools
import random
import statistics
from collections.abc import Callable, Iterable
from types import SimpleNamespace

from heatherswitch.gateway import events as ev
from heatherswitch.gateway.crash_handling import CrashHandling
from heatherswitch.gateway.limits import DEFAULT_ENTRY_TTL_S, DEFAULT_TIMING
from heatherswitch.gateway.model import PromptPart, RequestKind, Server
from heatherswitch.gateway.response_speed import AttemptTimes
from heatherswitch.statecore.hashing import rendezvous_score
from test.gateway_fakes import route, server

STREAM_ROUTE = route("/chat/", RequestKind.STREAMING, "engine")
CRASH_PART = PromptPart("crash", 100)
# contact_ms of the platform, in seconds.
CONTACT_S = 3.0
# BUDGET counts requests from the fifth crash on, and allows three.
BUDGET_CRASHES = 5
BUDGET_REQUESTS = 3
# LOST compares at least so many requests.
LOST_REQUESTS = 20
TICK_S = 0.5
# Requests with the part in one world, and the longest play, in seconds.
CRASHING_REQUESTS = 40
# Seconds from one request of a burst to the next, and in which a zone fails.
BURST_S = 0.02
ZONE_FAILURE_S = 0.2
LONGEST_S = 590.0
MAX_REQUESTS = 6000
BAD_SHARE = (0.02, 0.3)
FIRST_OUTPUT_S = (0.05, 0.5)
ANSWER_S = (0.3, 6.0)
RESTART_S = (2.0, 4.0)
# Seconds after which callers of a silent server leave, and its entry expires.
LEAVE_S = 2.0
EXPIRY_S = 3.6
# Seconds for which a start is listed if its server certainly has not crashed.
OUTLIVED_S = DEFAULT_ENTRY_TTL_S + DEFAULT_TIMING.outage_s
# Sound servers reset this share of their requests for some seconds.
RESET_SHARE = 0.45
RESET_S = 6.5
# Seconds between the restarts of two gateways, and of a restart.
RESTART_GAP_S = 1.0


class World:
    """Random parameters of one play.

    :ivar parts: largest number of parts of a prompt.
    :ivar per_s: requests a second at all gateways.
    :ivar loss: share of the datagrams that are lost.
    :ivar skew_s: largest deviation of a gateway's clock.
    :ivar burst: number of requests with the part that come together.
    :ivar pieces_before_crash: a server crashes after so many pieces of an answer.
    :ivar dark: a crashed server falls silent, and callers leave before the store tells.
    :ivar resets: sound servers reset a share of their requests for some seconds.
    :ivar restarts: all gateways are started again, one after the other, at some time.
    """

    def __init__(
        self,
        seed: int,
        skew_s: float = 0.0,
        pieces_before_crash: int = 0,
        burst: int = 1,
        dark: bool = False,
        resets: bool = False,
        restarts: bool = False,
    ) -> None:
        rng = random.Random(seed)
        self.seed = seed
        self.parts = rng.choice((2, 3, 5, 9, 16, 25, 40))
        self.gateways = rng.choice((1, 2, 3, 5, 12, 30, 80, 200))
        self.servers = rng.choice((4, 6, 12, 24, 40))
        self.per_s = 0.2 * 250 ** rng.random()
        self.bad_share = rng.uniform(*BAD_SHARE)
        self.loss = rng.choice((0.0, 0.0, 0.1, 0.5, 1.0))
        self.store_delay_s = rng.choice((0.2, 1.0, 2.3))
        self.warm_s = rng.choice((0.0, 5.0, 20.0))
        self.quiet_s = rng.choice((0.0, 0.0, 32.0, 90.0))
        # Chats whose turns several prompts share; 0 if each prompt has its own turns.
        self.chats = rng.choice((0, 1, 4, 30))
        # Parts that prompts draw from, those common to all, and the place of the part.
        self.shared_parts = rng.choice((3, 10, 60))
        self.common_parts = min(rng.choice((0, 1, 2)), self.parts - 2)
        self.crash_place = rng.random()
        self.other_crashes_per_s = rng.choice((0.0, 0.0, 0.02, 0.05))
        # Times at which half of the servers fail together.
        self.zone_failures = rng.choice((0, 0, 1, 2))
        self.skew_s = skew_s
        self.pieces_before_crash = pieces_before_crash
        self.burst = burst
        self.dark = dark
        self.resets = resets
        self.restarts = restarts


class Result:
    """What came of one world.

    :ivar crashes: time of each crash on the part.
    :ivar arrivals: send time of each request with the part that reached a server.
    :ivar sound: time of each sound request, and whether it was held back.
    """

    def __init__(self, world: World) -> None:
        self.world = world
        self.crashes: list[float] = []
        self.arrivals: list[float] = []
        self.sound: list[tuple[float, bool]] = []
        self.writes = 0

    @property
    def late_arrivals(self) -> int:
        """Requests that BUDGET counts."""
        if len(self.crashes) < BUDGET_CRASHES:
            return 0
        since = self.crashes[BUDGET_CRASHES - 1] + CONTACT_S
        return sum(at > since for at in self.arrivals)

    @property
    def held_back(self) -> tuple[int, int]:
        """Sound requests in the time that LOST counts: those held back, and all."""
        if not self.crashes:
            return 0, 0
        fifth = self.crashes[:BUDGET_CRASHES][-1]
        counted = [held for at, held in self.sound if at > fifth + 2 * CONTACT_S]
        return sum(counted), len(counted)

    @property
    def breaks_budget(self) -> bool:
        return self.late_arrivals > BUDGET_REQUESTS

    @property
    def breaks_lost(self) -> bool:
        held, count = self.held_back
        return count >= LOST_REQUESTS and held > count / 2


class Peers:
    """Takes the messages of one gateway to all others."""

    def __init__(self, own_id: str, names: tuple[str, ...]) -> None:
        self._own_id = own_id
        self._names = names

    def owns(self, key: str) -> bool:
        return self._own_id == max(
            self._names, key=lambda name: rendezvous_score(key, name)
        )

    def is_peer(self, address: str) -> bool:
        return address in self._names

    def crash_messages(self, effect: ev.CrashEffect) -> list[ev.Effect]:
        if isinstance(effect, ev.PublishCrash):
            return [ev.SendCrash(self._names, effect.report)]
        return [ev.SendCleared(self._names, effect)]


class Listing:
    """The servers that one gateway has read from the store.

    :ivar starts: the start of each listed server, and since when it is listed.
    """

    def __init__(self, now: Callable[[], float], delay_s: float, starts) -> None:
        self._now = now
        self._delay_s = delay_s
        self.starts: dict[str, tuple[int, float]] = starts

    def outlived(self, server_id: str, incarnation: int, at: float) -> bool:
        listed, since = self.starts.get(server_id, (0, 0.0))
        confirmed_at = self._now() - self._delay_s
        return listed == incarnation and confirmed_at - max(at, since) >= OUTLIVED_S


class Play:
    """Plays one world."""

    def __init__(self, world: World, new_gateway: Callable = CrashHandling) -> None:
        self.world = world
        self.rng = random.Random(world.seed)
        # Separate, so that the worlds stay the same whatever else is played in them.
        self.listing_rng = random.Random(f"listing/{world.seed}")
        self.trouble_rng = random.Random(f"trouble/{world.seed}")
        self.result = Result(world)
        self.now = 0.0
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        names = tuple(f"g{n}" for n in range(world.gateways))
        self.names = names
        self.offsets = [1e6 + self._skew() for _ in names]
        self.incarnations = {f"s{n}": 1 for n in range(world.servers)}
        self._new_gateway = new_gateway
        self.listings = [self._new_listing(number) for number in range(len(names))]
        self.gateways = [self._start_gateway(number) for number in range(len(names))]
        # Records that gateways have written to the store.
        self._records: list[ev.Event] = []
        self._resets_at = float("inf")
        self.down: set[str] = set()
        # Open requests of each server.
        self.open: dict[str, dict[int, SimpleNamespace]] = {
            s: {} for s in self.incarnations
        }
        self._numbers = itertools.count()

    def _new_listing(self, gateway: int) -> Listing:
        starts = {s: (n, 0.0) for s, n in self.incarnations.items()}
        return Listing(
            lambda: self.local_now(gateway), self.world.store_delay_s, starts
        )

    def _start_gateway(self, gateway: int) -> CrashHandling:
        name = self.names[gateway]
        peers = Peers(name, self.names)
        return self._new_gateway(name, peers, self.listings[gateway])

    def restart_gateway(self, gateway: int) -> None:
        """Starts a gateway anew, which knows only what is in the store."""
        now = self.local_now(gateway)
        listing = self.listings[gateway]
        listing.starts = {s: (n, now) for s, (n, _) in listing.starts.items()}
        self.gateways[gateway] = self._start_gateway(gateway)
        self.deliver(gateway, list(self._records))

    def relist(self, server_id: str, incarnation: int | None) -> None:
        """Tells each gateway of the start of a server; None if its entry has expired."""

        def note(gateway: int) -> None:
            starts = self.listings[gateway].starts
            if incarnation is not None:
                starts[server_id] = (incarnation, self.local_now(gateway))
            elif server_id in self.down:
                starts.pop(server_id, None)

        for gateway in range(self.world.gateways):
            delay_s = self.listing_rng.uniform(0.1, 1.0) * self.world.store_delay_s
            self.at(delay_s, lambda gateway=gateway: note(gateway))

    def _skew(self) -> float:
        return self.rng.uniform(-self.world.skew_s, self.world.skew_s)

    def at(self, delay_s: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + delay_s, next(self._order), call))

    def run(self) -> Result:
        """Plays until enough requests with the part have come."""
        world = self.world
        starts_at = world.warm_s + world.quiet_s
        seconds = CRASHING_REQUESTS / (world.per_s * world.bad_share)
        seconds = min(max(seconds, 30.0), LONGEST_S, MAX_REQUESTS / world.per_s)
        at = 0.0
        while at < starts_at + seconds:
            at += self.rng.expovariate(world.per_s)
            bad = at >= starts_at and self.rng.random() < world.bad_share
            if at < world.warm_s or at >= starts_at:
                again = world.burst - 1 if bad else 0
                self.at(at, lambda bad=bad, again=again: self.send(bad, again))
        if world.other_crashes_per_s:
            at = starts_at
            while at < starts_at + seconds:
                at += self.rng.expovariate(world.other_crashes_per_s)
                self.at(at, lambda: self.crash(self.rng.choice(list(self.open))))
        for _ in range(world.zone_failures):
            fails_at = self.rng.uniform(0.0, starts_at + seconds)
            for server_id in self.rng.sample(list(self.open), world.servers // 2):
                delay_s = fails_at + self.rng.random() * ZONE_FAILURE_S
                self.at(delay_s, lambda server_id=server_id: self.crash(server_id))
        for number in range(world.gateways):
            self.at(self.rng.random() * TICK_S, lambda n=number: self.tick(n))
        if world.resets:
            self._resets_at = starts_at
        if world.restarts:
            begins_at = starts_at + self.trouble_rng.random() * seconds / 4
            for number in range(world.gateways):
                delay_s = begins_at + number * min(RESTART_GAP_S, 10 / world.gateways)
                self.at(delay_s, lambda n=number: self.restart_gateway(n))
        self.ends_at = starts_at + seconds
        while self._events and self._events[0][0] <= self.ends_at:
            self.now, _, call = heapq.heappop(self._events)
            call()
        return self.result

    def local_now(self, gateway: int) -> float:
        return self.now + self.offsets[gateway]

    def tick(self, gateway: int) -> None:
        self.publish(gateway, self.gateways[gateway].tick(self.local_now(gateway)))
        self.at(TICK_S, lambda: self.tick(gateway))

    def prompt(self, bad: bool) -> tuple[PromptPart, ...]:
        """Returns a prompt; those with the part are otherwise like the sound ones."""
        world, rng, number = self.world, self.rng, next(self._numbers)
        if world.chats:
            # Same turns for the same chat, up to a random one.
            number = -rng.randrange(world.chats)
            rng = random.Random(f"{world.seed}/{number}")
        count = rng.randint(max(2, world.common_parts + 1), world.parts)
        parts = [f"common{n}" for n in range(world.common_parts)]
        left = count - 1 - len(parts)
        shared = min(rng.randint(0, left), world.shared_parts)
        parts += [f"shared{n}" for n in rng.sample(range(world.shared_parts), shared)]
        parts += [f"turn{number}-{n}" for n in range(count - 1 - len(parts))]
        if world.chats:
            shortest = min(world.common_parts, len(parts))
            del parts[self.rng.randint(shortest, len(parts)) :]
        found = [PromptPart(part, 100) for part in parts]
        if bad:
            place = int(world.crash_place * (len(found) + 1))
            found.insert(place, CRASH_PART)
        return (*found, PromptPart(f"own{next(self._numbers)}", 50))

    def send(self, bad: bool, again: int = 0) -> None:
        """Sends a request, and so many others with the part at nearly the same time."""
        gateway = self.rng.randrange(self.world.gateways)
        parts = self.prompt(bad)
        pending = SimpleNamespace(
            request=SimpleNamespace(prompt_parts=parts),
            times=AttemptTimes(self.local_now(gateway)),
            route=STREAM_ROUTE,
            partly_delivered=False,
            reached_server=False,
        )
        now = self.local_now(gateway)
        self.gateways[gateway].note_request(pending)
        held = self.gateways[gateway].refusal_s(now, pending) is not None
        if not bad:
            self.result.sound.append((self.now, held))
        elif again:
            self.at(self.rng.random() * BURST_S, lambda: self.send(True, again - 1))
        up = [s for s in self.open if s not in self.down]
        if held or not up:
            return
        server_id = self.rng.choice(up)
        number = next(self._numbers)
        start, _ = self.listings[gateway].starts.get(server_id, (0, 0.0))
        listed = server(server_id, "engine", incarnation=start)
        pending.current_server = SimpleNamespace(record=listed)
        request = SimpleNamespace(
            gateway=gateway, pending=pending, handling=self.gateways[gateway]
        )
        self.open[server_id][number] = request
        first_s = self.rng.uniform(*FIRST_OUTPUT_S)
        if bad:
            self.result.arrivals.append(self.now)
            self.at(first_s, lambda: self.crash(server_id, number))
            if self.world.pieces_before_crash:
                begin_s = 0.9 * first_s
                self.at(begin_s, lambda: self.begin(server_id, number, begin_s))
            return
        resets_s = self.now - self._resets_at
        if 0 <= resets_s < RESET_S and self.trouble_rng.random() < RESET_SHARE:
            self.at(first_s, lambda: self.reset(server_id, number))
            return
        self.at(first_s, lambda: self.begin(server_id, number, first_s))
        answer_s = first_s + self.rng.uniform(*ANSWER_S)
        self.at(answer_s, lambda: self.complete(server_id, number))

    def begin(self, server_id: str, number: int, first_s: float) -> None:
        """Delivers the first piece of an answer."""
        request = self.open[server_id].get(number)
        if request is not None:
            request.pending.times.first_event_s = first_s
            request.pending.partly_delivered = True
            self.gateways[request.gateway].note_answer(
                self.local_now(request.gateway), request.pending
            )

    def complete(self, server_id: str, number: int) -> None:
        request = self.open[server_id].pop(number, None)
        if request is None or request.handling is not self.gateways[request.gateway]:
            return
        effects = self.gateways[request.gateway].note_completed(
            self.local_now(request.gateway), request.pending, ev.Completed(200, 1.0)
        )
        self.publish(request.gateway, effects)

    def reset(self, server_id: str, number: int) -> None:
        """Breaks a request off at a server that goes on."""
        request = self.open[server_id].pop(number, None)
        if request is not None:
            self.report(request, self.record(server_id))

    def report(self, request: SimpleNamespace, record: Server) -> None:
        """Ends a request that its server broke off."""
        gateway = request.gateway
        if request.handling is not self.gateways[gateway]:
            return
        outcome = ev.Broken("cut", started=request.pending.partly_delivered)
        effects = self.gateways[gateway].report(
            self.local_now(gateway),
            next(self._numbers),
            request.pending,
            SimpleNamespace(record=record),
            outcome,
        )
        self.publish(gateway, effects)

    def crash(self, server_id: str, number: int | None = None) -> None:
        """Crashes a server, on one of its requests or for another reason."""
        if server_id in self.down or (
            number is not None and number not in self.open[server_id]
        ):
            return
        if number is not None:
            self.result.crashes.append(self.now)
        self.down.add(server_id)
        requests, self.open[server_id] = self.open[server_id], {}
        record = self.record(server_id)
        if self.world.dark:
            self.fall_silent(record, requests.values())
            requests = {}
        for request in requests.values():
            self.report(request, record)
        self.at(EXPIRY_S, lambda: self.relist(server_id, None))
        self.at(self.rng.uniform(*RESTART_S), lambda: self.restart(server_id))

    def fall_silent(self, record: Server, requests: Iterable[SimpleNamespace]) -> None:
        """Lets the callers of a crashed server leave and its entry expire."""
        for request in requests:
            self.at(LEAVE_S, lambda request=request: self.leave(request, record))
        for number, gateway in enumerate(self.gateways):
            delay_s = EXPIRY_S + self.rng.uniform(0.1, 1.0) * self.world.store_delay_s
            self.at(
                delay_s,
                lambda number=number, gateway=gateway: self.publish(
                    number, gateway.note_ended(self.local_now(number), record)
                ),
            )

    def leave(self, request: SimpleNamespace, record: Server) -> None:
        """Ends a request whose caller has waited in vain."""
        effects = self.gateways[request.gateway].note_silent(
            self.local_now(request.gateway),
            next(self._numbers),
            request.pending,
            SimpleNamespace(record=record),
        )
        self.publish(request.gateway, effects)

    def record(self, server_id: str) -> Server:
        return server(server_id, "engine", incarnation=self.incarnations[server_id])

    def restart(self, server_id: str) -> None:
        self.incarnations[server_id] += 1
        self.down.discard(server_id)
        self.relist(server_id, self.incarnations[server_id])

    def publish(self, gateway: int, effects: list[ev.Effect]) -> None:
        """Delivers what a gateway tells the others, by datagram and store."""
        sender, world = self.names[gateway], self.world
        for effect in effects:
            events: list[ev.Event] = []
            if isinstance(effect, ev.SendCrash):
                events = [ev.PeerCrashReceived(sender, effect.report)]
            elif isinstance(effect, ev.PublishCrash):
                events = [ev.CrashReported(effect.report)]
            elif isinstance(effect, ev.PublishCleared):
                parts, age_s = effect.parts, effect.age_s
                events = [ev.PartCleared(part, age_s) for part in parts]
            elif type(effect).__name__ == "SendCleared":
                parts, age_s = effect.cleared.parts, effect.cleared.age_s
                events = [ev.PartCleared(part, age_s, sender) for part in parts]
            from_store = isinstance(effect, ev.CrashEffect)
            if from_store:
                self._records += events
            self.result.writes += from_store
            for other in range(world.gateways) if events else ():
                if from_store:
                    delay_s = self.rng.uniform(0.1, 1.0) * world.store_delay_s
                elif other == gateway or self.rng.random() < world.loss:
                    continue
                else:
                    delay_s = self.rng.uniform(0.001, 0.02)
                self.at(delay_s, lambda o=other, e=events: self.deliver(o, e))

    def deliver(self, gateway: int, events: list[ev.Event]) -> None:
        for event in events:
            effects = self.gateways[gateway].apply(self.local_now(gateway), event)
            self.publish(gateway, effects)


def table(results: list[Result]) -> str:
    """Returns rows for docs/decisions/quarantine.md.

    Their columns: class, plays, crashes (median, 90th percentile, most), plays that break
    BUDGET, sound requests held back of all, plays that break LOST.
    """
    classes: list[tuple[str, Callable[[World], bool]]] = [
        ("all", lambda w: True),
        ("prompts of up to 5 parts", lambda w: w.parts <= 5),
        ("up to 9 to 16 parts", lambda w: 5 < w.parts <= 16),
        ("up to 25 to 40 parts", lambda w: w.parts > 16),
        ("1 to 5 gateways", lambda w: w.gateways <= 5),
        ("12 to 200 gateways", lambda w: w.gateways > 5),
        ("0.2 to 3 requests a second", lambda w: w.per_s < 3),
        ("3 to 50 requests a second", lambda w: w.per_s >= 3),
        ("all datagrams lost", lambda w: w.loss == 1.0),
    ]
    rows = []
    for name, matches in classes:
        chosen = [r for r in results if matches(r.world) and r.crashes]
        if not chosen:
            continue
        crashes = sorted(len(r.crashes) for r in chosen)
        held = sum(was_held for r in chosen for _, was_held in r.sound)
        count = sum(len(r.sound) for r in chosen)
        rows.append(
            f"| {name} | {len(chosen)} | {statistics.median(crashes):g}, "
            f"{crashes[int(0.9 * len(crashes))]}, {crashes[-1]} "
            f"| {sum(r.breaks_budget for r in chosen)} "
            f"| {held} of {count} | {sum(r.breaks_lost for r in chosen)} |"
        )
    return "\n".join(rows)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("worlds", type=int)
    parser.add_argument("seed", type=int)
    parser.add_argument("--skew-s", type=float, default=0.0)
    parser.add_argument("--pieces-before-crash", type=int, default=0)
    parser.add_argument("--burst", type=int, default=1)
    for name in ("dark", "resets", "restarts"):
        parser.add_argument(f"--{name}", action="store_true")
    options = vars(parser.parse_args())
    worlds, seed = options.pop("worlds"), options.pop("seed")
    results = []
    for number in range(worlds):
        world = World(seed + number, **options)
        results.append(Play(world).run())
        result = results[-1]
        if result.breaks_budget or result.breaks_lost:
            print(
                vars(world), len(result.crashes), result.late_arrivals, result.held_back
            )
    print(table(results))


if __name__ == "__main__":
    main()
