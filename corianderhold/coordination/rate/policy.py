"""Decide how much of a pool to lend to one borrower; `Lender` enforces the limits."""

import math
from dataclasses import dataclass

from corianderhold.coordination.rate.const import (
    DEMAND_HEADROOM,
    DEMAND_MARGIN_PER_S,
    IDLE_DEMAND_PER_S,
    LENT_CAPACITY_FRACTION,
    LENT_CAPACITY_MIN,
    LENT_SPARE_FRACTION,
    SINGLE_CHARGE_DEMAND_MAX_PER_S,
)
from corianderhold.protocol.rate.model import LoanAsk


@dataclass(frozen=True)
class Pool:
    """
    What a lender has, and what of it no other borrower may be using (`free_`).

    `entry_demands` are the demands of the other entries, in requests per second.
    """

    rate: float
    capacity: float
    free_rate: float
    free_capacity: float
    tokens: float
    entry_demands: tuple[float, ...]


@dataclass(frozen=True)
class Offer:
    """What to lend; `free_capacity` limits capacity and tokens together."""

    rate: float
    capacity: float
    tokens: float
    free_capacity: float


def offer_to_entry(pool: Pool, ask: LoanAsk) -> Offer:
    """Share the pool between entries by demand, max-min fair when it is too small."""
    if ask.demand < IDLE_DEMAND_PER_S:
        return Offer(0.0, 0.0, 0.0, pool.free_capacity)
    need = compute_required_rate(ask.demand)
    needs = [compute_required_rate(demand) for demand in pool.entry_demands]
    total = need + sum(needs)
    if total <= pool.rate:
        rate = need
    else:
        rate = min(need, compute_max_min_limit(pool.rate, [need, *needs]))
    part = need / total if total else 0.0
    lent = need / max(total, pool.rate / 2)
    capacity = max(1.0, LENT_CAPACITY_FRACTION * pool.capacity * lent)
    if capacity < LENT_CAPACITY_MIN and ask.demand < SINGLE_CHARGE_DEMAND_MAX_PER_S:
        return Offer(0.0, 0.0, 0.0, pool.free_capacity)
    wanted = ask.wanted + max(0.0, capacity - ask.capacity)
    tokens = min(wanted, pool.tokens * max(0.5, part))
    capacity = min(max(capacity, tokens), pool.free_capacity)
    return Offer(min(rate, pool.free_rate), capacity, tokens, pool.free_capacity)


def offer_to_domain(pool: Pool, ask: LoanAsk) -> Offer:
    """Lend a fraction of the rate that local entries leave, and burst in proportion."""
    needs = sum(compute_required_rate(demand) for demand in pool.entry_demands)
    spare = max(0.0, min(pool.free_rate, pool.rate - needs) * LENT_SPARE_FRACTION)
    rate = min(ask.demand, spare)
    part = rate / pool.rate if pool.rate else 0.0
    capacity = pool.capacity * part
    growth = min(max(0.0, capacity - ask.capacity), pool.tokens * part)
    unused = spare / pool.rate if pool.rate else 0.0
    tokens = max(growth, min(ask.wanted, pool.tokens * unused))
    capacity = min(max(capacity, tokens), pool.free_capacity)
    return Offer(rate, capacity, tokens, pool.free_capacity)


def compute_required_rate(demand: float) -> float:
    """Return the rate to lend for a demand, both in requests per second."""
    if demand < IDLE_DEMAND_PER_S:
        return 0.0
    return demand + DEMAND_HEADROOM * math.sqrt(demand) + DEMAND_MARGIN_PER_S


def compute_max_min_limit(supply: float, needs: list[float]) -> float:
    """Return the max-min fair limit: needs capped at it add up to the supply."""
    left = supply
    ordered = sorted(needs)
    for position, need in enumerate(ordered):
        level = left / (len(ordered) - position)
        if need >= level:
            return level
        left -= need
    return left
