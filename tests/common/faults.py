"""Inject faults between one daemon and the log."""

from collections.abc import Callable

from result import Err, Result

from corianderhold.ids import Offset
from corianderhold.protocol.store.model import (
    AppendFailure,
    LogPage,
    ReadFailure,
    StreamName,
)
from tests.common.clock import FakeClock
from tests.common.log import FakeLog


class FaultyLog:
    """Forward requests to a shared log, with the faults set in the public fields."""

    def __init__(self, log: FakeLog, clock: FakeClock) -> None:
        self.cut = False
        self.silent = False
        self.silence_detected_s = float("inf")
        self.delay_s = 0.0
        self.answer_delay_s = 0.0
        self.lose_answers = False
        self.hold_appends = False
        self.held: list[str] = []
        self.before_append: Callable[[], None] | None = None
        self.appends = 0
        self._log = log
        self._clock = clock

    @property
    def read_only(self) -> frozenset[StreamName]:
        return self._log.read_only

    def append(
        self, stream: StreamName, data: str, timeout_s: float, key: str = ""
    ) -> Result[Offset, AppendFailure]:
        """Append one record, subject to the injected faults."""
        self.appends += 1
        hook, self.before_append = self.before_append, None
        if hook is not None:
            hook()
        if self.hold_appends:
            self.held.append(data)
            self._clock.advance(timeout_s)
            return Err(AppendFailure.UNKNOWN)
        if self.cut:
            return Err(AppendFailure.NOT_APPENDED)
        outcome = self._log.append(stream, data, timeout_s)
        self._clock.advance(min(self.delay_s, timeout_s))
        if self.lose_answers or self.delay_s > timeout_s:
            return Err(AppendFailure.UNKNOWN)
        return outcome

    def read(
        self,
        stream: StreamName,
        from_offset: Offset,
        limit: int,
        timeout_s: float,
        wait_s: float = 0.0,
    ) -> Result[LogPage, ReadFailure]:
        """Read a page, subject to the injected faults."""
        if self.silent:
            self._clock.advance(min(wait_s + timeout_s, self.silence_detected_s))
            return Err(ReadFailure.UNAVAILABLE)
        self._clock.advance(min(self.delay_s, timeout_s))
        if self.cut or self.delay_s > timeout_s:
            return Err(ReadFailure.UNAVAILABLE)
        page = self._log.read(stream, from_offset, limit, timeout_s, wait_s)
        self._clock.advance(self.answer_delay_s)
        return page

    def release(self) -> None:
        """Deliver the held appends to the log."""
        self.hold_appends = False
        for data in self.held:
            self._log.append(StreamName.CONFIGURATION, data, 1.0)
        self.held.clear()
