"""Run the command line."""

import sys

from corianderhold.cli.main import run


def main() -> int:
    """Run the command that the arguments name and return its exit code."""
    return run(sys.argv[1:])


if __name__ == "__main__":
    sys.exit(main())
