"""Test that a target gets no more calls per second than it names in its responses."""

from dataclasses import replace
from unittest import TestCase

from result import Err, Result

from corianderhold.coordination.call import Response
from corianderhold.coordination.owner.const import (
    RATE_LIMIT_BURST_S,
    RATE_LIMIT_MIN,
    RATE_LIMIT_RETRY_SPREAD_S,
)
from corianderhold.coordination.owner.notices import TargetNotices, describe_start
from corianderhold.coordination.owner.owner import Owner
from corianderhold.coordination.owner.rate_limit import TargetRateLimiter
from corianderhold.protocol.headers import HeaderNames
from corianderhold.protocol.peer.messages import Header, TargetNotice
from corianderhold.protocol.verdict import Reason, Refusal
from corianderhold.state.configuration.model import Importance
from corianderhold.state.membership.model import Address, Member, TargetState
from corianderhold.state.membership.target import TargetStatus
from tests.common.calls import CATALOGUE
from tests.common.clock import FakeClock
from tests.common.notice_target import NoticeTarget
from tests.coordination.owner.test_cold_start import ColdFleet, make_status
from tests.coordination.owner.test_owner import OwnerCase

RATE = 20.0
WINDOW_S = 4.0
TOLERATED = RATE * 1.5 * WINDOW_S + 5  # requests within one window, by the users' rule
USED_MIN = RATE * WINDOW_S * 0.9
STEP_S = 0.02
OFFERED_S = 10.0
IMPORTANT_RATIO = 0.8  # of the limit, asked for by the important calls alone
NAMES = HeaderNames()


class NamedLimitTests(OwnerCase):
    """Offer calls to one target at two and a half times its limit."""

    def setUp(self) -> None:
        self.clock: FakeClock = FakeClock()
        self.target = NoticeTarget(str(RATE))
        self.addCleanup(self.target.close)
        self.owner = self.build(self.target.status)
        self.refused: list[Err[Refusal]] = []
        self.notice: TargetNotice | None = None

    def offer(self, owner: Owner, seconds: float) -> int:
        """Return how many of the calls that are offered in some time arrive."""
        before = self.target.arrivals
        for _ in range(round(seconds / STEP_S)):
            outcome: Result[Response, Refusal] = self.call(owner, notice=self.notice)
            if isinstance(outcome, Err):
                self.refused.append(outcome)
            self.clock.advance(STEP_S)
        return self.target.arrivals - before

    def test_target_is_not_sent_more_than_the_limit_that_it_names(self) -> None:
        self.offer(self.owner, WINDOW_S)
        arrived = self.offer(self.owner, WINDOW_S)
        self.assertLessEqual(arrived, TOLERATED)
        self.assertGreaterEqual(arrived, USED_MIN)

    def test_limit_that_changes_or_ends_is_followed_at_once(self) -> None:
        self.offer(self.owner, WINDOW_S)
        self.target.limit = str(RATE / 2)
        self.offer(self.owner, 1.0)
        self.assertLessEqual(self.offer(self.owner, WINDOW_S), TOLERATED / 2)
        self.target.limit = None
        self.offer(self.owner, 0.2)
        self.assertEqual(self.offer(self.owner, 1.0), round(1.0 / STEP_S))

    def test_limit_of_zero_lets_few_calls_through_to_learn_of_its_end(self) -> None:
        self.target.limit = "0"
        self.offer(self.owner, 1.0)
        self.assertLessEqual(self.offer(self.owner, WINDOW_S), 5)
        self.target.limit = None
        self.offer(self.owner, 1 / RATE_LIMIT_MIN)
        self.assertEqual(self.offer(self.owner, 1.0), round(1.0 / STEP_S))

    def test_new_start_of_the_target_is_not_held_to_the_limit_of_the_last(self) -> None:
        self.target.limit = "0"
        self.offer(self.owner, 1.0)
        self.target.limit = None
        self.source.script = [replace(self.target.status, started=2)]
        self.assertEqual(self.offer(self.owner, 1.0), round(1.0 / STEP_S))

    def test_daemon_that_restarts_is_told_the_limit_by_calls(self) -> None:
        self.offer(self.owner, 1.0)
        notice = self.owner.report_load().notice
        assert notice is not None
        arrived = self.target.arrivals
        self.owner = self.build(self.target.status)
        outcome = self.call(self.owner, notice=notice)
        assert isinstance(outcome, Err)
        self.assertIs(outcome.err_value.reason, Reason.TARGET_LIMITED)
        self.assertEqual(self.target.arrivals, arrived)
        self.assertEqual(self.owner.report_load().notice, notice)

    def test_limit_ends_although_calls_still_tell_of_it(self) -> None:
        self.offer(self.owner, 1.0)
        self.notice = self.owner.report_load().notice
        self.target.limit = None
        self.offer(self.owner, 1.0)
        self.assertEqual(self.offer(self.owner, 1.0), round(1.0 / STEP_S))

    def test_limit_of_another_start_is_not_taken_from_calls(self) -> None:
        self.offer(self.owner, 1.0)
        notice = self.owner.report_load().notice
        self.target.limit = None
        self.owner = self.build(replace(self.target.status, started=2))
        self.assertTrue(self.call(self.owner, notice=notice).is_ok())

    def test_calls_above_the_limit_are_told_to_return_spread_out(self) -> None:
        self.offer(self.owner, 1.0)
        refusals = [outcome.err_value for outcome in self.refused]
        self.assertEqual({each.reason for each in refusals}, {Reason.TARGET_LIMITED})
        self.assertTrue(all(each.not_run for each in refusals))
        waits_s = [each.retry_after_ms / 1000 for each in refusals]
        for part in range(4):
            start_s = part * RATE_LIMIT_RETRY_SPREAD_S / 4
            end_s = start_s + RATE_LIMIT_RETRY_SPREAD_S / 4
            self.assertTrue(any(start_s < wait_s <= end_s for wait_s in waits_s))


class LateResponseTests(TestCase):
    """Apply responses out of the order in which their target sent them."""

    def setUp(self) -> None:
        self.clock = FakeClock()
        self.rates: list[float | None] = []
        self.notices = TargetNotices(self, self, self.clock, NAMES)
        self.target = TargetStatus(
            TargetState.SERVING, CATALOGUE, Address("127.0.0.1", 1), "t-1", 1
        )
        self.notices.follow(self.target)

    def limit_rate(self, rate: float | None) -> None:
        """Record a limit that is set."""
        self.rates.append(rate)

    def read_target(self) -> TargetStatus:
        return self.target

    def suspend_target(self, status: TargetStatus) -> None:
        raise AssertionError(status)

    def drain_start(self, status: TargetStatus) -> None:
        raise AssertionError(status)

    def observe(self, limit: str | None, dispatched_at: float) -> None:
        headers = () if limit is None else (Header(NAMES.rate_limit, limit),)
        self.notices.observe(self.target, headers, dispatched_at)

    def test_response_from_before_the_limit_does_not_end_it(self) -> None:
        before = self.clock.read_monotonic()
        self.clock.advance(0.1)
        self.observe("20", before)
        self.observe(None, before)
        self.observe("30", before)
        self.assertEqual(self.rates, [20.0])
        self.clock.advance(0.1)
        self.observe(None, self.clock.read_monotonic())
        self.assertEqual(self.rates, [20.0, None])

    def test_response_of_an_earlier_start_does_not_keep_out_what_calls_tell(
        self,
    ) -> None:
        earlier = self.target
        self.target = replace(earlier, started=2)
        self.notices.follow(self.target)
        self.notices.observe(earlier, (), self.clock.read_monotonic())
        notice = TargetNotice(rate_limit=20.0, target=describe_start(self.target))
        self.notices.adopt(self.target, notice)
        self.assertEqual(self.rates, [20.0])

    def test_response_of_an_earlier_start_is_ignored(self) -> None:
        earlier = self.target
        self.target = replace(earlier, started=2)
        self.notices.follow(self.target)
        self.target = earlier
        self.observe("20", self.clock.read_monotonic())
        self.assertEqual(self.rates, [])


class ReserveTests(TestCase):
    """Offer calls of two kinds of importance to the bucket."""

    def test_important_calls_get_the_room_first(self) -> None:
        clock = FakeClock()
        limiter = TargetRateLimiter(clock)
        for rate in (2.0, RATE, 200.0):
            limiter.set_rate(rate)
            taken = {Importance.BULK: 0, Importance.CRITICAL: 0}
            for _ in range(round(rate * OFFERED_S)):
                for _ in range(2):
                    taken[Importance.BULK] += limiter.try_acquire(Importance.BULK)
                taken[Importance.CRITICAL] += limiter.try_acquire(Importance.CRITICAL)
                clock.advance(1 / rate / IMPORTANT_RATIO)
            offered = rate * OFFERED_S
            granted = offered / IMPORTANT_RATIO + max(4.0, rate * RATE_LIMIT_BURST_S)
            self.assertGreaterEqual(taken[Importance.CRITICAL], offered * 0.9)
            self.assertGreaterEqual(sum(taken.values()), offered)
            self.assertLessEqual(sum(taken.values()), granted)

    def test_bulk_calls_alone_use_the_whole_limit(self) -> None:
        clock = FakeClock()
        limiter = TargetRateLimiter(clock)
        limiter.set_rate(RATE)
        taken = 0
        for _ in range(1000):
            taken += limiter.try_acquire(Importance.BULK)
            clock.advance(0.01)
        self.assertGreaterEqual(taken, RATE * 10 - RATE * RATE_LIMIT_BURST_S)

    def test_entries_are_told_what_has_no_room(self) -> None:
        clock = FakeClock()
        limiter = TargetRateLimiter(clock)
        self.assertEqual((limiter.find_wait(), limiter.find_shed_level()), (0.0, 0))
        limiter.set_rate(RATE)
        self.assertAlmostEqual(limiter.find_wait(), 1 / RATE)
        self.assertEqual(limiter.find_shed_level(), Importance.CRITICAL)
        clock.advance(RATE_LIMIT_BURST_S)
        self.assertEqual((limiter.find_wait(), limiter.find_shed_level()), (0.0, 0))


class LimitedFleet(ColdFleet):
    """Simulate six warm targets of which the first `limited` name a limit."""

    def __init__(self, limited: int) -> None:
        super().__init__(count=6)
        now = self.clock.read_monotonic()
        for admission in self.admissions.values():
            admission.update_target(make_status(now, now))
        for member in self.members[:limited]:
            self.admissions[member.instance].limit_rate(RATE)

    def count_arrivals(self, members: tuple[Member, ...]) -> list[int]:
        """Return the calls of the last second at each of some targets."""
        return [len(self.arrivals[member.instance]) for member in members]


class LimitedFleetTests(TestCase):
    """Offer a service twice what the limits of its targets allow in sum."""

    def test_calls_above_a_limit_go_to_targets_with_room(self) -> None:
        fleet = LimitedFleet(limited=4)
        fleet.play(1.0, 12 * RATE)
        _, refused = fleet.play(3.0, 12 * RATE)
        self.assertEqual(refused, 0)
        for arrived in fleet.count_arrivals(fleet.members[:4]):
            self.assertLessEqual(arrived, RATE * (1 + RATE_LIMIT_BURST_S))

    def test_limits_of_all_targets_are_kept_and_used(self) -> None:
        fleet = LimitedFleet(limited=6)
        fleet.play(1.0, 12 * RATE)
        served, _ = fleet.play(WINDOW_S, 12 * RATE)
        self.assertGreaterEqual(served, 6 * USED_MIN)
        self.assertLessEqual(served, 6 * RATE * (WINDOW_S + RATE_LIMIT_BURST_S))
