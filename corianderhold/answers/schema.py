"""Validate the options of one section."""

from collections.abc import Mapping
from dataclasses import dataclass
from difflib import get_close_matches

from voluptuous import (
    Invalid,
    Marker,
    MultipleInvalid,
    Optional,
    Required,
    RequiredFieldInvalid,
    Schema,
)

from corianderhold.answers.model import AnswerFault, Section
from corianderhold.answers.options import OPTIONS, Option
from corianderhold.answers.values import NOT_ACCEPTED, Parser
from corianderhold.state.configuration.faults import EntityKind


@dataclass(frozen=True)
class CheckedSection:
    """
    A section with typed answers.

    For an option in `invalid`, `answers` has the option's example, so that the section
    can still be validated against the others.
    """

    section: Section
    answers: Mapping[str, object]
    invalid: frozenset[str]


def build_schema(options: tuple[Option, ...]) -> Schema:
    """Build the validation schema of a section with these options."""
    fields: dict[Marker, Parser] = {}
    for option in options:
        if option.default is None:
            fields[Required(option.name)] = option.parse
        else:
            fields[Optional(option.name, default=option.default)] = option.parse
    return Schema(fields)


SCHEMAS: Mapping[EntityKind, Schema] = {
    kind: build_schema(options) for kind, options in OPTIONS.items()
}


def check_section(section: Section) -> tuple[CheckedSection, list[AnswerFault]]:
    """Return a section's typed answers and all faults of its options."""
    options = {each.name: each for each in OPTIONS[section.kind]}
    given = dict(section.options)
    faults: list[AnswerFault] = []
    try:
        answers = SCHEMAS[section.kind](given)
    except MultipleInvalid as error:
        faults = [_build_fault(section, options, each) for each in error.errors]
        for fault in faults:
            given.pop(fault.option, None)
            if fault.option in options:
                given[fault.option] = options[fault.option].example
        answers = SCHEMAS[section.kind](given)
    invalid = frozenset(each.option for each in faults)
    return CheckedSection(section, answers, invalid), faults


def _build_fault(
    section: Section, options: Mapping[str, Option], error: Invalid
) -> AnswerFault:
    name = str(error.path[0])
    given = section.options.get(name)
    option = options.get(name)
    if option is None:
        accepted = _describe_options(name, options)
    elif isinstance(error, RequiredFieldInvalid) or not given:
        given, accepted = None, option.accepted
    elif error.error_message == NOT_ACCEPTED:
        accepted = option.accepted
    else:
        accepted = f"{option.accepted}; {error.error_message}"
    return AnswerFault(section.file, section.title, name, given, accepted)


def _describe_options(name: str, options: Mapping[str, Option]) -> str:
    accepted = f"only the options {', '.join(options)}"
    similar_names = get_close_matches(name, options, n=1)
    return f"{accepted}; perhaps {similar_names[0]}" if similar_names else accepted
