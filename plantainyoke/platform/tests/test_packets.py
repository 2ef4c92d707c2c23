import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from plantainyoke.flows import (
    format_flow,
    get_caller_ip,
    get_service_endpoint,
    parse_flow,
)
from plantainyoke.platform import (
    MAX_PACKET_BYTES,
    MalformedPacketError,
    clear_bounced_flag,
    encode_reset,
    parse_caller_packet,
    parse_target_packet,
)

# Examples of a first packet and a reset from the protocol's documentation.
SYN = bytes.fromhex(
    "01 00 00 00 00 00 a1 b2 c3 d5 00 00 00 00 11 22 33 44 00 00 00 00 00 00"
    "c6 12 00 01 9c 41 01 bb 64 40 00 07"
)
RESET = bytes.fromhex(
    "02 00 00 00 00 00 00 00 00 00 00 00 00 00 00 00 00 00 00 00 00 00 00 00"
    "64 40 00 07 01 bb 9c 41 c6 12 00 01"
)


class TestCallerPackets:
    def test_documented_example_is_decoded(self):
        segment = parse_caller_packet(SYN)
        assert segment.opens and not segment.has_acknowledged
        assert segment.sequence == 0x11223344
        assert format_flow(segment.flow) == "100.64.0.7:40001>198.18.0.1:443"
        assert get_service_endpoint(segment.flow) == (0xC6120001, 443)
        assert get_caller_ip(segment.flow) == "100.64.0.7"
        assert parse_flow(format_flow(segment.flow)) == segment.flow

    def test_both_directions_have_the_same_flow_key(self):
        answer = RESET[:24] + RESET[24:]
        assert parse_target_packet(answer).flow == parse_caller_packet(SYN).flow

    def test_bounced_packet_keeps_the_flow_key_of_its_caller(self):
        bounced = bytes((SYN[0] | 8,)) + SYN[1:]
        segment = parse_target_packet(bounced)
        assert segment.bounced and segment.opens
        assert segment.flow == parse_caller_packet(SYN).flow
        assert clear_bounced_flag(bounced) == SYN

    @pytest.mark.parametrize("size", [0, 1, 35, MAX_PACKET_BYTES + 1, 4096])
    def test_size_out_of_range_is_rejected(self, size):
        with pytest.raises(MalformedPacketError):
            parse_caller_packet(b"\x00" * size)

    def test_announced_size_that_differs_is_rejected(self):
        with pytest.raises(MalformedPacketError, match="announced"):
            parse_caller_packet(SYN + b"x")

    @given(st.binary(max_size=MAX_PACKET_BYTES + 10))
    def test_arbitrary_bytes_are_decoded_or_rejected(self, datagram):
        for parse in (parse_caller_packet, parse_target_packet):
            with contextlib.suppress(MalformedPacketError):
                assert parse(datagram).raw == datagram


class TestResets:
    def test_documented_example_is_encoded(self):
        assert encode_reset(parse_caller_packet(SYN).flow, 0) == RESET

    def test_reset_has_the_given_sequence(self):
        reset = encode_reset(parse_caller_packet(SYN).flow, 0xFFFFFFFF)
        assert parse_target_packet(reset).sequence == 0xFFFFFFFF


class TestParseFlow:
    @pytest.mark.parametrize("text", ["", "a>b", "1.2.3.4:1>1.2.3.4", "1.2.3.4:x>1:2"])
    def test_malformed_text_is_rejected(self, text):
        with pytest.raises(ValueError):
            parse_flow(text)

    def test_port_out_of_range_is_rejected(self):
        with pytest.raises(ValueError, match="address or port"):
            parse_flow("1.2.3.4:70000>1.2.3.4:1")
