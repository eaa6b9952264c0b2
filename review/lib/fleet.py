"""
Start daemons of the project as processes, with stand-ins for the platform around them.

The store, the servers and the clients are threads of the script. They speak what the
users' PROTOCOL.md says, on loopback addresses only. Each machine has its own loopback
address, so that ports are the same on all machines of a run, as DEPLOY.md says.
"""

import base64
import http.client
import json
import os
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "stable_window_s": 4,
    "ack_s": 4,
    "catch_up_s": 4,
    "drain_s": 2.5,
    "grace_s": 6,
    "loss_slack_s": 0.2,
    "config_s": 2.5,
    "rollback_slack_s": 0.25,
    "max_skew_s": 5,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_min_retries": 47,
    "quota_window_s": 5,
    "quota_overage": 0.1,
    "quota_slack": 20,
    "recovery_s": 15,
}
ROUTE_COLUMNS = [
    "name", "host", "prefix", "kind", "timeout_s", "target_latency_s", "priority",
    "service", "max_attempts", "allow_anonymous", "traffic_split",
]  # fmt: skip


class CannotRunError(Exception):
    """The case could not be set up; the script exits with 2."""


class Record:
    """Write what was sent, answered and run to record.txt; thread-safe."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._lock = threading.Lock()
        self.began_at = time.monotonic()

    def note(self, text: str) -> None:
        """Write one line with the seconds since the start."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self.began_at:9.4f} {text}\n")
            self._file.flush()

    def say(self, text: str) -> None:
        """Write one line to the record and to standard output."""
        self.note(text)
        print(text, flush=True)


class QuietHandler(BaseHTTPRequestHandler):
    """Serve HTTP/1.1 with keep-alive, without a log of its own."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, format: str, *args: object) -> None:
        """Write nothing."""

    def read_body(self) -> bytes:
        """Return the whole body; raise ConnectionError if it breaks off."""
        if self.headers.get("Transfer-Encoding", "").lower() == "chunked":
            parts = []
            while size := int(self._read_line().split(b";")[0], 16):
                parts.append(self._read_exactly(size))
                self._read_line()
            while self._read_line():
                pass
            return b"".join(parts)
        return self._read_exactly(int(self.headers.get("Content-Length") or 0))

    def _read_exactly(self, size: int) -> bytes:
        data = self.rfile.read(size)
        if len(data) < size:
            raise ConnectionError("the request broke off")
        return data

    def _read_line(self) -> bytes:
        line = self.rfile.readline()
        if not line.endswith(b"\n"):
            raise ConnectionError("the request broke off")
        return line.strip()

    def answer(
        self, status: int, body: bytes = b"", headers: dict[str, str] | None = None
    ) -> None:
        """Send a whole answer in one piece."""
        lines = [f"HTTP/1.1 {status} {self.responses.get(status, ('X',))[0]}"]
        fields = {"Content-Length": str(len(body)), **(headers or {})}
        lines += [f"{name}: {value}" for name, value in fields.items()]
        self.wfile.write("\r\n".join([*lines, "", ""]).encode() + body)


class QuietServer(ThreadingHTTPServer):
    """Serve in threads that don't outlive the script."""

    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 512

    def handle_error(self, request: object, client_address: object) -> None:
        """Ignore clients that close their connections."""


class Store:
    """
    The platform's store: a log with one partition a topic, which loses nothing.

    While `down` is set, nothing is done: it resets every connection or, if `silent`,
    never answers on it.
    """

    def __init__(self, ip: str, port: int, record: Record) -> None:
        self.address = f"{ip}:{port}"
        self.down = False
        self.silent = False
        self.answer_s = 0.004
        self.record = record
        self._topics: dict[str, list[bytes]] = {}
        self._changed = threading.Condition()
        store = self

        class Handler(QuietHandler):
            def do_GET(self) -> None:  # noqa: N802
                store.serve(self)

            def do_POST(self) -> None:  # noqa: N802
                store.serve(self)

        self._server = QuietServer((ip, port), Handler)
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def set_down(self, down: bool) -> None:
        """Take the store down, or bring it back."""
        self.down = down
        with self._changed:
            self._changed.notify_all()
        self.record.say(f"store {'down' if down else 'up'}")

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Write a record as the operator does; the return is the acknowledgement."""
        self._append(topic, [bytes([len(key)]) + key.encode() + value])
        self.record.note(f"operator wrote {topic} {key}")

    def serve(self, handler: QuietHandler) -> None:
        """Serve one call, or reset its connection while the store is down."""
        url = urlsplit(handler.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        body = handler.read_body()
        if self.down:
            self._reset(handler)
            return
        time.sleep(self.answer_s)
        name = url.path.rpartition("/")[2]
        if name == "log-append":
            status, answer = self._serve_append(query, body)
        elif name == "log-read":
            status, answer = self._serve_read(query)
        elif name == "log-newest":
            status, answer = self._serve_newest(query)
        else:
            status, answer = 404, b""
        if self.down:
            self._reset(handler)
            return
        handler.answer(status, answer)

    def _reset(self, handler: QuietHandler) -> None:
        if self.silent:
            while handler.connection.recv(65536):
                pass
            handler.close_connection = True
            return
        handler.connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        handler.close_connection = True

    def _append(self, topic: str, contents: list[bytes], at: int | None = None) -> int:
        """Append records; return the first offset, -1 if the end is not at `at`."""
        with self._changed:
            records = self._topics.setdefault(topic, [])
            if at is not None and at != len(records):
                return -1
            records += contents
            self._changed.notify_all()
            return len(records) - len(contents)

    def _serve_append(self, query: dict[str, str], body: bytes) -> tuple[int, bytes]:
        contents, position = [], 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            contents.append(body[position + 4 : position + 4 + length])
            position += 4 + length
        if query["topic"] in ("keyed.op", "keyed.servers"):
            return 403, b""
        at = int(query["at"]) if "at" in query else None
        offset = self._append(query["topic"], contents, at)
        end = len(self._topics[query["topic"]])
        if offset < 0:
            return 412, json.dumps({"end": end}).encode()
        self.record.note(f"store appended {query['topic']} at {offset}")
        return 200, json.dumps({"offset": offset, "end": end}).encode()

    def _serve_read(self, query: dict[str, str]) -> tuple[int, bytes]:
        topic, start = query["topic"], int(query["from"])
        wait_s = int(query.get("wait_ms", 0)) / 1000
        with self._changed:
            self._changed.wait_for(
                lambda: self.down or len(self._topics.get(topic, [])) > start, wait_s
            )
            records = list(self._topics.get(topic, []))
        if start > len(records):
            return 410, json.dumps({"first": 0}).encode()
        head = struct.pack(">QQ", len(records), 0)
        return 200, head + b"".join(
            struct.pack(">I", len(each)) + each for each in records[start:]
        )

    def _serve_newest(self, query: dict[str, str]) -> tuple[int, bytes]:
        with self._changed:
            records = list(self._topics.get(query["topic"], []))
        newest: dict[str, tuple[int, bytes]] = {}
        for offset, content in enumerate(records):
            length = content[0]
            newest[content[1 : 1 + length].decode()] = (offset, content[1 + length :])
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in sorted(newest.items())
            if value and key > query.get("after", "")
        ]
        page = {"items": items[:500], "has_more": len(items) > 500, "end": len(records)}
        return 200, json.dumps(page).encode()


class Machine:
    """One `sidecar` machine: its addresses, its settings and its daemon's process."""

    def __init__(self, fleet: "Fleet", number: int, zone: str, service: str) -> None:
        self.fleet = fleet
        self.name = f"sidecar-{zone}-{number}"
        self.ip = f"{fleet.prefix}.{10 + number}"
        self.zone = zone
        self.service = service
        ports = fleet.ports
        self.outbound = (self.ip, ports["outbound"])
        self.control = (self.ip, ports["control"])
        self.readiness = (self.ip, ports["readiness"])
        self.app = (self.ip, ports["app"])
        self.process: subprocess.Popen[bytes] | None = None
        self.started_at = 0.0
        self.settings = fleet.folder / f"{self.name}.ini"
        self.log = fleet.folder / f"{self.name}.log"

    def write_settings(self) -> None:
        """Fill in the project's template as the platform does."""
        ports = self.fleet.ports
        fields = {
            "node": self.name,
            "zone": self.zone,
            "region": self.fleet.zones[self.zone],
            "zones": self.fleet.zones,
            "ip": self.ip,
            "listen": {
                "outbound": f"{self.ip}:{ports['outbound']}",
                "inbound": f"{self.ip}:{ports['inbound']}",
                "control": f"{self.ip}:{ports['control']}",
                "readiness": f"{self.ip}:{ports['readiness']}",
            },
            "internal_port_range": [ports["internal"], ports["internal"] + 15],
            "service": self.service,
            "platform": {"address": self.fleet.store.address},
            "bounds": BOUNDS,
        }
        template = (ROOT / "deploy" / "settings.ini").read_text()
        self.settings.write_text(fill_template(template, fields))

    def start(self) -> None:
        """Start the daemon by the command of the deploy file."""
        self.write_settings()
        kept = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                self.fleet.command,
                cwd=ROOT,
                env={
                    **kept,
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "CORIANDERHOLD_BOOT": str(self.settings),
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.started_at = time.monotonic()
        self.fleet.record.note(f"{self.name} started, process {self.process.pid}")

    def send_signal(self, number: int) -> None:
        """Send a signal to the daemon that this script started."""
        assert self.process is not None
        self.process.send_signal(number)
        self.fleet.record.note(f"{self.name} got signal {number}")

    def kill(self) -> None:
        """Kill the daemon and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
            self.fleet.record.note(f"{self.name} killed")

    def is_ready(self) -> bool:
        """Ask the daemon whether it is ready, as the platform does each second."""
        try:
            status, _, _ = request(self.readiness, "GET", "/corianderhold/ready", 1.0)
        except OSError:
            return False
        return status == 200

    def read_log(self) -> str:
        """Return what the daemon has written so far."""
        return self.log.read_text(errors="replace") if self.log.exists() else ""


class Fleet:
    """The machines, the store and the folder of one run."""

    def __init__(self, case: Path, zones: dict[str, str]) -> None:
        self.record = Record(case)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.zones = zones
        self.prefix = choose_prefix()
        self.ports = choose_ports(self.prefix)
        self.command = read_command()
        self.store = Store(f"{self.prefix}.2", self.ports["store"], self.record)
        self.machines: list[Machine] = []

    def add_machine(self, zone: str, service: str) -> Machine:
        """Add a machine; its daemon is not started."""
        machine = Machine(self, len(self.machines) + 1, zone, service)
        self.machines.append(machine)
        return machine

    def wait_until_ready(self, limit_s: float = 20.0) -> None:
        """Wait until all daemons are ready."""
        wait_until(
            lambda: all(machine.is_ready() for machine in self.machines),
            "all daemons are ready",
            limit_s,
        )

    def close(self) -> None:
        """End all processes and remove the folder."""
        for machine in self.machines:
            machine.kill()
        if os.environ.get("KEEP"):
            print(f"kept {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class AppServer:
    """
    A sound server beside a daemon; it counts what runs and sends heartbeats.

    `work_s` is how long a request runs.
    """

    body = b"ok"

    def __init__(self, machine: Machine, server_id: str, work_s: float = 0.01) -> None:
        self.machine = machine
        self.id = server_id
        self.work_s = work_s
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.leaving = False
        self.beating = threading.Event()
        self.runs: list[tuple[float, str, str]] = []
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        app = self

        class Handler(QuietHandler):
            def do_GET(self) -> None:  # noqa: N802
                app.serve(self)

            def do_POST(self) -> None:  # noqa: N802
                app.serve(self)

        self._server = QuietServer(machine.app, Handler)
        threading.Thread(target=self._server.serve_forever, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def serve(self, handler: QuietHandler) -> None:
        """Run one request, or say that it was not run."""
        handler.read_body()
        request_id = handler.headers.get("Request-Id", "")
        echo = {"Request-Id": request_id} if request_id else {}
        expected = handler.headers.get("Expect-Instance")
        if expected is not None and expected != self.id:
            handler.answer(421, headers={**echo, "Instance-Id": self.id})
            return
        with self._lock:
            tenant = handler.headers.get("Tenant", "")
            self.runs.append((time.monotonic(), request_id, tenant))
        self.machine.fleet.record.note(f"{self.id} runs {request_id} of {tenant!r}")
        time.sleep(self.work_s)
        headers = {**echo, "Server-Seal": f"{self.id}.{request_id}"}
        if self.leaving:
            headers["Connection"] = "close"
            handler.close_connection = True
        handler.answer(200, self.body, headers)

    def describe(self) -> bytes:
        """Return the body of the next heartbeat."""
        self.sequence += 1
        return json.dumps(
            {
                "address": f"{self.machine.app[0]}:{self.machine.app[1]}",
                "born": self.born,
                "info": {
                    "service": self.machine.service,
                    "version": "v1",
                    "zone": self.machine.zone,
                    "slots": 58,
                },
                "status": {
                    "state": "ready",
                    "seq": self.sequence,
                    "cold_remaining_s": 0,
                },
            }
        ).encode()

    def call(self, name: str, body: bytes) -> int:
        """Call the daemon; return the status, 0 without an answer within a second."""
        path = f"/corianderhold/rpc?call=instances.{name}&of={self.id}"
        headers = {"Content-Type": "application/json"}
        try:
            status, _, _ = request(
                self.machine.control, "POST", path, 1.0, headers, body
            )
        except OSError:
            status = 0
        return status

    def _beat(self) -> None:
        self.beating.set()
        while not self._stopped.wait(0.02):
            if self.beating.is_set():
                self.call("heartbeat", self.describe())
                self._stopped.wait(1.5)

    def stop(self) -> None:
        """Stop to serve and to send heartbeats."""
        self._stopped.set()
        self._server.shutdown()
        self._server.server_close()


def request(
    address: tuple[str, int],
    method: str,
    path: str,
    timeout_s: float,
    headers: dict[str, str] | None = None,
    body: bytes | None = None,
) -> tuple[int, dict[str, str], bytes]:
    """Send one request on a new connection; raise OSError without a whole answer."""
    connection = http.client.HTTPConnection(*address, timeout=timeout_s)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    except http.client.HTTPException as error:
        raise OSError(str(error)) from error
    finally:
        connection.close()


def write_config(
    version: int,
    routes: list[list[object]],
    services: list[str],
    tenants: list[list[object]] | None = None,
) -> bytes:
    """Return a configuration of the operator."""
    document: dict[str, object] = {
        "version": version,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1048576,
            "header_timeout_s": 5,
            "idle_timeout_s": 30,
        },
        "routes": {"columns": ROUTE_COLUMNS, "rows": routes},
        "services": {
            "columns": ["name", "health_check_path", "max_connections"],
            "rows": [[name, "/healthz", 448] for name in services],
        },
    }
    if tenants is not None:
        document["tenants"] = {
            "columns": ["name", "api_keys", "priority", "rate_per_s", "burst"],
            "rows": tenants,
        }
    return json.dumps(document).encode()


def fill_template(text: str, fields: dict[str, object]) -> str:
    """Fill in the placeholders and sections that the project's template uses."""

    def find(name: str) -> object:
        value: object = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            else:
                assert isinstance(value, dict)
                value = value[part]
        return value

    def fill_section(match: re.Match[str]) -> str:
        value = find(match[1])
        keys = list(value) if isinstance(value, dict) else []
        last = len(keys) - 1
        return "".join(
            match[2].replace("{{@}}", key).replace("{{,}}", "" if i == last else ",")
            for i, key in enumerate(keys)
        )

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", fill_section, text)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(find(match[1])), text)


def read_command() -> list[str]:
    """Return the command of the role in the deploy file."""
    import tomllib

    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    (role,) = deploy["roles"].values()
    command = role["run"].split()
    return [sys.executable if command[0] == "python3" else command[0], *command[1:]]


def choose_prefix() -> str:
    """Return the first three numbers of loopback addresses for this run."""
    return f"127.{20 + os.getpid() % 200}.{os.getpid() // 200 % 250}"


def choose_ports(prefix: str) -> dict[str, int]:
    """Return ports that are free on the machines of this run."""
    for base in range(21000, 31000, 40):
        try:
            for port in range(base, base + 24):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((f"{prefix}.11", port))
        except OSError:
            continue
        names = ("internal", "outbound", "inbound", "control", "readiness", "app")
        ports = {name: base + 15 + place for place, name in enumerate(names)}
        return {**ports, "internal": base, "store": base + 22}
    raise CannotRunError("no free ports")


def wait_until(is_true: object, what: str, limit_s: float) -> None:
    """Wait for a condition; raise CannotRunError after `limit_s` seconds."""
    assert callable(is_true)
    end = time.monotonic() + limit_s
    while not is_true():
        if time.monotonic() > end:
            raise CannotRunError(f"not within {limit_s} s: {what}")
        time.sleep(0.05)


def sleep_until(at: float) -> None:
    """Sleep until a time of the steady clock."""
    time.sleep(max(0.0, at - time.monotonic()))


def run_case(case: Path, zones: dict[str, str], play: object) -> int:
    """Run one case; return 1 if the rule was broken, 0 if it held, else 2."""
    assert callable(play)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    if not (ROOT / "target" / "deps").is_dir():
        print("target/deps is missing: run the build of the deploy file first")
        return 2
    fleet = Fleet(case, zones)
    try:
        broken = play(fleet)
    except (CannotRunError, OSError) as error:
        fleet.record.say(f"the case could not run: {error!r}")
        return 2
    finally:
        fleet.close()
    fleet.record.say("rule BROKEN" if broken else "rule held")
    return 1 if broken else 0
