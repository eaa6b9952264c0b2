"""Emulate the platform's append-only log service, with fault injection."""

import json
import re
import threading
import time
from bisect import bisect_right
from dataclasses import dataclass, field, replace

from emulator.web import (
    Answer,
    Request,
    WebServer,
    answer_json,
    close_connection,
    wait_for_signal,
)

RECORDS_PATH = re.compile(r"^/v1/streams/([a-z0-9_-]+)/records$")
FAULTS_PATH = "/v1/faults"
COUNTS_PATH = "/v1/counts"
DEFAULT_LIMIT = 1000
ERA_HEADER = "X-Store-Era"
FIRST_ERA = 1
WORKER_THREADS = 128  # each long-polling read occupies one


@dataclass
class Stream:
    """
    Records of one stream, with the monotonic times at which they were appended.

    `first` is the offset of the oldest retained record.
    """

    first: int = 0
    records: list[str] = field(default_factory=list)
    appended_at: list[float] = field(default_factory=list)

    @property
    def next_offset(self) -> int:
        """Return the offset of the next record to be appended."""
        return self.first + len(self.records)

    def append(self, record: str, now_s: float) -> int:
        """Append a record and return its offset."""
        self.records.append(record)
        self.appended_at.append(now_s)
        return self.next_offset - 1

    def restore(self, copied_at_s: float) -> None:
        """Lose the records appended since a copy was made, as their offsets."""
        kept = bisect_right(self.appended_at, copied_at_s)
        del self.records[kept:]
        del self.appended_at[kept:]

    def truncate(self, before: int) -> None:
        """Delete records with an offset below `before`, as retention does."""
        count = max(0, min(before, self.next_offset) - self.first)
        del self.records[:count]
        del self.appended_at[:count]
        self.first += count


@dataclass(frozen=True)
class StoreFaults:
    """Active faults; `delay_ms` delays every request on a record stream."""

    down: bool = False
    delay_ms: float = 0.0
    lose_answers: bool = False


class Store:
    """Handle requests of the log service's HTTP API (see store_api)."""

    def __init__(self) -> None:
        self._lock = threading.Condition()
        self._stopped = False
        self._streams: dict[str, Stream] = {}
        self._faults = StoreFaults()
        self._era = FIRST_ERA
        self._appends = 0
        self._reads = 0

    def stop(self) -> None:
        """Wake long-polling reads so that they return."""
        with self._lock:
            self._stopped = True
            self._lock.notify_all()

    def handle(self, request: Request) -> Answer:
        """Route one request and state the era of the store in the response."""
        answer = self._route(request)
        headers = {**answer.headers, ERA_HEADER: str(self._era)}
        return replace(answer, headers=headers)

    def _route(self, request: Request) -> Answer:
        if request.path == FAULTS_PATH:
            return self._set_faults(request)
        if request.path == COUNTS_PATH:
            return answer_json(200, {"appends": self._appends, "reads": self._reads})
        match = RECORDS_PATH.match(request.path)
        if match is None:
            return answer_json(404, {"error": "unknown path"})
        body = request.read_body()
        faults = self._faults
        time.sleep(faults.delay_ms / 1000)
        if faults.down:
            raise close_connection()
        if request.method == "POST":
            return self._append(match.group(1), body, faults)
        return self._read(match.group(1), request)

    def _append(self, name: str, body: bytes, faults: StoreFaults) -> Answer:
        with self._lock:
            stream = self._streams.setdefault(name, Stream())
            offset = stream.append(body.decode(), time.monotonic())
            self._appends += 1
            self._lock.notify_all()
        if faults.lose_answers:
            raise close_connection()
        return answer_json(201, {"offset": offset})

    def _read(self, name: str, request: Request) -> Answer:
        start = int(request.read_query("from", "0"))
        limit = int(request.read_query("limit", str(DEFAULT_LIMIT)))
        wait_s = int(request.read_query("wait_ms", "0")) / 1000
        with self._lock:
            self._reads += 1
            era = self._era
            self._lock.wait_for(lambda: self._is_answer_due(name, start, era), wait_s)
            if self._faults.down or self._era != era:
                raise close_connection()
            stream = self._streams.get(name, Stream())
            if start > stream.next_offset:
                return answer_json(
                    410, {"first": stream.first, "next": stream.next_offset}
                )
            start = max(start, stream.first)
            index = start - stream.first
            page = [
                {"offset": start + position, "data": data}
                for position, data in enumerate(stream.records[index : index + limit])
            ]
            first, next_offset = stream.first, stream.next_offset
        return answer_json(200, {"first": first, "next": next_offset, "records": page})

    def _is_answer_due(self, name: str, start: int, era: int) -> bool:
        """Whether a read can return without waiting for a record."""
        end = self._streams.get(name, Stream()).next_offset
        is_interrupted = self._faults.down or self._stopped or self._era != era
        return start != end or is_interrupted

    def _set_faults(self, request: Request) -> Answer:
        requested = json.loads(request.read_body() or b"{}")
        known = ("down", "delay_ms", "lose_answers")
        changes = {name: requested[name] for name in known if name in requested}
        with self._lock:
            self._faults = replace(self._faults, **changes)
            for name, before in requested.get("truncate_before", {}).items():
                self._streams.setdefault(name, Stream()).truncate(before)
            if "restore_age_s" in requested:
                self._restore(time.monotonic() - requested["restore_age_s"])
            self._lock.notify_all()
        return Answer(204, (), 0)

    def _restore(self, copied_at_s: float) -> None:
        """Continue from a copy made at a monotonic time, in a new era."""
        for stream in self._streams.values():
            stream.restore(copied_at_s)
        self._era += 1


def store(*, host: str = "127.0.0.1", port: int = 0) -> None:
    """
    Run an emulator of the platform's append-only log service.

    :param host: address to listen on
    :param port: port to listen on; 0 selects a free port
    """
    server = WebServer("store", host, port, WORKER_THREADS)
    handler = Store()
    server.bind(handler)
    server.start()
    server.print_listening()
    wait_for_signal()
    handler.stop()
    server.stop()
