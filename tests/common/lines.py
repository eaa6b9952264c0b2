"""Collect log lines."""

import contextlib
from collections.abc import Iterator

from loguru import logger


@contextlib.contextmanager
def collect_lines() -> Iterator[list[str]]:
    """Yield a list that receives each logged line, without its line end."""
    lines: list[str] = []
    handler = logger.add(
        lambda text: lines.extend(text.splitlines()), level=0, format="{message}"
    )
    try:
        yield lines
    finally:
        logger.remove(handler)
