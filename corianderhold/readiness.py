"""Tell whether callers may come to this daemon."""

from collections.abc import Callable

from corianderhold.clock import Clock
from corianderhold.state.configuration.holder import ConfigurationHolder

SETTLE_WAIT_S = 3.5


class Readiness:
    """
    Answer readiness checks: from the end of the start to the first moment of a stop.

    Where an organisation has a rate, it waits until `are_rates_settled`, for
    SETTLE_WAIT_S at most. `open` and `close` take effect before they return; any
    thread may ask.
    """

    def __init__(
        self,
        holder: ConfigurationHolder,
        clock: Clock,
        are_rates_settled: Callable[[], bool],
    ) -> None:
        self._holder = holder
        self._clock = clock
        self._are_rates_settled = are_rates_settled
        self._is_open = False
        self._opened_at = 0.0

    def open(self) -> None:
        """Be ready as soon as a configuration is in force and the rates are settled."""
        self._opened_at = self._clock.read_monotonic()
        self._is_open = True

    def close(self) -> None:
        """Be ready no more."""
        self._is_open = False

    def is_ready(self) -> bool:
        """Return whether new requests may come."""
        if not self._is_open or not self._holder.current.version:
            return False
        return self._are_rates_settled() or not self._waits_for_rates()

    def _waits_for_rates(self) -> bool:
        if self._clock.read_monotonic() - self._opened_at >= SETTLE_WAIT_S:
            return False
        organisations = self._holder.current.organisations.values()
        return any(organisation.rate > 0 for organisation in organisations)
