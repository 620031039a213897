import hashlib
import unittest

from emulator.deployments import DEPLOYMENTS, demo_api_key
from heatherswitch.fleet.settings import Selector, SettingsTree


class ExampleSettingsTest(unittest.TestCase):
    def test_examples_are_valid_and_match_the_deployments(self):
        # Guards against invalid example settings and against a service, zone or
        # workspace that they lack.
        for name, deployment in DEPLOYMENTS.items():
            with self.subTest(name):
                tree = SettingsTree.from_nodes(deployment.settings_by_node())
                services = sorted(service.name for service in deployment.services)
                self.assertEqual(tree.services(), services)
                self.assertEqual(tree.names("zone"), sorted(deployment.zones))
                self.assertEqual(len(tree.names("workspace")), 10)

    def test_demo_keys_match_the_stored_digests(self):
        # Guards against a documented demo key that routers reject.
        for deployment in DEPLOYMENTS.values():
            tree = SettingsTree.from_nodes(deployment.settings_by_node())
            for workspace in deployment.workspace_shares():
                digest = hashlib.sha256(demo_api_key(workspace).encode()).hexdigest()
                self.assertEqual(tree.workspace_for_key_digest(digest), workspace)

    def test_request_classes_and_routes(self):
        # Guards against an action declared idempotent, which would be repeated after a
        # failure, and against wrong priorities or undefined classes.
        cases = {
            "leafline": ("appraiser", "bidder", "freshness", "ledger", "/settle /bid"),
            "lochblick": ("model", "exposure", "label", "orders", "/refund /replace"),
        }
        for name, (engine, urgent_name, patient_name, plain, actions) in cases.items():
            tree = SettingsTree.from_nodes(DEPLOYMENTS[name].settings_by_node())
            settings = tree.effective(Selector(service=engine))
            urgent, patient = map(settings.request_class, (urgent_name, patient_name))
            self.assertTrue(settings.is_engine)
            self.assertEqual(urgent.priority, 0)
            self.assertGreater(patient.priority, urgent.priority)
            settings = tree.effective(Selector(service=plain))
            self.assertFalse(settings.is_engine)
            for path in actions.split():
                self.assertFalse(settings.route("POST", path).idempotent)
            classes = [route.request_class for route in settings.routes]
            self.assertNotIn(None, [settings.request_class(c) for c in classes])
            self.assertTrue(any(route.idempotent for route in settings.routes))
