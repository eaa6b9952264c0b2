"""Test that every fault of the answers is named, all at once."""

import json
import unittest
from contextlib import redirect_stderr, redirect_stdout
from io import StringIO
from pathlib import Path
from tempfile import TemporaryDirectory

from corianderhold.answers.generation import generate_configuration
from corianderhold.answers.options import OPTIONS
from corianderhold.answers.template import write_reference
from corianderhold.cli.answers import check, diff, generate, init
from corianderhold.ids import OrganisationId, Version
from corianderhold.state.configuration.codec import decode_configuration, decode_draft
from corianderhold.state.configuration.delta import apply_delta
from corianderhold.state.configuration.entities import (
    configuration_to_json,
    dump_json,
)
from corianderhold.state.configuration.model import Configuration
from corianderhold.state.configuration.records import EntityKind
from corianderhold.state.keys.issue import grant_key

ROOT = Path(__file__).resolve().parent.parent.parent
EXAMPLES = ROOT / "examples" / "answers"
GOOD = """
[service catalogue]
[organisation radio]
rate = 100
burst = 1000
shares = west-a 1/3, west-b 1/3,
    east-a 1/3
[route record]
service = catalogue
path = /records
methods = GET
importance = high
open_to = all
idempotent = yes
deadline = 800 ms
[route search]
service = catalogue
path = /search
methods = GET, POST
importance = critical
open_to = radio
idempotent = yes
deadline = 2 s
calls = record
"""


class AnswersTest(unittest.TestCase):
    """Give a directory for answers files and run the commands on it."""

    def setUp(self) -> None:
        """Create the directory."""
        directory = TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = Path(directory.name)
        self.output = ""

    def write(self, text: str, name: str = "a.ini") -> Path:
        """Write an answers file."""
        path = self.path / name
        path.write_text(text, encoding="utf-8")
        return path

    def check(self, *paths: Path) -> tuple[int, list[str]]:
        """Return the exit code and the lines of faults, without the directory."""
        with redirect_stderr(StringIO()) as errors, redirect_stdout(StringIO()) as out:
            code = check(*(paths or (self.path,)))
        self.output = out.getvalue()
        lines = errors.getvalue().replace(str(self.path) + "/", "").splitlines()
        return code, lines

    def check_change(self, old: str, new: str) -> list[str]:
        """Return the faults of the good answers with one change."""
        self.assertIn(old, GOOD)
        self.write(GOOD.replace(old, new))
        return self.check()[1][:-1]


class CheckTest(AnswersTest):
    """Test the check of answers."""

    def test_good_answers_have_no_faults(self) -> None:
        self.write(GOOD)
        self.assertEqual(self.check(), (0, []))
        self.assertIn("1 services, 1 organisations, 2 routes", self.output)

    def test_each_option_names_what_was_given_and_what_is_accepted(self) -> None:
        wrong = {
            "max_concurrency": "0",
            "queue_length": "many",
            "retry_ratio": "1.1",
            "rate": "-1",
            "burst": "1e9",
            "shares": "west-a",
            "weight": "nan",
            "service": "no such",
            "path": "/a/../b",
            "methods": "get",
            "importance": "urgent",
            "open_to": "radio school",
            "idempotent": "true",
            "deadline": "2 parsecs",
            "calls": "a/b",
            "retry_budget": "17",
            "isolated": "maybe",
            "isolated_after": "8000 h",
        }
        lines = []
        for kind, options in OPTIONS.items():
            lines.append(f"[{kind.value} x]")
            lines.extend(f"{each.name} = {wrong[each.name]}" for each in options)
        self.write("\n".join(lines))
        code, faults = self.check()
        self.assertEqual(code, 1)
        self.assertEqual(faults[-1], f"{len(wrong)} faults")
        for kind, options in OPTIONS.items():
            for each in options:
                start = f"a.ini: [{kind.value} x] {each.name}: "
                given = f'given "{wrong[each.name]}"; accepted: {each.accepted}'
                matching = [line for line in faults if line.startswith(start + given)]
                self.assertEqual(len(matching), 1, each.name)

    def test_missing_answers_are_all_named(self) -> None:
        self.write("[organisation radio]\nrate =\n[route r]\n")
        faults = self.check()[1]
        required = [
            f"{kind.value} {each.name}"
            for kind, options in OPTIONS.items()
            for each in options
            if each.default is None and kind is not EntityKind.SERVICE
        ]
        self.assertEqual(faults[-1], f"{len(required)} faults")
        self.assertTrue(all("given nothing" in each for each in faults[:-1]))

    def test_faults_of_form_do_not_hide_the_others(self) -> None:
        text = (
            "rate = 1\n[organisation radio]\nrate = x\nrate = 2\n  3\nnonsense\n"
            "burst = 1\nshares = a 1\n[organisation radio]\nburst = 7\n[keys]\n"
            "[DEFAULT]\n[route]\n[route a/b]\n"
            "[service s]\nqueue_len = 1\nname = a\\nb\n"
        )
        self.write(text)
        self.write("[service s]\n", "b.ini")
        code, faults = self.check()
        expected = [
            'a.ini: given "rate = 1"; accepted: [service NAME]',
            'a.ini: [DEFAULT] given "[DEFAULT]"',
            'a.ini: [keys] given "[keys]"',
            'a.ini: [organisation radio] rate: given "rate = 2"; accepted: each option',
            'a.ini: [organisation radio] given "it again"; accepted: each section once',
            'a.ini: [organisation radio] given "nonsense"; accepted: option = answer',
            'a.ini: [organisation radio] rate: given "x"; accepted: a number',
            'a.ini: [route] given "[route]"',
            'a.ini: [route a/b] given "a/b"; accepted: as name',
            'a.ini: [service s] queue_len: given "1"; accepted: only the options',
            'a.ini: [service s] name: given "a\\\\nb"; accepted: only the options',
            'b.ini: [service s] given "it again"; accepted: each section once; it',
        ]
        self.assertEqual((code, len(faults)), (1, len(expected) + 1), faults)
        for line, start in zip(faults, expected, strict=False):
            self.assertTrue(line.startswith(start), line)
        self.assertTrue(any("perhaps queue_length" in each for each in faults))

    def test_unreadable_files_exit_with_2(self) -> None:
        self.assertEqual(self.check()[0], 2)
        self.assertEqual(self.check(self.path / "missing.ini")[0], 2)
        (self.path / "binary.ini").write_bytes(b"\xff\xfe[")
        code, lines = self.check()
        self.assertEqual(code, 2)
        self.assertTrue(lines[0].startswith("binary.ini: can't be read"))


class CrossCheckTest(AnswersTest):
    """Test the checks between sections."""

    def test_unknown_references(self) -> None:
        route = "a.ini: [route search]"
        for old, new, expected in (
            (
                "[service catalogue]",
                "[service other]",
                'service: given "catalogue"; accepted: one of: other',
            ),
            (
                "[organisation radio]",
                "[organisation school]",
                'open_to: given "radio"; accepted: some of: school',
            ),
            (
                "calls = record",
                "calls = gone",
                'calls: given "gone"; accepted: names of routes of this configuration',
            ),
        ):
            self.assertIn(f"{route} {expected}", self.check_change(old, new))

    def test_shares_must_have_a_sum_of_one(self) -> None:
        for old, new, found in (
            ("east-a 1/3", "east-a 30%", "the sum is 0.966667"),
            ("east-a 1/3", "east-a 0.3333333334", "the sum is 1"),
            ("east-a 1/3", "west-a 1/3", "west-a stands twice"),
        ):
            faults = self.check_change(old, new)
            self.assertEqual(len(faults), 1)
            self.assertTrue(faults[0].startswith("a.ini: [organisation radio] shares:"))
            self.assertTrue(faults[0].endswith(found), faults[0])

    def test_deadline_shorter_than_its_callee(self) -> None:
        faults = self.check_change("deadline = 2 s", "deadline = 799 ms")
        expected = (
            'a.ini: [route search] deadline: given "799 ms"; '
            "accepted: at least the 800 ms of its callee record"
        )
        self.assertEqual(faults, [expected])

    def test_idempotent_route_that_calls_one_that_is_not(self) -> None:
        record = GOOD.replace("idempotent = yes", "idempotent = no", 1)
        self.write(record)
        faults = self.check()[1]
        self.assertTrue(faults[0].startswith("a.ini: [route search] idempotent:"))

    def test_method_and_path_of_two_routes(self) -> None:
        faults = self.check_change("path = /records", "path = /search")
        expected = {
            'a.ini: [route record] path: given "GET /search, as route search"',
            'a.ini: [route search] path: given "GET /search, as route record"',
        }
        self.assertEqual({each.split(";")[0] for each in faults}, expected)

    def test_invalid_answer_brings_no_second_fault_elsewhere(self) -> None:
        for old, new in (
            ("deadline = 800 ms", "deadline = long"),
            ("[service catalogue]", "[service catalogue]\nqueue_length = x"),
            ("rate = 100", "rate = x"),
            ("path = /records", "path = records"),
            ("calls = record", "calls = -"),
        ):
            self.assertEqual(len(self.check_change(old, new)), 1)

    def test_example_in_place_of_an_answer_brings_no_fault(self) -> None:
        quick = GOOD.replace("deadline = 2 s", "deadline = 1 s")
        self.write(quick.replace("deadline = 800 ms", "deadline = long"))
        self.assertEqual(self.check()[1][-1], "1 faults")
        shown = GOOD.replace("path = /search", "path = /catalogue/search")
        self.write(shown.replace("path = /records", "path = records"))
        self.assertEqual(self.check()[1][-1], "1 faults")


class GenerateTest(AnswersTest):
    """Test what is generated from answers."""

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
        """Write the configuration in force."""
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

    def test_diff_applied_gives_the_answers(self) -> None:
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
            self.assertEqual(init(path, service=["s"], route=["a", "b"]), 0)
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
