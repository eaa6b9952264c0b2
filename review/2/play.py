"""A server leaves while the store is away; then the daemon beside it is killed."""

import random
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
    request,
    run_case,
    sleep_until,
    write_config,
)

ZONES = {"z-a": "r-1", "z-b": "r-1"}
HOST = "shop.example"
DOWN_S = 4.5  # platform_down of the site
DEREGISTER_AFTER_S = 0.3  # from the beginning of the outage
KILL_AFTER_S = 0.6  # from the acknowledgement
RESTART_S = 0.5
LATE_S = 4.0  # how late the last heartbeat arrives
STAY_S = 12.0  # the server serves on for so long after the acknowledgement
CLIENTS = 4
SETTLE_S = 0.2


class LateHeartbeat(threading.Thread):
    """A proxy that delivers one heartbeat late; its sender has given up by then."""

    def __init__(self, fleet: Fleet, server: AppServer) -> None:
        super().__init__(daemon=True)
        self.fleet = fleet
        self.server = server
        self.body = server.describe()
        self.status = 0

    def run(self) -> None:
        """Hold the heartbeat, and deliver it."""
        number = self.server.sequence
        self.fleet.record.note(f"{self.server.id} sends heartbeat {number}, held up")
        time.sleep(LATE_S)
        self.status = self.server.call("heartbeat", self.body)
        self.fleet.record.note(f"heartbeat {number} arrives: {self.status}")


class Client(threading.Thread):
    """Send requests to one machine, one after another."""

    def __init__(self, fleet: Fleet, machine: Machine, until: float) -> None:
        super().__init__(daemon=True)
        self.fleet = fleet
        self.machine = machine
        self.until = until
        self.statuses: dict[int, int] = {}

    def run(self) -> None:
        """Send until the end."""
        while time.monotonic() < self.until:
            request_id = f"{random.getrandbits(64):016x}"
            headers = {"Host": HOST, "Request-Id": request_id, "Deadline-Ms": "2000"}
            try:
                status, _, _ = request(
                    self.machine.outbound, "GET", "/shop/item", 2.0, headers
                )
            except OSError:
                status = 0
            self.statuses[status] = self.statuses.get(status, 0) + 1
            self.fleet.record.note(f"{request_id} at {self.machine.name}: {status}")
            time.sleep(0.05)


def play(fleet: Fleet) -> bool:
    """Return whether the server got requests after its leaving was acknowledged."""
    beside = fleet.add_machine("z-a", "shop")
    other = fleet.add_machine("z-a", "shop")
    client_machine = fleet.add_machine("z-b", "desk")
    route = ["r-1", HOST, "/shop/", "safe", 2, 1, 1, "shop", 2, True, None]
    desk = ["r-2", HOST, "/desk/", "safe", 2, 1, 1, "desk", 2, True, None]
    document = write_config(1, [route, desk], ["shop", "desk"])
    fleet.store.put("keyed.op", "config", document)
    for machine in fleet.machines:
        machine.start()
    leaving = AppServer(beside, "i-leaving")
    AppServer(other, "i-other")
    AppServer(client_machine, "i-desk")
    fleet.wait_until_ready()
    time.sleep(3.0)
    began = time.monotonic()
    until = began + DEREGISTER_AFTER_S + STAY_S
    clients = [Client(fleet, client_machine, until) for _ in range(CLIENTS)]
    for client in clients:
        client.start()
    leaving.beating.clear()
    late = LateHeartbeat(fleet, leaving)
    late.start()
    if TROUBLE:
        fleet.store.set_down(True)
    sleep_until(began + DEREGISTER_AFTER_S)
    leaving.leaving = True
    body = b'{"born":%d}' % leaving.born
    status = leaving.call("deregister", body)
    acknowledged_at = time.monotonic()
    fleet.record.say(f"{leaving.id} deregisters: {status}")
    if status // 100 != 2:
        fleet.record.say("the leaving was not acknowledged")
        return False
    in_touch_at = acknowledged_at
    if TROUBLE:
        sleep_until(acknowledged_at + KILL_AFTER_S)
        beside.kill()
        time.sleep(RESTART_S)
        beside.start()
        sleep_until(began + DOWN_S)
        fleet.store.set_down(False)
        in_touch_at = time.monotonic() + BOUNDS["stable_window_s"] + SETTLE_S
    for client in clients:
        client.join()
    late.join()
    bound = acknowledged_at + BOUNDS["drain_s"]
    late_runs = [at for at, _, _ in leaving.runs if at > bound]
    counted = [at for at in late_runs if at > in_touch_at]
    statuses: dict[int, int] = {}
    for client in clients:
        for status, count in client.statuses.items():
            statuses[status] = statuses.get(status, 0) + count
    fleet.record.say(f"answers {statuses}; late heartbeat: {late.status}")
    fleet.record.say(
        f"{len(late_runs)} requests ran later than drain_s after the acknowledgement, "
        f"{len(counted)} of them with all machines in touch"
    )
    if not statuses.get(200):
        raise CannotRunError("no request was served")
    return bool(counted)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, ZONES, play))
