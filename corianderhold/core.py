"""Own the parts of a process and start and stop them in order."""

from queue import Empty, SimpleQueue
from typing import Protocol

from corianderhold.log import log_event, log_warning

SIGNAL_CHECK_INTERVAL_S = 0.5


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
        self._stop_requests: SimpleQueue[None] = SimpleQueue()

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
        """Ask `run` to return; safe to call from a signal handler."""
        self._stop_requests.put(None)  # an Event may deadlock in a handler

    def run(self) -> None:
        """Start, wait for a stop request, and stop."""
        self.start()
        while not self._is_stop_requested():
            pass
        self.stop()

    def _is_stop_requested(self) -> bool:
        """
        Wait a while for a stop request.

        A signal that the system gives to another thread, as after a pause, does not
        wake the main thread; its handler runs when the wait ends.
        """
        try:
            self._stop_requests.get(timeout=SIGNAL_CHECK_INTERVAL_S)
        except Empty:
            return False
        return True

    def stop(self) -> None:
        """Stop the started components in reverse order."""
        while self._started:
            component = self._started.pop()
            try:
                component.stop()
            except Exception as error:  # noqa: BLE001
                name = type(component).__name__
                log_warning("component_stop_failed", component=name, error=repr(error))
        log_event("application_stopped")
