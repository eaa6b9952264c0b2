"""Run a measurement by name; exit 1 if a stated target is missed."""

import importlib
import pkgutil
import sys

import measurements

DEFAULT_SEED = 1


def list_names() -> list[str]:
    """Return the names of all measurements."""
    modules = pkgutil.iter_modules(measurements.__path__)
    return sorted(
        module.name
        for module in modules
        if module.name != "report" and not module.ispkg
    )


def main(arguments: list[str]) -> int:
    """Run `main` of the named module with the given arguments; return its exit code."""
    if not arguments or arguments[0] not in list_names():
        print(f"usage: script/measure NAME [SEED [SECONDS]]; {', '.join(list_names())}")
        return 2
    seed = int(arguments[1]) if len(arguments) > 1 else DEFAULT_SEED
    module = importlib.import_module(f"measurements.{arguments[0]}")
    seconds = [float(each) for each in arguments[2:]]
    return int(module.main(seed, *seconds))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
