"""Dispatch the arguments of the command line to a command."""

from collections.abc import Sequence

from corianderhold.cli.serve import serve


def run(arguments: Sequence[str]) -> int:
    """Run one command and return its exit code."""
    # Importing defopt takes 4.5 MB of memory, which the daemon does not need.
    if arguments[:1] == ["serve"] and "--help" not in arguments:
        return serve_from_arguments(arguments[1:])
    import defopt

    from corianderhold.cli.commands import COMMANDS

    return int(defopt.run(COMMANDS, argv=list(arguments)))


def serve_from_arguments(arguments: Sequence[str]) -> int:
    """Run `serve` without importing the modules of the other commands."""
    import argparse

    parser = argparse.ArgumentParser(prog="corianderhold serve")
    parser.add_argument("--settings", required=True)
    return serve(settings=parser.parse_args(arguments).settings)
