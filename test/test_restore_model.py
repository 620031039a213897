"""Model of views of a store that is restored from backups, in random order.

Responses are lost, late and out of order; each gateway reads and watches on its own and
may start anew. What a view confirms must be what the store held at that time.
"""

import copy
import random
import unittest

from heatherswitch.gateway.store_view import StoreView
from heatherswitch.statecore.replica import Entry, KeyRange
from heatherswitch.statecore.store import (
    Compacted,
    IncompleteWatch,
    Snapshot,
    StaleRead,
    StoreRestored,
    WatchBatch,
)

KEYS = ("a", "b", "c", "d")
PLAYS = 400
STEPS = 150
GATEWAYS = 3
# Seconds for which lost entries are carried over.
GRACE_S = 5.0
# Reads after the last change in which each view must be complete.
READS_UNTIL_COMPLETE = 2


class ModelStore:
    """The platform's store with its history, and what it held at each time.

    :param states_eras: the responses state the era.
    """

    def __init__(self, states_eras: bool) -> None:
        self.now = 0.0
        self.era = 1
        self._states_eras = states_eras
        self._revision = 5
        self._items: dict[str, tuple[bytes, int]] = {}
        self._history: list[Entry] = []
        # Time, era and entries after each change.
        self._past = [(0.0, 1, {})]

    @property
    def held(self) -> dict[str, bytes]:
        return {key: value for key, (value, _) in self._items.items()}

    @property
    def _stated_era(self) -> int:
        return self.era if self._states_eras else 0

    def write(self, key: str, value: bytes | None) -> None:
        self._revision += 1
        self._items.pop(key, None)
        if value is not None:
            self._items[key] = value, self._revision
        self._history.append(Entry(key, self._revision, value))
        self._note()

    def back_up(self) -> tuple:
        return copy.deepcopy((self._revision, self._items, self._history))

    def restore(self, backup: tuple) -> None:
        self._revision, self._items, self._history = copy.deepcopy(backup)
        self.era += 1
        self._note()

    def _note(self) -> None:
        self._past.append((self.now, self.era, self.held))

    def read(self) -> Snapshot:
        entries = [
            Entry(key, revision, value, self._stated_era)
            for key, (value, revision) in self._items.items()
        ]
        return Snapshot(self._revision, tuple(entries), self.now, self._stated_era)

    def watch(self, after: int) -> WatchBatch:
        if after > self._revision:
            raise Compacted("no such revision")
        changes = tuple(e for e in self._history if e.mod_revision > after)
        return WatchBatch(self._revision, changes, self.now, self._stated_era)

    def values_since(self, since: float, key: str) -> set[bytes | None]:
        """Returns all values that a key had at a time or later, in any era."""
        values: set[bytes | None] = set()
        for at, _, held in self._past:
            if at <= since:
                values = set()
            values.add(held.get(key))
        return values


class ModelGateway:
    """A gateway that follows the store; its calls take any time."""

    def __init__(self, store: ModelStore, rng: random.Random) -> None:
        self._store = store
        self._random = rng
        self.start()

    def start(self) -> None:
        """Starts with an empty view, as a process does."""
        self.view = StoreView()
        self.confirmed_at = float("-inf")
        self._needs_read = True
        self._on_the_way: list[Snapshot | WatchBatch] = []

    def call(self) -> None:
        """Sends a call, whose response is complete as of now."""
        try:
            self._on_the_way.append(
                self._store.read()
                if self._needs_read
                else self._store.watch(self.view.revision)
            )
        except Compacted:
            self._needs_read = True

    def receive(self) -> None:
        """Receives any response, also one that was overtaken, or loses it."""
        if not self._on_the_way:
            return
        at = self._random.randrange(len(self._on_the_way))
        response = self._on_the_way.pop(at)
        if self._random.random() < 0.8:
            self._take(response)

    def read_now(self) -> None:
        self._needs_read = True
        self._take(self._store.read())

    def _take(self, response: Snapshot | WatchBatch) -> None:
        try:
            if isinstance(response, Snapshot):
                applied = self.view.take_range(response, KeyRange())
                applied = self.view.complete(self._store.now, applied)
                self._needs_read = False
            else:
                applied = self.view.take_batch(response)
        except (StaleRead, StoreRestored, IncompleteWatch):
            self._needs_read = True
            return
        self.view.expire(self._store.now, lambda key: GRACE_S)
        self.confirmed_at = max(self.confirmed_at, applied.current_at)

    @property
    def carried(self) -> set[str]:
        """Keys of former eras that count for a while; none after their grace period."""
        view = self.view
        carried = set(view._carried)
        late = view._complete_at is not None and (
            self.confirmed_at - view._complete_at > GRACE_S
        )
        return set() if late else carried

    @property
    def held(self) -> dict[str, bytes]:
        return {entry.key: entry.value for entry in self.view.with_prefix("")}


class Play:
    """One play in random order.

    :ivar broken: what was broken, one line each.
    """

    def __init__(self, seed: int, states_eras: bool = True) -> None:
        self._random = random.Random(seed)
        self.store = ModelStore(states_eras)
        self.gateways = [
            ModelGateway(self.store, self._random) for _ in range(GATEWAYS)
        ]
        self._backup = self.store.back_up()
        self.broken: list[str] = []

    def run(self) -> None:
        for _ in range(STEPS):
            self.store.now += self._random.expovariate(2.0)
            gateway = self._random.choice(self.gateways)
            era = gateway.view.era
            step = self._random.choices(
                (self._write, self._back_up, self._restore, gateway.start),
                (12, 3, 1, 1),
            )[0]
            for act in (step, gateway.call, gateway.receive):
                if self._random.random() < 0.6:
                    act()
            if gateway.view.started and gateway.view.era < era:
                self.broken.append(f"era {gateway.view.era} after {era}")
            self._check_confirmed(gateway)
        self._check_completion()

    def _write(self) -> None:
        value = self._random.randbytes(3) if self._random.random() < 0.7 else None
        self.store.write(self._random.choice(KEYS), value)

    def _back_up(self) -> None:
        self._backup = self.store.back_up()

    def _restore(self) -> None:
        self.store.restore(self._backup)

    def _check_confirmed(self, gateway: ModelGateway) -> None:
        """Checks that a view is what the store held when it was confirmed, or later.

        Entries that are carried over count until they expire.
        """
        for key in set(KEYS) - gateway.carried:
            value = gateway.held.get(key)
            if value not in self.store.values_since(gateway.confirmed_at, key):
                self.broken.append(f"{key} is {value} at {gateway.confirmed_at:.2f}")

    def _check_completion(self) -> None:
        """Checks that each view is complete soon after the last change."""
        for gateway in self.gateways:
            for _ in range(READS_UNTIL_COMPLETE):
                gateway.read_now()
                self.store.now += GRACE_S
            gateway.read_now()
            if gateway.held != self.store.held:
                self.broken.append(f"{gateway.held} in place of {self.store.held}")


class RestoreModelTest(unittest.TestCase):
    """Guards CONFIG and DRAIN: a view that is wrong, or late for good, after a restore."""

    def count_broken(self, states_eras: bool) -> int:
        broken = 0
        for seed in range(PLAYS):
            play = Play(seed, states_eras)
            play.run()
            with self.subTest(seed=seed):
                if states_eras:
                    self.assertEqual(play.broken, [])
            broken += bool(play.broken)
        return broken

    def test_views_are_what_the_store_held(self):
        self.assertEqual(self.count_broken(states_eras=True), 0)

    def test_model_finds_faults_without_eras(self):
        self.assertGreater(self.count_broken(states_eras=False), PLAYS // 4)


if __name__ == "__main__":
    unittest.main()
