"""Test that the administration API is loaded only on demand."""

import subprocess
import sys
from unittest import TestCase

LIST_MODULES = "import sys, corianderhold.cli.serve; print(*sys.modules)"


class LoadTests(TestCase):
    """Check which modules a daemon imports before its first request."""

    def test_daemon_starts_without_cherrypy(self) -> None:
        command = [sys.executable, "-c", LIST_MODULES]
        result = subprocess.run(command, capture_output=True, timeout=30, check=True)
        loaded = set(result.stdout.decode().split())
        self.assertIn("corianderhold.admin.application", loaded)
        self.assertEqual(loaded & {"cherrypy", "corianderhold.admin.api"}, set())
