import unittest

from heatherswitch.fleet.members import Load, Member, MemberTable, Role


def agent(incarnation=1, heartbeat=0, **fields):
    return Member(
        id="a1",
        role=Role.AGENT,
        zone="z1",
        address="127.0.0.1:1",
        incarnation=incarnation,
        heartbeat=heartbeat,
        **fields,
    )


class MemberTableTest(unittest.TestCase):
    def test_old_record_does_not_replace_new_one(self):
        # Exchanged records may arrive out of order.
        table = MemberTable()
        table.merge(0.0, [agent(incarnation=2, heartbeat=1)])
        self.assertEqual(table.merge(1.0, [agent(incarnation=1, heartbeat=9)]), [])
        self.assertEqual(table.get("a1").incarnation, 2)

    def test_member_without_contact_is_suspect_then_removed(self):
        # A VM may be lost without notice and must then get no requests.
        table = MemberTable()
        table.merge(0.0, [agent()])
        self.assertFalse(table.is_suspect(2.0, "a1"))
        self.assertTrue(table.is_suspect(3.0, "a1"))
        self.assertEqual(len(table.expire(10.5)), 1)
        self.assertEqual(len(table), 0)

    def test_load_report_counts_as_contact(self):
        table = MemberTable()
        table.merge(0.0, [agent()])
        table.update_load(5.0, "a1", Load(running=3))
        self.assertFalse(table.is_suspect(6.0, "a1"))
        self.assertEqual(table.get("a1").load.total, 3)
