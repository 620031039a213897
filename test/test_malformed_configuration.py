"""Tests of configurations of which some parts are malformed."""

import json
import unittest

from emulator.platform.deployment import (
    API_KEY,
    build_configuration,
    build_route,
)
from heatherswitch.gateway.admission import Admitted, Denied, admit
from heatherswitch.gateway.current_configuration import CurrentConfiguration
from heatherswitch.gateway.model import CallerLimits, CallerRequest, Configuration
from heatherswitch.platform.records import RecordError, decode_configuration
from test.test_malformed_input import BAD_DOCUMENTS, BAD_VALUES, with_field

LOGGER = "heatherswitch.platform.records"
LISTS = ("routes", "services", "tenants")
ROUTE = build_route("/lookup/special/", "safe", "ledger")
SERVICE = {"name": "other", "max_connections": 8, "cold_per_s": 1, "cold_start_s": 2}
WORKSPACE = {"name": "other", "priority": 3, "api_keys": ["secret-1", "secret-2"]}


def encode(list_name: str, item: bytes) -> bytes:
    """Returns a configuration with one more item, in the middle of one of its lists."""
    document = build_configuration(7)
    document[list_name].insert(0, "ITEM")
    return json.dumps(document).encode().replace(b'"ITEM"', item)


class MalformedPartsTest(unittest.TestCase):
    """Guards API KEYS and CONFIG: else withdrawn keys and routes stay in force."""

    def decode(self, value: bytes) -> Configuration:
        """Decodes a configuration; checks that each malformed part is logged."""
        with self.assertLogs(LOGGER, "ERROR") as logs:
            decoded = decode_configuration(value)
        self.assertEqual(len(logs.records), 1, value[:200])
        self.assertNotIn("secret", str(logs.records[0].__dict__))
        return decoded

    def assert_rest_in_force(self, decoded: Configuration) -> None:
        good = decode_configuration(json.dumps(build_configuration(7)).encode())
        prefixes = {r.prefix for r in good.routes}
        rest = tuple(r for r in decoded.routes if r.prefix in prefixes)
        self.assertEqual(rest, good.routes)
        self.assertEqual(decoded.services, good.services)
        self.assertEqual(decoded.api_keys, good.api_keys)
        self.assertEqual(decoded.version, 7)

    def test_item_of_another_type_is_left_out(self):
        for name in LISTS:
            for item in (b"7", b"null", b'"secret"', b'["secret"]', b"{}", b"1e999"):
                with self.subTest(name, item=item):
                    decoded = self.decode(encode(name, item))
                    self.assert_rest_in_force(decoded)

    def test_item_with_a_malformed_field_is_left_out(self):
        """Booleans are numbers to Python, and text is true."""
        fields = {
            "routes": (ROUTE, ("host", "prefix", "service", "timeout_ms", "priority")),
            "services": (SERVICE, ("name", "max_connections", "cold_per_s")),
            "tenants": (WORKSPACE, ("name", "priority", "api_keys")),
        }
        for list_name, (item, names) in fields.items():
            for name in names:
                for case, text in BAD_VALUES.items():
                    value = encode(list_name, with_field(item, name, text))
                    with self.subTest(f"{list_name}: {name}: {case}"):
                        self.assert_rest_in_force(self.decode(value))

    def test_malformed_permission_is_not_granted(self):
        """Text and numbers are true to Python, and other types restrict nothing."""
        for name in ("allow_anonymous", "stream_resume", "allowed_regions"):
            for text in ('"false"', "1", "0", "7", '"east"', "{}", "[1]", "[[]]"):
                value = encode("routes", with_field(ROUTE | {name: None}, name, text))
                with self.subTest(f"{name}: {text}"):
                    self.assert_rest_in_force(self.decode(value))
        for text in ("7", '"east"', "{}", "[1]", "0", "false"):
            item = WORKSPACE | {"allowed_regions": None}
            value = encode("tenants", with_field(item, "allowed_regions", text))
            with self.subTest(text):
                self.assert_rest_in_force(self.decode(value))

    def test_malformed_key_hides_no_other_key_of_its_workspace(self):
        for text in ("7", "null", "[]", "{}", r'"\ud800"'):
            item = with_field(WORKSPACE, "api_keys", f'["secret-1", {text}]')
            with self.subTest(text):
                decoded = self.decode(encode("tenants", item))
                self.assertEqual(set(decoded.api_keys), {API_KEY, "secret-1"})

    def test_malformed_limit_is_replaced_by_its_default(self):
        for text in BAD_VALUES.values():
            document = build_configuration(7)
            limits = with_field(document["limits"], "max_body_bytes", text)
            value = with_field(document, "limits", limits.decode())
            with self.subTest(text[:9]):
                limits = self.decode(value).caller_limits
                self.assertEqual(limits.body_bytes, CallerLimits().body_bytes)
                self.assertEqual(limits.head_bytes, 4096)

    def test_requests_of_a_malformed_route_are_refused_as_not_run(self):
        """Else the route with the next shorter prefix would take them."""
        current = CurrentConfiguration(10.0, 10.0)
        current.update(self.decode(encode("routes", with_field(ROUTE, "service", "7"))))
        current.confirm(100.0)
        for path, outcome in (("/lookup/1", Admitted), ("/lookup/special/1", Denied)):
            request = CallerRequest("r1", ROUTE["host"], path, None, API_KEY)
            decision = admit(100.0, current, request)
            self.assertIsInstance(decision, outcome)
        self.assertEqual(decision.status, 503)

    def test_keys_and_routes_that_may_be_malformed_are_not_refused_for_good(self):
        """Callers do not retry after 401 and 404."""
        for name in ("tenants", "routes"):
            current = CurrentConfiguration(10.0, 10.0)
            current.update(self.decode(encode(name, b'{"name": 7}')))
            current.confirm(100.0)
            for path, key in (("/lookup/1", "secret-1"), ("/elsewhere/1", API_KEY)):
                request = CallerRequest("r1", ROUTE["host"], path, None, key)
                decision = admit(100.0, current, request)
                self.assertEqual(decision.status, 503, f"{name} {path}")

    def test_document_that_is_malformed_as_a_whole_is_rejected(self):
        values = [
            with_field(build_configuration(7), name, text)
            for name in ("version", "routes", "services", "limits", "tenants")
            for text in ("1e999", "true", "false", '"x"')
        ]
        for value in (*BAD_DOCUMENTS, *values):
            with self.subTest(value[:40]), self.assertRaises(RecordError) as caught:
                decode_configuration(value)
            self.assertLessEqual(len(str(caught.exception)), 400)


if __name__ == "__main__":
    unittest.main()
