"""Build the components of rate limiting."""

import os
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from random import Random

from corianderhold.clock import Clock
from corianderhold.coordination.lease.guard import LeaseGuard
from corianderhold.coordination.lease.locator import HolderLocator
from corianderhold.coordination.rate.charger import StewardCharger
from corianderhold.coordination.rate.division import Division
from corianderhold.coordination.rate.entry import EntryLoans
from corianderhold.coordination.rate.limiter import AllowanceLimiter, RateLimiter
from corianderhold.coordination.rate.slices import SliceAllocator, SliceTable
from corianderhold.coordination.rate.steward import RateSteward
from corianderhold.coordination.rate.steward_client import StewardClient
from corianderhold.coordination.rate.transfer import EntryPlace, TransferLimiter
from corianderhold.core import Component
from corianderhold.ids import FailureDomainId
from corianderhold.protocol.peer.control import (
    ControlClient,
    ControlHandler,
    ControlTopic,
)
from corianderhold.state.configuration.holder import ConfigurationHolder
from corianderhold.state.lease.model import LeaseHolder
from corianderhold.state.membership.model import MemberDirectory


@dataclass(frozen=True)
class RateComponents:
    """
    The rate limiter of an entry, with its components and control handlers.

    `is_settled` returns whether this entry's limits are already known.
    """

    limiter: RateLimiter
    components: tuple[Component, ...]
    handlers: Mapping[ControlTopic, ControlHandler] = field(default_factory=dict)
    is_settled: Callable[[], bool] = lambda: True


def build_slices(
    place: EntryPlace,
    configuration: ConfigurationHolder,
    division: Division,
    members: MemberDirectory,
    control: ControlClient,
    clock: Clock,
    slack: float,
    lowering_delay_s: float,
    overage: float,
) -> RateComponents:
    """Build a limiter by slices of every organisation that borrows tokens of peers."""
    table = SliceTable()
    limiter = TransferLimiter(
        table,
        place,
        configuration,
        division,
        members,
        control,
        clock,
        Random(os.urandom(16)),
    )
    allocator = SliceAllocator(
        table, configuration, division, clock, slack, lowering_delay_s, overage
    )
    handlers = {ControlTopic.RATE: limiter}
    return RateComponents(limiter, (allocator,), handlers, lambda: table.settled)


def build_loans(
    node: LeaseHolder,
    domain: FailureDomainId,
    configuration: ConfigurationHolder,
    guard: LeaseGuard,
    locator: HolderLocator,
    control: ControlClient,
    clock: Clock,
) -> RateComponents:
    """Build a limiter that borrows from stewards, and a steward for this daemon."""

    def build_client(*, steward: bool) -> StewardClient:
        return StewardClient(node, domain, steward, clock, control, locator)

    steward = RateSteward(
        build_client(steward=True),
        domain,
        configuration,
        clock,
        guard,
        Random(os.urandom(16)),
    )
    limiter = AllowanceLimiter()
    charger = StewardCharger(limiter, build_client(steward=False), domain, clock)
    loans = EntryLoans(limiter, build_client(steward=False), domain, clock)
    return RateComponents(
        charger,
        (steward, loans),
        {ControlTopic.RATE: steward},
    )
