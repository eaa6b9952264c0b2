"""Define the validation schema of the INI settings."""

import ipaddress
import re

from voluptuous import (
    All,
    Coerce,
    In,
    Invalid,
    Length,
    Optional,
    Range,
    Required,
    Schema,
)

from corianderhold.ids import FailureDomainId, ServiceName
from corianderhold.settings.const import (
    CONF_ADDRESS,
    CONF_ADMIN,
    CONF_ADMIN_TOKEN,
    CONF_ANNOUNCE,
    CONF_CALLER,
    CONF_CALLER_THREADS,
    CONF_DEREGISTRATION_DELAY_S,
    CONF_DOMAIN,
    CONF_DOMAINS,
    CONF_ENTRY_SLOTS,
    CONF_FLEET_SECRET,
    CONF_GOSSIP,
    CONF_HEARTBEAT_TTL_S,
    CONF_ID,
    CONF_INSTANCE,
    CONF_LEVEL,
    CONF_LIFECYCLE,
    CONF_LISTENERS,
    CONF_LOGGING,
    CONF_MEMBERSHIP,
    CONF_OUTGOING,
    CONF_OUTGOING_THREADS,
    CONF_PEER,
    CONF_PEER_ADVERTISED,
    CONF_PEER_TRUST,
    CONF_RATE_LOWERING_DELAY_S,
    CONF_RATE_OVERAGE,
    CONF_RATE_SLACK,
    CONF_READINESS,
    CONF_REGION,
    CONF_RETENTION_S,
    CONF_RETRY_BURST,
    CONF_SECURITY,
    CONF_SEEDS,
    CONF_SERVICE,
    CONF_STOP_LIMIT_S,
    CONF_STORE,
    CONF_TARGET,
    DEFAULT_CALLER_THREADS,
    DEFAULT_DEREGISTRATION_DELAY_S,
    DEFAULT_ENTRY_SLOTS,
    DEFAULT_LEVEL,
    DEFAULT_OUTGOING_THREADS,
    DEFAULT_RATE_LOWERING_DELAY_S,
    DEFAULT_RATE_OVERAGE,
    DEFAULT_RATE_SLACK,
    DEFAULT_RETENTION_S,
    DEFAULT_RETRY_BURST,
    DEFAULT_STOP_LIMIT_S,
    ENTRY_SLOTS_MEMBERS,
    HIGHEST_ENTRY_SLOTS,
    HIGHEST_PORT,
    HIGHEST_RATE_SLACK,
    HIGHEST_RETRY_BURST,
    LOG_LEVELS,
    PEER_TRUSTS,
    SECRET_LENGTH_MIN,
    TRUST_SECRET,
)
from corianderhold.state.membership.const import TARGET_TTL_S
from corianderhold.state.membership.model import Address

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9_.-]{0,62}")
RETENTION_ACCEPTED = "accepted: seconds, at least 60"
HEARTBEAT_TTL_ACCEPTED = "accepted: seconds from 1 to 60"
STOP_LIMIT_ACCEPTED = "accepted: seconds from 3 to 600"
DEREGISTRATION_DELAY_ACCEPTED = "accepted: seconds from 0 to 600"
ENTRY_SLOTS_ACCEPTED = "accepted: a whole number from 0 to 10000, or members"
RATE_LOWERING_DELAY_ACCEPTED = "accepted: seconds from 0 to 60"
RATE_OVERAGE_ACCEPTED = "accepted: a fraction from 0 to 1"
RATE_SLACK_ACCEPTED = "accepted: a whole number from 0 to 1000"
RETRY_BURST_ACCEPTED = "accepted: a number from 0 to 10000"
THREADS = All(
    Coerce(int, msg="accepted: a whole number from 4 to 1024"),
    Range(min=4, max=1024, msg="accepted: a whole number from 4 to 1024"),
)


def parse_address(text: str) -> Address:
    """
    Parse `text` as an IP address and a port.

    Raise `voluptuous.Invalid` for anything else.
    """
    host, _, port = text.strip().rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        number = int(port)
    except ValueError:
        raise Invalid(
            f"accepted: IP:PORT, such as 10.0.0.1:8080; got {text!r}"
        ) from None
    if not 0 < number <= HIGHEST_PORT:
        raise Invalid(
            f"accepted: IP:PORT with a port from 1 to {HIGHEST_PORT}; got {number}"
        )
    return Address(host.strip("[]"), number)


def parse_loopback(text: str) -> Address:
    """
    Parse `text` as a loopback address and a port.

    Any client of the outgoing listener can announce a target, so the listener must
    not be reachable from other hosts.
    """
    address = parse_address(text)
    if not ipaddress.ip_address(address.host).is_loopback:
        raise Invalid(
            f"accepted: IP:PORT on loopback, such as 127.0.0.1:8081; got {text!r}"
        )
    return address


def parse_addresses(text: str) -> tuple[Address, ...]:
    """Parse `text` as comma-separated addresses."""
    parts = [part for part in text.split(",") if part.strip()]
    return tuple(parse_address(part) for part in parts)


def parse_name(text: str) -> str:
    """Return `text` if it is a valid name; raise `voluptuous.Invalid` otherwise."""
    if not NAME_PATTERN.fullmatch(text):
        raise Invalid(
            "accepted: 1 to 63 of a-z, 0-9, '_', '.', '-', first a letter or digit;"
            f" got {text!r}"
        )
    return text


def parse_domains(text: str) -> tuple[FailureDomainId, ...]:
    """Parse `text` as comma-separated failure domains."""
    names = [part.strip() for part in text.split(",") if part.strip()]
    return tuple(FailureDomainId(parse_name(name)) for name in names)


def parse_entry_slots(text: str) -> int | None:
    """Parse the number of entry slots; return None for one slot per member."""
    if text == ENTRY_SLOTS_MEMBERS:
        return None
    try:
        slots = int(text)
    except ValueError:
        raise Invalid(ENTRY_SLOTS_ACCEPTED) from None
    if not 0 <= slots <= HIGHEST_ENTRY_SLOTS:
        raise Invalid(ENTRY_SLOTS_ACCEPTED)
    return slots


def parse_service(text: str) -> ServiceName | None:
    """
    Parse a service name; return None for an empty text.

    It must match the name in the configuration, which may have any characters.
    """
    return ServiceName(text) if text else None


SECRET_LENGTH = Length(
    min=SECRET_LENGTH_MIN, msg=f"accepted: at least {SECRET_LENGTH_MIN} characters"
)

SECTIONS: dict[str, Schema] = {
    CONF_INSTANCE: Schema(
        {
            Required(CONF_ID): parse_name,
            Required(CONF_DOMAIN): parse_name,
            Required(CONF_REGION): parse_name,
        }
    ),
    CONF_LISTENERS: Schema(
        {
            Required(CONF_CALLER): parse_address,
            Optional(CONF_OUTGOING): parse_loopback,
            Required(CONF_PEER): parse_address,
            Optional(CONF_PEER_ADVERTISED): parse_address,
            Required(CONF_GOSSIP): parse_address,
            Required(CONF_ADMIN): parse_address,
            Optional(CONF_ANNOUNCE): parse_address,
            Optional(CONF_READINESS): parse_address,
            Optional(CONF_CALLER_THREADS, default=DEFAULT_CALLER_THREADS): THREADS,
            Optional(CONF_OUTGOING_THREADS, default=DEFAULT_OUTGOING_THREADS): THREADS,
        }
    ),
    CONF_TARGET: Schema(
        {
            Optional(CONF_SERVICE, default=""): parse_service,
            Optional(CONF_HEARTBEAT_TTL_S, default=TARGET_TTL_S): All(
                Coerce(float, msg=HEARTBEAT_TTL_ACCEPTED),
                Range(min=1, max=60, msg=HEARTBEAT_TTL_ACCEPTED),
            ),
        }
    ),
    CONF_STORE: Schema(
        {
            Required(CONF_ADDRESS): parse_address,
            Optional(CONF_RETENTION_S, default=DEFAULT_RETENTION_S): All(
                Coerce(float, msg=RETENTION_ACCEPTED),
                Range(min=60, msg=RETENTION_ACCEPTED),
            ),
        }
    ),
    CONF_MEMBERSHIP: Schema(
        {
            Optional(CONF_SEEDS, default=""): parse_addresses,
            Optional(CONF_DOMAINS, default=""): parse_domains,
            Optional(CONF_ENTRY_SLOTS, default=DEFAULT_ENTRY_SLOTS): parse_entry_slots,
            Optional(CONF_RATE_SLACK, default=DEFAULT_RATE_SLACK): All(
                Coerce(int, msg=RATE_SLACK_ACCEPTED),
                Range(min=0, max=HIGHEST_RATE_SLACK, msg=RATE_SLACK_ACCEPTED),
            ),
            Optional(CONF_RATE_OVERAGE, default=DEFAULT_RATE_OVERAGE): All(
                Coerce(float, msg=RATE_OVERAGE_ACCEPTED),
                Range(min=0, max=1, msg=RATE_OVERAGE_ACCEPTED),
            ),
            Optional(CONF_RETRY_BURST, default=DEFAULT_RETRY_BURST): All(
                Coerce(float, msg=RETRY_BURST_ACCEPTED),
                Range(min=0, max=HIGHEST_RETRY_BURST, msg=RETRY_BURST_ACCEPTED),
                Coerce(int, msg=RETRY_BURST_ACCEPTED),
            ),
            Optional(
                CONF_RATE_LOWERING_DELAY_S, default=DEFAULT_RATE_LOWERING_DELAY_S
            ): All(
                Coerce(float, msg=RATE_LOWERING_DELAY_ACCEPTED),
                Range(min=0, max=60, msg=RATE_LOWERING_DELAY_ACCEPTED),
            ),
        }
    ),
    CONF_SECURITY: Schema(
        {
            Optional(CONF_PEER_TRUST, default=TRUST_SECRET): In(
                PEER_TRUSTS, msg=f"accepted: one of {', '.join(PEER_TRUSTS)}"
            ),
            Optional(CONF_FLEET_SECRET): SECRET_LENGTH,
            Optional(CONF_ADMIN_TOKEN): SECRET_LENGTH,
        }
    ),
    CONF_LIFECYCLE: Schema(
        {
            Optional(CONF_STOP_LIMIT_S, default=DEFAULT_STOP_LIMIT_S): All(
                Coerce(float, msg=STOP_LIMIT_ACCEPTED),
                Range(min=3, max=600, msg=STOP_LIMIT_ACCEPTED),
            ),
            Optional(
                CONF_DEREGISTRATION_DELAY_S, default=DEFAULT_DEREGISTRATION_DELAY_S
            ): All(
                Coerce(float, msg=DEREGISTRATION_DELAY_ACCEPTED),
                Range(min=0, max=600, msg=DEREGISTRATION_DELAY_ACCEPTED),
            ),
        }
    ),
    CONF_LOGGING: Schema(
        {
            Optional(CONF_LEVEL, default=DEFAULT_LEVEL): In(
                LOG_LEVELS, msg=f"accepted: one of {', '.join(LOG_LEVELS)}"
            )
        }
    ),
}
REQUIRED_SECTIONS = (CONF_INSTANCE, CONF_LISTENERS, CONF_STORE, CONF_SECURITY)
