"""Delay or replace frames of peer links in a relay."""

import threading
from collections.abc import Callable, Sequence

from corianderhold.protocol.peer.codec import decode_message
from corianderhold.protocol.peer.messages import Message
from tests.common.relay import Direction
from tests.common.waiting import WAIT_LIMIT_S


class FrameGate:
    """Delay the first frame of one kind until the test releases it."""

    def __init__(self, kind: type[Message]) -> None:
        self._kind = kind
        self._lock = threading.Lock()
        self._taken = False
        self.held = threading.Event()
        self.released = threading.Event()

    def filter(self, _: Direction, body: bytes) -> Sequence[bytes]:
        """Forward every frame, the delayed one after its release."""
        if isinstance(decode_message(body), self._kind) and self._take():
            self.held.set()
            self.released.wait(WAIT_LIMIT_S)
        return (body,)

    def _take(self) -> bool:
        with self._lock:
            first = not self._taken
            self._taken = True
        return first


class FrameReplacer:
    """Replace the first frame of one kind."""

    def __init__(
        self, kind: type[Message], replace: Callable[[bytes], Sequence[bytes]]
    ) -> None:
        self._kind = kind
        self._replace = replace
        self._lock = threading.Lock()
        self.replaced = threading.Event()

    def filter(self, _: Direction, body: bytes) -> Sequence[bytes]:
        """Replace the first frame of the kind and forward all others unchanged."""
        with self._lock:
            if self.replaced.is_set() or not self._matches(body):
                return (body,)
            self.replaced.set()
        return self._replace(body)

    def _matches(self, body: bytes) -> bool:
        return isinstance(decode_message(body), self._kind)
