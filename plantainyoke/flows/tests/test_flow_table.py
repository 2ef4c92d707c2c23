import pytest

from plantainyoke.flows import FlowTable, Ingress, Segment

FLOW = b"\xc6\x12\x00\x01\x9c\x41\x01\xbb\x64\x40\x00\x07"
PACKET_BYTES = 1200


def _make_segment(*, sequence=0, acknowledged=0, payload_size=0, finishes=False):
    return Segment(
        FLOW,
        opens=False,
        finishes=finishes,
        resets=False,
        has_acknowledged=True,
        bounced=False,
        sequence=sequence,
        acknowledged=acknowledged,
        payload_size=payload_size,
        raw=b"",
    )


class OneFlow:
    """A table with one flow whose first sequence is ``start``."""

    def __init__(self, start=0):
        self.table = FlowTable()
        self.held = self.table.add_held(FLOW, ingress=Ingress(), now=0.0)
        self.start = start

    def send(self, packet, now=1.0, *, finishes=False, more_follows=False):
        """Receive the caller's data packet of the given number."""
        sequence = (self.start + packet * PACKET_BYTES) & 0xFFFFFFFF
        segment = _make_segment(
            sequence=sequence, payload_size=PACKET_BYTES, finishes=finishes
        )
        self.table.record_caller_packet(
            self.held,
            segment,
            ingress=Ingress(),
            now=now,
            more_follows=more_follows,
        )

    def answer(self, packets, now=2.0, *, payload_size=300, finishes=False):
        """Receive a packet of the target that acknowledges a number of packets."""
        acknowledged = (self.start + packets * PACKET_BYTES) & 0xFFFFFFFF
        segment = _make_segment(
            acknowledged=acknowledged, payload_size=payload_size, finishes=finishes
        )
        return self.table.record_target_packet(self.held, segment, now)


class TestRequestsInFlight:
    def test_request_is_in_flight_until_the_answer_begins(self):
        flow = OneFlow()
        flow.send(0, now=1.0)
        assert flow.table.in_flight == 1
        assert flow.answer(1, payload_size=0) is None
        assert flow.answer(1, now=1.5) == pytest.approx(0.5)
        assert flow.table.in_flight == 0

    def test_upload_is_in_flight_once_its_last_part_arrived(self):
        # A slot is free while an upload crosses a link of 5 Mbit/s, 130 ms for 80 KB.
        flow = OneFlow()
        for packet in range(66):
            flow.send(packet, now=1.0 + packet / 500, more_follows=True)
            assert flow.table.in_flight == 0
        flow.send(66, now=1.2)
        assert flow.table.in_flight == 1
        assert flow.answer(67, now=1.21) == pytest.approx(0.01)

    @pytest.mark.parametrize("start", [0, 0xFFFFFFFF - PACKET_BYTES])
    def test_late_copy_of_answered_data_is_no_request(self, start):
        # An upload of many packets: copies of lost ones arrive after the answer.
        flow = OneFlow(start)
        for packet in range(3):
            flow.send(packet)
        flow.answer(3)
        flow.send(1)
        flow.send(2)
        assert flow.table.in_flight == 0
        flow.send(3)
        assert flow.table.in_flight == 1

    def test_data_after_an_early_last_answer_is_no_request(self):
        # The target refuses an upload before it has all of it, and closes the flow.
        flow = OneFlow()
        flow.send(0)
        flow.answer(1, finishes=True)
        flow.send(1)
        assert flow.table.in_flight == 0

    def test_request_ends_if_the_target_closes_the_flow_without_an_answer(self):
        flow = OneFlow()
        flow.send(0)
        assert flow.answer(1, payload_size=0, finishes=True) is None
        assert flow.table.in_flight == 0

    def test_request_ends_when_its_caller_gives_up(self):
        flow = OneFlow()
        flow.send(0, now=1.0)
        flow.table.expire_requests(2.9, lambda _: 2.0)
        assert flow.table.in_flight == 1
        flow.table.expire_requests(3.1, lambda _: 2.0)
        assert flow.table.in_flight == 0

    def test_request_without_a_known_timeout_stays_in_flight(self):
        flow = OneFlow()
        flow.send(0, now=1.0)
        flow.table.expire_requests(100.0, lambda _: 0.0)
        assert flow.table.in_flight == 1

    def test_removed_flow_is_not_in_flight(self):
        flow = OneFlow()
        flow.send(0)
        flow.table.remove(FLOW)
        assert flow.table.in_flight == 0
