"""
Test publishing with lost responses and concurrent changes.

Guards against a change that is reported as refused but takes effect later, that is
applied twice after a retry, and against two winners of one base version.
"""

from corianderhold.coordination.configuration.const import ANTI_ENTROPY_INTERVAL_S
from corianderhold.coordination.configuration.publisher import (
    PublishOutcome,
    PublishResult,
    RefusalReason,
)
from corianderhold.ids import ServiceName
from corianderhold.state.configuration.records import Delta
from tests.common.changes import make_change
from tests.common.faults import FaultyLog
from tests.coordination.configuration.case import (
    PUBLISH_TIMEOUT_S,
    SpreadTestCase,
    limit_concurrency,
)


class PublisherTests(SpreadTestCase):
    """Check that outcomes are accurate and one of concurrent changes wins."""

    def get_way(self, number: int) -> FaultyLog:
        return self.ways[f"10.0.0.{number}"]

    def test_accepted_change_is_in_force_everywhere(self) -> None:
        published = self.publish(self.get_daemon(0), "x", 1, 5)
        self.assertEqual(published.outcome, PublishOutcome.ACCEPTED)
        self.assertEqual(published.version, 2)
        self.settle(2)

    def test_accepted_change_is_pushed_before_heads_are_compared(self) -> None:
        self.publish(self.get_daemon(0), "x", 1, 5)
        self.fleet.run(ANTI_ENTROPY_INTERVAL_S / 5)
        self.assertGreater(self.fleet.in_force(2), len(self.fleet.daemons) / 2)

    def test_lost_append_response_is_resolved_by_reading_back(self) -> None:
        self.get_way(0).lose_answers = True
        published = self.publish(self.get_daemon(0), "x", 1, 5)
        self.assertEqual(published.outcome, PublishOutcome.ACCEPTED)
        self.settle(2)

    def test_append_that_arrives_late_is_unknown_first_and_counts_once(self) -> None:
        self.get_way(0).hold_appends = True
        published = self.publish(self.get_daemon(0), "x", 1, 5)
        self.assertEqual(published.outcome, PublishOutcome.UNKNOWN)
        self.assertGreater(len(self.get_way(0).held), 1)
        self.get_way(0).release()
        resolved = self.make_publisher(self.get_daemon(0)).resolve(published.change_id)
        self.assertEqual(resolved.outcome, PublishOutcome.ACCEPTED)
        self.settle(2)

    def test_late_append_loses_to_a_change_made_meanwhile(self) -> None:
        self.get_way(0).hold_appends = True
        self.publish(self.get_daemon(0), "late", 1, 5)
        winner = self.publish(self.get_daemon(1), "winner", 1, 6)
        self.assertEqual(winner.outcome, PublishOutcome.ACCEPTED)
        self.get_way(0).release()
        late = self.make_publisher(self.get_daemon(0)).resolve(
            make_change("late", 1, Delta()).change_id
        )
        self.assertEqual(late.reason, RefusalReason.LOST_RACE)
        self.settle(2)

    def test_unreachable_store_is_refused_as_not_appended(self) -> None:
        self.get_way(0).cut = True
        published = self.publish(self.get_daemon(0), "x", 1, 5)
        self.assertEqual(published.outcome, PublishOutcome.REFUSED)
        self.assertEqual(published.reason, RefusalReason.NOT_APPENDED)

    def test_one_of_two_racing_operators_wins(self) -> None:
        self.race(2)

    def test_one_of_three_racing_operators_wins(self) -> None:
        self.race(3)

    def race(self, operators: int) -> None:
        """Append the next operator's change before each operator's own append."""
        results: dict[int, PublishResult] = {}

        def publish_from(number: int) -> None:
            if number + 1 < operators:
                way = self.get_way(number)
                way.before_append = lambda: publish_from(number + 1)
            results[number] = self.publish(
                self.get_daemon(number), f"r{number}", 1, 10 + number
            )

        publish_from(0)
        winner = results.pop(operators - 1)
        self.assertEqual(winner.outcome, PublishOutcome.ACCEPTED)
        for lost in results.values():
            self.assertEqual(lost.reason, RefusalReason.LOST_RACE)
            assert lost.lost_to is not None
            self.assertEqual(lost.lost_to.change_id, winner.change_id)
            self.assertEqual(lost.current_version, 2)
        rebased = self.publish(self.get_daemon(0), "rebased", 2, 10)
        self.assertEqual(rebased.outcome, PublishOutcome.ACCEPTED)
        self.settle(3)

    def test_invalid_change_is_refused_with_its_faults_before_any_append(self) -> None:
        change = make_change("x", 1, Delta(removed_services=(ServiceName("none"),)))
        published = self.make_publisher(self.get_daemon(0)).publish(
            change, PUBLISH_TIMEOUT_S
        )
        self.assertEqual(published.reason, RefusalReason.INVALID)
        self.assertEqual(published.faults[0].name, "none")
        self.assertEqual(self.get_way(0).appends, 0)
        publisher = self.make_publisher(self.get_daemon(0))
        publisher.publish(change, PUBLISH_TIMEOUT_S)
        self.assertEqual(publisher.resolve(change.change_id), published)

    def test_repeated_change_id_returns_the_first_outcome(self) -> None:
        first = self.publish(self.get_daemon(0), "x", 1, 5)
        again = self.publish(self.get_daemon(0), "x", 1, 5)
        self.assertEqual((again.outcome, again.version), (first.outcome, 2))
        other = make_change("x", 2, limit_concurrency(9))
        refused = self.make_publisher(self.get_daemon(0)).publish(
            other, PUBLISH_TIMEOUT_S
        )
        self.assertEqual(refused.reason, RefusalReason.CHANGE_ID_USED)

    def test_outcome_is_known_at_every_daemon(self) -> None:
        self.publish(self.get_daemon(0), "x", 1, 5)
        self.settle()
        for daemon in self.fleet.daemons.values():
            known = self.make_publisher(daemon).find_result(
                make_change("x", 1, Delta()).change_id
            )
            assert known is not None
            self.assertEqual(known.version, 2)

    def test_base_ahead_of_the_log_is_refused(self) -> None:
        published = self.publish(self.get_daemon(0), "x", 7, 5)
        self.assertEqual(published.reason, RefusalReason.BASE_AHEAD)
