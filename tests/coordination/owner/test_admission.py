"""
Test which calls are admitted, queued and refused.

An unfair or unbounded queue would let one organisation, or calls of low importance,
starve the others while the target is at its limit.
"""

import threading
from unittest import TestCase

from result import Ok

from corianderhold.clock import SystemClock
from corianderhold.coordination.owner.queue import FairQueue, Waiter
from corianderhold.ids import OrganisationId
from corianderhold.protocol.verdict import Reason
from tests.common.waiting import wait_until
from tests.coordination.owner.case import AdmissionCase


def make_waiter(importance: int, organisation: str) -> Waiter:
    """Return a waiter with a deadline far in the future."""
    return Waiter(importance, OrganisationId(organisation), 1e9)


class FairQueueTests(TestCase):
    """Check the order in which waiters are served and evicted."""

    def test_more_important_goes_first(self) -> None:
        queue = FairQueue()
        low, high = make_waiter(0, "a"), make_waiter(3, "a")
        queue.push(low, 1.0)
        queue.push(high, 1.0)
        self.assertIs(queue.find_last(), low)
        self.assertEqual([queue.pop(), queue.pop(), queue.pop()], [high, low, None])

    def test_organisations_share_by_weight_whatever_their_demand(self) -> None:
        queue = FairQueue()
        for _ in range(40):
            queue.push(make_waiter(1, "greedy"), 1.0)
        for _ in range(20):
            queue.push(make_waiter(1, "modest"), 2.0)
        first = [queue.pop() for _ in range(15)]
        served = [waiter.organisation for waiter in first if waiter is not None]
        self.assertEqual(served.count(OrganisationId("modest")), 10)

    def test_important_calls_are_charged_to_their_organisation(self) -> None:
        queue = FairQueue()
        served: list[str] = []
        for _ in range(40):
            queue.push(make_waiter(3, "warden"), 1.0)
            for name in ("warden", "school", "school"):
                queue.push(make_waiter(1, name), 1.0)
            served += [w.organisation for _ in range(2) if (w := queue.pop())]
        self.assertEqual(served.count("school"), 40)

    def test_evicted_call_costs_its_organisation_nothing(self) -> None:
        queue = FairQueue()
        queue.push(make_waiter(1, "other"), 1.0)
        for _ in range(20):
            queue.push(make_waiter(1, "greedy"), 1.0)
        for _ in range(19):
            queue.evict_last()
        queue.push(make_waiter(1, "greedy"), 1.0)
        queue.push(make_waiter(1, "other"), 1.0)
        served = [waiter.organisation for _ in range(4) if (waiter := queue.pop())]
        self.assertEqual(served, ["other", "greedy", "greedy", "other"])


class AdmissionTests(AdmissionCase):
    """Admit calls on real threads and the system clock."""

    clock = SystemClock()

    def reason(self, name: str) -> Reason:
        return self.outcomes[name].unwrap_err().reason

    def test_full_queue_refuses_with_a_retry_after(self) -> None:
        self.acquire("running", 1)
        threads = [self.queue(f"q{i}", 1) for i in range(2)]
        self.acquire("late", 1)
        refusal = self.outcomes["late"].unwrap_err()
        self.assertEqual(refusal.reason, Reason.QUEUE_FULL)
        self.assertTrue(refusal.not_run)
        self.assertGreater(refusal.retry_after_ms, 0)
        self.assertEqual(self.admission.report_load(False).shed_below, 2)
        for _ in range(3):
            self.release()
        for thread in threads:
            thread.join()
        self.assertEqual(self.admission.report_load(False).in_flight, 0)
        self.assertEqual(self.admission.report_load(False).shed_below, 0)

    def test_important_call_evicts_a_less_important_one(self) -> None:
        self.acquire("running", 1)
        threads = [self.queue(n, 0) for n in ("low1", "low2")]
        threads.append(self.queue("critical", 3))
        wait_until(lambda: "low2" in self.outcomes, "a less important call is evicted")
        self.assertEqual(self.reason("low2"), Reason.SHED)
        self.release()
        wait_until(
            lambda: "critical" in self.outcomes, "the critical call is admitted first"
        )
        self.assertIsInstance(self.outcomes["critical"], Ok)
        self.assertNotIn("low1", self.outcomes)
        self.release()
        self.release()
        for thread in threads:
            thread.join()

    def test_wait_ends_at_the_deadline(self) -> None:
        self.acquire("running", 1)
        self.acquire("short", left_s=0.05)
        self.assertEqual(self.reason("short"), Reason.DEADLINE_PASSED)
        self.assertEqual(self.admission.report_load(False).queued, 0)

    def test_cancelled_call_leaves_the_queue(self) -> None:
        self.acquire("running", 1)
        thread = self.queue("gone", 1)
        self.waiters["gone"].cancel()
        thread.join()
        self.assertEqual(self.reason("gone"), Reason.CANCELLED)
        self.release()
        self.assertEqual(self.admission.report_load(False).in_flight, 0)

    def test_organisation_with_fewer_queued_calls_is_queued_when_full(self) -> None:
        self.acquire("running", 1)
        threads = [self.queue(f"greedy{i}", 1) for i in range(2)]
        modest = threading.Thread(
            target=self.acquire, args=("modest", 1, 30.0, "radio")
        )
        modest.start()
        wait_until(
            lambda: "greedy1" in self.outcomes,
            "a call of the greedy organisation is evicted",
        )
        self.assertEqual(self.reason("greedy1"), Reason.SHED)
        for _ in range(3):
            self.release()
        for thread in (*threads, modest):
            thread.join()
        self.assertIsInstance(self.outcomes["modest"], Ok)
