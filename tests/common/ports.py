"""Find free ports on loopback."""

import socket
from contextlib import ExitStack

HOST = "127.0.0.1"


def find_free_port() -> int:
    """Return a port that was free for TCP and UDP a moment ago."""
    return find_free_ports(1)[0]


def find_free_ports(count: int) -> list[int]:
    """Return different ports that were free for TCP and UDP a moment ago."""
    with PortReservation(count) as reservation:
        return list(reservation.ports)


class PortReservation:
    """
    Reserve ports so that the system does not assign them as ephemeral ports.

    A socket that is bound with SO_REUSEADDR but does not listen keeps the system from
    choosing its port, yet a server with the same option can listen on it.
    """

    def __init__(self, count: int) -> None:
        self._held = ExitStack()
        self.ports: list[int] = []
        while len(self.ports) < count:
            self._reserve_next()

    def __enter__(self) -> "PortReservation":
        return self

    def __exit__(self, *_: object) -> None:
        self.release()

    def release(self) -> None:
        """Release the ports."""
        self._held.close()

    def _reserve_next(self) -> None:
        stream = self._held.enter_context(socket.socket())
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        stream.bind((HOST, 0))
        port: int = stream.getsockname()[1]
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagram:
            try:
                datagram.bind((HOST, port))
            except OSError:
                return
        self.ports.append(port)
