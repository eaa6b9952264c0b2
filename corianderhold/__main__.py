"""Run the command line interface."""

import sys

from corianderhold.cli.main import run


def main() -> int:
    """Run the command given by the arguments and return its exit code."""
    return run(sys.argv[1:])


if __name__ == "__main__":
    sys.exit(main())
