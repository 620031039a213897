import random
import unittest

from heatherswitch.fleet.admission import (
    Admission,
    AdmissionLimits,
    Admitted,
    PoolLoadEstimate,
    PoolReport,
    UnprovenBudget,
)
from heatherswitch.fleet.fair_queue import FairQueue, Ticket
from heatherswitch.fleet.outcomes import Reason

LIMITS = AdmissionLimits(1.25, 1, running=4, queued=8)


def ticket(number, workspace="w1", priority=1, at=0.0, deadline=60.0, share=1.0):
    name = f"{workspace}-{number}"
    return Ticket(name, workspace, "chat", priority, share, at, deadline)


def admission(total=100, agents=2, at=0.0):
    controller = Admission()
    controller.pool.update(PoolReport(total, agents, 0, at))
    return controller


def fill(controller, tickets, running=0):
    for entry in tickets:
        controller.queue.add(entry)
    for _ in range(running):
        controller.queue.pop(0.0, running)


class PoolMeanTest(unittest.TestCase):
    def test_bound_includes_current_own_load(self):
        # The mean must include requests that the agent got after the report.
        mean = PoolLoadEstimate()
        mean.update(PoolReport(total=6, agents=3, own=2, at=0.0))
        self.assertEqual(mean.bound(1.0, 5, 1.25, 1), 4)

    def test_stale_report_of_a_busy_pool_does_not_raise_the_bound(self):
        # Load of other agents that ended since must not count, or P1 (the load bound)
        # is violated.
        mean = PoolLoadEstimate()
        mean.update(PoolReport(total=60, agents=3, own=0, at=0.0))
        self.assertGreater(mean.bound(1.0, 2, 1.25, 1), 20)
        self.assertEqual(mean.bound(5.0, 2, 1.25, 1), 1)

    def test_bound_falls_with_the_age_of_the_report(self):
        # In a small pool, a report that is some 100 ms old is enough to violate P1.
        mean = PoolLoadEstimate()
        mean.update(PoolReport(total=9, agents=6, own=2, at=0.0))
        self.assertEqual(mean.bound(0.0, 3, 1.25, 1, service_s=0.5), 3)
        self.assertEqual(mean.bound(0.4, 3, 1.25, 1, service_s=0.5), 2)

    def test_only_a_newer_report_replaces_the_stored_one(self):
        # A report that arrives out of order may contain load that has ended.
        mean = PoolLoadEstimate()
        mean.update(PoolReport(total=4, agents=2, own=0, at=1.0))
        mean.update(PoolReport(total=90, agents=2, own=0, at=0.5))
        self.assertEqual(mean.total(1.1, 0), 4)

    def test_idle_pool_admits_its_first_request(self):
        # A mean of zero would otherwise refuse every request for ever.
        self.assertEqual(PoolLoadEstimate().bound(0.0, 1, 1.25, 0), 1)


class FairQueueTest(unittest.TestCase):
    def test_surging_workspace_does_not_make_others_wait(self):
        # In order of arrival, the surge would take every free slot.
        queue = FairQueue()
        for number in range(20):
            queue.add(ticket(number, "surge"))
        queue.add(ticket(0, "other", at=1.0))
        started = [queue.pop(1.0, 4).workspace for _ in range(3)]
        self.assertIn("other", started)

    def test_slots_are_divided_by_weight(self):
        queue = FairQueue()
        for number in range(12):
            queue.add(ticket(number, "large", share=3.0))
            queue.add(ticket(number, "small"))
        started = [queue.pop(0.0, 100).workspace for _ in range(8)]
        self.assertEqual(started.count("large"), 6)

    def test_urgent_class_is_served_first(self):
        queue = FairQueue()
        queue.add(ticket(1, priority=5))
        queue.add(ticket(2, priority=0, at=1.0))
        self.assertEqual(queue.pop(1.0, 4).priority, 0)

    def test_slots_stay_free_for_workspaces_within_their_share(self):
        # Long requests of one workspace must not occupy every slot.
        queue = FairQueue()
        queue.record_arrival(ticket(0, "other"))
        for number in range(20):
            queue.add(ticket(number, "surge"))
        while queue.pop(1.0, 16) is not None:
            pass
        self.assertEqual(queue.running, 14)
        queue.add(ticket(1, "other", at=2.0))
        self.assertEqual(queue.pop(2.0, 16).workspace, "other")


class AdmissionTest(unittest.TestCase):
    def reason(self, controller, entry, limits=LIMITS, now=0.0):
        return controller.decide(now, entry, limits).reason

    def test_load_bound_refuses(self):
        controller = admission(total=0, agents=2)
        fill(controller, [ticket(n) for n in range(2)], running=2)
        self.assertEqual(self.reason(controller, ticket(9)), Reason.OVER_LOAD_BOUND)

    def test_cold_server_queues_nothing(self):
        # A queue at a cold server delays requests that another agent could run.
        controller = admission()
        cold = AdmissionLimits(1.25, 1, running=2, queued=8, cold=True)
        fill(controller, [ticket(n) for n in range(2)], running=2)
        self.assertEqual(self.reason(controller, ticket(9), cold), Reason.COLD_START)

    def test_full_queue_refuses_the_surge_and_admits_another_workspace(self):
        # A surge of one workspace must not fill the queue for the others.
        controller = admission()
        fill(controller, [ticket(n, "surge") for n in range(12)], running=4)
        self.assertEqual(
            self.reason(controller, ticket(99, "surge")), Reason.QUEUE_FULL
        )
        decision = controller.decide(0.0, ticket(1, "other"), LIMITS)
        self.assertEqual(decision.displaced.workspace, "surge")
        self.assertEqual(
            self.reason(controller, ticket(99, "surge")), Reason.FAIR_SHARE
        )

    def test_deadline_that_cannot_be_met_is_refused_early(self):
        # A request that would miss its deadline must not occupy the backend server.
        controller = admission()
        controller.service_times.add("chat", 2.0)
        fill(controller, [ticket(n) for n in range(8)], running=4)
        late = controller.decide(0.0, ticket(9, deadline=4.0), LIMITS)
        self.assertEqual(late.reason, Reason.DEADLINE)
        self.assertEqual(late.retry_after_ms, 2500)
        self.assertEqual(
            controller.decide(0.0, ticket(9, deadline=5.0), LIMITS), Admitted()
        )

    def test_unproven_version_is_allowed_one_request(self):
        controller = admission(total=40, agents=2)
        limits = AdmissionLimits(1.25, 1, 32, 8, unproven_share=0.05)
        self.assertEqual(controller.decide(0.0, ticket(1), limits), Admitted())
        fill(controller, [ticket(n) for n in range(2)], running=2)
        self.assertEqual(
            self.reason(controller, ticket(9), limits), Reason.UNPROVEN_SHARE
        )

    def test_agents_of_an_unproven_version_share_one_budget(self):
        # P4 is violated if each agent uses the whole share. The share is also of the
        # load of all versions, not of the unproven version's own load.
        for service, agents in ((0, 3), (39, 3), (60, 3), (200, 4), (200, 30)):
            allowed = 0
            for rank in range(agents):
                budget = UnprovenBudget()
                budget.update(PoolReport(service, 9, 0, 0.0))
                budget.set_rank(rank, agents)
                allowed += budget.allowed_load(0.0, 0, 0.05)
            with self.subTest(service=service, agents=agents):
                self.assertEqual(allowed, max(1, service // 20))


class SurgeTest(unittest.TestCase):
    def test_tenfold_surge_does_not_make_others_late(self):
        # The surge must not use up queue, slots or load bound of the other workspaces.
        controller, rng = Admission(), random.Random(1)
        limits = AdmissionLimits(1.25, 1, running=8, queued=16)
        ends, late, sent = {}, 0, 0
        for step in range(6000):
            now = step * 0.01
            for entry in [t for t, end in ends.items() if end <= now]:
                controller.queue.remove(entry.id)
                controller.service_times.add(entry.request_class, 1.0)
                late += entry.workspace != "surge" and now > entry.deadline_at
                del ends[entry]
            if step % 50 == 0:
                own = controller.queue.total
                controller.pool.update(PoolReport(2 * own, 2, own, now))
            for workspace, rate in (("surge", 30), ("calm", 1.5), ("quiet", 0.5)):
                if rng.random() >= rate * 0.01:
                    continue
                sent += workspace != "surge"
                entry = ticket(step, workspace, at=now, deadline=now + 2.5)
                decision = controller.decide(now, entry, limits)
                if not isinstance(decision, Admitted):
                    late += workspace != "surge"
                    continue
                if decision.displaced is not None:
                    victim = controller.queue.remove(decision.displaced.id)
                    self.assertEqual(victim.workspace, "surge")
                controller.queue.add(entry)
            while (entry := controller.queue.pop(now, limits.running)) is not None:
                ends[entry] = now + rng.uniform(0.5, 1.5)
        self.assertGreater(sent, 80)
        self.assertLessEqual(late, 0.01 * sent)
