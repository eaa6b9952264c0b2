"""Test that amounts of loans which are no numbers are refused."""

import math
from unittest import TestCase

from corianderhold.ids import (
    FailureDomainId,
    Incarnation,
    InstanceId,
    OrganisationId,
)
from corianderhold.protocol.rate.codec import (
    LoanMessageError,
    decode_reply,
    decode_request,
    encode_reply,
    encode_request,
)
from corianderhold.protocol.rate.model import (
    LoanAsk,
    LoanGrant,
    LoanReply,
    LoanRequest,
)

SCHOOLS = OrganisationId("schools")
ODD_AMOUNTS = (math.inf, -math.inf, math.nan, -1.0)


def make_request(*amounts: float) -> LoanRequest:
    capacity, returned, demand, wanted = amounts
    ask = LoanAsk(SCHOOLS, 1, capacity, returned, demand, wanted)
    sender = InstanceId("o1"), Incarnation(1)
    return LoanRequest(*sender, 1, FailureDomainId("west-a"), False, (ask,))


class LoanTests(TestCase):
    """Encode amounts and decode them."""

    def test_amounts_survive(self) -> None:
        request = make_request(1.0, 0.0, 3.5, 4.0)
        self.assertEqual(decode_request(encode_request(request)), request)
        grants = (LoanGrant(SCHOOLS, 1, 2.0, 3.0, 0.0),)
        reply = LoanReply(True, grants, InstanceId("o2"))
        self.assertEqual(decode_reply(encode_reply(reply)), reply)

    def test_amounts_that_are_no_numbers_are_refused(self) -> None:
        for odd in ODD_AMOUNTS:
            for place in range(4):
                amounts = [1.0] * 4
                amounts[place] = odd
                with self.subTest(odd), self.assertRaises(LoanMessageError):
                    decode_request(encode_request(make_request(*amounts)))
            for place in range(3):
                amounts = [1.0] * 3
                amounts[place] = odd
                grant = LoanGrant(SCHOOLS, 1, *amounts)
                reply = LoanReply(True, (grant,), InstanceId("o2"))
                with self.subTest(odd), self.assertRaises(LoanMessageError):
                    decode_reply(encode_reply(reply))
