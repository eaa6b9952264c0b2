"""Generate the configuration from answers files."""

from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from result import Err, Ok, Result

from corianderhold.answers.files import read_answers
from corianderhold.answers.model import AnswerFault, Section
from corianderhold.answers.schema import CheckedSection, check_section
from corianderhold.ids import OrganisationId, RouteName, ServiceName
from corianderhold.state.configuration.faults import EntityKind, ValidationFault
from corianderhold.state.configuration.model import (
    EMPTY_CONFIGURATION,
    CallerLimits,
    Configuration,
    Organisation,
    Route,
    Service,
)
from corianderhold.state.configuration.validation import validate_configuration

OPTION_BY_FIELD = {
    "path_prefix": "path",
    "splits": "service",
    "organisations": "open_to",
    "deadline_ms": "deadline",
}
BASE_FILE_LABEL = "configuration in force"


@dataclass(frozen=True)
class SectionKey:
    """The kind and name that identify a section."""

    kind: EntityKind
    name: str


CheckedSections = dict[SectionKey, CheckedSection]


def generate_configuration(
    paths: list[Path], base: Configuration = EMPTY_CONFIGURATION
) -> Result[Configuration, list[AnswerFault]]:
    """
    Return `base` overridden by the answers in the files, or all faults found.

    Raise `AnswersUnreadableError` if a file cannot be read.
    """
    reading = read_answers(paths)
    faults = list(reading.faults)
    checked: CheckedSections = {}
    for section in reading.sections:
        each, section_faults = check_section(section)
        checked[SectionKey(section.kind, section.name)] = each
        faults.extend(section_faults)
    configuration = _build_configuration(checked, base)
    faults.extend(_cross_check(configuration, checked))
    if faults:
        return Err(sorted(faults, key=lambda each: (each.file, each.section)))
    return Ok(configuration)


def _build_configuration(
    checked: CheckedSections, base: Configuration
) -> Configuration:
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


def _cross_check(
    configuration: Configuration, checked: CheckedSections
) -> list[AnswerFault]:
    """Return the faults between sections, except those caused by example values."""
    routes = tuple(
        _remove_example_values(each, checked) for each in configuration.routes
    )
    faults = []
    for fault in validate_configuration(replace(configuration, routes=routes)):
        found = checked.get(SectionKey(fault.kind, fault.name))
        option = OPTION_BY_FIELD.get(fault.option, fault.option)
        if found is None:
            faults.append(_to_base_fault(fault, option))
        elif option not in found.invalid:
            faults.append(_to_answer_fault(fault, option, found.section))
    return faults


def _remove_example_values(route: Route, checked: CheckedSections) -> Route:
    """
    Return the route without example values that could cause faults.

    Calls to invalid routes are removed. If host, path or methods are invalid, the path
    is replaced by one that no other route can have, so it causes no conflict.
    """
    own = checked.get(SectionKey(EntityKind.ROUTE, route.name))
    if own is not None and not own.invalid.isdisjoint(("host", "path", "methods")):
        route = replace(route, path_prefix=f"?{route.name}")
    usable = frozenset(name for name in route.calls if not _is_invalid(name, checked))
    return replace(route, calls=usable)


def _is_invalid(name: RouteName, checked: CheckedSections) -> bool:
    found = checked.get(SectionKey(EntityKind.ROUTE, name))
    return found is not None and bool(found.invalid)


def _to_answer_fault(
    fault: ValidationFault, option: str, section: Section
) -> AnswerFault:
    given = fault.given
    if fault.option == "deadline_ms":
        given = section.options[option]
    return AnswerFault(section.file, section.title, option, given, fault.accepted)


def _to_base_fault(fault: ValidationFault, option: str) -> AnswerFault:
    title = f"{fault.kind.value} {fault.name}"
    return AnswerFault(BASE_FILE_LABEL, title, option, fault.given, fault.accepted)
