"""Handle requests to list and release calls in quarantine."""

from corianderhold.admin.errors import ApiError, ErrorCode
from corianderhold.admin.formats import quarantine_to_json
from corianderhold.admin.model import QuarantineList
from corianderhold.admin.request import answer_errors, read_json, write_json
from corianderhold.admin.schema import RELEASE
from corianderhold.clock import Clock
from corianderhold.ids import Fingerprint
from corianderhold.log import log_event


class QuarantinesResource:
    """Handle requests for /v1/quarantines."""

    exposed = True

    def __init__(self, quarantines: QuarantineList, clock: Clock) -> None:
        self._quarantines = quarantines
        self._clock = clock

    @answer_errors
    def GET(self) -> bytes:  # noqa: N802
        """List the calls in quarantine that this daemon knows of."""
        now_s = self._clock.read_monotonic()
        listed = [
            quarantine_to_json(each, now_s)
            for each in self._quarantines.list_quarantines()
        ]
        return write_json(200, {"quarantines": listed})

    @answer_errors
    def POST(self) -> bytes:  # noqa: N802
        """Release one call from its quarantine."""
        body = read_json(RELEASE)
        fingerprint = Fingerprint(bytes.fromhex(body["fingerprint"]))
        if not self._quarantines.release(fingerprint):
            message = (
                f"this daemon knows of no quarantine of {body['fingerprint']};"
                " ask one beside a target of the service"
            )
            raise ApiError(404, ErrorCode.NOT_FOUND, message)
        log_event(
            "quarantine_released",
            fingerprint=body["fingerprint"],
            author=body["author"],
            note=body["note"],
        )
        return write_json(200, {"fingerprint": body["fingerprint"], "released": True})
