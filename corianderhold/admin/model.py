"""Define the components that the administration API depends on."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from corianderhold.clock import Clock
from corianderhold.coordination.configuration.evacuator import EvacuationOutcome
from corianderhold.coordination.configuration.exchanger import PeerHead
from corianderhold.coordination.configuration.history import HistoryEntry
from corianderhold.coordination.configuration.publisher import PublishResult
from corianderhold.ids import ChangeId, FailureDomainId, Fingerprint, InstanceId
from corianderhold.metrics import Metrics
from corianderhold.protocol.configuration.messages import Head
from corianderhold.state.configuration.holder import ConfigurationHolder
from corianderhold.state.configuration.records import ChangeRecord
from corianderhold.state.membership.model import MemberDirectory
from corianderhold.state.quarantine.model import Quarantine


@dataclass(frozen=True)
class Identity:
    """Identify the daemon that responds."""

    instance: InstanceId
    domain: FailureDomainId


class ChangePublisher(Protocol):
    """Publish changes and report their outcome."""

    def publish(self, change: ChangeRecord, timeout_s: float) -> PublishResult:
        """Publish one change and wait up to `timeout_s` seconds for its outcome."""

    def resolve(self, change_id: ChangeId) -> PublishResult:
        """Read the log once more and return the outcome of a change."""


class EvacuationOrders(Protocol):
    """Begin and end evacuations."""

    def order(
        self, domain: FailureDomainId, active: bool, author: str, timeout_s: float
    ) -> EvacuationOutcome:
        """Begin the evacuation of a failure domain, or end it if not `active`."""


class EvacuationList(Protocol):
    """List the evacuated failure domains."""

    def list_evacuations(self) -> Mapping[FailureDomainId, float]:
        """Return the evacuated domains, each with the Unix time since it is known."""


class ChangeHistory(Protocol):
    """Provide the audit trail of changes."""

    def list_entries(self) -> Sequence[HistoryEntry]:
        """Return the folded changes, oldest first."""

    def find(self, change_id: ChangeId) -> HistoryEntry | None:
        """Return the entry of a change, or None if it is unknown."""


class StreamView(Protocol):
    """Report how far this daemon and its peers have folded the stream."""

    def read_head(self) -> Head:
        """Return how far this daemon has folded the stream."""

    def list_peer_heads(self) -> Sequence[PeerHead]:
        """Return the heads last received from peers."""


class ReadinessSource(Protocol):
    """Report whether this daemon accepts new requests."""

    def is_ready(self) -> bool:
        """Return whether new requests are accepted."""


class Drain(Protocol):
    """Drain the target of this daemon."""

    def drain(self) -> None:
        """Accept no new calls for the target; idempotent."""

    def is_draining(self) -> bool:
        """Return whether the target is present but accepts no new calls."""


class QuarantineList(Protocol):
    """List and release calls in quarantine."""

    def list_quarantines(self) -> Sequence[Quarantine]:
        """Return the calls in quarantine, the newest last."""

    def release(self, fingerprint: Fingerprint) -> bool:
        """End a quarantine; return False if this daemon knows of none."""


@dataclass(frozen=True)
class AdminParts:
    """The components of the daemon that the administration API uses."""

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
    quarantines: QuarantineList
    metrics: Metrics
    clock: Clock
