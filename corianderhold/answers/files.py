"""Read the sections of answers files, with every fault of their form."""

import re
from configparser import (
    ConfigParser,
    DuplicateOptionError,
    DuplicateSectionError,
    MissingSectionHeaderError,
    ParsingError,
)
from dataclasses import dataclass, field
from pathlib import Path

from corianderhold.answers.errors import AnswersUnreadableError
from corianderhold.answers.model import AnswerFault, Section
from corianderhold.answers.options import LIMITS_NAME, OPTIONS, describe_header
from corianderhold.answers.values import NAME_ACCEPTED
from corianderhold.state.configuration.records import EntityKind
from corianderhold.state.configuration.schema import NAME_PATTERN

SUFFIX = ".ini"
NO_DEFAULT_SECTION = "\n"  # no header can have it, so [DEFAULT] is not special
HEADER_PATTERN = re.compile(r"\[(.+)\]")
KIND_NAMES = {kind.value: kind for kind in OPTIONS}
HEADER_ACCEPTED = " or ".join(map(describe_header, OPTIONS))


@dataclass
class Reading:
    """What was read so far."""

    sections: list[Section] = field(default_factory=list)
    faults: list[AnswerFault] = field(default_factory=list)


def read_answers(paths: list[Path]) -> Reading:
    """
    Return the sections of files, and of the .ini files right below directories.

    Raise `AnswersUnreadableError` for a file that can't be read as text.
    """
    reading = Reading()
    for path in list_files(paths):
        _read_file(path, reading)
    _drop_repeated(reading)
    return reading


def list_files(paths: list[Path]) -> list[Path]:
    """Return the answers files among `paths` and in directories among them."""
    files: list[Path] = []
    for path in paths:
        if path.is_dir():
            files.extend(sorted(path.glob(f"*{SUFFIX}")))
        else:
            files.append(path)
    if not files:
        raise AnswersUnreadableError(f"no answers files: give files ending {SUFFIX}")
    return files


def _read_file(path: Path, reading: Reading) -> None:
    try:
        lines = path.read_text(encoding="utf-8").splitlines()
    except (OSError, UnicodeDecodeError) as error:
        raise AnswersUnreadableError(f"{path}: can't be read: {error}") from None
    parser = _parse_lines(str(path), lines, reading.faults)
    for title in parser.sections():
        section = _name_section(str(path), title, dict(parser.items(title)))
        if isinstance(section, AnswerFault):
            reading.faults.append(section)
        else:
            reading.sections.append(section)


def _parse_lines(
    file: str, lines: list[str], faults: list[AnswerFault]
) -> ConfigParser:
    """Parse lines again and again, each time without the faulty ones found."""
    while True:
        parser = ConfigParser(
            interpolation=None,
            delimiters=("=",),
            empty_lines_in_values=False,
            default_section=NO_DEFAULT_SECTION,
        )
        try:
            parser.read_string("\n".join(lines))
        except DuplicateOptionError as error:
            accepted = "each option once in a section"
            given = lines[(error.lineno or 1) - 1]
            faults.append(
                AnswerFault(file, error.section, error.option, given, accepted)
            )
            _blank_out(lines, error.lineno)
        except DuplicateSectionError as error:
            accepted = "each section once"
            faults.append(AnswerFault(file, error.section, "", "it again", accepted))
            _blank_out_section(lines, error.lineno)
        except MissingSectionHeaderError as error:
            given = lines[error.lineno - 1]
            faults.append(AnswerFault(file, "", "", given, HEADER_ACCEPTED))
            _blank_out(lines, error.lineno)
        except ParsingError as error:
            for number, _ in error.errors:
                section = _find_header(lines, number)
                given = lines[number - 1]
                accepted = "option = answer"
                faults.append(AnswerFault(file, section, "", given, accepted))
                lines[number - 1] = ""
        else:
            return parser


def _blank_out(lines: list[str], number: int | None) -> None:
    """Empty the line with this number, from 1, and those that continue it."""
    first = (number or 1) - 1
    lines[first] = ""
    for index in range(first + 1, len(lines)):
        if not lines[index][:1].isspace():
            return
        lines[index] = ""


def _blank_out_section(lines: list[str], number: int | None) -> None:
    """Empty the header with this line number, from 1, and the lines below it."""
    first = (number or 1) - 1
    lines[first] = ""
    for index in range(first + 1, len(lines)):
        if HEADER_PATTERN.match(lines[index]):
            return
        lines[index] = ""


def _find_header(lines: list[str], number: int) -> str:
    for line in reversed(lines[:number]):
        header = HEADER_PATTERN.match(line)
        if header is not None:
            return header[1]
    return ""


def _name_section(
    file: str, title: str, options: dict[str, str]
) -> Section | AnswerFault:
    kind_name, _, name = " ".join(title.split()).partition(" ")
    kind: EntityKind | None = KIND_NAMES.get(kind_name)
    if kind is None or not name:
        return AnswerFault(file, title, "", f"[{title}]", HEADER_ACCEPTED)
    if not NAME_PATTERN.fullmatch(name):
        return AnswerFault(file, title, "", name, f"as name {NAME_ACCEPTED}")
    if kind is EntityKind.LIMITS and name != LIMITS_NAME:
        return AnswerFault(file, title, "", name, f"as name {LIMITS_NAME}")
    return Section(file, kind, name, options)


def _drop_repeated(reading: Reading) -> None:
    """Keep the first of the sections with one name that stand in several files."""
    first: dict[tuple[EntityKind, str], Section] = {}
    for section in reading.sections:
        kept = first.setdefault((section.kind, section.name), section)
        if kept is not section:
            accepted = f"each section once; it stands in {kept.file} too"
            reading.faults.append(
                AnswerFault(section.file, section.title, "", "it again", accepted)
            )
    reading.sections = list(first.values())
