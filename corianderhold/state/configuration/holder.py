"""Hold the configuration in force in this daemon."""

import threading
from collections.abc import Callable

from corianderhold.log import log_warning
from corianderhold.state.configuration.model import EMPTY_CONFIGURATION, Configuration

Listener = Callable[[Configuration], None]


class ConfigurationHolder:
    """
    Provide the newest accepted configuration; its version never decreases.

    Within a version, only the evacuated failure domains change. Listeners receive each
    state once and in order. `verified_at` is the monotonic time in seconds up to which
    the view is known to be complete, as reported by the follower of the stream.
    """

    def __init__(self) -> None:
        self._replace_lock = threading.RLock()
        self._verified_lock = threading.Lock()
        self._current = EMPTY_CONFIGURATION
        self._verified_at = float("-inf")
        self._listeners: list[Listener] = []

    @property
    def current(self) -> Configuration:
        """Return the configuration in force."""
        return self._current

    @property
    def verified_at(self) -> float:
        """Return the monotonic time in seconds up to which the view is complete."""
        return self._verified_at

    def add_listener(self, listener: Listener) -> None:
        """Call `listener` with the current configuration, if any, and later ones."""
        with self._replace_lock:
            self._listeners.append(listener)
            if not self._current.is_empty:
                self._notify(listener)

    def replace(self, configuration: Configuration) -> bool:
        """Replace the current state; return False if the new one is not newer."""
        with self._replace_lock:
            current = self._current
            same_evacuations = configuration.evacuated == current.evacuated
            if configuration.version < current.version:
                return False
            same_version = configuration.version == current.version
            if same_version and same_evacuations and not current.is_empty:
                return False
            self._current = configuration
            for listener in self._listeners:
                self._notify(listener)
        return True

    def _notify(self, listener: Listener) -> None:
        """Call a listener; one that fails must not keep the others from a version."""
        try:
            listener(self._current)
        except Exception as error:  # noqa: BLE001
            log_warning(
                "configuration_listener_failed",
                version=self._current.version,
                error=repr(error),
            )

    def mark_verified(self, monotonic_s: float) -> None:
        """Record that the view was complete at this monotonic time in seconds."""
        with self._verified_lock:
            self._verified_at = max(self._verified_at, monotonic_s)
