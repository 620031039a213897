import unittest

from heatherswitch.fleet.outcomes import (
    Failed,
    Finished,
    NotRun,
    OutcomeUnknown,
    Reason,
)
from heatherswitch.router import events
from heatherswitch.router.effects import Answer, CancelAttempt, Dispatch, Resume
from heatherswitch.router.reducer import MAX_RESUMES, RouterReducer
from heatherswitch.router.retries import RetryBudget
from heatherswitch.statecore.reducer import Log
from test.router_fakes import agent, fleet_config, table

BUSY = NotRun(Reason.OVER_LOAD_BOUND)
UNKNOWN = OutcomeUnknown("agent_connection_lost")


class RouterReducerTest(unittest.TestCase):
    def setUp(self):
        members = table(*(agent(f"a{i}") for i in range(3)))
        self.reducer = RouterReducer(fleet_config({}), members)

    def apply(self, event):
        effects = self.reducer.apply(event)
        return [effect for effect in effects if not isinstance(effect, Log)]

    def arrive(self, request_id="r", now=0.0, **fields):
        arrived = events.RequestArrived(
            now, request_id, "chat", "w1", "c", now + 10.0, **fields
        )
        return self.apply(arrived)

    def refuse(self, attempt, outcome=BUSY, now=0.0):
        return self.apply(events.AttemptRefused(now, "r", attempt, outcome))

    def fail_attempt(self, attempt, outcome=UNKNOWN, delivered=False, request_id="r"):
        failed = events.AttemptFailed(0.0, request_id, attempt, outcome, delivered)
        return self.apply(failed)

    def test_refusals_go_to_each_agent_once_then_not_run(self):
        # Guards against a refusal that ends a request other agents would take.
        tried = [self.arrive()[0].agent_id]
        tried += [self.refuse(attempt)[0].agent_id for attempt in (1, 2)]
        self.assertEqual(sorted(tried), ["a0", "a1", "a2"])
        self.assertEqual(self.refuse(3), [Answer("r", BUSY)])

    def test_full_agent_is_still_asked_for_the_next_request(self):
        # Guards against one refusal over a moving limit sending other chats away
        # from their caches.
        for reason in (Reason.OVER_LOAD_BOUND, Reason.COLD_START):
            first = self.arrive()[0].agent_id
            self.refuse(1, NotRun(reason))
            self.assertEqual(self.arrive("other", now=0.01)[0].agent_id, first)

    def test_request_of_a_starting_version_falls_back_to_the_active_one(self):
        # Guards against requests that are refused because each agent of an unproven
        # or cold version refuses, while the active version has room.
        versions = {
            "/service=chat/version=v1": {"version_state": "active"},
            "/service=chat/version=v2": {
                "version_state": "starting",
                "version_share": 1.0,
            },
        }
        starting = [agent(f"b{i}", version="v2") for i in range(6)]
        members = table(agent("a0"), *starting)
        self.reducer = RouterReducer(fleet_config(versions), members)
        full = NotRun(Reason.UNPROVEN_SHARE)
        tried = [self.arrive()[0].agent_id]
        tried += [self.refuse(n, full)[0].agent_id for n in (1, 2)]
        self.assertEqual([name[0] for name in tried], ["b", "b", "a"])

    def test_agent_that_sent_a_request_on_is_asked_again(self):
        # Guards against a refusal by all others while the preferred agent has room.
        home = self.arrive()[0].agent_id
        other = self.refuse(1, NotRun(Reason.PREFIX_ELSEWHERE))[0].agent_id
        self.assertNotEqual(other, home)
        self.assertEqual(self.refuse(2)[0].agent_id, home)
        third = self.refuse(3)[0].agent_id
        self.assertNotIn(third, (home, other))
        self.assertEqual(self.refuse(4), [Answer("r", BUSY)])

    def test_agents_that_sent_a_request_on_are_asked_again_in_order(self):
        # Guards against a return to the first agent before the one with the cache.
        elsewhere = NotRun(Reason.PREFIX_ELSEWHERE)
        home = self.arrive()[0].agent_id
        second = self.refuse(1, elsewhere)[0].agent_id
        third = self.refuse(2, elsewhere)[0].agent_id
        self.assertEqual(len({home, second, third}), 3)
        self.assertEqual(self.refuse(3)[0].agent_id, home)

    def test_agent_that_sent_a_request_on_takes_it_when_it_is_alone(self):
        # Guards against a refusal in a pool of one agent that has room.
        self.reducer = RouterReducer(fleet_config({}), table(agent("a0")))
        self.arrive()
        made = self.refuse(1, NotRun(Reason.PREFIX_ELSEWHERE))
        self.assertEqual(made, [Dispatch("r", 2, "a0")])

    def test_not_run_is_not_claimed_after_an_attempt_that_may_have_run(self):
        # Guards against P6: refusals of the retries hide an unknown first attempt.
        self.arrive()
        self.assertIsInstance(self.fail_attempt(1)[0], Dispatch)
        self.refuse(2)
        self.assertEqual(self.refuse(3), [Answer("r", UNKNOWN)])

    def test_non_idempotent_request_is_never_retried_after_it_may_have_run(self):
        # Guards against P7 by a retry of the router itself.
        for outcome in (UNKNOWN, Failed("backend_500")):
            self.arrive(idempotent=False, partition=1)
            self.assertEqual(self.fail_attempt(1, outcome), [Answer("r", outcome)])

    def test_no_retry_after_a_byte_reached_the_caller(self):
        # Guards against P5: an answer mixed from two attempts.
        self.arrive()
        self.assertEqual(self.fail_attempt(1, delivered=True), [Answer("r", UNKNOWN)])

    def test_retry_budget_limits_retries(self):
        # Guards against retries that multiply the load of a failing pool.
        for i in range(40):
            self.arrive(f"r{i}")
        retried = [self.fail_attempt(1, request_id=f"r{i}") for i in range(40)]
        count = sum(isinstance(effects[0], Dispatch) for effects in retried)
        self.assertEqual(count, 4)

    def test_one_retry_a_second_is_always_allowed(self):
        # Guards against quiet services that never retry.
        budget = RetryBudget()
        self.assertTrue(budget.take(0.0, 0.1))
        self.assertFalse(budget.take(0.5, 0.1))
        self.assertTrue(budget.take(1.0, 0.1))

    def test_silence_resumes_then_retries_elsewhere(self):
        # Guards against requests that hang on a silent connection.
        first = self.arrive()[0].agent_id
        silent = events.AttemptSilent(3.0, "r", 1)
        for _ in range(MAX_RESUMES):
            self.assertEqual(self.apply(silent), [Resume("r", 1, first)])
        cancel, dispatch = self.apply(silent)
        self.assertEqual(cancel, CancelAttempt("r", 1))
        self.assertNotEqual(dispatch.agent_id, first)

    def test_deadline_with_an_attempt_under_way_is_unknown(self):
        # Guards against P6, and against callers that wait past their deadline.
        self.arrive()
        self.assertEqual(self.apply(events.Tick(10.0)), [])
        cancel, answer = self.apply(events.Tick(10.2))
        self.assertEqual(cancel, CancelAttempt("r", 1))
        self.assertEqual(answer.outcome.code, "deadline")
        late = events.AttemptFinished(10.3, "r", 1, Finished(200, 0))
        self.assertEqual(self.apply(late), [])

    def test_late_event_of_an_earlier_attempt_is_ignored(self):
        # Guards against P5: the outcome of attempt 1 counted for attempt 2.
        self.arrive()
        self.fail_attempt(1)
        late = events.AttemptFinished(0.0, "r", 1, Finished(200, 0))
        self.assertEqual(self.apply(late), [])

    def test_caller_that_left_cancels_the_attempt(self):
        # Guards against engines that go on generating for nobody.
        self.arrive()
        left = events.CallerLeft(1.0, "r")
        self.assertEqual(self.apply(left), [CancelAttempt("r", 1)])
        self.assertEqual(self.reducer.running, 0)

    def test_owner_hint_is_followed_even_to_a_tried_agent(self):
        # Guards against a takeover that makes a settlement unreachable.
        first = self.arrive(idempotent=False, partition=1)[0].agent_id
        second = self.refuse(1)[0].agent_id
        hint = NotRun(Reason.NOT_OWNER, owner=first)
        self.assertNotEqual(first, second)
        self.assertEqual(self.refuse(2, hint), [Dispatch("r", 3, first)])

    def test_hint_to_an_unreachable_owner_is_not_followed(self):
        # Guards against attempts spent on a lost owner before the takeover.
        first = self.arrive(idempotent=False, partition=1)[0].agent_id
        lost = NotRun(Reason.BACKEND_DOWN)
        second = self.apply(events.AttemptRefused(0.0, "r", 1, lost, True))[0].agent_id
        third = self.refuse(2, NotRun(Reason.NOT_OWNER, owner=first))[0].agent_id
        self.assertEqual(sorted([first, second, third]), ["a0", "a1", "a2"])

    def test_attempts_are_bounded_when_two_agents_name_each_other(self):
        # Guards against a request that circles between disagreeing agents.
        effects = self.arrive(idempotent=False, partition=1)
        attempts = 0
        while isinstance(effects[0], Dispatch):
            attempts += 1
            other = "a0" if effects[0].agent_id != "a0" else "a1"
            effects = self.refuse(attempts, NotRun(Reason.NOT_OWNER, owner=other))
        self.assertEqual(attempts, 4)
        self.assertIsInstance(effects[0].outcome, NotRun)

    def test_requests_are_served_until_the_drain_ends(self):
        # Guards against P9: refusals before the load balancer has noticed.
        self.apply(events.StopRequested(0.0, serve_until=5.0))
        self.assertIsInstance(self.arrive("r1", now=4.0)[0], Dispatch)
        (answer,) = self.arrive("r2", now=5.0)
        self.assertEqual(answer.outcome.reason, Reason.NOT_READY)
