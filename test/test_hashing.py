import unittest

from heatherswitch.statecore import hashing


class RendezvousTest(unittest.TestCase):
    def test_removal_moves_only_keys_of_the_removed_node(self):
        # Guards against a placement that moves every chat when one backend server
        # leaves.
        nodes = [f"agent-{n}" for n in range(10)]
        for chat in range(200):
            order = hashing.rendezvous_order(f"chat-{chat}", nodes)
            rest = hashing.rendezvous_order(f"chat-{chat}", nodes[1:])
            self.assertEqual([n for n in order if n != nodes[0]], rest)

    def test_parts_are_not_concatenated(self):
        # Guards against two workspaces that get the same hash because their parts are
        # equal when concatenated.
        self.assertNotEqual(hashing.hash64("a", "bc"), hashing.hash64("ab", "c"))


if __name__ == "__main__":
    unittest.main()
