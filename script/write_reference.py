"""Update the option tables in the operators' page on answers."""

from pathlib import Path

from corianderhold.answers.template import write_reference

PAGE = Path(__file__).resolve().parent.parent / "docs" / "operators" / "answers.md"
FIRST_TABLE = "### ["


def main() -> None:
    """Replace everything from the first table to the end of the page."""
    text = PAGE.read_text(encoding="utf-8")
    introduction = text.partition(FIRST_TABLE)[0]
    PAGE.write_text(introduction + write_reference(), encoding="utf-8")


if __name__ == "__main__":
    main()
