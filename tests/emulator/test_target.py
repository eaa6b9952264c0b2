"""Test the emulated target."""

from unittest import TestCase

import urllib3

from emulator.nested import NestedCaller
from emulator.pattern import matches_pattern
from emulator.target import Distribution, ServiceTimes, Target
from emulator.web import WebServer

UNUSED_ADDRESS = "127.0.0.1:9"
SIZE_BYTES = 200_000


class TargetTests(TestCase):
    """Send requests to a target over HTTP."""

    def setUp(self) -> None:
        times = ServiceTimes(0.0, Distribution.CONSTANT, seed=1)
        nested = NestedCaller(UNUSED_ADDRESS)
        server = WebServer("target", "127.0.0.1", 0, 4)
        server.bind(Target("catalogue", 2, times, nested))
        server.start()
        self.addCleanup(server.stop)
        self._base = f"http://{server.address}"
        self._pool = urllib3.PoolManager(retries=False, timeout=10)
        self.addCleanup(self._pool.clear)

    def test_every_run_of_a_request_is_counted(self) -> None:
        for _ in range(2):
            self._get("/catalogue/search", "r1")
        self._get("/catalogue/search", "r2")
        counts = self._get("/_emulator/counts", "").json()
        self.assertEqual(counts["runs"], {"r1": 2, "r2": 1})

    def test_body_tells_its_request(self) -> None:
        response = self._get(f"/catalogue/clip?size={SIZE_BYTES}", "r1")
        self.assertTrue(matches_pattern("r1", SIZE_BYTES, response.data))
        self.assertFalse(matches_pattern("r2", SIZE_BYTES, response.data))

    def test_truncated_body_is_seen_as_incomplete(self) -> None:
        with self.assertRaises(urllib3.exceptions.ProtocolError):
            self._get(f"/catalogue/clip?size={SIZE_BYTES}&truncate=1", "r1")

    def test_failed_nested_call_is_reported(self) -> None:
        response = self._get("/catalogue/search?nested=/rights/lookup", "r1")
        self.assertEqual(response.status, 502)
        self.assertEqual(response.json()["nested"][0]["status"], 0)

    def test_slots_are_free_again_after_broken_answers(self) -> None:
        for _ in range(3):
            with self.assertRaises(urllib3.exceptions.ProtocolError):
                self._get("/catalogue/search?truncate=1", "r1")
        self.assertEqual(self._get("/catalogue/search", "r1").status, 200)

    def _get(self, path: str, request_id: str) -> urllib3.BaseHTTPResponse:
        headers = {"X-Request-Id": request_id}
        return self._pool.request("GET", self._base + path, headers=headers)
