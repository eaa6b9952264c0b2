"""Read requests and write responses of the administration API."""

from collections.abc import Callable
from inspect import signature
from typing import Any

import cherrypy
from voluptuous import Invalid, MultipleInvalid, Schema

from corianderhold.admin.const import BODY_BYTES_MAX
from corianderhold.admin.errors import ApiError, ErrorCode
from corianderhold.admin.formats import JsonObject, dump_body
from corianderhold.log import log_warning
from corianderhold.nesting import load_json

JSON_TYPE = "application/json"
TEXT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
UNAUTHORISED = 401
FORBIDDEN = 403
NOT_FOUND = 404
METHOD_NOT_ALLOWED = 405
INTERNAL_SERVER_ERROR = 500

ERROR_CODE_BY_STATUS = {
    UNAUTHORISED: ErrorCode.TOKEN_MISSING_OR_WRONG,
    FORBIDDEN: ErrorCode.READ_ONLY,
    NOT_FOUND: ErrorCode.NOT_FOUND,
    METHOD_NOT_ALLOWED: ErrorCode.METHOD_NOT_ALLOWED,
}


def read_json(schema: Schema) -> JsonObject:
    """Return the validated JSON body of the request; raise ApiError if invalid."""
    try:
        value = load_json(_read_body(), parse_constant=_reject_constant)
    except (ValueError, RecursionError) as error:
        raise ApiError(
            400, ErrorCode.BODY_MALFORMED, f"the body is not valid JSON: {error}"
        ) from error
    try:
        checked: JsonObject = schema(value)
    except MultipleInvalid as error:
        details = [describe_fault(fault) for fault in error.errors]
        message = "the body is invalid"
        raise ApiError(400, ErrorCode.BODY_MALFORMED, message, details) from error
    return checked


def read_integer(text: str, name: str, lowest: int, highest: int) -> int:
    """Parse a query parameter as an integer within bounds; raise ApiError otherwise."""
    if text.isascii() and text.isdigit() and len(text) <= len(str(highest)):
        number = int(text)
        if lowest <= number <= highest:
            return number
    message = (
        f"{name}: got {text!r}, accepted: a whole number from {lowest} to {highest}"
    )
    raise ApiError(400, ErrorCode.PARAMETER_MALFORMED, message)


def describe_fault(fault: Invalid) -> str:
    """Format a fault as the path of the field and the accepted values."""
    path = ".".join(str(part) for part in fault.path)
    return f"{path}: {fault.error_message}" if path else str(fault.error_message)


def write_json(status: int, value: JsonObject) -> bytes:
    """Set the status and headers of a JSON response and return its body."""
    cherrypy.response.status = status
    cherrypy.response.headers["Content-Type"] = JSON_TYPE
    cherrypy.response.headers["Cache-Control"] = "no-store"
    return dump_body(value)


def write_text(text: str) -> bytes:
    """Set the headers of a text response and return its body."""
    cherrypy.response.headers["Content-Type"] = TEXT_TYPE
    return text.encode()


def write_error(error: ApiError) -> bytes:
    """Set the status and headers of an error response and return its body."""
    details = {
        "code": error.code.value,
        "message": error.message,
        "details": list(error.details),
    }
    return write_json(error.status, {"error": details})


def answer_errors(handler: Callable[..., bytes]) -> Callable[..., bytes]:
    """Decorate a request handler so that errors become JSON responses."""
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
            message = "internal error; the daemon's log has the cause"
            return write_error(
                ApiError(INTERNAL_SERVER_ERROR, ErrorCode.INTERNAL, message)
            )

    return handle


def format_error_page(status: str, message: str, traceback: str, version: str) -> bytes:
    """Return the JSON body of an error response that CherryPy itself generates."""
    number = int(status.split()[0])
    code = ERROR_CODE_BY_STATUS.get(number, ErrorCode.REQUEST_REFUSED)
    if number >= INTERNAL_SERVER_ERROR:
        code = ErrorCode.INTERNAL
    return write_error(ApiError(number, code, message))


def _read_body() -> bytes:
    length = cherrypy.request.headers.get("Content-Length", "")
    if not (length.isascii() and length.isdigit()):
        message = "the request needs a body with a Content-Length header"
        raise ApiError(411, ErrorCode.BODY_MISSING, message)
    if int(length) > BODY_BYTES_MAX:
        message = f"the body has {length} bytes; at most {BODY_BYTES_MAX} are accepted"
        raise ApiError(413, ErrorCode.BODY_TOO_LONG, message)
    body: bytes = cherrypy.request.rfile.read(int(length))
    return body


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not a number")
