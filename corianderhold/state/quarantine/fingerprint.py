"""Identify equal calls without keeping their content."""

from hashlib import blake2b

from corianderhold.ids import Fingerprint, OrganisationId, ServiceName
from corianderhold.state.quarantine.const import (
    ORGANISATION_DIGEST_BYTES,
    REQUEST_DIGEST_BYTES,
)

PERSON = b"quarantine"
LENGTH_BYTES = 4


class Fingerprinter:
    """
    Compute fingerprints that only holders of the fleet's secret can compute.

    Calls are equal if they have the same organisation, service, method, path, query and
    body. Of a body that is streamed, only the length counts.
    """

    def __init__(self, secret: bytes) -> None:
        self._key = blake2b(secret, digest_size=32, person=PERSON).digest()

    def compute(
        self,
        organisation: OrganisationId,
        service: ServiceName,
        method: str,
        path: str,
        body: bytes | None,
        length: int | None,
    ) -> Fingerprint:
        """Return the fingerprint; its first bytes identify the organisation."""
        digest = blake2b(key=self._key, digest_size=REQUEST_DIGEST_BYTES)
        content = body if body is not None else b""
        kind = "inline" if body is not None else f"streamed {length}"
        for part in (organisation, service, method, path, kind):
            data = part.encode("utf-8", "surrogatepass")
            digest.update(len(data).to_bytes(LENGTH_BYTES, "big"))
            digest.update(data)
        digest.update(content)
        owner = blake2b(
            organisation.encode(), key=self._key, digest_size=ORGANISATION_DIGEST_BYTES
        )
        return Fingerprint(owner.digest() + digest.digest())
