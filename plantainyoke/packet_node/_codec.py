"""How packets are written, as functions that the platform's adapter supplies."""

from collections.abc import Callable

import msgspec

from plantainyoke.flows import FlowKey, Segment


class PacketCodec(msgspec.Struct, frozen=True):
    """Reads and writes the packets of flows.

    Attributes
    ----------
    peek_flow_key : callable
        Returns the flow of a caller's datagram and whether it opens the flow.
    parse_caller_packet, parse_target_packet : callable
        Decode a datagram.
    encode_reset : callable
        Returns the packet that resets a flow, from the flow and a sequence.
    clear_bounced_flag : callable
        Returns a returned packet as its caller wrote it.
    error_type : type
        Exception of a datagram that is no packet.
    """

    peek_flow_key: Callable[[bytes], tuple[FlowKey, bool]]
    parse_caller_packet: Callable[[bytes], Segment]
    parse_target_packet: Callable[[bytes], Segment]
    encode_reset: Callable[[FlowKey, int], bytes]
    clear_bounced_flag: Callable[[bytes], bytes]
    error_type: type[Exception]
