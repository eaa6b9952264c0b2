"""Fake the platform's store: compacted topics over HTTP, held in memory."""

import base64
import json
import struct
import threading
from collections.abc import Iterable
from http import HTTPStatus
from urllib.parse import parse_qs

from corianderhold.state.membership.model import Address
from corianderhold.transport.web.server import Environ, StartResponse, WebServer

THREADS = 64  # each held read occupies one


class PlatformStore:
    """Serve one partition per topic, in the platform's formats."""

    def __init__(self, address: Address) -> None:
        self.topics: dict[str, list[tuple[str, bytes]]] = {}
        self.first: dict[str, int] = {}
        self.refuse = False
        self.era = 1
        self._stopped = False
        self._changed = threading.Condition()
        self._server = WebServer("store", address, self, THREADS)

    def start(self) -> None:
        """Start to listen."""
        self._server.start()

    def stop(self) -> None:
        """Respond to waiting readers and stop listening."""
        with self._changed:
            self._stopped = True
            self._changed.notify_all()
        self._server.stop()

    def put(self, topic: str, key: str, value: bytes) -> int:
        """Append one record and return its offset."""
        with self._changed:
            records = self.topics.setdefault(topic, [])
            records.append((key, value))
            self._changed.notify_all()
            return len(records) - 1

    def forget(self, topic: str) -> None:
        """Delete the history of a topic; its newest records remain."""
        self.first[topic] = len(self.topics.get(topic, []))

    def restore(self, ends: dict[str, int]) -> None:
        """Cut topics off at earlier ends, as a copy of the store has them."""
        with self._changed:
            for topic, end in ends.items():
                del self.topics.get(topic, [])[end:]
            self.era += 1
            self._changed.notify_all()

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Respond to one call."""
        query = {k: v[0] for k, v in parse_qs(environ["QUERY_STRING"]).items()}
        status, body = HTTPStatus.SERVICE_UNAVAILABLE, b""
        if not self.refuse:
            verb = environ["PATH_INFO"].rpartition("-")[2]
            content = environ["wsgi.input"].read()
            status, body = getattr(self, f"_{verb}")(query, content)
        text = f"{status.value} {status.phrase}"
        headers = [("Content-Length", str(len(body))), ("Store-Era", str(self.era))]
        start_response(text, headers)
        return [body]

    def _append(
        self, query: dict[str, str], content: bytes
    ) -> tuple[HTTPStatus, bytes]:
        length = content[4]
        key, value = content[5 : 5 + length].decode(), content[5 + length :]
        offset = self.put(query["topic"], key, value)
        return HTTPStatus.OK, json.dumps({"offset": offset, "end": offset + 1}).encode()

    def _read(self, query: dict[str, str], content: bytes) -> tuple[HTTPStatus, bytes]:
        topic, start = query["topic"], int(query["from"])
        first = self.first.get(topic, 0)
        if start < 0:
            return HTTPStatus.BAD_REQUEST, b""
        if start < first or start > len(self.topics.get(topic, [])):
            return HTTPStatus.GONE, json.dumps({"first": first}).encode()
        wait_s = int(query.get("wait_ms", 0)) / 1000
        with self._changed:
            self._changed.wait_for(
                lambda: self._stopped or len(self.topics.get(topic, [])) > start,
                wait_s,
            )
            records = self.topics.get(topic, [])
        body = struct.pack(">QQ", len(records), first)
        for key, value in records[start:]:
            framed = bytes([len(key)]) + key.encode() + value
            body += struct.pack(">I", len(framed)) + framed
        return HTTPStatus.OK, body

    def _newest(
        self, query: dict[str, str], content: bytes
    ) -> tuple[HTTPStatus, bytes]:
        records = self.topics.get(query["topic"], [])
        newest = {key: (offset, value) for offset, (key, value) in enumerate(records)}
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in sorted(newest.items())
            if value
        ]
        page = {"items": items, "has_more": False, "end": len(records)}
        return HTTPStatus.OK, json.dumps(page).encode()
