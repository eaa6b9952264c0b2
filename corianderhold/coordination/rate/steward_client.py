"""Send loan requests to the steward of a shard."""

import threading
from dataclasses import dataclass

from result import Err

from corianderhold.clock import Clock
from corianderhold.coordination.lease.locator import HolderLocator
from corianderhold.coordination.lease.ranking import accept_domain
from corianderhold.coordination.rate.const import LOAN_TIMEOUT_S
from corianderhold.ids import FailureDomainId, InstanceId
from corianderhold.log import log_warning
from corianderhold.protocol.peer.control import ControlClient, ControlTopic
from corianderhold.protocol.rate.codec import (
    LoanMessageError,
    decode_reply,
    encode_request,
)
from corianderhold.protocol.rate.model import LoanAsk, LoanGrant, LoanRequest
from corianderhold.state.lease.model import LeaseHolder, ShardId

NO_INSTANCE = InstanceId("")


@dataclass(frozen=True)
class LoanResponse:
    """The grants of a steward; `sent_at` is taken before the request is sent."""

    sent_at: float
    grants: tuple[LoanGrant, ...]


class StewardClient:
    """Number and send the requests of one borrower; thread-safe."""

    def __init__(
        self,
        node: LeaseHolder,
        domain: FailureDomainId,
        steward: bool,
        clock: Clock,
        control: ControlClient,
        locator: HolderLocator,
    ) -> None:
        self._node = node
        self._domain = domain
        self._steward = steward
        self._clock = clock
        self._control = control
        self._locator = locator
        self._lock = threading.Lock()
        self._request_count = 0

    def send(
        self,
        domain: FailureDomainId,
        shard: ShardId,
        asks: tuple[LoanAsk, ...],
        timeout_s: float = LOAN_TIMEOUT_S,
    ) -> LoanResponse | None:
        """Ask the steward of a shard; return None if it refused or did not respond."""
        located = self._locator.locate_holder(accept_domain(domain), shard)
        if located is None:
            return None
        instance, address = located
        body = encode_request(self._number_request(asks))
        sent_at = self._clock.read_monotonic()
        response = self._control.request(address, ControlTopic.RATE, body, timeout_s)
        if isinstance(response, Err):
            self._locator.record_response(shard, instance, False, NO_INSTANCE)
            return None
        try:
            reply = decode_reply(response.ok_value)
        except LoanMessageError as error:
            log_warning("loan_reply_malformed", shard=shard, error=repr(error))
            return None
        self._locator.record_response(shard, instance, reply.accepted, reply.holder)
        return LoanResponse(sent_at, reply.grants) if reply.accepted else None

    def _number_request(self, asks: tuple[LoanAsk, ...]) -> LoanRequest:
        """Build a request with the next number."""
        with self._lock:
            self._request_count += 1
            number = self._request_count
        return LoanRequest(
            self._node.instance,
            self._node.incarnation,
            number,
            self._domain,
            self._steward,
            asks,
        )
