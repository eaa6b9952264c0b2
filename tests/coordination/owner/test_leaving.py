"""Test that a target that says that it leaves gets no more calls."""

from dataclasses import replace

from result import Err

from corianderhold.protocol.verdict import Reason
from tests.common.notice_target import NoticeTarget
from tests.coordination.owner.test_owner import OwnerCase


class LeavingTests(OwnerCase):
    """Send calls to a target that leaves."""

    def setUp(self) -> None:
        self.target = NoticeTarget(leaving=True)
        self.addCleanup(self.target.close)
        self.owner = self.build(self.target.status)

    def test_target_that_leaves_gets_no_call_after_its_first_response(self) -> None:
        self.assertTrue(self.call(self.owner).is_ok())
        for _ in range(3):
            outcome = self.call(self.owner)
            assert isinstance(outcome, Err)
            self.assertIs(outcome.err_value.reason, Reason.DRAINING)
            self.assertTrue(outcome.err_value.not_run)
        self.assertEqual(self.target.arrivals, 1)
        self.assertTrue(self.owner.report_load().draining)

    def test_daemon_that_restarts_is_told_by_calls_that_its_target_leaves(self) -> None:
        self.call(self.owner)
        notice = self.owner.report_load().notice
        self.owner = self.build(self.target.status)
        outcome = self.call(self.owner, notice=notice)
        assert isinstance(outcome, Err)
        self.assertIs(outcome.err_value.reason, Reason.DRAINING)
        self.assertEqual(self.target.arrivals, 1)

    def test_new_start_serves_although_calls_tell_that_the_last_one_left(self) -> None:
        self.call(self.owner)
        notice = self.owner.report_load().notice
        self.target.leaving = False
        self.owner = self.build(replace(self.target.status, started=2))
        self.assertTrue(self.call(self.owner, notice=notice).is_ok())
