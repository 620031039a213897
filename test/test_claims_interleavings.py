"""Explores all interleavings of two owners that get a request with the same key.

The store may lose the answer to one write, after which the write takes effect at any
later point or never. Either owner may be paused: its calls are answered at any later
point. The second owner may believe the first one gone, which is a takeover.
"""

import pickle
import unittest
from dataclasses import replace

from heatherswitch.fleet.claim_events import (
    AgentsChanged,
    AnswerClaim,
    ClaimRequested,
    CommitWrite,
    ReadJournal,
    ReadState,
    Ticked,
    WriteInDoubt,
)
from heatherswitch.fleet.claims import Claimed, ClaimReducer
from heatherswitch.fleet.records import PARTITIONS_PREFIX
from test.test_claims import MemoryStore

# Steps of the longest explored interleaving.
DEPTH = 12
# Requests with the key that each owner gets, and answers that the store loses.
REQUESTS = 2
LOST_ANSWERS = 1
TICKS = 1
AGENTS = ("a", "b")


class World:
    """Two reducers, the store, and the calls that are under way."""

    def __init__(self, fenced: bool) -> None:
        self.fenced = fenced
        self.store = MemoryStore()
        self.owners = {
            agent: ClaimReducer("ledger", 0, agent, number)
            for number, agent in enumerate(AGENTS, 1)
        }
        self.calls: dict[str, list] = {agent: [] for agent in AGENTS}
        self.late: list[CommitWrite] = []
        self.requests = dict.fromkeys(AGENTS, 0)
        self.lost = 0
        self.ticks = 0
        self.starts = 0
        self.answered: set[tuple[str, int]] = set()
        self.now = 0.0
        for agent in AGENTS:
            # Each believes that it is alone, the worst case of F10.
            self.apply(agent, AgentsChanged(self.now, frozenset([agent])))
        # The first owner has the partition; the takeover by the second is explored.
        self.do_request("a", "first")
        while self.calls["a"]:
            self.do_answer("a")
        self.requests["a"] = self.starts = 0
        self.answered.clear()

    def apply(self, agent: str, event) -> None:
        for effect in self.owners[agent].apply(event):
            if isinstance(effect, CommitWrite) and not self.fenced:
                effect = without_head_comparison(effect)
            if isinstance(effect, (CommitWrite, ReadState, ReadJournal)):
                self.calls[agent].append(effect)
            elif isinstance(effect, AnswerClaim):
                # A "not run" answer must be the only one of its request (P6).
                answered = (agent, effect.waiter)
                assert answered not in self.answered, "answered twice"
                self.answered.add(answered)
                self.starts += isinstance(effect.result, Claimed)

    def steps(self) -> list[tuple]:
        """Returns what may happen next."""
        found = []
        for agent in AGENTS:
            if self.requests[agent] < REQUESTS:
                found.append(("request", agent))
            for call in self.calls[agent]:
                found.append(("answer", agent))
                if isinstance(call, CommitWrite) and self.lost < LOST_ANSWERS:
                    found += [("lose_answer", agent), ("delay_write", agent)]
        found += [("late_write", "")] if self.late else []
        found += [("tick", "")] if self.ticks < TICKS else []
        return found

    def do_request(self, agent: str, key: str = "k") -> None:
        self.requests[agent] += 1
        number = self.requests[agent]
        event = ClaimRequested(self.now, number, "w", key, "body", f"{agent}{number}")
        self.apply(agent, event)

    def do_answer(self, agent: str) -> None:
        call = self.calls[agent].pop(0)
        self.apply(agent, self.store.answer(self.now, call))

    def do_lose_answer(self, agent: str) -> None:
        self.lost += 1
        self.store.commit(self.calls[agent].pop(0))
        self.apply(agent, WriteInDoubt(self.now))

    def do_delay_write(self, agent: str) -> None:
        self.lost += 1
        self.late.append(self.calls[agent].pop(0))
        self.apply(agent, WriteInDoubt(self.now))

    def do_late_write(self, _: str) -> None:
        self.store.commit(self.late.pop())

    def do_tick(self, _: str) -> None:
        # Past every time limit of the reducer.
        self.ticks += 1
        self.now += 5.0
        for agent in AGENTS:
            self.apply(agent, Ticked(self.now))


def without_head_comparison(write: CommitWrite) -> CommitWrite:
    """The test double: an append that a takeover does not reject."""
    if any(key.startswith(PARTITIONS_PREFIX) for key in write.puts):
        return write
    compares = {
        k: v for k, v in write.compares.items() if not k.startswith(PARTITIONS_PREFIX)
    }
    return replace(write, compares=compares)


def explore(world: World, depth: int) -> tuple[int, list[tuple] | None]:
    """Returns the number of distinct states and the steps to a second start.

    Goes breadth first, so each state is reached by its shortest path.
    """
    front = {pickle.dumps(world): ()}
    seen = set(front)
    for _ in range(depth):
        reached = {}
        for data, path in front.items():
            for step in pickle.loads(data).steps():
                state = pickle.loads(data)
                getattr(state, "do_" + step[0])(step[1])
                if state.starts > 1:
                    return len(seen), [*path, step]
                key = pickle.dumps(state)
                if key not in seen:
                    seen.add(key)
                    reached[key] = (*path, step)
        front = reached
    return len(seen), None


class InterleavingsTest(unittest.TestCase):
    def test_key_is_started_at_most_once(self):
        # Guards against a second start of a non-idempotent request (P7).
        visited, violation = explore(World(fenced=True), DEPTH)
        self.assertIsNone(violation)
        self.assertGreater(visited, 1000)

    def test_explorer_finds_a_missing_head_comparison(self):
        # Guards against an explorer that could not see a violation.
        _, violation = explore(World(fenced=False), DEPTH)
        self.assertIsNotNone(violation)
