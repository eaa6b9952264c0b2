"""Check what the platform's log answers."""

import json
from typing import Any

from voluptuous import All, Invalid, Length, Range, Schema

from corianderhold.ids import Offset
from corianderhold.protocol.store.model import LogPage, LogRecord


def check_integer(value: object) -> int:
    """Return a whole number; raise Invalid for anything else, booleans included."""
    if not isinstance(value, int) or isinstance(value, bool):
        raise Invalid("expected an integer")
    return value


OFFSET = All(check_integer, Range(min=0, max=2**63 - 1))
APPENDED = Schema({"offset": OFFSET}, required=True, extra=True)
RECORD = Schema({"offset": OFFSET, "data": str}, required=True, extra=True)
PAGE = Schema(
    {"first": OFFSET, "next": OFFSET, "records": All([RECORD], Length(max=100_000))},
    required=True,
    extra=True,
)


def parse_json(body: bytes) -> Any:  # noqa: ANN401
    """Return the JSON value in a body; raise Invalid when it is none."""
    try:
        return json.loads(body)
    except (ValueError, RecursionError) as error:
        raise Invalid("expected JSON") from error


def parse_appended(body: bytes) -> Offset:
    """Return the offset in the answer to an append; raise Invalid."""
    return Offset(APPENDED(parse_json(body))["offset"])


def parse_page(body: bytes, from_offset: Offset) -> LogPage:
    """Return the page in the answer to a read; raise Invalid."""
    page = PAGE(parse_json(body))
    records = tuple(
        LogRecord(Offset(record["offset"]), record["data"])
        for record in page["records"]
    )
    check_order(records, max(from_offset, page["first"]), page["next"])
    return LogPage(Offset(page["first"]), Offset(page["next"]), records)


def check_order(records: tuple[LogRecord, ...], lowest: int, end: int) -> None:
    """Raise Invalid unless offsets grow from at least `lowest` to below `end`."""
    previous = lowest - 1
    for record in records:
        if not previous < record.offset < end:
            raise Invalid("records out of order")
        previous = record.offset
