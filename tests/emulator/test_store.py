"""Test the emulated log service and its faults."""

import json
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
