"""
Test that the operator's documents are followed when the store is restored from a copy.

The store then assigns offsets again, so a position in a topic no longer tells which
records have been read.
"""

from random import Random
from unittest import TestCase

from corianderhold.clock import SystemClock
from corianderhold.coordination.configuration.follower import ConfigurationFollower
from corianderhold.ids import FailureDomainId, InstanceId
from corianderhold.metrics import Metrics
from corianderhold.state.configuration.holder import ConfigurationHolder
from corianderhold.state.membership.model import Address
from corianderhold_platform.log import PlatformLog
from tests.common.followers import StaticMembers
from tests.common.ports import find_free_port
from tests.common.silent_control import SilentControl
from tests.platform.documents import write_document
from tests.platform.store import PlatformStore

DOMAIN = FailureDomainId("west-a")
TOPIC = "keyed.op"


class RestoredStoreTest(TestCase):
    """Read the operator's topic with one daemon before and after a restore."""

    def setUp(self) -> None:
        address = Address("127.0.0.1", find_free_port())
        self.store = PlatformStore(address)
        self.store.start()
        self.addCleanup(self.store.stop)
        clock = SystemClock()
        self.holder = ConfigurationHolder()
        self.follower = ConfigurationFollower(
            instance=InstanceId("daemon"),
            domain=DOMAIN,
            retention_s=20.0,
            log=PlatformLog(address, clock, (DOMAIN,)),
            client=SilentControl(),
            members=StaticMembers(),
            holder=self.holder,
            clock=clock,
            random=Random(1),
            metrics=Metrics(),
        )
        for version in (4, 6, 8, 11):
            self.put(version)
        self.read()

    def put(self, version: int) -> None:
        self.store.put(TOPIC, "config", write_document(version))

    def read(self) -> tuple[int, frozenset[FailureDomainId]]:
        self.follower.read_log()
        current = self.holder.current
        return current.version, current.evacuated

    def test_version_confirmed_after_a_restore_is_in_force(self) -> None:
        self.store.restore({TOPIC: 2})
        self.put(11)
        self.assertEqual(self.read()[0], 11)
        self.put(13)
        self.assertEqual(self.read()[0], 13)

    def test_version_at_an_offset_assigned_again_is_in_force(self) -> None:
        self.store.restore({TOPIC: 2})
        self.put(11)
        self.put(13)
        self.assertEqual(self.read()[0], 13)

    def test_older_version_of_the_copy_is_never_in_force(self) -> None:
        self.store.restore({TOPIC: 2})
        self.assertEqual(self.read()[0], 11)
        self.put(11)
        self.assertEqual(self.read()[0], 11)
        self.put(12)
        self.assertEqual(self.read()[0], 12)

    def test_second_restore_is_followed_like_the_first(self) -> None:
        for version in (13, 15):
            self.store.restore({TOPIC: 1})
            self.put(11)
            self.put(version)
            self.assertEqual(self.read()[0], version)

    def test_restore_of_deleted_history_is_followed(self) -> None:
        self.store.restore({TOPIC: 3})
        self.store.forget(TOPIC)
        self.put(13)
        self.assertEqual(self.read()[0], 13)

    def test_evacuation_lost_by_a_restore_stays_in_force_until_it_is_ended(
        self,
    ) -> None:
        self.store.put(TOPIC, f"evacuate/{DOMAIN}", b"{}")
        self.read()
        self.store.restore({TOPIC: 2})
        self.assertEqual(self.read(), (11, {DOMAIN}))
        self.put(11)
        self.store.put(TOPIC, f"evacuate/{DOMAIN}", b"{}")
        self.assertEqual(self.read(), (11, {DOMAIN}))
        self.store.put(TOPIC, f"evacuate/{DOMAIN}", b"")
        self.assertEqual(self.read(), (11, frozenset()))

    def test_evacuation_ended_at_an_offset_assigned_again_ends(self) -> None:
        self.store.put(TOPIC, f"evacuate/{DOMAIN}", b"{}")
        self.read()
        self.store.restore({TOPIC: 2})
        self.put(11)
        self.store.put(TOPIC, f"evacuate/{DOMAIN}", b"{}")
        self.store.put(TOPIC, f"evacuate/{DOMAIN}", b"")
        self.assertEqual(self.read(), (11, frozenset()))
