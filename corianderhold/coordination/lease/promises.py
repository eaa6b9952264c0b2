"""Ask successors for promises."""

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
from corianderhold.state.membership.model import Address, Members


@dataclass(frozen=True)
class PromiseAnswer:
    """The asks that were promised; `sent_at` precedes the request."""

    sent_at: float
    promised: tuple[PromiseAsk, ...]


class PromiseAsker:
    """Send requests for promises; used by one thread."""

    def __init__(self, clock: Clock, control: ControlClient, members: Members) -> None:
        self._clock = clock
        self._control = control
        self._members = members

    def ask(
        self, successor: InstanceId, asks: list[PromiseAsk]
    ) -> PromiseAnswer | None:
        """Ask one successor; None without an answer."""
        address = self._find_address(successor)
        if address is None:
            return None
        body = encode_request(PromiseRequest(tuple(asks)))
        sent_at = self._clock.read_monotonic()
        answer = self._control.request(
            address, ControlTopic.LEASE, body, PROMISE_TIMEOUT_S
        )
        if isinstance(answer, Err):
            return None
        try:
            shards = decode_reply(answer.ok_value).promised
        except PromiseMessageError as error:
            log_warning("promise_reply_malformed", error=repr(error))
            return None
        promised = tuple(ask for ask in asks if ask.shard in shards)
        return PromiseAnswer(sent_at, promised)

    def _find_address(self, instance: InstanceId) -> Address | None:
        """Return the peer address of a member."""
        member = self._members.find_member(instance)
        return member.peer_address if member else None
