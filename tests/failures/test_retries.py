"""Test that the attempts of one request stay bounded over its whole chain."""

from functools import partial

from emulator.sample import BROADCASTER_KEY, CATALOGUE, RIGHTS, TRANSCRIPTS
from tests.common.fleet import DaemonPlan, RequestPlan
from tests.common.scenario import FleetTestCase
from tests.common.waiting import wait_until

SEARCH = "/catalogue/search"
CHAIN = f"{SEARCH}?nested=/rights/lookup%3Fnested%3D/transcripts/read"
RETRY_BUDGET = 2  # of the sample's routes
HOPS = 3
REQUESTS = 20


class RetryTests(FleetTestCase):
    """Send requests three deep while every target cuts its answers short."""

    plans = tuple(
        DaemonPlan(f"{service}-{number}", "ch-west-a", service)
        for service in (CATALOGUE, RIGHTS, TRANSCRIPTS)
        for number in range(3)
    )
    probes = (SEARCH, "/rights/lookup", "/transcripts/read")

    def count_attempts(self, root: str) -> int:
        """Return the runs of a root request and of all its nested calls."""
        runs = self.fleet.count_runs()
        return sum(
            count
            for request_id, count in runs.items()
            if request_id == root or request_id.startswith(f"{root}.")
        )

    def has_run(self, root: str) -> bool:
        """Return whether a root request ran at all."""
        return self.count_attempts(root) > 0

    def break_answers(self, service: str) -> None:
        """Let all targets of a service cut their answers short."""
        for instance, member in self.fleet.members.items():
            if member.plan.service == service:
                self.fleet.set_target_faults(instance, {"truncate_answers": True})
                self.addCleanup(
                    self.fleet.set_target_faults, instance, {"truncate_answers": False}
                )

    def test_failing_leaf_is_tried_within_the_budget(self) -> None:
        self.break_answers(TRANSCRIPTS)
        self.check_attempts(HOPS + RETRY_BUDGET)

    def test_chain_that_fails_everywhere_does_not_multiply(self) -> None:
        for service in (CATALOGUE, RIGHTS, TRANSCRIPTS):
            self.break_answers(service)
        # Each attempt at the root runs the chain once; retries within the chain come
        # out of the same budget, so that all hops together make no more.
        self.check_attempts(HOPS * (1 + RETRY_BUDGET))

    def check_attempts(self, highest: int) -> None:
        """Check the attempts of a number of requests against a bound."""
        for _ in range(REQUESTS):
            plan = RequestPlan(CHAIN, BROADCASTER_KEY)
            self.fleet.send(f"{CATALOGUE}-0", plan)
            wait_until(partial(self.has_run, plan.request_id), "the request ran")
            self.assertLessEqual(self.count_attempts(plan.request_id), highest)
