"""Send control requests to other daemons on pooled links."""

from result import Err, Ok, Result

from corianderhold.protocol.peer.control import ControlFailure, ControlTopic
from corianderhold.protocol.peer.errors import FrameError
from corianderhold.protocol.peer.messages import ControlReply, ControlRequest
from corianderhold.state.membership.model import Address
from corianderhold.transport.peer.errors import LinkError, LinkSilentError
from corianderhold.transport.peer.pool import LinkPool


class LinkControlClient:
    """Implement `ControlClient` over a pool of links."""

    def __init__(self, pool: LinkPool) -> None:
        self._pool = pool

    def request(
        self, address: Address, topic: ControlTopic, body: bytes, timeout_s: float
    ) -> Result[bytes, ControlFailure]:
        """Send `body` to the daemon at `address` and wait for its reply."""
        borrowed = self._pool.acquire(address)
        if isinstance(borrowed, Err):
            return Err(ControlFailure.UNREACHABLE)
        pooled = borrowed.ok_value
        try:
            pooled.link.send(ControlRequest(topic, body), timeout_s)
            reply = pooled.link.receive_reply(timeout_s)
        except LinkSilentError:
            self._pool.discard(pooled)
            return Err(ControlFailure.TIMEOUT)
        except (LinkError, FrameError):
            self._pool.discard(pooled)
            return Err(ControlFailure.UNREACHABLE)
        if not isinstance(reply, ControlReply):
            self._pool.discard(pooled)
            return Err(ControlFailure.REJECTED)
        self._pool.release(pooled)
        return Ok(reply.body) if reply.accepted else Err(ControlFailure.REJECTED)
