"""Determine whether this daemon is ready for callers."""

from collections.abc import Callable

from corianderhold.clock import Clock
from corianderhold.state.configuration.holder import ConfigurationHolder

RATE_SETTLE_TIMEOUT_S = 3.5


class Readiness:
    """
    Report readiness from the end of the start until a stop begins.

    If an organisation has a rate limit, readiness waits for `are_rates_settled`, for at
    most RATE_SETTLE_TIMEOUT_S. `open` and `close` take effect before they return;
    thread-safe.
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
        """Report ready once a configuration is in force and the rates are settled."""
        self._opened_at = self._clock.read_monotonic()
        self._is_open = True

    def close(self) -> None:
        """Report not ready from now on."""
        self._is_open = False

    def is_ready(self) -> bool:
        """Return whether the daemon is ready for new requests."""
        if not self._is_open or self._holder.current.is_empty:
            return False
        return self._are_rates_settled() or not self._is_waiting_for_rates()

    def _is_waiting_for_rates(self) -> bool:
        if self._clock.read_monotonic() - self._opened_at >= RATE_SETTLE_TIMEOUT_S:
            return False
        organisations = self._holder.current.organisations.values()
        return any(organisation.rate > 0 for organisation in organisations)
