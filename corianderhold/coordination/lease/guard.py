"""Say what the users of a lease ask of it."""

from typing import Protocol

from corianderhold.ids import InstanceId
from corianderhold.state.lease.model import ShardId


class LeaseGuard(Protocol):
    """Answer whether this daemon holds a shard."""

    def find_tenure(self, shard: ShardId) -> int | None:
        """
        Return the term in which this daemon took the shard, None if it may not act.

        The answer holds for no time at all: call it before each use.
        """

    def find_holder(self, shard: ShardId) -> InstanceId | None:
        """Return the instance that this daemon believes to be the holder."""
