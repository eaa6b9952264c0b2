"""Model the messages about calls that crash targets."""

from dataclasses import dataclass

from corianderhold.errors import CorianderholdError
from corianderhold.state.quarantine.model import Clearance, CrashReport, Quarantine


class NoticeError(CorianderholdError):
    """A notice is malformed."""


@dataclass(frozen=True)
class Notice:
    """
    What a daemon knows, with times on the monotonic clock of the daemon that reads it.

    `digest` identifies all that the sender knows, also where the notice is empty.
    """

    digest: bytes
    reports: tuple[CrashReport, ...] = ()
    clearances: tuple[Clearance, ...] = ()
    quarantines: tuple[Quarantine, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Return whether the notice has nothing but the digest."""
        return not (self.reports or self.clearances or self.quarantines)
