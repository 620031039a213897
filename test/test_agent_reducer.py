import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from heatherswitch.agent import effects as fx
from heatherswitch.agent import events as ev
from heatherswitch.agent.reducer import AgentReducer
from heatherswitch.agent.request_policy import Identity
from heatherswitch.fleet.config import FleetConfig
from heatherswitch.fleet.outcomes import NotRun, OutcomeUnknown, Reason
from heatherswitch.fleet.settings import node_key
from heatherswitch.statecore.replica import Entry

DEFAULTS = {"limits": {"max_running": 4}, "cold_start": {"limit": 4}}


def config(revision=1, **nodes):
    fleet_config = FleetConfig()
    paths = {"/": DEFAULTS} | {path.replace("_", "="): v for path, v in nodes.items()}
    values = [(node_key(path), json.dumps(value)) for path, value in paths.items()]
    fleet_config.apply([Entry(key, revision, value.encode()) for key, value in values])
    return fleet_config


def execute(job_id, now=0.0, **fields):
    values = {"workspace": "w1", "request_class": "default"} | fields
    return ev.ExecuteReceived(now, job_id, **values)


def claimed(job_id):
    return execute(job_id, idempotent=False, idempotency_key="k1")


class AgentReducerTest(unittest.TestCase):
    def setUp(self):
        self.reducer = AgentReducer(Identity("a1", 7, "chat", "v1", "z1"))
        self.apply(ev.ConfigChanged(0.0, config()))
        self.apply(ev.PoolLoadReported(0.0, 100, 2, 0))

    def apply(self, event):
        return self.reducer.apply(event)

    def only(self, effects, kind):
        matches = [effect for effect in effects if isinstance(effect, kind)]
        self.assertEqual(len(matches), 1, effects)
        return matches[0]

    def refusal(self, event):
        return self.only(self.apply(event), fx.Refuse).outcome.reason

    def test_requests_are_refused_without_a_configuration(self):
        # Guards against a restarted agent that takes requests in a zone out of service.
        self.reducer = AgentReducer(Identity("a1", 7, "chat", "v1", "z1"))
        self.assertEqual(self.refusal(execute("r1")), Reason.NOT_READY)

    def test_request_for_another_identity_is_refused(self):
        # Guards against a request for a replaced agent running at its replacement.
        for fields in ({"agent_id": "a2"}, {"incarnation": 6}, {"version": "v2"}):
            with self.subTest(**fields):
                reason = self.refusal(execute("r1", **fields))
                self.assertEqual(reason, Reason.WRONG_INCARNATION)

    def test_configuration_and_shutdown_refuse_new_and_waiting_jobs(self):
        # Guards against queued jobs that start although no job may start any more.
        out = config(2, **{"/zone_z1": {"zone_state": "out"}})
        closed = {"version_state": "taken_back"}
        back = config(2, **{"/service_chat/version_v1": closed})
        restrictions = (
            (ev.ConfigChanged(1.0, out), Reason.ZONE_OUT),
            (ev.ConfigChanged(1.0, back), Reason.VERSION_TAKEN_BACK),
            (ev.StopRequested(1.0), Reason.LEAVING),
        )
        for restriction, reason in restrictions:
            with self.subTest(reason=reason):
                self.setUp()
                for number in range(4):
                    self.apply(execute(f"r{number}"))
                self.apply(execute("waits"))
                effects = self.apply(restriction)
                self.assertEqual(self.only(effects, fx.Refuse).job_id, "waits")
                self.assertEqual(self.refusal(execute("new", now=1.0)), reason)
                self.assertEqual(self.reducer.load.running, 4)

    def test_configuration_changed_in_place_is_effective_at_once(self):
        # Guards against an outdated cache: the fleet node changes its object in place.
        shared = config()
        self.apply(ev.ConfigChanged(0.0, shared))
        self.apply(execute("r1"))
        shared.apply([Entry(node_key("/zone=z1"), 2, b'{"zone_state": "out"}')])
        self.assertEqual(self.refusal(execute("r2", now=0.01)), Reason.ZONE_OUT)

    def test_unproven_version_is_limited_until_its_share_grows(self):
        # Guards against a faulty version getting more than the unproven share.
        for share, allowed in ((0.05, False), (0.2, True)):
            with self.subTest(share=share):
                self.setUp()
                starting = {"version_state": "starting", "version_share": share}
                changed = config(2, **{"/service_chat/version_v1": starting})
                self.apply(ev.ConfigChanged(0.0, changed))
                self.apply(ev.PoolLoadReported(0.0, 20, 2, 0))
                self.apply(execute("r1"))
                effects = self.apply(execute("r2"))
                started = any(isinstance(e, fx.StartBackend) for e in effects)
                self.assertEqual(started, allowed)

    def test_restored_zone_starts_cold(self):
        # Guards against a restored zone getting its full load at once.
        small = {"cold_start": {"limit": 1}}
        out = config(2, **{"/zone_z1": {"zone_state": "out"} | small})
        self.apply(ev.ConfigChanged(1.0, out))
        self.apply(ev.ConfigChanged(2.0, config(3, **{"/zone_z1": small})))
        self.apply(execute("r1", now=2.0))
        self.assertEqual(self.refusal(execute("r2", now=2.0)), Reason.COLD_START)

    def test_router_with_newer_configuration_causes_an_exchange(self):
        effects = self.apply(execute("r1", config_revision=9))
        self.only(effects, fx.FetchConfig)
        self.only(effects, fx.StartBackend)

    def test_restart_makes_the_server_cold(self):
        # Guards against a restarted server getting the load of a warm one.
        small = config(2, **{"/service_chat": {"cold_start": {"limit": 1}}})
        self.apply(ev.HealthReported(0.0, True, "i1", 10.0))
        self.apply(ev.ConfigChanged(0.0, small))
        self.apply(ev.HealthReported(1.0, True, "i2", 20.0))
        self.apply(execute("r1", now=1.0))
        self.assertEqual(self.refusal(execute("r2", now=1.0)), Reason.COLD_START)

    def test_refused_connection_is_reported_as_not_run(self):
        self.apply(execute("r1"))
        effects = self.apply(ev.BackendFailed(1.0, "r1", False, "connect_failed"))
        self.assertEqual(
            self.only(effects, fx.Refuse).outcome.reason, Reason.BACKEND_DOWN
        )
        self.assertEqual(self.refusal(execute("r2", now=1.0)), Reason.BACKEND_DOWN)
        self.apply(ev.HealthReported(2.0, True))
        self.only(self.apply(execute("r3", now=2.0)), fx.StartBackend)

    def test_lost_connection_of_claimed_job_is_unknown(self):
        # Guards against "not run" for a job that may have run.
        self.apply(claimed("r1"))
        self.apply(ev.ClaimRecorded(0.1, "r1", 3))
        effects = self.apply(ev.BackendFailed(1.0, "r1", True, "backend_closed"))
        self.assertIsInstance(self.only(effects, fx.Fail).outcome, OutcomeUnknown)

    def test_claim_precedes_the_start(self):
        effects = self.apply(claimed("r1"))
        self.assertFalse([e for e in effects if isinstance(e, fx.StartBackend)])
        started = self.only(self.apply(ev.ClaimRecorded(0.1, "r1", 3)), fx.StartBackend)
        self.assertEqual(started.epoch, 3)

    def test_late_claim_is_not_started(self):
        # Guards against a paused agent that starts a job after another agent took over.
        self.apply(claimed("r1"))
        effects = self.apply(ev.ClaimRecorded(2.5, "r1", 3))
        self.only(effects, fx.AbandonClaim)
        self.only(effects, fx.Refuse)
        self.assertTrue(self.reducer.idle)

    def test_claim_recorded_after_zone_out_is_not_started(self):
        self.apply(claimed("r1"))
        out = config(2, **{"/zone_z1": {"zone_state": "out"}})
        self.apply(ev.ConfigChanged(0.1, out))
        self.only(self.apply(ev.ClaimRecorded(0.2, "r1", 3)), fx.AbandonClaim)

    def test_service_that_checks_idempotency_needs_no_claim(self):
        checks = config(2, **{"/service_chat": {"checks_idempotency": True}})
        self.apply(ev.ConfigChanged(0.0, checks))
        self.only(self.apply(claimed("r1")), fx.StartBackend)

    def test_same_key_attaches_and_different_content_is_refused(self):
        # Guards against a second run with a key whose first run has not ended.
        self.apply(claimed("r1"))
        self.assertEqual(
            self.only(self.apply(claimed("r2")), fx.AttachTo).other_job_id, "r1"
        )
        other = ev.ExecuteReceived(
            0.0, "r3", "w1", "default", "", "", "", 0, 0, False, "k1", "other"
        )
        self.assertEqual(self.refusal(other), Reason.KEY_REUSED)

    def test_claim_rejection_is_returned(self):
        self.apply(claimed("r1"))
        result = NotRun(Reason.NOT_OWNER, owner="a2")
        effects = self.apply(ev.ClaimRejected(0.1, "r1", result))
        self.assertEqual(self.only(effects, fx.Refuse).outcome.owner, "a2")

    def test_disconnected_idempotent_job_is_cancelled_after_the_resume_window(self):
        self.apply(execute("r1"))
        self.apply(ev.CallerDisconnected(1.0, "r1"))
        self.assertEqual(self.apply(ev.Tick(2.5)), [])
        self.only(self.apply(ev.Tick(3.1)), fx.CancelBackend)

    def test_job_of_a_reconnected_caller_continues(self):
        self.apply(execute("r1"))
        self.apply(ev.CallerDisconnected(1.0, "r1"))
        self.apply(ev.CallerReconnected(2.0, "r1"))
        self.assertEqual(self.apply(ev.Tick(4.0)), [])

    def test_disconnected_claimed_job_continues(self):
        # Guards against a non-idempotent job being cancelled while it runs.
        self.apply(claimed("r1"))
        self.apply(ev.ClaimRecorded(0.1, "r1", 3))
        self.apply(ev.CallerDisconnected(1.0, "r1"))
        self.assertEqual(self.apply(ev.Tick(100.0)), [])
        effects = self.apply(ev.BackendFinished(101.0, "r1", 200))
        self.assertTrue(self.only(effects, fx.Complete).claimed)

    def test_stale_pool_load_does_not_raise_the_load_bound(self):
        # Guards against load above the bound (P1) after a report of ended requests.
        wide = {"limits": {"max_running": 64}, "cold_start": {"limit": 64}}
        self.apply(ev.ConfigChanged(5.0, config(2, **{"/service_chat": wide})))
        self.apply(execute("r1", now=5.0))
        self.apply(execute("r2", now=5.0))
        self.assertEqual(self.refusal(execute("r3", now=5.0)), Reason.OVER_LOAD_BOUND)
        observed = ev.ObservedLoad("chat", "v1", 12, 2, 0.1, own=2)
        effects = self.apply(execute("r4", now=5.0, observed=observed))
        self.only(effects, fx.StartBackend)

    def test_own_ended_requests_do_not_raise_the_load_bound(self):
        # Guards against load above the bound (P1): a router reports two requests in a
        # pool of three agents, both of them this agent's own, which have ended since.
        self.apply(ev.PoolLoadReported(9.0, 0, 3, 0))
        for now, name in ((9.1, "r1"), (9.1, "r2")):
            self.apply(execute(name, now=now, observed=None))
            self.apply(ev.BackendFinished(9.2, name, 200))
        observed = ev.ObservedLoad("chat", "v1", 2, 3, 0.3, own=2)
        self.apply(execute("r3", now=9.5, observed=observed))
        second = execute("r4", now=9.5, observed=observed)
        self.assertEqual(self.refusal(second), Reason.OVER_LOAD_BOUND)


FINAL_EFFECTS = (fx.Refuse, fx.Fail, fx.Complete, fx.ReplayOutcome, fx.AttachTo)
STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ["execute", "claim", "claimed", "rejected", "head", "finished", "lost"]
            + ["unsent", "left", "returned", "tick", "mean", "restart", "out", "in"]
        ),
        st.integers(0, 5),
        st.floats(0.0, 1.5),
    ),
    max_size=60,
)


class RequestOutcomeTest(unittest.TestCase):
    @settings(max_examples=300, deadline=None)
    @given(STEPS)
    def test_each_request_ends_once_with_a_true_outcome(self, steps):
        # Guards against missing or repeated outcomes, and against "not run" for a
        # request that was sent, in any order of events.
        self.reducer = AgentReducer(Identity("a1", 7, "chat", "v1", "z1"))
        self.ended, self.sent, self.job_ids, now = {}, set(), [], 0.0
        self.step(ev.ConfigChanged(now, config()))
        for number, (kind, index, wait) in enumerate(steps):
            now += wait
            if kind in ("execute", "claim"):
                job_id = f"r{number}"
                self.job_ids.append(job_id)
                key = f"k{index}" if kind == "claim" else ""
                self.step(execute(job_id, now, idempotent=not key, idempotency_key=key))
            else:
                job_id = (
                    self.job_ids[index % len(self.job_ids)] if self.job_ids else "x"
                )
                self.step(self.event(kind, now, job_id, number))
        for job_id in self.job_ids:
            self.step(ev.BackendFailed(now, job_id, True, "backend_closed"))
            self.step(ev.ClaimRejected(now, job_id, NotRun(Reason.NOT_OWNER)))
        for _ in range(3):
            now += 100.0
            self.step(ev.Tick(now))
            for job_id in self.job_ids:
                self.step(ev.ClaimRecorded(now, job_id, 1))
                self.step(ev.BackendFinished(now, job_id, 200))
        self.assertEqual(set(self.ended), set(self.job_ids))
        self.assertEqual(self.reducer.load.total, 0)

    def event(self, kind, now, job_id, number):
        zone = {"zone_state": kind if kind in ("in", "out") else "in"}
        makers = {
            "claimed": lambda: ev.ClaimRecorded(now, job_id, 1),
            "rejected": lambda: ev.ClaimRejected(
                now, job_id, NotRun(Reason.STORE_UNAVAILABLE)
            ),
            "head": lambda: ev.BackendFirstByte(now, job_id, 200),
            "finished": lambda: ev.BackendFinished(now, job_id, 200),
            "lost": lambda: ev.BackendFailed(now, job_id, True, "backend_closed"),
            "unsent": lambda: ev.BackendFailed(now, job_id, False, "connect_failed"),
            "left": lambda: ev.CallerDisconnected(now, job_id),
            "returned": lambda: ev.CallerReconnected(now, job_id),
            "tick": lambda: ev.Tick(now),
            "mean": lambda: ev.PoolLoadReported(now, 30, 3, 0),
            "restart": lambda: ev.BackendRestarted(now),
        }
        if kind in makers:
            return makers[kind]()
        return ev.ConfigChanged(now, config(number + 2, **{"/zone_z1": zone}))

    def step(self, event):
        is_backend_result = isinstance(event, ev.BackendFinished | ev.BackendFailed)
        if is_backend_result and event.job_id not in self.sent:
            return
        unsent = isinstance(event, ev.BackendFailed) and not event.sent
        for effect in self.reducer.apply(event):
            if isinstance(effect, fx.StartBackend):
                self.assertNotIn(effect.job_id, self.sent)
                self.assertNotIn(effect.job_id, self.ended)
                self.sent.add(effect.job_id)
            if isinstance(effect, FINAL_EFFECTS):
                self.assertNotIn(effect.job_id, self.ended)
                self.ended[effect.job_id] = effect
            if isinstance(effect, fx.Refuse) and effect.job_id in self.sent:
                self.assertTrue(unsent)
        load = self.reducer.load
        self.assertLessEqual(load.queued, 64)
