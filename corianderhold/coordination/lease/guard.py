"""Define the interface through which a lease is checked."""

from typing import Protocol

from corianderhold.ids import InstanceId
from corianderhold.state.lease.model import ShardId


class LeaseGuard(Protocol):
    """Check whether this daemon holds a shard."""

    def find_tenure(self, shard: ShardId) -> int | None:
        """
        Return the term in which this daemon took the shard, None if it may not act.

        The result may be outdated as soon as it is returned: call this before each use.
        """

    def find_holder(self, shard: ShardId) -> InstanceId | None:
        """Return the presumed holder, None if unknown."""
