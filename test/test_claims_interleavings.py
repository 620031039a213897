"""Explores all interleavings of two agents that get requests with the same key.

The store may lose the response to one write, which then takes effect at any later point
or never. Either agent may be paused, so that its calls are answered at any later point.
Each agent believes that it is alone, so the second one takes over the partition.
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
    WriteOutcomeUnknown,
)
from heatherswitch.fleet.claims import Claimed, ClaimReducer
from heatherswitch.fleet.records import PARTITIONS_PREFIX
from test.test_claims import ClaimStore

# Number of steps of the longest explored interleavings.
DEPTH = 12
# Requests with the key for each agent, lost store responses, and timer events, per run.
REQUESTS = 2
LOST_ANSWERS = 1
TICKS = 1
AGENTS = ("a", "b")


class ModelState:
    """Model state: two reducers, the store, and the calls in flight.

    :param fenced: False removes the comparison of the partition head from appends.
    """

    def __init__(self, fenced: bool) -> None:
        self.fenced = fenced
        self.store = ClaimStore()
        self.owners = {
            agent: ClaimReducer("ledger", 0, agent, number)
            for number, agent in enumerate(AGENTS, 1)
        }
        self.calls: dict[str, list] = {agent: [] for agent in AGENTS}
        self.delayed_writes: list[CommitWrite] = []
        self.requests = dict.fromkeys(AGENTS, 0)
        self.lost_answers = 0
        self.ticks = 0
        self.starts = 0
        self.answered: set[tuple[str, int]] = set()
        self.now = 0.0
        for agent in AGENTS:
            # Each agent believes that it is alone, the worst case of F10.
            self.apply(agent, AgentsChanged(self.now, frozenset([agent])))
        # Agent a owns the partition at the start; the takeover by b is explored.
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
                # A request gets exactly one response, so "not run" is final (P6).
                answered = (agent, effect.waiter)
                assert answered not in self.answered, "answered twice"
                self.answered.add(answered)
                self.starts += isinstance(effect.result, Claimed)

    def steps(self) -> list[tuple]:
        """Returns the steps that are possible in this state."""
        found = []
        for agent in AGENTS:
            if self.requests[agent] < REQUESTS:
                found.append(("request", agent))
            for call in self.calls[agent]:
                found.append(("answer", agent))
                if isinstance(call, CommitWrite) and self.lost_answers < LOST_ANSWERS:
                    found += [("lose_answer", agent), ("delay_write", agent)]
        found += [("late_write", "")] if self.delayed_writes else []
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
        self.lost_answers += 1
        self.store.commit(self.calls[agent].pop(0))
        self.apply(agent, WriteOutcomeUnknown(self.now))

    def do_delay_write(self, agent: str) -> None:
        self.lost_answers += 1
        self.delayed_writes.append(self.calls[agent].pop(0))
        self.apply(agent, WriteOutcomeUnknown(self.now))

    def do_late_write(self, _: str) -> None:
        self.store.commit(self.delayed_writes.pop())

    def do_tick(self, _: str) -> None:
        # Longer than every time limit of the reducer.
        self.ticks += 1
        self.now += 5.0
        for agent in AGENTS:
            self.apply(agent, Ticked(self.now))


def without_head_comparison(write: CommitWrite) -> CommitWrite:
    """Returns an append that a takeover does not reject, to check the explorer."""
    if any(key.startswith(PARTITIONS_PREFIX) for key in write.puts):
        return write
    compares = {
        k: v for k, v in write.compares.items() if not k.startswith(PARTITIONS_PREFIX)
    }
    return replace(write, compares=compares)


def explore(world: ModelState, depth: int) -> tuple[int, list[tuple] | None]:
    """Returns the number of distinct states, and the steps to a second start or None.

    The search is breadth first, so each state is reached by a shortest path.
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
        # A non-idempotent request must not start a second time (P7).
        visited, violation = explore(ModelState(fenced=True), DEPTH)
        self.assertIsNone(violation)
        self.assertGreater(visited, 1000)

    def test_explorer_finds_a_missing_head_comparison(self):
        # Shows that the explorer detects a violation.
        _, violation = explore(ModelState(fenced=False), DEPTH)
        self.assertIsNotNone(violation)
