"""Write one line of key=value pairs for each event."""

import sys
import threading
import time
from dataclasses import dataclass
from datetime import UTC, datetime
from enum import Enum
from queue import Empty, SimpleQueue

from loguru import logger

QUOTE_NEEDED = frozenset(' "=\n\r\t')
QUEUE_EVENTS = 8_000  # about 8 MB
BATCH_EVENTS = 500
BATCH_INTERVAL_S = 0.1  # lines wait that long, for few wake-ups and writes
FLUSH_TIMEOUT_S = 0.5
LEVELS = {"DEBUG": 10, "INFO": 20, "WARNING": 30, "ERROR": 40, "CRITICAL": 50}

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

    Events are dropped, and counted, while the output takes fewer than come. Only the
    thread blocks while nobody reads the output.
    """

    def __init__(self) -> None:
        self._events: SimpleQueue[Event | None] = SimpleQueue()
        self._dropped = 0
        self._closing = threading.Event()
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)
        self._thread.start()

    def put(self, event: Event) -> None:
        """Queue one event."""
        if self._events.qsize() < QUEUE_EVENTS:
            self._events.put(event)
        else:
            self._dropped += 1

    def close(self, timeout_s: float = FLUSH_TIMEOUT_S) -> bool:
        """
        Write what is queued and end; return False while the output blocks.

        It may take `timeout_s` seconds, and FLUSH_TIMEOUT_S at most.
        """
        self._closing.set()
        self._events.put(None)
        self._thread.join(min(timeout_s, FLUSH_TIMEOUT_S))
        return not self._thread.is_alive()

    def _run(self) -> None:
        ended = False
        while not ended:
            events, ended = self._take_batch()
            if self._dropped:
                dropped, self._dropped = self._dropped, 0
                fields: dict[str, LogValue] = {"count": dropped}
                event = Event("WARNING", "log_events_dropped", fields, time.time())
                events.append(event)
            write_events(events)
            self._closing.wait(BATCH_INTERVAL_S)

    def _take_batch(self) -> tuple[list[Event], bool]:
        """Wait for an event; return it with those queued, and whether to end."""
        events: list[Event] = []
        event = self._events.get()
        while event is not None:
            events.append(event)
            if len(events) >= BATCH_EVENTS:
                return events, False
            try:
                event = self._events.get_nowait()
            except Empty:
                return events, False
        return events, True


class LogState:
    """Hold the output of this process; without one, events are written at once."""

    output: LogOutput | None = None
    level = LEVELS["INFO"]
    instance = ""


class TimeFormatter:
    """Format times in UTC to the millisecond; the date once a second."""

    def __init__(self) -> None:
        self._second = -1
        self._prefix = ""

    def format(self, at: float) -> str:
        """Return a time given in seconds since the Unix epoch."""
        second = int(at)
        if second != self._second:
            moment = datetime.fromtimestamp(second, UTC)
            self._prefix = moment.strftime("%Y-%m-%dT%H:%M:%S")
            self._second = second
        return f"{self._prefix}.{int((at - second) * 1000):03d}+00:00"


def configure_logging(level: str, instance: str) -> LogOutput:
    """Send events of at least `level` to standard output; return their output."""
    logger.remove()
    logger.add(sys.stdout, level=0, format="{message}", colorize=False)
    LogState.instance = instance
    set_level(level)
    LogState.output = LogOutput()
    return LogState.output


def set_level(level: str) -> None:
    """Log events of at least `level` from now on."""
    LogState.level = LEVELS[level.upper()]


def write_events(events: list[Event]) -> None:
    """Write a line for each event, all at once."""
    times = TimeFormatter()
    lines = [
        f"time={times.format(event.at)} level={event.level}"
        f" instance={LogState.instance} {format_event(event.name, event.fields)}\n"
        for event in events
    ]
    if lines:
        logger.opt(raw=True).info("".join(lines))


def format_value(value: LogValue) -> str:
    """Return one value as text, quoted where it holds white space or signs."""
    if type(value) is int:
        return str(value)
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
    if LEVELS[level] < LogState.level:
        return
    event = Event(level, name, fields, time.time())
    if LogState.output is None:
        write_events([event])
    else:
        LogState.output.put(event)
