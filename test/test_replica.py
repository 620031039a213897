import unittest

from heatherswitch.statecore.replica import Entry, ReplicatedEntries


class ReplicatedEntriesTest(unittest.TestCase):
    def test_old_entry_does_not_replace_new_one(self):
        # Guards against configuration that reverts to an older revision because a peer
        # or the store is stale.
        replica = ReplicatedEntries()
        replica.apply([Entry("k", 5, b"new")], 5)
        self.assertEqual(replica.apply([Entry("k", 4, b"old")], 4), [])
        self.assertEqual(replica.get("k").value, b"new")
        self.assertEqual(replica.revision, 5)

    def test_stale_snapshot_deletes_nothing(self):
        # Guards against the removal of entries by an old snapshot from the store.
        replica = ReplicatedEntries()
        replica.apply([Entry("k", 5, b"v")], 5)
        self.assertEqual(replica.apply_snapshot([], 3), [])
        self.assertIsNotNone(replica.get("k"))

    def test_delta_includes_deletion(self):
        replica, other = ReplicatedEntries(), ReplicatedEntries()
        replica.apply([Entry("k", 1, b"v")], 1)
        other.apply(replica.since(0), replica.revision)
        replica.apply_snapshot([], 4)
        other.apply(replica.since(other.revision), replica.revision)
        self.assertIsNone(other.get("k"))
        self.assertEqual(other.revision, 4)
