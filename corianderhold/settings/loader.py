"""Load a settings file into validated settings."""

from configparser import ConfigParser
from configparser import Error as ParserError
from pathlib import Path
from typing import Any

from voluptuous import Invalid, MultipleInvalid

from corianderhold.ids import FailureDomainId, InstanceId, RegionId
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
    STOP_MARGIN_S,
    TRUST_NETWORK,
)
from corianderhold.settings.errors import SettingsError
from corianderhold.settings.model import Listeners, Settings, StopTimes
from corianderhold.settings.schema import REQUIRED_SECTIONS, SECTIONS

CheckedSections = dict[str, dict[str, Any]]


def load_settings(path: Path) -> Settings:
    """
    Load and validate the INI file at `path`.

    Raise `SettingsError` with one line per fault, naming the file, the section, the
    option and the accepted values.
    """
    parser = read_file(path)
    faults: list[str] = []
    for name in parser.sections():
        if name not in SECTIONS:
            accepted = ", ".join(SECTIONS)
            faults.append(f"{path}: [{name}]: unknown section; accepted: {accepted}")
    checked: CheckedSections = {}
    for name in SECTIONS:
        if not parser.has_section(name) and name in REQUIRED_SECTIONS:
            faults.append(f"{path}: [{name}]: section is missing")
            continue
        options = dict(parser.items(name)) if parser.has_section(name) else {}
        checked[name] = check_section(path, name, options, faults)
    listeners = checked.get(CONF_LISTENERS)
    if listeners and not listeners.keys() & {CONF_OUTGOING, CONF_ANNOUNCE}:
        option = f"{path}: [{CONF_LISTENERS}] {CONF_OUTGOING}"
        faults.append(f"{option}: option is missing")
    if checked.get(CONF_SECURITY):
        faults += check_trust(path, checked[CONF_SECURITY])
    if checked.get(CONF_LIFECYCLE):
        faults += check_stop_times(path, checked[CONF_LIFECYCLE])
    if faults:
        raise SettingsError("\n".join(faults))
    return build_settings(checked)


def read_file(path: Path) -> ConfigParser:
    """Parse the INI syntax of the file at `path`."""
    parser = ConfigParser(interpolation=None, strict=True)
    try:
        with path.open(encoding="utf-8") as file:
            parser.read_file(file)
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: cannot be read: {error}") from None
    except ParserError as error:
        text = " ".join(str(error).split())
        raise SettingsError(f"{path}: not a valid INI file: {text}") from None
    return parser


def check_section(
    path: Path, section: str, options: dict[str, str], faults: list[str]
) -> dict[str, Any]:
    """Return the section's validated options and append its faults to `faults`."""
    try:
        values: dict[str, Any] = SECTIONS[section](options)
        return values
    except MultipleInvalid as error:
        for fault in error.errors:
            faults.append(f"{path}: [{section}] {describe_fault(section, fault)}")
    return {}


def check_trust(path: Path, security: dict[str, Any]) -> list[str]:
    """Return a fault for each secret that is missing or contradicts `peer_trust`."""
    section = f"{path}: [{CONF_SECURITY}]"
    if security[CONF_PEER_TRUST] == TRUST_NETWORK:
        if CONF_FLEET_SECRET not in security:
            return []
        return [
            f"{section} {CONF_FLEET_SECRET}: accepted: none where {CONF_PEER_TRUST}"
            f" is {TRUST_NETWORK}"
        ]
    return [
        f"{section} {option}: option is missing"
        for option in (CONF_FLEET_SECRET, CONF_ADMIN_TOKEN)
        if option not in security
    ]


def check_stop_times(path: Path, lifecycle: dict[str, Any]) -> list[str]:
    """Return a fault if the delay leaves too little time to finish a stop."""
    delay_max_s = lifecycle[CONF_STOP_LIMIT_S] - STOP_MARGIN_S
    if lifecycle[CONF_DEREGISTRATION_DELAY_S] <= delay_max_s:
        return []
    return [
        f"{path}: [{CONF_LIFECYCLE}] {CONF_DEREGISTRATION_DELAY_S}: accepted: at most"
        f" {CONF_STOP_LIMIT_S} minus {STOP_MARGIN_S:g} s, which is {delay_max_s:g} s;"
        f" got {lifecycle[CONF_DEREGISTRATION_DELAY_S]:g} s"
    ]


def describe_fault(section: str, fault: Invalid) -> str:
    """Format a fault as the option's name and the accepted values."""
    option = str(fault.path[0]) if fault.path else "?"
    if fault.error_message == "extra keys not allowed":
        accepted = ", ".join(str(key) for key in SECTIONS[section].schema)
        return f"{option}: unknown option; accepted: {accepted}"
    if fault.error_message == "required key not provided":
        return f"{option}: option is missing"
    return f"{option}: {fault.error_message}"


def build_settings(checked: CheckedSections) -> Settings:
    """Build the typed settings from validated sections."""
    instance = checked[CONF_INSTANCE]
    listeners = checked[CONF_LISTENERS]
    security = checked[CONF_SECURITY]
    return Settings(
        instance=InstanceId(instance[CONF_ID]),
        domain=FailureDomainId(instance[CONF_DOMAIN]),
        region=RegionId(instance[CONF_REGION]),
        listeners=Listeners(
            caller=listeners[CONF_CALLER],
            outgoing=listeners.get(CONF_OUTGOING),
            peer=listeners[CONF_PEER],
            peer_advertised=listeners.get(CONF_PEER_ADVERTISED) or listeners[CONF_PEER],
            gossip=listeners[CONF_GOSSIP],
            admin=listeners[CONF_ADMIN],
            announce=listeners.get(CONF_ANNOUNCE),
            readiness=listeners.get(CONF_READINESS),
            caller_threads=listeners[CONF_CALLER_THREADS],
            outgoing_threads=listeners[CONF_OUTGOING_THREADS],
        ),
        service=checked[CONF_TARGET][CONF_SERVICE],
        target_ttl_s=checked[CONF_TARGET][CONF_HEARTBEAT_TTL_S],
        store=checked[CONF_STORE][CONF_ADDRESS],
        retention_s=checked[CONF_STORE][CONF_RETENTION_S],
        seeds=checked[CONF_MEMBERSHIP][CONF_SEEDS],
        domains=checked[CONF_MEMBERSHIP][CONF_DOMAINS],
        rate_slack=checked[CONF_MEMBERSHIP][CONF_RATE_SLACK],
        rate_overage=checked[CONF_MEMBERSHIP][CONF_RATE_OVERAGE],
        retry_burst=checked[CONF_MEMBERSHIP][CONF_RETRY_BURST],
        rate_lowering_delay_s=checked[CONF_MEMBERSHIP][CONF_RATE_LOWERING_DELAY_S],
        entry_slots=checked[CONF_MEMBERSHIP][CONF_ENTRY_SLOTS],
        fleet_secret=security.get(CONF_FLEET_SECRET, "").encode(),
        admin_token=security.get(CONF_ADMIN_TOKEN, ""),
        stop=StopTimes(
            limit_s=checked[CONF_LIFECYCLE][CONF_STOP_LIMIT_S],
            deregistration_delay_s=checked[CONF_LIFECYCLE][CONF_DEREGISTRATION_DELAY_S],
        ),
        log_level=checked[CONF_LOGGING][CONF_LEVEL],
    )
