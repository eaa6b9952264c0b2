"""Handle requests to grant, withdraw and rotate keys."""

from collections.abc import Callable
from dataclasses import dataclass
from secrets import token_hex

from result import Err, Result

from corianderhold.admin.changes import choose_status
from corianderhold.admin.const import (
    CHANGE_ID_BYTES,
    PUBLISH_TIMEOUT_S,
    REBASES_MAX,
)
from corianderhold.admin.errors import ApiError, ErrorCode
from corianderhold.admin.formats import JsonObject, published_to_json
from corianderhold.admin.model import ChangePublisher
from corianderhold.admin.request import answer_errors, read_json, write_json
from corianderhold.admin.schema import GRANT, ROTATE, WITHDRAW
from corianderhold.clock import Clock
from corianderhold.coordination.configuration.publisher import (
    PublishOutcome,
    PublishResult,
    RefusalReason,
)
from corianderhold.ids import ChangeId, KeyId, OrganisationId
from corianderhold.state.configuration.holder import ConfigurationHolder
from corianderhold.state.configuration.model import Configuration
from corianderhold.state.configuration.records import ChangeRecord, Delta
from corianderhold.state.keys.issue import (
    KeyRefusal,
    grant_key,
    rotate_key,
    withdraw_key,
)

NOT_FOUND_REFUSALS = frozenset(
    {KeyRefusal.KEY_UNKNOWN, KeyRefusal.ORGANISATION_UNKNOWN}
)


@dataclass(frozen=True)
class KeyChange:
    """A change to a key; `text` is the text of a new key, returned only once."""

    key_id: KeyId
    delta: Delta
    text: str | None = None


KeyChangeBuilder = Callable[[Configuration], Result[KeyChange, KeyRefusal]]


class KeysResource:
    """Handle requests for /v1/keys and /v1/keys/{key_id}/withdraw and .../rotate."""

    exposed = True

    def __init__(
        self, publisher: ChangePublisher, holder: ConfigurationHolder, clock: Clock
    ) -> None:
        self._publisher = publisher
        self._holder = holder
        self._clock = clock

    @answer_errors
    def POST(self, key_id: str | None = None, action: str | None = None) -> bytes:  # noqa: N802
        """Withdraw or rotate a key, or grant one if no key id is given."""
        if key_id is None:
            return self._grant(read_json(GRANT))
        if action == "withdraw":
            return self._withdraw(KeyId(key_id), read_json(WITHDRAW))
        if action == "rotate":
            return self._rotate(KeyId(key_id), read_json(ROTATE))
        message = "accepted: /v1/keys, /v1/keys/ID/withdraw and /v1/keys/ID/rotate"
        raise ApiError(404, ErrorCode.NOT_FOUND, message)

    def _grant(self, body: JsonObject) -> bytes:
        organisation = OrganisationId(body["organisation"])

        def build(configuration: Configuration) -> Result[KeyChange, KeyRefusal]:
            now_s = self._clock.read_wall()
            return grant_key(
                configuration, organisation, now_s, body["expires_at"]
            ).map(
                lambda issued: KeyChange(issued.key.key_id, issued.delta, issued.text)
            )

        return self._publish(build, body, f"grant key to {organisation}")

    def _withdraw(self, key_id: KeyId, body: JsonObject) -> bytes:
        def build(configuration: Configuration) -> Result[KeyChange, KeyRefusal]:
            return withdraw_key(configuration, key_id).map(
                lambda delta: KeyChange(key_id, delta)
            )

        return self._publish(build, body, f"withdraw key {key_id}")

    def _rotate(self, key_id: KeyId, body: JsonObject) -> bytes:
        def build(configuration: Configuration) -> Result[KeyChange, KeyRefusal]:
            now_s = self._clock.read_wall()
            return rotate_key(configuration, key_id, body["overlap_s"], now_s).map(
                lambda issued: KeyChange(issued.key.key_id, issued.delta, issued.text)
            )

        return self._publish(build, body, f"rotate key {key_id}")

    def _publish(self, build: KeyChangeBuilder, body: JsonObject, note: str) -> bytes:
        """Publish a key change; rebuild and retry it if it lost a race."""
        rebases_left = REBASES_MAX
        while True:
            configuration = self._holder.current
            built = build(configuration)
            if isinstance(built, Err):
                raise build_refusal_error(built.err_value)
            change = ChangeRecord(
                change_id=ChangeId(token_hex(CHANGE_ID_BYTES)),
                base_version=configuration.version,
                author=body["author"],
                made_at=self._clock.read_wall(),
                note=body["note"] or note,
                delta=built.ok_value.delta,
            )
            published = self._publisher.publish(change, PUBLISH_TIMEOUT_S)
            if published.reason is not RefusalReason.LOST_RACE or not rebases_left:
                return write_publish_result(built.ok_value, published)
            rebases_left -= 1


def write_publish_result(change: KeyChange, published: PublishResult) -> bytes:
    """Return the response body for a key change, with the text of a new key."""
    response_body = published_to_json(published)
    response_body["key_id"] = change.key_id
    may_be_accepted = published.outcome is not PublishOutcome.REFUSED
    if may_be_accepted and change.text is not None:
        response_body["key"] = change.text
    return write_json(choose_status(published), response_body)


def build_refusal_error(refusal: KeyRefusal) -> ApiError:
    """Return the error for a refused key change."""
    status = 404 if refusal in NOT_FOUND_REFUSALS else 409
    return ApiError(status, ErrorCode.KEY_REFUSED, refusal.value)
