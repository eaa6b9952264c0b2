"""Provide a directory for answers files and run the check command on it."""

from contextlib import redirect_stderr, redirect_stdout
from io import StringIO
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

from corianderhold.cli.answers import check

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


class AnswersTest(TestCase):
    """Provide a temporary directory for answers files and run the check on it."""

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
        """Return the exit code and the reported faults, with paths made relative."""
        with redirect_stderr(StringIO()) as errors, redirect_stdout(StringIO()) as out:
            code = check(*(paths or (self.path,)))
        self.output = out.getvalue()
        lines = errors.getvalue().replace(str(self.path) + "/", "").splitlines()
        return code, lines

    def check_change(self, old: str, new: str) -> list[str]:
        """Return the faults reported for the valid answers with one text replaced."""
        self.assertIn(old, GOOD)
        self.write(GOOD.replace(old, new))
        return self.check()[1][:-1]
