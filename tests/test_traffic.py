"""Test that sent bytes are counted by purpose and distance."""

from unittest import TestCase, mock

from corianderhold import traffic
from corianderhold.ids import FailureDomainId, InstanceId, RegionId
from corianderhold.metrics import Metrics
from corianderhold.protocol.peer.control import ControlTopic
from corianderhold.protocol.peer.messages import (
    Cancel,
    ControlReply,
    ControlRequest,
    Ping,
)
from corianderhold.state.membership.locality import AddressMap, Distance, Locality
from corianderhold.state.membership.model import Address
from corianderhold.traffic import Purpose, TrafficMeter, TrafficReport
from corianderhold.transport.peer.purpose import classify_frame
from tests.common.calls import make_member
from tests.common.followers import StaticMembers, build_member

OWN = build_member(FailureDomainId("a"), "10.0.0.1", RegionId("r1"))
NEAR = build_member(FailureDomainId("a"), "10.0.0.2", RegionId("r1"))
REGION = build_member(FailureDomainId("b"), "10.0.0.3", RegionId("r1"))
FAR = build_member(FailureDomainId("c"), "10.0.0.4", RegionId("r2"))
PLACE = Locality(OWN.instance, OWN.domain, OWN.region)


class TrafficTests(TestCase):
    """Count bytes sent to members at all distances."""

    def setUp(self) -> None:
        self.members = StaticMembers()
        for member in (OWN, NEAR, REGION, FAR):
            self.members.members[member.instance] = member
        self.metrics = Metrics()
        self.meter = TrafficMeter(PLACE, lambda: self.members, self.metrics)

    def test_distances(self) -> None:
        measured = [PLACE.measure_distance(each) for each in (OWN, NEAR, REGION, FAR)]
        self.assertEqual(measured, list(Distance))

    def test_bytes_are_counted_by_purpose_and_distance(self) -> None:
        self.meter.count_to_address(Purpose.GOSSIP, FAR.gossip_address, 100)
        self.meter.count_to_address(Purpose.CALL, FAR.peer_address, 10)
        self.meter.count_to_instance(Purpose.CALL, NEAR.instance, 1)
        self.meter.count_to_address(Purpose.GOSSIP, Address("10.9.9.9", 1), 7)
        self.assertEqual(
            self.metrics.read_counters(),
            {
                "sent_bytes_gossip_elsewhere": 100,
                "sent_bytes_call_elsewhere": 10,
                "sent_bytes_call_domain": 1,
                "sent_bytes_gossip_unknown": 7,
            },
        )

    def test_members_added_later_are_found(self) -> None:
        addresses = AddressMap(self.members.list_members)
        late = make_member("late")
        self.assertIsNone(addresses.find(late.peer_address))
        self.members.members[InstanceId("late")] = late
        self.assertEqual(addresses.find(late.peer_address), late)

    def test_control_reply_has_the_purpose_of_its_request(self) -> None:
        request = ControlRequest(ControlTopic.RATE, b"")
        self.assertIs(classify_frame(request, None), Purpose.RATE)
        self.assertIs(classify_frame(ControlReply(True, b""), request), Purpose.RATE)
        self.assertIs(classify_frame(Ping(1), request), Purpose.LINK)
        self.assertIs(classify_frame(Cancel("x"), request), Purpose.CALL)  # type: ignore[arg-type]

    def test_line_has_all_counters_of_bytes_and_no_others(self) -> None:
        self.meter.count_to_instance(Purpose.CALL, NEAR.instance, 1)
        self.metrics.increment("retries")
        with mock.patch.object(traffic, "log_event") as log:
            TrafficReport(self.metrics).log()
        log.assert_called_once_with("traffic_counted", sent_bytes_call_domain=1)
