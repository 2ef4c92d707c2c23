import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from plantainyoke.flows import (
    IGNORE_FAILING_FLAG,
    MOSTLY_COLD_FLAG,
    FlowFormatError,
    FlowRefusal,
    Ingress,
    Load,
    MalformedMessageError,
    MessageKind,
    decode_load_body,
    decode_message,
    decode_open_body,
    decode_refusal,
    encode_load_body,
    encode_message,
    encode_open_body,
    parse_flow,
)
from plantainyoke.platform import MalformedPacketError
from plantainyoke.standins import PacketSimulation

INGRESS = Ingress(0x0A010001, 77)


class TestMessages:
    @given(
        st.sampled_from(MessageKind),
        st.binary(max_size=1300),
        st.integers(0, 255),
        st.integers(0, 2**64 - 1),
    )
    def test_round_trip_keeps_every_field(self, kind, body, detail, revision):
        datagram = encode_message(
            kind, body, ingress=INGRESS, revision=revision, service=9, detail=detail
        )
        message = decode_message(datagram)
        assert (message.kind, message.body, message.detail) == (kind, body, detail)
        assert (message.ingress, message.revision) == (INGRESS, revision)

    @pytest.mark.parametrize("datagram", [b"", b"\xf7", b"\x00" * 40, b"\xf7" * 40])
    def test_truncated_or_foreign_datagram_is_malformed(self, datagram):
        with pytest.raises(MalformedMessageError):
            decode_message(datagram)

    def test_alternates_survive_a_round_trip(self):
        body = encode_open_body([1, 2, 3], b"packet")
        assert decode_open_body(3, body) == ([1, 2, 3], b"packet")
        assert decode_open_body(3 | MOSTLY_COLD_FLAG, body) == ([1, 2, 3], b"packet")
        assert decode_open_body(3 | IGNORE_FAILING_FLAG, body) == ([1, 2, 3], b"packet")

    @pytest.mark.parametrize(("count", "size"), [(9, 100), (2, 8), (1, 0)])
    def test_alternates_that_do_not_fit_the_body_are_malformed(self, count, size):
        with pytest.raises(MalformedMessageError):
            decode_open_body(count, b"x" * size)

    def test_load_survives_a_round_trip_with_counts_capped_at_16_bits(self):
        load = Load(70_000, 5, 4, FlowRefusal.BUSY, 46_000)
        flow, decoded = decode_load_body(encode_load_body(b"f" * 12, load))
        assert flow == b"f" * 12
        assert decoded == Load(0xFFFF, 5, 4, FlowRefusal.BUSY, 46_000)

    def test_work_time_of_hours_is_capped(self):
        # The first answer to a request that waited for 72 minutes made every load
        # report of the agent fail.
        load = Load(1, 1, 4, FlowRefusal.NONE, 2**32)
        _, decoded = decode_load_body(encode_load_body(b"", load))
        assert decoded.work_time_us == 2**32 - 1

    def test_unknown_refusal_is_malformed(self):
        with pytest.raises(MalformedMessageError):
            decode_refusal(250)


class TestFlowNames:
    @pytest.mark.parametrize(
        "port", ["9" * 5000, "65536", "\u00b2", "-1", ""], ids=lambda port: port[:8]
    )
    def test_port_out_of_range_is_an_error_of_the_format(self, port):
        # Digits by the thousand ended the connection of the operator's query.
        with pytest.raises(FlowFormatError):
            parse_flow(f"10.0.0.1:{port}>198.18.0.1:443")


class TestHostileMessages:
    @given(
        st.sampled_from([100, 10, 14]),
        st.sampled_from(MessageKind),
        st.binary(max_size=120),
        st.integers(0, 255),
        st.integers(0, 255),
    )
    def test_message_of_any_content_raises_only_malformed_errors(
        self, host, kind, body, detail, hops
    ):
        # The receiver of datagrams catches no other errors. The flow opened afterwards
        # shows that the message left no state that keeps the process from serving.
        simulation = PacketSimulation({"orders": 3, "drawings": 2})
        datagram = encode_message(
            kind, body, ingress=INGRESS, revision=1, detail=detail, hops=hops
        )
        process = simulation.processes[host]
        with contextlib.suppress(MalformedMessageError, MalformedPacketError):
            process.packet_handler.receive_message(
                decode_message(datagram), 0x0A010002, simulation.now
            )
        (caller,) = [simulation.open_flow()]
        simulation.advance(0.3)
        assert caller.is_open
