import unittest

from heatherswitch.fleet.outcomes import (
    Failed,
    Finished,
    NotRun,
    OutcomeUnknown,
    Reason,
)
from heatherswitch.router import events
from heatherswitch.router.effects import (
    CancelAttempt,
    CompleteRequest,
    Dispatch,
    Resume,
)
from heatherswitch.router.reducer import MAX_RESUMES, RouterReducer
from heatherswitch.router.retries import RetryBudget, ServiceRetryBudgets
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

    def test_refused_request_tries_each_agent_once_then_is_not_run(self):
        # A refusal must not end a request that another agent would admit.
        tried = [self.arrive()[0].agent_id]
        tried += [self.refuse(attempt)[0].agent_id for attempt in (1, 2)]
        self.assertEqual(sorted(tried), ["a0", "a1", "a2"])
        self.assertEqual(self.refuse(3), [CompleteRequest("r", BUSY)])

    def test_agent_over_its_limit_is_still_tried_for_the_next_request(self):
        # These limits change with each request that ends. One refusal must not send
        # other chats away from their caches.
        for reason in (Reason.OVER_LOAD_BOUND, Reason.COLD_START):
            first = self.arrive()[0].agent_id
            self.refuse(1, NotRun(reason))
            self.assertEqual(self.arrive("other", now=0.01)[0].agent_id, first)

    def test_request_of_a_starting_version_falls_back_to_the_active_one(self):
        # An unproven or cold version may refuse at each of its agents. The request must
        # not fail as long as the active version has capacity.
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

    def test_agent_that_redirected_a_request_is_tried_again(self):
        # The other agents may all refuse while the redirecting one has capacity.
        home = self.arrive()[0].agent_id
        other = self.refuse(1, NotRun(Reason.PREFIX_ELSEWHERE))[0].agent_id
        self.assertNotEqual(other, home)
        self.assertEqual(self.refuse(2)[0].agent_id, home)
        third = self.refuse(3)[0].agent_id
        self.assertNotIn(third, (home, other))
        self.assertEqual(self.refuse(4), [CompleteRequest("r", BUSY)])

    def test_agents_that_redirected_a_request_are_tried_again_in_order(self):
        # The agent with the cache must be tried before returning to the first one.
        elsewhere = NotRun(Reason.PREFIX_ELSEWHERE)
        home = self.arrive()[0].agent_id
        second = self.refuse(1, elsewhere)[0].agent_id
        third = self.refuse(2, elsewhere)[0].agent_id
        self.assertEqual(len({home, second, third}), 3)
        self.assertEqual(self.refuse(3)[0].agent_id, home)

    def test_single_agent_that_redirected_a_request_is_tried_again(self):
        # A pool of one agent with capacity must not refuse the request.
        self.reducer = RouterReducer(fleet_config({}), table(agent("a0")))
        self.arrive()
        effects = self.refuse(1, NotRun(Reason.PREFIX_ELSEWHERE))
        self.assertEqual(effects, [Dispatch("r", 2, "a0")])

    def test_not_run_is_not_claimed_after_an_attempt_that_may_have_run(self):
        # P6: refusals of retries must not hide that the first attempt may have run.
        self.arrive()
        self.assertIsInstance(self.fail_attempt(1)[0], Dispatch)
        self.refuse(2)
        self.assertEqual(self.refuse(3), [CompleteRequest("r", UNKNOWN)])

    def test_non_idempotent_request_is_never_retried_after_it_may_have_run(self):
        # P7: a retry by the router itself could run the request twice.
        for outcome in (UNKNOWN, Failed("backend_500")):
            self.arrive(idempotent=False, partition=1)
            self.assertEqual(
                self.fail_attempt(1, outcome), [CompleteRequest("r", outcome)]
            )

    def test_no_retry_after_a_byte_reached_the_caller(self):
        # P5: the response would mix bytes of two attempts.
        self.arrive()
        self.assertEqual(
            self.fail_attempt(1, delivered=True), [CompleteRequest("r", UNKNOWN)]
        )

    def test_retry_budget_limits_retries(self):
        # Unlimited retries would multiply the load of a failing pool.
        for i in range(40):
            self.arrive(f"r{i}")
        retried = [self.fail_attempt(1, request_id=f"r{i}") for i in range(40)]
        count = sum(isinstance(effects[0], Dispatch) for effects in retried)
        self.assertEqual(count, 4)

    def test_requests_for_one_service_allow_no_retries_at_another(self):
        # A busy model would pay for retries at a plain service that fails as a whole.
        budgets = ServiceRetryBudgets()
        for _ in range(100):
            budgets.count_request(0.0, "model")
        retries = [budgets.try_acquire(0.0, "ledger", 0.1) for _ in range(10)]
        self.assertEqual(sum(retries), 1)
        self.assertTrue(budgets.try_acquire(0.0, "model", 0.1))

    def test_one_retry_a_second_is_always_allowed(self):
        # A share of few requests would never allow a retry.
        budget = RetryBudget()
        self.assertTrue(budget.try_acquire(0.0, 0.1))
        self.assertFalse(budget.try_acquire(0.5, 0.1))
        self.assertTrue(budget.try_acquire(1.0, 0.1))

    def test_silent_attempt_is_resumed_then_retried_at_another_agent(self):
        # A request must not hang on a connection that delivers no more events.
        first = self.arrive()[0].agent_id
        silent = events.AttemptSilent(3.0, "r", 1)
        for _ in range(MAX_RESUMES):
            self.assertEqual(self.apply(silent), [Resume("r", 1, first)])
        cancel, dispatch = self.apply(silent)
        self.assertEqual(cancel, CancelAttempt("r", 1))
        self.assertNotEqual(dispatch.agent_id, first)

    def test_outcome_at_the_deadline_is_unknown_during_an_attempt(self):
        # P6: the attempt may have run. The caller must not wait past its deadline.
        self.arrive()
        self.assertEqual(self.apply(events.Tick(10.0)), [])
        cancel, completion = self.apply(events.Tick(10.2))
        self.assertEqual(cancel, CancelAttempt("r", 1))
        self.assertEqual(completion.outcome.code, "deadline")
        late = events.AttemptFinished(10.3, "r", 1, Finished(200, 0))
        self.assertEqual(self.apply(late), [])

    def test_late_event_of_an_earlier_attempt_is_ignored(self):
        # P5: the outcome of attempt 1 must not be taken for that of attempt 2.
        self.arrive()
        self.fail_attempt(1)
        late = events.AttemptFinished(0.0, "r", 1, Finished(200, 0))
        self.assertEqual(self.apply(late), [])

    def test_caller_disconnect_cancels_the_attempt(self):
        # Otherwise the engine would go on generating tokens for no one.
        self.arrive()
        disconnected = events.CallerDisconnected(1.0, "r")
        self.assertEqual(self.apply(disconnected), [CancelAttempt("r", 1)])
        self.assertEqual(self.reducer.running, 0)

    def test_owner_hint_is_followed_even_to_a_tried_agent(self):
        # After a takeover, an agent that refused before may own the partition.
        first = self.arrive(idempotent=False, partition=1)[0].agent_id
        second = self.refuse(1)[0].agent_id
        hint = NotRun(Reason.NOT_OWNER, owner=first)
        self.assertNotEqual(first, second)
        self.assertEqual(self.refuse(2, hint), [Dispatch("r", 3, first)])

    def test_hint_to_an_unreachable_owner_is_not_followed(self):
        # Until the takeover, agents still name the lost owner. Following them would use
        # up the attempts.
        first = self.arrive(idempotent=False, partition=1)[0].agent_id
        lost = NotRun(Reason.BACKEND_DOWN)
        second = self.apply(events.AttemptRefused(0.0, "r", 1, lost, True))[0].agent_id
        third = self.refuse(2, NotRun(Reason.NOT_OWNER, owner=first))[0].agent_id
        self.assertEqual(sorted([first, second, third]), ["a0", "a1", "a2"])

    def test_attempts_are_bounded_when_two_agents_name_each_other(self):
        # Agents that disagree on the owner must not redirect a request forever.
        effects = self.arrive(idempotent=False, partition=1)
        attempts = 0
        while isinstance(effects[0], Dispatch):
            attempts += 1
            other = "a0" if effects[0].agent_id != "a0" else "a1"
            effects = self.refuse(attempts, NotRun(Reason.NOT_OWNER, owner=other))
        self.assertEqual(attempts, 4)
        self.assertIsInstance(effects[0].outcome, NotRun)

    def test_requests_are_served_until_the_drain_delay_ends(self):
        # P9: requests must not be refused before the load balancer has noticed.
        self.apply(events.StopRequested(0.0, serve_until=5.0))
        self.assertIsInstance(self.arrive("r1", now=4.0)[0], Dispatch)
        (completion,) = self.arrive("r2", now=5.0)
        self.assertEqual(completion.outcome.reason, Reason.NOT_READY)

    def test_running_requests_are_answered_before_the_grace_period_ends(self):
        # Their connections were closed without a response, and nobody knew whether
        # they had run.
        self.apply(events.StopRequested(0.0, serve_until=5.0))
        self.arrive("r1")
        self.arrive("r2", idempotent=False)
        effects = self.apply(events.GraceEnding(9.0))
        self.assertEqual(effects[0], CancelAttempt("r1", 1))
        ended = [e for e in effects if isinstance(e, CompleteRequest)]
        self.assertEqual([e.request_id for e in ended], ["r1", "r2"])
        for completion in ended:
            self.assertIsInstance(completion.outcome, OutcomeUnknown)
        self.assertEqual(self.reducer.running, 0)
