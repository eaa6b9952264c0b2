"""Model crashes of targets and the calls that may have caused them."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b

from corianderhold.ids import CrashId, Fingerprint, InstanceId, ServiceName


class Suspicion(Enum):
    """
    Whether a call may reach a target.

    A suspect was in flight when a target crashed, and runs only in a trial: at one
    owner, with no other suspect beside it.
    """

    NONE = "none"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@dataclass(frozen=True)
class CrashReport:
    """
    A crash of a target, at a monotonic time in seconds.

    `in_trial` says that the only suspect was known as one when it was dispatched.
    """

    crash_id: CrashId
    service: ServiceName
    crashed_at: float
    suspects: tuple[Fingerprint, ...]
    in_trial: bool = False


@dataclass(frozen=True)
class Clearance:
    """A call that did not crash its target, at a monotonic time in seconds."""

    fingerprint: Fingerprint
    cleared_at: float


@dataclass(frozen=True)
class Quarantine:
    """
    A call that is refused from `since` until `until`, in monotonic seconds.

    `count` is the number of its quarantines so far, this one included.
    """

    fingerprint: Fingerprint
    service: ServiceName
    since: float
    until: float
    count: int


@dataclass(frozen=True)
class QuarantineView:
    """All that a daemon knows; equal digests mean that two daemons know the same."""

    digest: bytes
    reports: tuple[CrashReport, ...]
    clearances: tuple[Clearance, ...]
    quarantines: tuple[Quarantine, ...]


def rank_testers(
    fingerprint: Fingerprint, instances: Iterable[InstanceId]
) -> list[InstanceId]:
    """
    Return the owners in the order in which they run trials of a call.

    All daemons with the same view of the owners choose the same one (rendezvous
    hashing), so that a call that crashes its target is tried by one owner only.
    """
    return sorted(
        instances,
        key=lambda each: blake2b(fingerprint + each.encode(), digest_size=8).digest(),
    )
