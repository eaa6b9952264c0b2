"""Define the control requests between daemons on peer links."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from result import Result

from corianderhold.ids import InstanceId
from corianderhold.state.membership.model import Address


class ControlTopic(Enum):
    """
    Topic of a control request; a daemon has one handler for each topic.

    UNKNOWN stands for the topics of newer builds; it has no handler.
    """

    MEMBERSHIP = "membership"
    CONFIGURATION = "configuration"
    LEASE = "lease"
    RATE = "rate"
    ONCE = "once"
    QUARANTINE = "quarantine"
    DEPARTURE = "departure"
    UNKNOWN = "unknown"


class ControlFailure(Enum):
    """Why a control request got no reply."""

    UNREACHABLE = "unreachable"
    TIMEOUT = "timeout"
    REJECTED = "rejected"


@dataclass(frozen=True)
class ControlSender:
    """The sender of a control request, as authenticated on its link."""

    instance: InstanceId


class ControlHandler(Protocol):
    """Handle the control requests of one topic."""

    def handle_control(self, sender: ControlSender, body: bytes) -> bytes:
        """Return the reply; runs on a thread of the link, so it must not block long."""


class ControlClient(Protocol):
    """Send control requests to other daemons."""

    def request(
        self, address: Address, topic: ControlTopic, body: bytes, timeout_s: float
    ) -> Result[bytes, ControlFailure]:
        """Send `body` to the daemon at a peer address and wait for its reply."""
