"""
Test with real processes that broken responses of a target never appear complete.

A target in trouble may reset a connection beside a long upload, send a head that is no
HTTP, or bytes without end. Its daemon must refuse such responses, whether it is the
entry of the request or not, in little memory and without harm to other callers.
"""

import contextlib
import itertools
import socket
import threading
import time
from collections.abc import Iterator, Sequence
from pathlib import Path

import urllib3

from emulator.broken_answers import (
    BROKEN_HEADER,
    ENDLESS_BODIES,
    ENDLESS_HEADS,
    UNFRAMED,
    WHOLE,
    BrokenAnswer,
    Ending,
    list_malformed,
)
from emulator.broken_target import BrokenTarget
from emulator.sample import BROADCASTER_KEY, CATALOGUE
from tests.common.fleet import DaemonPlan, RequestPlan
from tests.common.scenario import FleetTestCase
from tests.common.waiting import WAIT_LIMIT_S, wait_until

ENTRY = "entry"
OWNER = "owner"
OTHER = "other"
READ = "/catalogue/search"
WRITE = "/catalogue/ingest"
HEALTHY = "/rights/lookup"
UPLOAD_BYTES = 64 * 1024 * 1024  # more than the buffers of all sockets on the way
BLOCK = b"a" * 65536
EARLY = b"HTTP/1.1 413 Too Large\r\nContent-Length: 5\r\n\r\nhello"
STALL_S = 3.0  # of a caller; the deadline of its route is 2 s
STALLED_S = 0.5  # without any progress of an upload
# A quarter of the 64 MB that a daemon may take.
GROWTH_MAX_BYTES = 16 * 1024 * 1024
STATUS_BAD_GATEWAY = 502


class Upload(threading.Thread):
    """Upload a long body in the background and keep all that comes back."""

    def __init__(self, address: str, name: str, *, chunked: bool) -> None:
        super().__init__(daemon=True)
        host, port = address.split(":")
        self.sent_bytes = 0
        self.received = b""
        self._framing = (
            "Transfer-Encoding: chunked"
            if chunked
            else f"Content-Length: {UPLOAD_BYTES}"
        )
        self._block = b"%x\r\n%b\r\n" % (len(BLOCK), BLOCK) if chunked else BLOCK
        self._name = name
        self._connection = socket.create_connection((host, int(port)))
        self._connection.settimeout(WAIT_LIMIT_S)

    def run(self) -> None:
        """Send the request, then read to the end of the connection."""
        reader = threading.Thread(target=self._read, daemon=True)
        reader.start()
        head = (
            f"POST {WRITE} HTTP/1.1\r\nHost: broadcast.example\r\n"
            f"Authorization: Bearer {BROADCASTER_KEY}\r\n"
            f"X-Request-Id: {self._name}\r\nConnection: close\r\n"
            f"{self._framing}\r\n\r\n"
        )
        with contextlib.suppress(OSError):
            self._connection.sendall(head.encode())
            while self.sent_bytes < UPLOAD_BYTES and reader.is_alive():
                self._connection.sendall(self._block)
                self.sent_bytes += len(BLOCK)
        reader.join(WAIT_LIMIT_S)
        self._connection.close()

    def wait_until_stalled(self) -> None:
        """Wait until nothing more can be sent on the way to the target."""
        last_bytes, since = -1, time.monotonic()

        def is_stalled() -> bool:
            nonlocal last_bytes, since
            if self.sent_bytes != last_bytes:
                last_bytes, since = self.sent_bytes, time.monotonic()
            return time.monotonic() - since > STALLED_S

        wait_until(is_stalled, "the upload stalls")

    def _read(self) -> None:
        with contextlib.suppress(OSError):
            while data := self._connection.recv(65536):
                self.received += data


class BrokenAnswerTests(FleetTestCase):
    """Put a stand-in in the place of one daemon's target."""

    plans = (
        DaemonPlan(ENTRY, "ch-west-a"),
        DaemonPlan(OWNER, "ch-west-b", service="catalogue"),
        DaemonPlan(OTHER, "ch-west-b", service="rights"),
    )
    probes = (READ, HEALTHY)

    @contextlib.contextmanager
    def replace_target(self, answer: BrokenAnswer) -> Iterator[BrokenTarget]:
        """Let a broken target take the place of the catalogue's."""
        self.fleet.kill_target(OWNER)
        outgoing = self.fleet.members[OWNER].get_address("outgoing")
        target = BrokenTarget(outgoing, CATALOGUE, answer)
        target.start()
        try:
            for entry in (OWNER, ENTRY):
                self._wait_until_reached(entry, target)
            yield target
        finally:
            target.stop()
            self.fleet.start_target(OWNER)
            self.wait_until_served()

    def _wait_until_reached(self, entry: str, target: BrokenTarget) -> None:
        answer, target.answer = target.answer, BrokenAnswer(WHOLE)
        plan = RequestPlan(WRITE, BROADCASTER_KEY, "POST")
        wait_until(
            lambda: BROKEN_HEADER in self.fleet.send(entry, plan).headers,
            f"{entry} sends to the broken target",
        )
        while target.arrived.acquire(blocking=False):
            pass
        target.answer = answer

    def upload_to_paused_owner(
        self, target: BrokenTarget, entry: str, *, chunked: bool
    ) -> bytes:
        """
        Return what the caller of a long upload receives of a response.

        The owner is paused with the upload stalled, so that the response and the end
        of the connection are both there before its next send.
        """
        owner = self.fleet.get_daemon(OWNER)
        address = self.fleet.members[entry].get_address("caller")
        target.may_answer.clear()
        upload = Upload(address, f"upload-{time.monotonic()}", chunked=chunked)
        upload.start()
        self.assertTrue(target.arrived.acquire(timeout=WAIT_LIMIT_S))
        upload.wait_until_stalled()
        owner.freeze()
        wait_until(lambda: is_paused(owner.pid), "the owner is paused")
        while target.answered.acquire(blocking=False):
            pass
        target.may_answer.set()
        self.assertTrue(target.answered.acquire(timeout=WAIT_LIMIT_S))
        owner.thaw()
        upload.join(WAIT_LIMIT_S)
        self.assertLess(upload.sent_bytes, UPLOAD_BYTES, "the upload did not stall")
        return upload.received

    def test_reset_beside_an_upload_is_never_the_end_of_a_response(self) -> None:
        for framing, first in UNFRAMED.items():
            answer = BrokenAnswer(first, ending=Ending.RESET)
            with self.replace_target(answer) as target:
                for entry, chunked in itertools.product((OWNER, ENTRY), (False, True)):
                    with self.subTest(framing, entry=entry, chunked=chunked):
                        received = self.upload_to_paused_owner(
                            target, entry, chunked=chunked
                        )
                        self.assertRegex(received, rb"^HTTP/1.1 50[24] ")
                        self.assertNotIn(BROKEN_HEADER.encode(), received)

    def test_close_beside_an_upload_is_the_end_of_a_response(self) -> None:
        for framing, first in UNFRAMED.items():
            answer = BrokenAnswer(first, ending=Ending.CLOSE)
            with self.replace_target(answer) as target:
                for chunked in (False, True):
                    with self.subTest(framing, chunked=chunked):
                        received = self.upload_to_paused_owner(
                            target, OWNER, chunked=chunked
                        )
                        self.assertRegex(received, rb"^HTTP/1.1 200 ")
                        body = b"hello" if b"hello" in first else b""
                        self.assertEqual(received.partition(b"\r\n\r\n")[2], body)

    def test_end_of_the_connection_ends_a_response_only_if_orderly(self) -> None:
        plan = RequestPlan(WRITE, BROADCASTER_KEY, "POST")
        with self.replace_target(BrokenAnswer(WHOLE)) as target:
            for (framing, first), entry in itertools.product(
                UNFRAMED.items(), (OWNER, ENTRY)
            ):
                with self.subTest(framing, entry=entry):
                    target.answer = BrokenAnswer(first, ending=Ending.CLOSE)
                    closed = self.fleet.send(entry, plan)
                    self.assertTrue(closed.is_whole, closed)
                    self.assertIn(BROKEN_HEADER, closed.headers)
                    target.answer = BrokenAnswer(first, ending=Ending.RESET)
                    failed = self.fleet.send(entry, plan)
                    self.assertEqual(failed.status, STATUS_BAD_GATEWAY, failed)

    def test_early_response_with_a_length_stays_whole(self) -> None:
        self.check_early_response(OWNER)

    def test_early_response_with_a_length_stays_whole_through_another_daemon(
        self,
    ) -> None:
        self.check_early_response(ENTRY)

    def check_early_response(self, entry: str) -> None:
        """Check a response that the target sends at once, before it reads the rest."""
        address = self.fleet.members[entry].get_address("caller")
        with self.replace_target(BrokenAnswer(EARLY)):
            upload = Upload(address, f"early-{entry}", chunked=False)
            upload.start()
            upload.join(WAIT_LIMIT_S)
        self.assertLess(upload.sent_bytes, UPLOAD_BYTES)
        self.assertRegex(upload.received, rb"^HTTP/1.1 413 ")
        self.assertTrue(upload.received.endswith(b"\r\n\r\nhello"))

    def test_malformed_head_is_never_a_response(self) -> None:
        with self.replace_target(BrokenAnswer(b"")) as target:
            for name, first in list_malformed().items():
                target.answer = BrokenAnswer(first)
                for entry in (OWNER, ENTRY):
                    with self.subTest(name, entry=entry):
                        plan = RequestPlan(WRITE, BROADCASTER_KEY, "POST")
                        outcome = self.fleet.send(entry, plan)
                        self.assertEqual(outcome.status, STATUS_BAD_GATEWAY, outcome)
                        self.assertNotIn(BROKEN_HEADER, outcome.headers)
                        self.assertEqual(outcome.verdict, "may_have_run")

    def test_endless_heads_harm_no_other_caller(self) -> None:
        with self.replace_target(BrokenAnswer(b"")) as target:
            for name, (first, repeated) in ENDLESS_HEADS.items():
                with self.subTest(name):
                    target.answer = BrokenAnswer(first, repeated)
                    self.check_endless([(OWNER, False), (ENTRY, False)])

    def test_several_endless_bodies_at_once_harm_no_other_caller(self) -> None:
        callers = [(entry, stalls) for entry in (OWNER, ENTRY) for stalls in (0, 1)]
        with self.replace_target(BrokenAnswer(WHOLE)) as target:
            for name, (first, repeated) in ENDLESS_BODIES.items():
                with self.subTest(name):
                    target.answer = BrokenAnswer(first, repeated)
                    self._restart_owner(target)
                    self.check_endless([(entry, bool(each)) for entry, each in callers])
                    for _ in callers:
                        self.assertTrue(target.arrived.acquire(blocking=False))

    def _restart_owner(self, target: BrokenTarget) -> None:
        """Let the owner forget the limit that it learnt from failed calls."""
        self.fleet.get_daemon(OWNER).kill()
        self.fleet.start_daemon(OWNER)
        for entry in (OWNER, ENTRY):
            self._wait_until_reached(entry, target)
            plan = RequestPlan(HEALTHY, BROADCASTER_KEY)
            self.fleet.wait_until_served([entry], plan)

    def check_endless(self, callers: Sequence[tuple[str, bool]]) -> None:
        """
        Check memory and other callers while callers get endless responses.

        Each of `callers` is an entry, and whether the caller stops reading.
        """
        owner = self.fleet.get_daemon(OWNER)
        before = peak = read_memory_bytes(owner.pid)
        broken = [
            self._senders.submit(
                discard_response, self.fleet.members[entry].get_address("caller"), each
            )
            for entry, each in callers
        ]
        others = []
        while not all(each.done() for each in broken):
            others.append(self.fleet.send(OWNER, RequestPlan(HEALTHY, BROADCASTER_KEY)))
            peak = max(peak, read_memory_bytes(owner.pid))
        for outcome in others:
            self.assertTrue(outcome.is_whole, outcome)
        self.assertLess(peak - before, GROWTH_MAX_BYTES)
        for each in broken:
            self.assertFalse(each.result(), "an endless response appears complete")


def discard_response(address: str, stalls: bool) -> bool:
    """
    Read a response; with `stalls`, pause once until its deadline has passed.

    Return whether it ends as a success.
    """
    headers = {"Authorization": f"Bearer {BROADCASTER_KEY}"}
    pool = urllib3.PoolManager(retries=False, timeout=WAIT_LIMIT_S)
    response = pool.request(
        "GET", f"http://{address}{READ}", headers=headers, preload_content=False
    )
    try:
        for _ in response.stream(len(BLOCK)):
            time.sleep(STALL_S if stalls else 0)
            stalls = False
    except urllib3.exceptions.HTTPError:
        return False
    finally:
        response.close()
        pool.clear()
    return BROKEN_HEADER in response.headers


def is_paused(pid: int) -> bool:
    """Return whether all threads of a process are stopped by a signal."""
    try:
        stats = [path.read_text() for path in Path(f"/proc/{pid}/task").glob("*/stat")]
    except (FileNotFoundError, ProcessLookupError):  # a thread has just ended
        return False
    return all(stat.rpartition(")")[2].split()[0] == "T" for stat in stats)


def read_memory_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * 4096
