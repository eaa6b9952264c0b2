"""Say what the administration API needs of the parts behind it."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from corianderhold.clock import Clock
from corianderhold.coordination.configuration.evacuator import EvacuationOutcome
from corianderhold.coordination.configuration.exchanger import PeerHead
from corianderhold.coordination.configuration.history import HistoryEntry
from corianderhold.coordination.configuration.publisher import PublishResult
from corianderhold.ids import ChangeId, FailureDomainId, InstanceId
from corianderhold.metrics import Metrics
from corianderhold.protocol.configuration.messages import Head
from corianderhold.state.configuration.holder import ConfigurationHolder
from corianderhold.state.configuration.records import ChangeRecord
from corianderhold.state.membership.model import MemberDirectory


@dataclass(frozen=True)
class Identity:
    """Which daemon answers."""

    instance: InstanceId
    domain: FailureDomainId


class ChangePublisher(Protocol):
    """Publish changes and tell what became of them."""

    def publish(self, change: ChangeRecord, timeout_s: float) -> PublishResult:
        """Publish one change and wait for its outcome, up to a time-out."""

    def resolve(self, change_id: ChangeId) -> PublishResult:
        """Return what became of a change after reading the log once more."""


class EvacuationOrders(Protocol):
    """Begin and end evacuations."""

    def order(
        self, domain: FailureDomainId, active: bool, author: str, timeout_s: float
    ) -> EvacuationOutcome:
        """Begin the evacuation of a domain, or end it where not `active`."""


class EvacuationList(Protocol):
    """Tell which domains are evacuated."""

    def list_evacuations(self) -> Mapping[FailureDomainId, float]:
        """Return the evacuated domains, with the Unix time since when each is known."""


class ChangeHistory(Protocol):
    """Give the audit trail of changes."""

    def list_entries(self) -> Sequence[HistoryEntry]:
        """Return the changes folded, oldest first."""

    def find(self, change_id: ChangeId) -> HistoryEntry | None:
        """Return the entry of a change, None when it is not known."""


class StreamView(Protocol):
    """Tell how far the stream is folded here and at peers."""

    def read_head(self) -> Head:
        """Return how far this daemon has folded the stream."""

    def list_peer_heads(self) -> Sequence[PeerHead]:
        """Return the heads last heard of peers."""


class ReadinessSource(Protocol):
    """Tell whether callers may come to this daemon."""

    def is_ready(self) -> bool:
        """Return whether new requests may come."""


class Drain(Protocol):
    """Take this daemon's target out of service."""

    def drain(self) -> None:
        """Stop taking new work for the target; a repeated call changes nothing."""

    def is_draining(self) -> bool:
        """Return whether the target takes no new work though it is there."""


@dataclass(frozen=True)
class AdminParts:
    """The parts of the daemon that the administration API works on."""

    identity: Identity
    readiness: ReadinessSource
    holder: ConfigurationHolder
    publisher: ChangePublisher
    orders: EvacuationOrders
    evacuations: EvacuationList
    history: ChangeHistory
    stream: StreamView
    members: MemberDirectory
    drain: Drain
    metrics: Metrics
    clock: Clock
