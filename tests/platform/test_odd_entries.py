"""
Test entries of another writer among those of the servers and the operator.

An odd entry is refused or skipped. Guards against one that ends a thread, stops a
reader, or is taken for a server.
"""

import json
import math
from unittest import TestCase
from unittest.mock import patch

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from corianderhold.clock import SystemClock
from corianderhold.ids import FailureDomainId, Offset
from corianderhold.protocol.store.model import AppendFailure, StreamName
from corianderhold.state.configuration.codec import decode_record
from corianderhold.state.membership.model import Address
from corianderhold.transport.store.http import HttpResponse, HttpStore
from corianderhold_platform.configuration import encode_document
from corianderhold_platform.errors import DECODE_ERRORS
from corianderhold_platform.log import PlatformLog
from corianderhold_platform.records import decode_newest_page
from corianderhold_platform.targets import TargetApplication
from tests.common.calls import RecordingRegistrar, call_application
from tests.common.odd import NESTED, NUMBERS, generate_objects
from tests.common.ports import find_free_port
from tests.platform.documents import write_document
from tests.platform.store import PlatformStore
from tests.platform.test_targets import HEARTBEAT

DOMAINS = (FailureDomainId("west-a"),)
FIELDS = ("address", "info", "status", "born", "service", "slots", "state", "seq")
QUICK = settings(
    deadline=None, max_examples=150, suppress_health_check=list(HealthCheck)
)


class HeartbeatTests(TestCase):
    """Send odd heartbeats and deregistrations."""

    def setUp(self) -> None:
        self.registrar = RecordingRegistrar()
        self.application = TargetApplication(self.registrar)

    def send(self, name: str, text: str) -> str:
        environ = {
            "PATH_INFO": "/corianderhold/rpc",
            "QUERY_STRING": f"call=instances.{name}&of=i-1",
        }
        data = text.encode(errors="surrogatepass")
        return call_application(self.application, environ, data)[0]

    def check_announced(self) -> None:
        """Check that all values that were taken are usable."""
        for each in self.registrar.announced:
            self.assertTrue(math.isfinite(each.cold_s))
            self.assertGreaterEqual(each.cold_s, 0.0)
            self.assertLess(each.slots or 0, 2**31)
            json.dumps(each.started)
            self.assertTrue(0 < each.address.port < 65536)
        self.registrar.announced.clear()

    def test_values_out_of_range_are_refused(self) -> None:
        text = json.dumps(HEARTBEAT)
        for field in ("slots", "seq", "cold_remaining_s", "born"):
            parts = text.split(f'"{field}": ')
            rest = parts[1][parts[1].index("}" if "}" in parts[1] else ",") :]
            for number in NUMBERS:
                odd = parts[0] + f'"{field}": {number}' + rest
                if field == "born":
                    odd = parts[0] + f'"born": {number}}}'
                if (field, number) == ("cold_remaining_s", "-1"):
                    continue  # the target is cold no more
                with self.subTest(field=field, number=number[:8]):
                    self.assertEqual(self.send("heartbeat", odd)[:3], "400")
        self.assertEqual(self.registrar.announced, [])

    def test_nested_texts_are_refused(self) -> None:
        for name in ("heartbeat", "deregister"):
            self.assertEqual(self.send(name, NESTED)[:3], "400")

    @QUICK
    @given(st.sampled_from(["heartbeat", "deregister"]), generate_objects(FIELDS))
    def test_any_text_is_answered(self, name: str, text: str) -> None:
        self.setUp()
        self.assertIn(self.send(name, text)[:3], ("200", "400"))
        self.check_announced()


class RecordTests(TestCase):
    """Decode odd pages and documents."""

    @QUICK
    @given(generate_objects(("items", "end", "has_more")))
    def test_newest_page_raises_no_other_error(self, text: str) -> None:
        try:
            decode_newest_page(text.encode(errors="surrogatepass"))
        except DECODE_ERRORS:
            return

    @QUICK
    @given(
        generate_objects(("version", "routes", "services", "tenants", "limits")),
        st.sampled_from(["routes", "services", "tenants"]),
        generate_objects(("columns", "rows")),
    )
    def test_document_raises_no_other_error(
        self, text: str, table: str, content: str
    ) -> None:
        for document in (text, f'{{"version":7,"{table}":{content}}}'):
            try:
                data = document.encode(errors="surrogatepass")
                encoded = encode_document(data, DOMAINS, Offset(1))
            except DECODE_ERRORS:
                continue
            decode_record(encoded)

    def test_odd_items_are_left_out_of_the_newest_page(self) -> None:
        good = '{"key": "b", "value": "eA==", "offset": 2}'
        odd = [
            '{"key": "a", "value": "eA==", "offset": 1e400}',
            '{"key": 7, "value": "eA==", "offset": 1}',
            '{"key": "a", "value": 5, "offset": 1}',
            '{"key": "a", "value": "x", "offset": 1}',
            '{"value": "eA==", "offset": 1}',
            "null",
            "[]",
        ]
        for item in odd:
            text = f'{{"items": [{item}, {good}], "end": 9, "has_more": false}}'
            with self.subTest(item):
                page = decode_newest_page(text.encode())
                self.assertEqual([each.key for each in page.records], ["b"])


class StoreTests(TestCase):
    """Read odd records from the platform's store."""

    def setUp(self) -> None:
        address = Address("127.0.0.1", find_free_port())
        self.store = PlatformStore(address)
        self.store.start()
        self.addCleanup(self.store.stop)
        self.log = PlatformLog(address, SystemClock(), DOMAINS)

    def test_odd_documents_are_skipped_and_the_others_hold(self) -> None:
        self.store.put("keyed.op", "config", write_document(6))
        odd = [NESTED, '{"version": 1e400}', '{"version":7,"routes":{"columns":[]}}']
        for text in odd:
            self.store.put("keyed.op", "config", text.encode())
        page = self.log.read(StreamName.CONFIGURATION, Offset(0), 100, 5.0).unwrap()
        texts = [record.data for record in page.records]
        self.assertTrue(texts[0])
        self.assertEqual(texts[1:], [""] * len(odd))

    def test_odd_answer_to_an_append_is_an_unknown_outcome(self) -> None:
        bodies = (b"", b"{}", NESTED.encode(), b'{"offset":1e400}', b'{"offset":"x"}')
        for body in bodies:
            answer = HttpResponse(200, body)
            with patch.object(HttpStore, "exchange", return_value=answer):
                outcome = self.log.append(StreamName.MEMBERS, "x", 5.0)
            self.assertEqual(outcome.unwrap_err(), AppendFailure.UNKNOWN, body[:20])
