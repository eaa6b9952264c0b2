"""Own the parts of a process and start and stop them in order."""

from queue import SimpleQueue
from typing import Protocol

from corianderhold.log import log_event, log_warning


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
        self._stop_requests.get()
        self.stop()

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
