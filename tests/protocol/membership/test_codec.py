"""
Test the encoding and authentication of membership messages.

Anyone can send bytes to the gossip port; no bytes may raise any other error than
MalformedMessageError, and datagrams without the fleet secret must be rejected.
"""

from contextlib import suppress
from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st

from corianderhold.ids import InstanceId
from corianderhold.protocol.membership.authentication import (
    DatagramAuthenticator,
    Rejection,
)
from corianderhold.protocol.membership.codec import (
    decode_claim,
    decode_datagram,
    decode_departure_reply,
    decode_departure_request,
    decode_member,
    decode_reply,
    decode_request,
    encode_claim,
    encode_datagram,
    encode_departure_reply,
    encode_departure_request,
    encode_member,
    encode_reply,
    encode_request,
)
from corianderhold.protocol.membership.model import (
    Datagram,
    DatagramKind,
    DepartureReply,
    DepartureRequest,
    MalformedMessageError,
    SyncRecord,
    SyncReply,
    SyncRequest,
)
from corianderhold.state.membership.model import (
    Address,
    Member,
    MemberState,
    TargetState,
)
from corianderhold.state.membership.target import Departure
from tests.common.membership import build_member

NUMBERS = st.integers(-(2**63), 2**63 - 1)
MEMBERS = st.builds(
    build_member,
    st.integers(0, 9999),
    st.integers(0, 2**62),
    st.integers(0, 2**31 - 1),
    st.sampled_from(MemberState),
    st.sampled_from(TargetState),
    st.none() | st.text(max_size=20),
)
DATAGRAMS = st.builds(
    Datagram,
    st.sampled_from(DatagramKind),
    NUMBERS,
    st.text(max_size=20).map(InstanceId),
    st.none() | st.text(max_size=20).map(InstanceId),
    st.none() | st.builds(Address, st.just("::1"), st.integers(1, 65535)),
    st.lists(st.binary(max_size=100), max_size=20).map(tuple),
    st.lists(st.binary(max_size=30), max_size=20).map(tuple),
)
DECODERS = (
    decode_claim,
    decode_datagram,
    decode_departure_reply,
    decode_departure_request,
    decode_member,
    decode_request,
    decode_reply,
)
DEPARTURES = st.builds(
    Departure,
    st.text(max_size=20),
    st.none() | st.integers(0, 2**63 - 1),
    st.booleans(),
)


class CodecTests(TestCase):
    """Encode and decode every message, and decode invalid bytes."""

    @given(MEMBERS)
    def test_member_survives(self, member: Member) -> None:
        self.assertEqual(decode_member(encode_member(member)), member)

    @given(MEMBERS)
    def test_claim_names_the_announcement(self, member: Member) -> None:
        claim = decode_claim(encode_claim(member))
        self.assertEqual(claim.instance, member.instance)
        self.assertEqual(claim.incarnation, member.incarnation)
        self.assertEqual(claim.sequence, member.sequence)
        self.assertIs(claim.state, member.state)

    @given(DATAGRAMS)
    def test_datagram_survives(self, datagram: Datagram) -> None:
        self.assertEqual(decode_datagram(encode_datagram(datagram)), datagram)

    def test_synchronisation_messages_round_trip(self) -> None:
        record = SyncRecord(build_member(1), 7)
        request = SyncRequest((1, -1, 0), "daemon-0001", (record,))
        self.assertEqual(decode_request(encode_request(request)), request)
        reply = SyncReply((3, 63), (record, record), last=True)
        self.assertEqual(decode_reply(encode_reply(reply)), reply)

    @given(st.lists(DEPARTURES, max_size=4).map(tuple), st.integers(0, 10**9))
    def test_departures_survive(
        self, departures: tuple[Departure, ...], uptime_s: int
    ) -> None:
        request = DepartureRequest(departures)
        encoded = encode_departure_request(request)
        self.assertEqual(decode_departure_request(encoded), request)
        reply = DepartureReply(departures, float(uptime_s))
        self.assertEqual(decode_departure_reply(encode_departure_reply(reply)), reply)

    @given(st.binary(max_size=200))
    def test_random_bytes_raise_only_malformed_message(self, data: bytes) -> None:
        for decode in DECODERS:
            with suppress(MalformedMessageError):
                decode(data)

    @given(MEMBERS, st.integers(0, 200), st.integers(1, 255))
    def test_changed_bytes_raise_only_malformed_message(
        self, member: Member, place: int, change: int
    ) -> None:
        data = bytearray(encode_member(member))
        data[place % len(data)] ^= change
        with suppress(MalformedMessageError):
            decode_member(bytes(data))


class DatagramAuthenticationTests(TestCase):
    """Verify datagrams that were signed with the same or another secret."""

    def test_only_the_same_secret_verifies(self) -> None:
        sealed = DatagramAuthenticator(b"one").sign(b"payload")
        self.assertEqual(
            DatagramAuthenticator(b"one").verify(sealed).unwrap(), b"payload"
        )
        self.assertEqual(
            DatagramAuthenticator(b"two").verify(sealed).unwrap_err(), Rejection.FOREIGN
        )

    @given(st.integers(0, 23), st.integers(1, 255))
    def test_any_changed_byte_is_rejected(self, place: int, change: int) -> None:
        seal = DatagramAuthenticator(b"one")
        sealed = bytearray(seal.sign(b"payload"))
        sealed[place] ^= change
        self.assertTrue(seal.verify(bytes(sealed)).is_err())
