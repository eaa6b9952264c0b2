"""Test the lines of the log and their bounds."""

import threading
from unittest import TestCase, mock

from loguru import logger

from corianderhold.log import (
    Event,
    LogOutput,
    LogValue,
    log_event,
    set_level,
    write_events,
)

AT = 1_700_000_000.25


class LogTests(TestCase):
    """Collect what is written; a sink may block."""

    def setUp(self) -> None:
        self.text = ""
        self.free = threading.Event()
        self.free.set()
        handler = logger.add(self.write, level=0, format="{message}", catch=False)
        self.addCleanup(logger.remove, handler)

    def write(self, text: str) -> None:
        self.free.wait()
        self.text += text

    def test_event_is_one_line_of_pairs(self) -> None:
        fields: dict[str, LogValue] = {
            "count": 3,
            "detail": 'a "b"\n{c}',
            "share": 0.5,
            "none": None,
        }
        write_events([Event("INFO", "tested", fields, AT)])
        line = (
            "time=2023-11-14T22:13:20.250+00:00 level=INFO instance= event=tested"
            ' count=3 detail="a \\"b\\"\\n{c}" share=0.5 none=None\n'
        )
        self.assertEqual(self.text, line)

    def test_blocked_output_drops_and_says_how_many(self) -> None:
        self.free.clear()
        output = LogOutput()
        with mock.patch("corianderhold.log.QUEUE_EVENTS", 5):
            for number in range(50):
                output.put(Event("INFO", "tested", {"number": number}, AT))
        self.assertFalse(output.close())
        self.free.set()
        self.assertTrue(output.close())
        written = self.text.count("event=tested")
        self.assertLess(written, 50)
        self.assertIn(f"event=log_events_dropped count={50 - written}", self.text)

    def test_level_is_changed_while_running(self) -> None:
        self.addCleanup(set_level, "info")
        set_level("warning")
        log_event("hidden")
        set_level("info")
        log_event("shown")
        self.assertNotIn("hidden", self.text)
        self.assertIn("shown", self.text)
