"""Hand-made histories that each rule of the checker must reject or accept."""

import json
import tempfile
import unittest
from pathlib import Path

from emulator.checking import RULES, Events, check, read_directory
from emulator.checking.history import HistoryError


def line(time, event, **values):
    """Builds one event."""
    return {"event": event, "time": time, **values}


def backend(server, zone="a", version="v1", service="chat", engine=True, time=0.0):
    """Builds the event that introduces a backend server."""
    return line(
        time,
        "backend",
        server=server,
        zone=zone,
        version=version,
        service=service,
        engine=engine,
    )


def start(time, server, request_id):
    """Builds the start of a chat."""
    return line(time, "started", server=server, request_id=request_id)


def finish(time, server, request_id, event="finished"):
    """Builds the end of a chat."""
    return line(time, event, server=server, request_id=request_id)


def run(time, server, key, request_id="q.1"):
    """Builds the execution of a settlement."""
    values = {"server": server, "key": key, "request_id": request_id}
    return line(time, "executed", workspace="w", **values)


def asked(time, request_id, router="r"):
    """Builds the start of a call."""
    return line(time, "asked", request_id=request_id, router=router)


def ended(time, event, request_id, **values):
    """Builds the end of a call."""
    return line(time, event, request_id=request_id, router="r", **values)


ENGINES = [backend("e1"), backend("e2"), backend("e3", zone="b")]
LEDGERS = [
    backend("l1", service="ledger", engine=False),
    backend("l2", zone="b", service="ledger", engine=False),
]


class Case(unittest.TestCase):
    """Runs all rules over hand-made events."""

    def assert_red(self, rule, *events):
        """Checks that exactly this rule rejects the events."""
        found = check(Events(events))
        self.assertEqual({rule}, {violation.rule for violation in found}, found)

    def assert_good(self, *events):
        """Checks that no rule rejects the events."""
        self.assertEqual([], check(Events(events)))


class LoadRulesTest(Case):
    """Guards against load rules that miss an overload or report a good run."""

    def test_third_request_of_one_engine_in_an_idle_pool_is_red(self):
        starts = [start(1 + i, "e1", f"q{i}") for i in range(3)]
        self.assert_red("P1", *ENGINES, *starts)

    def test_requests_before_an_engine_is_introduced_are_not_counted(self):
        self.assert_good(start(0.5, "e1", "a"), *[{**e, "time": 1} for e in ENGINES])

    def test_equal_load_is_good(self):
        starts = [
            start(1 + i, engine["server"], f"{engine['server']}-{i}")
            for i in range(5)
            for engine in ENGINES
        ]
        self.assert_good(*ENGINES, *starts)

    def test_load_that_the_others_just_lost_still_counts(self):
        before = [
            start(1, name, f"{name}-{i}") for i in (1, 2) for name in ("e2", "e3")
        ]
        after = [finish(1.1, e["server"], e["request_id"]) for e in before]
        own = [start(1.2, "e1", "a"), start(1.3, "e1", "b")]
        self.assert_good(*ENGINES, *before, *after, *own)
        late = [start(9 + i, "e1", f"c{i}") for i in range(2)]
        self.assert_red("P1", *ENGINES, *before, *after, *own, *late)

    def test_cold_engine_beyond_its_limit_is_red(self):
        cold = line(0.1, "cold", server="e1", announced=True)
        work = [start(1, name, f"{name}{i}") for i in range(3) for name in ("e1", "e2")]
        self.assert_red("P2", *ENGINES[:2], cold, *work)

    def test_limit_grows_with_whole_answers_only(self):
        cold = line(0.1, "cold", server="e1", announced=True)
        for event in ("finished", "failed"):
            answers = []
            for i in range(4):
                answers += [start(1 + i, "e1", f"a{i}")]
                answers += [finish(1.5 + i, "e1", f"a{i}", event)]
            work = [start(9, n, f"{n}{i}") for i in range(3) for n in ("e1", "e2")]
            events = [*ENGINES[:2], cold, *answers, *work]
            if event == "finished":
                self.assert_good(*events)
            else:
                self.assert_red("P2", *events)

    def test_silent_loss_of_warmth_counts_after_the_notice(self):
        cold = line(0.5, "cold", server="e1")
        work = [start(1, name, f"{name}{i}") for i in range(3) for name in ("e1", "e2")]
        self.assert_good(*ENGINES[:2], cold, *work)
        more = [start(5, name, f"{name}9") for name in ("e2", "e1")]
        self.assert_red("P2", *ENGINES[:2], cold, *work, *more)

    def test_unproven_version_beyond_its_share_is_red(self):
        order = self.version_start()
        pool = [*ENGINES, backend("n1", version="v2"), backend("n2", version="v2")]
        work = [start(2, "n1", "a"), start(2, "n2", "b")]
        self.assert_good(*pool, order, self.running(9), *work)
        self.assert_red("P4", *pool, order, *work, start(3, "n1", "c"))

    def test_work_long_after_a_version_showed_its_faults_is_red(self):
        failures = []
        for i in range(20):
            failures += [start(2 + i / 10, "n1", f"a{i}")]
            failures += [finish(2.05 + i / 10, "n1", f"a{i}", "failed")]
        events = [*ENGINES, backend("n1", version="v2"), self.version_start()]
        self.assert_good(*events, *failures, start(6, "n1", "z"))
        self.assert_red("P4", *events, *failures, start(8, "n1", "z"))

    def test_work_long_after_a_version_was_taken_back_is_red(self):
        events = [*ENGINES, backend("n1", version="v2"), self.version_start()]
        back = line(3, "move", move="m", state="taken_back", share=0)
        self.assert_red("P4", *events, back, start(6.5, "n1", "z"))

    def version_start(self):
        values = {"service": "chat", "version": "v2", "move": "m", "deadline_at": 99}
        return line(1, "accepted", change="version_start", sent=0.9, **values)

    def running(self, time):
        return line(time, "move", move="m", state="running", share=0.01)


class RequestRulesTest(Case):
    """Guards against request rules that miss a wrong, false or repeated answer."""

    def test_wrong_answer_is_red(self):
        self.assert_red("P5", asked(1, "q"), ended(2, "wrong", "q", problem="mixed"))

    def test_second_answer_and_answer_to_nobody_are_red(self):
        work = [*ENGINES, start(1.5, "e1", "0123456789abcdef" * 2 + ".q")]
        answer = ended(2, "answered", "q")
        self.assert_good(*work, asked(1, "q"), answer)
        again = ended(3, "answered", "q")
        self.assert_red("P5", *work, asked(1, "q"), answer, again)
        self.assert_red("P5", *work, answer)

    def test_answer_to_a_chat_that_no_engine_started_is_red(self):
        self.assert_red("P5", *ENGINES, asked(1, "q"), ended(2, "answered", "q"))

    def test_refused_as_not_run_after_a_start_is_red(self):
        refusal = ended(2, "refused", "q", outcome="not_run", status=503)
        self.assert_good(*ENGINES, asked(1, "q"), refusal)
        unique = "0123456789abcdef" * 2 + ".q"
        early = start(1.5, "e1", unique)
        self.assert_red("P6", *ENGINES, asked(1, "q"), refusal, early)
        self.assert_red("P6", *ENGINES, asked(1, "q"), refusal, start(2.5, "e1", "q"))

    def test_unknown_outcome_after_a_start_is_good_and_no_outcome_is_red(self):
        events = [*ENGINES, asked(1, "q"), start(1.5, "e1", "q")]
        unknown = ended(2, "refused", "q", outcome="outcome_unknown", status=504)
        self.assert_good(*events, unknown)
        # An error of the engine itself is an answer, but one of the router is not.
        error = ended(2, "refused", "q", outcome="", status=500)
        self.assert_good(*events, error)
        self.assert_red("P6", *ENGINES, asked(1, "q"), error)

    def test_second_execution_of_a_key_is_red(self):
        self.assert_good(*LEDGERS, run(1, "l1", "k1"), run(2, "l2", "k2", "p.1"))
        self.assert_red("P7", *LEDGERS, run(1, "l1", "k"), run(2, "l2", "k", "q.2"))

    def test_answer_without_an_execution_is_red(self):
        answer = ended(2, "answered", "q", workspace="w", key="k")
        self.assert_red("P7", *LEDGERS, asked(1, "q"), answer)

    def test_request_interrupted_by_a_planned_stop_is_red(self):
        stop = line(2, "stop", process="agent-e1", pid=7, server="e1")
        gone = line(4, "stopped", process="agent-e1", pid=7, forced=False)
        begun = start(1, "e1", "q")
        self.assert_good(*ENGINES, begun, stop, gone, finish(3, "e1", "q"))
        cut = finish(3, "e1", "q", "cancelled")
        self.assert_red("P9", *ENGINES, begun, stop, gone, cut)

    def test_caller_cut_off_by_a_planned_stop_is_red(self):
        stop = line(2, "stop", process="r1", pid=7, router="r")
        gone = line(4, "stopped", process="r1", pid=7, forced=False)
        lost = ended(3, "no_answer", "q", connected=True)
        self.assert_red("P9", asked(1, "q"), stop, gone, lost)
        self.assert_good(asked(1, "q"), stop, gone, {**lost, "connected": False})

    def test_stop_that_needs_sigkill_or_never_ends_is_red(self):
        stop = line(2, "stop", process="r1", pid=7)
        gone = line(4, "stopped", process="r1", pid=7, forced=True)
        self.assert_red("P9", stop, gone)
        self.assert_red("P9", stop)


class OrderRulesTest(Case):
    """Guards against order rules that miss a late effect or a step back."""

    def test_work_in_a_zone_that_is_out_is_red(self):
        out = line(10, "accepted", change="zone_out", zone="b", sent=9.9)
        back = line(20, "accepted", change="zone_back", zone="b", sent=19.9)
        good = [start(12.9, "e3", "a"), start(14, "e1", "b"), start(20, "e3", "c")]
        self.assert_good(*ENGINES, out, back, *good)
        self.assert_red("P3", *ENGINES, out, back, start(13.1, "e3", "a"))

    def test_work_at_a_leaving_server_is_red(self):
        gone = line(10, "leaving", server="l1")
        self.assert_good(*LEDGERS, gone, run(12.9, "l1", "k"))
        self.assert_red("P8", *LEDGERS, gone, run(13.1, "l1", "k"))
        joined = backend("l1", service="ledger", engine=False, time=12)
        self.assert_good(*LEDGERS, gone, joined, run(14, "l1", "k"))

    def test_revision_that_goes_back_is_red_also_across_a_restart(self):
        newer = line(1, "revision", process="r1", pid=1, revision=9)
        older = line(2, "revision", process="r1", pid=2, revision=8)
        self.assert_red("P10", newer, older)

    def test_configuration_in_force_too_late_is_red(self):
        for figure in ("revision", "marker"):
            order = line(1, "accepted", change="settings", sent=0.9, **{figure: 5})
            early = self.sample(4.9, figure, 4)
            self.assert_good(order, early, self.sample(5.1, figure, 5))
            late = self.sample(5.1, figure, 4)
            self.assert_red("P10", order, late)
            cut = line(3, "fault", target="r1", kind="cut")
            self.assert_good(order, cut, line(4, "fault_end", **_of(cut)), late)
            self.assert_red("P10", order, cut, self.sample(5.1, figure, 3, "r2"))

    def sample(self, time, figure, value, process="r1"):
        values = {"revision": 9, figure: value}
        return line(time, "revision", process=process, pid=1, **values)

    def test_move_without_a_decision_by_its_deadline_is_red(self):
        order = line(1, "accepted", change="x", sent=1, move="m", deadline_at=5)
        running = line(5.2, "move", move="m", state="running")
        done = line(4, "move", move="m", state="done")
        self.assert_good(order, done, line(9, "move", move="m", state="done"))
        self.assert_red("P11", order, running)
        self.assert_red("P11", order, asked(9, "q"))

    def test_move_with_two_decisions_is_red(self):
        order = line(1, "accepted", change="x", sent=1, move="m", deadline_at=5)
        done = line(4, "move", move="m", state="done")
        back = line(4.5, "move", move="m", state="taken_back")
        self.assert_red("P11", order, done, back)


def _of(fault):
    return {"target": fault["target"], "kind": fault["kind"]}


class ReadTest(unittest.TestCase):
    """Guards against histories that are lost or misread in silence."""

    def test_only_the_last_line_may_be_incomplete(self):
        with tempfile.TemporaryDirectory() as name:
            path = Path(name) / "e1.jsonl"
            good = json.dumps(line(1, "started", request_id="q"))
            path.write_text(good + "\n" + good[:10])
            (event,) = read_directory(path.parent).starts()
            self.assertEqual("e1", event["server"])
            path.write_text(good[:10] + "\n" + good + "\n")
            with self.assertRaises(HistoryError):
                read_directory(path.parent)

    def test_there_is_a_rule_for_each_invariant(self):
        self.assertEqual([f"P{n}" for n in range(1, 12)], list(RULES))
