"""Define leases that each lack one safety check, for tests that must fail them."""

from collections.abc import Sequence
from typing import Any

from corianderhold.coordination.lease.lease import Lease
from corianderhold.ids import InstanceId
from corianderhold.state.lease.model import LeaseRecord, WaitClass


class CheckedOnceLease(Lease):
    """Reuse the result of the last expiry check, so a paused holder acts again."""

    checked = False

    def may_act(self) -> bool:
        self.checked = self.holds and (self.checked or super().may_act())
        return self.checked


class EndlessPromiseLease(Lease):
    """Treat a promise as if it practically never expired."""

    def receive_promise(
        self, successor: InstanceId, number: int, sent_at: float
    ) -> None:
        super().receive_promise(successor, number, sent_at + 1000.0)


class LateTimeLease(Lease):
    """Count a promise from the receipt of the response, not the send of the request."""

    def receive_promise(
        self, successor: InstanceId, number: int, sent_at: float
    ) -> None:
        super().receive_promise(successor, number, self._clock.read_monotonic())


class LateReadLease(Lease):
    """Count a read from the receipt of the response, not the send of the request."""

    def receive_read(self, sent_at: float, records: Sequence[LeaseRecord]) -> None:
        super().receive_read(self._clock.read_monotonic(), records)


class OpenSetLease(Lease):
    """Let a newcomer outside the closed set wait no longer than a successor."""

    def _find_wait(self, wait: WaitClass) -> float:
        return self.times.takeover_wait_s


class UnendingUnreadLease(Lease):
    """Rely on promises without a limit on the time since the log was last read."""

    def _is_carried_by_promises(self, now: float) -> bool:
        self._unread_until = now + 1.0
        return super()._is_carried_by_promises(now)


class NoPromiseWaitLease(Lease):
    """Act before the promise that this node itself gave has expired."""

    def _find_wait_end(self) -> float:
        return self._wait_until


class NoTakeoverWaitLease(Lease):
    """Act as soon as the takeover record is read, without the takeover wait."""

    def _find_wait(self, wait: WaitClass) -> float:
        return 0.0


class DoubtfulPromiseLease(Lease):
    """
    Give promises while the outcome of an own append is unknown.

    The wait of that append was fixed when it was sent and does not cover them.
    """

    def give_promise(self, number: int) -> bool:
        if self.claimed_on is None:
            return super().give_promise(number)
        return self.seen is None or self.seen.number <= number


class LoudStartLease(Lease):
    """Forget given promises on a restart without waiting for them to expire."""

    def __init__(self, *arguments: Any) -> None:  # noqa: ANN401
        super().__init__(*arguments)
        self._promise_kept_until = float("-inf")


class ResumingLease(Lease):
    """Let promises alone revive a lease that has lapsed."""

    def may_act(self) -> bool:
        self.lapsed = False
        return super().may_act()
