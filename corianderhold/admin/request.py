"""Read requests and write answers of the administration API."""

import json
from collections.abc import Callable
from inspect import signature
from typing import Any

import cherrypy
from voluptuous import Invalid, MultipleInvalid, Schema

from corianderhold.admin.const import BODY_BYTES_MAX
from corianderhold.admin.errors import ApiError, ErrorCode
from corianderhold.admin.formats import JsonObject, dump_body
from corianderhold.log import log_warning

JSON_TYPE = "application/json"
TEXT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
UNAUTHORISED = 401
FORBIDDEN = 403
NOT_FOUND = 404
METHOD_NOT_ALLOWED = 405
SERVER_ERROR = 500

STATUS_CODES = {
    UNAUTHORISED: ErrorCode.TOKEN_MISSING_OR_WRONG,
    FORBIDDEN: ErrorCode.READ_ONLY,
    NOT_FOUND: ErrorCode.NOT_FOUND,
    METHOD_NOT_ALLOWED: ErrorCode.METHOD_NOT_ALLOWED,
}


def read_json(schema: Schema) -> JsonObject:
    """Return the checked JSON body of the request; raise ApiError."""
    try:
        value = json.loads(_read_body(), parse_constant=_reject_constant)
    except (ValueError, RecursionError) as error:
        raise ApiError(
            400, ErrorCode.BODY_MALFORMED, f"the body is no JSON: {error}"
        ) from error
    try:
        checked: JsonObject = schema(value)
    except MultipleInvalid as error:
        details = [describe_fault(fault) for fault in error.errors]
        message = "the body has faults"
        raise ApiError(400, ErrorCode.BODY_MALFORMED, message, details) from error
    return checked


def read_integer(text: str, name: str, lowest: int, highest: int) -> int:
    """Return a whole number from a query parameter; raise ApiError."""
    if text.isascii() and text.isdigit() and len(text) <= len(str(highest)):
        number = int(text)
        if lowest <= number <= highest:
            return number
    message = f"{name}: accepted is a whole number from {lowest} to {highest}"
    raise ApiError(400, ErrorCode.PARAMETER_MALFORMED, message)


def describe_fault(fault: Invalid) -> str:
    """Return where a fault is and what is accepted."""
    path = ".".join(str(part) for part in fault.path)
    return f"{path}: {fault.error_message}" if path else str(fault.error_message)


def write_json(status: int, value: JsonObject) -> bytes:
    """Set status and type of the answer and return its body."""
    cherrypy.response.status = status
    cherrypy.response.headers["Content-Type"] = JSON_TYPE
    cherrypy.response.headers["Cache-Control"] = "no-store"
    return dump_body(value)


def write_text(text: str) -> bytes:
    """Return the body of a text answer."""
    cherrypy.response.headers["Content-Type"] = TEXT_TYPE
    return text.encode()


def write_error(error: ApiError) -> bytes:
    """Return the body of an error answer."""
    details = {
        "code": error.code.value,
        "message": error.message,
        "details": list(error.details),
    }
    return write_json(error.status, {"error": details})


def answer_errors(handler: Callable[..., bytes]) -> Callable[..., bytes]:
    """Answer errors as JSON; wraps a page handler."""
    accepted = signature(handler)

    def handle(*args: Any, **kwargs: Any) -> bytes:  # noqa: ANN401
        try:
            accepted.bind(*args, **kwargs)
        except TypeError as error:
            message = f"unknown path or parameter: {error}"
            return write_error(ApiError(NOT_FOUND, ErrorCode.NOT_FOUND, message))
        try:
            return handler(*args, **kwargs)
        except ApiError as error:
            return write_error(error)
        except Exception as error:  # noqa: BLE001
            log_warning("admin_request_failed", error=repr(error))
            message = "the daemon failed to answer; its log says why"
            return write_error(ApiError(SERVER_ERROR, ErrorCode.INTERNAL, message))

    return handle


def format_error_page(status: str, message: str, traceback: str, version: str) -> bytes:
    """Return the JSON body of an error that CherryPy itself answers."""
    number = int(status.split()[0])
    code = STATUS_CODES.get(number, ErrorCode.REQUEST_REFUSED)
    if number >= SERVER_ERROR:
        code = ErrorCode.INTERNAL
    return write_error(ApiError(number, code, message))


def _read_body() -> bytes:
    length = cherrypy.request.headers.get("Content-Length", "")
    if not (length.isascii() and length.isdigit()):
        message = "a body with a Content-Length is needed"
        raise ApiError(411, ErrorCode.BODY_MISSING, message)
    if int(length) > BODY_BYTES_MAX:
        message = f"a body has at most {BODY_BYTES_MAX} bytes"
        raise ApiError(413, ErrorCode.BODY_TOO_LONG, message)
    body: bytes = cherrypy.request.rfile.read(int(length))
    return body


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not a number")
