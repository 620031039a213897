"""Tests of the platform's formats: HTTP headers, store records and settings."""

import json
import unittest

import h11
from hypothesis import given
from hypothesis import strategies as st

from emulator.platform.deployment import build_configuration
from heatherswitch.gateway import events as ev
from heatherswitch.gateway.model import Load, PromptPart, RequestKind
from heatherswitch.gateway.notices import MAX_BUSY_S
from heatherswitch.gateway.upstream import UpstreamContext
from heatherswitch.platform import names
from heatherswitch.platform.headers import (
    decode_request,
    decode_response,
    encode_request,
)
from heatherswitch.platform.reader import PlatformReader
from heatherswitch.platform.records import (
    RecordError,
    decode_configuration,
    decode_server,
)
from heatherswitch.platform.settings import SettingsError, parse_gateway_config
from heatherswitch.statecore.replica import Entry
from heatherswitch.util.http import BadRequest, Request, encode_headers

ENTRY = {
    "service": "ledger",
    "address": "10.1.2.3:8080",
    "zone": "a",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "cold_remaining_ms": 1500,
    "seq": 4,
    "born": 1700000000000,
}
SETTINGS = {
    "node_name": "edge-a-1",
    "zone": "a",
    "zones": {"a": "east"},
    "ip": "10.1.0.40",
    "listen": {"front": "10.1.0.40:8227", "ready": "10.1.0.40:8220"},
    "limits": {"max_fds": 4100},
    "bounds": {"grace_s": 8, "revoke_ms": 5000, "retry_budget_slack": 58},
    "platform": {"address": "10.200.1.7:8223"},
    "a_new_field": 1,
}


def make_request(
    *headers, target="/draft/1?x=1", method="POST", body=b"abc"
) -> Request:
    all_headers = [("host", "Auction.example:80"), ("x-attempt-id", "a1"), *headers]
    return Request(method, target, all_headers, body)


class HeadersTest(unittest.TestCase):
    def test_request_fields_are_decoded(self):
        decoded = decode_request(
            make_request(
                ("x-deadline-ms", "1500"),
                ("authorization", "Bearer k1"),
                ("x-prompt-prefix", "5c1e:800,91bd:410,e440:250"),
            )
        )
        self.assertEqual(decoded.host, "auction.example")
        self.assertEqual((decoded.path, decoded.deadline_s), ("/draft/1", 1.5))
        self.assertEqual(decoded.api_key, "k1")
        self.assertEqual(decoded.affinity_key, "91bd")
        self.assertEqual(decoded.prompt_parts[0], PromptPart("5c1e", 800))

    def test_malformed_or_repeated_fields_are_rejected(self):
        for header in (
            ("x-deadline-ms", "soon"),
            ("x-deadline-ms", "-1"),
            ("x-deadline-ms", "inf"),
            ("x-attempt-id", "a2"),
            ("host", "other.example"),
        ):
            with self.subTest(header), self.assertRaises(BadRequest):
                decode_request(make_request(header))
        with self.assertRaises(BadRequest):
            decode_request(Request("GET", "/", [("host", "x")]))

    def test_malformed_prompt_parts_only_disable_cache_affinity(self):
        decoded = decode_request(make_request(("x-prompt-prefix", "5c1e,zz")))
        self.assertEqual((decoded.prompt_parts, decoded.affinity_key), ((), ""))

    def test_forwarded_headers_replace_reserved_ones(self):
        upstream = UpstreamContext("i-1", 1.25, "huon", 2, "7", "10.0.0.9:80")
        sent = encode_request(
            make_request(
                ("connection", "close, X-Extra, X-Prompt-Prefix"),
                ("x-extra", "1"),
                ("x-prompt-prefix", "5c1e:800"),
                ("transfer-encoding", "chunked"),
                ("x-tenant", "forged"),
                ("x-hold", "forged"),
                ("kv-from", "forged"),
                ("x-request-priority", "0"),
                ("authorization", "Bearer k1"),
                ("last-event-id", "3"),
                ("x-model", "m"),
            ),
            upstream,
        )
        fields = {name.lower(): value for name, value in sent}
        self.assertEqual(len(fields), len(sent), "a header is sent twice")
        self.assertEqual(
            fields,
            {
                "host": "Auction.example:80",
                "x-attempt-id": "a1",
                "x-prompt-prefix": "5c1e:800",
                "x-model": "m",
                "x-deadline-ms": "1250",
                "x-expect-instance": "i-1",
                "x-tenant": "huon",
                "x-request-priority": "2",
                "kv-fetch": "10.0.0.9:80",
                "last-event-id": "7",
                "content-length": "3",
            },
        )

    def test_any_name_of_a_workspace_can_be_sent(self):
        """Guards against requests that end with 502 by the name of their workspace."""
        for name in ("huon", "é", "東京", " a ", "a b"):
            upstream = UpstreamContext("i-1", 1.25, name, None)
            sent = dict(encode_headers(encode_request(make_request(), upstream)))
            with self.subTest(name):
                self.assertEqual(sent[names.WORKSPACE.encode()].decode(), name.strip())
                h11.Request(method="GET", target="/", headers=list(sent.items()))

    def test_response_head_is_decoded(self):
        head = decode_response(
            200,
            [
                ("x-attempt-id", "a1"),
                ("x-response-seal", "s"),
                ("x-server-load", "3,1,8"),
                ("connection", "close"),
                ("content-length", "5"),
            ],
        )
        self.assertTrue(head.sealed)
        self.assertEqual((head.load, head.length), (Load(3, 1, 8), 5))
        self.assertNotIn("connection", dict(head.headers))
        self.assertTrue(decode_response(503, [("x-not-executed", "1")]).not_run)
        self.assertFalse(decode_response(503, []).not_run)
        self.assertTrue(decode_response(421, []).other_instance)
        self.assertIsNone(decode_response(200, [("x-server-load", "many")]).load)

    def test_leaving_header_is_decoded_and_not_forwarded(self):
        for status in (200, 404, 500, 503):
            head = decode_response(status, [("server-leaving", "1"), ("x-a", "b")])
            self.assertTrue(head.leaving)
            self.assertEqual(head.headers, [("x-a", "b")])
        self.assertFalse(decode_response(200, []).leaving)

    def test_malformed_leaving_header_is_logged_once_and_bounded(self):
        """A repeated header counts if one of its values is valid."""
        for values, leaving in (
            (["0"], False),
            (["true"], False),
            ([""], False),
            (["1, 1"], False),
            (["x" * 9000], False),
            (["1", "1"], True),
            (["0", "1"], True),
        ):
            with (
                self.subTest(values=[v[:9] for v in values]),
                self.assertLogs("heatherswitch.platform.headers") as logs,
            ):
                headers = [("server-leaving", value) for value in values]
                self.assertEqual(decode_response(200, headers).leaving, leaving)
            self.assertEqual(len(logs.records), 1)
            self.assertLessEqual(len(logs.records[0].value), 100)

    def test_retry_time_of_a_refusal_is_decoded(self):
        for value, busy_s in (("2", 2.0), (" 0.25 ", 0.25), ("0", 0.0)):
            head = decode_response(503, [("retry-after", value)])
            self.assertEqual(head.busy_s, busy_s)
        self.assertEqual(decode_response(503, []).busy_s, 0.0)
        for status in (200, 301, 421, 429, 500):
            head = decode_response(status, [("retry-after", "2")])
            self.assertEqual(head.busy_s, 0.0)

    def test_malformed_or_excessive_retry_time_is_logged_once_and_bounded(self):
        """The refusal counts in any case; only valid times have an effect."""
        for values, busy_s in (
            (["-1"], 0.0),
            (["soon"], 0.0),
            ([""], 0.0),
            (["Wed, 21 Oct 2026 07:28:00 GMT"], 0.0),
            (["inf"], 0.0),
            (["nan"], 0.0),
            (["1e999"], 0.0),
            (["x" * 9000], 0.0),
            (["1000000000"], MAX_BUSY_S),
            (["9" * 300], MAX_BUSY_S),
            (["3", "-1"], 3.0),
            (["3", "5"], 5.0),
        ):
            with (
                self.subTest(values=[v[:9] for v in values]),
                self.assertLogs("heatherswitch.platform.headers") as logs,
            ):
                headers = [("retry-after", value) for value in values]
                head = decode_response(503, [*headers, ("x-not-executed", "1")])
                self.assertEqual((head.busy_s, head.not_run), (busy_s, True))
            self.assertEqual(len(logs.records), 1)
            self.assertLessEqual(len(logs.records[0].value), 100)

    def test_notice_of_a_different_server_at_the_address_is_ignored(self):
        """It concerns a server that this request was not meant for."""
        self.assertFalse(decode_response(421, [("server-leaving", "1")]).leaving)


class RecordsTest(unittest.TestCase):
    def test_configuration_is_decoded(self):
        decoded = decode_configuration(json.dumps(build_configuration(7)).encode())
        self.assertEqual(decoded.version, 7)
        kinds = {r.prefix: (r.kind, r.retryable) for r in decoded.routes}
        self.assertEqual(kinds["/answer/"], (RequestKind.STREAMING, True))
        self.assertEqual(kinds["/draft/"], (RequestKind.STREAMING, False))
        self.assertTrue(decoded.services["appraiser"].is_model)
        self.assertEqual(decoded.api_keys["key-huon-leaf"].name, "huon-leaf")
        self.assertEqual(decoded.caller_limits.head_timeout_s, 0.5)

    def test_unknown_request_kind_is_not_repeatable(self):
        document = build_configuration()
        document["routes"][0]["kind"] = "something_new"
        decoded = decode_configuration(json.dumps(document).encode())
        self.assertFalse(decoded.routes[0].retryable)

    @given(st.binary(max_size=60))
    def test_arbitrary_bytes_raise_record_error(self, data):
        with self.assertRaises(RecordError):
            decode_configuration(data)

    def test_server_entry_is_decoded(self):
        decoded = decode_server("i-1", json.dumps(ENTRY).encode())
        self.assertEqual((decoded.host, decoded.port), ("10.1.2.3", 8080))
        self.assertEqual(decoded.cold_for_s, 1.5)
        self.assertEqual(decoded.incarnation, 1700000000000)

    @given(
        st.sampled_from(sorted(ENTRY)),
        st.one_of(st.none(), st.integers(), st.lists(st.text()), st.text()),
    )
    def test_server_entry_with_an_arbitrary_value_never_raises(self, name, value):
        decode_server("i-1", json.dumps(ENTRY | {name: value}).encode())

    def test_invalid_server_entries_are_not_used(self):
        for change in (
            {"service": 3},
            {"address": "nowhere"},
            {"state": "dreaming"},
            {"zone": None},
        ):
            data = json.dumps(ENTRY | change).encode()
            self.assertIsNone(decode_server("i-1", data), change)
        self.assertIsNone(decode_server("i-1", b"\xff"))

    def test_invalid_or_deleted_configuration_does_not_replace_the_last_one(self):
        reader = PlatformReader()
        invalid = reader.read(Entry("op/config", 3, b"{"), False)
        self.assertEqual(invalid, [ev.ConfigurationRead(None)])
        self.assertEqual(reader.read(Entry("op/config", 4, None), False), [])


class SettingsTest(unittest.TestCase):
    def test_gateway_settings_are_parsed(self):
        config = parse_gateway_config(SETTINGS)
        self.assertEqual(config.listen, "10.1.0.40:8227")
        self.assertEqual(config.limits.key_max_age_s, 4.5)
        self.assertEqual(config.limits.budget_slack, 58)
        self.assertLess(config.grace_s, 8)
        self.assertEqual(config.limits.entry_ttl_s, 4.8)
        self.assertEqual(config.http.connections, 1950)

    def test_interval_of_heartbeats_decides_how_long_entries_stay(self):
        """Guards the proof that a server has not crashed: its entry would be gone."""
        config = parse_gateway_config(SETTINGS | {"heartbeat_ms": 2000})
        self.assertEqual(config.limits.entry_ttl_s, 8.0)
        for heartbeat_ms in (0, -1, "1200"):
            with (
                self.subTest(heartbeat_ms),
                self.assertRaisesRegex(SettingsError, "heartbeat_ms"),
            ):
                parse_gateway_config(SETTINGS | {"heartbeat_ms": heartbeat_ms})

    def test_error_names_the_missing_field(self):
        for name in ("node_name", "zone", "ip", "listen", "platform"):
            document = {key: value for key, value in SETTINGS.items() if key != name}
            with self.subTest(name), self.assertRaisesRegex(SettingsError, name):
                parse_gateway_config(document)
