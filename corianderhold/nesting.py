"""Parse JSON texts of others, whose nesting is bounded."""

import json
import re
from typing import Any

# From Python 3.12 on, the parser may use more of the stack than our threads have: 9,000
# levels end the process before a RecursionError.
NESTING_MAX = 200
STRINGS = re.compile(r'"(?:[^"\\]|\\.)*"', re.DOTALL)
BRACKETS = re.compile(r"[\[\]{}]")


def load_json(data: str | bytes, **options: Any) -> Any:  # noqa: ANN401
    """
    Parse a JSON text; `options` are those of json.loads.

    Raise ValueError for a text that is none, or that is nested too deeply.
    """
    text = data if isinstance(data, str) else decode(data)
    opened = text.count("[") + text.count("{")
    if opened > NESTING_MAX and measure_depth(text) > NESTING_MAX:
        raise ValueError(f"JSON text nested deeper than {NESTING_MAX} levels")
    return json.loads(text, **options)


def decode(data: bytes) -> str:
    """Return the text of JSON bytes, as json.loads decodes them."""
    return data.decode(json.detect_encoding(data), "surrogatepass")


def measure_depth(text: str) -> int:
    """Return how deeply a JSON text is nested; brackets within strings don't count."""
    depth = deepest = 0
    for bracket in BRACKETS.findall(STRINGS.sub("", text)):
        depth += 1 if bracket in "[{" else -1
        deepest = max(deepest, depth)
    return deepest
