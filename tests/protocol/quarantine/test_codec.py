"""Test that notices about crashes survive the wire, and malformed ones are refused."""

from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st
from thrift.TSerialization import serialize

from corianderhold.ids import CrashId, Fingerprint, ServiceName
from corianderhold.protocol.quarantine.codec import (
    FACTORY,
    decode_notice,
    encode_notice,
)
from corianderhold.protocol.quarantine.gen import ttypes
from corianderhold.protocol.quarantine.model import Notice, NoticeError
from corianderhold.state.quarantine.const import (
    CRASH_ID_BYTES,
    FINGERPRINT_BYTES,
    SUSPECTS_MAX,
)
from corianderhold.state.quarantine.model import Clearance, CrashReport, Quarantine

SERVICE = ServiceName("catalogue")
CALL = Fingerprint(b"f" * FINGERPRINT_BYTES)
CRASH = CrashId(b"c" * CRASH_ID_BYTES)


class NoticeTests(TestCase):
    """Encode on the clock of one daemon and decode on that of another."""

    def test_notice_survives_on_another_clock(self) -> None:
        notice = Notice(
            b"digest",
            (CrashReport(CRASH, SERVICE, 990.0, (CALL,), in_trial=True),),
            (Clearance(CALL, 995.0),),
            (Quarantine(CALL, SERVICE, 999.0, 1299.0, 2),),
        )
        decoded = decode_notice(encode_notice(notice, 1000.0), 50.0)
        self.assertEqual(
            decoded,
            Notice(
                b"digest",
                (CrashReport(CRASH, SERVICE, 40.0, (CALL,), in_trial=True),),
                (Clearance(CALL, 45.0),),
                (Quarantine(CALL, SERVICE, 49.0, 349.0, 2),),
            ),
        )

    def test_values_out_of_range_are_refused(self) -> None:
        crash = [CRASH, SERVICE, 1, [CALL], False]
        quarantine = [CALL, SERVICE, 1, 1, 1]
        for messages in (
            {"crashes": [ttypes.Crash(b"short", *crash[1:])]},
            {"crashes": [ttypes.Crash(CRASH, SERVICE, -1, [CALL], False)]},
            {"crashes": [ttypes.Crash(CRASH, SERVICE, 2**62, [CALL], False)]},
            {"crashes": [ttypes.Crash(CRASH, SERVICE, 1, [b"x"], False)]},
            {
                "crashes": [
                    ttypes.Crash(CRASH, SERVICE, 1, [CALL] * (SUSPECTS_MAX + 1), False)
                ]
            },
            {"clearances": [ttypes.Clearance(CALL, -1)]},
            {"quarantines": [ttypes.Quarantine(*quarantine[:3], 2**40, 1)]},
            {"quarantines": [ttypes.Quarantine(*quarantine[:4], -1)]},
        ):
            lists = {"crashes": [], "clearances": [], "quarantines": [], **messages}
            message = ttypes.Notice(b"", **lists)
            with self.subTest(messages), self.assertRaises(NoticeError):
                decode_notice(serialize(message, FACTORY), 1000.0)

    @given(st.binary(max_size=200))
    def test_other_bytes_raise_no_other_error(self, body: bytes) -> None:
        try:
            decode_notice(body, 1000.0)
        except NoticeError:
            return
