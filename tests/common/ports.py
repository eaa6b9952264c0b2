"""Find free ports on loopback."""

import socket


def find_free_port() -> int:
    """Return a TCP port that was free a moment ago."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port: int = listener.getsockname()[1]
        return port
