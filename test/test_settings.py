import unittest

from heatherswitch.fleet.settings import (
    Selector,
    SettingsError,
    SettingsTree,
    parse_path,
    validate_node,
)


class SettingsTreeTest(unittest.TestCase):
    def test_node_overrides_only_the_settings_it_contains(self):
        # Nested objects must be merged, not replaced.
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

    def test_deeper_level_takes_precedence(self):
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

    def test_error_contains_path_value_and_allowed_range(self):
        with self.assertRaises(SettingsError) as caught:
            validate_node("/service=chat", {"routing": {"load_bound": 0.5}})
        message = str(caught.exception)
        for part in ("/service=chat", "routing.load_bound", "0.5", "1 to 10"):
            self.assertIn(part, message)

    def test_unknown_setting_is_rejected(self):
        # A misspelt setting must not be ignored silently.
        with self.assertRaises(SettingsError):
            validate_node("/", {"routing": {"load_bund": 2}})

    def test_malformed_paths_are_rejected(self):
        for path in ("service=a", "/zone=z/service=a", "/planet=x", "/service="):
            with self.subTest(path), self.assertRaises(SettingsError):
                parse_path(path)

    def test_changed_key_digests_take_effect(self):
        # A revoked key must stop working at once.
        tree = SettingsTree()
        tree.set_node("/workspace=w1", {"api_key_digests": ["a" * 64]})
        self.assertEqual(tree.workspace_for_key_digest("a" * 64), "w1")
        tree.set_node("/workspace=w1", {"api_key_digests": ["b" * 64]})
        self.assertIsNone(tree.workspace_for_key_digest("a" * 64))

    def test_invalid_stored_value_keeps_the_node(self):
        # A corrupted store value must not remove a valid setting.
        tree = SettingsTree.from_nodes({"/": {"share": 2}})
        with self.assertRaises(SettingsError):
            tree.set_node_bytes("/", b"{")
        self.assertEqual(tree.effective(Selector()).get("share"), 2)

    def test_longest_matching_route_is_used(self):
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
