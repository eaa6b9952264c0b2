"""Define the validation schemas of request bodies."""

from voluptuous import All, Any, Length, Match, Optional, Required, Schema

from corianderhold.state.configuration.const import (
    MAX_AUTHOR_LENGTH,
    MAX_NOTE_LENGTH,
    MAX_UNIX_TIME_S,
)
from corianderhold.state.configuration.schema import (
    NAME,
    VERSION,
    bound_number,
    bound_text,
    require_boolean,
)
from corianderhold.state.keys.const import MAX_OVERLAP_S
from corianderhold.state.quarantine.const import FINGERPRINT_BYTES

AUTHORSHIP = {
    Required("author"): All(bound_text(MAX_AUTHOR_LENGTH), Length(min=1)),
    Optional("note", default=""): bound_text(MAX_NOTE_LENGTH),
}

# The contents of "set" and "removed" are validated when the draft is decoded.
PUBLISH = Schema(
    {
        **AUTHORSHIP,
        Optional("change_id"): NAME,
        Required("base_version"): VERSION,
        Optional("set", default=dict): dict,
        Optional("removed", default=dict): dict,
    }
)
GRANT = Schema(
    {
        **AUTHORSHIP,
        Required("organisation"): NAME,
        Optional("expires_at", default=None): Any(
            None, bound_number(0.0, MAX_UNIX_TIME_S)
        ),
    }
)
WITHDRAW = Schema(AUTHORSHIP)
EVACUATE = Schema(
    {**AUTHORSHIP, Required("domain"): NAME, Required("active"): require_boolean}
)
RELEASE = Schema(
    {
        **AUTHORSHIP,
        Required("fingerprint"): All(
            str, Match(f"^[0-9a-f]{{{2 * FINGERPRINT_BYTES}}}$")
        ),
    }
)
ROTATE = Schema({**AUTHORSHIP, Required("overlap_s"): bound_number(0.0, MAX_OVERLAP_S)})
