"""Test health checks of the local target over loopback."""

import socket
import threading
from unittest import TestCase

from corianderhold.clock import SystemClock
from corianderhold.coordination.membership.health_check import (
    HealthAnswer,
    TargetHealthCheck,
)
from corianderhold.ids import ServiceName, Version
from corianderhold.protocol.headers import HeaderNames
from corianderhold.state.configuration.holder import ConfigurationHolder
from corianderhold.state.configuration.model import Configuration
from corianderhold.state.membership.model import Address
from corianderhold.state.membership.target import TargetAnnouncement
from tests.common.ports import HOST

RIGHTS = ServiceName("rights")
NAMES = HeaderNames(target_id="Instance-Id")
LIMIT_S = 1.0


class HealthCheckTests(TestCase):
    """Check a target that sends given bytes."""

    def check(
        self,
        response: bytes,
        paths: dict[ServiceName, str] | None = None,
        names: HeaderNames = NAMES,
    ) -> HealthAnswer:
        holder = ConfigurationHolder()
        paths = {RIGHTS: "/healthz"} if paths is None else paths
        holder.replace(Configuration(Version(1), health_paths=paths))
        clock = SystemClock()
        with socket.create_server((HOST, 0)) as listener:
            port = listener.getsockname()[1]
            thread = threading.Thread(
                target=self.respond, args=(listener, response), daemon=True
            )
            thread.start()
            announcement = TargetAnnouncement(
                RIGHTS, Address(HOST, port), target_id="t1"
            )
            answer = TargetHealthCheck(holder, clock, names).check(
                announcement, clock.read_monotonic() + LIMIT_S
            )
        thread.join(LIMIT_S)
        return answer

    def respond(self, listener: socket.socket, response: bytes) -> None:
        try:
            connection, _ = listener.accept()
        except OSError:
            return
        with connection:
            self.received = connection.recv(65536)
            connection.sendall(response)

    def build(self, status: str, *headers: str) -> bytes:
        lines = [f"HTTP/1.1 {status}", "Content-Length: 0", *headers, "", ""]
        return "\r\n".join(lines).encode()

    def test_target_that_names_itself_serves(self) -> None:
        answer = self.check(self.build("200 OK", "instance-id: t1"))
        self.assertIs(answer, HealthAnswer.SERVES)
        self.assertTrue(self.received.startswith(b"GET /healthz HTTP/1.1\r\n"))

    def test_other_answers_do_not_show_that_the_target_serves(self) -> None:
        answers = {
            self.build("503 Service Unavailable", "Instance-Id: t1"): "unhealthy",
            self.build("200 OK", "Instance-Id: t2"): "unhealthy",
            self.build("200 OK", "Instance-Id: t1", "X-Corianderhold-Leaving: 1"): (
                "unhealthy"
            ),
            self.build("200 OK"): "unnamed",
            self.build("000 OK", "Instance-Id: t1"): "no_answer",
            b"": "no_answer",
            b"nonsense\r\n\r\n": "no_answer",
        }
        for response, expected in answers.items():
            self.assertEqual(self.check(response).value, expected, response)

    def test_target_without_a_path_or_name_is_not_asked(self) -> None:
        healthy = self.build("200 OK", "Instance-Id: t1")
        for answer in (
            self.check(healthy, paths={}),
            self.check(healthy, names=HeaderNames()),
        ):
            self.assertIs(answer, HealthAnswer.NOT_ASKED)
