import unittest

from emulator.caller import Call, CallResult
from emulator.reuse_audit import (
    PoolMembership,
    TimedCall,
    audit_load,
    best_cached_tokens,
    engine_by_call,
)


def timed(request_id, messages, started, ended, text=""):
    call = Call(request_id, "w", "c", "/", body={"messages": messages})
    result = CallResult("answered", text=text, first_token_s=0.1)
    return TimedCall(call, result, started, ended)


def history(*events):
    return [{"event": name, "time": at, "request_id": "x"} for name, at in events]


class BestCachedTest(unittest.TestCase):
    def test_next_turn_reuses_prompt_and_response(self):
        # Guards against a best possible reuse below that of a single engine.
        first = [{"role": "user", "content": "a " * 30}]
        second = [
            *first,
            {"role": "assistant", "content": "b " * 30},
            {"role": "user", "content": "c"},
        ]
        calls = [
            timed("c-0", first, 0.0, 1.0, "b " * 30),
            timed("c-1", second, 2.0, 3.0),
        ]
        self.assertEqual(best_cached_tokens(calls, 100), {"c-0": 0, "c-1": 48})


class LoadAuditTest(unittest.TestCase):
    def test_start_above_the_bound_is_counted_in_its_phase(self):
        # Guards against a benchmark that misses a violation of P1.
        events = {
            "e1": history(("started", 1.0), ("started", 2.0), ("finished", 3.0)),
            "e2": history(("started", 5.0)),
        }
        pool = [PoolMembership("e1", 0.0), PoolMembership("e2", 0.0)]
        phase_times = {"one": (0.0, 4.0), "two": (4.0, 9.0)}
        audits = audit_load(events, pool, phase_times, 1.0, 0)
        self.assertEqual((audits["one"].starts, audits["one"].violations), (2, 2))
        self.assertEqual((audits["two"].starts, audits["two"].violations), (1, 0))
        self.assertEqual(audit_load(events, pool, phase_times)["one"].violations, 0)

    def test_engine_that_left_does_not_lower_the_mean(self):
        # Guards against violations counted because a lost engine lowers the mean.
        events = {"e1": history(("started", 1.0), ("started", 2.0)), "e2": []}
        pool = [PoolMembership("e1", 0.0), PoolMembership("e2", 0.0, 0.5)]
        self.assertEqual(
            audit_load(events, pool, {"p": (0, 9)}, 1.0, 0)["p"].violations, 0
        )

    def test_last_start_gives_the_engine_of_a_call(self):
        # Guards against attributing a retried call to the engine of its failed attempt.
        start = {"event": "started", "request_id": "id.chat-1-2-0.1"}
        events = {"e1": [{**start, "time": 1.0}], "e2": [{**start, "time": 2.0}]}
        self.assertEqual(engine_by_call(events), {"chat-1-2-0": "e2"})
