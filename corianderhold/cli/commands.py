"""List the commands of the command line."""

from collections.abc import Callable

from corianderhold.cli.serve import serve

COMMANDS: list[Callable[..., int]] = [serve]
