"""
Identify and order the starts of a daemon without a clock.

An incarnation has a start number, which no other start of the instance has, in its low
bits and a generation above it. A start keeps its number for good; it takes a higher
generation whenever it hears of another start that would outrank it.
"""

import secrets

from corianderhold.ids import Incarnation

START_BITS = 40
START_MASK = (1 << START_BITS) - 1


def draw_start() -> Incarnation:
    """Return a new start in its lowest generation."""
    return Incarnation(secrets.randbits(START_BITS))


def read_start(incarnation: Incarnation) -> Incarnation:
    """Return what a start's incarnations have in common, to compare for equality."""
    return Incarnation(incarnation & START_MASK)


def outrank(own: Incarnation, other: Incarnation) -> Incarnation:
    """Return the lowest incarnation of the own start that is higher than `other`."""
    if own > other:
        return own
    generation = (other >> START_BITS) + (read_start(own) <= read_start(other))
    return Incarnation(generation << START_BITS | read_start(own))
