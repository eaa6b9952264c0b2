"""Test what is read from a target's response headers about the target itself."""

from unittest import TestCase

from corianderhold.coordination.owner.notices import NO_NOTICE, parse_notice
from corianderhold.protocol.headers import HeaderNames
from corianderhold.protocol.peer.messages import Header, TargetNotice

NAMES = HeaderNames()


def parse(**values: str) -> TargetNotice:
    """Parse headers that are given by their field of `HeaderNames`."""
    headers = tuple(
        Header(getattr(NAMES, name).lower(), value) for name, value in values.items()
    )
    return parse_notice(headers, NAMES)


class ParseNoticeTests(TestCase):
    """Parse the headers of single responses."""

    def test_limit_is_a_decimal_number(self) -> None:
        self.assertEqual(parse(rate_limit="22.8"), TargetNotice(rate_limit=22.8))
        self.assertEqual(parse(rate_limit="0"), TargetNotice(rate_limit=0.0))

    def test_malformed_limit_is_ignored(self) -> None:
        for value in ("", "many", "-1", "nan", "inf", "1,5", "1" * 400):
            self.assertEqual(parse(rate_limit=value), NO_NOTICE, value)

    def test_leaving_is_announced_by_one_value_only(self) -> None:
        self.assertEqual(parse(leaving="1"), TargetNotice(leaving=True))
        for value in ("0", "", "true"):
            self.assertEqual(parse(leaving=value), NO_NOTICE, value)
