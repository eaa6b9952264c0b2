"""
Run the demo and one scenario against dist/corianderhold and measure its cost.

Builds it with script/build if it is missing. Prints the seconds until the daemon is
healthy for a first start, which unpacks, and for a second one; the sizes of the file
and of the unpacked copy; the resident memory of an idle daemon, the same with the
whole copy counted instead of its resident pages, that of a daemon run by the installed
interpreter, and the peak of those that ran the demo; and the processes per daemon.
"""

import shutil
import subprocess
import time
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TextTestRunner, defaultTestLoader

from emulator.sample import build_records
from measurements.report import Target, judge_figures, print_figures
from script.run_demo import PLANS, run_demo
from tests.common.fleet import DAEMON_MODULE, DaemonPlan, Fleet
from tests.common.processes import ROOT, ManagedProcess, Program
from tests.failures.test_owner_loss import OwnerLossTests

BINARY = ROOT / "dist" / "corianderhold"
UNPACK_DIRECTORY_VARIABLE = "CORIANDERHOLD_UNPACK_DIR"
TMPFS = Path("/run")
IDLE_PLAN = DaemonPlan("idle-a", "ch-west-a")
IDLE_S = 10.0
MB_BYTES = 1 << 20
KB_BYTES = 1 << 10
TARGETS = [
    Target("idle_resident_mb", highest=64.0),
    Target("idle_with_copy_mb", highest=64.0),
    Target("processes_per_daemon", lowest=1.0, highest=1.0),
    Target("demo_as_expected", lowest=1.0),
    Target("scenario_tests", lowest=1.0),
    Target("scenario_failures", highest=0.0),
]


def build_binary() -> float:
    """Build the binary and return the elapsed seconds."""
    start_s = time.monotonic()
    subprocess.run([str(ROOT / "script" / "build")], check=True)
    return time.monotonic() - start_s


def read_status_mb(process: ManagedProcess, name: str) -> float:
    """Return a memory figure of /proc/PID/status, such as VmRSS."""
    for line in Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith(f"{name}:"):
            return int(line.split()[1]) * KB_BYTES / MB_BYTES
    raise ValueError(f"process {process.pid} has no {name} in its status")


def list_running(directory: Path) -> set[int]:
    """Return the ids of all processes whose executable is below `directory`."""
    running = set()
    for process in Path("/proc").glob("[0-9]*"):
        try:
            executable = (process / "exe").readlink()
        except OSError:
            continue
        if executable.is_relative_to(directory):
            running.add(int(process.name))
    return running


def measure_tree_mb(directory: Path) -> float:
    """Return the disk usage in MB of the files below `directory`."""
    blocks = sum(path.lstat().st_blocks for path in directory.rglob("*"))
    return blocks * 512 / MB_BYTES


@contextmanager
def run_fleet(plans: Sequence[DaemonPlan], program: Program) -> Iterator[Fleet]:
    """Run a fleet with the sample configuration."""
    with TemporaryDirectory() as directory:
        fleet = Fleet(plans, Path(directory), daemon_program=program)
        try:
            fleet.start(build_records())
            yield fleet
        finally:
            fleet.stop()


def restart(fleet: Fleet, instance: str) -> float:
    """Restart a daemon and return the seconds until it is healthy."""
    daemon = fleet.members[instance].daemon
    assert daemon is not None
    daemon.stop()
    start_s = time.monotonic()
    fleet.start_daemon(instance)
    return time.monotonic() - start_s


def measure_idle(program: Program, unpacked: Path) -> dict[str, float]:
    """Return start times and the resident memory of an idle daemon."""
    with run_fleet([IDLE_PLAN], program) as fleet:
        for path in unpacked.iterdir():
            shutil.rmtree(path) if path.is_dir() else path.unlink()
        first_start_s = restart(fleet, IDLE_PLAN.instance)
        second_start_s = restart(fleet, IDLE_PLAN.instance)
        time.sleep(IDLE_S)
        daemon = fleet.members[IDLE_PLAN.instance].daemon
        assert daemon is not None
        return {
            "first_start_s": first_start_s,
            "second_start_s": second_start_s,
            "resident_mb": read_status_mb(daemon, "VmRSS"),
            "resident_tmpfs_mb": read_status_mb(daemon, "RssShmem"),
            "resident_files_mb": read_status_mb(daemon, "RssFile"),
        }


def measure_demo(program: Program, unpacked: Path) -> dict[str, float]:
    """Run the demo; return the daemons' peak memory and processes."""
    with run_fleet(PLANS, program) as fleet, TemporaryDirectory() as directory:
        as_expected = run_demo(fleet, Path(directory))
        daemons = [m.daemon for m in fleet.members.values() if m.daemon is not None]
        running = list_running(unpacked)
        assert running >= {daemon.pid for daemon in daemons}, running
        return {
            "demo_as_expected": float(as_expected),
            "demo_peak_mb": max(read_status_mb(each, "VmHWM") for each in daemons),
            "processes_per_daemon": len(running) / len(daemons),
        }


def run_scenario(program: Program) -> dict[str, float]:
    """Run the tests of lost and paused owners and count the failures."""

    class BinaryOwnerLossTests(OwnerLossTests):
        daemon_program = program

    suite = defaultTestLoader.loadTestsFromTestCase(BinaryOwnerLossTests)
    result = TextTestRunner(verbosity=2).run(suite)
    return {
        "scenario_tests": float(result.testsRun),
        "scenario_failures": float(len(result.failures) + len(result.errors)),
    }


def main(seed: int) -> int:
    """Print all figures and return 1 if a target is missed."""
    build_s = build_binary() if not BINARY.exists() else 0.0
    with TemporaryDirectory(dir=TMPFS) as directory:
        unpacked = Path(directory)
        program = Program((str(BINARY),), {UNPACK_DIRECTORY_VARIABLE: directory})
        idle = measure_idle(program, unpacked)
        demo = measure_demo(program, unpacked)
        scenario = run_scenario(program)
        unpacked_mb = measure_tree_mb(unpacked)
        interpreted = measure_idle(DAEMON_MODULE, unpacked)
    private_mb = idle["resident_mb"] - idle["resident_tmpfs_mb"]
    figures = {
        "build_s": build_s,
        "file_mb": BINARY.stat().st_size / MB_BYTES,
        "unpacked_mb": unpacked_mb,
        "idle_with_copy_mb": private_mb + unpacked_mb,
        **{f"idle_{name}": value for name, value in idle.items()},
        **{f"interpreter_{name}": value for name, value in interpreted.items()},
        **demo,
        **scenario,
    }
    print_figures("one_binary", seed, dict(figures))
    return 0 if judge_figures(figures, TARGETS) else 1
