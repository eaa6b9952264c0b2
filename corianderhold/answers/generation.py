"""Generate the configuration from answers."""

from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from result import Err, Ok, Result

from corianderhold.answers.files import read_answers
from corianderhold.answers.model import AnswerFault, Section
from corianderhold.answers.schema import CheckedSection, check_section
from corianderhold.ids import OrganisationId, RouteName, ServiceName
from corianderhold.state.configuration.model import (
    EMPTY_CONFIGURATION,
    CallerLimits,
    Configuration,
    Organisation,
    Route,
    Service,
)
from corianderhold.state.configuration.records import EntityKind, ValidationFault
from corianderhold.state.configuration.validation import validate_configuration

OPTION_OF_FIELD = {
    "path_prefix": "path",
    "splits": "service",
    "organisations": "open_to",
    "deadline_ms": "deadline",
}
BASE_FILE = "configuration in force"


@dataclass(frozen=True)
class SectionKey:
    """The kind and name that tell a section from all others."""

    kind: EntityKind
    name: str


Checked = dict[SectionKey, CheckedSection]


def generate_configuration(
    paths: list[Path], base: Configuration = EMPTY_CONFIGURATION
) -> Result[Configuration, list[AnswerFault]]:
    """
    Return `base` with the answers of files put over it, or every fault in them.

    Raise `AnswersUnreadableError` for a file that can't be read.
    """
    reading = read_answers(paths)
    faults = list(reading.faults)
    checked: Checked = {}
    for section in reading.sections:
        each, section_faults = check_section(section)
        checked[SectionKey(section.kind, section.name)] = each
        faults.extend(section_faults)
    configuration = _build_configuration(checked, base)
    faults.extend(_cross_check(configuration, checked))
    if faults:
        return Err(sorted(faults, key=lambda each: (each.file, each.section)))
    return Ok(configuration)


def _build_configuration(checked: Checked, base: Configuration) -> Configuration:
    services: dict[ServiceName, Service] = dict(base.services)
    organisations: dict[OrganisationId, Organisation] = dict(base.organisations)
    routes: dict[RouteName, Route] = {each.name: each for each in base.routes}
    limits = base.limits
    for key, each in checked.items():
        answers: dict[str, Any] = dict(each.answers)
        if key.kind is EntityKind.SERVICE:
            service = Service(ServiceName(key.name), **answers)
            services[service.name] = service
        elif key.kind is EntityKind.ORGANISATION:
            organisation = Organisation(OrganisationId(key.name), **answers)
            organisations[organisation.name] = organisation
        elif key.kind is EntityKind.LIMITS:
            limits = _build_limits(answers)
        else:
            route = _build_route(RouteName(key.name), answers)
            routes[route.name] = route
    ordered = tuple(routes[name] for name in sorted(routes))
    return replace(
        base,
        services=services,
        routes=ordered,
        organisations=organisations,
        limits=limits,
    )


def _build_limits(answers: dict[str, Any]) -> CallerLimits:
    return CallerLimits(
        header_bytes_max=answers["header_bytes"],
        body_bytes_max=answers["body_bytes"],
        header_timeout_s=answers["header_timeout"] / 1000.0,
        idle_timeout_s=answers["idle_timeout"] / 1000.0,
    )


def _build_route(name: RouteName, answers: dict[str, Any]) -> Route:
    return Route(
        name=name,
        service=answers["service"].service,
        path_prefix=answers["path"],
        methods=answers["methods"],
        importance=answers["importance"],
        open_to_all=answers["open_to"].open_to_all,
        organisations=answers["open_to"].organisations,
        idempotent=answers["idempotent"],
        deadline_ms=answers["deadline"],
        retry_budget=answers["retry_budget"],
        isolated=answers["isolated"],
        isolated_after_s=answers["isolated_after"] / 1000.0,
        calls=frozenset(map(RouteName, answers["calls"])),
        host=answers["host"],
        splits=answers["service"].splits,
        anonymous=answers["anonymous"],
        target_latency_ms=answers["target_latency"],
    )


def _cross_check(configuration: Configuration, checked: Checked) -> list[AnswerFault]:
    """Return the faults between sections, but for those that only examples cause."""
    routes = tuple(_hide_examples(each, checked) for each in configuration.routes)
    faults = []
    for fault in validate_configuration(replace(configuration, routes=routes)):
        found = checked.get(SectionKey(fault.kind, fault.name))
        option = OPTION_OF_FIELD.get(fault.option, fault.option)
        if found is None:
            faults.append(_convert_of_base(fault, option))
        elif option not in found.invalid:
            faults.append(_convert(fault, option, found.section))
    return faults


def _hide_examples(route: Route, checked: Checked) -> Route:
    """Return a route without calls to invalid ones, nor a path that isn't its own."""
    own = checked.get(SectionKey(EntityKind.ROUTE, route.name))
    if own is not None and not own.invalid.isdisjoint(("host", "path", "methods")):
        route = replace(route, path_prefix=f"?{route.name}")
    usable = frozenset(name for name in route.calls if not _is_invalid(name, checked))
    return replace(route, calls=usable)


def _is_invalid(name: RouteName, checked: Checked) -> bool:
    found = checked.get(SectionKey(EntityKind.ROUTE, name))
    return found is not None and bool(found.invalid)


def _convert(fault: ValidationFault, option: str, section: Section) -> AnswerFault:
    given = fault.given
    if fault.option == "deadline_ms":
        given = section.options[option]
    return AnswerFault(section.file, section.title, option, given, fault.accepted)


def _convert_of_base(fault: ValidationFault, option: str) -> AnswerFault:
    title = f"{fault.kind.value} {fault.name}"
    return AnswerFault(BASE_FILE, title, option, fault.given, fault.accepted)
