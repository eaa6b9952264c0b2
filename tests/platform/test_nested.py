"""
Test that a server's own calls are served while callers fill its daemon.

Without reserved slots, slow requests of callers would occupy all of them, and the calls
that these requests make would be refused.
"""

import json
import tempfile
import threading
from collections.abc import Iterable
from configparser import ConfigParser
from pathlib import Path
from unittest import TestCase

from corianderhold.bootstrap import build_daemon
from corianderhold.coordination.entry.const import (
    NESTED_RESERVE_RATIO,
    RESERVED_THREADS,
)
from corianderhold.settings.loader import load_settings
from corianderhold.state.membership.model import Address
from corianderhold.transport.web.server import Environ, StartResponse, WebServer
from corianderhold_platform.deployment import build_deployment
from tests.common.ports import HOST, PortReservation
from tests.common.waiting import wait_until
from tests.common.web import send_request
from tests.platform.documents import SAFE_ROUTE, write_document
from tests.platform.store import PlatformStore
from tests.platform.test_targets import HEARTBEAT

SLOTS = 10
ROOT_SLOTS = SLOTS - int(SLOTS * NESTED_RESERVE_RATIO)
OPEN_ROUTE = ["r-2", "a.example", "/b/", "safe", 10, 1, 2, "s1", 1, True, None]
ROOT_ROUTE = [*SAFE_ROUTE[:4], 10, *SAFE_ROUTE[5:]]
KEY = {"Authorization": "Bearer key-one"}
LISTENERS = ("caller", "announce", "readiness", "peer", "gossip", "admin")


class SlowServer:
    """Block requests for /a/slow until `released`; respond to others at once."""

    def __init__(self, address: Address) -> None:
        self.running: list[str] = []
        self.released = threading.Event()
        self._web = WebServer("server", address, self, 4 * SLOTS)
        self.start, self.stop = self._web.start, self._web.stop

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Respond to one request."""
        if environ["PATH_INFO"] == "/a/slow":
            self.running.append(environ["PATH_INFO"])
            self.released.wait()
        start_response("200 OK", [("Content-Length", "2"), ("Server-Seal", "x")])
        return [b"ok"]


class NestedCallsTest(TestCase):
    """Run one daemon of the platform with a slow server on loopback."""

    def setUp(self) -> None:
        reservation = PortReservation(len(LISTENERS) + 2)
        self.addCleanup(reservation.release)
        store_port, server_port, *ports = reservation.ports
        self.ports = dict(zip(LISTENERS, ports, strict=True))
        store = PlatformStore(Address(HOST, store_port))
        document = json.loads(write_document(1))
        document["routes"]["rows"] = [ROOT_ROUTE, OPEN_ROUTE]
        document["tenants"]["rows"] = [["t1", ["key-one"], 1, 100_000, 100_000]]
        store.put("keyed.op", "config", json.dumps(document).encode())
        self.server = SlowServer(Address(HOST, server_port))
        daemon = build_daemon(
            load_settings(self._write_settings(store_port)), build_deployment()
        )
        for part in (store, self.server):
            part.start()
            self.addCleanup(part.stop)
        runner = threading.Thread(target=daemon.run, args=(lambda: None,), daemon=True)
        runner.start()
        self.addCleanup(runner.join)
        self.addCleanup(daemon.request_stop)
        self.addCleanup(self.server.released.set)
        heartbeat = json.dumps(
            {**HEARTBEAT, "address": f"{HOST}:{server_port}"}
        ).encode()
        url = self._locate("announce", "/corianderhold/rpc?call=instances.heartbeat")
        wait_until(
            lambda: send_request("POST", f"{url}&of=i-1", body=heartbeat).status == 200,
            "the announcement is acknowledged",
        )
        for path, headers in (("/b/", {}), ("/a/", KEY)):
            wait_until(
                lambda at=path, sent=headers: self.call(at, **sent) == 200,  # type: ignore[misc]
                f"{path} is served",
            )

    def _write_settings(self, store_port: int) -> Path:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        settings = ConfigParser(interpolation=None)
        settings["instance"] = {"id": "d-1", "domain": "z-1", "region": "r-1"}
        settings["listeners"] = {
            **{name: f"{HOST}:{port}" for name, port in self.ports.items()},
            "caller_threads": str(RESERVED_THREADS + SLOTS),
        }
        settings["target"] = {"service": "s1", "heartbeat_ttl_s": "60"}
        settings["store"] = {"address": f"{HOST}:{store_port}"}
        settings["membership"] = {"domains": "z-1", "entry_slots": "members"}
        settings["security"] = {"peer_trust": "network"}
        settings["lifecycle"] = {"stop_limit_s": "3", "deregistration_delay_s": "0"}
        path = Path(folder.name) / "settings.ini"
        with path.open("w") as file:
            settings.write(file)
        return path

    def _locate(self, listener: str, path: str) -> str:
        return f"http://{HOST}:{self.ports[listener]}{path}"

    def call(self, path: str, **headers: str) -> int:
        """Return the status of a request."""
        url = self._locate("caller", path)
        return send_request("GET", url, {"Host": "a.example", **headers}).status

    def test_slow_root_requests_leave_slots_for_nested_calls(self) -> None:
        statuses: list[int] = []
        roots = [
            threading.Thread(
                target=lambda: statuses.append(self.call("/a/slow", **KEY)), daemon=True
            )
            for _ in range(3 * SLOTS)
        ]
        for root in roots:
            root.start()
        refused = len(roots) - ROOT_SLOTS
        wait_until(
            lambda: len(self.server.running) + len(statuses) == len(roots),
            "all root requests run or are refused",
        )
        self.assertEqual(len(self.server.running), ROOT_SLOTS)
        self.assertEqual(statuses, [503] * refused)
        self.assertEqual([self.call("/b/") for _ in range(5)], [200] * 5)
        self.assertEqual(self.call("/a/slow", **KEY), 503)
        self.server.released.set()
        for root in roots:
            root.join()
        self.assertEqual(statuses[refused:], [200] * ROOT_SLOTS)
