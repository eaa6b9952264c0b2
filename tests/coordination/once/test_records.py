"""
Test the records of idempotency keys.

Memory is bounded, so records are evicted, and a new holder starts without any. In both
cases a repeat must be refused, since running it could run the request twice.
"""

from unittest import TestCase
from uuid import UUID

from corianderhold.coordination.once.const import (
    CLOCK_ERROR_MAX_S,
    KEY_FUTURE_TOLERANCE_S,
    RECORD_LIFETIME_S,
)
from corianderhold.coordination.once.key import IdempotencyKey
from corianderhold.coordination.once.records import (
    IdempotencyRecords,
    KeyDecisionState,
    RecordedResponse,
)
from corianderhold.ids import OrganisationId, RouteName
from tests.common.keys import make_key

BEGAN_AT = 1_700_000_000.0
NOW = BEGAN_AT + 100
FINGERPRINT = b"fingerprint"
RESPONSE = RecordedResponse(200, (), b"granted")


def make_request_key(made_at: float) -> IdempotencyKey:
    """Return a new key with the timestamp `made_at`, in Unix time."""
    uuid = UUID(make_key(made_at))
    return IdempotencyKey(OrganisationId("schools"), RouteName("grant"), uuid)


class OnceRecordsTests(TestCase):
    """Check decisions on requests before and after they end."""

    def setUp(self) -> None:
        self.records = IdempotencyRecords(BEGAN_AT, records_max=10, bytes_max=1000)

    def begin(self, key: IdempotencyKey, now: float = NOW) -> KeyDecisionState:
        return self.records.begin(key, FINGERPRINT, now).state

    def test_timestamp_of_a_key_is_parsed(self) -> None:
        self.assertAlmostEqual(make_request_key(NOW).made_at, NOW, places=2)

    def test_repeat_is_detected_and_replayed(self) -> None:
        key = make_request_key(NOW)
        self.assertIs(self.begin(key), KeyDecisionState.RUN)
        self.assertIs(self.begin(key), KeyDecisionState.IN_PROGRESS)
        self.records.end_run(key, RESPONSE)
        self.assertEqual(self.records.begin(key, FINGERPRINT, NOW).response, RESPONSE)
        other = self.records.begin(key, b"other", NOW)
        self.assertIs(other.state, KeyDecisionState.MISMATCH)

    def test_request_that_was_not_run_may_be_repeated(self) -> None:
        key = make_request_key(NOW)
        self.begin(key)
        self.records.end_not_run(key)
        self.assertIs(self.begin(key), KeyDecisionState.RUN)

    def test_unknown_outcome_is_never_run_again(self) -> None:
        key = make_request_key(NOW)
        self.begin(key)
        self.records.end_run(key, None)
        self.assertIs(self.begin(key), KeyDecisionState.UNKNOWN)

    def test_key_that_an_earlier_holder_may_have_run_is_refused(self) -> None:
        # The earlier holder may have accepted this key just before the takeover.
        latest = BEGAN_AT + CLOCK_ERROR_MAX_S + KEY_FUTURE_TOLERANCE_S
        for made_at in (0.0, BEGAN_AT - 1, BEGAN_AT, latest):
            self.assertIs(
                self.begin(make_request_key(made_at)), KeyDecisionState.UNKNOWN
            )

    def test_key_from_the_future_is_refused(self) -> None:
        key = make_request_key(NOW + KEY_FUTURE_TOLERANCE_S + 1)
        self.assertIs(self.begin(key), KeyDecisionState.FROM_THE_FUTURE)

    def test_evicted_key_is_refused_and_not_run_again(self) -> None:
        keys = [make_request_key(NOW + number / 100) for number in range(50)]
        for key in keys:
            self.assertIs(self.begin(key), KeyDecisionState.RUN)
            self.records.end_run(key, RESPONSE)
        self.assertLessEqual(len(self.records), 10)
        states = {self.begin(key) for key in keys}
        self.assertEqual(states, {KeyDecisionState.UNKNOWN, KeyDecisionState.REPLAY})

    def test_old_key_is_evicted_and_refused(self) -> None:
        key = make_request_key(NOW)
        self.begin(key)
        self.records.end_run(key, RESPONSE)
        later = NOW + RECORD_LIFETIME_S + 1
        self.assertIs(self.begin(make_request_key(later), later), KeyDecisionState.RUN)
        self.assertIs(self.begin(key, later), KeyDecisionState.UNKNOWN)

    def test_recorded_responses_are_bounded(self) -> None:
        large = RecordedResponse(200, (), b"x" * 600)
        keys = [make_request_key(NOW) for _ in range(2)]
        for key in keys:
            self.begin(key)
            self.records.end_run(key, large)
        self.assertIs(self.begin(keys[0]), KeyDecisionState.REPLAY)
        self.assertIs(self.begin(keys[1]), KeyDecisionState.UNKNOWN)
