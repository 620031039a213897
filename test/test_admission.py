import random
import unittest

from heatherswitch.fleet.admission import (
    Admission,
    AdmissionLimits,
    Admitted,
    PoolMean,
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
    made = Admission()
    made.pool.update(PoolReport(total, agents, 0, at))
    return made


def fill(made, tickets, running=0):
    for entry in tickets:
        made.queue.add(entry)
    for _ in range(running):
        made.queue.pop(0.0, running)


class PoolMeanTest(unittest.TestCase):
    def test_bound_uses_own_present_load(self):
        # Guards against the agent's own growth being missing from the mean.
        mean = PoolMean()
        mean.update(PoolReport(total=6, agents=3, own=2, at=0.0))
        self.assertEqual(mean.bound(1.0, 5, 1.25, 1), 4)

    def test_stale_report_of_a_busy_pool_does_not_raise_the_bound(self):
        # Guards against P1 being broken after the others' load has ended.
        mean = PoolMean()
        mean.update(PoolReport(total=60, agents=3, own=0, at=0.0))
        self.assertGreater(mean.bound(1.0, 2, 1.25, 1), 20)
        self.assertEqual(mean.bound(5.0, 2, 1.25, 1), 1)

    def test_bound_allows_for_load_that_may_have_ended(self):
        # Guards against P1 broken in a small pool by a report some 100 ms old.
        mean = PoolMean()
        mean.update(PoolReport(total=9, agents=6, own=2, at=0.0))
        self.assertEqual(mean.bound(0.0, 3, 1.25, 1, service_s=0.5), 3)
        self.assertEqual(mean.bound(0.4, 3, 1.25, 1, service_s=0.5), 2)

    def test_only_a_fresher_observation_replaces_the_report(self):
        # Guards against a late report reviving a load that has ended.
        mean = PoolMean()
        mean.update(PoolReport(total=4, agents=2, own=0, at=1.0))
        mean.update(PoolReport(total=90, agents=2, own=0, at=0.5))
        self.assertEqual(mean.total(1.1, 0), 4)

    def test_idle_pool_takes_its_first_request(self):
        # Guards against a pool that never starts because its mean is zero.
        self.assertEqual(PoolMean().bound(0.0, 1, 1.25, 0), 1)


class FairQueueTest(unittest.TestCase):
    def test_surging_workspace_does_not_make_others_wait(self):
        # Guards against arrival order letting a surge take every next slot.
        queue = FairQueue()
        for number in range(20):
            queue.add(ticket(number, "surge"))
        queue.add(ticket(0, "other", at=1.0))
        started = [queue.pop(1.0, 4).workspace for _ in range(3)]
        self.assertIn("other", started)

    def test_share_weighs_the_order(self):
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
        # Guards against long requests of one workspace holding every slot.
        queue = FairQueue()
        queue.note_arrival(ticket(0, "other"))
        for number in range(20):
            queue.add(ticket(number, "surge"))
        while queue.pop(1.0, 16) is not None:
            pass
        self.assertEqual(queue.running, 14)
        queue.add(ticket(1, "other", at=2.0))
        self.assertEqual(queue.pop(2.0, 16).workspace, "other")


class AdmissionTest(unittest.TestCase):
    def reason(self, made, entry, limits=LIMITS, now=0.0):
        return made.decide(now, entry, limits).reason

    def test_load_bound_refuses(self):
        made = admission(total=0, agents=2)
        fill(made, [ticket(n) for n in range(2)], running=2)
        self.assertEqual(self.reason(made, ticket(9)), Reason.OVER_LOAD_BOUND)

    def test_cold_server_queues_nothing(self):
        # Guards against work waiting at a server that cannot take it.
        made = admission()
        cold = AdmissionLimits(1.25, 1, running=2, queued=8, cold=True)
        fill(made, [ticket(n) for n in range(2)], running=2)
        self.assertEqual(self.reason(made, ticket(9), cold), Reason.COLD_START)

    def test_queue_is_bounded_and_other_workspace_takes_a_place(self):
        # Guards against a surge filling the queue for everyone else.
        made = admission()
        fill(made, [ticket(n, "surge") for n in range(12)], running=4)
        self.assertEqual(self.reason(made, ticket(99, "surge")), Reason.QUEUE_FULL)
        decision = made.decide(0.0, ticket(1, "other"), LIMITS)
        self.assertEqual(decision.displaced.workspace, "surge")
        self.assertEqual(self.reason(made, ticket(99, "surge")), Reason.FAIR_SHARE)

    def test_deadline_that_cannot_be_met_is_refused_early(self):
        # Guards against work that is started too late to be of use.
        made = admission()
        made.times.add("chat", 2.0)
        fill(made, [ticket(n) for n in range(8)], running=4)
        late = made.decide(0.0, ticket(9, deadline=4.0), LIMITS)
        self.assertEqual(late.reason, Reason.DEADLINE)
        self.assertEqual(late.retry_after_ms, 2500)
        self.assertEqual(made.decide(0.0, ticket(9, deadline=5.0), LIMITS), Admitted())

    def test_unproven_version_takes_at_least_one_request(self):
        made = admission(total=40, agents=2)
        limits = AdmissionLimits(1.25, 1, 32, 8, unproven_share=0.05)
        self.assertEqual(made.decide(0.0, ticket(1), limits), Admitted())
        fill(made, [ticket(n) for n in range(2)], running=2)
        self.assertEqual(self.reason(made, ticket(9), limits), Reason.UNPROVEN_SHARE)

    def test_agents_of_an_unproven_version_share_one_budget(self):
        # Guards against P4: each of several agents taking the whole share, or a
        # part of its own version's load only.
        for service, agents in ((0, 3), (39, 3), (60, 3), (200, 4), (200, 30)):
            allowed = 0
            for rank in range(agents):
                budget = UnprovenBudget()
                budget.update(PoolReport(service, 9, 0, 0.0))
                budget.place(rank, agents)
                allowed += budget.allowed(0.0, 0, 0.05)
            with self.subTest(service=service, agents=agents):
                self.assertEqual(allowed, max(1, service // 20))


class SurgeTest(unittest.TestCase):
    def test_tenfold_surge_does_not_make_others_late(self):
        # Guards against a surge using up queue, slots or load bound of the others.
        made, rng = Admission(), random.Random(1)
        limits = AdmissionLimits(1.25, 1, running=8, queued=16)
        ends, late, sent = {}, 0, 0
        for step in range(6000):
            now = step * 0.01
            for entry in [t for t, end in ends.items() if end <= now]:
                made.queue.remove(entry.id)
                made.times.add(entry.request_class, 1.0)
                late += entry.workspace != "surge" and now > entry.deadline_at
                del ends[entry]
            if step % 50 == 0:
                own = made.queue.total
                made.pool.update(PoolReport(2 * own, 2, own, now))
            for workspace, rate in (("surge", 30), ("calm", 1.5), ("quiet", 0.5)):
                if rng.random() >= rate * 0.01:
                    continue
                sent += workspace != "surge"
                entry = ticket(step, workspace, at=now, deadline=now + 2.5)
                decision = made.decide(now, entry, limits)
                if not isinstance(decision, Admitted):
                    late += workspace != "surge"
                    continue
                if decision.displaced is not None:
                    victim = made.queue.remove(decision.displaced.id)
                    self.assertEqual(victim.workspace, "surge")
                made.queue.add(entry)
            while (entry := made.queue.pop(now, limits.running)) is not None:
                ends[entry] = now + rng.uniform(0.5, 1.5)
        self.assertGreater(sent, 80)
        self.assertLessEqual(late, 0.01 * sent)
