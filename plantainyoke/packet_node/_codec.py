"""Interface to the packet format of the platform.

The decisions on packets depend only on these functions, which the platform's adapter
supplies, so that they stay independent of the format.
"""

from collections.abc import Callable

import msgspec

from plantainyoke.flows import FlowKey, Segment


class PacketCodec(msgspec.Struct, frozen=True):
    """Functions that decode and encode the packets of flows.

    Attributes
    ----------
    peek_flow_key : callable
        Returns the flow key of a caller's datagram and whether the datagram opens the
        flow.
    parse_caller_packet, parse_target_packet : callable
        Decode a datagram of a caller or of a target into a `Segment`.
    encode_reset : callable
        Returns the packet that resets a flow; called with the flow key and a sequence
        number.
    clear_bounced_flag : callable
        Returns a bounced packet as its caller sent it.
    estimate_first_packet_age_s : callable
        Returns the time since the caller of a first packet sent its first copy.
    max_payload_bytes : int
        Payload of a packet that has no room for more of its sender's data.
    open_timeout_s : float
        Time after which a caller gives up opening a flow.
    error_type : type
        Type of the exceptions for datagrams that are not valid packets.
    """

    peek_flow_key: Callable[[bytes], tuple[FlowKey, bool]]
    parse_caller_packet: Callable[[bytes], Segment]
    parse_target_packet: Callable[[bytes], Segment]
    encode_reset: Callable[[FlowKey, int], bytes]
    clear_bounced_flag: Callable[[bytes], bytes]
    estimate_first_packet_age_s: Callable[[Segment], float]
    max_payload_bytes: int
    open_timeout_s: float
    error_type: type[Exception]
