"""Random interleavings of the gateways' protocols, and that they fail without each fence.

Each model plays the real decisions against a store or a fleet that misbehaves: writes
that are lost, refused or executed late, lapsed leases, frozen VMs, routers that come and
go. A class that takes a mechanism out must break the model's promise.
"""

import asyncio
import json
import random
import unittest

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from heatherswitch.gateway import events as ev
from heatherswitch.gateway.limits import Limits
from heatherswitch.gateway.rollout_owner import LEASE_TTL_S, OWNER_KEY, RolloutOwner
from heatherswitch.gateway.rollouts import (
    ExposureLimit,
    Rollout,
    RolloutOrder,
    RolloutState,
)
from heatherswitch.gateway.timing import Timing
from heatherswitch.platform.reader import PlatformReader
from heatherswitch.platform.store import confirmation_time
from heatherswitch.statecore.lease import LeaseLost
from heatherswitch.statecore.replica import Entry
from heatherswitch.statecore.store import (
    AmbiguousWrite,
    CompareFailed,
    StoreError,
    StoreUnavailable,
)
from test.gateway_fakes import API_KEY, Driver, configuration, server

EXAMPLES = settings(
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
# Without a mechanism a fault must be found; more examples than it takes.
MUTANTS = settings(EXAMPLES, max_examples=2000)

STATUS_KEY = "status/rollout/ledger"
OWNERS = st.sampled_from(("a", "b", "c"))

TIMING = Timing.from_bounds()


class ModelClock:
    """Time that the model sets."""

    def __init__(self) -> None:
        self.time = 100.0

    def now(self) -> float:
        return self.time


class ModelStore:
    """The platform's store with one pending fault for the next write.

    :ivar fault: "", "refused", "lost" after it took effect, or "late".
    :ivar late: lost writes that the store has not executed yet.
    :ivar statuses: owner of each executed status write, and what it wrote.
    """

    def __init__(self, clock: ModelClock) -> None:
        self.clock = clock
        self.revision = 10
        self.fault = ""
        self.late = []
        self.statuses: list[tuple[str, str, str]] = []
        self._items: dict[str, tuple[bytes, int, int]] = {}
        self._leases: dict[int, float] = {}

    async def get(self, key: str) -> Entry | None:
        self._expire()
        item = self._items.get(key)
        return Entry(key, item[1], item[0]) if item else None

    async def commit(self, compares, puts, deletes=(), lease_id=0) -> int:
        return self._write(lambda: self._commit(compares, puts, lease_id))

    async def grant(self, ttl_s: float) -> int:
        return self._write(lambda: self._grant(ttl_s))

    async def keep_alive(self, lease_id: int) -> float:
        self._expire()
        if lease_id not in self._leases:
            return 0.0
        self._leases[lease_id] = self.clock.time + LEASE_TTL_S
        return LEASE_TTL_S

    async def revoke(self, lease_id: int) -> None:
        self._leases.pop(lease_id, None)
        self._expire()

    def end_leases(self) -> None:
        """Ends all leases, as an outage with lapsing leases does."""
        self._leases.clear()
        self._expire()

    def owner(self) -> str:
        """Returns who holds the ownership now, or an empty string."""
        self._expire()
        item = self._items.get(OWNER_KEY)
        return json.loads(item[0])["owner"] if item else ""

    def _write(self, apply):
        fault, self.fault = self.fault, ""
        if fault == "refused":
            raise StoreUnavailable("status 503")
        if fault == "late":
            self.late.append(apply)
            raise AmbiguousWrite("no answer")
        result = apply()
        if fault == "lost":
            raise AmbiguousWrite("no answer")
        return result

    def _commit(self, compares, puts, lease_id: int) -> int:
        self._expire()
        for key, revision in compares.items():
            if self._items.get(key, (b"", 0, 0))[1] != revision:
                raise CompareFailed(key)
        if lease_id and lease_id not in self._leases:
            raise StoreError("no such lease")
        self.revision += 1
        for key, value in puts.items():
            self._items[key] = (value, self.revision, lease_id)
        if STATUS_KEY in puts:
            state = json.loads(puts[STATUS_KEY])["state"]
            writer = next(k for k in puts if k.startswith("writer/"))
            self.statuses.append((writer[7:], self.owner(), state))
        return self.revision

    def _grant(self, ttl_s: float) -> int:
        self.revision += 1
        self._leases[self.revision] = self.clock.time + ttl_s
        return self.revision

    def _expire(self) -> None:
        now = self.clock.time
        self._leases = {i: end for i, end in self._leases.items() if end > now}
        for key, (_, _, lease) in list(self._items.items()):
            if lease and lease not in self._leases:
                del self._items[key]


class SignedStore:
    """Adds the name of the writer to each write of a status."""

    def __init__(self, store: ModelStore, name: str) -> None:
        self._store = store
        self._name = name

    def __getattr__(self, name: str):
        return getattr(self._store, name)

    async def commit(self, compares, puts, deletes=(), lease_id=0) -> int:
        if STATUS_KEY in puts:
            puts = {**puts, f"writer/{self._name}": b""}
        compares = self.compared(compares)
        return await self._store.commit(compares, puts, deletes, lease_id)

    def compared(self, compares):
        return compares


class RolloutOwners(RuleBasedStateMachine):
    """Three gateways want to own a move; the store misbehaves."""

    store_of = SignedStore

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.clock = ModelClock()
        self.store = ModelStore(self.clock)
        order = RolloutOrder("ledger", "v2", 12.0, 5)
        self.owners, self.moves = {}, {}
        for name in ("a", "b", "c"):
            store = self.store_of(self.store, name)
            reader = PlatformReader()
            owner = RolloutOwner(store, reader, name, self.clock, dict)
            self.owners[name] = owner
            self.moves[name] = Rollout(100.0, order, name, 1, ExposureLimit())

    def teardown(self) -> None:
        self.loop.close()

    def call(self, name: str, step) -> None:
        """Runs one step of an owner as its loop does."""
        owner = self.owners[name]
        try:
            self.loop.run_until_complete(step(owner))
        except LeaseLost:
            owner._lease = None
        except StoreError:
            self.failed = True

    @rule(name=OWNERS)
    def own(self, name: str) -> None:
        self.call(name, lambda owner: owner._acquire_or_renew_lease())

    @rule(name=OWNERS, stage=st.integers(0, 2))
    def record(self, name: str, stage: int) -> None:
        if self.owners[name]._lease is not None:
            move = self.moves[name]
            self.call(name, lambda owner: owner._write_progress("ledger", move, stage))

    @rule(
        name=OWNERS,
        state=st.sampled_from((RolloutState.COMPLETED, RolloutState.ROLLED_BACK)),
    )
    def decide(self, name: str, state: RolloutState) -> None:
        if self.owners[name]._lease is not None:
            move = self.moves[name]
            self.call(name, lambda owner: owner._write_decision("ledger", move, state))

    @rule(fault=st.sampled_from(("refused", "lost", "late")))
    def fail_next_write(self, fault: str) -> None:
        self.store.fault = fault

    @rule()
    def execute_late_write(self) -> None:
        if self.store.late:
            apply = self.store.late.pop(0)
            try:
                apply()
            except StoreError:
                self.failed = True

    @rule(seconds=st.sampled_from((0.3, 1.0, 4.0)))
    def pass_time(self, seconds: float) -> None:
        self.clock.time += seconds

    @rule()
    def lapse(self) -> None:
        self.store.end_leases()

    @invariant()
    def decision_is_final(self) -> None:
        states = [state for _, _, state in self.store.statuses]
        decided = [s for s in states if s != RolloutState.RUNNING.value]
        assert decided in ([], states[-1:]), f"a decision was replaced: {states}"

    @invariant()
    def only_the_owner_writes(self) -> None:
        for writer, owner, _ in self.store.statuses:
            assert writer == owner, f"{writer} wrote while {owner!r} owned the move"


class WithoutLeaseFence(RolloutOwners):
    """Writes do not compare the key of the ownership."""

    class store_of(SignedStore):  # noqa: N801
        def compared(self, compares):
            return {k: r for k, r in compares.items() if k != OWNER_KEY or r == 0}


class WithoutStatusFence(RolloutOwners):
    """Writes do not compare the status that they replace."""

    class store_of(SignedStore):  # noqa: N801
        def compared(self, compares):
            return {k: r for k, r in compares.items() if k != STATUS_KEY}


# Seconds within which a withdrawn key must be refused, and what the gateway uses of it.
REVOKE_S = 5.0
KEY_AGE_S = 4.5


class Freshness(RuleBasedStateMachine):
    """A key is withdrawn while answers of the store are slow, lost or of the past.

    The store answers a watch from any moment between its arrival and its answer, and the
    answer takes any time to arrive. The VM may be frozen in between. The time of day
    jumps, but the gateway's clock is the one that goes on while the VM is suspended.
    """

    key_age_s = KEY_AGE_S

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.driver = Driver(Limits(key_max_age_s=self.key_age_s))
        self.driver.add_servers(server("l0"))
        self.driver.now = self.now
        self.version = 1
        self.withdrawn_at: float | None = None
        self.sent_at: float | None = None
        # What the store has answered, and the answer's way takes its time.
        self.answer: tuple[int, bool] | None = None

    @rule(seconds=st.floats(0.01, 3.0))
    def pass_time(self, seconds: float) -> None:
        """Lets time pass; a freeze is nothing else for a clock that goes on."""
        self.now += seconds
        self.driver.now = self.gateway_time(seconds)

    def gateway_time(self, seconds: float) -> float:
        return self.now

    @rule()
    def withdraw(self) -> None:
        if self.withdrawn_at is None:
            self.withdrawn_at = self.now
            self.version += 1

    @rule()
    def send_watch(self) -> None:
        if self.sent_at is None and self.answer is None:
            self.sent_at = self.driver.now

    @rule(waits=st.booleans())
    def store_answers(self, waits: bool) -> None:
        """Answers at once with a change, or after its wait without one."""
        if self.sent_at is None or self.answer is not None:
            return
        known = self.driver.reducer.configuration.version
        if known < self.version:
            self.answer = (self.version, True)
        elif waits:
            self.pass_time(TIMING.watch_wait_s)
            if known == self.version:
                self.answer = (self.version, False)

    @rule()
    def answer_arrives(self) -> None:
        if self.answer is None:
            return
        version, changed = self.answer
        if changed:
            keys = {} if self.withdrawn_at is not None else {API_KEY: None}
            if not keys:
                read = configuration(version, api_keys={})
                self.driver.apply(ev.ConfigurationRead(read))
        waited_s = 0.0 if changed else TIMING.watch_wait_s
        current_at = confirmation_time(self.sent_at, waited_s, self.driver.now)
        self.driver.apply(ev.StoreConfirmed(current_at))
        self.sent_at = self.answer = None

    @rule()
    def lose_answer(self) -> None:
        self.sent_at = self.answer = None

    @rule()
    def store_refuses(self) -> None:
        """The store refuses this VM and serves the others."""
        self.sent_at = self.answer = None

    @invariant()
    def withdrawn_key_is_refused_in_time(self) -> None:
        decision = self.driver.decide("/safe/1")
        if isinstance(decision, ev.Forward):
            self.driver.end_attempt(decision.serial, ev.Completed(200, 0.1))
            late = self.withdrawn_at is not None and (
                self.now > self.withdrawn_at + REVOKE_S
            )
            assert not late, "a withdrawn key was accepted"


class WithoutAgeBound(Freshness):
    """Keys are accepted whatever the age of the configuration."""

    key_age_s = float("inf")


class WithClockThatStops(Freshness):
    """The clock stands still while the VM is suspended."""

    def gateway_time(self, seconds: float) -> float:
        return self.driver.now + (seconds if seconds < 1.0 else 0.0)


class BudgetFleet:
    """Gateways that come and go while servers reject requests.

    :param divided: limits are divided by the gateways listed.
    """

    RATIO, SLACK, WINDOW_S = 0.2, 50.0, 10.0
    # Requests a second over all gateways, and the part of the time in which all is well.
    RATE, QUIET_SHARE = 120.0, 0.7
    # A gateway that ends stays listed for its lease, and a new one is listed late.
    LISTED_LATE_S = 6.0

    def __init__(self, seed: int, divided: bool = True) -> None:
        self.random = random.Random(seed)
        self.divided = divided
        self.now = 100.0
        self.ids = 0
        self.live: dict[str, Driver] = {}
        # Id to the time from which all know that it has come or gone.
        self.listed: dict[str, float] = {}
        self.requests: list[float] = []
        self.repeats: list[float] = []
        for _ in range(self.random.choice((2, 5, 12))):
            self.start(listed_at=0.0)

    def start(self, listed_at: float) -> None:
        self.ids += 1
        name = f"g{self.ids}"
        driver = Driver(
            Limits(budget_ratio=self.RATIO, budget_slack=self.SLACK), routers=()
        )
        driver.add_servers(*(server(f"l{n}") for n in range(4)))
        self.live[name] = driver
        self.listed[name] = listed_at

    def play(self, seconds: float) -> None:
        changes = [self.now + seconds * self.random.random() for _ in range(4)]
        end = self.now + seconds
        # Buckets are full when the servers begin to reject everything.
        failing_from = self.now + self.QUIET_SHARE * seconds
        while self.now < end:
            self.now += self.random.expovariate(self.RATE)
            if changes and self.now > min(changes):
                changes.remove(min(changes))
                self._change()
            self._request(self.now >= failing_from)

    def _change(self) -> None:
        if self.random.random() < 0.5 and len(self.live) > 1:
            gone = self.random.choice(list(self.live))
            del self.live[gone]
            self.listed[gone] = -(self.now + self.LISTED_LATE_S)
        else:
            self.start(self.now + self.random.uniform(0.0, 1.0))

    def _request(self, failing: bool) -> None:
        name = self.random.choice(list(self.live))
        driver = self.live[name]
        driver.now = self.now
        driver.apply(ev.StoreConfirmed(self.now))
        known = [n for n, at in self.listed.items() if 0 <= at <= self.now]
        known += [n for n, at in self.listed.items() if at < 0 and -at > self.now]
        driver.apply(ev.RoutersListed(tuple(known) if self.divided else (name,)))
        self.requests.append(self.now)
        sent = driver.decide("/safe/1")
        while isinstance(sent, ev.Forward):
            if not failing:
                driver.end_attempt(sent.serial, ev.Completed(200, 0.05))
                return
            sent = driver.end_attempt(sent.serial, ev.Rejected(503, False))
            if isinstance(sent, ev.Forward):
                self.repeats.append(self.now)

    def excess(self) -> float:
        """Returns the largest excess over the budget in any window."""
        worst = float("-inf")
        for start in self.repeats:
            used = self._count(self.repeats, start)
            shifts = (0.0, self.WINDOW_S, self.WINDOW_S / 2)
            asked = max(self._count(self.requests, start - s) for s in shifts)
            worst = max(worst, used - self.RATIO * asked - self.SLACK)
        return worst

    def _count(self, times: list[float], start: float) -> int:
        return sum(start <= at < start + self.WINDOW_S for at in times)


class ModelTest(unittest.TestCase):
    def assert_found(self, machine) -> None:
        with self.assertRaises(AssertionError):
            run_state_machine_as_test(machine, settings=MUTANTS)

    def test_decision_of_a_move_is_final_and_the_owners(self):
        """Guards moves against lost, late and refused writes and lapsed leases."""
        run_state_machine_as_test(RolloutOwners, settings=EXAMPLES)

    def test_owners_are_red_without_the_lease_fence(self):
        self.assert_found(WithoutLeaseFence)

    def test_owners_are_red_without_the_status_fence(self):
        self.assert_found(WithoutStatusFence)

    def test_withdrawn_key_is_refused_in_time(self):
        """Guards CONFIG against slow, lost and refused answers and frozen VMs."""
        run_state_machine_as_test(Freshness, settings=EXAMPLES)

    def test_freshness_is_red_without_the_age_bound(self):
        self.assert_found(WithoutAgeBound)

    def test_freshness_is_red_with_a_clock_that_stops(self):
        self.assert_found(WithClockThatStops)

    def test_repeats_of_a_changing_fleet_stay_within_the_budget(self):
        """Guards BUDGET while gateways start, end and are listed late."""
        for seed in range(8):
            fleet = BudgetFleet(seed)
            fleet.play(40.0)
            self.assertLessEqual(fleet.excess(), 0.0, f"seed {seed}")

    def test_budget_is_red_without_the_share(self):
        excesses = []
        for seed in range(3):
            fleet = BudgetFleet(seed, divided=False)
            fleet.play(40.0)
            excesses.append(fleet.excess())
        self.assertGreater(max(excesses), 0.0)


if __name__ == "__main__":
    unittest.main()
