"""Request promises from successors."""

from dataclasses import dataclass

from result import Err

from corianderhold.clock import Clock
from corianderhold.coordination.lease.const import PROMISE_TIMEOUT_S
from corianderhold.ids import InstanceId
from corianderhold.log import log_warning
from corianderhold.protocol.lease.codec import (
    PromiseMessageError,
    decode_reply,
    encode_request,
)
from corianderhold.protocol.lease.model import PromiseAsk, PromiseRequest
from corianderhold.protocol.peer.control import ControlClient, ControlTopic
from corianderhold.state.membership.model import Address, MemberDirectory


@dataclass(frozen=True)
class PromiseResponse:
    """The promises given; `sent_at` is taken before the request is sent."""

    sent_at: float
    promised: tuple[PromiseAsk, ...]


class PromiseClient:
    """Send promise requests to successors; used by one thread."""

    def __init__(
        self, clock: Clock, control: ControlClient, members: MemberDirectory
    ) -> None:
        self._clock = clock
        self._control = control
        self._members = members

    def ask(
        self, successor: InstanceId, asks: list[PromiseAsk]
    ) -> PromiseResponse | None:
        """Request promises from one successor; return None without a response."""
        address = self._find_address(successor)
        if address is None:
            return None
        body = encode_request(PromiseRequest(tuple(asks)))
        sent_at = self._clock.read_monotonic()
        response = self._control.request(
            address, ControlTopic.LEASE, body, PROMISE_TIMEOUT_S
        )
        if isinstance(response, Err):
            return None
        try:
            shards = decode_reply(response.ok_value).promised
        except PromiseMessageError as error:
            log_warning("promise_reply_malformed", error=repr(error))
            return None
        promised = tuple(ask for ask in asks if ask.shard in shards)
        return PromiseResponse(sent_at, promised)

    def _find_address(self, instance: InstanceId) -> Address | None:
        """Return the peer address of a member, None if it is unknown."""
        member = self._members.find_member(instance)
        return member.peer_address if member else None
