import unittest

from heatherswitch.agent import effects as fx
from heatherswitch.agent import events as ev
from heatherswitch.agent.reducer import AgentReducer
from heatherswitch.agent.request_policy import Identity
from heatherswitch.fleet.outcomes import Reason
from test.test_agent_reducer import config, execute

WAIT_S = 0.5


def idle_pool_agent():
    """Returns an agent of an idle pool of four whose load bound allows no more."""
    reducer = AgentReducer(Identity("a1", 7, "chat", "v1", "z1"))
    reducer.apply(ev.ConfigChanged(0.0, config()))
    reducer.apply(ev.PoolLoadReported(0.0, 0, 4, 0))
    reducer.apply(execute("runs", attempt=1))
    return reducer


class HeldRequestTest(unittest.TestCase):
    def setUp(self):
        self.reducer = idle_pool_agent()

    def apply(self, event):
        return self.reducer.apply(event)

    def job_ids(self, effects, kind):
        return [effect.job_id for effect in effects if isinstance(effect, kind)]

    def test_preferred_agent_starts_a_held_request_when_another_ends(self):
        # Guards against a chat losing its cached prefix although capacity is free soon.
        self.assertEqual(self.apply(execute("held", now=0.1, attempt=1)), [])
        self.assertEqual(self.reducer.load.total, 1)
        effects = self.apply(ev.BackendFinished(0.2, "runs", 200))
        self.assertEqual(self.job_ids(effects, fx.StartBackend), ["held"])

    def test_higher_load_of_other_agents_admits_a_held_request(self):
        # Guards against a request that stays held although the load bound has risen.
        self.apply(execute("held", now=0.1, attempt=1))
        effects = self.apply(ev.PoolLoadReported(0.2, 9, 4, 1))
        self.assertEqual(self.job_ids(effects, fx.StartBackend), ["held"])

    def test_held_request_is_refused_after_the_wait(self):
        # Guards against load above the bound (P1), and against an endless wait.
        self.apply(execute("held", now=0.1, attempt=1))
        self.assertEqual(self.apply(ev.Tick(0.1 + WAIT_S / 2)), [])
        effects = self.apply(ev.Tick(0.1 + WAIT_S))
        self.assertEqual(effects[0].outcome.reason, Reason.OVER_LOAD_BOUND)
        self.assertEqual(self.apply(ev.Tick(1.0)), [])

    def test_only_the_preferred_agent_holds(self):
        # Guards against waits that add up over agents without the prefix in cache.
        for name, attempt in (("second", 2), ("unknown", 0)):
            effects = self.apply(execute(name, now=0.1, attempt=attempt))
            self.assertEqual(self.job_ids(effects, fx.Refuse), [name])
        off = config(2, **{"/service_chat": {"routing": {"affinity_wait_s": 0}}})
        self.apply(ev.ConfigChanged(0.1, off))
        effects = self.apply(execute("off", now=0.1, attempt=1))
        self.assertEqual(self.job_ids(effects, fx.Refuse), ["off"])

    def test_shutdown_refuses_held_requests_at_once(self):
        # Guards against a held request that starts after a shutdown request (P3, P8).
        self.apply(execute("held", now=0.1, attempt=1))
        effects = self.apply(ev.StopRequested(0.2))
        self.assertEqual(self.job_ids(effects, fx.Refuse), ["held"])
        self.assertEqual(effects[-1].outcome.reason, Reason.LEAVING)

    def test_held_request_of_a_disconnected_caller_is_not_started(self):
        # Guards against load for a response that nobody receives.
        self.apply(execute("held", now=0.1, attempt=1))
        self.assertEqual(
            self.job_ids(self.apply(ev.CallerDisconnected(0.15, "held")), fx.Refuse),
            ["held"],
        )
        self.assertTrue(self.apply(ev.BackendFinished(0.2, "runs", 200)))
        self.assertTrue(self.reducer.idle)

    def test_no_more_requests_are_held_than_running_ones_can_end(self):
        # Guards against an unlimited queue in front of the admission.
        self.apply(execute("held", now=0.1, attempt=1))
        effects = self.apply(execute("more", now=0.1, attempt=1))
        self.assertEqual(self.job_ids(effects, fx.Refuse), ["more"])


class RedirectedChatTest(unittest.TestCase):
    def setUp(self):
        self.reducer = idle_pool_agent()
        self.apply = self.reducer.apply
        off = config(2, **{"/service_chat": {"routing": {"affinity_wait_s": 0}}})
        self.apply(ev.ConfigChanged(0.0, off))
        self.apply(execute("turned away", now=0.1, attempt=1, chat_key="c"))
        self.apply(ev.BackendFinished(0.2, "runs", 200))

    def refusal_reason(self, attempt, chat="c"):
        name = f"{chat}{attempt}"
        effects = self.apply(execute(name, now=0.3, attempt=attempt, chat_key=chat))
        reasons = [e.outcome.reason for e in effects if isinstance(e, fx.Refuse)]
        return reasons[0] if reasons else None

    def test_chat_is_redirected_to_the_agent_that_ran_it(self):
        # Guards against a second cache miss when a redirected chat comes back.
        self.assertEqual(self.refusal_reason(1), Reason.PREFIX_ELSEWHERE)
        self.assertIsNone(self.refusal_reason(1, chat="other"))

    def test_chat_denied_by_two_agents_is_redirected_by_both(self):
        # Guards against a cache miss at the second agent when the third has it.
        self.apply(execute("runs too", now=0.2, attempt=1))
        self.assertEqual(self.refusal_reason(2, chat="d"), Reason.OVER_LOAD_BOUND)
        self.apply(ev.BackendFinished(0.3, "runs too", 200))
        self.assertEqual(self.refusal_reason(2, chat="d"), Reason.PREFIX_ELSEWHERE)
        self.assertIsNone(self.refusal_reason(4, chat="d"))

    def test_chat_is_admitted_when_the_other_agent_has_no_capacity(self):
        # Guards against refusing a request although this agent has capacity.
        self.assertIsNone(self.refusal_reason(3))
        self.apply(ev.BackendFinished(0.4, "c3", 200))
        self.assertIsNone(self.refusal_reason(1))
