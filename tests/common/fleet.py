"""Run a fleet of separate processes: store, daemons and targets."""

import json
from collections import Counter
from collections.abc import Mapping, Sequence
from configparser import ConfigParser
from dataclasses import dataclass, field
from pathlib import Path
from uuid import uuid4

from tests.common.ports import HOST, PortReservation
from tests.common.processes import (
    PYTHON_MODULE,
    ManagedProcess,
    ProcessGroup,
    Program,
)
from tests.common.relay import Relay
from tests.common.waiting import wait_until
from tests.common.web import Outcome, send_request

FLEET_SECRET = "secret-of-the-test-fleet"
ADMIN_TOKEN = "token-of-the-test-operators"
LISTENERS = ("caller", "outgoing", "peer", "gossip", "admin")
READY_LIMIT_S = 60.0
DAEMON_MODULE = Program((*PYTHON_MODULE.command, "corianderhold"))


@dataclass(frozen=True)
class DaemonPlan:
    """
    Describe one daemon and, if it has a service, its local target.

    `relay_peer` and `relay_target` put a fault-injecting relay in front of its peer
    listener and its target. Each start of the target announces itself with an id that
    begins with `target_id` if it is set.
    """

    instance: str
    domain: str
    service: str | None = None
    region: str = "ch-west"
    slots: int = 8
    service_ms: float = 1.0
    relay_peer: bool = False
    relay_target: bool = False
    log_level: str = "info"
    deregistration_delay_s: float = 0.2
    target_id: str = ""


@dataclass
class FleetMember:
    """Hold the processes, ports and relays of one daemon and its target."""

    plan: DaemonPlan
    ports: Mapping[str, int]
    daemon: ManagedProcess | None = None
    target: ManagedProcess | None = None
    target_address: str = ""
    peer_relay: Relay | None = None
    target_relay: Relay | None = None

    def get_address(self, listener: str) -> str:
        """Return ip:port of one of the daemon's listeners."""
        return f"{HOST}:{self.ports[listener]}"


@dataclass(frozen=True)
class RequestPlan:
    """Describe a request; its id serves to count its executions at the targets."""

    path: str
    key: str
    method: str = "GET"
    request_id: str = field(default_factory=lambda: str(uuid4()))
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes | None = None


class Fleet:
    """
    Start and stop all processes and count the executions at the targets.

    Rates are divided into fixed slices, which are available at once, unless
    `entry_slots` says otherwise. The daemons run `daemon_program`.
    """

    def __init__(
        self,
        plans: Sequence[DaemonPlan],
        directory: Path,
        entry_slots: str = "",
        daemon_program: Program = DAEMON_MODULE,
    ) -> None:
        self._entry_slots = entry_slots
        self._daemon_program = daemon_program
        self._directory = directory
        self._group = ProcessGroup(directory)
        self._past_runs: Counter[str] = Counter()
        self._reservations: list[PortReservation] = []
        self._starts = 0
        self.members = {plan.instance: self._plan_member(plan) for plan in plans}
        self.store: ManagedProcess | None = None
        self.store_address = ""

    def get_daemon(self, instance: str) -> ManagedProcess:
        """Return the process of a daemon that was started."""
        daemon = self.members[instance].daemon
        assert daemon is not None
        return daemon

    def get_peer_relay(self, instance: str) -> Relay:
        """Return the peer relay of a daemon whose plan sets `relay_peer`."""
        relay = self.members[instance].peer_relay
        assert relay is not None
        return relay

    def start(self, records: Sequence[str]) -> None:
        """Publish `records` as the configuration, then start daemons and targets."""
        self.store = self._start("store", ["emulator", "store"])
        self.store_address = self.store.wait_for_address()
        for record in records:
            self.publish(record)
        for instance in self.members:
            self.start_daemon(instance)
        for instance, member in self.members.items():
            if member.plan.service is not None:
                self.start_target(instance)

    def stop(self) -> None:
        """Stop all processes and relays and release the ports."""
        self._group.stop()
        for member in self.members.values():
            for relay in (member.peer_relay, member.target_relay):
                if relay is not None:
                    relay.stop()
        for reservation in self._reservations:
            reservation.release()

    def publish(self, record: str) -> None:
        """Append one record to the configuration stream."""
        url = f"http://{self.store_address}/v1/streams/configuration/records"
        outcome = send_request("POST", url, body=record.encode())
        assert outcome.status == 201, outcome

    def start_daemon(self, instance: str) -> ManagedProcess:
        """Start or restart a daemon and wait until its health check passes."""
        daemon = self.launch_daemon(instance)
        self.wait_until_healthy(instance)
        return daemon

    def wait_until_healthy(self, instance: str) -> None:
        """Wait until the health check of a daemon passes."""
        daemon = self.get_daemon(instance)
        url = f"http://{self.members[instance].get_address('admin')}/health"

        def is_healthy() -> bool:
            assert daemon.exit_code is None, daemon.read_log()[-2000:]
            return send_request("GET", url).status == 200

        wait_until(is_healthy, f"daemon {instance} is healthy", READY_LIMIT_S)

    def launch_daemon(self, instance: str) -> ManagedProcess:
        """Start the process of a daemon without waiting for anything."""
        member = self.members[instance]
        path = self._write_settings(member)
        arguments = ["serve", "--settings", str(path)]
        program = self._daemon_program
        member.daemon = self._start(f"daemon-{instance}", arguments, program)
        return member.daemon

    def start_target(self, instance: str) -> ManagedProcess:
        """Start or restart the target of a daemon."""
        member = self.members[instance]
        plan = member.plan
        assert plan.service is not None
        arguments = ["emulator", "target", "--service", plan.service]
        arguments += ["--daemon-outgoing", member.get_address("outgoing")]
        arguments += ["--slots", str(plan.slots), "--service-ms", str(plan.service_ms)]
        if plan.target_id:
            arguments += ["--announced-id", f"{plan.target_id}-{self._starts}"]
        if plan.relay_target:
            port = self._reserve_ports(1)[0]
            member.target_relay = Relay(f"{HOST}:{port}")
            arguments += ["--port", str(port)]
            arguments += ["--announced-address", member.target_relay.address]
        member.target = self._start(f"target-{instance}", arguments)
        member.target_address = member.target.wait_for_address()
        return member.target

    def start_callers(self, entry: str, arguments: Sequence[str]) -> ManagedProcess:
        """Start a separate load generator process against one daemon."""
        address = self.members[entry].get_address("caller")
        return self._start(
            "callers", ["emulator", "callers", "--addresses", address, *arguments]
        )

    def kill_target(self, instance: str) -> None:
        """Kill a target, keeping the executions that it has counted."""
        member = self.members[instance]
        self._past_runs += self._read_runs(member)
        assert member.target is not None
        member.target.kill()
        member.target_address = ""

    def save_runs(self) -> dict[str, Counter[str]]:
        """Return the executions of each target, which are lost if it crashes."""
        return {name: self._read_runs(each) for name, each in self.members.items()}

    def list_crashed_targets(self) -> list[str]:
        """Return the instances whose target has ended by itself."""
        return [
            name
            for name, member in self.members.items()
            if member.target is not None
            and member.target_address
            and member.target.exit_code is not None
        ]

    def restart_crashed_targets(
        self, saved: Mapping[str, Counter[str]] | None = None
    ) -> int:
        """Restart the targets that have ended; return how many. Keep `saved` runs."""
        crashed = self.list_crashed_targets()
        for name in crashed:
            self._past_runs += (saved or {}).get(name, Counter())
            self.members[name].target_address = ""
            self.start_target(name)
        return len(crashed)

    def send(self, entry: str, plan: RequestPlan) -> Outcome:
        """Send one request to the caller listener of a daemon."""
        url = f"http://{self.members[entry].get_address('caller')}{plan.path}"
        headers = {
            "Authorization": f"Bearer {plan.key}",
            "X-Request-Id": plan.request_id,
            **plan.headers,
        }
        return send_request(plan.method, url, headers, plan.body)

    def wait_until_served(self, entries: Sequence[str], plan: RequestPlan) -> None:
        """Wait until each entry answers a probe of this plan with a whole response."""
        for entry in entries:
            self._wait_until_served_by(entry, plan)

    def count_runs(self) -> Counter[str]:
        """Return the number of executions of each request id over all targets."""
        runs = Counter(self._past_runs)
        for member in self.members.values():
            runs += self._read_runs(member)
        return runs

    def find_targets(self, request_id: str) -> list[str]:
        """Return the instances whose targets executed a request."""
        return [
            instance
            for instance, member in self.members.items()
            if self._read_runs(member)[request_id]
        ]

    def drain_target(self, instance: str) -> None:
        """Make a target tell its daemon that it drains, and await the answer."""
        url = f"http://{self.members[instance].target_address}/_emulator/drain"
        outcome = send_request("POST", url)
        assert outcome.status == 204, outcome

    def deliver_late_announcement(self, instance: str) -> None:
        """Deliver an announcement of a target that was held up, also after a drain."""
        url = f"http://{self.members[instance].target_address}/_emulator/announce"
        outcome = send_request("POST", url)
        assert outcome.status == 204, outcome

    def set_target_faults(self, instance: str, faults: Mapping[str, object]) -> None:
        """Inject faults into one target."""
        url = f"http://{self.members[instance].target_address}/_emulator/faults"
        outcome = send_request("POST", url, body=json.dumps(faults).encode())
        assert outcome.status == 204, outcome

    def set_store_faults(self, faults: Mapping[str, object]) -> None:
        """Inject faults into the store."""
        url = f"http://{self.store_address}/v1/faults"
        outcome = send_request("POST", url, body=json.dumps(faults).encode())
        assert outcome.status == 204, outcome

    def list_executions(self, instance: str) -> list[dict[str, object]]:
        """Return the requests that a target executed, with the headers received."""
        url = f"http://{self.members[instance].target_address}/_emulator/executions"
        executions: list[dict[str, object]] = json.loads(send_request("GET", url).body)
        return executions

    def _wait_until_served_by(self, entry: str, plan: RequestPlan) -> None:
        wait_until(
            lambda: self._probe(entry, plan).is_whole,
            f"{entry} serves {plan.path}: {self._probe(entry, plan)}",
            READY_LIMIT_S,
        )

    def _probe(self, entry: str, plan: RequestPlan) -> Outcome:
        probe = RequestPlan(plan.path, plan.key, plan.method, f"probe-{uuid4()}")
        return self.send(entry, probe)

    def _read_runs(self, member: FleetMember) -> Counter[str]:
        if not member.target_address:
            return Counter()
        url = f"http://{member.target_address}/_emulator/counts"
        outcome = send_request("GET", url)
        assert outcome.complete, outcome
        runs: dict[str, int] = json.loads(outcome.body)["runs"]
        return Counter(runs)

    def _start(
        self, name: str, arguments: Sequence[str], program: Program = PYTHON_MODULE
    ) -> ManagedProcess:
        self._starts += 1
        return self._group.start(f"{name}-{self._starts}", arguments, program)

    def _reserve_ports(self, count: int) -> list[int]:
        reservation = PortReservation(count)
        self._reservations.append(reservation)
        return reservation.ports

    def _plan_member(self, plan: DaemonPlan) -> FleetMember:
        ports = dict(zip(LISTENERS, self._reserve_ports(len(LISTENERS)), strict=True))
        member = FleetMember(plan, ports)
        if plan.relay_peer:
            member.peer_relay = Relay(member.get_address("peer"), framed=True)
        return member

    def get_settings_path(self, instance: str) -> Path:
        """Return the path of a daemon's settings file."""
        return self._directory / f"{instance}.ini"

    def _write_settings(self, member: FleetMember) -> Path:
        plan = member.plan
        seeds = [each.get_address("gossip") for each in self.members.values()]
        settings = ConfigParser(interpolation=None)
        settings["instance"] = {
            "id": plan.instance,
            "domain": plan.domain,
            "region": plan.region,
        }
        settings["listeners"] = {name: member.get_address(name) for name in LISTENERS}
        if member.peer_relay is not None:
            settings["listeners"]["peer_advertised"] = member.peer_relay.address
        if plan.service is not None:
            settings["target"] = {"service": plan.service}
        settings["store"] = {"address": self.store_address}
        slots = sum(e.plan.domain == plan.domain for e in self.members.values())
        settings["membership"] = {
            "seeds": ",".join(seeds),
            "entry_slots": self._entry_slots or str(slots),
        }
        settings["security"] = {
            "fleet_secret": FLEET_SECRET,
            "admin_token": ADMIN_TOKEN,
        }
        delay_s = plan.deregistration_delay_s
        settings["lifecycle"] = {
            "stop_limit_s": "6",
            "deregistration_delay_s": str(delay_s),
        }
        settings["logging"] = {"level": plan.log_level}
        path = self.get_settings_path(plan.instance)
        with path.open("w") as file:
            settings.write(file)
        return path
