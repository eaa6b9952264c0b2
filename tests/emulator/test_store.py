"""Test the emulated log service and its faults."""

import json
import time
from queue import Empty, SimpleQueue
from threading import Thread
from unittest import TestCase

import urllib3

from emulator.store import Store
from emulator.web import WebServer

RECORDS = "/v1/streams/configuration/records"


class StoreTests(TestCase):
    """Send requests to the store over HTTP."""

    def setUp(self) -> None:
        server = WebServer("store", "127.0.0.1", 0, 4)
        server.bind(Store())
        server.start()
        self.addCleanup(server.stop)
        self._base = f"http://{server.address}"
        self._pool = urllib3.PoolManager(retries=False, timeout=10)
        self.addCleanup(self._pool.clear)

    def test_records_come_back_in_order_with_their_offsets(self) -> None:
        self._append("one")
        self._append("two")
        self.assertEqual(self._read(0), (0, 2, ["one", "two"]))
        self.assertEqual(self._read(1), (0, 2, ["two"]))

    def test_lost_answer_still_appends(self) -> None:
        self._set_faults({"lose_answers": True})
        with self.assertRaises(urllib3.exceptions.ProtocolError):
            self._append("one")
        self.assertEqual(self._read(0), (0, 1, ["one"]))

    def test_down_store_appends_nothing(self) -> None:
        self._set_faults({"down": True})
        with self.assertRaises(urllib3.exceptions.ProtocolError):
            self._append("one")
        self._set_faults({"down": False})
        self.assertEqual(self._read(0), (0, 0, []))

    def test_truncation_keeps_offsets(self) -> None:
        for text in ("one", "two", "three"):
            self._append(text)
        self._set_faults({"truncate_before": {"configuration": 2}})
        self.assertEqual(self._read(0), (2, 3, ["three"]))
        self.assertEqual(self._append("four"), 3)

    def test_read_that_waits_is_answered_by_the_next_record(self) -> None:
        answers: SimpleQueue[tuple[int, int, list[str]]] = SimpleQueue()
        Thread(target=lambda: answers.put(self._read(0, 5_000)), daemon=True).start()
        with self.assertRaises(Empty):
            answers.get(timeout=0.2)
        self._append("one")
        self.assertEqual(answers.get(timeout=4), (0, 1, ["one"]))
        self.assertEqual(self._read(1, 50), (0, 1, []))

    def test_restore_loses_the_newest_records_and_assigns_their_offsets_again(
        self,
    ) -> None:
        self._append("one")
        time.sleep(0.3)
        self._append("two")
        self._set_faults({"restore_age_s": 0.2})
        self.assertEqual(self._read(0), (0, 1, ["one"]))
        self.assertEqual(self._append("three"), 1)
        self.assertEqual(self._read(0), (0, 2, ["one", "three"]))

    def test_restore_raises_the_era_in_all_responses(self) -> None:
        self.assertEqual(self._read_era("GET", RECORDS), "1")
        self._set_faults({"restore_age_s": 0.0})
        self._set_faults({"restore_age_s": 0.0})
        for method, path in (
            ("GET", RECORDS),
            ("POST", RECORDS),
            ("GET", "/v1/counts"),
            ("GET", "/elsewhere"),
            ("GET", f"{RECORDS}?from=5"),
        ):
            self.assertEqual(self._read_era(method, path), "3")

    def test_read_beyond_the_end_is_gone(self) -> None:
        self._append("one")
        response = self._pool.request("GET", f"{self._base}{RECORDS}?from=2")
        self.assertEqual(response.status, 410)
        self.assertEqual(response.json(), {"first": 0, "next": 1})

    def test_restore_interrupts_reads_that_wait(self) -> None:
        failures: SimpleQueue[Exception] = SimpleQueue()

        def read() -> None:
            try:
                self._read(0, 5_000)
            except urllib3.exceptions.ProtocolError as error:
                failures.put(error)

        Thread(target=read, daemon=True).start()
        with self.assertRaises(Empty):
            failures.get(timeout=0.2)
        self._set_faults({"restore_age_s": 0.0})
        failures.get(timeout=4)

    def _read_era(self, method: str, path: str) -> str:
        response = self._pool.request(method, f"{self._base}{path}", body="x")
        return str(response.headers["X-Store-Era"])

    def _append(self, text: str) -> int:
        response = self._pool.request("POST", self._base + RECORDS, body=text)
        return int(response.json()["offset"])

    def _read(self, start: int, wait_ms: int = 0) -> tuple[int, int, list[str]]:
        url = f"{self._base}{RECORDS}?from={start}&wait_ms={wait_ms}"
        page = self._pool.request("GET", url).json()
        return page["first"], page["next"], [r["data"] for r in page["records"]]

    def _set_faults(self, faults: dict[str, object]) -> None:
        body = json.dumps(faults)
        self._pool.request("POST", f"{self._base}/v1/faults", body=body)
