"""Map the command names of the command line to their functions."""

from typing import Any

from corianderhold.cli.answers import check, diff, generate, init
from corianderhold.cli.fleet import drain, evacuate, quarantines, release, status
from corianderhold.cli.keys import grant, rotate, withdraw
from corianderhold.cli.publish import explain, history, publish, show
from corianderhold.cli.serve import serve

# A command group maps its name to a list of its commands.
COMMANDS: dict[str, Any] = {
    "serve": serve,
    "answers": [init, check, generate, diff],
    "publish": publish,
    "show": show,
    "history": history,
    "explain": explain,
    "keys": [grant, rotate, withdraw],
    "status": status,
    "drain": drain,
    "evacuate": evacuate,
    "quarantines": quarantines,
    "release": release,
}
