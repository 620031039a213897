import json
import unittest

from hypothesis import given
from hypothesis import strategies as st

from heatherswitch.fleet.outcomes import Failed, NotRun, OutcomeUnknown, Reason
from heatherswitch.router.errors import InvalidRequest, outcome_response
from heatherswitch.router.openai import parse_chat_request, stream_error_event


def chat(workspace="w1", chat_id="", user="hi", **fields):
    messages = [
        {"role": "system", "content": "be brief"},
        {"role": "user", "content": user},
        *fields.pop("more", []),
    ]
    body = {"model": "chat", "messages": messages} | fields
    return parse_chat_request(json.dumps(body).encode(), chat_id, workspace)


class ParseChatTest(unittest.TestCase):
    def test_chat_key_stays_through_the_turns_of_a_chat(self):
        # With another key, a later turn would reach a server without the cached
        # prompt prefix.
        later = [
            {"role": "assistant", "content": "a"},
            {"role": "user", "content": "b"},
        ]
        self.assertEqual(chat().chat_key, chat(more=later).chat_key)
        self.assertNotEqual(chat().chat_key, chat(user="other").chat_key)
        self.assertNotEqual(chat().chat_key, chat(workspace="w2").chat_key)

    def test_chat_id_and_cache_key_take_precedence_over_messages(self):
        # A client that identifies its chat must not be routed by message hash.
        self.assertEqual(chat(chat_id="c7", prompt_cache_key="k").chat_key, "id:c7")
        self.assertEqual(chat(prompt_cache_key="k").chat_key, "id:k")

    def test_malformed_bodies_are_rejected(self):
        # Fault F17: unvalidated input fails later with status 500.
        bad = [
            b"",
            b"\xff",
            b"[]",
            b"[" * 100_000,
            b'{"model": 1, "messages": [{"role": "user"}]}',
            b'{"model": "m", "messages": []}',
            b'{"model": "m", "messages": [1]}',
            b'{"model": "m", "messages": [{"role": "user", "content": 1}]}',
            b'{"model": "m", "messages": [{"role": "user"}], "stream": "yes"}',
            b'{"model": "m", "messages": [{"role": "u"}], "prompt_cache_key": 1}',
        ]
        for body in bad:
            with self.subTest(body=body[:60]), self.assertRaises(InvalidRequest) as c:
                parse_chat_request(body, "", "w1")
            self.assertEqual(c.exception.status, 400)

    @given(st.recursive(st.none() | st.text() | st.integers(), st.lists, max_leaves=5))
    def test_any_value_of_messages_is_parsed_or_rejected(self, value):
        # Fault F17: a value of an unexpected type raises another exception.
        body = json.dumps({"model": "m", "messages": value}).encode()
        try:
            parse_chat_request(body, "", "w1")
        except InvalidRequest as error:
            self.assertEqual(error.status, 400)


class ErrorResponseTest(unittest.TestCase):
    def test_status_and_retry_match_the_outcome(self):
        # A wrong value makes callers repeat a request that may have run, or give up
        # on one that did not.
        cases = [
            (NotRun(Reason.FAIR_SHARE, 1500), True, 429, "not_run", "later", "2"),
            (NotRun(Reason.QUEUE_FULL), False, 503, "not_run", "same_key", "1"),
            (NotRun(Reason.KEY_REUSED), False, 409, "not_run", "never", None),
            (OutcomeUnknown("x"), False, 504, "outcome_unknown", "same_key", "1"),
            (Failed("x"), True, 502, "failed", "later", "1"),
            (Failed("x"), False, 502, "failed", "never", None),
        ]
        for outcome, idempotent, status, outcome_name, retry, after in cases:
            response = outcome_response(outcome, idempotent)
            error = response.body("r1")["error"]
            found = (response.status, error["outcome"], error["retry"])
            self.assertEqual(found, (status, outcome_name, retry))
            self.assertEqual(dict(response.headers()).get("Retry-After"), after)
            self.assertEqual((error["request_id"], error["param"]), ("r1", None))

    def test_stream_error_terminates_a_partial_event_first(self):
        # Otherwise the client parses the error as part of the previous event.
        data = stream_error_event(outcome_response(OutcomeUnknown("x"), True), "r1")
        event = data.removeprefix(b"\n\ndata: ").removesuffix(b"\n\n")
        self.assertEqual(json.loads(event)["error"]["code"], "x")
