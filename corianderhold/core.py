"""Own the parts of a process and start and stop them in order."""

import contextlib
import os
import threading
import time
from collections.abc import Callable
from typing import Protocol

from corianderhold.deadline import StopDeadline
from corianderhold.log import log_event, log_warning

END_LIMIT_S = 0.5
FLUSH_RESERVE_S = 0.35  # of the limit, to write the log and to exit
EXIT_RESERVE_S = 0.1
WAKE_BYTES = 64


class Component(Protocol):
    """A part with a life cycle."""

    def start(self) -> None:
        """Begin work; called once."""

    def stop(self) -> None:
        """End work and release what is held; called once, also after a failed start."""


class Application:
    """
    Start components in the order given and stop them in reverse.

    A thread of its own does that, so that none which blocks holds up the end.
    """

    def __init__(self, components: list[Component], deadline: StopDeadline) -> None:
        self._components = components
        self._deadline = deadline
        self._started: list[Component] = []
        self._stop_requested = False
        self._reload_requested = False
        self._may_stop = threading.Event()
        self._life = threading.Thread(target=self._live, name="life", daemon=True)
        self._failure: BaseException | None = None
        self._complete = False
        self._busy_with = ""
        self._wake_reader, self._wake_writer = os.pipe()
        os.set_blocking(self._wake_writer, False)

    @property
    def wake_descriptor(self) -> int:
        """Return where a write wakes `run`, for `signal.set_wakeup_fd`."""
        return self._wake_writer

    def request_stop(self) -> None:
        """Ask `run` to return; safe to call from a signal handler, and repeatedly."""
        self._deadline.begin()
        self._stop_requested = True
        self._wake()

    def request_reload(self) -> None:
        """Ask `run` to reload the settings; safe to call from a signal handler."""
        self._reload_requested = True
        self._wake()

    def run(self, reload: Callable[[], None]) -> bool:
        """
        Start, serve until a stop request, and stop; return whether all parts ended.

        Returns before the deadline of the stop whatever blocks. `reload` is called
        after each request to reload. Raises what the start of a component raised.
        """
        self._life.start()
        while not self._stop_requested:
            if self._reload_requested:
                self._reload_requested = False
                reload()
            os.read(self._wake_reader, WAKE_BYTES)
        self._may_stop.set()
        self._life.join(self._deadline.find_left_s(FLUSH_RESERVE_S))
        if self._failure is not None:
            raise self._failure
        ended = self._complete and not self._life.is_alive()
        busy_with = "" if ended else self._busy_with
        log_event("application_stopped", complete=ended, busy_with=busy_with)
        return ended

    def find_left_s(self) -> float:
        """Return the seconds that are left after `run` to write the log."""
        return self._deadline.find_left_s(EXIT_RESERVE_S)

    def _wake(self) -> None:
        with contextlib.suppress(BlockingIOError):  # it is full, and so wakes anyway
            os.write(self._wake_writer, b"\0")

    def _live(self) -> None:
        """Start all components and stop them on request, or those of a failed start."""
        try:
            self._start()
        except BaseException as error:  # noqa: BLE001
            self._failure = error
            self.request_stop()
        self._may_stop.wait()
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

        The first, which drains, takes the time that it needs, all others END_LIMIT_S
        together: a store that does not answer must not hold up the end.
        """
        if self._started:
            self._stop_last_started()
        rest = threading.Thread(target=self._stop_rest, name="stop", daemon=True)
        rest.start()
        rest.join(END_LIMIT_S)
        self._complete = not rest.is_alive()

    def _stop_rest(self) -> None:
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
