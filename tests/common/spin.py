"""Model-check a Promela model exhaustively with spin."""

import re
import shutil
import subprocess
import tempfile
from dataclasses import dataclass
from pathlib import Path

MODELS = Path(__file__).resolve().parent.parent.parent / "models"
SEARCH_TIMEOUT_S = 300.0
SEARCH_DEPTH = 2_000_000
MEMORY_LIMIT_MB = 4000
COMPILE_FLAGS = ("-O2", "-w", "-DSAFETY", "-DCOLLAPSE", f"-DMEMLIM={MEMORY_LIMIT_MB}")


@dataclass(frozen=True)
class SearchOutcome:
    """Result of a search; `complete` means that all states were visited."""

    violated: bool
    complete: bool
    states: int
    report: str


def _run(command: list[str], folder: Path) -> str:
    """Run a command and return its output; raise AssertionError if it fails."""
    try:
        done = subprocess.run(
            command,
            cwd=folder,
            capture_output=True,
            text=True,
            timeout=SEARCH_TIMEOUT_S,
            check=False,
        )
    except subprocess.TimeoutExpired as error:
        raise AssertionError(f"{command[0]} took over {SEARCH_TIMEOUT_S} s") from error
    if done.returncode != 0:
        raise AssertionError(f"{command} failed:\n{done.stdout}\n{done.stderr}")
    return done.stdout


def search_model(model: str, switches: list[str]) -> SearchOutcome:
    """Search all states of models/`model`, built with `switches` as -D options."""
    for tool in ("spin", "gcc"):
        if shutil.which(tool) is None:
            raise AssertionError(f"{tool} is not installed: run script/setup")
    defines = [f"-D{switch}" for switch in switches]
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        shutil.copy(MODELS / model, folder)
        _run(["spin", *defines, "-a", model], folder)
        _run(["gcc", *COMPILE_FLAGS, "-o", "pan", "pan.c"], folder)
        report = _run(["./pan", f"-m{SEARCH_DEPTH}", "-E"], folder)
    states = re.search(r"(\d+) states, stored", report)
    cut_short = "error: max search depth" in report or "Search not completed" in report
    return SearchOutcome(
        violated="assertion violated" in report,
        complete="errors: 0" in report and not cut_short,
        states=int(states.group(1)) if states else 0,
        report=report,
    )
