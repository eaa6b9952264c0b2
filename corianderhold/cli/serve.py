"""Implement the command that runs the daemon."""

import os
import signal
import sys
from pathlib import Path
from types import FrameType

from corianderhold.bootstrap import build_daemon
from corianderhold.cli.const import EXIT_FAILED, EXIT_OK, EXIT_USAGE
from corianderhold.deployment import Deployment
from corianderhold.log import configure_logging, log_warning
from corianderhold.settings.errors import SettingsError
from corianderhold.settings.loader import load_settings
from corianderhold.settings.reload import SettingsReloader
from corianderhold.signals import release_reloads


def serve(*, settings: str) -> int:
    """
    Run the daemon beside one target until SIGTERM or SIGINT.

    Exits with 2 if the settings are invalid and with 1 if the daemon cannot start.

    :param settings: path of the INI settings file
    """
    return run_daemon(Path(settings), Deployment())


def run_daemon(path: Path, deployment: Deployment) -> int:
    """Run the daemon of one deployment until it is stopped; return the exit code."""
    try:
        checked = load_settings(path)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_USAGE
    log_output = configure_logging(checked.log_level, checked.instance)
    daemon = build_daemon(checked, deployment)

    def request_stop(number: int, frame: FrameType | None) -> None:
        daemon.request_stop()

    signal.set_wakeup_fd(daemon.wake_descriptor, warn_on_full_buffer=False)
    signal.signal(signal.SIGTERM, request_stop)
    signal.signal(signal.SIGINT, request_stop)
    signal.signal(signal.SIGHUP, lambda *_: daemon.request_reload())
    release_reloads()
    stopped = flushed = True
    try:
        stopped = daemon.run(SettingsReloader(path, checked).reload)
    except OSError as error:
        log_warning("start_failed", error=str(error))
        return EXIT_FAILED
    finally:
        flushed = log_output.close(daemon.compute_remaining_s())
    if not (stopped and flushed):
        os._exit(EXIT_OK)  # remaining threads would block a regular exit
    return EXIT_OK
