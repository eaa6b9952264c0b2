"""
Test that the retries of a request are bounded over its whole call chain.

Without a shared retry budget, each hop would retry on its own and the attempts would
multiply with the depth of the chain.
"""

from functools import partial

from emulator.sample import BROADCASTER_KEY, CATALOGUE, RIGHTS, TRANSCRIPTS
from tests.common.fleet import DaemonPlan, RequestPlan
from tests.common.scenario import FleetTestCase
from tests.common.waiting import wait_until

SEARCH = "/catalogue/search"
CHAIN = f"{SEARCH}?nested=/rights/lookup%3Fnested%3D/transcripts/read"
RETRY_BUDGET = 2  # as set for the routes of the sample configuration
HOPS = 3
REQUESTS = 20


class RetryTests(FleetTestCase):
    """Send requests with nested calls, three hops deep, to failing targets."""

    plans = tuple(
        DaemonPlan(f"{service}-{number}", "ch-west-a", service)
        for service in (CATALOGUE, RIGHTS, TRANSCRIPTS)
        for number in range(3)
    )
    probes = (SEARCH, "/rights/lookup", "/transcripts/read")

    def count_attempts(self, root: str) -> int:
        """Return the executions of a root request and all its nested calls."""
        runs = self.fleet.count_runs()
        return sum(
            count
            for request_id, count in runs.items()
            if request_id == root or request_id.startswith(f"{root}.")
        )

    def has_run(self, root: str) -> bool:
        """Return whether a root request was executed at all."""
        return self.count_attempts(root) > 0

    def break_answers(self, service: str) -> None:
        """Make all targets of a service truncate their responses."""
        for instance, member in self.fleet.members.items():
            if member.plan.service == service:
                self.fleet.set_target_faults(instance, {"truncate_answers": True})
                self.addCleanup(
                    self.fleet.set_target_faults, instance, {"truncate_answers": False}
                )

    def test_failing_leaf_is_retried_within_the_budget(self) -> None:
        self.break_answers(TRANSCRIPTS)
        self.check_attempts(HOPS + RETRY_BUDGET)

    def test_chain_that_fails_at_all_hops_does_not_multiply_retries(self) -> None:
        for service in (CATALOGUE, RIGHTS, TRANSCRIPTS):
            self.break_answers(service)
        # Each attempt at the root executes the chain once. Retries within the chain
        # use the same budget, so all hops together make no more attempts.
        self.check_attempts(HOPS * (1 + RETRY_BUDGET))

    def check_attempts(self, highest: int) -> None:
        """Check the attempts of a number of requests against a bound."""
        for _ in range(REQUESTS):
            plan = RequestPlan(CHAIN, BROADCASTER_KEY)
            self.fleet.send(f"{CATALOGUE}-0", plan)
            wait_until(
                partial(self.has_run, plan.request_id), "the request was executed"
            )
            self.assertLessEqual(self.count_attempts(plan.request_id), highest)
