"""Encode and decode notices about calls that crash targets."""

from typing import Any

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAcceleratedFactory
from thrift.TSerialization import deserialize, serialize

from corianderhold.ids import CrashId, Fingerprint, ServiceName
from corianderhold.protocol.quarantine.gen import ttypes
from corianderhold.protocol.quarantine.model import Notice, NoticeError
from corianderhold.state.quarantine.const import (
    CRASH_ID_BYTES,
    FINGERPRINT_BYTES,
    QUARANTINE_MAX_S,
    SUSPECTS_MAX,
)
from corianderhold.state.quarantine.model import Clearance, CrashReport, Quarantine

FACTORY = TBinaryProtocolAcceleratedFactory()
MILLISECONDS = 1000
AGE_MAX_MS = 86_400_000
QUARANTINE_MAX_MS = int(QUARANTINE_MAX_S * MILLISECONDS)
COUNT_MAX = 1_000_000


def encode_notice(notice: Notice, now: float) -> bytes:
    """Encode a notice; `now` is the current monotonic time in seconds."""

    def compute_age_ms(at: float) -> int:
        return max(0, round((now - at) * MILLISECONDS))

    message = ttypes.Notice(
        notice.digest,
        [
            ttypes.Crash(
                each.crash_id,
                each.service,
                compute_age_ms(each.crashed_at),
                list(each.suspects),
                each.in_trial,
            )
            for each in notice.reports
        ],
        [
            ttypes.Clearance(each.fingerprint, compute_age_ms(each.cleared_at))
            for each in notice.clearances
        ],
        [
            ttypes.Quarantine(
                each.fingerprint,
                each.service,
                compute_age_ms(each.since),
                max(0, round((each.until - now) * MILLISECONDS)),
                each.count,
            )
            for each in notice.quarantines
        ],
    )
    return bytes(serialize(message, FACTORY))


def decode_notice(body: bytes, now: float) -> Notice:
    """Decode a notice that arrived now; raise NoticeError if it is malformed."""
    try:
        message = deserialize(ttypes.Notice(), body, FACTORY)
        message.validate()
        return Notice(
            bytes(message.digest),
            tuple(decode_crash(each, now) for each in message.crashes),
            tuple(decode_clearance(each, now) for each in message.clearances),
            tuple(decode_quarantine(each, now) for each in message.quarantines),
        )
    except NoticeError:
        raise
    except Exception as error:
        # On malformed bytes, thrift raises a variety of errors (EOFError, TypeError).
        raise NoticeError(f"malformed notice: {error!r}") from error


def decode_crash(struct: Any, now: float) -> CrashReport:
    """Decode a crash report; raise NoticeError if a value is out of range."""
    struct.validate()
    crash_id = check_length(struct.id, CRASH_ID_BYTES)
    if len(struct.suspects) > SUSPECTS_MAX:
        raise NoticeError(
            f"{len(struct.suspects)} suspects; at most {SUSPECTS_MAX} accepted"
        )
    return CrashReport(
        CrashId(crash_id),
        ServiceName(struct.service_name),
        decode_time(struct.age_ms, now),
        tuple(decode_fingerprint(each) for each in struct.suspects),
        bool(struct.in_trial),
    )


def decode_clearance(struct: Any, now: float) -> Clearance:
    """Decode a clearance; raise NoticeError if a value is out of range."""
    struct.validate()
    return Clearance(
        decode_fingerprint(struct.fingerprint), decode_time(struct.age_ms, now)
    )


def decode_quarantine(struct: Any, now: float) -> Quarantine:
    """Decode a quarantine; raise NoticeError if a value is out of range."""
    struct.validate()
    left_ms = check_range("left_ms", struct.left_ms, QUARANTINE_MAX_MS)
    return Quarantine(
        decode_fingerprint(struct.fingerprint),
        ServiceName(struct.service_name),
        decode_time(struct.age_ms, now),
        now + left_ms / MILLISECONDS,
        check_range("count", struct.count, COUNT_MAX),
    )


def decode_time(age_ms: int, now: float) -> float:
    """Return the monotonic time of an age; raise NoticeError if it is out of range."""
    return now - check_range("age_ms", age_ms, AGE_MAX_MS) / MILLISECONDS


def decode_fingerprint(data: bytes) -> Fingerprint:
    """Return a fingerprint; raise NoticeError for any other length."""
    return Fingerprint(check_length(data, FINGERPRINT_BYTES))


def check_length(data: bytes, length: int) -> bytes:
    """Return the data; raise NoticeError for any other length."""
    if len(data) != length:
        raise NoticeError(f"expected {length} bytes, got {len(data)}")
    return bytes(data)


def check_range(name: str, value: int, highest: int) -> int:
    """Return a value from 0 to `highest`; raise NoticeError otherwise."""
    if not 0 <= value <= highest:
        raise NoticeError(f"{name} is {value}; accepted: 0 to {highest}")
    return value
