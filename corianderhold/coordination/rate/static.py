"""Split rate and burst into fixed slices, one for each entry."""

from corianderhold.clock import Clock
from corianderhold.coordination.rate.limiter import Allowance, AllowanceLimiter
from corianderhold.ids import FailureDomainId
from corianderhold.state.configuration.holder import ConfigurationHolder
from corianderhold.state.configuration.model import Configuration


class StaticAllocator:
    """
    Give this entry 1/`entry_slots` of its domain's share of every organisation.

    `entry_slots` is the highest number of daemons that ever run at once in the
    domain, as the operator sets it; 0 gives an entry nothing before it has a loan.
    """

    def __init__(
        self,
        limiter: AllowanceLimiter,
        configuration: ConfigurationHolder,
        domain: FailureDomainId,
        entry_slots: int,
        clock: Clock,
    ) -> None:
        self._limiter = limiter
        self._configuration = configuration
        self._domain = domain
        self._entry_slots = entry_slots
        self._clock = clock

    def start(self) -> None:
        """Follow the configuration, the one in force first."""
        self._configuration.add_listener(self._apply)

    def stop(self) -> None:
        """Hold nothing that needs releasing."""

    def _apply(self, configuration: Configuration) -> None:
        """Set the slice of every organisation."""
        if self._entry_slots <= 0:
            return
        now = self._clock.read_monotonic()
        self._limiter.remove_allowances_except(configuration.organisations)
        for name, organisation in configuration.organisations.items():
            part = organisation.shares.get(self._domain, 0.0) / self._entry_slots
            allowance = Allowance(organisation.rate * part, organisation.burst * part)
            self._limiter.set_allowance(name, allowance, now)
