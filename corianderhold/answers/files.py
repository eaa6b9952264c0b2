"""Parse answers files into sections and collect every syntax fault."""

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
from corianderhold.state.configuration.faults import EntityKind
from corianderhold.state.configuration.schema import NAME_PATTERN

FILE_SUFFIX = ".ini"
NO_DEFAULT_SECTION = "\n"  # never a header, so [DEFAULT] is an ordinary section
HEADER_PATTERN = re.compile(r"\[(.+)\]")
KIND_BY_NAME = {kind.value: kind for kind in OPTIONS}
HEADER_ACCEPTED = " or ".join(map(describe_header, OPTIONS))


@dataclass
class ReadResult:
    """The sections and faults read from the files so far."""

    sections: list[Section] = field(default_factory=list)
    faults: list[AnswerFault] = field(default_factory=list)


def read_answers(paths: list[Path]) -> ReadResult:
    """
    Read the given files, and the .ini files directly inside the given directories.

    Raise `AnswersUnreadableError` if a file cannot be read as UTF-8 text.
    """
    result = ReadResult()
    for path in list_files(paths):
        _read_file(path, result)
    _drop_duplicates(result)
    return result


def list_files(paths: list[Path]) -> list[Path]:
    """Expand directories in `paths` to the answers files directly inside them."""
    files: list[Path] = []
    for path in paths:
        if path.is_dir():
            files.extend(sorted(path.glob(f"*{FILE_SUFFIX}")))
        else:
            files.append(path)
    if not files:
        raise AnswersUnreadableError(
            f"no answers files found: expected files ending in {FILE_SUFFIX}"
        )
    return files


def _read_file(path: Path, result: ReadResult) -> None:
    try:
        lines = path.read_text(encoding="utf-8").splitlines()
    except (OSError, UnicodeDecodeError) as error:
        raise AnswersUnreadableError(f"{path}: cannot be read: {error}") from None
    parser = _parse_lines(str(path), lines, result.faults)
    for title in parser.sections():
        section = _build_section(str(path), title, dict(parser.items(title)))
        if isinstance(section, AnswerFault):
            result.faults.append(section)
        else:
            result.sections.append(section)


def _parse_lines(
    file: str, lines: list[str], faults: list[AnswerFault]
) -> ConfigParser:
    """
    Parse the lines, blanking faulty ones and retrying until none is left.

    ConfigParser stops at most kinds of fault; retrying reports all of them together.
    """
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
            faults.append(
                AnswerFault(file, error.section, "", "duplicate section", accepted)
            )
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
    """Blank out the line with this 1-based number and its continuation lines."""
    first = (number or 1) - 1
    lines[first] = ""
    for index in range(first + 1, len(lines)):
        if not lines[index][:1].isspace():
            return
        lines[index] = ""


def _blank_out_section(lines: list[str], number: int | None) -> None:
    """Blank out the section whose header has this 1-based line number."""
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


def _build_section(
    file: str, title: str, options: dict[str, str]
) -> Section | AnswerFault:
    kind_name, _, name = " ".join(title.split()).partition(" ")
    kind: EntityKind | None = KIND_BY_NAME.get(kind_name)
    if kind is None or not name:
        return AnswerFault(file, title, "", f"[{title}]", HEADER_ACCEPTED)
    if not NAME_PATTERN.fullmatch(name):
        return AnswerFault(file, title, "", name, f"as name {NAME_ACCEPTED}")
    if kind is EntityKind.LIMITS and name != LIMITS_NAME:
        return AnswerFault(file, title, "", name, f"as name {LIMITS_NAME}")
    return Section(file, kind, name, options)


def _drop_duplicates(result: ReadResult) -> None:
    """Keep only the first section of each name if several files contain it."""
    first: dict[tuple[EntityKind, str], Section] = {}
    for section in result.sections:
        kept = first.setdefault((section.kind, section.name), section)
        if kept is not section:
            accepted = f"each section once; it is also in {kept.file}"
            result.faults.append(
                AnswerFault(
                    section.file, section.title, "", "duplicate section", accepted
                )
            )
    result.sections = list(first.values())
