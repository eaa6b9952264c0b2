"""DRAIN: an acknowledged deregistration is forgotten when all daemons are killed."""

from __future__ import annotations

import asyncio
import contextlib
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand_ins_2"))

import rig as stand_ins  # noqa: E402

PER_S = 40
STORE_DOWN_S = 3.0
HEARTBEAT_DELAY_S = 3.5
SERVES_ON_S = 14.0
DRAIN_S = stand_ins.BOUNDS["drain_s"]
STABLE_S = stand_ins.BOUNDS["stable_window_s"]


class LeavingServer(stand_ins.Server):
    """A server that deregisters first; one of its heartbeats arrives late."""

    acknowledged_at = None

    async def leave(self) -> None:
        """Deregister until it is acknowledged."""
        self.tasks[0].cancel()  # no heartbeat is sent after the deregistration
        late = self.build_report("heartbeat")
        asyncio.get_running_loop().create_task(self._deliver_late(late))
        for _ in range(3):
            with contextlib.suppress(OSError, EOFError, TimeoutError):
                status = await self.deliver(self.build_report("deregister"))
                self.rig.record.write("deregistered", server=self.id, status=status)
                if status // 100 == 2:
                    self.acknowledged_at = time.monotonic()
                    return
            await asyncio.sleep(0.1)

    async def _deliver_late(self, message: bytes) -> None:
        await asyncio.sleep(HEARTBEAT_DELAY_S)
        with contextlib.suppress(OSError, EOFError, TimeoutError):
            status = await self.deliver(message)
            self.rig.record.write("late_heartbeat", server=self.id, status=status)


async def case(rig: stand_ins.Rig) -> bool:
    """Play the case; return whether the rule held."""
    for zone in ("west-a", "west-b"):
        for _ in range(2):
            rig.add_node(zone, "west", "catalog", slots=40)
    first = rig.nodes[0]
    leaving = first.server = LeavingServer(rig, first, "catalog", 40)
    await rig.publish(
        stand_ins.build_document(
            7,
            [["r-1", "shop.example", "/a/", "safe", 1.0, 0.3, 2, "catalog", 2, True]],
            ["catalog"],
        )
    )
    await rig.start_all()
    await rig.wait_until_ready()
    client = stand_ins.Client(rig)
    tasks = set()

    async def press(node: stand_ins.Node) -> None:
        while True:
            await asyncio.sleep(len(rig.nodes) / PER_S)
            if node.ready:
                sent = client.send(node, "/a/1?ms=20", deadline_ms=1000)
                task = asyncio.create_task(sent)
                tasks.add(task)
                task.add_done_callback(tasks.discard)

    pressing = [asyncio.create_task(press(node)) for node in rig.nodes]
    await asyncio.sleep(3.0)
    if stand_ins.TROUBLE:
        rig.store.go_down()
        rig.record.write("store_down")
    await asyncio.sleep(1.0)
    await leaving.leave()
    if leaving.acknowledged_at is None:
        raise stand_ins.CannotRunError("the deregistration was not acknowledged")
    if stand_ins.TROUBLE:
        await asyncio.sleep(0.2)
        await asyncio.gather(*map(rig.kill, rig.nodes))
        await asyncio.sleep(0.5)
        for node in rig.nodes:
            rig.start_daemon(node)
        await asyncio.sleep(STORE_DOWN_S - 1.7)
        rig.store.come_back()
        rig.record.write("store_back")
    stable_from = time.monotonic() + STABLE_S
    await asyncio.sleep(leaving.acknowledged_at + SERVES_ON_S - time.monotonic())
    for task in pressing:
        task.cancel()
    await asyncio.gather(*list(tasks))
    return judge(rig, leaving, stable_from)


def judge(rig: stand_ins.Rig, leaving: LeavingServer, stable_from: float) -> bool:
    """Count the requests that reached the server although it had left."""
    sent_at = {each.request_id: each.sent_at for each in rig.requests}
    bound = leaving.acknowledged_at + DRAIN_S
    late = [
        each
        for each in rig.arrivals
        if each.server == leaving.id
        and each.at > bound
        and sent_at[each.request_id] > stable_from
    ]
    text = f"{len(late)} requests reached the server over {DRAIN_S} s after it had left"
    if late:
        text += f", the last {max(e.at for e in late) - leaving.acknowledged_at:.1f} s"
    rig.record.write("judged", text=text.replace(" ", "_"))
    print(text)
    return not late


stand_ins.run(case, HERE)
