"""
A configuration adds a tenant whose name holds a blank, and takes a key away.

Rule CONFIG: no request that was sent later than `config_s` after the acknowledgement of
a version is handled as only an older version allows. With TROUBLE=0 the tenant's name
holds no blank; all else is the same.
"""

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand_ins_3"))

import rig  # noqa: E402

ZONES = {"lowlands-a": "lowlands", "highlands-a": "highlands"}
DROPPED_KEY = "8pjbvk9m68k7b2ex5wa5"
ADDED_KEY = "t3xq0c7hw9u2m5zr1kde"
ADDED_TENANT = "Kelpie Counts" if rig.TROUBLE else "kelpie-counts"
CONFIG_S = 2.5
CHANGE_AT_S = 6.0
LENGTH_S = 16.0


def play() -> bool:
    """Play the case; return whether the rule was broken."""
    with rig.run_fleet(FOLDER, ["huvo11a"] * 4, ZONES) as fleet:
        first = {rig.TENANT: [rig.KEY, DROPPED_KEY]}
        fleet.store.put("keyed.op", "config", fleet.build_document(2, first))
        kept = rig.Clients(fleet, 0.1)
        dropped = rig.Clients(fleet, 0.1, key=DROPPED_KEY)
        added = rig.Clients(fleet, 0.1, key=ADDED_KEY)
        time.sleep(rig.STABLE_S)
        kept.start()
        dropped.start()
        time.sleep(CHANGE_AT_S - rig.STABLE_S)
        if not dropped.count(range(200, 300)):
            raise rig.CannotRunError("no request with the key was served before")
        second = {rig.TENANT: [rig.KEY], ADDED_TENANT: [ADDED_KEY]}
        fleet.store.put("keyed.op", "config", fleet.build_document(7, second))
        acknowledged_at = time.monotonic()
        fleet.record.write("version 7 is acknowledged: a key dropped, a tenant added")
        time.sleep(CONFIG_S)
        added.start()
        time.sleep(LENGTH_S - CHANGE_AT_S - CONFIG_S)
        for clients in (kept, dropped, added):
            clients.stop()
        return judge(fleet, dropped, added, acknowledged_at + CONFIG_S)


def judge(
    fleet: rig.Fleet, dropped: rig.Clients, added: rig.Clients, limit_at: float
) -> bool:
    """Return whether requests sent after `limit_at` met the older version."""
    runs = {request_id for each in fleet.machines for _, request_id in each.server.runs}
    late = [name for name, at in dropped.sent.items() if at > limit_at]
    ran = [name for name in late if name in runs]
    turned_down = [
        name
        for name, at in added.sent.items()
        if at > limit_at and added.statuses.get(name) in (401, 403, 404)
    ]
    fleet.record.write(
        f"sent later than {CONFIG_S} s after the acknowledgement: {len(late)} with the"
        f" dropped key, of which {len(ran)} ran; {len(added.sent)} with the added key,"
        f" of which {len(turned_down)} were refused with 401, 403 or 404"
    )
    print(
        f"{len(ran)} ran with a dropped key, {len(turned_down)} refused with a new one"
    )
    return bool(ran or turned_down)


if __name__ == "__main__":
    rig.main(play)
