"""
Test members that are paused and resume.

Guards against a resumed daemon that declares its peers dead because timers ran, or acks
were lost, while it was paused.
"""

from dataclasses import replace

from corianderhold.coordination.membership.const import (
    PROBE_DEADLINE_S,
    SUSPICION_MULTIPLIER,
)
from corianderhold.protocol.membership.codec import encode_member
from corianderhold.state.membership.model import MemberState
from tests.common.membership import STEP_S
from tests.common.swim_case import SwimTestCase, with_seeds


class SwimPauseTests(SwimTestCase):
    """Pause state machines."""

    @with_seeds
    def test_paused_member_wakes_without_declaring_others_dead(self, seed: int) -> None:
        network, nodes = self.start_fleet(seed, 8)
        sleeper = nodes[3]
        self.pause(network, sleeper, 40.0)
        self.assertEqual(self.show_state(nodes[:3], sleeper), {MemberState.DEAD})
        self.check_never(network, [sleeper], MemberState.DEAD, 100, 0.2)
        self.assertTrue(self.agree(nodes, 8))

    def test_pause_expires_no_timer(self) -> None:
        network, nodes = self.start_fleet(10, 8)
        sleeper, suspected = nodes[3], nodes[4]
        claim = replace(suspected.swim.own, state=MemberState.SUSPECT)
        self.inject(network, sleeper, encode_member(claim))
        self.pause(network, sleeper, 40.0)
        sleeper.inbox.clear()
        self.check_never(network, [sleeper], MemberState.DEAD, 200)

    @with_seeds
    def test_ack_lost_in_a_pause_raises_no_suspicion(self, seed: int) -> None:
        network, nodes = self.start_fleet(seed, 8)
        # Acks that are not lost arrive before the probe fails.
        network.latest_delay_s = PROBE_DEADLINE_S / 2 - 2 * STEP_S
        sleeper = nodes[3]
        for pause in range(30):
            self.pause(network, sleeper, 1.0 + pause * 0.05)
            sleeper.inbox.clear()
            steps = 20 + pause % 7
            self.check_never(network, [sleeper], MemberState.SUSPECT, steps)

    def test_pause_shorter_than_the_suspicion_timeout_causes_no_death(self) -> None:
        network, nodes = self.start_fleet(4, 8)
        self.pause(network, nodes[2], SUSPICION_MULTIPLIER * 0.6)
        self.check_never(network, nodes, MemberState.DEAD, 100, 0.2)
