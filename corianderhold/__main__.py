"""Run the command line interface."""

import sys

from corianderhold.signals import hold_reloads


def main() -> int:
    """Run the command given by the arguments and return its exit code."""
    if sys.argv[1:2] == ["serve"]:
        hold_reloads()  # the imports take most of the start
    from corianderhold.cli.main import run

    return run(sys.argv[1:])


if __name__ == "__main__":
    sys.exit(main())
