"""Build the parts that hold organisations to their rates."""

import os
from collections.abc import Mapping
from dataclasses import dataclass, field
from random import Random

from corianderhold.clock import Clock
from corianderhold.coordination.lease.guard import LeaseGuard
from corianderhold.coordination.lease.locator import HolderLocator
from corianderhold.coordination.rate.charger import StewardCharger
from corianderhold.coordination.rate.entry import EntryLoans
from corianderhold.coordination.rate.limiter import AllowanceLimiter, RateLimiter
from corianderhold.coordination.rate.messenger import LoanMessenger
from corianderhold.coordination.rate.static import StaticAllocator
from corianderhold.coordination.rate.steward import RateSteward
from corianderhold.core import Component
from corianderhold.ids import FailureDomainId
from corianderhold.protocol.peer.control import (
    ControlClient,
    ControlHandler,
    ControlTopic,
)
from corianderhold.state.configuration.holder import ConfigurationHolder
from corianderhold.state.lease.model import Holder


@dataclass(frozen=True)
class RateParts:
    """The limiter of an entry, and the components and handlers behind it."""

    limiter: RateLimiter
    components: tuple[Component, ...]
    handlers: Mapping[ControlTopic, ControlHandler] = field(default_factory=dict)


def build_fixed_slices(
    configuration: ConfigurationHolder,
    domain: FailureDomainId,
    entry_slots: int,
    clock: Clock,
) -> RateParts:
    """Give this entry 1/`entry_slots` of its domain's share, without any messages."""
    limiter = AllowanceLimiter()
    allocator = StaticAllocator(limiter, configuration, domain, entry_slots, clock)
    return RateParts(limiter, (allocator,))


def build_loans(
    node: Holder,
    domain: FailureDomainId,
    configuration: ConfigurationHolder,
    guard: LeaseGuard,
    locator: HolderLocator,
    control: ControlClient,
    clock: Clock,
) -> RateParts:
    """Let this entry borrow from the stewards, and this daemon be one of them."""

    def build_messenger(*, steward: bool) -> LoanMessenger:
        return LoanMessenger(node, domain, steward, clock, control, locator)

    steward = RateSteward(
        build_messenger(steward=True),
        domain,
        configuration,
        clock,
        guard,
        Random(os.urandom(16)),
    )
    limiter = AllowanceLimiter()
    charger = StewardCharger(limiter, build_messenger(steward=False), domain, clock)
    loans = EntryLoans(limiter, build_messenger(steward=False), domain, clock)
    return RateParts(
        charger,
        (steward, loans),
        {ControlTopic.RATE: steward},
    )
