"""Send and receive UDP datagrams on one non-blocking socket."""

import contextlib
import selectors
import socket
from dataclasses import dataclass

from corianderhold.state.membership.model import Address

RECEIVE_LIMIT_BYTES = 2048
WAKE_BYTES = 64


@dataclass(frozen=True)
class ReceivedDatagram:
    """A received datagram and its source address."""

    source: Address
    data: bytes


class DatagramEndpoint:
    """
    Own a UDP socket; one thread sends and receives, any thread may wake it.

    With port 0 the operating system chooses a port, which `address` then holds.
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
        """Send one datagram; return False if the operating system rejects it."""
        try:
            self._socket.sendto(data, (address.host, address.port))
        except OSError:
            return False
        return True

    def receive(self, timeout_s: float, limit: int) -> list[ReceivedDatagram]:
        """Wait for datagrams or `wake`; return up to `limit` received datagrams."""
        self._selector.select(timeout_s)
        with contextlib.suppress(BlockingIOError):
            self._wake_receiver.recv(WAKE_BYTES)
        received: list[ReceivedDatagram] = []
        while len(received) < limit:
            try:
                data, source = self._socket.recvfrom(RECEIVE_LIMIT_BYTES)
            except BlockingIOError:
                break
            except OSError:  # ICMP error caused by an earlier send
                continue
            received.append(ReceivedDatagram(Address(source[0], source[1]), data))
        return received

    def wake(self) -> None:
        """Make a waiting `receive` return; pending wake-ups are merged."""
        with contextlib.suppress(OSError):
            self._wake_sender.send(b"\0")

    def close(self) -> None:
        """Close the socket; call it from the receiving thread or after it has ended."""
        self._selector.close()
        self._socket.close()
        self._wake_receiver.close()
        self._wake_sender.close()
