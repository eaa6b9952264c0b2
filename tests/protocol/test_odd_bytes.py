"""
Test that bytes of any kind raise only the errors that callers of the decoders catch.

Any other error ends the thread or the link that reads them.
"""

from collections.abc import Callable
from contextlib import suppress
from unittest import TestCase

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from thrift.TSerialization import serialize
from voluptuous import Invalid

from corianderhold.errors import CorianderholdError
from corianderhold.ids import (
    FIRST_ERA,
    CallId,
    FailureDomainId,
    Incarnation,
    InstanceId,
    Offset,
    OrganisationId,
    Version,
)
from corianderhold.protocol.configuration.codec import (
    decode_exchange,
    encode_exchange,
)
from corianderhold.protocol.configuration.codec import (
    decode_reply as decode_exchange_reply,
)
from corianderhold.protocol.configuration.errors import ExchangeError
from corianderhold.protocol.configuration.messages import Exchange, Head
from corianderhold.protocol.lease.codec import (
    PromiseMessageError,
)
from corianderhold.protocol.lease.codec import (
    decode_reply as decode_promise_reply,
)
from corianderhold.protocol.lease.codec import (
    decode_request as decode_promise_request,
)
from corianderhold.protocol.lease.codec import (
    encode_request as encode_promise_request,
)
from corianderhold.protocol.lease.gen import ttypes as lease
from corianderhold.protocol.lease.model import PromiseAsk, PromiseRequest
from corianderhold.protocol.membership.codec import FACTORY as COMPACT_FACTORY
from corianderhold.protocol.membership.codec import (
    decode_reply as decode_sync_reply,
)
from corianderhold.protocol.membership.codec import encode_member
from corianderhold.protocol.membership.gen import ttypes as membership
from corianderhold.protocol.membership.model import MalformedMessageError
from corianderhold.protocol.peer.codec import decode_message, encode_message
from corianderhold.protocol.peer.errors import FrameError
from corianderhold.protocol.peer.gen import ttypes as peer
from corianderhold.protocol.peer.messages import (
    CallRefused,
    LoadReport,
    Pong,
    TargetNotice,
)
from corianderhold.protocol.rate.codec import (
    FACTORY,
    LoanMessageError,
    decode_reply,
    decode_request,
    encode_request,
)
from corianderhold.protocol.rate.gen import ttypes as rate
from corianderhold.protocol.rate.model import LoanAsk, LoanRequest
from corianderhold.protocol.verdict import Reason, refuse_not_run
from corianderhold.state.configuration.codec import (
    decode_configuration,
    decode_draft,
)
from corianderhold.state.configuration.codec import (
    decode_record as decode_configuration_record,
)
from corianderhold.state.lease.codec import decode_record as decode_lease_record
from corianderhold.state.lease.model import ShardId
from corianderhold.transport.store.schema import parse_end, parse_page
from tests.common.membership import build_member
from tests.common.odd import generate_objects

NAME = InstanceId("o1")
REFUSAL = refuse_not_run(Reason.QUARANTINED, 700, "detail")
LOAD = LoadReport(notice=TargetNotice(3.5, True, "t-1/1"))
EXCHANGE = Exchange(Head(Offset(1), Version(1), b"digest"))
ASK = LoanAsk(OrganisationId("schools"), 1, 1.0, 2.0, 3.0, 4.0)
LOANS = LoanRequest(NAME, Incarnation(1), 1, FailureDomainId("a"), False, (ASK,))
DECODERS: tuple[tuple[Callable[[bytes], object], type[CorianderholdError], bytes], ...]
DECODERS = (
    (decode_message, FrameError, encode_message(Pong(1, Incarnation(2), LOAD))),
    (
        decode_message,
        FrameError,
        encode_message(CallRefused(CallId("c"), REFUSAL, LOAD, 1)),
    ),
    (decode_exchange, ExchangeError, encode_exchange(EXCHANGE)),
    (decode_exchange_reply, ExchangeError, encode_exchange(EXCHANGE)),
    (
        decode_promise_request,
        PromiseMessageError,
        encode_promise_request(PromiseRequest((PromiseAsk(ShardId("s"), 1),))),
    ),
    (decode_promise_reply, PromiseMessageError, b"\x0f\x00\x01\x0b\x00\x00\x00\x00"),
    (decode_request, LoanMessageError, encode_request(LOANS)),
    (decode_reply, LoanMessageError, encode_request(LOANS)),
)
CONFIGURATION_FIELDS = ("version", "routes", "services", "base_version", "set")
RECORD_FIELDS = ("format", "kind", "body", "shard", "id", "number", "holder", "writer")
PAGE_FIELDS = ("first", "next", "records", "offset", "data")
QUICK = settings(
    deadline=None, max_examples=200, suppress_health_check=list(HealthCheck)
)


class OddBytesTests(TestCase):
    """Decode bytes that no encoder has written."""

    @QUICK
    @given(st.sampled_from(DECODERS), st.data())
    def test_changed_messages_raise_no_other_error(
        self,
        decoder: tuple[Callable[[bytes], object], type[CorianderholdError], bytes],
        data: st.DataObject,
    ) -> None:
        decode, error, valid = decoder
        changed = bytearray(valid)
        for _ in range(data.draw(st.integers(1, 4))):
            place = data.draw(st.integers(0, len(changed) - 1))
            changed[place] = data.draw(st.integers(0, 255))
        try:
            decode(bytes(changed[: data.draw(st.integers(0, len(changed)))]))
            decode(bytes(changed))
        except error:
            return

    def test_nested_structs_without_a_required_field_are_refused(self) -> None:
        load = peer.LoadReport(1, 2, 3, 4, None)
        ask = rate.LoanAsk("schools", 1, None, 2.0, 3.0, 4.0, False)
        grant = rate.LoanGrant("schools", 1, None, 2.0, 3.0)
        messages = (
            (peer.Frame(pong=peer.Pong(1, 2, load)), decode_message, FrameError),
            (
                rate.LoanRequest("o1", 1, 1, "a", False, [ask]),
                decode_request,
                LoanMessageError,
            ),
            (rate.LoanReply(True, [grant], "o1"), decode_reply, LoanMessageError),
            (
                lease.PromiseRequest([lease.PromiseAsk("s", None)]),
                decode_promise_request,
                PromiseMessageError,
            ),
        )
        for message, decode, error in messages:
            body = serialize(message, FACTORY)
            with self.subTest(type(message).__name__), self.assertRaises(error):
                decode(body)
        record = membership.SyncRecord(encode_member(build_member(1)), None)
        reply = serialize(membership.SyncReply([], [record], True), COMPACT_FACTORY)
        with self.assertRaises(MalformedMessageError):
            decode_sync_reply(reply)

    @QUICK
    @given(st.sampled_from(DECODERS), st.binary(max_size=80))
    def test_any_bytes_raise_no_other_error(
        self,
        decoder: tuple[Callable[[bytes], object], type[CorianderholdError], bytes],
        body: bytes,
    ) -> None:
        decode, error, _ = decoder
        try:
            decode(body)
        except error:
            return

    @QUICK
    @given(
        generate_objects(CONFIGURATION_FIELDS),
        generate_objects(RECORD_FIELDS),
        generate_objects(PAGE_FIELDS),
    )
    def test_any_text_is_decoded_or_refused(
        self, configuration: str, record: str, page: str
    ) -> None:
        decode_configuration(configuration)
        decode_draft(configuration)
        decode_configuration_record(record)
        decode_lease_record(record)
        body = page.encode(errors="surrogatepass")
        with suppress(Invalid):
            parse_page(body, Offset(0))
        with suppress(Invalid):
            parse_end(body, FIRST_ERA)
