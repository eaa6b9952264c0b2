"""Serve responses in which a target says something of itself."""

import socket
from contextlib import suppress
from threading import Thread

from corianderhold.protocol.headers import HEADER_LEAVING, HEADER_RATE_LIMIT
from corianderhold.state.membership.model import TargetState
from corianderhold.state.membership.target import TargetStatus
from tests.common.calls import CATALOGUE
from tests.common.scripted_target import ScriptedTarget, take_request


class NoticeTarget:
    """Respond to each request with a notice, and count the requests."""

    def __init__(self, limit: str | None = None, leaving: bool = False) -> None:
        self.limit = limit
        self.leaving = leaving
        self.arrivals = 0
        self._target = ScriptedTarget(self._accept, self._accept)
        self.close = self._target.close
        self.status = TargetStatus(
            TargetState.SERVING, CATALOGUE, self._target.address, "t-1", 1
        )

    def _accept(self, connection: socket.socket) -> None:
        thread = Thread(target=self._play, args=(connection.dup(),), daemon=True)
        thread.start()

    def _play(self, connection: socket.socket) -> None:
        with connection, suppress(ConnectionError):
            while True:
                take_request(connection)
                self.arrivals += 1
                fields = ["Content-Length: 0"]
                if self.limit:
                    fields.append(f"{HEADER_RATE_LIMIT}: {self.limit}")
                if self.leaving:
                    fields.append(f"{HEADER_LEAVING}: 1")
                head = "\r\n".join(("HTTP/1.1 200 OK", *fields, "", ""))
                connection.sendall(head.encode())
