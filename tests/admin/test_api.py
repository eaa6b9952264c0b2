"""Test the administration API over HTTP with the real publisher."""

import json
from dataclasses import dataclass
from typing import Any

from result import Ok
from urllib3 import HTTPConnectionPool
from urllib3.response import BaseHTTPResponse

from corianderhold.coordination.membership.errors import DepartureUnconfirmedError
from corianderhold.ids import KeyId
from corianderhold.protocol.verdict import Reason
from corianderhold.state.configuration.codec import decode_configuration
from corianderhold.state.configuration.entities import delta_to_json
from corianderhold.state.keys.authentication import authenticate_caller
from tests.admin.case import TOKEN, AdminTestCase
from tests.coordination.configuration.case import limit_concurrency


@dataclass
class ApiResponse:
    """Status, parsed body and headers of a response."""

    status: int
    body: Any
    headers: Any


class AdminApiTests(AdminTestCase):
    """Check responses, their status codes and the resulting log records."""

    def setUp(self) -> None:
        super().setUp()
        self.pool = HTTPConnectionPool(
            self.address.host, self.address.port, timeout=10.0
        )
        self.addCleanup(self.pool.close)

    def call(
        self, method: str, path: str, body: object = None, token: str | None = TOKEN
    ) -> ApiResponse:
        headers = {} if token is None else {"Authorization": f"Bearer {token}"}
        data = body if isinstance(body, bytes | None) else json.dumps(body).encode()
        response: BaseHTTPResponse = self.pool.request(
            method, path, body=data, headers=headers, retries=False
        )
        text = response.data.decode()
        is_json = response.headers["Content-Type"] == "application/json"
        return ApiResponse(
            response.status, json.loads(text) if is_json else text, response.headers
        )

    def publish_body(self, base: int, limit: int, change_id: str) -> dict[str, object]:
        draft = delta_to_json(limit_concurrency(limit))
        return {
            "base_version": base,
            "change_id": change_id,
            "author": "ada",
            "note": "more slots",
            **draft,
        }

    def test_token_is_required_except_for_health_and_metrics(self) -> None:
        for token in (None, "", "wrong", TOKEN + "x", "\u00e9"):
            for path in ("/v1/configuration", "/v1/status", "/v1/changes"):
                response = self.call("GET", path, token=token)
                self.assertEqual(response.status, 401, path)
                code = response.body["error"]["code"]
                self.assertEqual(code, "token_missing_or_wrong")
            self.assertEqual(self.call("POST", "/metrics", token=token).status, 401)
        for path in ("/health", "/metrics"):
            self.assertEqual(self.call("GET", path, token=None).status, 200)

    def test_without_a_token_in_the_settings_only_reads_are_answered(self) -> None:
        self.address = self.serve(self.daemon, token="")
        pool = HTTPConnectionPool(self.address.host, self.address.port, timeout=10.0)
        self.addCleanup(pool.close)
        read = pool.request("GET", "/v1/status", retries=False)
        self.assertEqual(read.status, 200)
        for headers in ({}, {"Authorization": "Bearer "}):
            write = pool.request("POST", "/v1/drain", headers=headers, retries=False)
            self.assertEqual(write.status, 403)
        self.assertFalse(self.drain.draining)

    def test_change_is_published_shown_and_in_the_audit_trail(self) -> None:
        response = self.call("POST", "/v1/changes", self.publish_body(1, 5, "x"))
        self.assertEqual((response.status, response.body["version"]), (201, 2))
        shown = self.call("GET", "/v1/configuration").body
        self.assertEqual(shown["services"][0]["max_concurrency"], 5)
        decoded = decode_configuration(json.dumps(shown))
        self.assertEqual(decoded, Ok(self.daemon.holder.current))
        newest = self.call("GET", "/v1/changes?limit=1").body["changes"]
        self.assertEqual(len(newest), 1)
        self.assertEqual(newest[0]["author"], "ada")
        self.assertEqual(newest[0]["note"], "more slots")
        self.assertEqual(newest[0]["outcome"], "accepted")
        self.settle()

    def test_lost_race_is_explained(self) -> None:
        self.call("POST", "/v1/changes", self.publish_body(1, 5, "first"))
        self.way.before_append = lambda: self.publish_elsewhere()
        lost = self.call("POST", "/v1/changes", self.publish_body(2, 6, "second"))
        self.assertEqual((lost.status, lost.body["reason"]), (409, "lost_race"))
        self.assertEqual(lost.body["lost_to"]["change_id"], "other")
        self.assertEqual(lost.body["current_version"], 3)
        explained = self.call("GET", "/v1/changes/second").body
        self.assertEqual(explained["reason"], "lost_race")
        self.assertEqual(explained["change"]["note"], "more slots")

    def test_quarantine_is_listed_and_released(self) -> None:
        fingerprint = bytes(range(16))
        self.quarantines.add(fingerprint, 300.0)
        (listed,) = self.call("GET", "/v1/quarantines").body["quarantines"]
        self.assertEqual(listed["fingerprint"], fingerprint.hex())
        self.assertEqual((listed["left_s"], listed["count"]), (300.0, 1))
        body = {"fingerprint": fingerprint.hex(), "author": "ada"}
        self.assertEqual(self.call("POST", "/v1/quarantines", body).status, 200)
        self.assertEqual(self.call("POST", "/v1/quarantines", body).status, 404)
        for wrong in ("", "xy", fingerprint.hex() + "00", 7):
            response = self.call(
                "POST", "/v1/quarantines", {**body, "fingerprint": wrong}
            )
            self.assertEqual(response.status, 400, wrong)

    def publish_elsewhere(self) -> None:
        self.publish(self.get_daemon(1), "other", 2, 9)

    def test_unknown_outcome_is_reported_and_resolved(self) -> None:
        self.way.hold_appends = True
        unknown = self.call("POST", "/v1/changes", self.publish_body(1, 5, "x"))
        self.assertEqual((unknown.status, unknown.body["outcome"]), (202, "unknown"))
        missing = self.call("GET", "/v1/changes/x")
        self.assertEqual(missing.status, 404)
        self.way.release()
        resolved = self.call("GET", "/v1/changes/x")
        self.assertEqual((resolved.status, resolved.body["version"]), (200, 2))

    def test_unreachable_store_is_answered_503(self) -> None:
        self.way.cut = True
        response = self.call("POST", "/v1/changes", self.publish_body(1, 5, "x"))
        self.assertEqual(
            (response.status, response.body["reason"]), (503, "not_appended")
        )

    def test_invalid_change_is_refused_with_its_faults(self) -> None:
        body = self.publish_body(1, 5, "x") | {"removed": {"services": ["none"]}}
        response = self.call("POST", "/v1/changes", body)
        self.assertEqual((response.status, response.body["reason"]), (422, "invalid"))
        self.assertEqual(response.body["faults"][0]["name"], "none")

    def test_bad_requests_are_refused_with_a_reason(self) -> None:
        good = self.publish_body(1, 5, "x")
        cases: list[tuple[str, str, object, int]] = [
            ("POST", "/v1/changes", b"{", 400),
            ("POST", "/v1/changes", b"[" * 5000, 400),
            ("POST", "/v1/changes", b'{"base_version": NaN}', 400),
            ("POST", "/v1/changes", [], 400),
            ("POST", "/v1/changes", good | {"base_version": "1"}, 400),
            ("POST", "/v1/changes", good | {"base_version": True}, 400),
            ("POST", "/v1/changes", good | {"change_id": "a b"}, 400),
            ("POST", "/v1/changes", good | {"author": ""}, 400),
            ("POST", "/v1/changes", good | {"set": {"services": [{}]}}, 400),
            ("POST", "/v1/changes", good | {"more": 1}, 400),
            ("GET", "/v1/changes?limit=0", None, 400),
            ("GET", "/v1/changes?limit=x", None, 400),
            ("GET", "/v1/changes?other=1", None, 404),
            ("POST", "/v1/keys", {"author": "ada"}, 400),
            ("POST", "/v1/keys", {"author": "ada", "organisation": "none"}, 404),
            ("POST", "/v1/keys/none/withdraw", {"author": "ada"}, 404),
            ("POST", "/v1/keys/k1/other", {"author": "ada"}, 404),
            ("POST", "/v1/keys/k1/rotate", {"author": "a", "overlap_s": -1}, 400),
            ("PUT", "/v1/changes", good, 405),
            ("GET", "/v1/none", None, 404),
            ("GET", "/", None, 404),
        ]
        for method, path, body, status in cases:
            response = self.call(method, path, body)
            case = f"{method} {path} {body!r:.60}"
            self.assertEqual(response.status, status, f"{case}: {response.body}")
            self.assertIn("message", response.body["error"], case)
        self.assertEqual(self.way.appends, 0)

    def test_key_is_granted_rotated_and_withdrawn(self) -> None:
        granted = self.call(
            "POST", "/v1/keys", {"author": "ada", "organisation": "radio"}
        )
        self.assertEqual(granted.status, 201)
        key_id = granted.body["key_id"]
        self.assert_key(granted.body["key"], None)
        path = f"/v1/keys/{key_id}"
        rotated = self.call(
            "POST", f"{path}/rotate", {"author": "ada", "overlap_s": 60}
        )
        self.assert_key(granted.body["key"], None)
        self.assert_key(rotated.body["key"], None)
        self.fleet.run(61.0)
        self.assert_key(granted.body["key"], Reason.KEY_EXPIRED)
        withdrawn = self.call(
            "POST", f"/v1/keys/{rotated.body['key_id']}/withdraw", {"author": "ada"}
        )
        self.assertEqual(withdrawn.status, 201)
        self.settle()
        self.assert_key(rotated.body["key"], Reason.KEY_WITHDRAWN)
        trail = json.dumps(self.call("GET", "/v1/changes").body)
        self.assertNotIn(granted.body["key"], trail)
        self.assertNotIn("digest", trail)

    def assert_key(self, text: str, reason: Reason | None) -> None:
        """Check a key at every daemon, once its change has reached all of them."""
        self.settle()
        now_s = self.fleet.clock.read_wall()
        for daemon in self.fleet.daemons.values():
            found = authenticate_caller(daemon.holder.current, text, now_s)
            self.assertEqual(found.err(), reason)

    def test_withdrawal_is_retried_after_a_lost_race(self) -> None:
        self.way.before_append = lambda: self.append_changes(1, 1)
        response = self.call("POST", "/v1/keys/k1/withdraw", {"author": "ada"})
        self.assertEqual((response.status, response.body["version"]), (201, 3))
        self.assertTrue(self.daemon.holder.current.keys[KeyId("k1")].withdrawn)
        again = self.call("POST", "/v1/keys/k1/withdraw", {"author": "ada"})
        self.assertEqual(again.status, 409)

    def test_status_shows_the_fleet(self) -> None:
        self.fleet.run(5.0)
        status = self.call("GET", "/v1/status").body
        self.assertEqual(status["configuration"]["version"], 1)
        self.assertLess(status["configuration"]["verified_age_s"], 5.0)
        self.assertEqual(len(status["members"]), 9)
        versions = {heard["version"] for heard in status["versions_heard"]}
        self.assertEqual(versions, {1})

    def test_drain_health_and_metrics(self) -> None:
        self.assertEqual(self.call("GET", "/health").body["version"], 1)
        self.readiness.close()
        self.assertEqual(self.call("GET", "/health").status, 503)
        self.readiness.open()
        self.assertEqual(self.call("POST", "/v1/drain").status, 202)
        self.assertTrue(self.drain.draining)
        self.assertEqual(self.call("GET", "/health").status, 503)
        self.daemon.metrics.record_duration("call", 0.002)
        text = self.call("GET", "/metrics").body
        self.assertIn("corianderhold_configuration_version 1\n", text)
        self.assertIn('corianderhold_call_seconds{quantile="0.99"} 0.002', text)

    def test_drain_that_a_restart_would_forget_is_answered_503(self) -> None:
        self.drain.error = DepartureUnconfirmedError("t1")
        reply = self.call("POST", "/v1/drain")
        self.assertEqual(reply.status, 503)
        self.assertEqual(reply.body["error"]["code"], "drain_unconfirmed")
        self.assertTrue(self.drain.draining)

    def test_evacuation_begins_and_ends(self) -> None:
        body = {"author": "ada", "domain": "d1", "active": True}
        response = self.call("POST", "/v1/evacuations", body)
        self.assertEqual((response.status, response.body["outcome"]), (200, "in_force"))
        listed = self.call("GET", "/v1/evacuations").body["evacuations"]
        self.assertEqual([each["domain"] for each in listed], ["d1"])
        status = self.call("GET", "/v1/status").body
        self.assertEqual(status["evacuations"], listed)
        self.call("POST", "/v1/evacuations", {**body, "active": False})
        response = self.call("GET", "/v1/evacuations")
        self.assertEqual(response.body["evacuations"], [])

    def test_evacuation_of_an_unknown_domain_is_refused(self) -> None:
        body = {"author": "ada", "domain": "nowhere", "active": True}
        response = self.call("POST", "/v1/evacuations", body)
        self.assertEqual(response.status, 404)
        response = self.call("POST", "/v1/evacuations", {**body, "active": "yes"})
        self.assertEqual(response.status, 400)
