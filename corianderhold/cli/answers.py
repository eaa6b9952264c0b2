"""Implement the commands for answers files: init, check, generate and diff."""

import sys
from collections.abc import Sequence
from json import dumps
from pathlib import Path

from result import Err, Ok, Result

from corianderhold.answers.errors import AnswersUnreadableError
from corianderhold.answers.generation import generate_configuration
from corianderhold.answers.options import LIMITS_NAME
from corianderhold.answers.template import write_questionnaire
from corianderhold.state.configuration.codec import decode_configuration
from corianderhold.state.configuration.difference import compute_delta
from corianderhold.state.configuration.entities import (
    JsonObject,
    configuration_to_json,
    delta_to_json,
)
from corianderhold.state.configuration.faults import EntityKind
from corianderhold.state.configuration.model import EMPTY_CONFIGURATION, Configuration
from corianderhold.state.configuration.schema import NAME_PATTERN

EXIT_DONE = 0
EXIT_FAULTS = 1
EXIT_UNUSABLE = 2


def init(
    file: Path,
    *,
    service: Sequence[str] = (),
    organisation: Sequence[str] = (),
    route: Sequence[str] = (),
    limits: bool = False,
) -> int:
    """
    Write a new answers file with the questions for each given name.

    Without names it has one section each for a service, an organisation and a route.
    Exits with 2 if the file exists, cannot be written, or a name is invalid.

    :param file: the answers file to create
    :param service: names of services
    :param organisation: names of organisations
    :param route: names of routes
    :param limits: whether to add the questions about the limits of callers
    """
    names = [
        *((EntityKind.SERVICE, each) for each in service),
        *((EntityKind.ORGANISATION, each) for each in organisation),
        *((EntityKind.ROUTE, each) for each in route),
    ]
    if not names and not limits:
        kinds = (EntityKind.SERVICE, EntityKind.ORGANISATION, EntityKind.ROUTE)
        names = [(kind, "NAME") for kind in kinds]
    if limits:
        names.append((EntityKind.LIMITS, LIMITS_NAME))
    for _, name in names:
        if not NAME_PATTERN.fullmatch(name):
            return _print_error(f"{name!r} is not a valid section name")
    try:
        with file.open("x", encoding="utf-8") as stream:
            stream.write(write_questionnaire(names))
    except OSError as error:
        return _print_error(f"{file}: cannot be created: {error}")
    print(f"{file}: {len(names)} sections to answer")
    return EXIT_DONE


def check(*files: Path) -> int:
    """
    Check answers files as one set and print one line per fault.

    Exits with 1 if there are faults and with 2 if a file cannot be read.

    :param files: answers files, or directories that contain them
    """
    outcome = _generate_or_report(files)
    if isinstance(outcome, Err):
        return outcome.err_value
    found = outcome.ok_value
    print(
        f"{len(found.services)} services, {len(found.organisations)} organisations, "
        f"{len(found.routes)} routes: no faults"
    )
    return EXIT_DONE


def generate(*files: Path) -> int:
    """
    Print the configuration generated from answers files as JSON.

    Exits with 1 if there are faults and with 2 if a file cannot be read.

    :param files: answers files, or directories that contain them
    """
    outcome = _generate_or_report(files)
    if isinstance(outcome, Err):
        return outcome.err_value
    _print_json(configuration_to_json(outcome.ok_value))
    return EXIT_DONE


def diff(configuration: Path, *files: Path, partial: bool = False) -> int:
    """
    Print the changes that publishing answers files would make, as a draft in JSON.

    Entities without a section in the files are removed, unless --partial is given.
    Keys stay unchanged, except those of removed organisations. Exits with 1 if there
    are faults and with 2 if a file cannot be read.

    :param configuration: file with the configuration in force, as JSON
    :param files: answers files, or directories that contain them
    :param partial: whether the files contain only some of the sections
    """
    read = _read_configuration(configuration)
    if isinstance(read, Err):
        return read.err_value
    current = read.ok_value
    base = current if partial else EMPTY_CONFIGURATION
    outcome = _generate_or_report(files, base)
    if isinstance(outcome, Err):
        return outcome.err_value
    delta = compute_delta(current, outcome.ok_value)
    _print_json({"base_version": current.version, **delta_to_json(delta)})
    return EXIT_DONE


def _read_configuration(path: Path) -> Result[Configuration, int]:
    """Return the configuration in a file; on error print it and return an exit code."""
    try:
        decoded = decode_configuration(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        return Err(_print_error(f"{path}: cannot be read: {error}"))
    if isinstance(decoded, Err):
        detail = decoded.err_value.detail
        return Err(_print_error(f"{path}: not a valid configuration: {detail}"))
    return decoded


def _generate_or_report(
    files: Sequence[Path], base: Configuration = EMPTY_CONFIGURATION
) -> Result[Configuration, int]:
    """Return the configuration, or print the faults and return an exit code."""
    try:
        outcome = generate_configuration(list(files), base)
    except AnswersUnreadableError as error:
        return Err(_print_error(str(error)))
    if isinstance(outcome, Ok):
        return outcome
    for fault in outcome.err_value:
        print(fault.describe(), file=sys.stderr)
    print(f"{len(outcome.err_value)} faults", file=sys.stderr)
    return Err(EXIT_FAULTS)


def _print_json(value: JsonObject) -> None:
    print(dumps(value, indent=2, sort_keys=True))


def _print_error(message: str) -> int:
    print(message, file=sys.stderr)
    return EXIT_UNUSABLE
