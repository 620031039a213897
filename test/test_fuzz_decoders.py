"""Fuzz tests of the gateway's decoders with malformed input from outside.

Run more examples with ``FUZZ_EXAMPLES=10000 python -m test test.test_fuzz_decoders``.
"""

import asyncio
import contextlib
import json
import logging
import math
import os
import pathlib
import tempfile
import unittest

import msgpack
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from emulator.platform.deployment import API_KEY, build_configuration
from heatherswitch.agent.backend import (
    BackendError,
    BodyValidator,
    parse_load,
    request_body,
)
from heatherswitch.fleet.claim_table import ClaimTable, SegmentLog
from heatherswitch.fleet.peer_messages import VERSION
from heatherswitch.fleet.records import PartitionHead, RecordError
from heatherswitch.gateway import events as ev
from heatherswitch.gateway.crash_records import CLEARED_PREFIX, CRASH_PREFIX
from heatherswitch.gateway.model import CallerRequest
from heatherswitch.gateway.peer_link import PeerLink
from heatherswitch.gateway.rollout_records import EVIDENCE_PREFIX, PROGRESS_PREFIX
from heatherswitch.gateway.store_sync import StoreSync
from heatherswitch.gateway.timing import Timing
from heatherswitch.platform import names
from heatherswitch.platform.headers import decode_request, decode_response
from heatherswitch.platform.reader import PlatformReader
from heatherswitch.platform.settings import parse_gateway_config
from heatherswitch.platform.settings_file import SettingsError, read_settings
from heatherswitch.platform.store import PlatformStore
from heatherswitch.protocol import heatherswitch_pb2 as pb
from heatherswitch.router.openai import InvalidRequest, parse_chat_request
from heatherswitch.statecore.replica import Entry
from heatherswitch.statecore.store import StoreClient, StoreError, WatchBatch
from heatherswitch.util.http import BadRequest, Request
from heatherswitch.util.metrics import Metrics
from test.gateway_fakes import Driver, server
from test.test_backend import call
from test.test_malformed_backend import FixedProbe
from test.test_malformed_input import EVIDENCE_ROW, ORDER, PROGRESS, REPORT
from test.test_platform_formats import ENTRY, SETTINGS
from test.test_store_sync import ManualClock

# Without FUZZ_EXAMPLES the same examples in each run, few enough for CI.
EXAMPLES = int(os.environ.get("FUZZ_EXAMPLES", "0"))
FUZZ_SETTINGS = settings(
    derandomize=not EXAMPLES,
    deadline=None,
    max_examples=EXAMPLES or 60,
    suppress_health_check=list(HealthCheck),
    database=None,
)
MEGABYTE = 2**20
# Bounds the length of an error that reaches the log.
MAX_ERROR_CHARACTERS = 400

# JSON texts of single values, among them those that json.loads() rejects or changes.
json_texts = st.sampled_from(
    [
        *("1e999", "-1e999", "NaN", "Infinity", "true", "false", "null", "[]", "{}"),
        *("0", "-1", "1.5", "1e300", "9" * 400, "-" + "9" * 400, "9" * 5000, "65536"),
        *(r'"\ud800"', r'"a\u0000b"', '""', '"é日"', r'"a\r\nb"', '"x: y"', '"1"', ""),
        *("[" * 30 + "]" * 30, "[" * 930 + "]" * 930, "[" * 5000, '{"a":' * 940),
        *('"' + "x" * 9000 + '"', '{"a": 1}', '[1, "a"]', "[null, {}]"),
    ]
) | st.builds(json.dumps, st.integers() | st.text(max_size=9) | st.floats())
nested_json_texts = st.recursive(
    json_texts,
    lambda inner: (
        st.lists(inner, max_size=3).map(lambda items: "[" + ",".join(items) + "]")
        | st.dictionaries(st.text(max_size=4), inner, max_size=3).map(
            lambda items: (
                "{" + ",".join(f"{json.dumps(k)}:{v}" for k, v in items.items()) + "}"
            )
        )
    ),
    max_leaves=6,
)
raw_bytes = (
    st.binary(max_size=80)
    | nested_json_texts.map(lambda text: text.encode())
    | st.sampled_from([b"", b"\x00", b"\xff" * MEGABYTE, b"[" * MEGABYTE])
    | st.just(b'"' + b"x" * MEGABYTE + b'"')
)


def paths(value, prefix=()):
    """Yields the path of each value inside a document, the outermost first."""
    yield prefix
    if isinstance(value, dict | list):
        items = value.items() if isinstance(value, dict) else enumerate(value)
        for key, item in items:
            yield from paths(item, (*prefix, key))


def render(value, changes, prefix=()) -> str:
    """Returns a document as JSON text, with the texts of some of its values replaced."""
    if prefix in changes:
        return changes[prefix]
    if isinstance(value, dict):
        fields = (
            f"{json.dumps(key)}: {render(item, changes, (*prefix, key))}"
            for key, item in value.items()
        )
        return "{" + ", ".join(fields) + "}"
    if isinstance(value, list):
        items = (render(v, changes, (*prefix, i)) for i, v in enumerate(value))
        return "[" + ", ".join(items) + "]"
    return json.dumps(value)


def documents(template):
    """Returns a strategy for variants of a valid document, and for arbitrary bytes."""
    places = st.sampled_from(list(paths(template)))
    changes = st.dictionaries(places, nested_json_texts, max_size=3)
    texts = changes.map(lambda changed: render(template, changed))
    return texts.map(lambda t: t.encode(errors="surrogatepass")) | raw_bytes


class ErrorRecords(logging.Handler):
    """Collects the log records of errors that the code did not foresee."""

    def __init__(self):
        super().__init__(logging.DEBUG)
        self.unforeseen = []
        self.longest = 0

    def emit(self, record):
        """Keeps a record that has a traceback, and the length of the longest error."""
        if record.exc_info:
            self.unforeseen.append(record)
        self.longest = max(self.longest, len(str(getattr(record, "error", ""))))


class DecoderCase(unittest.TestCase):
    """Checks the log after each example: no traceback, and no long error message."""

    def setUp(self):
        self.records = ErrorRecords()
        logger = logging.getLogger("heatherswitch")
        logger.addHandler(self.records)
        self.addCleanup(logger.removeHandler, self.records)
        level, propagate = logger.level, logger.propagate
        logger.setLevel(logging.DEBUG)
        logger.propagate = False
        self.addCleanup(setattr, logger, "propagate", propagate)
        self.addCleanup(logger.setLevel, level)

    def assert_log_is_clean(self):
        for record in self.records.unforeseen:
            raise AssertionError(record.getMessage()) from record.exc_info[1]
        self.assertLessEqual(self.records.longest, MAX_ERROR_CHARACTERS)


class StoreEntriesFuzz(DecoderCase):
    """Guards the watch of the store and the reducer behind it."""

    def apply(self, key: str, value: bytes) -> Driver:
        """Passes an entry between two good ones to a gateway that then takes a request."""
        driver = Driver()
        driver.add_servers(server("l1"))
        prefix = PlatformReader.member_prefix
        entries = (
            Entry("servers/good", 1, json.dumps(ENTRY).encode()),
            Entry(key, 2, value),
            Entry(f"{prefix}me", 3, b'{"owner": "127.0.0.1:7"}'),
        )
        sync = StoreSync(ManualClock(), driver.apply, 1.0)
        batch = WatchBatch(3, entries, driver.now)
        asyncio.run(sync._on_batch(batch, PlatformReader()))
        self.assert_log_is_clean()
        for seconds in (0.0, 1.0):
            driver.advance(seconds)
            driver.send_request("/safe/1")
            driver.send_request("/lookup/1")
        driver.take_effects()
        self.assertTrue(driver.reducer.server_accepts_work(driver.now, "good"))
        return driver

    @FUZZ_SETTINGS
    @given(documents(ENTRY), st.sampled_from(["odd", "", "o d", "\ud800", "a\x00"]))
    def test_server_entries(self, value, server_id):
        self.apply(f"servers/{server_id}", value)

    @FUZZ_SETTINGS
    @given(documents(build_configuration(7)))
    def test_configurations(self, value):
        driver = self.apply(names.CONFIG_KEY, value)
        for path in ("/lookup/1", "/open/1", "/answer/1", "/settle/1"):
            for key in (API_KEY, ""):
                request = CallerRequest("r", "auction.example", path, 1.0, key)
                driver.apply(ev.RequestArrived(1000 + len(driver.effects), request))
                driver.advance(0.1)

    @FUZZ_SETTINGS
    @given(documents(ORDER), documents({"state": "running", "target": "v2"}))
    def test_rollout_orders_and_states(self, order, state):
        self.apply(f"{names.ROLLOUT_PREFIX}ledger", order)
        self.apply(f"{names.ROLLOUT_STATUS_PREFIX}ledger", state)

    @FUZZ_SETTINGS
    @given(documents(PROGRESS), documents([EVIDENCE_ROW, EVIDENCE_ROW]))
    def test_rollout_records(self, progress, evidence):
        self.apply(f"{PROGRESS_PREFIX}ledger", progress)
        self.apply(f"{EVIDENCE_PREFIX}ledger/g1", evidence)

    @FUZZ_SETTINGS
    @given(documents(REPORT), st.text(max_size=9))
    def test_crash_reports(self, value, report_id):
        self.apply(CRASH_PREFIX + report_id, value)
        self.apply(CLEARED_PREFIX + report_id, value)

    @FUZZ_SETTINGS
    @given(documents({"age_s": 31.5}), st.text(max_size=9))
    def test_cleared_parts(self, value, part):
        self.apply(CLEARED_PREFIX + part, value)

    @FUZZ_SETTINGS
    @given(documents({"owner": "127.0.0.1:8", "lease": 7}), st.text(max_size=9))
    def test_members(self, value, member_id):
        self.apply(PlatformReader.member_prefix + member_id, value)

    @FUZZ_SETTINGS
    @given(st.text(max_size=30), raw_bytes)
    def test_other_keys(self, key, value):
        self.apply(key, value)
        self.apply(names.EVACUATE_PREFIX + key, value)


class FixedResponse:
    """A response of the store with a given body and era."""

    def __init__(self, status: int, body: bytes, era: str = "") -> None:
        self.status = status
        self.body = body
        self.era = era

    def header(self, name: str) -> str:
        """Returns the era, which is the only header that is read."""
        return self.era

    async def read(self, limit: int = 0) -> bytes:
        """Returns the body."""
        return self.body

    def close(self) -> None:
        """Does nothing."""


class FixedClient:
    """Answers a few requests with the same response, then stops the test."""

    def __init__(self, response: FixedResponse) -> None:
        self.response = response
        self.calls = 0

    async def request(self, *args) -> FixedResponse:
        """Returns the response; fails if the caller repeats itself without end."""
        self.calls += 1
        if self.calls > 20:
            raise AssertionError("the client sends requests without end")
        return self.response

    def close(self) -> None:
        """Does nothing."""


ITEM = {"key": "a", "revision": 3, "value": "Yg==", "created": 3, "lease": 0}
ANSWER = {
    "as_of": 7,
    "items": [ITEM, ITEM | {"key": "b"}],
    "events": [ITEM, {"key": "b", "revision": 4, "tombstone": True}],
    "truncated": False,
    "revision": 8,
    "lease": 5,
    "ttl_ms": 500,
}


class StoreAnswersFuzz(DecoderCase):
    """Guards all callers of the store, which expect only its own errors."""

    @FUZZ_SETTINGS
    @given(
        documents(ANSWER) | documents(ITEM),
        st.sampled_from([200, 404, 410, 412]),
        st.sampled_from(["", "1", "3"]) | st.text(max_size=30),
    )
    def test_answers(self, body, status, era):
        asyncio.run(self.call_all(FixedResponse(status, body, era)))
        self.assert_log_is_clean()

    async def call_all(self, response):
        client = FixedClient(response)
        store = PlatformStore(client, ManualClock(), Timing.from_bounds())
        for send in (
            lambda: store.get("a"),
            lambda: store.snapshot([""]),
            lambda: anext(store.watch("", 1)),
            lambda: store.commit({"a": 0}, {"a": b"1"}),
            lambda: store.grant(5.0),
            lambda: store.keep_alive(5),
            lambda: store.revoke(5),
        ):
            client.calls = 0
            try:
                await send()
            except StoreError as error:
                self.assertLessEqual(len(str(error)), MAX_ERROR_CHARACTERS)


KV = {"key": "YQ==", "value": "Yg==", "mod_revision": "3"}
ETCD_ANSWER = {
    "header": {"revision": "7"},
    "kvs": [KV, KV | {"key": "Yg=="}],
    "succeeded": True,
    "ID": "5",
    "result": {"TTL": "5", "events": [{"kv": KV}, {"kv": KV, "type": "DELETE"}]},
}


class EtcdAnswersFuzz(DecoderCase):
    """Guards the callers of the store of routers and agents."""

    @FUZZ_SETTINGS
    @given(documents(ETCD_ANSWER), st.sampled_from([200, 400, 404, 503]))
    def test_answers(self, body, status):
        asyncio.run(self.call_all(FixedResponse(status, body)))
        self.assert_log_is_clean()

    async def call_all(self, response):
        for name, args in (
            ("get", ("a",)),
            ("range", ("a",)),
            ("commit", ({"a": 0}, {"a": b"1"})),
            ("grant", (5.0,)),
            ("keep_alive", (5,)),
            ("revoke", (5,)),
        ):
            store = StoreClient([FixedClient(response)], timeout_s=1.0)
            try:
                await getattr(store, name)(*args)
            except StoreError as error:
                self.assertLessEqual(len(str(error)), MAX_ERROR_CHARACTERS)


USAGE = {
    "usage": {
        "prompt_tokens": 1,
        "prompt_tokens_details": {"cached_tokens": 1},
        "completion_tokens": 1,
    }
}
HEALTH = {"started_at": 10.0, "incarnation": "i1"}
CHAT = {"model": "m", "messages": [{"role": "user", "content": "a"}], "stream": True}
DONE = ["done", "d", "c", 1.0, 200, [["a", "b"]], "Yg=="]
HEAD = {"service": "s", "partition": 1, "owner": "a", "incarnation": 1, "epoch": 1}


class AgentDecodersFuzz(DecoderCase):
    """Guards agents and routers against their servers, callers and records."""

    @FUZZ_SETTINGS
    @given(documents(USAGE), documents(HEALTH), st.text(max_size=40))
    def test_server_answers(self, usage, health, load):
        for content_type in ("application/json", "text/event-stream"):
            validator = BodyValidator(content_type)
            try:
                validator.add(b"data:" * validator.is_stream + usage + b"\n\n")
                found = validator.finish(True)
            except BackendError:
                continue
            pb.Done(
                prompt_tokens=found.prompt_tokens,
                cached_tokens=found.cached_tokens,
                completion_tokens=found.completion_tokens,
            )
        answer = asyncio.run(FixedProbe(health).health())
        self.assertTrue(answer.started_at is None or math.isfinite(answer.started_at))
        parse_load(f"num_requests_running {load}\n")

    @FUZZ_SETTINGS
    @given(documents(CHAT))
    def test_chat_requests(self, body):
        with contextlib.suppress(InvalidRequest):
            parse_chat_request(body, "", "w")
        request_body(call(engine=True, priority=3, body=body))

    @FUZZ_SETTINGS
    @given(documents(DONE), documents(["claim", "d", "c", 1.0, "f", "r"]))
    def test_journal_segments(self, done, claim):
        for value in (done, claim, claim + b"\n" + done):
            table = ClaimTable()
            with contextlib.suppress(RecordError):
                table.load([Entry("s/1/0", 1, value)], SegmentLog(0))

    @FUZZ_SETTINGS
    @given(documents(HEAD))
    def test_partition_heads(self, value):
        with contextlib.suppress(RecordError):
            PartitionHead.from_bytes(value, 3)


header_texts = (
    st.text(st.characters(max_codepoint=255), max_size=30)
    | st.sampled_from(
        ["9" * 400, "9" * 5000, "nan", "inf", "-1", "1e999", "²", "x" * 16384]
    )
    | st.lists(
        st.sampled_from(["a:1", "1", "-1", "9" * 5000, "a:" + "9" * 5000, ":", "a:²"])
    ).map(",".join)
)
header_names = st.sampled_from(
    [
        *(names.ATTEMPT_ID, names.PROMPT_PREFIX, names.LAST_EVENT_ID, "host"),
        *(names.DEADLINE_MS, names.AUTHORIZATION, names.SERVER_LOAD, names.COLD_MS),
        *(names.RETRY_AFTER, names.SERVER_LEAVING, "content-length", "connection"),
        "content-encoding",
    ]
)
headers = st.lists(st.tuples(header_names, header_texts), max_size=8)


class HeadersFuzz(DecoderCase):
    """Guards requests and responses, whose handlers expect only BadRequest."""

    @FUZZ_SETTINGS
    @given(headers, st.text(st.characters(max_codepoint=255), max_size=20))
    def test_requests(self, fields, target):
        fields = [("x-attempt-id", "a1"), *fields]
        try:
            decoded = decode_request(Request("GET", target, fields))
        except BadRequest as error:
            self.assertEqual(error.status, 400)
        else:
            driver = Driver()
            driver.add_servers(server("l1"), server("e1", "engine"))
            for path in ("/safe/1", "/live/1", decoded.path):
                request = decoded.replace(host="auction.example", path=path)
                driver.apply(ev.RequestArrived(len(path), request))
            driver.advance(0.1)
        self.assert_log_is_clean()

    @FUZZ_SETTINGS
    @given(st.sampled_from([200, 404, 421, 429, 503]), headers)
    def test_responses(self, status, fields):
        head = decode_response(status, fields)
        self.assertTrue(0 <= head.cold_s < float("inf"))
        self.assertTrue(0 <= head.busy_s < float("inf"))
        self.assertTrue(head.load is None or head.load.running >= 0)
        self.assert_log_is_clean()


class SettingsFuzz(DecoderCase):
    """Guards the start, which must end with a message and not with a traceback."""

    @FUZZ_SETTINGS
    @given(documents(SETTINGS) | st.text(max_size=60).map(lambda t: t.encode("utf-8")))
    def test_settings(self, data):
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "settings"
            path.write_bytes(data)
            try:
                parse_gateway_config(read_settings(str(path)))
            except SettingsError as error:
                self.assertLessEqual(len(str(error)), 2 * MAX_ERROR_CHARACTERS)


msgpack_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats()
    | st.text(max_size=9)
    | st.binary(max_size=9),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner),
    max_leaves=6,
)
MESSAGE = [VERSION, 2, 1, 1, 0, [["server/s", 1]], [["p", "s"]]]
RECORDS = [VERSION, 4, 1, 1, 0, [], []]


@st.composite
def datagrams(draw) -> bytes:
    """Draws variants of valid messages, damaged ones and arbitrary bytes."""
    report = [CRASH_PREFIX + "r", draw(documents(REPORT))[:900]]
    message = draw(st.sampled_from([MESSAGE, [*RECORDS, [report]]]))
    message = list(message)
    for position in draw(st.lists(st.integers(0, len(message) - 1), max_size=2)):
        message[position] = draw(msgpack_values)
    data = bytearray(msgpack.packb(message))
    for position in draw(st.lists(st.integers(0, len(data) - 1), max_size=3)):
        data[position] = draw(st.integers(0, 255))
    others = st.binary(max_size=80) | st.sampled_from(
        [b"", b"\x91" * 1020, b"\x98\x01" + b"\x91" * 1010 + b"\x01" * 7, b"x" * 60_000]
    )
    return draw(st.just(bytes(data)) | others)


class DatagramsFuzz(DecoderCase):
    """Guards the socket of peer messages and the reducer behind it."""

    @FUZZ_SETTINGS
    @given(st.lists(datagrams(), min_size=1, max_size=4))
    def test_datagrams(self, received):
        driver = Driver(routers=("me", "g2"))
        addresses = (("me", "127.0.0.1:7"), ("g2", "127.0.0.1:8"))
        driver.apply(ev.RoutersListed(("me", "g2"), addresses))
        driver.add_servers(server("s"))
        link = PeerLink(driver.apply, Metrics())
        for data in received:
            for peer in ("127.0.0.1:8", "127.0.0.1:9"):
                link._on_datagram(data, peer)
        driver.advance(1.0)
        driver.send_request("/safe/1")
        self.assert_log_is_clean()


if __name__ == "__main__":
    unittest.main()
