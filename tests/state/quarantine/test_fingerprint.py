"""Test that only equal calls have equal fingerprints, which tell nothing of them."""

from typing import Any
from unittest import TestCase

from corianderhold.ids import Fingerprint, OrganisationId, ServiceName
from corianderhold.state.quarantine.const import FINGERPRINT_BYTES
from corianderhold.state.quarantine.fingerprint import Fingerprinter

CALL: dict[str, Any] = {
    "organisation": OrganisationId("schools"),
    "service": ServiceName("catalogue"),
    "method": "POST",
    "path": "/search?q=tape",
    "body": b"payload",
    "length": 7,
}


class FingerprintTests(TestCase):
    """Change one part of a call at a time."""

    def compute(self, secret: bytes = b"secret", **changes: Any) -> Fingerprint:  # noqa: ANN401
        return Fingerprinter(secret).compute(**{**CALL, **changes})

    def test_equal_calls_have_equal_fingerprints_on_all_daemons(self) -> None:
        self.assertEqual(self.compute(), self.compute())
        self.assertEqual(len(self.compute()), FINGERPRINT_BYTES)

    def test_each_part_of_a_call_and_the_secret_of_the_fleet_count(self) -> None:
        others = [
            self.compute(organisation=OrganisationId("media")),
            self.compute(service=ServiceName("rights")),
            self.compute(method="PUT"),
            self.compute(path="/search?q=tapes"),
            self.compute(body=b"Payload"),
            self.compute(body=None),
            self.compute(body=None, length=8),
            self.compute(method="POST/search", path="?q=tape"),
            self.compute(b"another secret"),
        ]
        self.assertEqual(len({self.compute(), *others}), len(others) + 1)
