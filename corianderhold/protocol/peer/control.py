"""Define the control requests that daemons make of each other on peer links."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from result import Result

from corianderhold.ids import InstanceId
from corianderhold.state.membership.model import Address


class ControlTopic(Enum):
    """What a control request is about; each topic has one handler in a daemon."""

    MEMBERSHIP = "membership"
    CONFIGURATION = "configuration"
    LEASE = "lease"
    RATE = "rate"
    ONCE = "once"


class ControlFailure(Enum):
    """Why no reply to a control request came."""

    UNREACHABLE = "unreachable"
    TIMEOUT = "timeout"
    REJECTED = "rejected"


@dataclass(frozen=True)
class ControlSender:
    """Who made a control request, as authenticated on its link."""

    instance: InstanceId


class ControlHandler(Protocol):
    """Answer the control requests of one topic."""

    def handle_control(self, sender: ControlSender, body: bytes) -> bytes:
        """Return the reply; called on a link's thread, so it must not block long."""


class ControlClient(Protocol):
    """Send control requests to other daemons."""

    def request(
        self, address: Address, topic: ControlTopic, body: bytes, timeout_s: float
    ) -> Result[bytes, ControlFailure]:
        """Send `body` to the daemon at a peer address and wait for its reply."""
