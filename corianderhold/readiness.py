"""Tell whether callers may come to this daemon."""

from corianderhold.state.configuration.holder import ConfigurationHolder


class Readiness:
    """
    Answer readiness checks: from the end of the start to the first moment of a stop.

    `open` and `close` take effect before they return; any thread may ask.
    """

    def __init__(self, holder: ConfigurationHolder) -> None:
        self._holder = holder
        self._is_open = False

    def open(self) -> None:
        """Be ready as soon as a configuration is in force."""
        self._is_open = True

    def close(self) -> None:
        """Be ready no more."""
        self._is_open = False

    def is_ready(self) -> bool:
        """Return whether new requests may come."""
        return self._is_open and self._holder.current.version > 0
