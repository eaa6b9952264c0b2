"""Model the answers as the files give them, and their faults."""

from collections.abc import Mapping
from dataclasses import dataclass

from corianderhold.state.configuration.records import EntityKind

MAX_GIVEN_LENGTH = 120


@dataclass(frozen=True)
class Section:
    """The answers about one service, organisation or route, as given."""

    file: str
    kind: EntityKind
    name: str
    options: Mapping[str, str]

    @property
    def title(self) -> str:
        """Return the section's name as in the file."""
        return f"{self.kind.value} {self.name}"


@dataclass(frozen=True)
class AnswerFault:
    """
    One answer that can't be used, with what would be accepted in its place.

    `section` and `option` are empty for what lies outside of them, and `given` is
    None for an answer that is missing.
    """

    file: str
    section: str
    option: str
    given: str | None
    accepted: str

    def describe(self) -> str:
        """Return the fault as one line."""
        place = [self.file + ":"]
        if self.section:
            place.append(f"[{self.section}]")
        if self.option:
            place.append(f"{self.option}:")
        given = "nothing" if self.given is None else _quote(self.given)
        return f"{' '.join(place)} given {given}; accepted: {self.accepted}"


def _quote(text: str) -> str:
    if len(text) > MAX_GIVEN_LENGTH:
        text = text[:MAX_GIVEN_LENGTH] + "..."
    readable = text.encode("unicode_escape").decode()
    return f'"{readable}"'
