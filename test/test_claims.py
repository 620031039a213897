import unittest

from heatherswitch.fleet.claim_events import (
    AgentsChanged,
    AnswerClaim,
    ClaimAbandoned,
    ClaimFinished,
    ClaimRequested,
    CommitWrite,
    JournalRead,
    ReadFailed,
    ReadJournal,
    ReadState,
    Released,
    ReleaseRequested,
    StateRead,
    Ticked,
    WriteApplied,
    WriteInDoubt,
    WriteNotSent,
    WriteRejected,
)
from heatherswitch.fleet.claim_table import SEGMENT_BYTES
from heatherswitch.fleet.claims import (
    Claimed,
    ClaimReducer,
    ClaimUnknown,
    JournalUnavailable,
    KeyReused,
    Mode,
    NotOwner,
    Replay,
    RunningHere,
    body_fingerprint,
    key_digest,
)
from heatherswitch.fleet.partitions import partition_of, preferred_owner
from heatherswitch.fleet.records import PartitionHead
from heatherswitch.statecore.replica import Entry

BODY = body_fingerprint("POST", "/settle", b"{}")
OTHER_BODY = body_fingerprint("POST", "/settle", b"{1}")


class MemoryStore:
    """A store for reducers: compare, put and read, without I/O."""

    def __init__(self):
        self.entries: dict[str, Entry] = {}
        self.revision = 1
        self.writes = 0

    def commit(self, write: CommitWrite) -> int:
        """Returns the new revision, or 0 when a comparison failed."""
        for key, mod_revision in write.compares.items():
            entry = self.entries.get(key)
            if (entry.mod_revision if entry else 0) != mod_revision:
                return 0
        self.revision += 1
        self.writes += 1
        for key in write.deletes:
            self.entries.pop(key, None)
        for key, value in write.puts.items():
            self.entries[key] = Entry(key, self.revision, value)
        return self.revision

    def answer(self, now: float, effect):
        """Executes a store effect and returns the event for its answer."""
        match effect:
            case CommitWrite():
                revision = self.commit(effect)
                return WriteApplied(now, revision) if revision else WriteRejected(now)
            case ReadState():
                stored = self.entries.get(effect.head_key)
                head = stored and PartitionHead.from_bytes(
                    stored.value, stored.mod_revision
                )
                return StateRead(now, head, self.entries.get(effect.segment_key))
            case ReadJournal():
                found = [
                    e for k, e in self.entries.items() if k.startswith(effect.prefix)
                ]
                return JournalRead(now, self.revision, tuple(found))


class Owner:
    """A reducer whose calls to the store a test may hold back."""

    def __init__(self, store, agent="a", incarnation=1, agents=("a",), **options):
        self.store = store
        self.reducer = ClaimReducer("ledger", 0, agent, incarnation, **options)
        self.calls: list = []
        self.results: dict[int, object] = {}
        self.released = False
        self.now = 1000.0
        self.held = False
        self.apply(AgentsChanged(self.now, frozenset(agents)))

    def apply(self, event):
        for effect in self.reducer.apply(event):
            if isinstance(effect, AnswerClaim):
                assert effect.waiter not in self.results, "answered twice"
                self.results[effect.waiter] = effect.result
            elif isinstance(effect, Released):
                self.released = True
            elif isinstance(effect, (CommitWrite, ReadState, ReadJournal)):
                self.calls.append(effect)
        while self.calls and not self.held:
            self.apply(self.store.answer(self.now, self.calls.pop(0)))

    def claim(self, waiter, key="k1", body=BODY):
        self.apply(ClaimRequested(self.now, waiter, "w", key, body, f"r{waiter}"))
        return self.results.get(waiter)

    def finish(self, key="k1", body=b"ok"):
        self.apply(ClaimFinished(self.now, "w", key, 200, (("a", "b"),), body))

    def tick(self, seconds):
        self.now += seconds
        self.apply(Ticked(self.now))


class ClaimTest(unittest.TestCase):
    def setUp(self):
        self.store = MemoryStore()
        self.owner = Owner(self.store)

    def test_claim_run_replay(self):
        # Guards against a repeated request that runs again (P7).
        self.assertEqual(self.owner.claim(1), Claimed(1))
        self.assertEqual(self.owner.claim(2), RunningHere("r1"))
        self.owner.finish()
        self.assertEqual(self.owner.claim(3), Replay(200, (("a", "b"),), b"ok"))

    def test_repeat_with_another_body(self):
        # Guards against answering one body with the outcome of another (P5).
        self.owner.claim(1)
        self.assertEqual(self.owner.claim(2, body=OTHER_BODY), KeyReused())
        self.owner.finish()
        self.assertEqual(self.owner.claim(3, body=OTHER_BODY), KeyReused())

    def test_saturated_partition_keeps_the_shortest_time_between_appends(self):
        # Guards against group commit that writes as fast as the store answers: a
        # few saturated partitions would take all of its writes.
        owner = Owner(self.store, append_gap_s=0.025)
        owner.claim(0, key="first")
        writes = self.store.writes
        for number in range(1, 1001):
            owner.tick(0.001)
            owner.claim(number, key=f"k{number}")
        self.assertLessEqual(self.store.writes - writes, 40)
        owner.tick(0.025)
        self.assertEqual(owner.results, dict.fromkeys(range(1001), Claimed(1)))

    def test_claims_that_arrive_during_a_write_share_the_next(self):
        # Guards against a write to the store for each request.
        self.owner.claim(0, key="first")
        self.owner.held = True
        writes = self.store.writes
        for number in range(1, 9):
            self.owner.claim(number, key=f"k{number}")
        self.assertEqual(len(self.owner.calls), 1)
        self.owner.held = False
        self.owner.apply(self.store.answer(1000, self.owner.calls.pop()))
        self.assertEqual(self.store.writes - writes, 2)
        self.assertEqual([self.owner.results[n] for n in range(9)], [Claimed(1)] * 9)

    def test_outcome_shares_the_write_of_the_next_claim(self):
        # Guards against two writes to the store for each request.
        self.owner.claim(1)
        writes = self.store.writes
        self.owner.finish()
        self.assertEqual(self.store.writes, writes)
        self.owner.claim(2, key="k2")
        self.assertEqual(self.store.writes, writes + 1)
        self.owner.finish(key="k2")
        self.owner.tick(0.2)
        self.assertEqual(self.store.writes, writes + 2)

    def test_lost_answer_of_an_applied_append(self):
        # Guards against repeating or refusing a claim that is in the journal (F7).
        self.owner.claim(0, key="first")
        self.owner.held = True
        self.owner.claim(1)
        self.store.commit(self.owner.calls.pop())
        self.owner.held = False
        self.owner.apply(WriteInDoubt(1000))
        self.assertEqual(self.owner.results[1], Claimed(1))

    def test_late_copy_of_a_doubtful_append(self):
        # Guards against a second effect of a write that was repeated in doubt.
        self.owner.claim(0, key="first")
        self.owner.held = True
        self.owner.claim(1)
        lost = self.owner.calls.pop()
        self.owner.apply(WriteInDoubt(1000))
        self.owner.apply(self.store.answer(1000, self.owner.calls.pop()))
        self.assertEqual(self.owner.calls, [lost])
        self.assertNotIn(1, self.owner.results)
        self.store.commit(lost)
        self.owner.held = False
        self.owner.apply(self.store.answer(1000, self.owner.calls.pop()))
        self.assertEqual(self.owner.results[1], Claimed(1))

    def test_late_copy_does_not_undo_a_later_append(self):
        # Guards against a claim that vanishes from the journal and runs again (P7).
        self.owner.claim(0, key="first")
        self.owner.held = True
        self.owner.claim(1)
        late = self.owner.calls.pop()
        self.owner.held = False
        self.owner.apply(WriteInDoubt(1000))
        self.assertEqual(self.owner.results[1], Claimed(1))
        self.assertEqual(self.owner.claim(2, key="k2"), Claimed(1))
        self.assertEqual(self.store.commit(late), 0)
        after = Owner(self.store, incarnation=2)
        self.assertEqual(after.claim(3, key="k2"), ClaimUnknown("owner_lost"))

    def test_doubtful_claim_is_given_up_and_may_be_claimed_again(self):
        # Guards against a false "not run", and against a key that stays blocked.
        self.owner.claim(0, key="first")
        self.owner.held = True
        self.owner.claim(1)
        self.store.commit(self.owner.calls.pop())
        self.owner.apply(WriteInDoubt(1000))
        self.owner.calls.clear()
        self.owner.apply(ReadFailed(1000))
        self.owner.tick(2.5)
        self.assertEqual(self.owner.results[1], JournalUnavailable())
        self.owner.held = False
        self.owner.apply(self.store.answer(self.owner.now, self.owner.calls.pop()))
        self.assertEqual(self.owner.claim(2), Claimed(1))
        self.assertEqual(
            Owner(self.store, incarnation=2).claim(3), ClaimUnknown("owner_lost")
        )

    def test_store_away_means_not_run(self):
        self.owner.claim(0, key="first")
        self.owner.held = True
        self.owner.claim(1)
        self.owner.calls.clear()
        self.owner.apply(WriteNotSent(1000))
        self.assertEqual(self.owner.results[1], JournalUnavailable())
        self.owner.held = False
        self.assertEqual(self.owner.claim(2), Claimed(1))

    def test_large_answer_is_unknown_and_not_truncated(self):
        self.owner.claim(1)
        self.owner.finish(body=b"x" * 5000)
        self.assertEqual(self.owner.claim(2), ClaimUnknown("answer_not_stored"))

    def test_abandoned_claim_may_be_claimed_again(self):
        self.owner.claim(1)
        self.owner.apply(ClaimAbandoned(1000, "w", "k1"))
        self.assertEqual(Owner(self.store, incarnation=2).claim(2), Claimed(2))

    def test_keys_and_bodies_are_not_stored(self):
        # Guards against contents of requests in the store.
        self.owner.claim(1, key="secret-key")
        stored = b"".join(entry.value for entry in self.store.entries.values())
        self.assertNotIn(b"secret-key", stored)
        self.assertIn(key_digest("w", "secret-key").encode(), stored)
        self.assertNotEqual(key_digest("a", "bc"), key_digest("ab", "c"))


class TakeoverTest(unittest.TestCase):
    def setUp(self):
        self.store = MemoryStore()
        self.first = Owner(self.store, "a", 1)

    def second(self, agents=("b",)) -> Owner:
        return Owner(self.store, "b", 2, agents)

    def test_former_owner_was_paused(self):
        # Guards against two processes that each believe to be the owner (F2, P7).
        self.first.claim(1)
        second = self.second()
        self.assertEqual(second.claim(1), ClaimUnknown("owner_lost"))
        self.assertEqual(second.claim(2, key="k2"), Claimed(2))
        self.first.apply(AgentsChanged(1000, frozenset("ab")))
        self.assertEqual(self.first.claim(2, key="k2"), NotOwner("b"))
        self.assertEqual(self.first.reducer.mode, Mode.IDLE)
        # The work that it had claimed is still its own.
        self.assertEqual(self.first.claim(3), RunningHere("r1"))

    def test_append_of_former_owner_in_flight(self):
        # Guards against a start after the partition was taken over (P6, P7).
        self.first.claim(0, key="first")
        self.first.held = True
        self.first.claim(1)
        second = self.second()
        self.assertEqual(second.claim(1), Claimed(2))
        self.first.held = False
        self.first.apply(self.store.answer(1000, self.first.calls.pop()))
        self.assertIsInstance(self.first.results[1], NotOwner)

    def test_takeover_with_unfinished_and_finished_claims(self):
        self.first.claim(1, key="done")
        self.first.finish(key="done")
        self.first.claim(2, key="open")
        second = self.second()
        self.assertIsInstance(second.claim(1, key="done"), Replay)
        self.assertEqual(second.claim(2, key="open"), ClaimUnknown("owner_lost"))
        self.assertEqual(second.claim(3, "open", OTHER_BODY), KeyReused())

    def test_live_owner_is_left_alone(self):
        self.first.claim(1)
        second = self.second(agents=("a", "b"))
        self.assertEqual(second.claim(1), NotOwner("a"))
        self.assertEqual(self.first.claim(2, key="k2"), Claimed(1))

    def test_handed_over_partition_is_taken(self):
        self.first.claim(1)
        self.first.finish()
        self.first.apply(ReleaseRequested(1000))
        self.assertTrue(self.first.released)
        self.assertEqual(self.first.claim(5, key="k5"), NotOwner(""))
        self.assertIsInstance(self.second(agents=("a", "b")).claim(1), Replay)

    def test_outcome_known_only_to_a_former_owner_is_recorded_on_return(self):
        self.first.claim(1)
        second = self.second()
        second.claim(1)
        self.first.claim(2, key="k2")
        self.first.finish()
        self.first.claim(3, key="k3")
        self.assertEqual(self.first.reducer.mode, Mode.OWNED)
        third = Owner(self.store, "c", 3, ("c",))
        self.assertIsInstance(third.claim(1), Replay)

    def test_stale_journal_is_not_loaded(self):
        # Guards against running a claimed request again after a stale read (F8).
        self.first.claim(1)
        second = self.second()
        second.held = True
        second.claim(1)
        while not isinstance(second.calls[0], ReadJournal):
            second.apply(self.store.answer(1000, second.calls.pop(0)))
        second.calls.clear()
        second.apply(JournalRead(1000, 1, ()))
        self.assertEqual(second.reducer.mode, Mode.LOADING)
        self.assertNotIn(1, second.results)


class SegmentTest(unittest.TestCase):
    def test_segment_is_sealed_and_expired_ones_are_dropped(self):
        # Guards against values over the store's limit and a journal without end.
        store = MemoryStore()
        owner = Owner(store, retention_s=100.0)
        segments = set()
        for number in range(1200):
            self.assertEqual(owner.claim(number, key=f"k{number}"), Claimed(1))
            owner.finish(key=f"k{number}", body=b"x" * 200)
            owner.now += 0.25
        journal = [e for k, e in store.entries.items() if "/journal/" in k]
        segments = sorted(e.key for e in journal)
        self.assertGreater(len(segments), 1)
        self.assertNotIn("heatherswitch/journal/ledger/0/00000001", segments)
        self.assertLessEqual(max(len(e.value) for e in journal), SEGMENT_BYTES)
        head = store.entries["heatherswitch/config/partitions/ledger/0"]
        self.assertIn(str(owner.reducer.head.segment), head.value.decode())
        after = Owner(store, "b", 2, ("b",))
        after.now = owner.now
        self.assertIsInstance(after.claim(1, key="k1100"), Replay)

    def test_lost_answer_to_a_seal(self):
        # Guards against taking the owner's own change of the head for a takeover.
        store = MemoryStore()
        owner = Owner(store)
        for number in range(1000):
            owner.held = True
            owner.claim(number, key=f"k{number}")
            owner.held = False
            while owner.calls:
                event = store.answer(1000, owner.calls.pop())
                lost = isinstance(event, WriteApplied)
                owner.apply(WriteInDoubt(1000) if lost else event)
            self.assertEqual(owner.results[number], Claimed(1))
        self.assertGreater(owner.reducer.head.segment, 1)


class PartitionTest(unittest.TestCase):
    def test_partition_and_owner_are_stable(self):
        self.assertEqual(
            partition_of("ledger", "w", "k", 8), partition_of("ledger", "w", "k", 8)
        )
        self.assertEqual(len({partition_of("l", "w", str(n), 8) for n in range(99)}), 8)
        best = preferred_owner("ledger", 3, ["a", "b", "c"])
        self.assertEqual(
            preferred_owner("ledger", 3, [best, "z0"]) in (best, "z0"), True
        )
        self.assertEqual(preferred_owner("ledger", 3, []), "")
