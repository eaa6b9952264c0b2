"""Model unparsed answers and their faults."""

from collections.abc import Mapping
from dataclasses import dataclass

from corianderhold.state.configuration.faults import EntityKind

GIVEN_LENGTH_MAX = 120


@dataclass(frozen=True)
class Section:
    """One section of an answers file, with the answers as unparsed text."""

    file: str
    kind: EntityKind
    name: str
    options: Mapping[str, str]

    @property
    def title(self) -> str:
        """Return the section's header in the file, without brackets."""
        return f"{self.kind.value} {self.name}"


@dataclass(frozen=True)
class AnswerFault:
    """
    An invalid answer, with a description of the accepted values.

    `section` and `option` are empty if the fault is outside a section or option.
    `given` is None if the answer is missing.
    """

    file: str
    section: str
    option: str
    given: str | None
    accepted: str

    def describe(self) -> str:
        """Format the fault as one line."""
        location = [self.file + ":"]
        if self.section:
            location.append(f"[{self.section}]")
        if self.option:
            location.append(f"{self.option}:")
        given = "nothing" if self.given is None else _quote(self.given)
        return f"{' '.join(location)} given {given}; accepted: {self.accepted}"


def _quote(text: str) -> str:
    if len(text) > GIVEN_LENGTH_MAX:
        text = text[:GIVEN_LENGTH_MAX] + "..."
    readable = text.encode("unicode_escape").decode()
    return f'"{readable}"'
