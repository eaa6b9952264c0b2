"""Collect the lines that the product logs."""

import contextlib
from collections.abc import Iterator

from loguru import logger


@contextlib.contextmanager
def collect_lines() -> Iterator[list[str]]:
    """Return a list that gets each line logged meanwhile, without its end."""
    lines: list[str] = []
    handler = logger.add(
        lambda text: lines.extend(text.splitlines()), level=0, format="{message}"
    )
    try:
        yield lines
    finally:
        logger.remove(handler)
