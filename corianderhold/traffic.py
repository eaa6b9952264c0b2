"""Count the bytes that a daemon sends to others by purpose and distance."""

import threading
from collections.abc import Callable
from enum import Enum

from corianderhold.ids import InstanceId
from corianderhold.log import log_event
from corianderhold.metrics import Metrics
from corianderhold.state.membership.locality import AddressMap, Locality
from corianderhold.state.membership.model import Address, Member, MemberDirectory

COUNTER_PREFIX = "sent_bytes_"
UNKNOWN_DISTANCE = "unknown"
REPORT_INTERVAL_S = 10.0


class Purpose(Enum):
    """Purpose for which bytes are sent."""

    CALL = "call"
    LINK = "link"
    GOSSIP = "gossip"
    MEMBERSHIP = "membership"
    CONFIGURATION = "configuration"
    RATE = "rate"
    LEASE = "lease"
    ONCE = "once"
    QUARANTINE = "quarantine"
    DEPARTURE = "departure"


class TrafficMeter:
    """
    Count sent bytes without IP, TCP and UDP headers; thread-safe.

    Bytes sent to a member that is not known yet have the distance "unknown".
    """

    def __init__(
        self,
        place: Locality,
        read_members: Callable[[], MemberDirectory],
        metrics: Metrics,
    ) -> None:
        self._place = place
        self._read_members = read_members
        self._metrics = metrics
        self._addresses = AddressMap(lambda: read_members().list_members())

    def count_to_address(self, purpose: Purpose, address: Address, count: int) -> None:
        """Count bytes sent to the daemon at an address."""
        self._count(purpose, self._addresses.find(address), count)

    def count_to_instance(
        self, purpose: Purpose, instance: InstanceId, count: int
    ) -> None:
        """Count bytes sent to a daemon."""
        self._count(purpose, self._read_members().find_member(instance), count)

    def _count(self, purpose: Purpose, member: Member | None, count: int) -> None:
        distance = (
            UNKNOWN_DISTANCE
            if member is None
            else self._place.measure_distance(member).value
        )
        self._metrics.increment(f"{COUNTER_PREFIX}{purpose.value}_{distance}", count)


SentBytesCallback = Callable[[Purpose, int], None]


class TrafficReport:
    """Log the bytes sent so far every REPORT_INTERVAL_S seconds and on stop."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="traffic", daemon=True)

    def start(self) -> None:
        """Start logging."""
        self._thread.start()

    def stop(self) -> None:
        """Stop and log once more."""
        self._stopping.set()
        self.log()

    def log(self) -> None:
        """Log one line with all counters of sent bytes."""
        counters = self._metrics.read_counters()
        fields = {
            k: v for k, v in sorted(counters.items()) if k.startswith(COUNTER_PREFIX)
        }
        log_event("traffic_counted", **fields)

    def _run(self) -> None:
        while not self._stopping.wait(REPORT_INTERVAL_S):
            self.log()
