"""Parse the text of individual answers."""

import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from fractions import Fraction

from voluptuous import Invalid

from corianderhold.ids import FailureDomainId, OrganisationId, ServiceName
from corianderhold.state.configuration.const import MAX_NAME_LENGTH, MAX_SPLIT_WEIGHT
from corianderhold.state.configuration.model import TrafficSplit
from corianderhold.state.configuration.schema import (
    HOST_PATTERN,
    METHOD_PATTERN,
    NAME_PATTERN,
    PATH_PATTERN,
)

Parser = Callable[[str], object]

NOT_ACCEPTED = "not accepted"

INTEGER_PATTERN = re.compile(r"[0-9]{1,12}")
NUMBER_PATTERN = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?")
SHARE_PATTERN = re.compile(
    r"(?P<number>[0-9]{1,3}(\.[0-9]{1,12})?)"
    r"(?P<sign>%|/(?P<divisor>[1-9][0-9]{0,3}))?"
)
TIME_PATTERN = re.compile(r"([0-9]{1,9}(?:\.[0-9]{1,3})?)\s*(ms|s|min|h)")
UNIT_MS = {"ms": 1, "s": 1000, "min": 60_000, "h": 3_600_000}

WORD_ALL = "all"
WORD_ANY = "any"
WORD_YES = "yes"
WORD_NO = "no"
NAME_ACCEPTED = (
    f"1 to {MAX_NAME_LENGTH} letters, digits, dots, dashes or underscores, "
    "with a letter or digit first"
)


@dataclass(frozen=True)
class RouteAccess:
    """Who may use a route."""

    open_to_all: bool
    organisations: frozenset[OrganisationId]


@dataclass(frozen=True)
class Destination:
    """The single service of a route, or weighted services that share its requests."""

    service: ServiceName
    splits: tuple[TrafficSplit, ...] = ()


def parse_optional(parse: Parser) -> Parser:
    """Wrap a parser so that an empty answer gives None."""
    return lambda text: parse(text) if text else None


def parse_whole(lowest: int, highest: int) -> Parser:
    """Return a parser for integers within bounds."""

    def parse(text: str) -> int:
        if not INTEGER_PATTERN.fullmatch(text) or not lowest <= int(text) <= highest:
            raise Invalid(NOT_ACCEPTED)
        return int(text)

    return parse


def parse_number(lowest: float, highest: float) -> Parser:
    """Return a parser for decimal numbers within bounds."""

    def parse(text: str) -> float:
        if not NUMBER_PATTERN.fullmatch(text) or not lowest <= float(text) <= highest:
            raise Invalid(NOT_ACCEPTED)
        return float(text)

    return parse


def parse_time_ms(lowest: int, highest: int) -> Parser:
    """Return a parser for durations in whole milliseconds within bounds."""

    def parse(text: str) -> int:
        parts = TIME_PATTERN.fullmatch(text)
        if parts is not None:
            time_ms = Fraction(parts[1]) * UNIT_MS[parts[2]]
            if time_ms.denominator == 1 and lowest <= time_ms <= highest:
                return int(time_ms)
        raise Invalid(NOT_ACCEPTED)

    return parse


def parse_yes_no(text: str) -> bool:
    """Parse yes or no as a boolean."""
    if text not in (WORD_YES, WORD_NO):
        raise Invalid(NOT_ACCEPTED)
    return text == WORD_YES


def parse_choice(choices: Mapping[str, Enum]) -> Parser:
    """Return a parser for one of several words."""

    def parse(text: str) -> Enum:
        if text not in choices:
            raise Invalid(NOT_ACCEPTED)
        return choices[text]

    return parse


def parse_names(text: str) -> frozenset[str]:
    """Parse a list of names; it may be empty."""
    names = _split_list(text)
    if not all(NAME_PATTERN.fullmatch(each) for each in names):
        raise Invalid(NOT_ACCEPTED)
    return frozenset(names)


def parse_methods(text: str) -> frozenset[str]:
    """Parse a non-empty list of HTTP methods; return an empty set for any method."""
    if text == WORD_ANY:
        return frozenset()
    methods = _split_list(text)
    if not methods or not all(METHOD_PATTERN.fullmatch(each) for each in methods):
        raise Invalid(NOT_ACCEPTED)
    return frozenset(methods)


def parse_path(text: str) -> str:
    """Parse a path prefix, which must be in canonical form."""
    if not PATH_PATTERN.fullmatch(text):
        raise Invalid(NOT_ACCEPTED)
    return text


def parse_host(text: str) -> str:
    """Parse a host in the form used for matching; an empty text matches any host."""
    if text and not HOST_PATTERN.fullmatch(text):
        raise Invalid(NOT_ACCEPTED)
    return text


def parse_destination(text: str) -> Destination:
    """Parse one service, or several services with weights."""
    if NAME_PATTERN.fullmatch(text):
        return Destination(ServiceName(text))
    splits: dict[str, TrafficSplit] = {}
    for each in _split_list(text):
        name, _, weight = each.partition(" ")
        if not (NAME_PATTERN.fullmatch(name) and NUMBER_PATTERN.fullmatch(weight)):
            raise Invalid(f"{each[:40]!r} is not a service name with a weight")
        if name in splits:
            raise Invalid(f"{name} is listed twice")
        splits[name] = TrafficSplit(ServiceName(name), float(weight))
    weights = [each.weight for each in splits.values()]
    if not 0.0 < max(weights, default=0.0) <= MAX_SPLIT_WEIGHT:
        raise Invalid(f"the greatest weight is {max(weights, default=0.0):g}")
    return Destination(ServiceName(""), tuple(splits.values()))


def parse_access(text: str) -> RouteAccess:
    """Parse which organisations may use a route."""
    if text == WORD_ALL:
        return RouteAccess(True, frozenset())
    names = _split_list(text)
    if not names or not all(NAME_PATTERN.fullmatch(each) for each in names):
        raise Invalid(NOT_ACCEPTED)
    return RouteAccess(False, frozenset(map(OrganisationId, names)))


def parse_shares(text: str) -> Mapping[FailureDomainId, float]:
    """Parse the shares of failure domains; their sum must be exactly 1."""
    shares: dict[FailureDomainId, Fraction] = {}
    for each in _split_list(text):
        name, _, share = each.partition(" ")
        parts = SHARE_PATTERN.fullmatch(share.strip())
        if parts is None or not NAME_PATTERN.fullmatch(name):
            raise Invalid(f"{each[:40]!r} is not a failure domain with a share")
        if name in shares:
            raise Invalid(f"{name} is listed twice")
        shares[FailureDomainId(name)] = _parse_share(parts)
    if sum(shares.values()) != 1:
        raise Invalid(f"the sum is {float(sum(shares.values())):.6g}")
    return {name: float(share) for name, share in shares.items()}


def _parse_share(parts: re.Match[str]) -> Fraction:
    share = Fraction(parts["number"])
    if parts["sign"] == "%":
        return share / 100
    return share / int(parts["divisor"] or 1)


def _split_list(text: str) -> list[str]:
    """Split a list at commas and line ends, dropping empty items."""
    items = (" ".join(each.split()) for each in re.split(r"[,\n]", text))
    return [each for each in items if each]
