"""Log events as lines of key=value pairs."""

import sys
import threading
import time
from dataclasses import dataclass
from datetime import UTC, datetime
from enum import Enum
from io import TextIOWrapper
from queue import Empty, SimpleQueue

from loguru import logger

QUOTED_CHARACTERS = frozenset(' "=')
QUEUED_EVENTS_MAX = 8_000  # about 8 MB
BATCH_EVENTS_MAX = 500
BATCH_INTERVAL_S = 0.1  # delays lines to save wake-ups and writes
FLUSH_TIMEOUT_S = 0.5
LEVELS = {"DEBUG": 10, "INFO": 20, "WARNING": 30, "ERROR": 40, "CRITICAL": 50}

LogValue = str | int | float | bool | Enum | None


@dataclass(frozen=True, slots=True)
class Event:
    """A log event; `at` is in seconds since the Unix epoch."""

    level: str
    name: str
    fields: dict[str, LogValue]
    at: float


class LogOutput:
    """
    Format and write events in a separate thread, so that requests don't wait for it.

    Events are dropped and counted while the output is slower than the events arrive.
    If nobody reads the output, only this thread blocks.
    """

    def __init__(self) -> None:
        self._events: SimpleQueue[Event | None] = SimpleQueue()
        self._dropped = 0
        self._closing = threading.Event()
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)
        self._thread.start()

    def put(self, event: Event) -> None:
        """Queue an event, or drop and count it if the queue is full."""
        if self._events.qsize() < QUEUED_EVENTS_MAX:
            self._events.put(event)
        else:
            self._dropped += 1

    def close(self, timeout_s: float = FLUSH_TIMEOUT_S) -> bool:
        """
        Write all queued events and stop; return False if the output still blocks.

        Takes up to `timeout_s` seconds, and at most FLUSH_TIMEOUT_S.
        """
        self._closing.set()
        self._events.put(None)
        self._thread.join(min(timeout_s, FLUSH_TIMEOUT_S))
        return not self._thread.is_alive()

    def _run(self) -> None:
        stopped = False
        while not stopped:
            events, stopped = self._take_batch()
            if self._dropped:
                dropped, self._dropped = self._dropped, 0
                fields: dict[str, LogValue] = {"count": dropped}
                event = Event("WARNING", "log_events_dropped", fields, time.time())
                events.append(event)
            write_events(events)
            self._closing.wait(BATCH_INTERVAL_S)

    def _take_batch(self) -> tuple[list[Event], bool]:
        """Wait for an event; return it with other queued ones, and whether to stop."""
        events: list[Event] = []
        event = self._events.get()
        while event is not None:
            events.append(event)
            if len(events) >= BATCH_EVENTS_MAX:
                return events, False
            try:
                event = self._events.get_nowait()
            except Empty:
                return events, False
        return events, True


class LogState:
    """Logging state of this process; events are written directly without `output`."""

    output: LogOutput | None = None
    level = LEVELS["INFO"]
    instance = ""


class TimeFormatter:
    """Format times in UTC with milliseconds, caching the text of the last second."""

    def __init__(self) -> None:
        self._second = -1
        self._prefix = ""

    def format(self, at: float) -> str:
        """Format a time given in seconds since the Unix epoch."""
        second = int(at)
        if second != self._second:
            moment = datetime.fromtimestamp(second, UTC)
            self._prefix = moment.strftime("%Y-%m-%dT%H:%M:%S")
            self._second = second
        return f"{self._prefix}.{int((at - second) * 1000):03d}+00:00"


def configure_logging(level: str, instance: str) -> LogOutput:
    """Log events of at least `level` to standard output and return the output."""
    logger.remove()
    if isinstance(sys.stdout, TextIOWrapper):
        # The encoding depends on the locale and may lack a character of a name.
        sys.stdout.reconfigure(errors="backslashreplace")
    logger.add(sys.stdout, level=0, format="{message}", colorize=False)
    LogState.instance = instance
    set_level(level)
    LogState.output = LogOutput()
    return LogState.output


def set_level(level: str) -> None:
    """Log events of at least `level` from now on."""
    LogState.level = LEVELS[level.upper()]


def write_events(events: list[Event]) -> None:
    """Write one line for each event in a single write."""
    times = TimeFormatter()
    lines = [
        f"time={times.format(event.at)} level={event.level}"
        f" instance={LogState.instance} {format_event(event.name, event.fields)}\n"
        for event in events
    ]
    if lines:
        logger.opt(raw=True).info("".join(lines))


def format_value(value: LogValue) -> str:
    """
    Format a value; quote it if it contains blanks, quotes or equals signs.

    Characters that are not printable are escaped: some readers take more than a line
    feed for the end of a line.
    """
    if type(value) is int:
        return str(value)
    if isinstance(value, Enum):
        value = str(value.value)
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    is_printable = text.isprintable()
    if text and is_printable and QUOTED_CHARACTERS.isdisjoint(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    if not is_printable:
        escaped = "".join(map(escape_character, escaped))
    return f'"{escaped}"'


def escape_character(character: str) -> str:
    """Return a printable character unchanged and the escape of any other."""
    if character.isprintable():
        return character
    return character.encode("unicode_escape").decode("ascii")


def format_event(event: str, fields: dict[str, LogValue]) -> str:
    """Format an event as key=value pairs."""
    pairs = [f"event={event}"]
    pairs.extend(f"{name}={format_value(value)}" for name, value in fields.items())
    return " ".join(pairs)


def log_event(name: str, /, **fields: LogValue) -> None:
    """Log an event at level INFO."""
    log_at_level("INFO", name, fields)


def log_warning(name: str, /, **fields: LogValue) -> None:
    """Log an event at level WARNING."""
    log_at_level("WARNING", name, fields)


def log_at_level(level: str, name: str, fields: dict[str, LogValue]) -> None:
    """Log an event unless its level is disabled."""
    if LEVELS[level] < LogState.level:
        return
    event = Event(level, name, fields, time.time())
    if LogState.output is None:
        write_events([event])
    else:
        LogState.output.put(event)
