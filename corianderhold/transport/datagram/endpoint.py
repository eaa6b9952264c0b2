"""Send and receive UDP datagrams on one socket."""

import contextlib
import selectors
import socket
from dataclasses import dataclass

from corianderhold.state.membership.model import Address

RECEIVE_LIMIT_BYTES = 2048
WAKE_BYTES = 64


@dataclass(frozen=True)
class ReceivedDatagram:
    """Bytes that arrived, and the address they came from."""

    source: Address
    data: bytes


class DatagramEndpoint:
    """
    Own a UDP socket; one thread receives and sends, any thread may wake it.

    Port 0 lets the operating system choose; `address` then holds the choice.
    """

    def __init__(self, address: Address) -> None:
        family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_DGRAM)
        try:
            self._socket.bind((address.host, address.port))
        except OSError:
            self._socket.close()
            raise
        self._socket.setblocking(False)
        self._wake_receiver, self._wake_sender = socket.socketpair()
        self._wake_receiver.setblocking(False)
        self._wake_sender.setblocking(False)
        self._selector = selectors.DefaultSelector()
        self._selector.register(self._socket, selectors.EVENT_READ)
        self._selector.register(self._wake_receiver, selectors.EVENT_READ)
        self.address = Address(address.host, self._socket.getsockname()[1])

    def send(self, address: Address, data: bytes) -> bool:
        """Send one datagram; return False where the system refuses it."""
        try:
            self._socket.sendto(data, (address.host, address.port))
        except OSError:
            return False
        return True

    def receive(self, timeout_s: float, limit: int) -> list[ReceivedDatagram]:
        """Wait for datagrams or `wake`; return up to `limit` that have arrived."""
        self._selector.select(timeout_s)
        with contextlib.suppress(BlockingIOError):
            self._wake_receiver.recv(WAKE_BYTES)
        received: list[ReceivedDatagram] = []
        while len(received) < limit:
            try:
                data, source = self._socket.recvfrom(RECEIVE_LIMIT_BYTES)
            except BlockingIOError:
                break
            except OSError:  # an ICMP error of an earlier send
                continue
            received.append(ReceivedDatagram(Address(source[0], source[1]), data))
        return received

    def wake(self) -> None:
        """Make a waiting `receive` return; a pending wake-up is enough."""
        with contextlib.suppress(OSError):
            self._wake_sender.send(b"\0")

    def close(self) -> None:
        """Close the socket; called by the thread that receives, or after it ended."""
        self._selector.close()
        self._socket.close()
        self._wake_receiver.close()
        self._wake_sender.close()
