"""Write one line of key=value pairs for each event."""

import sys
import threading
import time
from dataclasses import dataclass
from datetime import UTC, datetime
from enum import Enum
from queue import SimpleQueue

from loguru import logger

LINE_FORMAT = "time={extra[time]} level={level} instance={extra[instance]} {message}"
QUOTE_NEEDED = frozenset(' "=\n\r\t')
QUEUE_EVENTS = 20_000  # about 6 MB of lines
FLUSH_TIMEOUT_S = 2.0

LogValue = str | int | float | bool | Enum | None


@dataclass(frozen=True, slots=True)
class Event:
    """Something that happened at `at`, in seconds since the Unix epoch."""

    level: str
    name: str
    fields: dict[str, LogValue]
    at: float


class LogOutput:
    """
    Format and write events in a thread of its own, so that no request waits for it.

    Events are dropped, and counted, while the output takes fewer than come.
    """

    def __init__(self) -> None:
        self._events: SimpleQueue[Event | None] = SimpleQueue()
        self._dropped = 0
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)
        self._thread.start()

    def put(self, event: Event) -> None:
        """Queue one event."""
        if self._events.qsize() < QUEUE_EVENTS:
            self._events.put(event)
        else:
            self._dropped += 1

    def close(self) -> None:
        """Write what is queued and end."""
        self._events.put(None)
        self._thread.join(FLUSH_TIMEOUT_S)

    def _run(self) -> None:
        while True:
            event = self._events.get()
            if event is None:
                return
            write_event(event)
            if self._dropped:
                dropped, self._dropped = self._dropped, 0
                fields: dict[str, LogValue] = {"count": dropped}
                write_event(Event("WARNING", "log_events_dropped", fields, event.at))


class LogState:
    """Hold the output of this process; without one, events are written at once."""

    output: LogOutput | None = None
    level = logger.level("INFO").no


def configure_logging(level: str, instance: str) -> LogOutput:
    """Send events of at least `level` to standard error; return their output."""
    logger.remove()
    logger.configure(extra={"instance": instance, "time": ""})
    logger.add(
        sys.stderr,
        level=level.upper(),
        format=LINE_FORMAT,
        enqueue=False,
        backtrace=False,
        diagnose=False,
        colorize=False,
    )
    LogState.level = logger.level(level.upper()).no
    LogState.output = LogOutput()
    return LogState.output


def write_event(event: Event) -> None:
    """Write one event as a line."""
    at = datetime.fromtimestamp(event.at, UTC).isoformat(timespec="milliseconds")
    text = format_event(event.name, event.fields)
    logger.bind(time=at).log(event.level, "{}", text)


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


def log_event(name: str, /, **fields: LogValue) -> None:
    """Log one event at level INFO."""
    log_at_level("INFO", name, fields)


def log_warning(name: str, /, **fields: LogValue) -> None:
    """Log one event at level WARNING."""
    log_at_level("WARNING", name, fields)


def log_at_level(level: str, name: str, fields: dict[str, LogValue]) -> None:
    """Log one event unless its level is turned off."""
    if logger.level(level).no < LogState.level:
        return
    event = Event(level, name, fields, time.time())
    if LogState.output is None:
        write_event(event)
    else:
        LogState.output.put(event)
