import json
import unittest
from dataclasses import replace

from heatherswitch.fleet.config import FleetConfig
from heatherswitch.fleet.records import (
    PARTITIONS_PREFIX,
    Move,
    MoveKind,
    MoveState,
    PartitionHead,
)
from heatherswitch.fleet.settings import node_key
from heatherswitch.statecore.replica import Entry


def node(path, revision, **overrides):
    return Entry(node_key(path), revision, json.dumps(overrides).encode())


class FleetConfigTest(unittest.TestCase):
    def setUp(self):
        self.config = FleetConfig()

    def test_invalid_entry_is_reported_and_left_out(self):
        # One invalid value must not keep the other entries from taking effect.
        errors = self.config.apply(
            [node("/", 1, share=-1), node("/zone=z1", 2, zone_state="out")]
        )
        self.assertEqual(len(errors), 1)
        self.assertTrue(self.config.zone_is_out("chat", "z1", 0.0))

    def test_undecided_version_move_is_taken_back_at_its_deadline(self):
        # While the store is down no decision is recorded; the share must not remain.
        move = Move(
            "m1", MoveKind.VERSION, 0.0, 100.0, "chat", to_version="v2", share=0.5
        )
        self.config.apply(
            [
                node("/service=chat/version=v1", 1, version_state="active"),
                node("/service=chat/version=v2", 2, version_state="starting"),
                Entry(move.key, 3, move.to_bytes()),
            ]
        )
        self.assertEqual(self.config.split("chat", 99.0).share, 0.5)
        self.assertEqual(self.config.split("chat", 100.0).share, 0.0)
        self.assertTrue(self.config.version_is_closed("chat", "v2", 100.0))

    def test_undecided_zone_move_leaves_the_zone_out(self):
        # Without a recorded decision, a zone must stay out of use after the deadline.
        move = Move("m1", MoveKind.ZONE_OUT, 0.0, 10.0, zone="z1")
        self.assertIs(move.effective_state(11.0), MoveState.DONE)
        back = replace(move, kind=MoveKind.ZONE_BACK)
        self.config.apply([Entry(back.key, 1, back.to_bytes())])
        self.assertFalse(self.config.zone_is_out("chat", "z1", 9.0))
        self.assertTrue(self.config.zone_is_out("chat", "z1", 10.0))

    def test_partition_head_keeps_its_revision(self):
        head = PartitionHead("ledger", 3, "a1", 7, 2, 1)
        self.config.apply([Entry(head.key, 9, head.to_bytes())])
        self.assertEqual(self.config.head("ledger", 3), replace(head, mod_revision=9))
        self.assertEqual(self.config.head("ledger", 4).owner, "")

    def test_partition_key_with_a_digit_that_is_no_number_is_reported(self):
        # "²".isdigit() is true, but int("²") raises: one such key must not keep the
        # other entries of the batch from taking effect.
        head = PartitionHead("ledger", 3, "a1", 7, 2, 1)
        errors = self.config.apply(
            [
                Entry(PARTITIONS_PREFIX + "a/²", 8, None),
                Entry(head.key, 9, head.to_bytes()),
            ]
        )
        self.assertEqual(len(errors), 1)
        self.assertEqual(self.config.head("ledger", 3).owner, "a1")
