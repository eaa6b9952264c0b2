"""
Stand-ins of the users' platform for the cases 11 to 15, and the daemons' processes.

Only the standard library is used. The stand-ins run in threads of the case; the daemons
are separate processes, started with the command and the template of the deploy file.
"""

import base64
import contextlib
import http.client
import json
import os
import random
import re
import shlex
import signal
import socket
import socketserver
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
DEPLOY = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
ROLE = DEPLOY["roles"]["daemon"]
HEARTBEAT_S = 1.5
DRAIN_S = 2.5
GRACE_S = 6
STABLE_S = 4.0
HOST = "a.example"
PREFIX = "/a/"
UNSAFE_PREFIX = "/u/"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BOUNDS = {
    "drain_s": DRAIN_S,
    "grace_s": GRACE_S,
    "config_s": 2.5,
    "quota_slack": 20,
    "quota_overage": 0.1,
    "budget_min_retries": 47,
}
ROUTE_COLUMNS = [
    "name",
    "host",
    "prefix",
    "kind",
    "timeout_s",
    "target_latency_s",
    "priority",
    "service",
    "max_attempts",
    "allow_anonymous",
    "traffic_split",
]
KEY = "6wsjnbanfqasnmgkcuyj"
TENANT = "pulo780"


class CannotRunError(Exception):
    """The case could not be played, for example because nothing became ready."""


class Record:
    """Write what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._started_at = time.monotonic()
        self._lock = threading.Lock()
        self._file = (folder / "record.txt").open("w")

    def write(self, what: str) -> None:
        """Write one line."""
        with self._lock:
            seconds = time.monotonic() - self._started_at
            self._file.write(f"{seconds:8.3f} {what}\n")
            self._file.flush()

    def since_start(self, at: float) -> float:
        """Return a monotonic time as seconds since the start."""
        return at - self._started_at


class LineServer(socketserver.ThreadingTCPServer):
    """Serve HTTP/1.1 connections, one thread each."""

    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def handle_error(self, request: Any, client_address: Any) -> None:  # noqa: ANN401
        """Ignore connections that the other side breaks off."""


class HttpConnection(socketserver.StreamRequestHandler):
    """Read requests of one connection and let `server.respond` answer them."""

    disable_nagle_algorithm = True

    def handle(self) -> None:
        """Serve until the connection closes."""
        while True:
            line = self.rfile.readline()
            if not line.strip():
                return
            method, target, _ = line.decode("latin-1").split(" ", 2)
            headers: dict[str, str] = {}
            while (line := self.rfile.readline()).strip():
                name, _, value = line.decode("latin-1").partition(":")
                headers[name.strip().lower()] = value.strip()
            body = self._read_body(headers)
            status, fields, content = self.server.respond(  # type: ignore[attr-defined]
                method, target, headers, body
            )
            reason = http.client.responses.get(status, "Unknown")
            fields = {**fields, "Content-Length": str(len(content))}
            head = f"HTTP/1.1 {status} {reason}\r\n" + "".join(
                f"{name}: {value}\r\n" for name, value in fields.items()
            )
            self.wfile.write(head.encode("latin-1") + b"\r\n" + content)
            self.wfile.flush()

    def _read_body(self, headers: dict[str, str]) -> bytes:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            parts = []
            while size := int(self.rfile.readline().split(b";")[0], 16):
                parts.append(self.rfile.read(size))
                self.rfile.readline()
            self.rfile.readline()
            return b"".join(parts)
        return self.rfile.read(int(headers.get("content-length", "0")))


Answer = tuple[int, dict[str, str], bytes]


class HttpServer:
    """Listen at an address and answer requests with `respond`."""

    def __init__(self, host: str, port: int) -> None:
        self._server = LineServer((host, port), HttpConnection)
        self._server.respond = self.respond  # type: ignore[attr-defined]
        self.address = f"{host}:{self._server.server_address[1]}"
        self._thread = threading.Thread(target=self._server.serve_forever, daemon=True)

    def start(self) -> None:
        """Serve from now on."""
        self._thread.start()

    def stop(self) -> None:
        """Stop to listen."""
        if self._thread.ident is not None:
            self._server.shutdown()
        self._server.server_close()

    def respond(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> Answer:
        """Answer one request."""
        raise NotImplementedError


class Store(HttpServer):
    """The platform's store: topics of one partition, in memory."""

    def __init__(self, host: str) -> None:
        super().__init__(host, 0)
        self._topics: dict[str, list[tuple[str, bytes]]] = {}
        self._changed = threading.Condition()

    def put(self, topic: str, key: str, value: bytes) -> int:
        """Append one record and return its offset."""
        with self._changed:
            records = self._topics.setdefault(topic, [])
            records.append((key, value))
            self._changed.notify_all()
            return len(records) - 1

    def respond(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> Answer:
        """Answer one call."""
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        verb = parts.path.rpartition("/")[2]
        if verb == "log-append":
            return self._append(query["topic"], body)
        if verb == "log-read":
            return self._read(query)
        if verb == "log-newest":
            return self._list_newest(query["topic"])
        return 404, {}, b""

    def _append(self, topic: str, body: bytes) -> Answer:
        if topic in ("keyed.op", "keyed.servers"):
            return 403, {}, b""
        place, first, end = 0, -1, 0
        while place < len(body):
            (length,) = struct.unpack_from(">I", body, place)
            content = body[place + 4 : place + 4 + length]
            place += 4 + length
            size = content[0]
            key, value = content[1 : 1 + size].decode(), content[1 + size :]
            offset = self.put(topic, key, value)
            first, end = (offset if first < 0 else first), offset + 1
        return 200, {}, json.dumps({"offset": first, "end": end}).encode()

    def _read(self, query: dict[str, str]) -> Answer:
        topic, start = query["topic"], int(query["from"])
        wait_s = int(query.get("wait_ms", "0")) / 1000
        with self._changed:
            if start > len(self._topics.get(topic, [])):
                return 410, {}, json.dumps({"first": 0}).encode()
            self._changed.wait_for(
                lambda: len(self._topics.get(topic, [])) > start, wait_s
            )
            records = list(self._topics.get(topic, []))
        content = struct.pack(">QQ", len(records), 0)
        for key, value in records[start:]:
            framed = bytes([len(key)]) + key.encode() + value
            content += struct.pack(">I", len(framed)) + framed
        return 200, {}, content

    def _list_newest(self, topic: str) -> Answer:
        with self._changed:
            records = list(self._topics.get(topic, []))
        newest = {key: (place, value) for place, (key, value) in enumerate(records)}
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": place}
            for key, (place, value) in sorted(newest.items())
            if value
        ]
        page = {"items": items, "has_more": False, "end": len(records)}
        return 200, {}, json.dumps(page).encode()


class Server(HttpServer):
    """
    One application server beside a daemon: it runs requests and sends heartbeats.

    `runs` has the monotonic times and ids of the requests that it ran.
    """

    def __init__(self, host: str, service: str, zone: str, record: Record) -> None:
        super().__init__(host, 0)
        self.id = f"i-{random.getrandbits(32):08x}"
        self.service = service
        self.zone = zone
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.control = ""
        self.work_s = 0.005
        self.runs: list[tuple[float, str]] = []
        self.rejected = 0
        self._record = record
        self._sequence = 0
        self._lock = threading.Lock()
        self._beats = threading.Event()
        self._stopped = threading.Event()
        self._beat_thread = threading.Thread(target=self._beat, daemon=True)

    def start(self) -> None:
        """Serve and send heartbeats."""
        super().start()
        self._beats.set()
        self._beat_thread.start()

    def stop(self) -> None:
        """End."""
        self._stopped.set()
        super().stop()

    def stop_heartbeats(self) -> None:
        """Send no further heartbeat."""
        self._beats.clear()

    def respond(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> Answer:
        """Answer a health check or run a request."""
        if target == "/healthz":
            status = 200 if self.state == "ready" else 503
            return status, {"Instance-Id": self.id}, b""
        request_id = headers.get("request-id", "")
        echo = {"Request-Id": request_id}
        if not request_id:
            return 400, {"Not-Executed": "1"}, b""
        if headers.get("expect-instance", self.id) != self.id:
            self.rejected += 1
            return 421, {**echo, "Instance-Id": self.id}, b""
        with self._lock:
            self.runs.append((time.monotonic(), request_id))
        self._record.write(f"run id={request_id} by={self.id} service={self.service}")
        time.sleep(self.work_s)
        content = f"{request_id} {self.id}".encode()
        return 200, {**echo, "Server-Seal": f"seal-{request_id}"}, content

    def build_heartbeat(self) -> dict[str, Any]:
        """Return the next heartbeat."""
        with self._lock:
            self._sequence += 1
            sequence = self._sequence
        return {
            "address": self.address,
            "born": self.born,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": 40,
            },
            "status": {
                "state": self.state,
                "seq": sequence,
                "cold_remaining_s": 0,
            },
        }

    def deliver(self, call: str, report: dict[str, Any]) -> int:
        """Send one message to the daemon on this machine; 0 without an answer."""
        target = f"/corianderhold/rpc?call=instances.{call}&of={self.id}"
        status = post_json(self.control, target, report)
        text = json.dumps(report)
        self._record.write(f"{call} of={self.id} status={status} {text}")
        return status

    def report_draining(self) -> float | None:
        """Say that this server drains; return when that was acknowledged."""
        self.state = "draining"
        return self._await_acknowledgement("heartbeat")

    def deregister(self) -> float | None:
        """Say that this server leaves; return when that was acknowledged."""
        self.state = "draining"
        self.stop_heartbeats()
        return self._await_acknowledgement("deregister")

    def _await_acknowledgement(self, call: str) -> float | None:
        for _ in range(5):
            report: dict[str, Any] = {"born": self.born}
            if call == "heartbeat":
                report = self.build_heartbeat()
            if 200 <= self.deliver(call, report) < 300:
                return time.monotonic()
            time.sleep(0.3)
        return None

    def _beat(self) -> None:
        while not self._stopped.is_set():
            if self._beats.is_set():
                self.deliver("heartbeat", self.build_heartbeat())
            self._stopped.wait(HEARTBEAT_S)


def post_json(address: str, target: str, content: Any) -> int:  # noqa: ANN401
    """Send a JSON body; return the status, 0 without an answer within a second."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=1.0)
    try:
        body = json.dumps(content).encode()
        headers = {"Content-Type": "application/json"}
        connection.request("POST", target, body, headers)
        response = connection.getresponse()
        response.read()
        return response.status
    except OSError:
        return 0
    except http.client.HTTPException:
        return 0
    finally:
        connection.close()


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in the placeholders that the project's template uses."""

    def find(name: str) -> Any:  # noqa: ANN401
        value: Any = fields
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return value

    def expand(match: re.Match[str]) -> str:
        entries = list(find(match[1]))
        return ",".join(match[2].replace("{{@}}", entry) for entry in entries)

    section = re.compile(r"\{\{#([a-z_.]+)\}\}(.*?)\{\{,\}\}\{\{/\1\}\}", re.DOTALL)
    text = section.sub(expand, template)
    return re.sub(r"\{\{([a-z_.0-9]+)\}\}", lambda each: str(find(each[1])), text)


class Machine:
    """One machine: a daemon as a process, with its server."""

    def __init__(self, number: int, zone: str, fleet: "Fleet", service: str) -> None:
        self.name = f"sidecar-{zone}-{number}"
        self.zone = zone
        self.host = f"127.0.0.{20 + number}"
        self.fleet = fleet
        self.server = Server(self.host, service, zone, fleet.record)
        self.server.control = f"{self.host}:{fleet.ports['control']}"
        self.outbound = f"{self.host}:{fleet.ports['outbound']}"
        self.process: subprocess.Popen[bytes] | None = None
        self._starts = 0

    def start(self) -> None:
        """Start the daemon."""
        path = self.fleet.folder / f"{self.name}.ini"
        ports = self.fleet.ports
        listen = {
            name: f"{self.host}:{ports[name]}"
            for name in ("inbound", "outbound", "readiness", "control")
        }
        fields = {
            "node": self.name,
            "zone": self.zone,
            "region": self.fleet.zones[self.zone],
            "zones": self.fleet.zones,
            "ip": self.host,
            "listen": listen,
            "internal_port_range": [ports["internal"], ports["internal"] + 15],
            "service": self.server.service,
            "bounds": BOUNDS,
            "platform": {"address": self.fleet.store.address},
        }
        path.write_text(render((ROOT / ROLE["template"]).read_text(), fields))
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment |= {
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "CORIANDERHOLD_BOOT": str(path),
        }
        self._starts += 1
        log = (self.fleet.folder / f"{self.name}-{self._starts}.log").open("wb")
        with log:
            self.process = subprocess.Popen(
                shlex.split(ROLE["run"]),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.fleet.record.write(f"started daemon={self.name} pid={self.process.pid}")

    def signal(self, number: int) -> None:
        """Send a signal to the daemon."""
        assert self.process is not None
        self.fleet.record.write(f"signal {signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the daemon and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.signal(signal.SIGKILL)
            self.process.wait()

    def is_ready(self) -> bool:
        """Return whether the daemon answers its readiness check with 200."""
        port = self.fleet.ports["readiness"]
        connection = http.client.HTTPConnection(self.host, port, timeout=1.0)
        try:
            connection.request("GET", "/corianderhold/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()


class Fleet:
    """A small deployment: a store, daemons, and a server beside each."""

    def __init__(
        self, record: Record, services: list[str], zones: dict[str, str]
    ) -> None:
        self.record = record
        self.routed = {PREFIX: min(services), UNSAFE_PREFIX: min(services)}
        self.zones = zones
        self._folder = tempfile.TemporaryDirectory()
        self.folder = Path(self._folder.name)
        self.ports = choose_ports(len(services))
        self.store = Store("127.0.0.1")
        names = list(zones)
        self.machines = [
            Machine(number, names[number % len(names)], self, service)
            for number, service in enumerate(services)
        ]

    def start(self) -> None:
        """Start everything and wait until all daemons are ready and serve."""
        self.store.put("keyed.op", "config", self.build_document(1))
        self.store.start()
        for machine in self.machines:
            machine.server.start()
        for machine in self.machines:
            machine.start()
        deadline_at = time.monotonic() + 30
        while not all(machine.is_ready() for machine in self.machines):
            if time.monotonic() > deadline_at:
                raise CannotRunError("the daemons did not become ready")
            time.sleep(0.1)
        self.record.write("all daemons are ready")

    def stop(self) -> None:
        """End all processes and stand-ins."""
        for machine in self.machines:
            with contextlib.suppress(OSError):
                machine.server.stop()
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()
        self.store.stop()
        self._folder.cleanup()

    def build_document(
        self, version: int, tenants: dict[str, list[str]] | None = None
    ) -> bytes:
        """
        Return a configuration with a safe and an unsafe route.

        `tenants` maps the names of tenants to their keys.
        """
        keys = {TENANT: [KEY]} if tenants is None else tenants
        services = sorted({machine.server.service for machine in self.machines})
        rows = [
            ["r-1", HOST, PREFIX, "safe", 2.0, 1.0, 2],
            ["r-2", HOST, UNSAFE_PREFIX, "unsafe", 2.0, 1.0, 0],
        ]
        rows = [[*row, self.routed[str(row[2])], 2, False, None] for row in rows]
        document = {
            "version": version,
            "routes": {"columns": ROUTE_COLUMNS, "rows": rows},
            "services": {
                "columns": ["name", "health_check_path", "max_connections"],
                "rows": [[name, "/healthz", 448] for name in services],
            },
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 67108864,
                "header_timeout_s": 3,
                "idle_timeout_s": 15,
            },
            "tenants": {
                "columns": ["name", "api_keys", "priority", "rate_per_s", "burst"],
                "rows": [[name, list(each), 1, 0, 0] for name, each in keys.items()],
            },
        }
        return json.dumps(document).encode()


def choose_ports(machines: int) -> dict[str, int]:
    """Return ports that are free on the loopback addresses of all machines."""
    hosts = [f"127.0.0.{20 + number}" for number in range(machines)]
    for _ in range(200):
        base = random.randrange(20_000, 30_000)
        ports = {
            "inbound": base,
            "outbound": base + 1,
            "readiness": base + 2,
            "control": base + 3,
            "internal": base + 4,
        }
        if all(is_free(host, base + more) for host in hosts for more in range(20)):
            return ports
    raise CannotRunError("no free ports")


def is_free(host: str, port: int) -> bool:
    """Return whether a port is free for TCP and UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


class Clients:
    """Send requests to each machine's daemon, as its clients do, `pause_s` apart."""

    def __init__(
        self, fleet: Fleet, pause_s: float, prefix: str = PREFIX, key: str = KEY
    ) -> None:
        self._fleet = fleet
        self._key = key
        self._pause_s = pause_s
        self._prefix = prefix
        self._stopped = threading.Event()
        self._lock = threading.Lock()
        self.sent: dict[str, float] = {}
        self.statuses: dict[str, int] = {}
        self._threads = [
            threading.Thread(target=self._run, args=(machine,), daemon=True)
            for machine in fleet.machines
        ]

    def start(self) -> None:
        """Start to send."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop to send and wait for the last answers."""
        self._stopped.set()
        for thread in self._threads:
            thread.join(5.0)

    def count(self, statuses: range) -> int:
        """Return how many requests were answered with one of these statuses."""
        return sum(status in statuses for status in self.statuses.values())

    def _run(self, machine: Machine) -> None:
        connection: http.client.HTTPConnection | None = None
        while not self._stopped.wait(self._pause_s):
            if connection is None:
                host, _, port = machine.outbound.rpartition(":")
                connection = http.client.HTTPConnection(host, int(port), timeout=3.0)
            if not self._send(machine, connection):
                connection.close()
                connection = None

    def _send(self, machine: Machine, connection: http.client.HTTPConnection) -> bool:
        """Send one request; return whether the connection may be kept."""
        request_id = f"{random.getrandbits(64):016x}"
        method = "GET" if self._prefix == PREFIX else "POST"
        headers = {
            "Host": HOST,
            "Request-Id": request_id,
            "Deadline-Ms": "2000",
            "Authorization": f"Bearer {self._key}",
        }
        with self._lock:
            self.sent[request_id] = time.monotonic()
        self._fleet.record.write(f"sent id={request_id} to={machine.name}")
        status, keeps = 0, False
        try:
            target = f"{self._prefix}{request_id[:4]}"
            connection.request(method, target, None, headers)
            response = connection.getresponse()
            response.read()
            status = response.status
            keeps = not response.will_close
        except (OSError, http.client.HTTPException):
            keeps = False
        with self._lock:
            self.statuses[request_id] = status
        self._fleet.record.write(f"answered id={request_id} status={status}")
        return keeps


@contextlib.contextmanager
def run_fleet(
    folder: Path, services: list[str], zones: dict[str, str]
) -> Iterator[Fleet]:
    """Run a fleet for the time of a case."""
    fleet = Fleet(Record(folder), services, zones)
    try:
        fleet.start()
        yield fleet
    finally:
        fleet.stop()


def main(play: Callable[[], bool]) -> None:
    """Play a case; exit with 0 if the rule held, 1 if it broke, 2 if it can't run."""
    # A time-out ends the case by SIGTERM; its processes are ended on the way out.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        broke = play()
    except CannotRunError as error:
        print(f"the case can't run: {error}")
        sys.exit(2)
    except Exception as error:  # noqa: BLE001
        print(f"the case can't run: {error!r}")
        sys.exit(2)
    print("the rule was broken" if broke else "the rule held")
    sys.exit(1 if broke else 0)
