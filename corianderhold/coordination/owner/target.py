"""Say which target an owner serves."""

from dataclasses import dataclass
from typing import Protocol

from corianderhold.ids import ServiceName
from corianderhold.state.membership.model import Address, TargetState


@dataclass(frozen=True)
class LocalTarget:
    """The target beside this daemon, as it announced itself."""

    service: ServiceName
    address: Address
    state: TargetState


class LocalTargetSource(Protocol):
    """Give the local target."""

    def read_local_target(self) -> LocalTarget | None:
        """Return the target, or None when none is announced or it lapsed."""
