"""Handle requests for the configuration, its changes and their audit trail."""

from secrets import token_hex

from result import Err

from corianderhold.admin.const import (
    CHANGE_ID_BYTES,
    HISTORY_LIMIT_DEFAULT,
    HISTORY_LIMIT_MAX,
    PUBLISH_TIMEOUT_S,
)
from corianderhold.admin.errors import ApiError, ErrorCode
from corianderhold.admin.formats import (
    JsonObject,
    entry_to_json,
    published_to_json,
)
from corianderhold.admin.model import ChangeHistory, ChangePublisher
from corianderhold.admin.request import (
    answer_errors,
    read_integer,
    read_json,
    write_json,
)
from corianderhold.admin.schema import PUBLISH
from corianderhold.clock import Clock
from corianderhold.coordination.configuration.publisher import (
    PublishOutcome,
    PublishResult,
    RefusalReason,
)
from corianderhold.ids import ChangeId
from corianderhold.state.configuration.codec import decode_draft
from corianderhold.state.configuration.entities import configuration_to_json, dump_json
from corianderhold.state.configuration.holder import ConfigurationHolder
from corianderhold.state.configuration.records import ChangeRecord

STATUS_BY_REASON = {
    RefusalReason.INVALID: 422,
    RefusalReason.NOT_APPENDED: 503,
}
CONFLICT = 409


class ConfigurationResource:
    """Handle requests for /v1/configuration."""

    exposed = True

    def __init__(self, holder: ConfigurationHolder) -> None:
        self._holder = holder

    @answer_errors
    def GET(self) -> bytes:  # noqa: N802
        """Return the configuration in force; keys appear only as salted digests."""
        return write_json(200, configuration_to_json(self._holder.current))


class ChangesResource:
    """Handle requests for /v1/changes and /v1/changes/{change_id}."""

    exposed = True

    def __init__(
        self, publisher: ChangePublisher, history: ChangeHistory, clock: Clock
    ) -> None:
        self._publisher = publisher
        self._history = history
        self._clock = clock

    @answer_errors
    def GET(self, change_id: str | None = None, limit: str = "") -> bytes:  # noqa: N802
        """List the latest changes, or explain the outcome of one."""
        if change_id is not None:
            return self._explain(change_id)
        count = HISTORY_LIMIT_DEFAULT
        if limit:
            count = read_integer(limit, "limit", 1, HISTORY_LIMIT_MAX)
        entries = list(self._history.list_entries())[-count:]
        changes = [entry_to_json(entry) for entry in reversed(entries)]
        return write_json(200, {"changes": changes})

    @answer_errors
    def POST(self) -> bytes:  # noqa: N802
        """Publish a change."""
        change = self._build_change(read_json(PUBLISH))
        published = self._publisher.publish(change, PUBLISH_TIMEOUT_S)
        return write_json(choose_status(published), published_to_json(published))

    def _explain(self, change_id: str) -> bytes:
        published = self._publisher.resolve(ChangeId(change_id))
        entry = self._history.find(ChangeId(change_id))
        if published.outcome is PublishOutcome.UNKNOWN:
            message = f"change {change_id} is not in the log as far as it was read; "
            message += "an append that is still in progress may add it"
            raise ApiError(404, ErrorCode.CHANGE_UNKNOWN, message)
        response_body = published_to_json(published)
        response_body["change"] = None if entry is None else entry_to_json(entry)
        return write_json(200, response_body)

    def _build_change(self, body: JsonObject) -> ChangeRecord:
        """Build the change from a request body, validated like a draft."""
        parts = {name: body[name] for name in ("base_version", "set", "removed")}
        draft = decode_draft(dump_json(parts))
        if isinstance(draft, Err):
            message = "the change is invalid"
            details = [draft.err_value.detail]
            raise ApiError(400, ErrorCode.BODY_MALFORMED, message, details)
        return ChangeRecord(
            change_id=ChangeId(body.get("change_id") or token_hex(CHANGE_ID_BYTES)),
            base_version=draft.ok_value.base_version,
            author=body["author"],
            made_at=self._clock.read_wall(),
            note=body["note"],
            delta=draft.ok_value.delta,
        )


def choose_status(published: PublishResult) -> int:
    """Return the HTTP status for the outcome of a change."""
    if published.outcome is PublishOutcome.ACCEPTED:
        return 201
    if published.outcome is PublishOutcome.UNKNOWN or published.reason is None:
        return 202
    return STATUS_BY_REASON.get(published.reason, CONFLICT)
