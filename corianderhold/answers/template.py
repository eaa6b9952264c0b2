"""Generate the questionnaire and its reference page."""

from collections.abc import Iterable

from corianderhold.answers.options import OPTIONS, Option, describe_header
from corianderhold.state.configuration.faults import EntityKind

INTRODUCTION = (
    "# Answer the questions below. An answer that must be given is empty; one that\n"
    "# is commented out shows its default.\n"
)


def write_questionnaire(names: Iterable[tuple[EntityKind, str]]) -> str:
    """Return the text of an answers file with a section of questions for each name."""
    sections = [_write_section(kind, name) for kind, name in names]
    return "\n".join([INTRODUCTION, *sections])


def _write_section(kind: EntityKind, name: str) -> str:
    questions = "\n".join(_write_question(each) for each in OPTIONS[kind])
    return f"[{kind.value} {name}]\n{questions}"


def _write_question(option: Option) -> str:
    lines = [
        f"# {option.question}",
        f"# Accepted: {option.accepted}.",
        f"# Example: {option.name} = {option.example}",
    ]
    if option.default is None:
        lines.append(f"{option.name} =")
    else:
        lines.append(f"#{option.name} = {option.default}".rstrip())
    return "\n".join(lines) + "\n"


def write_reference() -> str:
    """Return Markdown tables of all options for the reference page."""
    return "\n".join(_write_table(kind) for kind in OPTIONS)


def _write_table(kind: EntityKind) -> str:
    rows = [
        f"### {describe_header(kind)}",
        "",
        "| option | question | accepted | default | example |",
        "| --- | --- | --- | --- | --- |",
    ]
    for option in OPTIONS[kind]:
        default = "must be given" if option.default is None else option.default
        cells = (
            f"`{option.name}`",
            option.question,
            option.accepted,
            default or "nothing",
            f"`{option.example}`",
        )
        rows.append(f"| {' | '.join(cells)} |")
    return "\n".join(rows) + "\n"
