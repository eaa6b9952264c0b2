"""Share a fleet between the tests of one class and check its verdicts."""

from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import ClassVar
from unittest import TestCase

from emulator.sample import BROADCASTER_KEY, build_records
from tests.common.fleet import DAEMON_MODULE, DaemonPlan, Fleet, RequestPlan
from tests.common.processes import Program
from tests.common.waiting import wait_until
from tests.common.web import Outcome

SENDERS = 16

Sent = tuple[RequestPlan, Outcome]


class FleetTestCase(TestCase):
    """Start the fleet of `plans` once per class and stop it after its tests."""

    plans: ClassVar[Sequence[DaemonPlan]] = ()
    probes: ClassVar[Sequence[str]] = ()
    entry_slots: ClassVar[str] = ""
    daemon_program: ClassVar[Program] = DAEMON_MODULE
    fleet: ClassVar[Fleet]

    @classmethod
    def setUpClass(cls) -> None:
        """Start the fleet and wait until each entry serves each probe path."""
        directory = TemporaryDirectory(prefix="corianderhold-")
        cls.addClassCleanup(directory.cleanup)
        cls.fleet = Fleet(
            cls.plans, Path(directory.name), cls.entry_slots, cls.daemon_program
        )
        cls.addClassCleanup(cls.fleet.stop)
        cls.fleet.start(build_records())
        cls.wait_until_served()

    @classmethod
    def wait_until_served(cls) -> None:
        """Wait until each daemon serves each probe path."""
        for path in cls.probes:
            plan = RequestPlan(path, BROADCASTER_KEY)
            cls.fleet.wait_until_served(list(cls.fleet.members), plan)

    def setUp(self) -> None:
        """Create the thread pool for requests in the background."""
        self._senders = ThreadPoolExecutor(SENDERS)
        self.addCleanup(self._senders.shutdown)

    def send(self, entry: str, plan: RequestPlan) -> Sent:
        """Send one request and return it with its outcome."""
        return plan, self.fleet.send(entry, plan)

    def send_in_background(self, entry: str, plan: RequestPlan) -> Future[Sent]:
        """Send one request on another thread."""
        return self._senders.submit(self.send, entry, plan)

    def send_until_whole(
        self, entry: str, make_plan: Callable[[], RequestPlan]
    ) -> list[Sent]:
        """Send new requests until one gets a whole response; return all of them."""
        sent: list[Sent] = []

        def is_whole() -> bool:
            sent.append(self.send(entry, make_plan()))
            return sent[-1][1].is_whole

        wait_until(is_whole, f"{entry} gives a whole response")
        return sent

    def check_verdicts(self, sent: Iterable[Sent]) -> None:
        """Check each verdict against the executions counted at the targets."""
        runs = self.fleet.count_runs()
        for plan, outcome in sent:
            count = runs[plan.request_id]
            if plan.method != "GET":
                self.assertLessEqual(
                    count, 1, f"executed more than once: {plan} {outcome}"
                )
            if outcome.verdict == "not_run":
                self.assertEqual(
                    count, 0, f"verdict not_run, but executed: {plan} {outcome}"
                )
            if outcome.is_whole:
                self.assertGreaterEqual(
                    count, 1, f"whole response, but never executed: {plan} {outcome}"
                )
                self.check_own_answer(plan, outcome)

    def check_own_answer(self, plan: RequestPlan, outcome: Outcome) -> None:
        """Check that a response carries the id of its own request."""
        answered = outcome.headers.get("X-Emulator-Request-Id")
        self.assertEqual(answered, plan.request_id, "response of another request")


def plan_ingest(query: str = "") -> RequestPlan:
    """Plan a non-idempotent request with a new id."""
    return RequestPlan(f"/catalogue/ingest{query}", BROADCASTER_KEY, "POST")
