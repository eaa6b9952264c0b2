"""Validate the responses of the platform's log."""

from typing import Any

from voluptuous import All, Invalid, Length, Range, Schema

from corianderhold.ids import FIRST_ERA, Offset, StoreEra
from corianderhold.nesting import load_json
from corianderhold.protocol.store.model import LogPage, LogRecord


def check_integer(value: object) -> int:
    """Return an integer; raise Invalid for other types, including booleans."""
    if not isinstance(value, int) or isinstance(value, bool):
        raise Invalid(f"expected an integer, got {type(value).__name__}")
    return value


OFFSET = All(check_integer, Range(min=0, max=2**63 - 1))
APPEND_RESPONSE = Schema({"offset": OFFSET}, required=True, extra=True)
RECORD = Schema({"offset": OFFSET, "data": str}, required=True, extra=True)
PAGE = Schema(
    {"first": OFFSET, "next": OFFSET, "records": All([RECORD], Length(max=100_000))},
    required=True,
    extra=True,
)

END = Schema({"first": OFFSET, "next": OFFSET}, required=True, extra=True)


def parse_json(body: bytes) -> Any:  # noqa: ANN401
    """Return the JSON value in a body; raise Invalid if it is not JSON."""
    try:
        return load_json(body)
    except (ValueError, RecursionError) as error:
        raise Invalid("expected JSON") from error


def parse_append_response(body: bytes) -> Offset:
    """Return the offset in the response to an append; raise Invalid."""
    return Offset(APPEND_RESPONSE(parse_json(body))["offset"])


def parse_page(body: bytes, from_offset: Offset, era: StoreEra = FIRST_ERA) -> LogPage:
    """Return the page in the response to a read; raise Invalid."""
    page = PAGE(parse_json(body))
    records = tuple(
        LogRecord(Offset(record["offset"]), record["data"])
        for record in page["records"]
    )
    check_order(records, max(from_offset, page["first"]), page["next"])
    return LogPage(Offset(page["first"]), Offset(page["next"]), records, era)


def parse_end(body: bytes, era: StoreEra) -> LogPage:
    """Return an empty page from the response to a read beyond the end."""
    end = END(parse_json(body))
    return LogPage(Offset(end["first"]), Offset(end["next"]), (), era)


def check_order(records: tuple[LogRecord, ...], lowest: int, end: int) -> None:
    """Raise Invalid unless offsets increase from at least `lowest` to below `end`."""
    previous = lowest - 1
    for record in records:
        if not previous < record.offset < end:
            raise Invalid(
                f"record offset {record.offset} out of order;"
                f" accepted: above {previous} and below {end}"
            )
        previous = record.offset
