"""Stop a daemon while clients read their answers slowly."""

import random
import re
import signal
import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from fleet import (  # noqa: E402
    BOUNDS,
    TROUBLE,
    AppServer,
    CannotRunError,
    Fleet,
    Machine,
    run_case,
    write_config,
)

ZONES = {"z-a": "r-1"}
HOST = "shop.example"
HEAD_BYTES = 250  # of an answer, about
ANSWER_BYTES = 28_000  # of the site: up to 30,000 for safe requests
PIPELINED = 6  # whatever the kernel buffers, one of them is being written
DEADLINE_S = 40.0
READ_EVERY_S = 0.1
READ_BYTES = (700, 750, 800, 850, 900, 950)  # of each client, every READ_EVERY_S
CLIENTS = len(READ_BYTES)
# A window of one or two packets, as on a link whose peer hardly reads.
RECEIVE_BUFFER, SEGMENT_BYTES = 1, 1448
TERM_AFTER_S = 0.25
HEAD = re.compile(rb"HTTP/1\.1 (\d+) .*?\r\n\r\n", re.DOTALL)


class Client(threading.Thread):
    """Send safe requests one behind the other, and read the answers slowly."""

    def __init__(self, fleet: Fleet, machine: Machine, number: int) -> None:
        super().__init__(daemon=True)
        self.fleet = fleet
        self.read_bytes = READ_BYTES[number]
        self.machine = machine
        self.name = f"client-{number}"
        self.ids = [f"{random.getrandbits(64):016x}" for _ in range(PIPELINED)]
        self.whole: list[tuple[str, int]] = []
        self.sent_at = 0.0
        self.ended_at = 0.0
        self.ended = ""
        self.address = ("", 0)
        self.received_bytes = 0

    def run(self) -> None:
        """Send all requests at once, and read until all answers or the end."""
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        connection.settimeout(DEADLINE_S)
        connection.connect(self.machine.outbound)
        self.address = connection.getsockname()
        self.sent_at = time.monotonic()
        connection.sendall(
            b"".join(
                f"GET /shop/item HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {name}\r\n"
                f"Deadline-Ms: {DEADLINE_S * 1000:.0f}\r\n\r\n".encode()
                for name in self.ids
            )
        )
        self.fleet.record.note(f"{self.name} sent {' '.join(self.ids)}")
        received = b""
        while len(self.whole) < PIPELINED:
            time.sleep(READ_EVERY_S)
            try:
                data = connection.recv(self.read_bytes)
            except OSError as error:
                self.ended = repr(error)
                break
            if not data:
                self.ended = "end of the connection"
                break
            self.received_bytes += len(data)
            received = self.take_answers(received + data)
        self.ended_at = time.monotonic()
        self.fleet.record.note(
            f"{self.name}: {len(self.whole)} whole answers, "
            f"{len(received)} bytes of the next; {self.ended or 'all there'}"
        )
        connection.close()

    def count_written_answers(self) -> int:
        """Return how many answers the daemon has written whole to the connection."""
        waiting = count_waiting_bytes(self.address[1], self.machine.outbound[1])
        return (self.received_bytes + waiting) // (ANSWER_BYTES + HEAD_BYTES)

    def take_answers(self, received: bytes) -> bytes:
        """Take the whole answers from what was received; return the rest."""
        while head := HEAD.match(received):
            length = re.search(rb"Content-Length: (\d+)", head[0], re.IGNORECASE)
            assert length is not None, head[0]
            end = head.end() + int(length[1])
            if len(received) < end:
                break
            name = self.ids[len(self.whole)]
            self.whole.append((name, int(head[1])))
            self.fleet.record.note(f"{name} answered {int(head[1])}, whole")
            received = received[end:]
        return received


def count_waiting_bytes(client_port: int, daemon_port: int) -> int:
    """Return the bytes between a daemon and a client that the kernel holds."""
    waiting = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        local, remote = (int(each.split(":")[1], 16) for each in fields[1:3])
        sent, received = (int(each, 16) for each in fields[4].split(":"))
        if (local, remote) == (daemon_port, client_port):
            waiting += sent
        elif (local, remote) == (client_port, daemon_port):
            waiting += received
    return waiting


class LargeAnswers(AppServer):
    """A sound server whose answers have ANSWER_BYTES."""

    body = bytes(ANSWER_BYTES)


def note_writes(fleet: Fleet, clients: list[Client], since: float) -> None:
    """Note when the daemon has written the answers, during the grace time."""
    written = {client.name: 0 for client in clients}
    while (passed_s := time.monotonic() - since) < BOUNDS["grace_s"]:
        for client in clients:
            count = client.count_written_answers()
            if count > written[client.name]:
                written[client.name] = count
                fleet.record.note(
                    f"{client.name}: {count} answers are written {passed_s:.2f} s "
                    "after the time at which SIGTERM would have come"
                )
        time.sleep(0.05)


def play(fleet: Fleet) -> bool:
    """Return whether answers to requests that were passed on broke off."""
    machine = fleet.add_machine("z-a", "shop")
    other = fleet.add_machine("z-a", "shop")
    route = ["r-1", HOST, "/shop/", "safe", DEADLINE_S, 1, 1, "shop", 1, True, None]
    fleet.store.put("keyed.op", "config", write_config(1, [route], ["shop"]))
    for each in fleet.machines:
        each.start()
    servers = [LargeAnswers(machine, "i-one"), LargeAnswers(other, "i-two")]
    fleet.wait_until_ready()
    time.sleep(2.0)
    clients = [Client(fleet, machine, number) for number in range(CLIENTS)]
    for client in clients:
        client.start()
    time.sleep(TERM_AFTER_S)
    term_at = time.monotonic()
    closed_at = term_at
    if TROUBLE:
        machine.send_signal(signal.SIGTERM)
        assert machine.process is not None
        machine.process.wait(BOUNDS["grace_s"] + 1)
        closed_at = time.monotonic()
        fleet.record.say(
            f"the daemon ended {closed_at - term_at:.2f} s after SIGTERM, "
            f"code {machine.process.returncode}; grace_s is {BOUNDS['grace_s']}"
        )
    else:
        note_writes(fleet, clients, term_at)
    for client in clients:
        client.join()
    ran = {name: at for server in servers for at, name, _ in server.runs}
    broken = 0
    for client in clients:
        answered = {name for name, _ in client.whole}
        for number, name in enumerate(client.ids, 1):
            if name in answered or name not in ran:
                continue
            in_time = client.ended_at < client.sent_at + DEADLINE_S
            if in_time and closed_at < term_at + BOUNDS["grace_s"]:
                broken += 1
                fleet.record.note(
                    f"{name} ran {ran[name] - term_at:+.2f} s from SIGTERM; its "
                    f"answer, number {number} of {client.name}, broke off"
                )
    whole = sum(len(client.whole) for client in clients)
    fleet.record.say(f"{whole} whole answers; {broken} broke off that had run")
    if not whole:
        raise CannotRunError("no request was served")
    return broken > 0


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, ZONES, play))
