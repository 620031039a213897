import unittest

from heatherswitch.fleet.settings import (
    Selector,
    SettingsError,
    SettingsTree,
    parse_path,
    validate_node,
)


class SettingsTreeTest(unittest.TestCase):
    def test_level_overrides_only_what_it_names(self):
        # Guards against a workspace node that hides its service's other values.
        tree = SettingsTree.from_nodes(
            {
                "/service=chat": {"routing": {"load_bound": 1.5}, "share": 2},
                "/service=chat/workspace=w1": {"routing": {"max_attempts": 2}},
            }
        )
        settings = tree.effective(Selector(service="chat", workspace="w1"))
        self.assertEqual(settings.get("routing.load_bound"), 1.5)
        self.assertEqual(settings.get("routing.max_attempts"), 2)
        self.assertEqual(settings.get("share"), 2)

    def test_deeper_level_wins(self):
        tree = SettingsTree.from_nodes(
            {
                "/workspace=w1": {"share": 3},
                "/service=chat/zone=z1": {"share": 2},
                "/": {"share": 9},
            }
        )
        selector = Selector(service="chat", zone="z1", workspace="w1")
        self.assertEqual(tree.effective(selector).get("share"), 3)
        sources = {e.name: e.source for e in tree.explain(selector)}
        self.assertEqual(sources["share"], "/workspace=w1")
        self.assertEqual(sources["kind"], "default")

    def test_bad_value_names_path_value_and_allowed(self):
        with self.assertRaises(SettingsError) as caught:
            validate_node("/service=chat", {"routing": {"load_bound": 0.5}})
        message = str(caught.exception)
        for part in ("/service=chat", "routing.load_bound", "0.5", "1 to 10"):
            self.assertIn(part, message)

    def test_unknown_name_is_refused(self):
        # Guards against a misspelt setting that silently has no effect.
        with self.assertRaises(SettingsError):
            validate_node("/", {"routing": {"load_bund": 2}})

    def test_path_levels_are_ordered(self):
        for path in ("service=a", "/zone=z/service=a", "/planet=x", "/service="):
            with self.subTest(path), self.assertRaises(SettingsError):
                parse_path(path)

    def test_key_digest_follows_changes(self):
        # Guards against a revoked key that still works.
        tree = SettingsTree()
        tree.set_node("/workspace=w1", {"api_key_digests": ["a" * 64]})
        self.assertEqual(tree.workspace_for_key("a" * 64), "w1")
        tree.set_node("/workspace=w1", {"api_key_digests": ["b" * 64]})
        self.assertIsNone(tree.workspace_for_key("a" * 64))

    def test_invalid_stored_value_keeps_the_node(self):
        # Guards against a damaged store value taking a valid setting away.
        tree = SettingsTree.from_nodes({"/": {"share": 2}})
        with self.assertRaises(SettingsError):
            tree.set_node_bytes("/", b"{")
        self.assertEqual(tree.effective(Selector()).get("share"), 2)

    def test_longest_route_wins(self):
        tree = SettingsTree.from_nodes(
            {
                "/service=ledger": {
                    "routes": [
                        {"path": "/", "methods": ["GET"], "idempotent": True},
                        {"path": "/settle", "methods": ["POST"], "idempotent": False},
                    ]
                }
            }
        )
        settings = tree.effective(Selector(service="ledger"))
        self.assertFalse(settings.route("POST", "/settle/7").idempotent)
        self.assertIsNone(settings.route("POST", "/settled"))
        self.assertTrue(settings.route("GET", "/lots/1").idempotent)
