"""Test that the commands of the operations page find why a request failed."""

import re
import subprocess
from functools import partial
from pathlib import Path

from emulator.sample import BROADCASTER_KEY
from tests.common.fleet import DaemonPlan, RequestPlan
from tests.common.limited import LIMITED_KEY, build_limited
from tests.common.processes import ROOT
from tests.common.scenario import FleetTestCase, plan_ingest
from tests.common.waiting import WAIT_LIMIT_S, wait_until
from tests.common.web import Outcome

PAGE = ROOT / "docs" / "OPERATIONS.md"
ENTRY = "entry"
OWNER = "owner"
SLOW = "/catalogue/search?work_ms=1500"
FLOOD = 40
SECTION = re.compile(r"^## (.*?)\n(.*?)(?=^## |\Z)", re.MULTILINE | re.DOTALL)
COMMANDS = re.compile(r"^```sh\n(.*?)^```", re.MULTILINE | re.DOTALL)


def read_commands(title: str) -> str:
    """Return the commands in the page's section with this title."""
    sections: dict[str, str] = dict(SECTION.findall(PAGE.read_text()))
    return "\n".join(COMMANDS.findall(sections[title]))


class OperationsTests(FleetTestCase):
    """Fail requests in three ways and find each cause by the request id alone."""

    plans = (
        DaemonPlan(ENTRY, "ch-west-a"),
        DaemonPlan(OWNER, "ch-west-b", service="catalogue", slots=2),
    )
    probes = ("/catalogue/search",)

    def run_commands(self, title: str, request_id: str) -> str:
        """Run the commands of a section for a request and return their output."""
        member = self.fleet.members[ENTRY]
        environment = {
            "PATH": "/usr/bin:/bin:/usr/local/bin",
            "LOGS": str(Path(self.fleet.get_settings_path(ENTRY)).parent),
            "ID": request_id,
            "ADMIN": member.get_address("admin"),
        }
        done = subprocess.run(
            ["bash", "-c", read_commands(title)],
            env=environment,
            capture_output=True,
            text=True,
            check=False,
        )
        return done.stdout + done.stderr

    def find(self, title: str, request_id: str, *patterns: str) -> None:
        """Wait until the commands print lines that match all patterns."""
        printed = ""

        def is_found() -> bool:
            nonlocal printed
            printed = self.run_commands(title, request_id)
            return all(re.search(pattern, printed) for pattern in patterns)

        try:
            wait_until(is_found, f"the commands of {title!r} find the cause")
        except AssertionError as error:
            raise AssertionError(f"{error}: {printed}") from error

    def test_refused_by_rate(self) -> None:
        self.fleet.publish(build_limited(0.1, 1.0))
        answers: dict[str, Outcome] = {}

        def is_refused() -> bool:
            plan = RequestPlan("/catalogue/search", LIMITED_KEY)
            answers[plan.request_id] = self.send(ENTRY, plan)[1]
            return answers[plan.request_id].status == 429

        wait_until(is_refused, "a request over the rate")
        request_id = list(answers)[-1]
        self.find(
            "Refused by rate",
            request_id,
            "event=rate_refused .*organisation=limited .*configuration=2",
            "reason=rate_exceeded",
            "corianderhold_request_refused_rate_exceeded_total [1-9]",
        )

    def test_shed_by_a_full_owner(self) -> None:
        plans = [RequestPlan(SLOW, BROADCASTER_KEY) for _ in range(FLOOD)]
        futures = [
            self._senders.submit(partial(self.send, ENTRY, plan)) for plan in plans
        ]
        sent = [future.result(WAIT_LIMIT_S) for future in futures]
        refused = [plan for plan, outcome in sent if outcome.status == 503]
        self.assertTrue(refused, "no request was refused")
        self.find(
            "Shed by a full owner",
            refused[0].request_id,
            "event=request_admitted .*route=search",
            "event=call_routed .*(owner=owner|pushed_back=True)",
            "event=request_refused .*verdict=not_run",
            "corianderhold_request_refused_[a-z_]+_total [1-9]",
        )

    def test_lost_with_its_owner(self) -> None:
        plan = plan_ingest("?work_ms=1500")
        future = self.send_in_background(ENTRY, plan)
        entry, daemon = self.fleet.get_daemon(ENTRY), self.fleet.get_daemon(OWNER)
        admission = re.compile(f"(call=\\w+) request={plan.request_id}")
        call = entry.wait_for_line(admission).group(1)
        daemon.wait_until_logged(re.compile(f"event=call_dispatched {call}"))
        daemon.kill()
        self.assertEqual(future.result(WAIT_LIMIT_S)[1].verdict, "may_have_run")
        self.find(
            "Lost with its owner",
            plan.request_id,
            "event=call_routed .*owner=owner .*load_ages_s=([0-9.]+|inf) ",
            f"event=call_dispatched .*request={plan.request_id} .*target=",
            "event=request_refused .*verdict=may_have_run",
            "event=member_changed instance=owner .*state=(suspect|dead)",
        )
        self.fleet.start_daemon(OWNER)
        self.send_until_whole(ENTRY, plan_ingest)
