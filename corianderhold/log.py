"""Write one line of key=value pairs for each event."""

import sys
import threading
from enum import Enum
from queue import Full, Queue
from typing import TextIO

from loguru import logger

LINE_FORMAT = (
    "time={time:YYYY-MM-DDTHH:mm:ss.SSSZZ} level={level} instance={extra[instance]}"
    " {message}"
)
QUOTE_NEEDED = frozenset(' "=\n\r\t')
QUEUE_LINES = 20_000  # about 6 MB of lines
FLUSH_TIMEOUT_S = 2.0

LogValue = str | int | float | bool | Enum | None


class LogOutput:
    """
    Write lines in a thread of its own, so that no request waits for the output.

    Lines are dropped, and counted, while the output takes fewer than come.
    """

    def __init__(self, stream: TextIO) -> None:
        self._stream = stream
        self._lines: Queue[str | None] = Queue(QUEUE_LINES)
        self._dropped = 0
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)
        self._thread.start()

    def write(self, line: str) -> None:
        """Queue one line."""
        try:
            self._lines.put_nowait(line)
        except Full:
            self._dropped += 1

    def close(self) -> None:
        """Write what is queued and end."""
        self._lines.put(None)
        self._thread.join(FLUSH_TIMEOUT_S)

    def _run(self) -> None:
        while True:
            line = self._lines.get()
            if line is None:
                return
            self._write_line(line)
            if self._dropped:
                dropped, self._dropped = self._dropped, 0
                self._write_line(f"event=log_lines_dropped count={dropped}\n")

    def _write_line(self, line: str) -> None:
        try:
            self._stream.write(line)
            if self._lines.empty():
                self._stream.flush()
        except (OSError, ValueError):
            self._dropped += 1  # the output is closed or full


def configure_logging(level: str, instance: str) -> LogOutput:
    """Send events of at least `level` to standard error; return their output."""
    output = LogOutput(sys.stderr)
    logger.remove()
    logger.configure(extra={"instance": instance})
    logger.add(
        output.write,
        level=level.upper(),
        format=LINE_FORMAT,
        enqueue=False,
        backtrace=False,
        diagnose=False,
        colorize=False,
    )
    return output


def format_value(value: LogValue) -> str:
    """Return one value as text, quoted where it holds white space or signs."""
    if isinstance(value, Enum):
        value = str(value.value)
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text and QUOTE_NEEDED.isdisjoint(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + escaped.replace("\n", "\\n").replace("\r", "\\r") + '"'


def format_event(event: str, fields: dict[str, LogValue]) -> str:
    """Return the key=value text of one event."""
    pairs = [f"event={event}"]
    pairs.extend(f"{name}={format_value(value)}" for name, value in fields.items())
    return " ".join(pairs)


def log_event(event: str, **fields: LogValue) -> None:
    """Log one event at level INFO."""
    logger.info("{}", format_event(event, fields))


def log_warning(event: str, **fields: LogValue) -> None:
    """Log one event at level WARNING."""
    logger.warning("{}", format_event(event, fields))
