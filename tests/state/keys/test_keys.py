"""
Test that only a valid key with its own secret authenticates a caller.

Keys are granted, rotated and withdrawn as changes of the configuration; withdrawn,
expired and forged keys must be refused, and secrets must not leak into records.
"""

import unittest
from dataclasses import replace

from result import Err, Ok

from corianderhold.ids import KeyId, OrganisationId
from corianderhold.protocol.verdict import Reason
from corianderhold.state.configuration.fold import FoldState, OutcomeKind
from corianderhold.state.configuration.model import Configuration
from corianderhold.state.configuration.records import Delta
from corianderhold.state.keys.authentication import (
    AuthenticatedCaller,
    authenticate_caller,
    reauthenticate_caller,
)
from corianderhold.state.keys.issue import (
    IssuedKey,
    KeyRefusal,
    build_opaque_key,
    grant_key,
    rotate_key,
    withdraw_key,
)
from tests.common.changes import BASE, fold_all, make_text
from tests.common.changes import RADIO as RADIO_ENTITY

NOW_S = 1.7e9
RADIO = OrganisationId("radio")


class KeyTest(unittest.TestCase):
    """Check keys over their whole life cycle, published through the fold."""

    def setUp(self) -> None:
        """Grant one key."""
        self.state, _ = fold_all([make_text("base", 0, BASE)])
        self.issued = grant_key(self.configuration, RADIO, NOW_S).unwrap()
        self.publish(self.issued.delta)
        self.caller = AuthenticatedCaller(self.issued.key.key_id, RADIO)

    @property
    def configuration(self) -> Configuration:
        """Return the configuration in force."""
        return self.state.configuration

    def publish(self, delta: Delta) -> FoldState:
        """Publish a delta that is accepted."""
        base = self.state.version
        self.state, outcomes = fold_all(
            [make_text(f"c{base}", base, delta)], self.state
        )
        self.assertEqual(outcomes[0].kind, OutcomeKind.ACCEPTED)
        return self.state

    def authenticate(
        self, text: str | None, now_s: float = NOW_S
    ) -> AuthenticatedCaller | Reason:
        """Return the authenticated caller or the reason of the refusal."""
        found = authenticate_caller(self.configuration, text, now_s)
        return found.err_value if isinstance(found, Err) else found.ok_value

    def reauthenticate(self) -> Reason | None:
        """Return why open connections of the granted key are no longer served."""
        return reauthenticate_caller(self.configuration, self.caller, NOW_S)

    def rotate(self, overlap_s: float) -> IssuedKey:
        """Rotate the granted key and publish the rotation."""
        rotated = rotate_key(
            self.configuration, self.caller.key_id, overlap_s, NOW_S
        ).unwrap()
        self.publish(rotated.delta)
        return rotated

    def test_granted_key_identifies_its_organisation(self) -> None:
        self.assertEqual(self.authenticate(self.issued.text), self.caller)

    def test_other_texts_are_refused_as_unknown(self) -> None:
        text = self.issued.text
        key_id, secret = text.split("_")[1:]
        wrong_last = "0" if secret[-1] != "0" else "1"
        for other in (
            text[:-1] + wrong_last,
            text[:-1],
            text + "0",
            text + "\n",
            text.upper(),
            f"ch_{'0' * 16}_{secret}",
            f"ch_{key_id}_",
            "ch__",
            "é" * 80,
            "\x00",
        ):
            self.assertEqual(self.authenticate(other), Reason.KEY_UNKNOWN, other)
        for missing in (None, ""):
            self.assertEqual(self.authenticate(missing), Reason.KEY_MISSING)

    def test_opaque_keys_of_any_format_are_found(self) -> None:
        for text in ("6wsjnbanfqasnmgkcuyj", "a b", "é", f"ch_x_{'0' * 64}"):
            key = build_opaque_key(text, RADIO)
            self.assertEqual(key, build_opaque_key(text, RADIO))
            self.assertNotIn(text, repr(key))
            self.publish(Delta(keys=(key,)))
            self.assertEqual(
                self.authenticate(text), AuthenticatedCaller(key.key_id, RADIO)
            )
            mixed = f"ch_{key.key_id}_{key.digest.partition('$')[2]}"
            for other in (text + "0", key.key_id, key.digest, mixed):
                self.assertEqual(self.authenticate(other), Reason.KEY_UNKNOWN, other)
            self.publish(Delta(keys=(replace(key, withdrawn=True),)))
            self.assertEqual(self.authenticate(text), Reason.KEY_WITHDRAWN)

    def test_secret_of_another_key_is_unknown(self) -> None:
        other = grant_key(self.configuration, RADIO, NOW_S).unwrap()
        self.publish(other.delta)
        mixed = f"ch_{self.caller.key_id}_{other.text.split('_')[2]}"
        self.assertEqual(self.authenticate(mixed), Reason.KEY_UNKNOWN)

    def test_withdrawn_key_is_refused_also_on_an_open_connection(self) -> None:
        delta = withdraw_key(self.configuration, self.caller.key_id).unwrap()
        self.assertIsNone(self.reauthenticate())
        self.publish(delta)
        self.assertEqual(self.authenticate(self.issued.text), Reason.KEY_WITHDRAWN)
        self.assertEqual(self.reauthenticate(), Reason.KEY_WITHDRAWN)
        forged = f"ch_{self.caller.key_id}_{'0' * 64}"
        self.assertEqual(self.authenticate(forged), Reason.KEY_UNKNOWN)
        revival = make_text("revival", self.state.version, self.issued.delta)
        _, outcomes = fold_all([revival], self.state)
        self.assertEqual(outcomes[0].kind, OutcomeKind.REFUSED)
        self.publish(Delta(removed_keys=(self.caller.key_id,)))
        self.assertEqual(self.authenticate(self.issued.text), Reason.KEY_UNKNOWN)
        self.assertEqual(self.reauthenticate(), Reason.KEY_UNKNOWN)

    def test_key_of_another_organisation_or_digest_is_refused(self) -> None:
        other = replace(RADIO_ENTITY, name=OrganisationId("school"))
        moved = replace(self.issued.key, organisation=other.name)
        self.publish(Delta(organisations=(other,), keys=(moved,)))
        self.assertEqual(self.reauthenticate(), Reason.KEY_UNKNOWN)
        later = replace(moved, digest=moved.digest.replace("hmac-sha256", "hmac-sha3"))
        self.publish(Delta(keys=(later,)))
        self.assertEqual(self.authenticate(self.issued.text), Reason.KEY_UNKNOWN)

    def test_rotated_key_overlaps_for_the_stated_time(self) -> None:
        rotated = self.rotate(60.0)
        successor = AuthenticatedCaller(rotated.key.key_id, RADIO)
        self.assertEqual(self.authenticate(self.issued.text, NOW_S + 59.9), self.caller)
        self.assertEqual(self.authenticate(rotated.text, NOW_S), successor)
        ended = self.authenticate(self.issued.text, NOW_S + 60.0)
        self.assertEqual(ended, Reason.KEY_EXPIRED)
        self.assertEqual(self.authenticate(rotated.text, NOW_S + 60.0), successor)

    def test_second_rotation_does_not_prolong_the_old_key(self) -> None:
        self.rotate(60.0)
        self.rotate(600.0)
        ended = self.authenticate(self.issued.text, NOW_S + 60.0)
        self.assertEqual(ended, Reason.KEY_EXPIRED)

    def test_invalid_requests_of_operators_are_refused(self) -> None:
        known, key_id = self.configuration, self.caller.key_id
        expired = replace(self.issued.key, expires_at=NOW_S)
        self.publish(Delta(keys=(expired,)))
        dead = self.publish(Delta(keys=(replace(expired, withdrawn=True),)))
        ended = replace(known, keys={key_id: expired})
        refusals = [
            grant_key(known, OrganisationId("nobody"), NOW_S),
            grant_key(known, RADIO, NOW_S, NOW_S),
            rotate_key(known, key_id, -1.0, NOW_S),
            rotate_key(known, key_id, float("nan"), NOW_S),
            rotate_key(known, KeyId("none"), 1.0, NOW_S),
            rotate_key(ended, key_id, 1.0, NOW_S),
            rotate_key(dead.configuration, key_id, 1.0, NOW_S),
            withdraw_key(dead.configuration, key_id),
            withdraw_key(known, KeyId("none")),
        ]
        expected = [
            KeyRefusal.ORGANISATION_UNKNOWN,
            KeyRefusal.EXPIRY_PAST,
            KeyRefusal.OVERLAP_OUT_OF_BOUNDS,
            KeyRefusal.OVERLAP_OUT_OF_BOUNDS,
            KeyRefusal.KEY_UNKNOWN,
            KeyRefusal.KEY_EXPIRED,
            KeyRefusal.KEY_WITHDRAWN,
            KeyRefusal.KEY_WITHDRAWN,
            KeyRefusal.KEY_UNKNOWN,
        ]
        self.assertEqual(refusals, [Err(each) for each in expected])
        self.assertIsInstance(grant_key(known, RADIO, NOW_S, NOW_S + 1), Ok)

    def test_secret_is_not_in_reprs_and_records(self) -> None:
        secret = self.issued.text.split("_")[2]
        self.assertNotIn(secret, repr(self.issued))
        self.assertNotIn(secret, repr(self.state))
        self.assertNotIn(secret, make_text("c", 1, self.issued.delta))
        other = grant_key(self.configuration, RADIO, NOW_S).unwrap()
        self.assertNotEqual(other.key.digest, self.issued.key.digest)
