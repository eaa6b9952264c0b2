"""
Test keyed requests at daemons that hold a shard, lose it and take it over.

A repeat that reaches a new holder, or a holder that paused after its lease check, must
not run a request a second time. The new holder has no records of the previous one.
"""

from collections.abc import Callable
from dataclasses import replace
from unittest import TestCase

from result import Err, Ok, Result

from corianderhold.coordination.call import (
    CallContext,
    InlineBody,
    RequestBody,
    Response,
)
from corianderhold.coordination.once.keeper import OnceKeeper
from corianderhold.coordination.retry import RetryBudget
from corianderhold.ids import CallId, InstanceId
from corianderhold.protocol.verdict import (
    Reason,
    Refusal,
    RunState,
    refuse_may_have_run,
    refuse_not_run,
)
from corianderhold.state.lease.model import ShardId
from tests.common.calls import make_context
from tests.common.clock import FakeClock
from tests.common.keys import make_key

SETTLED_S = 60.0


class FakeGuard:
    """Hold all shards in the term set by the test, or none."""

    def __init__(self, term: int | None) -> None:
        self.term = term
        self.pause: Callable[[], None] = lambda: None

    def find_tenure(self, shard: ShardId) -> int | None:
        self.pause()
        return self.term

    def find_holder(self, shard: ShardId) -> InstanceId | None:
        return InstanceId("other")


class CountingRouter:
    """Count the requests run, and respond or refuse as set by the test."""

    def __init__(self) -> None:
        self.runs = 0
        self.refusal: Refusal | None = None

    def route(
        self, context: CallContext, body: RequestBody, retries: RetryBudget
    ) -> Result[Response, Refusal]:
        assert context.idempotency_key is None
        if self.refusal is not None:
            return Err(self.refusal)
        self.runs += 1
        return Ok(Response(200, (), b"done", iter(()), lambda: None))

    def cancel(self, call_id: CallId) -> None:
        raise AssertionError(call_id)


class OnceKeeperTests(TestCase):
    """Check repeats of requests with one key."""

    def setUp(self) -> None:
        self.clock = FakeClock()
        self.router = CountingRouter()
        self.guard = FakeGuard(1)
        self.keeper = OnceKeeper(self.guard, self.router, self.clock)
        self.keeper.observe_tenures()
        self.clock.advance(SETTLED_S)

    def send(
        self, key: str, keeper: OnceKeeper | None = None
    ) -> Result[Response, Refusal]:
        context = replace(make_context(idempotent=False), idempotency_key=key)
        return (keeper or self.keeper).run(context, InlineBody(b""), RetryBudget(0))

    def make_fresh_key(self) -> str:
        return make_key(self.clock.read_wall())

    def test_repeat_gets_the_recorded_response(self) -> None:
        key = self.make_fresh_key()
        self.assertEqual(self.send(key).unwrap().body, b"done")
        self.assertEqual(self.send(key).unwrap().body, b"done")
        self.assertEqual(self.router.runs, 1)

    def test_key_of_another_version_is_refused_with_what_is_accepted(self) -> None:
        for key in ("", "abc", "123e4567-e89b-42d3-a456-426614174000"):
            refusal = self.send(key).unwrap_err()
            self.assertEqual(refusal.reason, Reason.REQUEST_MALFORMED)
            self.assertIn("version 7", refusal.detail)
            self.assertTrue(refusal.not_run)

    def test_daemon_without_the_shard_names_the_holder(self) -> None:
        self.guard.term = None
        refusal = self.send(self.make_fresh_key()).unwrap_err()
        self.assertEqual((refusal.reason, refusal.detail), (Reason.NOT_HOLDER, "other"))
        self.assertTrue(refusal.not_run)

    def test_request_that_did_not_run_may_be_repeated(self) -> None:
        key = self.make_fresh_key()
        self.router.refusal = refuse_not_run(Reason.QUEUE_FULL)
        self.assertTrue(self.send(key).unwrap_err().not_run)
        self.router.refusal = None
        self.assertIsInstance(self.send(key), Ok)

    def test_request_that_may_have_run_is_not_repeated(self) -> None:
        key = self.make_fresh_key()
        self.router.refusal = refuse_may_have_run(Reason.PEER_SILENT)
        self.send(key)
        self.router.refusal = None
        refusal = self.send(key).unwrap_err()
        self.assertEqual(refusal.reason, Reason.REPEAT_UNKNOWN)
        self.assertIs(refusal.run_state, RunState.MAY_HAVE_RUN)
        self.assertEqual(self.router.runs, 0)

    def test_key_runs_once_across_a_takeover(self) -> None:
        key = self.make_fresh_key()
        self.send(key)
        successor = OnceKeeper(FakeGuard(2), self.router, self.clock)
        successor.observe_tenures()
        refusal = self.send(key, successor).unwrap_err()
        self.assertEqual(refusal.reason, Reason.REPEAT_UNKNOWN)
        self.clock.advance(SETTLED_S)
        self.assertIsInstance(self.send(key, successor), Err)
        self.assertIsInstance(self.send(self.make_fresh_key(), successor), Ok)
        self.assertEqual(self.router.runs, 2)

    def test_pause_during_the_lease_check_admits_no_key_from_the_future(self) -> None:
        key = make_key(self.clock.read_wall() + SETTLED_S)
        self.guard.pause = lambda: self.clock.advance(SETTLED_S)
        refusal = self.send(key).unwrap_err()
        self.assertEqual(refusal.reason, Reason.REQUEST_MALFORMED)
        self.assertEqual(self.router.runs, 0)

    def test_repeat_is_refused_after_the_shard_was_lost_and_regained(self) -> None:
        key = self.make_fresh_key()
        self.guard.term = 3
        refusal = self.send(key).unwrap_err()
        self.assertEqual(refusal.reason, Reason.REPEAT_UNKNOWN)
