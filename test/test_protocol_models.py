"""Model checks of the gateways' protocols with random interleavings.

Each model runs the real decision code against a simulated store or fleet with faults:
writes that are refused, executed late or get no response, expired leases, suspended
VMs, gateways that start and stop. Variants of the models disable one safety mechanism
each, and the checks must find a violation in them.
"""

import asyncio
import contextlib
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
from heatherswitch.statecore.replica import Entry, Position
from heatherswitch.statecore.store import (
    AmbiguousWrite,
    CompareFailed,
    StoreError,
    StoreUnavailable,
)
from test.gateway_fakes import API_KEY, Driver, configuration, server

MODEL_SETTINGS = settings(
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
# For the variants. A violation must be found, which takes more examples.
VARIANT_SETTINGS = settings(MODEL_SETTINGS, max_examples=2000)

STATUS_KEY = "status/rollout/ledger"
GATEWAY_NAMES = st.sampled_from(("a", "b", "c"))

TIMING = Timing.from_bounds()


class ModelClock:
    """Clock that shows the time that the model sets, in seconds."""

    def __init__(self) -> None:
        self.time = 100.0

    def now(self) -> float:
        return self.time


class ModelStore:
    """In-memory store of the platform whose next write can fail.

    :ivar fault: fault of the next write: empty for none, "refused", "lost" if it is
        executed without a response, or "late" if it is also executed only later.
    :ivar delayed_writes: writes that got no response and are not executed yet, oldest
        first.
    :ivar statuses: writer, owner at the time and state of each executed status write.
    """

    def __init__(self, clock: ModelClock) -> None:
        self.clock = clock
        self.revision = 10
        self.era = 1
        self.fault = ""
        self.delayed_writes = []
        self.statuses: list[tuple[str, str, str]] = []
        # Key to value, revision and lease id.
        self._items: dict[str, tuple[bytes, int, int]] = {}
        # Lease id to the time of expiry.
        self._leases: dict[int, float] = {}

    async def get(self, key: str) -> Entry | None:
        self._expire()
        item = self._items.get(key)
        return Entry(key, item[1], item[0], self.era) if item else None

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

    def back_up(self) -> tuple:
        """Returns a backup of entries, leases and the revision."""
        self._expire()
        return self.revision, dict(self._items), dict(self._leases)

    def restore(self, backup: tuple) -> None:
        """Goes back to a backup; revisions and lease ids are given out again."""
        revision, items, leases = backup
        self.revision, self._items = revision, dict(items)
        self._leases = dict.fromkeys(leases, self.clock.time + LEASE_TTL_S)
        self.era += 1
        self.statuses.clear()

    def end_leases(self) -> None:
        """Expires all leases, as an outage that outlasts their time to live does."""
        self._leases.clear()
        self._expire()

    def owner(self) -> str:
        """Returns the name of the current owner; empty if there is none."""
        self._expire()
        item = self._items.get(OWNER_KEY)
        return json.loads(item[0])["owner"] if item else ""

    def _write(self, apply):
        fault, self.fault = self.fault, ""
        if fault == "refused":
            raise StoreUnavailable("status 503")
        if fault == "late":
            self.delayed_writes.append(apply)
            raise AmbiguousWrite("no response")
        result = apply()
        if fault == "lost":
            raise AmbiguousWrite("no response")
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


class WriterTaggingStore:
    """Adds the name of the writer to each write of a rollout status.

    Subclasses leave out comparisons of a write in :meth:`select_compares`.
    """

    def __init__(self, store: ModelStore, name: str) -> None:
        self._store = store
        self._name = name

    def __getattr__(self, name: str):
        return getattr(self._store, name)

    async def commit(self, compares, puts, deletes=(), lease_id=0) -> int:
        if STATUS_KEY in puts:
            puts = {**puts, f"writer/{self._name}": b""}
        compares = self.select_compares(compares)
        return await self._store.commit(compares, puts, deletes, lease_id)

    def select_compares(self, compares):
        return compares


class RolloutOwnershipModel(RuleBasedStateMachine):
    """Three gateways compete for the ownership of a rollout; the store has faults."""

    store_class = WriterTaggingStore

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.clock = ModelClock()
        self.store = ModelStore(self.clock)
        order = RolloutOrder("ledger", "v2", 12.0, Position(1, 5))
        self.owners, self.rollouts = {}, {}
        for name in ("a", "b", "c"):
            store = self.store_class(self.store, name)
            reader = PlatformReader()
            owner = RolloutOwner(store, reader, name, self.clock, dict)
            self.owners[name] = owner
            self.rollouts[name] = Rollout(100.0, order, name, 1, ExposureLimit())

    def teardown(self) -> None:
        self.loop.close()

    def run_step(self, name: str, step) -> None:
        """Runs one step of an owner with the error handling of its loop."""
        owner = self.owners[name]
        try:
            self.loop.run_until_complete(step(owner))
        except LeaseLost:
            owner._lease = None
        except StoreError:
            self.failed = True

    @rule(name=GATEWAY_NAMES)
    def obtain_or_renew_lease(self, name: str) -> None:
        self.run_step(name, lambda owner: owner._acquire_or_renew_lease())

    @rule(name=GATEWAY_NAMES, stage=st.integers(0, 2))
    def record_progress(self, name: str, stage: int) -> None:
        if self.owners[name]._lease is not None:
            rollout = self.rollouts[name]
            self.run_step(
                name, lambda owner: owner._write_progress("ledger", rollout, stage)
            )

    @rule(
        name=GATEWAY_NAMES,
        state=st.sampled_from((RolloutState.COMPLETED, RolloutState.ROLLED_BACK)),
    )
    def decide_rollout(self, name: str, state: RolloutState) -> None:
        if self.owners[name]._lease is not None:
            rollout = self.rollouts[name]
            self.run_step(
                name, lambda owner: owner._write_decision("ledger", rollout, state)
            )

    @rule(fault=st.sampled_from(("refused", "lost", "late")))
    def fail_next_write(self, fault: str) -> None:
        self.store.fault = fault

    @rule()
    def execute_late_write(self) -> None:
        if self.store.delayed_writes:
            apply = self.store.delayed_writes.pop(0)
            try:
                apply()
            except StoreError:
                self.failed = True

    @rule(seconds=st.sampled_from((0.3, 1.0, 4.0)))
    def pass_time(self, seconds: float) -> None:
        self.clock.time += seconds

    @rule()
    def lapse_leases(self) -> None:
        self.store.end_leases()

    @invariant()
    def decision_is_final(self) -> None:
        states = [state for _, _, state in self.store.statuses]
        decided = [s for s in states if s != RolloutState.RUNNING.value]
        assert decided in ([], states[-1:]), f"a final status was overwritten: {states}"

    @invariant()
    def only_the_owner_writes(self) -> None:
        for writer, owner, _ in self.store.statuses:
            assert writer == owner, (
                f"{writer} wrote a status while the owner was {owner!r}"
            )


class RestoredStoreModel(RolloutOwnershipModel):
    """Variant whose store is restored from backups, also while writes are on their way.

    Decisions are final within an era here; that they are written again after a restore is
    tested in ``test_rollout_restore``.
    """

    def __init__(self) -> None:
        super().__init__()
        self.backup = self.store.back_up()

    @rule()
    def back_up(self) -> None:
        self.backup = self.store.back_up()

    @rule()
    def restore(self) -> None:
        self.store.restore(self.backup)

    @rule(name=GATEWAY_NAMES)
    def renew_own_lease_only(self, name: str) -> None:
        """A gateway that holds the lease after a renewal is the owner in the store."""
        self.run_step(name, lambda owner: owner._acquire_or_renew_lease())
        lease = self.owners[name]._lease
        if lease is None or lease._era != self.store.era:
            return
        if lease.is_held(self.clock.time):
            assert self.store.owner() == name, f"{name} renewed another's lease"


class WithoutLeaseFence(RolloutOwnershipModel):
    """Variant whose writes do not check that the owner still holds the lease."""

    class store_class(WriterTaggingStore):  # noqa: N801
        def select_compares(self, compares):
            return {
                key: revision
                for key, revision in compares.items()
                if not key.startswith(OWNER_KEY) or revision == 0
            }


class WithoutStatusFence(RolloutOwnershipModel):
    """Variant whose writes do not check the revision of the status they replace."""

    class store_class(WriterTaggingStore):  # noqa: N801
        def select_compares(self, compares):
            return {k: r for k, r in compares.items() if k != STATUS_KEY}


# Seconds within which a withdrawn key must be refused.
REVOCATION_LIMIT_S = 5.0
# Age in seconds up to which the gateway accepts keys of its configuration.
KEY_MAX_AGE_S = 4.5


class KeyRevocationModel(RuleBasedStateMachine):
    """A key is withdrawn while responses of the store are slow, lost or outdated.

    A response shows the store at any moment between the arrival of the watch and the
    response, and takes any time to arrive. Meanwhile the VM may be suspended. The
    gateway's clock does not follow jumps of the system time and goes on in suspension.
    """

    key_max_age_s = KEY_MAX_AGE_S

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.driver = Driver(Limits(key_max_age_s=self.key_max_age_s))
        self.driver.add_servers(server("l0"))
        self.driver.now = self.now
        self.version = 1
        self.withdrawn_at: float | None = None
        self.watch_sent_at: float | None = None
        # Response on its way to the gateway: version and whether the configuration
        # changed.
        self.response: tuple[int, bool] | None = None

    @rule(seconds=st.floats(0.01, 3.0))
    def pass_time(self, seconds: float) -> None:
        """Lets time pass; the gateway's clock goes on while the VM is suspended."""
        self.now += seconds
        self.driver.now = self.gateway_time(seconds)

    def gateway_time(self, seconds: float) -> float:
        """Returns what the gateway's clock shows after the given time has passed."""
        return self.now

    @rule()
    def withdraw_key(self) -> None:
        if self.withdrawn_at is None:
            self.withdrawn_at = self.now
            self.version += 1

    @rule()
    def send_watch(self) -> None:
        if self.watch_sent_at is None and self.response is None:
            self.watch_sent_at = self.driver.now

    @rule(waits=st.booleans())
    def store_answers_watch(self, waits: bool) -> None:
        """Responds at once if there is a change, otherwise after the watch's wait."""
        if self.watch_sent_at is None or self.response is not None:
            return
        known = self.driver.reducer.configuration.version
        if known < self.version:
            self.response = (self.version, True)
        elif waits:
            self.pass_time(TIMING.watch_wait_s)
            if known == self.version:
                self.response = (self.version, False)

    @rule()
    def deliver_response(self) -> None:
        if self.response is None:
            return
        version, changed = self.response
        if changed:
            keys = {} if self.withdrawn_at is not None else {API_KEY: None}
            if not keys:
                without_keys = configuration(version, api_keys={})
                self.driver.apply(ev.ConfigurationRead(without_keys))
        waited_s = 0.0 if changed else TIMING.watch_wait_s
        current_at = confirmation_time(self.watch_sent_at, waited_s, self.driver.now)
        self.driver.apply(ev.StoreConfirmed(current_at))
        self.watch_sent_at = self.response = None

    @rule()
    def lose_response(self) -> None:
        self.watch_sent_at = self.response = None

    @rule()
    def store_refuses_watch(self) -> None:
        """The store refuses this VM's watch while it serves other VMs."""
        self.watch_sent_at = self.response = None

    @invariant()
    def withdrawn_key_is_refused_in_time(self) -> None:
        decision = self.driver.decide("/safe/1")
        if isinstance(decision, ev.Forward):
            self.driver.end_attempt(decision.serial, ev.Completed(200, 0.1))
            overdue = self.withdrawn_at is not None and (
                self.now > self.withdrawn_at + REVOCATION_LIMIT_S
            )
            assert not overdue, "a withdrawn key was accepted"


class WithoutAgeLimit(KeyRevocationModel):
    """Variant that accepts keys whatever the age of the configuration."""

    key_max_age_s = float("inf")


class WithClockThatStops(KeyRevocationModel):
    """Variant whose clock stands still in suspension, here in steps of 1 s or more."""

    def gateway_time(self, seconds: float) -> float:
        return self.driver.now + (seconds if seconds < 1.0 else 0.0)


class BudgetFleet:
    """Fleet of gateways that start and stop while the servers reject requests.

    :param divide_limits: whether each gateway divides the retry budget by the number of
        gateways listed; otherwise each one uses the whole budget.
    """

    RATIO, SLACK, WINDOW_S = 0.2, 50.0, 10.0
    # Requests per second of all gateways, and the share of time before servers fail.
    REQUESTS_PER_S, HEALTHY_SHARE = 120.0, 0.7
    # Seconds for which a stopped gateway stays listed, until its lease expires.
    UNLISTING_DELAY_S = 6.0

    def __init__(self, seed: int, divide_limits: bool = True) -> None:
        self.random = random.Random(seed)
        self.divide_limits = divide_limits
        self.now = 100.0
        self.last_id = 0
        self.live: dict[str, Driver] = {}
        # Id to the time from which the gateway is listed. For a stopped gateway, the
        # negated time until which it stays listed.
        self.listing_times: dict[str, float] = {}
        self.requests: list[float] = []
        self.retries: list[float] = []
        for _ in range(self.random.choice((2, 5, 12))):
            self.start_gateway(listed_at=0.0)

    def start_gateway(self, listed_at: float) -> None:
        """Starts a gateway that is listed from the given time, in seconds."""
        self.last_id += 1
        name = f"g{self.last_id}"
        driver = Driver(
            Limits(budget_ratio=self.RATIO, budget_slack=self.SLACK), routers=()
        )
        driver.add_servers(*(server(f"l{n}") for n in range(4)))
        self.live[name] = driver
        self.listing_times[name] = listed_at

    def simulate(self, seconds: float) -> None:
        """Simulates requests, with four starts or stops of gateways at random times."""
        changes = [self.now + seconds * self.random.random() for _ in range(4)]
        end = self.now + seconds
        # The retry budgets are full when the servers begin to reject all requests.
        failing_from = self.now + self.HEALTHY_SHARE * seconds
        while self.now < end:
            self.now += self.random.expovariate(self.REQUESTS_PER_S)
            if changes and self.now > min(changes):
                changes.remove(min(changes))
                self._start_or_stop_gateway()
            self._send_request(self.now >= failing_from)

    def _start_or_stop_gateway(self) -> None:
        if self.random.random() < 0.5 and len(self.live) > 1:
            stopped = self.random.choice(list(self.live))
            del self.live[stopped]
            self.listing_times[stopped] = -(self.now + self.UNLISTING_DELAY_S)
        else:
            self.start_gateway(self.now + self.random.uniform(0.0, 1.0))

    def _send_request(self, servers_fail: bool) -> None:
        name = self.random.choice(list(self.live))
        driver = self.live[name]
        driver.now = self.now
        driver.apply(ev.StoreConfirmed(self.now))
        listed = [n for n, at in self.listing_times.items() if 0 <= at <= self.now]
        listed += [
            n for n, at in self.listing_times.items() if at < 0 and -at > self.now
        ]
        driver.apply(ev.RoutersListed(tuple(listed) if self.divide_limits else (name,)))
        self.requests.append(self.now)
        decision = driver.decide("/safe/1")
        while isinstance(decision, ev.Forward):
            if not servers_fail:
                driver.end_attempt(decision.serial, ev.Completed(200, 0.05))
                return
            decision = driver.end_attempt(decision.serial, ev.Rejected(503, False))
            if isinstance(decision, ev.Forward):
                self.retries.append(self.now)

    def largest_excess(self) -> float:
        """Returns by how many retries the worst window exceeds the budget.

        The budget counts the requests of the busiest of three windows, which start with
        the retries, half a window and a whole window before. Negative infinity is
        returned if there were no retries.
        """
        worst = float("-inf")
        for start in self.retries:
            retries = self._count_in_window(self.retries, start)
            shifts = (0.0, self.WINDOW_S, self.WINDOW_S / 2)
            requests = max(
                self._count_in_window(self.requests, start - shift) for shift in shifts
            )
            worst = max(worst, retries - self.RATIO * requests - self.SLACK)
        return worst

    def _count_in_window(self, times: list[float], start: float) -> int:
        return sum(start <= at < start + self.WINDOW_S for at in times)


class ProtocolModelTest(unittest.TestCase):
    def assert_violation_found(self, machine) -> None:
        with self.assertRaises(AssertionError):
            run_state_machine_as_test(machine, settings=VARIANT_SETTINGS)

    def test_rollout_decision_is_final_and_written_by_the_owner(self):
        """Guards against a decision that is overwritten or not written by the owner.

        Writes are lost, late or refused, and leases expire.
        """
        run_state_machine_as_test(RolloutOwnershipModel, settings=MODEL_SETTINGS)

    def test_owner_of_rollouts_in_a_store_that_is_restored(self):
        """Guards against two owners at once: lease ids and revisions occur again."""
        many = settings(MODEL_SETTINGS, max_examples=300)
        run_state_machine_as_test(RestoredStoreModel, settings=many)

    def test_ownership_model_fails_without_the_lease_fence(self):
        self.assert_violation_found(WithoutLeaseFence)

    def play_late_progress(self, machine: RolloutOwnershipModel) -> None:
        """Plays an owner whose progress is written after its decision."""
        self.addCleanup(machine.teardown)
        rollout = machine.rollouts["a"]
        machine.run_step("a", lambda owner: owner._acquire_or_renew_lease())
        machine.store.fault = "late"
        machine.run_step("a", lambda owner: owner._write_progress("ledger", rollout, 0))
        machine.run_step(
            "a",
            lambda owner: owner._write_decision(
                "ledger", rollout, RolloutState.COMPLETED
            ),
        )
        (late,) = machine.store.delayed_writes
        with contextlib.suppress(StoreError):
            late()
        machine.decision_is_final()

    def test_ownership_model_fails_without_the_status_fence(self):
        """Plays the steps, since a random search seldom comes upon them."""
        with self.assertRaisesRegex(AssertionError, "a final status was overwritten"):
            self.play_late_progress(WithoutStatusFence())
        self.play_late_progress(RolloutOwnershipModel())

    def test_withdrawn_key_is_refused_in_time(self):
        """Guards against a withdrawn key that stays in use (CONFIG).

        Watch responses are slow, lost or refused, and the VM is suspended.
        """
        run_state_machine_as_test(KeyRevocationModel, settings=MODEL_SETTINGS)

    def test_key_model_fails_without_the_age_limit(self):
        self.assert_violation_found(WithoutAgeLimit)

    def test_key_model_fails_with_a_clock_that_stops(self):
        self.assert_violation_found(WithClockThatStops)

    def test_retries_of_a_changing_fleet_stay_within_the_budget(self):
        """Guards against retries above the fleet's budget (BUDGET).

        Gateways start, stop and are listed late.
        """
        for seed in range(8):
            fleet = BudgetFleet(seed)
            fleet.simulate(40.0)
            self.assertLessEqual(fleet.largest_excess(), 0.0, f"seed {seed}")

    def test_budget_is_exceeded_if_gateways_do_not_divide_it(self):
        excesses = []
        for seed in range(3):
            fleet = BudgetFleet(seed, divide_limits=False)
            fleet.simulate(40.0)
            excesses.append(fleet.largest_excess())
        self.assertGreater(max(excesses), 0.0)


if __name__ == "__main__":
    unittest.main()
