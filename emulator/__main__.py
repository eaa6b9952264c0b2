"""Run one emulated component: python -m emulator SUBCOMMAND."""

import defopt

from emulator.callers import callers
from emulator.echo import echo
from emulator.store import store
from emulator.target import target

if __name__ == "__main__":
    defopt.run([store, target, callers, echo], cli_options="all")
