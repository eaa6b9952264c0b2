"""Test the commands that call the administration API."""

import json
from collections.abc import Callable
from contextlib import redirect_stderr, redirect_stdout
from dataclasses import replace
from io import StringIO
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any
from unittest.mock import patch

from corianderhold.cli.const import EXIT_FAILED, EXIT_OK, EXIT_UNKNOWN, EXIT_USAGE
from corianderhold.cli.fleet import drain, status
from corianderhold.cli.keys import grant, rotate, withdraw
from corianderhold.cli.publish import explain, history, publish, show
from corianderhold.ids import OrganisationId, Version
from corianderhold.state.configuration.codec import encode_draft
from corianderhold.state.configuration.records import Delta, Draft
from tests.admin.case import TOKEN, AdminTestCase
from tests.common.changes import RADIO, make_text
from tests.coordination.configuration.case import limit_concurrency


class CommandTests(AdminTestCase):
    """Run the commands against a real API and check exit codes and output."""

    def setUp(self) -> None:
        super().setUp()
        self.url = f"http://{self.address}"
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.token_file = self.write("token", TOKEN + "\n")
        self.access = {"url": self.url, "token_file": self.token_file}
        # The daemon uses a fake clock, so the command must not sleep in real time.
        self.sleep_mock = patch("corianderhold.cli.publish.time.sleep").start()
        self.addCleanup(patch.stopall)

    def write(self, name: str, text: str) -> Path:
        path = self.folder / name
        path.write_text(text)
        return path

    def write_draft(self, base: int, delta: Delta) -> Path:
        return self.write("draft.json", encode_draft(Draft(Version(base), delta)))

    def run_command(
        self, command: Callable[..., int], *args: object, **options: object
    ) -> tuple[int, Any]:
        """Return the exit code and the JSON output, or the text on stderr."""
        output, errors = StringIO(), StringIO()
        with redirect_stdout(output), redirect_stderr(errors):
            exit_code = command(*args, **(self.access | options))
        text = output.getvalue()
        return exit_code, json.loads(text) if text else errors.getvalue()

    def test_publish_show_history_and_explain(self) -> None:
        draft = self.write_draft(1, limit_concurrency(5))
        code, result = self.run_command(publish, draft, author="ada", note="slots")
        self.assertEqual((code, result["version"]), (EXIT_OK, 2))
        _, shown = self.run_command(show)
        self.assertEqual(shown["version"], 2)
        _, changes = self.run_command(history, limit=1)
        self.assertEqual(changes["changes"][0]["note"], "slots")
        code, explained = self.run_command(explain, result["change_id"])
        self.assertEqual((code, explained["outcome"]), (EXIT_OK, "accepted"))

    def test_draft_that_lost_a_race_is_rebased_unless_entities_conflict(self) -> None:
        base = self.write("base.json", json.dumps(self.run_command(show)[1]))
        self.append_changes(1, 1)
        other = replace(RADIO, name=OrganisationId("other"))
        draft = self.write_draft(1, Delta(organisations=(other,)))
        code, result = self.run_command(publish, draft, author="ada")
        self.assertEqual((code, result["reason"]), (EXIT_FAILED, "lost_race"))
        code, result = self.run_command(publish, draft, author="ada", base=base)
        self.assertEqual((code, result["version"]), (EXIT_OK, 3))
        same = self.write_draft(1, limit_concurrency(9))
        code, text = self.run_command(publish, same, author="ada", base=base)
        self.assertEqual(code, EXIT_FAILED)
        self.assertIn("service catalogue", text)

    def test_unknown_outcome_has_its_own_exit_code_and_is_resolved_by_id(self) -> None:
        self.way.hold_appends = True
        draft = self.write_draft(1, limit_concurrency(5))
        code, result = self.run_command(publish, draft, author="ada", change_id="x")
        self.assertEqual((code, result["outcome"]), (EXIT_UNKNOWN, "unknown"))
        self.way.release()
        code, result = self.run_command(publish, draft, author="ada", change_id="x")
        self.assertEqual((code, result["version"]), (EXIT_OK, 2))
        self.settle(2)

    def test_keys_are_granted_rotated_and_withdrawn(self) -> None:
        code, granted = self.run_command(grant, "radio", author="ada")
        self.assertEqual(code, EXIT_OK)
        self.assertIn("key", granted)
        code, rotated = self.run_command(
            rotate, granted["key_id"], author="ada", overlap_s=60.0
        )
        self.assertEqual(code, EXIT_OK)
        code, _ = self.run_command(withdraw, rotated["key_id"], author="ada")
        self.assertEqual(code, EXIT_OK)
        code, text = self.run_command(withdraw, rotated["key_id"], author="ada")
        self.assertEqual((code, text), (EXIT_FAILED, "409: key_withdrawn\n"))

    def test_status_and_drain(self) -> None:
        self.assertEqual(self.run_command(status)[1]["instance"], "10.0.0.0")
        self.assertEqual(self.run_command(drain)[0], EXIT_OK)
        self.assertTrue(self.drain.draining)

    def test_unusable_arguments_give_an_exit_code(self) -> None:
        draft = self.write_draft(1, limit_concurrency(5))
        cases: list[tuple[dict[str, object], int]] = [
            ({"token_file": self.folder / "none"}, EXIT_USAGE),
            ({"token_file": self.write("empty", "")}, EXIT_USAGE),
            ({"base": draft}, EXIT_USAGE),
            ({"token_file": self.write("wrong", "wrong")}, EXIT_FAILED),
            ({"author": ""}, EXIT_FAILED),
            ({"url": "http://127.0.0.1:1"}, EXIT_FAILED),
        ]
        for options, expected in cases:
            code, _ = self.run_command(publish, draft, **({"author": "a"} | options))
            self.assertEqual(code, expected, options)
        nothing = self.write("nothing.json", "{}")
        self.assertEqual(self.run_command(publish, nothing, author="a")[0], EXIT_USAGE)
        self.append(make_text("c2", 1, limit_concurrency(2)))
        self.settle()
