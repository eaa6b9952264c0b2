"""Define the errors of membership."""

from corianderhold.coordination.membership.const import MEMBER_LIMIT_BYTES
from corianderhold.errors import CorianderholdError


class AnnouncementTooLargeError(CorianderholdError):
    """Announcement whose names do not fit into a datagram."""

    def __init__(self, size_bytes: int) -> None:
        super().__init__(
            f"announcement of {size_bytes} bytes exceeds {MEMBER_LIMIT_BYTES} bytes;"
            " shorten the names of instance, domain, region or service"
        )


class DepartureUnconfirmedError(CorianderholdError):
    """
    Departure that a restart of those that know it would forget.

    The target is drained nevertheless.
    """

    def __init__(self, target_id: str, *, needs_log: bool = False) -> None:
        places = "not in the log" if needs_log else "neither in the log nor at a peer"
        super().__init__(f"departure of target {target_id} is {places}")
