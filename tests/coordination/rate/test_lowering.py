"""
Test when a lowered rate or burst takes effect across the fleet.

Entries learn of a new configuration version at different times. An entry that uses the
old limit for too long exceeds the new one; an entry that drops it too early refuses
requests that are still allowed.
"""

from dataclasses import dataclass, replace
from unittest import TestCase

from corianderhold.coordination.rate.limits import (
    Limit,
    TimedLimit,
    create_immediate_limit,
)
from corianderhold.coordination.rate.slices import SliceTable
from corianderhold.ids import OrganisationId
from corianderhold.state.configuration.model import Organisation
from tests.common.slice_fleet import SliceFleet, build_configuration

OLD = Organisation(OrganisationId("archive"), 120.0, 120.0)
NEW = replace(OLD, rate=30.0, burst=30.0)
HALF = replace(OLD, rate=60.0, burst=60.0)
DELAY_S = 2.5
WINDOW_S = 5.0
SLACK = 20.0
WARM_UP_S = 8.0
DOMAINS = 6
SEEDS = (1, 2)


@dataclass
class LoweringScenario:
    """Versions accepted after the warm-up; entries learn them up to DELAY_S late."""

    entries: int
    seed: int
    versions: dict[float, Organisation]
    delay_s: float = DELAY_S

    def run(self, quiet_s: float, demand: float, seconds: float) -> list[float]:
        """Send `demand` per second after `quiet_s`; return the times of admission."""
        fleet = SliceFleet(
            [OLD], DOMAINS, self.entries // DOMAINS, self.seed, SLACK, self.delay_s, 0.1
        )
        fleet.run(WARM_UP_S)
        began_at = fleet.clock.read_monotonic()
        deliveries = []
        for number, (accepted_at, organisation) in enumerate(self.versions.items()):
            configuration = build_configuration(number + 2, organisation)
            for entry in fleet.entries.values():
                learnt_at = accepted_at + fleet.random.uniform(0.0, DELAY_S)
                deliveries.append((learnt_at, accepted_at, entry, configuration))
        deliveries.sort(key=lambda delivery: delivery[0])
        admitted, due = [], 0.0
        while (now := fleet.tick() - began_at) < seconds:
            while deliveries and deliveries[0][0] <= now:
                _, accepted_at, entry, configuration = deliveries.pop(0)
                entry.configuration.mark_verified(began_at + accepted_at)
                entry.configuration.replace(configuration)
            due += demand * 0.05 if now >= quiet_s else 0.0
            while due >= 1.0:
                due -= 1.0
                entry = fleet.random.choice(list(fleet.entries.values()))
                if entry.charge(OLD):
                    admitted.append(now)
        return admitted


def find_highest_count(admitted: list[float], since: float) -> int:
    """Return the highest count admitted in a window from `since` on."""
    inside = [at for at in admitted if at >= since]
    return max(sum(at <= each < at + WINDOW_S for each in inside) for at in inside)


class LoweringTests(TestCase):
    """Check that the old limit is used exactly as long as it is allowed."""

    def test_new_limit_holds_in_every_window_after_the_delay(self) -> None:
        allowed = (NEW.rate * WINDOW_S + NEW.burst) * 1.1 + SLACK
        rapid_changes = {0.0: NEW, 0.4: HALF, 0.8: NEW}
        for entries, seed in ((24, 1), (24, 2), (78, 1)):
            for versions, quiet_s in (
                ({0.0: NEW}, 0.0),
                ({0.0: NEW}, 2.2),
                (rapid_changes, 0),
            ):
                scenario = LoweringScenario(entries, seed, versions)
                admitted = scenario.run(quiet_s, 3 * OLD.rate, 9.0)
                with self.subTest(entries=entries, seed=seed, quiet_s=quiet_s):
                    most = find_highest_count(admitted, max(versions) + DELAY_S)
                    self.assertLessEqual(most, allowed)
                    self.assertGreater(most, 0.6 * NEW.rate * WINDOW_S)

    def test_what_was_allowed_is_admitted_until_shortly_before_the_delay_ends(
        self,
    ) -> None:
        for entries, seed in ((24, 1), (24, 2), (78, 1)):
            demand, until_s = 0.9 * OLD.rate, DELAY_S - 0.3
            admitted = LoweringScenario(entries, seed, {0.0: NEW}).run(
                0.0, demand, until_s
            )
            self.assertGreater(len(admitted), 0.95 * demand * until_s)

    def test_lowering_is_not_postponed_by_later_versions(self) -> None:
        old, half, new = Limit(120, 120), Limit(60, 60), Limit(30, 30)
        limit = (
            create_immediate_limit(old)
            .change_to(new, 1.0, 3.0)
            .change_to(half, 2.0, 4.0)
        )
        self.assertEqual((limit.read(2.9), limit.read(3.0)), (old, half))
        raised = limit.change_to(Limit(150, 50), 2.5, 5.0)
        self.assertEqual(raised.read(2.9), Limit(150, 120))
        self.assertEqual(raised.read(3.0), Limit(150, 50))

    def test_bucket_is_reduced_at_the_scheduled_time(self) -> None:
        table = SliceTable()
        limit = TimedLimit(Limit(10.0, 10.0), Limit(1.0, 3.0), 2.0)
        table.set_slice(OLD.name, limit, 0.0)
        taken = [table.take(OLD.name, 3.0) <= 0 for _ in range(4)]
        self.assertEqual(taken, [True, True, True, False])

    def test_new_limit_holds_at_once_without_a_verified_time_or_an_old_limit(
        self,
    ) -> None:
        fleet = SliceFleet([OLD], 1, 1, 1, 0.0, DELAY_S)
        fleet.run(WARM_UP_S)
        (entry,) = fleet.entries.values()
        fleet.configuration = build_configuration(2, replace(NEW, burst=2.0))
        entry.configuration.replace(fleet.configuration)
        taken = [entry.charge(OLD) for _ in range(3)]
        self.assertEqual(taken, [True, True, False])
        entry.restart()
        entry.configuration.mark_verified(fleet.clock.read_monotonic())
        fleet.run(WARM_UP_S)
        taken = [entry.charge(OLD) for _ in range(3)]
        self.assertEqual(taken, [True, True, False])
