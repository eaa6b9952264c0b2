"""Test that what is in force never goes back, for readers and listeners."""

import threading
import unittest

from corianderhold.ids import Version
from corianderhold.state.configuration.holder import ConfigurationHolder
from corianderhold.state.configuration.model import Configuration

WAIT_LIMIT_S = 30.0


def make(version: int) -> Configuration:
    """Return an empty configuration of a version."""
    return Configuration(Version(version))


class ConfigurationHolderTest(unittest.TestCase):
    """Test the order of versions."""

    def setUp(self) -> None:
        """Create a holder with a listener."""
        self.holder = ConfigurationHolder()
        self.heard: list[int] = []

    def hear(self, configuration: Configuration) -> None:
        """Note the version that a listener gets."""
        self.heard.append(configuration.version)

    def test_older_and_equal_versions_are_turned_down(self) -> None:
        self.holder.add_listener(self.hear)
        answers = [self.holder.replace(make(each)) for each in (2, 1, 2, 3)]
        self.assertEqual(answers, [True, False, False, True])
        self.assertEqual((self.heard, self.holder.current.version), ([2, 3], 3))

    def test_late_listener_gets_what_is_in_force(self) -> None:
        self.holder.add_listener(self.hear)
        self.assertEqual(self.heard, [])
        self.holder.replace(make(5))
        late: list[int] = []
        self.holder.add_listener(lambda each: late.append(each.version))
        self.assertEqual((self.heard, late), ([5], [5]))

    def test_slow_listener_does_not_get_an_older_version_last(self) -> None:
        entered, newer_tried = threading.Event(), threading.Event()

        def listen(configuration: Configuration) -> None:
            if configuration.version == 1:
                entered.set()
                newer_tried.wait(0.2)  # ends at once where versions can overtake
            self.hear(configuration)

        def replace_by_newer() -> None:
            self.holder.replace(make(2))
            newer_tried.set()

        self.holder.add_listener(listen)
        first = threading.Thread(target=self.holder.replace, args=(make(1),))
        second = threading.Thread(target=replace_by_newer)
        first.start()
        self.assertTrue(entered.wait(WAIT_LIMIT_S))
        second.start()
        first.join(WAIT_LIMIT_S)
        second.join(WAIT_LIMIT_S)
        self.assertEqual(self.heard, [1, 2])

    def test_proof_of_a_complete_view_never_grows_older(self) -> None:
        for time_s in (7.0, 5.0):
            self.holder.mark_verified(time_s)
        self.assertEqual(self.holder.verified_at, 7.0)
