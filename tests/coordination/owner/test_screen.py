"""
Test that an owner finds the call that crashes its target.

A crash of the target fails all calls in flight. Guards against the same call reaching
the target again, and against refusing calls that only ran beside it.
"""

import contextlib
import socket
import threading
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace

from result import Result

from corianderhold.coordination.call import InlineBody, Response
from corianderhold.coordination.owner.owner import Owner
from corianderhold.coordination.quarantine.const import TRIAL_DELAY_S
from corianderhold.coordination.quarantine.hints import compute_fingerprint
from corianderhold.coordination.retry import RetryBudget
from corianderhold.ids import CallId, CrashId, Fingerprint, OrganisationId
from corianderhold.protocol.verdict import Reason, Refusal
from corianderhold.state.membership.model import Address, TargetState
from corianderhold.state.membership.target import TargetStatus
from corianderhold.state.quarantine.model import Suspicion
from tests.common.calls import CATALOGUE, make_context
from tests.common.quarantine import FINGERPRINTER
from tests.common.waiting import wait_until
from tests.coordination.owner.test_owner import OwnerCase

OK_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
NOT_EXECUTED = (
    b"HTTP/1.1 503 Full\r\nX-Corianderhold-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
)
HALF = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"


class FragileTarget:
    """
    Answer requests by their path: /ok at once, others never.

    /deadly crashes the target, /lost loses the response, /full is not run, and /half
    begins a response.
    """

    def __init__(self) -> None:
        self.paths: list[bytes] = []
        self.slow = False
        self._port = 0
        self._open: list[socket.socket] = []
        self.start()

    @property
    def address(self) -> Address:
        """Return the address, which is the same for all starts."""
        return Address("127.0.0.1", self._port)

    def start(self) -> None:
        """Listen, again after a crash."""
        self._listener = socket.create_server(("127.0.0.1", self._port))
        self._port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def crash(self) -> None:
        """End as a killed process does: close everything at once."""
        connections, self._open = self._open, []
        for each in (self._listener, *connections):
            with contextlib.suppress(OSError):
                each.shutdown(socket.SHUT_RDWR)  # wakes the thread that reads from it
            each.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self._open.append(connection)
            threading.Thread(target=self._serve, args=[connection], daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        try:
            while head := connection.recv(65536):
                path = head.split(b" ")[1]
                self.paths.append(path)
                if path == b"/deadly":
                    self.crash()
                elif path == b"/lost":
                    connection.close()
                elif path == b"/ok" and not self.slow:
                    connection.sendall(OK_RESPONSE)
                elif path == b"/full":
                    connection.sendall(NOT_EXECUTED)
                elif path == b"/half":
                    connection.sendall(HALF)
        except OSError:
            return


class ScreenTests(OwnerCase):
    """Serve calls with a target that some of them crash."""

    def setUp(self) -> None:
        self.target = FragileTarget()
        self.addCleanup(self.target.crash)
        self.start_target(1)
        self.pool = ThreadPoolExecutor(8)
        self.addCleanup(self.pool.shutdown)

    def start_target(self, start: int) -> None:
        self.serving = TargetStatus(
            TargetState.SERVING, CATALOGUE, self.target.address, f"t{start}", start
        )
        self.owner: Owner = self.build(self.serving)

    def restart_target(self) -> None:
        """Restart the target under a new id, with what the owner knows."""
        self.target.start()
        serving = replace(self.serving, target_id="t2", started=2)
        self.source.script = [serving]
        self.reader.status = serving

    def send(
        self, path: str, in_trial: bool = False, organisation: str = "schools"
    ) -> Result[Response, Refusal]:
        context = make_context(
            call_id=f"{path} {organisation} {len(self.target.paths)}",
            deadline_at=self.clock.read_monotonic() + 5,
        )
        context = replace(
            context,
            path=path,
            in_trial=in_trial,
            organisation=OrganisationId(organisation),
        )
        return self.owner.serve(context, InlineBody(b""), RetryBudget(0))

    def find(self, path: str, organisation: str = "schools") -> Suspicion:
        return self.table.find(self.compute(path, organisation))

    def compute(self, path: str, organisation: str = "schools") -> Fingerprint:
        context = make_context(CallId("x"), organisation=organisation)
        context = replace(context, path=path)
        return compute_fingerprint(FINGERPRINTER, context, InlineBody(b""))

    def crash_beside(self, *paths: str) -> list[Refusal]:
        """Crash the target while calls are in flight; return their refusals."""
        futures = [self.pool.submit(self.send, path) for path in paths]
        wait_until(
            lambda: set(paths) <= {path.decode() for path in self.target.paths},
            "the calls reach the target",
        )
        futures.append(self.pool.submit(self.send, "/deadly"))
        return [future.result().unwrap_err() for future in futures]

    def test_all_calls_in_flight_at_a_crash_may_have_run_and_become_suspects(
        self,
    ) -> None:
        for refusal in self.crash_beside("/a", "/b"):
            self.assertFalse(refusal.not_run)
            self.assertIs(refusal.reason, Reason.TARGET_CRASHED)
        self.assertEqual(len(self.notifier.reports), 1)
        for path in ("/a", "/b", "/deadly"):
            self.assertIs(self.find(path), Suspicion.SUSPECT, path)
        self.assertIs(self.source.read_target().state, TargetState.ABSENT)

    def test_suspect_without_a_trial_is_refused_before_it_reaches_the_target(
        self,
    ) -> None:
        self.crash_beside("/a")
        self.restart_target()
        sent = len(self.target.paths)
        refusal = self.send("/deadly").unwrap_err()
        self.assertTrue(refusal.not_run)
        self.assertIs(refusal.reason, Reason.TRIAL_REQUIRED)
        self.assertTrue(self.send("/ok").is_ok())
        self.assertEqual(len(self.target.paths), sent + 1)

    def test_crash_in_a_trial_is_attributed_to_the_suspect_alone(self) -> None:
        self.crash_beside("/a")
        self.restart_target()
        bystander = self.pool.submit(self.send, "/c")
        wait_until(lambda: b"/c" in self.target.paths, "the call reaches the target")
        refusal = self.send("/deadly", in_trial=True).unwrap_err()
        self.assertFalse(refusal.not_run)
        self.assertIs(refusal.reason, Reason.QUARANTINED)
        self.assertIs(bystander.result().unwrap_err().reason, Reason.ANSWER_TRUNCATED)
        self.assertIs(self.find("/deadly"), Suspicion.QUARANTINED)
        self.assertIs(self.find("/c"), Suspicion.NONE)
        self.restart_target()
        sent = len(self.target.paths)
        refusal = self.send("/deadly", in_trial=True).unwrap_err()
        self.assertTrue(refusal.not_run)
        self.assertGreater(refusal.retry_after_ms, 1000)
        self.assertEqual(len(self.target.paths), sent)

    def test_trials_begin_once_the_other_owners_know_of_the_crash(self) -> None:
        self.crash_beside("/a")
        crashed_at = self.table.find_crashed_at(self.compute("/a"))
        self.restart_target()
        self.pool.submit(self.send, "/a", True)
        wait_until(lambda: self.target.paths[-1] == b"/a", "the trial begins")
        self.assertGreaterEqual(self.clock.read_monotonic() - crashed_at, TRIAL_DELAY_S)

    def test_suspect_of_two_crashes_is_tried_alone(self) -> None:
        self.crash_beside("/a")
        self.table.record_crash(
            replace(
                self.notifier.reports[0],
                crash_id=CrashId(b"y" * 12),
                suspects=(self.compute("/deadly"),),
            )
        )
        self.restart_target()
        first = self.pool.submit(self.send, "/a", True)
        wait_until(lambda: self.target.paths[-1] == b"/a", "the trial begins")
        sent = len(self.target.paths)
        refusal = self.send("/deadly", in_trial=True).unwrap_err()
        self.assertTrue(refusal.not_run)
        self.assertIs(refusal.reason, Reason.TRIAL_BUSY)
        self.assertEqual(len(self.target.paths), sent)
        self.target.crash()
        self.assertIs(first.result().unwrap_err().reason, Reason.QUARANTINED)

    def test_crash_beside_several_trials_leaves_these_as_suspects_of_two(self) -> None:
        self.crash_beside("/a", "/b")
        self.restart_target()
        trials = [self.pool.submit(self.send, path, True) for path in ("/a", "/b")]
        bystander = self.pool.submit(self.send, "/c")
        wait_until(
            lambda: {b"/a", b"/b", b"/c"} <= set(self.target.paths[-3:]),
            "the calls reach the target",
        )
        self.target.crash()
        for trial in trials:
            self.assertIs(trial.result().unwrap_err().reason, Reason.TARGET_CRASHED)
        self.assertIs(bystander.result().unwrap_err().reason, Reason.ANSWER_TRUNCATED)
        for path in ("/a", "/b"):
            self.assertFalse(self.table.has_one_crash(self.compute(path)))
        self.assertTrue(self.table.has_one_crash(self.compute("/deadly")))

    def test_response_clears_a_suspect(self) -> None:
        self.crash_beside("/ok-later")
        self.restart_target()
        report = replace(
            self.notifier.reports[0],
            crash_id=CrashId(b"y" * 12),
            suspects=(self.compute("/ok"),),
        )
        self.table.record_crash(report)
        self.assertTrue(self.send("/ok", in_trial=True).is_ok())
        self.assertIs(self.find("/ok"), Suspicion.NONE)
        self.assertEqual(self.notifier.cleared, [self.compute("/ok")])

    def test_refusal_by_the_target_does_not_clear_a_suspect(self) -> None:
        self.crash_beside("/full-later")
        self.restart_target()
        report = replace(
            self.notifier.reports[0],
            crash_id=CrashId(b"y" * 12),
            suspects=(self.compute("/full"),),
        )
        self.table.record_crash(report)
        refusal = self.send("/full", in_trial=True).unwrap_err()
        self.assertIs(refusal.reason, Reason.TARGET_FULL)
        self.assertIs(self.find("/full"), Suspicion.SUSPECT)

    def test_crash_within_a_response_is_found(self) -> None:
        future = self.pool.submit(self.send, "/half")
        wait_until(lambda: b"/half" in self.target.paths, "the response begins")
        self.target.crash()
        self.assertIs(future.result().unwrap_err().reason, Reason.TARGET_CRASHED)
        self.assertIs(self.find("/half"), Suspicion.SUSPECT)

    def test_call_that_was_answered_lately_is_no_suspect_beside_others(self) -> None:
        self.assertTrue(self.send("/ok").is_ok())
        self.target.slow = True
        popular = self.pool.submit(self.send, "/ok")
        wait_until(
            lambda: self.target.paths.count(b"/ok") == 2, "the call reaches the target"
        )
        self.crash_beside("/a")
        self.assertIs(popular.result().unwrap_err().reason, Reason.ANSWER_TRUNCATED)
        self.assertIs(self.find("/ok"), Suspicion.NONE)
        self.assertIs(self.find("/a"), Suspicion.SUSPECT)

    def test_calls_that_were_all_answered_lately_are_suspects(self) -> None:
        self.assertTrue(self.send("/ok").is_ok())
        self.target.slow = True
        popular = self.pool.submit(self.send, "/ok")
        wait_until(
            lambda: self.target.paths.count(b"/ok") == 2, "the call reaches the target"
        )
        self.target.crash()
        self.assertIs(popular.result().unwrap_err().reason, Reason.TARGET_CRASHED)
        self.assertIs(self.find("/ok"), Suspicion.SUSPECT)

    def test_calls_that_wait_for_a_trial_run_once_their_call_is_cleared(self) -> None:
        self.crash_beside("/a")
        self.restart_target()
        report = replace(
            self.notifier.reports[0],
            crash_id=CrashId(b"y" * 12),
            suspects=(self.compute("/ok"),),
        )
        self.table.record_crash(report)
        futures = [self.pool.submit(self.send, "/ok", True) for _ in range(8)]
        self.assertTrue(all(future.result().is_ok() for future in futures))
        self.assertEqual(len(self.notifier.cleared), 1)

    def test_lost_response_is_no_crash(self) -> None:
        refusal = self.send("/lost").unwrap_err()
        self.assertFalse(refusal.not_run)
        self.assertIs(refusal.reason, Reason.ANSWER_TRUNCATED)
        self.assertEqual(self.notifier.reports, [])

    def test_target_that_drains_and_ends_is_no_crash(self) -> None:
        self.reader.status = replace(self.serving, state=TargetState.DRAINING)
        for refusal in self.crash_beside("/a"):
            self.assertIs(refusal.reason, Reason.ANSWER_TRUNCATED)
        self.assertEqual(self.notifier.reports, [])

    def test_equal_request_of_another_organisation_is_no_suspect(self) -> None:
        self.crash_beside("/a")
        self.assertIs(self.find("/a"), Suspicion.SUSPECT)
        self.assertIs(self.find("/a", "media"), Suspicion.NONE)
        self.restart_target()
        refusal = self.send("/lost", organisation="media").unwrap_err()
        self.assertIs(refusal.reason, Reason.ANSWER_TRUNCATED)
