"""Own the parts of a process and start and stop them in order."""

import contextlib
import os
import threading
import time
from collections.abc import Callable
from typing import Protocol

from corianderhold.log import log_event, log_warning

END_LIMIT_S = 0.5
WAKE_BYTES = 64


class Component(Protocol):
    """A part with a life cycle."""

    def start(self) -> None:
        """Begin work; called once."""

    def stop(self) -> None:
        """End work and release what is held; called once, also after a failed start."""


class Application:
    """Start components in the order given and stop them in reverse."""

    def __init__(self, components: list[Component]) -> None:
        self._components = components
        self._started: list[Component] = []
        self._stop_requested = False
        self._reload_requested = False
        self._wake_reader, self._wake_writer = os.pipe()
        os.set_blocking(self._wake_writer, False)

    @property
    def wake_descriptor(self) -> int:
        """Return where a write wakes `run`, for `signal.set_wakeup_fd`."""
        return self._wake_writer

    def start(self) -> None:
        """Start all components; stop those already started when one fails."""
        for component in self._components:
            self._started.append(component)
            try:
                component.start()
            except BaseException:
                self.stop()
                raise
        log_event("application_started", components=len(self._components))

    def request_stop(self) -> None:
        """Ask `run` to return; safe to call from a signal handler, and repeatedly."""
        self._stop_requested = True
        self._wake()

    def request_reload(self) -> None:
        """Ask `run` to reload the settings; safe to call from a signal handler."""
        self._reload_requested = True
        self._wake()

    def run(self, reload: Callable[[], None]) -> bool:
        """
        Start, serve until a stop request, and stop; return whether all parts ended.

        `reload` is called after each request to reload.
        """
        self.start()
        while not self._stop_requested:
            if self._reload_requested:
                self._reload_requested = False
                reload()
            os.read(self._wake_reader, WAKE_BYTES)
        return self.stop()

    def _wake(self) -> None:
        with contextlib.suppress(BlockingIOError):  # it is full, and so wakes anyway
            os.write(self._wake_writer, b"\0")

    def stop(self) -> bool:
        """
        Stop the started components in reverse order; return whether all have ended.

        The first, which drains, takes the time that it needs, all others END_LIMIT_S
        together: a store that does not answer must not hold up the end.
        """
        if self._started:
            self._stop_last_started()
        rest = threading.Thread(target=self._stop_rest, name="stop", daemon=True)
        rest.start()
        rest.join(END_LIMIT_S)
        ended = not rest.is_alive()
        log_event("application_stopped", complete=ended)
        return ended

    def _stop_rest(self) -> None:
        while self._started:
            self._stop_last_started()

    def _stop_last_started(self) -> None:
        component = self._started.pop()
        name = type(component).__name__
        began_at = time.monotonic()
        try:
            component.stop()
        except Exception as error:  # noqa: BLE001
            log_warning("component_stop_failed", component=name, error=repr(error))
        seconds = time.monotonic() - began_at
        log_event("component_stopped", component=name, seconds=seconds)
