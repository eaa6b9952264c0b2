"""Test the configuration generated from answers, and the example files."""

import json
from contextlib import redirect_stderr, redirect_stdout
from io import StringIO
from pathlib import Path

from corianderhold.answers.generation import generate_configuration
from corianderhold.answers.options import OPTIONS
from corianderhold.answers.template import write_reference
from corianderhold.cli.answers import diff, generate, init
from corianderhold.ids import OrganisationId, ServiceName, Version
from corianderhold.state.configuration.codec import decode_configuration, decode_draft
from corianderhold.state.configuration.delta import apply_delta
from corianderhold.state.configuration.entities import (
    configuration_to_json,
    dump_json,
)
from corianderhold.state.configuration.model import (
    CallerLimits,
    Configuration,
    Importance,
    TrafficSplit,
)
from corianderhold.state.keys.issue import grant_key
from tests.common.answers import GOOD, AnswersTest

ROOT = Path(__file__).resolve().parent.parent.parent
EXAMPLES = ROOT / "examples" / "answers"


class GenerateTest(AnswersTest):
    """Test the generate, diff and init commands."""

    def run_command(
        self, command: str, *paths: Path, partial: bool = False
    ) -> tuple[int, str]:
        """Return the exit code and the standard output of generate or diff."""
        with redirect_stdout(StringIO()) as out, redirect_stderr(StringIO()) as errors:
            if command == "generate":
                code = generate(*paths)
            else:
                code = diff(*paths, partial=partial)
        self.output = errors.getvalue()
        return code, out.getvalue()

    def write_configuration(self, configuration: Configuration) -> Path:
        """Write a file with the configuration in force."""
        return self.write(dump_json(configuration_to_json(configuration)), "now.json")

    def test_example_deployments_are_free_of_faults(self) -> None:
        for name in ("archive", "counters"):
            self.assertEqual(self.check(EXAMPLES / name), (0, []))
            code, text = self.run_command("generate", EXAMPLES / name)
            self.assertEqual(code, 0)
            generated = decode_configuration(text).unwrap()
            expected = generate_configuration([EXAMPLES / name]).unwrap()
            self.assertEqual(generated, expected)
            self.assertEqual(len(generated.organisations), 8)
            self.assertEqual(len(generated.services), 4)

    def test_applying_the_diff_yields_the_answers(self) -> None:
        now = generate_configuration([EXAMPLES / "archive"]).unwrap()
        organisation = OrganisationId("radio-regional")
        granted = grant_key(now, organisation, 0.0).unwrap()
        now = apply_delta(now, granted.delta).unwrap()
        self.write(GOOD)
        code, text = self.run_command("diff", self.write_configuration(now), self.path)
        self.assertEqual(code, 0)
        draft = decode_draft(text).unwrap()
        self.assertEqual(draft.base_version, 1)
        self.assertEqual(draft.delta.removed_keys, (granted.key.key_id,))
        wanted = generate_configuration([self.path]).unwrap()
        after = apply_delta(now, draft.delta).unwrap()
        self.assertEqual(after.routes, wanted.routes)
        self.assertEqual(after.services, wanted.services)
        self.assertEqual(after.organisations, wanted.organisations)

    def test_every_answer_is_in_the_configuration(self) -> None:
        text = GOOD + "host = a.example\ntarget_latency = 300 ms\n"
        text = text.replace("[service catalogue]", "[service catalogue]\n[service new]")
        text = text.replace("open_to = radio", "open_to = all\nanonymous = yes")
        text = text.replace("GET, POST", "any").replace("/search", "/search/")
        text = text.replace("catalogue\npath = /s", "catalogue 9, new 1\npath = /s")
        text = text.replace("rate = 100", "rate = 0\nimportance = bulk")
        text += "[service other]\nmax_connections = 600\n"
        text += "[limits callers]\nheader_bytes = 8192\nbody_bytes = 1000\n"
        text += "header_timeout = 2500 ms\nidle_timeout = 30 s\n"
        found = generate_configuration([self.write(text)]).unwrap()
        splits = (
            TrafficSplit(ServiceName("catalogue"), 9),
            TrafficSplit(ServiceName("new"), 1),
        )
        route = found.routes[-1]
        self.assertEqual((route.service, route.splits), ("", splits))
        self.assertEqual((route.host, route.methods), ("a.example", frozenset()))
        self.assertEqual((route.anonymous, route.target_latency_ms), (True, 300))
        self.assertEqual(route.path_prefix, "/search/")
        radio = found.organisations[OrganisationId("radio")]
        self.assertEqual((radio.rate, radio.importance), (0, Importance.BULK))
        connections = [each.max_connections for each in found.services.values()]
        self.assertEqual(connections, [None, None, 600])
        self.assertEqual(found.limits, CallerLimits(8192, 1000, 2.5, 30.0))
        now = self.write_configuration(found)
        _, text = self.run_command("diff", now, self.write(GOOD))
        back = decode_draft(text).unwrap().delta
        self.assertEqual(back.limits, CallerLimits())

    def test_partial_diff_of_a_new_team_removes_nothing(self) -> None:
        now = generate_configuration([EXAMPLES / "archive"]).unwrap()
        current = self.write_configuration(now)
        team = GOOD.replace("[service catalogue]", "[service mine]")
        team = team.replace("= catalogue", "= mine")
        answers = self.write(team)
        code, text = self.run_command("diff", current, answers, partial=True)
        self.assertEqual(code, 0, self.output)
        draft = decode_draft(text).unwrap()
        self.assertEqual(json.loads(text)["removed"], {})
        self.assertEqual(len(draft.delta.routes), 2)
        broken = "[route rights.consent]\nservice = rights\npath = /rights/consent\n"
        broken += "methods = GET\nimportance = critical\nopen_to = all\n"
        answers = self.write(broken + "idempotent = yes\ndeadline = 10 s\n")
        code, text = self.run_command("diff", current, answers, partial=True)
        self.assertEqual((code, text), (1, ""))
        line = "configuration in force: [route catalogue.search] deadline: "
        self.assertIn(line, self.output)

    def test_diff_of_the_same_answers_is_empty(self) -> None:
        now = generate_configuration([EXAMPLES / "counters"]).unwrap()
        now = Configuration(Version(7), now.services, now.routes, now.organisations)
        path = self.write_configuration(now)
        _, text = self.run_command("diff", path, EXAMPLES / "counters")
        self.assertEqual(
            json.loads(text), {"base_version": 7, "removed": {}, "set": {}}
        )

    def test_exit_codes_of_generate_and_diff(self) -> None:
        bad = self.write("[service s]\nqueue_length = x")
        good = self.write(GOOD, "good.ini")
        self.assertEqual(self.run_command("generate", bad), (1, ""))
        now = self.write_configuration(Configuration(Version(0)))
        self.assertEqual(self.run_command("diff", now, bad), (1, ""))
        self.assertEqual(self.run_command("diff", good, good), (2, ""))
        self.assertEqual(self.run_command("diff", self.path / "no", good), (2, ""))

    def test_init_asks_every_question_and_never_overwrites(self) -> None:
        path = self.path / "new.ini"
        with redirect_stdout(StringIO()), redirect_stderr(StringIO()):
            self.assertEqual(
                init(path, service=["s"], route=["a", "b"], limits=True), 0
            )
            self.assertEqual(init(path), 2)
            self.assertEqual(init(self.path / "x.ini", route=["a/b"]), 2)
        faults = self.check(path)[1]
        self.assertTrue(all("given nothing" in each for each in faults[:-1]))
        self.assertEqual(faults[-1], "14 faults")

    def test_reference_page_has_the_options_of_this_release(self) -> None:
        page = (ROOT / "docs" / "operators" / "answers.md").read_text("utf-8")
        self.assertIn(write_reference(), page)

    def test_examples_of_options_are_accepted(self) -> None:
        for options in OPTIONS.values():
            for each in options:
                each.parse(each.example)
                if each.default is not None:
                    each.parse(each.default)
