"""
Identify and order the starts of a daemon without relying on a clock.

The low bits of an incarnation hold a random start number that identifies the start, the
high bits a generation. A start keeps its number; it raises its generation whenever it
learns of another start of the instance that would supersede it.
"""

import secrets

from corianderhold.ids import Incarnation

START_BITS = 40
START_MASK = (1 << START_BITS) - 1


def generate_incarnation() -> Incarnation:
    """Return the incarnation of a new start, with a random number and generation 0."""
    return Incarnation(secrets.randbits(START_BITS))


def extract_start_number(incarnation: Incarnation) -> Incarnation:
    """Return the start number, which all incarnations of one start share."""
    return Incarnation(incarnation & START_MASK)


def supersede_incarnation(own: Incarnation, other: Incarnation) -> Incarnation:
    """Return the lowest incarnation of the start of `own` that is above `other`."""
    if own > other:
        return own
    generation = (other >> START_BITS) + (
        extract_start_number(own) <= extract_start_number(other)
    )
    return Incarnation(generation << START_BITS | extract_start_number(own))
