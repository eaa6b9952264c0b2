"""Provide a control client that no peer responds to."""

from result import Err, Result

from corianderhold.protocol.peer.control import ControlFailure, ControlTopic
from corianderhold.state.membership.model import Address


class SilentControl:
    """Time out each request."""

    def request(
        self, address: Address, topic: ControlTopic, body: bytes, timeout_s: float
    ) -> Result[bytes, ControlFailure]:
        """Return a time-out at once."""
        return Err(ControlFailure.TIMEOUT)
