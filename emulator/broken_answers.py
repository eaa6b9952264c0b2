"""Define responses of a target in trouble and send them on a raw connection."""

import random
import socket
import struct
import time
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

BROKEN_HEADER = "X-Emulator-Broken"
OK = f"HTTP/1.1 200 OK\r\n{BROKEN_HEADER}: 1\r\n".encode()
BLOCK = b"x" * 16384
DRAWN_PAUSE_S = 0.01  # so that callers that keep all they receive can be used
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
LENGTH_AND_BODY = b"Content-Length: 5\r\n\r\nhello"
WHOLE = OK + b"Connection: close\r\n" + LENGTH_AND_BODY
MISMATCHED = OK + b"Request-Id: another\r\nContent-Length: 99999999999\r\n\r\n"
REFUSAL = f"HTTP/1.1 503 Full\r\n{BROKEN_HEADER}: 1\r\nNot-Executed: 1\r\n".encode()

# A reset after any of these leaves the end of the body unknown.
UNFRAMED = {
    "HTTP/1.1": OK + b"\r\nhello",
    "HTTP/1.0": OK.replace(b"HTTP/1.1", b"HTTP/1.0") + b"\r\nhello",
    "Connection: close": OK + b"Connection: close\r\n\r\nhello",
    "after an interim response": b"HTTP/1.1 103 Hints\r\n\r\n" + OK + b"\r\nhello",
    "without a body": OK + b"\r\n",
}
MALFORMED_STATUSES = ("000", "099", "0200", "20", "-20", "+200", "600", "2 0", "")
MALFORMED_FIELDS = {
    "space in the name": b"Bad Name: a",
    "space before the colon": b"Bad-Name : a",
    "tab in the name": b"Bad\tName: a",
    "NUL in the name": b"Bad\x00Name: a",
    "control character in the name": b"Bad\x01Name: a",
    "escape in the name": b"Bad\x1bName: a",
    "CR in the name": b"Bad\rName: a",
    "LF in the name": b"Bad\nName: a",
    "DEL in the name": b"Bad\x7fName: a",
    "high byte in the name": b"Bad\xe9Name: a",
    "empty name": b": a",
    "folded line": b" Bad-Name: a",
    "no colon": b"Bad-Name",
    "NUL in the value": b"Bad-Name: a\x00b",
    "CR in the value": b"Bad-Name: a\rb",
}

# By name: the first bytes, and those repeated without end after them.
ENDLESS_HEADS = {
    "not HTTP": (b"", b"\x00" * 16384),
    "status line": (b"HTTP/1.1 200 ", BLOCK),
    "header name": (OK, BLOCK),
    "header value": (OK + b"A: ", BLOCK),
    "headers": (OK, b"Aa: b\r\n" * 512),
    "interim responses": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 64),
    "continuations": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 64),
}
ENDLESS_BODIES = {
    "chunk line": (CHUNKED + b"5;", BLOCK),
    "trailers": (CHUNKED + b"0\r\n", b"Aa: b\r\n" * 512),
    "chunks": (CHUNKED, b"4000\r\n" + BLOCK + b"\r\n"),
    "chunks of one byte": (CHUNKED, b"1\r\nx\r\n" * 2048),
    "body without a length": (OK + b"\r\n", BLOCK),
    "longest body": (OK + b"Content-Length: 999999999999999\r\n\r\n", BLOCK),
    "response to another request": (MISMATCHED, BLOCK),
    "refusal without a length": (REFUSAL + b"\r\n", BLOCK),
}
ENDLESS = {**ENDLESS_HEADS, **ENDLESS_BODIES}


class Ending(Enum):
    """What a target does to the connection after its response."""

    NONE = "none"
    CLOSE = "close"
    RESET = "reset"


@dataclass(frozen=True)
class BrokenAnswer:
    """The bytes of a response, then those in `repeated` without end, with pauses."""

    first: bytes
    repeated: bytes = b""
    ending: Ending = Ending.NONE
    pause_s: float = 0.0

    def send(self, connection: socket.socket) -> None:
        """Send the response and end the connection; raise `OSError`."""
        connection.sendall(self.first)
        while self.repeated:
            connection.sendall(self.repeated)
            time.sleep(self.pause_s)
        if self.ending is Ending.RESET:
            reset(connection)
        elif self.ending is Ending.CLOSE:
            connection.shutdown(socket.SHUT_WR)


def list_malformed() -> Mapping[str, bytes]:
    """Return responses with a malformed head by what is wrong with them."""
    malformed = {}
    for status in MALFORMED_STATUSES:
        line = f"HTTP/1.1 {status} Trouble\r\n{BROKEN_HEADER}: 1\r\n".encode()
        malformed[f"status {status!r}"] = line + LENGTH_AND_BODY
        interim = b"HTTP/1.1 102 Processing\r\n\r\n"
        malformed[f"status {status!r}, interim"] = interim + line + LENGTH_AND_BODY
        old = line.replace(b"HTTP/1.1", b"HTTP/1.0")
        malformed[f"status {status!r}, HTTP/1.0"] = old + LENGTH_AND_BODY
    for name, field in MALFORMED_FIELDS.items():
        malformed[f"{name}, first"] = OK + field + b"\r\n" + LENGTH_AND_BODY
        malformed[f"{name}, last"] = OK + LENGTH_AND_BODY.replace(
            b"\r\n\r\n", b"\r\n" + field + b"\r\n\r\n"
        )
    return malformed


def reset(connection: socket.socket) -> None:
    """Close a connection with a TCP reset."""
    linger = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    connection.close()


def draw_answer(rng: random.Random) -> BrokenAnswer:
    """Draw a kind of broken response, then one of that kind."""
    kind = rng.choice(("unframed", "malformed", "endless"))
    if kind == "unframed":
        return BrokenAnswer(rng.choice(list(UNFRAMED.values())), ending=Ending.RESET)
    if kind == "malformed":
        return BrokenAnswer(rng.choice(list(list_malformed().values())))
    first, repeated = rng.choice(list(ENDLESS.values()))
    return BrokenAnswer(first, repeated, pause_s=DRAWN_PAUSE_S)
