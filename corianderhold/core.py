"""Start and stop the components of a process in order."""

import contextlib
import os
import threading
import time
from collections.abc import Callable
from typing import Protocol

from corianderhold.deadline import StopDeadline
from corianderhold.log import log_event, log_warning

COMPONENTS_STOP_TIMEOUT_S = 0.5
FLUSH_RESERVE_S = 0.35  # part of the stop limit reserved to flush the log and exit
EXIT_RESERVE_S = 0.1
WAKE_BYTES = 64


class Component(Protocol):
    """A part of the application with a start and a stop."""

    def start(self) -> None:
        """Start the component; called once."""

    def stop(self) -> None:
        """Stop and release all resources; called once, also after a failed start."""


class Application:
    """
    Start components in the given order and stop them in reverse order.

    This happens in a separate thread, so that a component that blocks does not delay
    the end of the process.
    """

    def __init__(self, components: list[Component], deadline: StopDeadline) -> None:
        self._components = components
        self._deadline = deadline
        self._started: list[Component] = []
        self._stop_requested = False
        self._reload_requested = False
        self._stop_allowed = threading.Event()
        self._lifecycle_thread = threading.Thread(
            target=self._run_lifecycle, name="life", daemon=True
        )
        self._failure: BaseException | None = None
        self._complete = False
        self._busy_with = ""
        self._wake_reader, self._wake_writer = os.pipe()
        os.set_blocking(self._wake_writer, False)

    @property
    def wake_descriptor(self) -> int:
        """Return the file descriptor that wakes `run`, for `signal.set_wakeup_fd`."""
        return self._wake_writer

    def request_stop(self) -> None:
        """Request `run` to return; idempotent and safe to call in a signal handler."""
        self._deadline.begin()
        self._stop_requested = True
        self._wake()

    def request_reload(self) -> None:
        """Request a reload of the settings; safe to call from a signal handler."""
        self._reload_requested = True
        self._wake()

    def run(self, reload: Callable[[], None]) -> bool:
        """
        Start, serve until a stop request, and stop; return whether all have stopped.

        Returns before the stop deadline even if a component blocks. `reload` is called
        after each reload request. Raises the error of a component that failed to start.
        """
        self._lifecycle_thread.start()
        while not self._stop_requested:
            if self._reload_requested:
                self._reload_requested = False
                reload()
            os.read(self._wake_reader, WAKE_BYTES)
        self._stop_allowed.set()
        self._lifecycle_thread.join(self._deadline.compute_remaining_s(FLUSH_RESERVE_S))
        if self._failure is not None:
            raise self._failure
        ended = self._complete and not self._lifecycle_thread.is_alive()
        busy_with = "" if ended else self._busy_with
        log_event("application_stopped", complete=ended, busy_with=busy_with)
        return ended

    def compute_remaining_s(self) -> float:
        """Return the seconds that remain after `run` to flush the log."""
        return self._deadline.compute_remaining_s(EXIT_RESERVE_S)

    def _wake(self) -> None:
        with contextlib.suppress(BlockingIOError):  # a full pipe wakes `run` anyway
            os.write(self._wake_writer, b"\0")

    def _run_lifecycle(self) -> None:
        """Start all components; stop the started ones on request or after a failure."""
        try:
            self._start()
        except BaseException as error:  # noqa: BLE001
            self._failure = error
            self.request_stop()
        self._stop_allowed.wait()
        self._stop()

    def _start(self) -> None:
        for component in self._components:
            self._busy_with = type(component).__name__
            self._started.append(component)
            component.start()
        log_event("application_started", components=len(self._components))

    def _stop(self) -> None:
        """
        Stop the started components in reverse order.

        The first one drains and takes the time that it needs. All others together get
        COMPONENTS_STOP_TIMEOUT_S: a store that does not respond must not delay the end.
        """
        if self._started:
            self._stop_last_started()
        remaining = threading.Thread(
            target=self._stop_remaining, name="stop", daemon=True
        )
        remaining.start()
        remaining.join(COMPONENTS_STOP_TIMEOUT_S)
        self._complete = not remaining.is_alive()

    def _stop_remaining(self) -> None:
        while self._started:
            self._stop_last_started()

    def _stop_last_started(self) -> None:
        component = self._started.pop()
        name = self._busy_with = type(component).__name__
        began_at = time.monotonic()
        try:
            component.stop()
        except Exception as error:  # noqa: BLE001
            log_warning("component_stop_failed", component=name, error=repr(error))
        seconds = time.monotonic() - began_at
        log_event("component_stopped", component=name, seconds=seconds)
