"""Write one line of key=value pairs for each event."""

import sys
from enum import Enum

from loguru import logger

LINE_FORMAT = "time={time:YYYY-MM-DDTHH:mm:ss.SSSZZ} level={level} {message}"
QUOTE_NEEDED = frozenset(' "=\n\r\t')

LogValue = str | int | float | bool | Enum | None


def configure_logging(level: str, instance: str) -> None:
    """Send events of at least `level` to standard error through a queue."""
    logger.remove()
    logger.configure(extra={"instance": instance})
    logger.add(
        sys.stderr,
        level=level.upper(),
        format=LINE_FORMAT + " instance={extra[instance]}",
        enqueue=False,
        backtrace=False,
        diagnose=False,
        colorize=False,
    )


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
    logger.opt(raw=False).info("{}", format_event(event, fields))


def log_warning(event: str, **fields: LogValue) -> None:
    """Log one event at level WARNING."""
    logger.opt(raw=False).warning("{}", format_event(event, fields))
