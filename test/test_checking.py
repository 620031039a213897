"""Tests the rules of the history checker on constructed histories."""

import json
import tempfile
import unittest
from pathlib import Path

from emulator.checking import RULES, Events, check, read_directory
from emulator.checking.history import HistoryError


def event_at(time, event, **values):
    """Builds an event with a time in seconds."""
    return {"event": event, "time": time, **values}


def register(server, zone="a", version="v1", service="chat", engine=True, time=0.0):
    """Builds the event that registers a backend server with the checker."""
    return event_at(
        time,
        "backend",
        server=server,
        zone=zone,
        version=version,
        service=service,
        engine=engine,
    )


def start(time, server, request_id):
    """Builds the event of an engine that starts a chat."""
    return event_at(time, "started", server=server, request_id=request_id)


def finish(time, server, request_id, event="finished"):
    """Builds the event of an engine that ends a chat."""
    return event_at(time, event, server=server, request_id=request_id)


def execution(time, server, key, request_id="q.1"):
    """Builds the event of a plain service that executes a settlement."""
    values = {"server": server, "key": key, "request_id": request_id}
    return event_at(time, "executed", workspace="w", **values)


def asked(time, request_id, router="r"):
    """Builds the event of a caller that sends a request."""
    return event_at(time, "asked", request_id=request_id, router=router)


def ended(time, event, request_id, **values):
    """Builds the event of a caller whose request ended; ``event`` is its outcome."""
    return event_at(time, event, request_id=request_id, router="r", **values)


ENGINES = [register("e1"), register("e2"), register("e3", zone="b")]
LEDGERS = [
    register("l1", service="ledger", engine=False),
    register("l2", zone="b", service="ledger", engine=False),
]


class RuleTestCase(unittest.TestCase):
    """Applies all rules to constructed events."""

    def assert_violates(self, rule, *events):
        """Asserts that the events violate this rule and no other."""
        violations = check(Events(events))
        self.assertEqual(
            {rule}, {violation.rule for violation in violations}, violations
        )

    def assert_no_violation(self, *events):
        """Asserts that the events violate no rule."""
        self.assertEqual([], check(Events(events)))


class LoadRulesTest(RuleTestCase):
    """Guards against load rules that miss an overload or report an allowed load."""

    def test_third_request_of_one_engine_in_an_idle_pool_is_rejected(self):
        starts = [start(1 + i, "e1", f"q{i}") for i in range(3)]
        self.assert_violates("P1", *ENGINES, *starts)

    def test_requests_before_an_engine_is_registered_are_not_counted(self):
        self.assert_no_violation(
            start(0.5, "e1", "a"), *[{**e, "time": 1} for e in ENGINES]
        )

    def test_equal_load_is_accepted(self):
        starts = [
            start(1 + i, engine["server"], f"{engine['server']}-{i}")
            for i in range(5)
            for engine in ENGINES
        ]
        self.assert_no_violation(*ENGINES, *starts)

    def test_load_that_others_finished_within_the_window_still_counts(self):
        before = [
            start(1, name, f"{name}-{i}") for i in (1, 2) for name in ("e2", "e3")
        ]
        after = [finish(1.1, e["server"], e["request_id"]) for e in before]
        own = [start(1.2, "e1", "a"), start(1.3, "e1", "b")]
        self.assert_no_violation(*ENGINES, *before, *after, *own)
        late = [start(9 + i, "e1", f"c{i}") for i in range(2)]
        self.assert_violates("P1", *ENGINES, *before, *after, *own, *late)

    def test_cold_engine_beyond_its_limit_is_rejected(self):
        cold = event_at(0.1, "cold", server="e1", announced=True)
        work = [start(1, name, f"{name}{i}") for i in range(3) for name in ("e1", "e2")]
        self.assert_violates("P2", *ENGINES[:2], cold, *work)

    def test_cold_limit_grows_with_complete_responses_only(self):
        cold = event_at(0.1, "cold", server="e1", announced=True)
        for event in ("finished", "failed"):
            responses = []
            for i in range(4):
                responses += [start(1 + i, "e1", f"a{i}")]
                responses += [finish(1.5 + i, "e1", f"a{i}", event)]
            work = [start(9, n, f"{n}{i}") for i in range(3) for n in ("e1", "e2")]
            events = [*ENGINES[:2], cold, *responses, *work]
            if event == "finished":
                self.assert_no_violation(*events)
            else:
                self.assert_violates("P2", *events)

    def test_unannounced_cold_start_is_limited_after_the_detection_time(self):
        cold = event_at(0.5, "cold", server="e1")
        work = [start(1, name, f"{name}{i}") for i in range(3) for name in ("e1", "e2")]
        self.assert_no_violation(*ENGINES[:2], cold, *work)
        later_work = [start(5, name, f"{name}9") for name in ("e2", "e1")]
        self.assert_violates("P2", *ENGINES[:2], cold, *work, *later_work)

    def test_unproven_version_beyond_its_share_is_rejected(self):
        command = self.version_start()
        pool = [*ENGINES, register("n1", version="v2"), register("n2", version="v2")]
        work = [start(2, "n1", "a"), start(2, "n2", "b")]
        self.assert_no_violation(*pool, command, self.running_move(9), *work)
        self.assert_violates("P4", *pool, command, *work, start(3, "n1", "c"))

    def test_work_long_after_a_version_failed_is_rejected(self):
        failures = []
        for i in range(20):
            failures += [start(2 + i / 10, "n1", f"a{i}")]
            failures += [finish(2.05 + i / 10, "n1", f"a{i}", "failed")]
        events = [*ENGINES, register("n1", version="v2"), self.version_start()]
        self.assert_no_violation(*events, *failures, start(6, "n1", "z"))
        self.assert_violates("P4", *events, *failures, start(8, "n1", "z"))

    def test_work_long_after_a_version_was_taken_back_is_rejected(self):
        events = [*ENGINES, register("n1", version="v2"), self.version_start()]
        back = event_at(3, "move", move="m", state="taken_back", share=0)
        self.assert_violates("P4", *events, back, start(6.5, "n1", "z"))

    def version_start(self):
        values = {"service": "chat", "version": "v2", "move": "m", "deadline_at": 99}
        return event_at(1, "accepted", change="version_start", sent=0.9, **values)

    def running_move(self, time):
        return event_at(time, "move", move="m", state="running", share=0.01)


class RequestRulesTest(RuleTestCase):
    """Guards against request rules that miss a wrong, untrue or repeated response."""

    def test_wrong_response_is_rejected(self):
        self.assert_violates(
            "P5", asked(1, "q"), ended(2, "wrong", "q", problem="mixed")
        )

    def test_second_response_and_response_without_request_are_rejected(self):
        work = [*ENGINES, start(1.5, "e1", "0123456789abcdef" * 2 + ".q")]
        response = ended(2, "answered", "q")
        self.assert_no_violation(*work, asked(1, "q"), response)
        again = ended(3, "answered", "q")
        self.assert_violates("P5", *work, asked(1, "q"), response, again)
        self.assert_violates("P5", *work, response)

    def test_response_to_a_chat_that_no_engine_started_is_rejected(self):
        self.assert_violates("P5", *ENGINES, asked(1, "q"), ended(2, "answered", "q"))

    def test_refused_as_not_run_after_a_start_is_rejected(self):
        refusal = ended(2, "refused", "q", outcome="not_run", status=503)
        self.assert_no_violation(*ENGINES, asked(1, "q"), refusal)
        prefixed_id = "0123456789abcdef" * 2 + ".q"
        early = start(1.5, "e1", prefixed_id)
        self.assert_violates("P6", *ENGINES, asked(1, "q"), refusal, early)
        self.assert_violates(
            "P6", *ENGINES, asked(1, "q"), refusal, start(2.5, "e1", "q")
        )

    def test_unknown_outcome_is_accepted_and_missing_outcome_is_rejected(self):
        events = [*ENGINES, asked(1, "q"), start(1.5, "e1", "q")]
        unknown = ended(2, "refused", "q", outcome="outcome_unknown", status=504)
        self.assert_no_violation(*events, unknown)
        # The router must state an outcome with its errors; an error response of the
        # engine itself has none.
        error = ended(2, "refused", "q", outcome="", status=500)
        self.assert_no_violation(*events, error)
        self.assert_violates("P6", *ENGINES, asked(1, "q"), error)

    def test_second_execution_of_a_key_is_rejected(self):
        self.assert_no_violation(
            *LEDGERS, execution(1, "l1", "k1"), execution(2, "l2", "k2", "p.1")
        )
        self.assert_violates(
            "P7", *LEDGERS, execution(1, "l1", "k"), execution(2, "l2", "k", "q.2")
        )

    def test_response_without_an_execution_is_rejected(self):
        response = ended(2, "answered", "q", workspace="w", key="k")
        self.assert_violates("P7", *LEDGERS, asked(1, "q"), response)

    def test_request_interrupted_by_a_planned_stop_is_rejected(self):
        stop = event_at(2, "stop", process="agent-e1", pid=7, server="e1")
        stopped = event_at(4, "stopped", process="agent-e1", pid=7, forced=False)
        started = start(1, "e1", "q")
        self.assert_no_violation(*ENGINES, started, stop, stopped, finish(3, "e1", "q"))
        cut = finish(3, "e1", "q", "cancelled")
        self.assert_violates("P9", *ENGINES, started, stop, stopped, cut)

    def test_caller_disconnected_by_a_planned_stop_is_rejected(self):
        stop = event_at(2, "stop", process="r1", pid=7, router="r")
        stopped = event_at(4, "stopped", process="r1", pid=7, forced=False)
        lost = ended(3, "no_answer", "q", connected=True)
        self.assert_violates("P9", asked(1, "q"), stop, stopped, lost)
        self.assert_no_violation(
            asked(1, "q"), stop, stopped, {**lost, "connected": False}
        )

    def test_stop_that_needs_sigkill_or_never_ends_is_rejected(self):
        stop = event_at(2, "stop", process="r1", pid=7)
        stopped = event_at(4, "stopped", process="r1", pid=7, forced=True)
        self.assert_violates("P9", stop, stopped)
        self.assert_violates("P9", stop)


class OperatorRulesTest(RuleTestCase):
    """Guards against rules that miss a change in force too late or reverted."""

    def test_work_in_a_zone_that_is_out_is_rejected(self):
        out = event_at(10, "accepted", change="zone_out", zone="b", sent=9.9)
        back = event_at(20, "accepted", change="zone_back", zone="b", sent=19.9)
        allowed = [start(12.9, "e3", "a"), start(14, "e1", "b"), start(20, "e3", "c")]
        self.assert_no_violation(*ENGINES, out, back, *allowed)
        self.assert_violates("P3", *ENGINES, out, back, start(13.1, "e3", "a"))

    def test_work_at_a_leaving_server_is_rejected(self):
        leaving = event_at(10, "leaving", server="l1")
        self.assert_no_violation(*LEDGERS, leaving, execution(12.9, "l1", "k"))
        self.assert_violates("P8", *LEDGERS, leaving, execution(13.1, "l1", "k"))
        joined = register("l1", service="ledger", engine=False, time=12)
        self.assert_no_violation(*LEDGERS, leaving, joined, execution(14, "l1", "k"))

    def test_older_revision_is_rejected_even_after_a_restart(self):
        newer = event_at(1, "revision", process="r1", pid=1, revision=9)
        older = event_at(2, "revision", process="r1", pid=2, revision=8)
        self.assert_violates("P10", newer, older)

    def test_configuration_in_force_too_late_is_rejected(self):
        for field in ("revision", "marker"):
            command = event_at(1, "accepted", change="settings", sent=0.9, **{field: 5})
            early = self.revision_sample(4.9, field, 4)
            self.assert_no_violation(
                command, early, self.revision_sample(5.1, field, 5)
            )
            late = self.revision_sample(5.1, field, 4)
            self.assert_violates("P10", command, late)
            fault = event_at(3, "fault", target="r1", kind="cut")
            self.assert_no_violation(
                command, fault, event_at(4, "fault_end", **_fault_fields(fault)), late
            )
            self.assert_violates(
                "P10", command, fault, self.revision_sample(5.1, field, 3, "r2")
            )

    def revision_sample(self, time, field, value, process="r1"):
        values = {"revision": 9, field: value}
        return event_at(time, "revision", process=process, pid=1, **values)

    def test_move_without_a_final_state_by_its_deadline_is_rejected(self):
        command = event_at(1, "accepted", change="x", sent=1, move="m", deadline_at=5)
        running_move = event_at(5.2, "move", move="m", state="running")
        done = event_at(4, "move", move="m", state="done")
        self.assert_no_violation(
            command, done, event_at(9, "move", move="m", state="done")
        )
        self.assert_violates("P11", command, running_move)
        self.assert_violates("P11", command, asked(9, "q"))

    def test_move_with_two_final_states_is_rejected(self):
        command = event_at(1, "accepted", change="x", sent=1, move="m", deadline_at=5)
        done = event_at(4, "move", move="m", state="done")
        back = event_at(4.5, "move", move="m", state="taken_back")
        self.assert_violates("P11", command, done, back)


def _fault_fields(fault):
    return {"target": fault["target"], "kind": fault["kind"]}


class ReadDirectoryTest(unittest.TestCase):
    """Guards against events that are skipped or misread without an error."""

    def test_only_the_last_line_may_be_incomplete(self):
        with tempfile.TemporaryDirectory() as name:
            path = Path(name) / "e1.jsonl"
            complete = json.dumps(event_at(1, "started", request_id="q"))
            path.write_text(complete + "\n" + complete[:10])
            (event,) = read_directory(path.parent).starts()
            self.assertEqual("e1", event["server"])
            path.write_text(complete[:10] + "\n" + complete + "\n")
            with self.assertRaises(HistoryError):
                read_directory(path.parent)

    def test_each_invariant_has_a_rule(self):
        self.assertEqual([f"P{n}" for n in range(1, 12)], list(RULES))
