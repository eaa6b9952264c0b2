"""Remove one guard of the lease each."""

from collections.abc import Sequence
from typing import Any

from corianderhold.coordination.lease.lease import Lease
from corianderhold.ids import InstanceId
from corianderhold.state.lease.model import LeaseRecord, WaitClass


class CheckedOnceLease(Lease):
    """Rely on the last check after a pause."""

    checked = False

    def may_act(self) -> bool:
        self.checked = self.holds and (self.checked or super().may_act())
        return self.checked


class EndlessPromiseLease(Lease):
    """Rely on a promise without an end."""

    def receive_promise(
        self, successor: InstanceId, number: int, sent_at: float
    ) -> None:
        super().receive_promise(successor, number, sent_at + 1000.0)


class LateTimeLease(Lease):
    """Take the time from after the request."""

    def receive_promise(
        self, successor: InstanceId, number: int, sent_at: float
    ) -> None:
        super().receive_promise(successor, number, self._clock.read_monotonic())


class LateReadLease(Lease):
    """Take the time of a read from after the request."""

    def receive_read(self, sent_at: float, records: Sequence[LeaseRecord]) -> None:
        super().receive_read(self._clock.read_monotonic(), records)


class OpenSetLease(Lease):
    """Let a newcomer wait no longer than a successor."""

    def _find_wait(self, wait: WaitClass) -> float:
        return self.times.takeover_wait_s


class UnendingUnreadLease(Lease):
    """Rely on promises however long ago the log was read."""

    def _is_carried_by_promises(self, now: float) -> bool:
        self._unread_until = now + 1.0
        return super()._is_carried_by_promises(now)


class NoPromiseWaitLease(Lease):
    """Act without waiting for the end of the own promise."""

    def _find_wait_end(self) -> float:
        return self._wait_until


class NoTakeoverWaitLease(Lease):
    """Act without waiting after the record."""

    def _find_wait(self, wait: WaitClass) -> float:
        return 0.0


class DoubtfulPromiseLease(Lease):
    """Promise while an append is in doubt; its wait was fixed when it was sent."""

    def give_promise(self, number: int) -> bool:
        if self.claimed_on is None:
            return super().give_promise(number)
        return self.seen is None or self.seen.number <= number


class LoudStartLease(Lease):
    """Forget promises in a restart without keeping quiet."""

    def __init__(self, *arguments: Any) -> None:  # noqa: ANN401
        super().__init__(*arguments)
        self._promise_kept_until = float("-inf")


class ResumingLease(Lease):
    """Resume a lapsed lease by promises alone."""

    def may_act(self) -> bool:
        self.lapsed = False
        return super().may_act()
