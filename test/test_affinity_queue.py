import unittest

from heatherswitch.agent import effects as fx
from heatherswitch.agent import events as ev
from heatherswitch.agent.gate import Identity
from heatherswitch.agent.reducer import AgentReducer
from heatherswitch.fleet.outcomes import Reason
from test.test_agent_reducer import config, execute

WAIT_S = 0.5


def idle_pool_agent():
    """An agent of an idle pool of four that has its one request of the bound."""
    reducer = AgentReducer(Identity("a1", 7, "chat", "v1", "z1"))
    reducer.apply(ev.ConfigChanged(0.0, config()))
    reducer.apply(ev.PoolMeanReported(0.0, 0, 4, 0))
    reducer.apply(execute("runs", attempt=1))
    return reducer


class HoldingTest(unittest.TestCase):
    def setUp(self):
        self.reducer = idle_pool_agent()

    def apply(self, event):
        return self.reducer.apply(event)

    def found(self, made, kind):
        return [effect.work_id for effect in made if isinstance(effect, kind)]

    def test_preferred_agent_starts_a_request_when_a_place_is_free(self):
        # Guards against a chat that loses its cache over a place that is free soon.
        self.assertEqual(self.apply(execute("held", now=0.1, attempt=1)), [])
        self.assertEqual(self.reducer.load.total, 1)
        made = self.apply(ev.BackendFinished(0.2, "runs", 200))
        self.assertEqual(self.found(made, fx.StartBackend), ["held"])

    def test_load_of_others_admits_a_held_request(self):
        # Guards against a wait that goes on although the bound has grown.
        self.apply(execute("held", now=0.1, attempt=1))
        made = self.apply(ev.PoolMeanReported(0.2, 9, 4, 1))
        self.assertEqual(self.found(made, fx.StartBackend), ["held"])

    def test_held_request_is_refused_after_its_wait(self):
        # Guards against P1 being broken by, or a caller waiting for, a full server.
        self.apply(execute("held", now=0.1, attempt=1))
        self.assertEqual(self.apply(ev.Tick(0.1 + WAIT_S / 2)), [])
        made = self.apply(ev.Tick(0.1 + WAIT_S))
        self.assertEqual(made[0].outcome.reason, Reason.OVER_LOAD_BOUND)
        self.assertEqual(self.apply(ev.Tick(1.0)), [])

    def test_only_the_preferred_agent_holds(self):
        # Guards against waits that add up over the agents, without any cache to win.
        for name, attempt in (("second", 2), ("unknown", 0)):
            made = self.apply(execute(name, now=0.1, attempt=attempt))
            self.assertEqual(self.found(made, fx.Refuse), [name])
        off = config(2, **{"/service_chat": {"routing": {"affinity_wait_s": 0}}})
        self.apply(ev.ConfigChanged(0.1, off))
        made = self.apply(execute("off", now=0.1, attempt=1))
        self.assertEqual(self.found(made, fx.Refuse), ["off"])

    def test_order_refuses_held_requests_at_once(self):
        # Guards against P3 and P8: held work that starts after an order.
        self.apply(execute("held", now=0.1, attempt=1))
        made = self.apply(ev.StopRequested(0.2))
        self.assertEqual(self.found(made, fx.Refuse), ["held"])
        self.assertEqual(made[-1].outcome.reason, Reason.LEAVING)

    def test_request_whose_caller_left_is_not_started(self):
        # Guards against work for nobody.
        self.apply(execute("held", now=0.1, attempt=1))
        self.assertEqual(
            self.found(self.apply(ev.CallerLeft(0.15, "held")), fx.Refuse), ["held"]
        )
        self.assertTrue(self.apply(ev.BackendFinished(0.2, "runs", 200)))
        self.assertTrue(self.reducer.idle)

    def test_more_are_not_held_than_places_can_become_free(self):
        # Guards against a queue without limit before the admission.
        self.apply(execute("held", now=0.1, attempt=1))
        made = self.apply(execute("more", now=0.1, attempt=1))
        self.assertEqual(self.found(made, fx.Refuse), ["more"])


class DisplacedChatTest(unittest.TestCase):
    def setUp(self):
        self.reducer = idle_pool_agent()
        self.apply = self.reducer.apply
        off = config(2, **{"/service_chat": {"routing": {"affinity_wait_s": 0}}})
        self.apply(ev.ConfigChanged(0.0, off))
        self.apply(execute("turned away", now=0.1, attempt=1, chat_key="c"))
        self.apply(ev.BackendFinished(0.2, "runs", 200))

    def ask(self, attempt, chat="c"):
        name = f"{chat}{attempt}"
        made = self.apply(execute(name, now=0.3, attempt=attempt, chat_key=chat))
        refused = [e.outcome.reason for e in made if isinstance(e, fx.Refuse)]
        return refused[0] if refused else None

    def test_chat_is_sent_to_the_agent_that_ran_it(self):
        # Guards against a second cache miss when a displaced chat returns.
        self.assertEqual(self.ask(1), Reason.PREFIX_ELSEWHERE)
        self.assertIsNone(self.ask(1, chat="other"))

    def test_chat_displaced_twice_is_sent_on_twice(self):
        # Guards against a cache miss at the second agent when the third has it.
        self.apply(execute("runs too", now=0.2, attempt=1))
        self.assertEqual(self.ask(2, chat="d"), Reason.OVER_LOAD_BOUND)
        self.apply(ev.BackendFinished(0.3, "runs too", 200))
        self.assertEqual(self.ask(2, chat="d"), Reason.PREFIX_ELSEWHERE)
        self.assertIsNone(self.ask(4, chat="d"))

    def test_chat_returns_when_the_other_agent_has_no_room(self):
        # Guards against a refusal of a request that this agent has room for.
        self.assertIsNone(self.ask(3))
        self.apply(ev.BackendFinished(0.4, "c3", 200))
        self.assertIsNone(self.ask(1))
