"""Echo received bytes, to measure a plain loopback round trip."""

import socket
import threading

from corianderhold.log import LogValue, format_event

READ_SIZE_BYTES = 65_536


def serve_connection(connection: socket.socket) -> None:
    """Echo received bytes until the peer closes the connection."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    with connection:
        while data := connection.recv(READ_SIZE_BYTES):
            connection.sendall(data)


def echo(*, host: str = "127.0.0.1", port: int = 0) -> None:
    """
    Run an echo server.

    :param host: address to listen on
    :param port: port to listen on; 0 selects a free port
    """
    listener = socket.create_server((host, port))
    name, number = listener.getsockname()
    fields: dict[str, LogValue] = {"component": "echo"}
    fields["address"] = f"{name}:{number}"
    print(format_event("listening", fields), flush=True)
    while True:
        connection, _ = listener.accept()
        threading.Thread(
            target=serve_connection, args=(connection,), daemon=True
        ).start()
