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
    WriteNotSent,
    WriteOutcomeUnknown,
    WriteRejected,
)
from heatherswitch.fleet.claim_table import MAX_SEGMENT_BYTES
from heatherswitch.fleet.claims import (
    AlreadyRunning,
    Claimed,
    ClaimOutcomeUnknown,
    ClaimReducer,
    JournalUnavailable,
    KeyReused,
    NotOwner,
    OwnershipPhase,
    Replay,
    body_fingerprint,
    key_digest,
)
from heatherswitch.fleet.partitions import partition_of, preferred_owner
from heatherswitch.fleet.records import PartitionHead
from heatherswitch.statecore.replica import Entry

BODY = body_fingerprint("POST", "/settle", b"{}")
OTHER_BODY = body_fingerprint("POST", "/settle", b"{1}")


class ClaimStore:
    """In-memory store that carries out the store effects of a claim reducer."""

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
        """Carries out a store effect and returns the event for its response."""
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


class ReducerDriver:
    """Drives a claim reducer; while ``held``, calls to the store stay in ``calls``."""

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
        self.store = ClaimStore()
        self.owner = ReducerDriver(self.store)

    def test_repeated_request_gets_running_then_the_stored_response(self):
        # A repeated request must not run again (P7).
        self.assertEqual(self.owner.claim(1), Claimed(1))
        self.assertEqual(self.owner.claim(2), AlreadyRunning("r1"))
        self.owner.finish()
        self.assertEqual(self.owner.claim(3), Replay(200, (("a", "b"),), b"ok"))

    def test_key_reused_with_another_body_is_refused(self):
        # The outcome for one body must not answer a request with another body (P5).
        self.owner.claim(1)
        self.assertEqual(self.owner.claim(2, body=OTHER_BODY), KeyReused())
        self.owner.finish()
        self.assertEqual(self.owner.claim(3, body=OTHER_BODY), KeyReused())

    def test_saturated_partition_keeps_the_shortest_time_between_appends(self):
        # Without a shortest interval, group commit writes as fast as the store
        # responds, and a few saturated partitions use up its write capacity.
        owner = ReducerDriver(self.store, min_append_interval_s=0.025)
        owner.claim(0, key="first")
        writes = self.store.writes
        for number in range(1, 1001):
            owner.tick(0.001)
            owner.claim(number, key=f"k{number}")
        self.assertLessEqual(self.store.writes - writes, 40)
        owner.tick(0.025)
        self.assertEqual(owner.results, dict.fromkeys(range(1001), Claimed(1)))

    def test_claims_that_arrive_during_a_write_share_the_next(self):
        # One write per request would limit the claim rate to the store's write rate.
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
        # A separate write for each outcome would double the writes per request.
        self.owner.claim(1)
        writes = self.store.writes
        self.owner.finish()
        self.assertEqual(self.store.writes, writes)
        self.owner.claim(2, key="k2")
        self.assertEqual(self.store.writes, writes + 1)
        self.owner.finish(key="k2")
        self.owner.tick(0.2)
        self.assertEqual(self.store.writes, writes + 2)

    def test_lost_response_to_an_applied_append(self):
        # A claim that is in the journal must be neither repeated nor refused (F7).
        self.owner.claim(0, key="first")
        self.owner.held = True
        self.owner.claim(1)
        self.store.commit(self.owner.calls.pop())
        self.owner.held = False
        self.owner.apply(WriteOutcomeUnknown(1000))
        self.assertEqual(self.owner.results[1], Claimed(1))

    def test_late_copy_of_an_append_with_unknown_outcome(self):
        # A write is repeated while its outcome is unknown. If the first copy arrives
        # late, only one of both may take effect.
        self.owner.claim(0, key="first")
        self.owner.held = True
        self.owner.claim(1)
        lost = self.owner.calls.pop()
        self.owner.apply(WriteOutcomeUnknown(1000))
        self.owner.apply(self.store.answer(1000, self.owner.calls.pop()))
        self.assertEqual(self.owner.calls, [lost])
        self.assertNotIn(1, self.owner.results)
        self.store.commit(lost)
        self.owner.held = False
        self.owner.apply(self.store.answer(1000, self.owner.calls.pop()))
        self.assertEqual(self.owner.results[1], Claimed(1))

    def test_late_copy_does_not_undo_a_later_append(self):
        # A late copy would overwrite the segment without the later claim, which could
        # then run again (P7).
        self.owner.claim(0, key="first")
        self.owner.held = True
        self.owner.claim(1)
        late = self.owner.calls.pop()
        self.owner.held = False
        self.owner.apply(WriteOutcomeUnknown(1000))
        self.assertEqual(self.owner.results[1], Claimed(1))
        self.assertEqual(self.owner.claim(2, key="k2"), Claimed(1))
        self.assertEqual(self.store.commit(late), 0)
        after = ReducerDriver(self.store, incarnation=2)
        self.assertEqual(after.claim(3, key="k2"), ClaimOutcomeUnknown("owner_lost"))

    def test_claim_with_unknown_outcome_times_out_and_may_be_claimed_again(self):
        # The caller is told "not run", so the claim must not start, and its key must
        # not stay blocked.
        self.owner.claim(0, key="first")
        self.owner.held = True
        self.owner.claim(1)
        self.store.commit(self.owner.calls.pop())
        self.owner.apply(WriteOutcomeUnknown(1000))
        self.owner.calls.clear()
        self.owner.apply(ReadFailed(1000))
        self.owner.tick(2.5)
        self.assertEqual(self.owner.results[1], JournalUnavailable())
        self.owner.held = False
        self.owner.apply(self.store.answer(self.owner.now, self.owner.calls.pop()))
        self.assertEqual(self.owner.claim(2), Claimed(1))
        self.assertEqual(
            ReducerDriver(self.store, incarnation=2).claim(3),
            ClaimOutcomeUnknown("owner_lost"),
        )

    def test_unreachable_store_refuses_the_claim(self):
        self.owner.claim(0, key="first")
        self.owner.held = True
        self.owner.claim(1)
        self.owner.calls.clear()
        self.owner.apply(WriteNotSent(1000))
        self.assertEqual(self.owner.results[1], JournalUnavailable())
        self.owner.held = False
        self.assertEqual(self.owner.claim(2), Claimed(1))

    def test_large_response_is_reported_unknown_and_not_truncated(self):
        self.owner.claim(1)
        self.owner.finish(body=b"x" * 5000)
        self.assertEqual(self.owner.claim(2), ClaimOutcomeUnknown("answer_not_stored"))

    def test_abandoned_claim_may_be_claimed_again(self):
        self.owner.claim(1)
        self.owner.apply(ClaimAbandoned(1000, "w", "k1"))
        self.assertEqual(ReducerDriver(self.store, incarnation=2).claim(2), Claimed(2))

    def test_keys_and_bodies_are_not_stored(self):
        # Request content must not reach the store.
        self.owner.claim(1, key="secret-key")
        stored = b"".join(entry.value for entry in self.store.entries.values())
        self.assertNotIn(b"secret-key", stored)
        self.assertIn(key_digest("w", "secret-key").encode(), stored)
        self.assertNotEqual(key_digest("a", "bc"), key_digest("ab", "c"))


class TakeoverTest(unittest.TestCase):
    def setUp(self):
        self.store = ClaimStore()
        self.first = ReducerDriver(self.store, "a", 1)

    def second(self, agents=("b",)) -> ReducerDriver:
        return ReducerDriver(self.store, "b", 2, agents)

    def test_paused_former_owner_is_fenced(self):
        # After a pause, the former owner still believes that it owns the partition,
        # while another process has taken it over (F2, P7).
        self.first.claim(1)
        second = self.second()
        self.assertEqual(second.claim(1), ClaimOutcomeUnknown("owner_lost"))
        self.assertEqual(second.claim(2, key="k2"), Claimed(2))
        self.first.apply(AgentsChanged(1000, frozenset("ab")))
        self.assertEqual(self.first.claim(2, key="k2"), NotOwner("b"))
        self.assertEqual(self.first.reducer.phase, OwnershipPhase.IDLE)
        # It still knows the request that it started.
        self.assertEqual(self.first.claim(3), AlreadyRunning("r1"))

    def test_append_of_former_owner_in_flight(self):
        # A claim whose append arrives after the takeover must not start (P6, P7).
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
        self.assertEqual(second.claim(2, key="open"), ClaimOutcomeUnknown("owner_lost"))
        self.assertEqual(second.claim(3, "open", OTHER_BODY), KeyReused())

    def test_partition_of_a_live_owner_is_not_taken_over(self):
        self.first.claim(1)
        second = self.second(agents=("a", "b"))
        self.assertEqual(second.claim(1), NotOwner("a"))
        self.assertEqual(self.first.claim(2, key="k2"), Claimed(1))

    def test_released_partition_is_taken_over(self):
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
        self.assertEqual(self.first.reducer.phase, OwnershipPhase.OWNED)
        third = ReducerDriver(self.store, "c", 3, ("c",))
        self.assertIsInstance(third.claim(1), Replay)

    def test_stale_journal_is_not_loaded(self):
        # A stale read of the journal may lack claims, whose requests would then run
        # again (F8).
        self.first.claim(1)
        second = self.second()
        second.held = True
        second.claim(1)
        while not isinstance(second.calls[0], ReadJournal):
            second.apply(self.store.answer(1000, second.calls.pop(0)))
        second.calls.clear()
        second.apply(JournalRead(1000, 1, ()))
        self.assertEqual(second.reducer.phase, OwnershipPhase.LOADING)
        self.assertNotIn(1, second.results)


class SegmentTest(unittest.TestCase):
    def test_full_segment_is_closed_and_expired_ones_are_deleted(self):
        # Segments must stay below the store's size limit, and old ones be deleted.
        store = ClaimStore()
        owner = ReducerDriver(store, retention_s=100.0)
        segments = set()
        for number in range(1200):
            self.assertEqual(owner.claim(number, key=f"k{number}"), Claimed(1))
            owner.finish(key=f"k{number}", body=b"x" * 200)
            owner.now += 0.25
        journal = [e for k, e in store.entries.items() if "/journal/" in k]
        segments = sorted(e.key for e in journal)
        self.assertGreater(len(segments), 1)
        self.assertNotIn("heatherswitch/journal/ledger/0/00000001", segments)
        self.assertLessEqual(max(len(e.value) for e in journal), MAX_SEGMENT_BYTES)
        head = store.entries["heatherswitch/config/partitions/ledger/0"]
        self.assertIn(str(owner.reducer.head.segment), head.value.decode())
        after = ReducerDriver(store, "b", 2, ("b",))
        after.now = owner.now
        self.assertIsInstance(after.claim(1, key="k1100"), Replay)

    def test_lost_response_to_the_start_of_a_segment(self):
        # Starting a segment changes the head. When that response is lost, the owner
        # must not mistake its own write for a takeover.
        store = ClaimStore()
        owner = ReducerDriver(store)
        for number in range(1000):
            owner.held = True
            owner.claim(number, key=f"k{number}")
            owner.held = False
            while owner.calls:
                event = store.answer(1000, owner.calls.pop())
                lost = isinstance(event, WriteApplied)
                owner.apply(WriteOutcomeUnknown(1000) if lost else event)
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
