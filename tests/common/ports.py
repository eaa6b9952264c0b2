"""Find free ports on loopback."""

import socket
from contextlib import ExitStack

HOST = "127.0.0.1"


def find_free_port() -> int:
    """Return a port that was free for TCP and UDP a moment ago."""
    return find_free_ports(1)[0]


def find_free_ports(count: int) -> list[int]:
    """Return different ports that were free for TCP and UDP a moment ago."""
    ports: list[int] = []
    with ExitStack() as held:
        while len(ports) < count:
            stream = held.enter_context(socket.create_server((HOST, 0)))
            port: int = stream.getsockname()[1]
            datagram = held.enter_context(
                socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            )
            try:
                datagram.bind((HOST, port))
            except OSError:
                continue
            ports.append(port)
    return ports
