"""Binary layout of the packets that callers and targets exchange.

Decodes datagrams into `Segment` and encodes resets. The packet path uses these
functions through `PACKET_CODEC`, and so does not depend on the platform's layout.
"""

import struct

from plantainyoke.flows import FlowKey, Segment
from plantainyoke.packet_node import PacketCodec

# flags, padding, checksum, scratch field, sequence, acknowledged, payload size,
# destination, source port, destination port, source
HEADER = struct.Struct("!B5s4sIIIH4sHH4s")
HEADER_BYTES = HEADER.size
MAX_PAYLOAD_BYTES = 1200
MAX_PACKET_BYTES = HEADER_BYTES + MAX_PAYLOAD_BYTES

FLAG_SYN = 1
FLAG_RST = 2
FLAG_BOUNCED = 8
FLAG_ACK = 32
FLAG_FIN = 128

SEQUENCE_FIELDS = struct.Struct("!IIH")  # sequence, acknowledged, payload size
SEQUENCE_OFFSET = 14
ADDRESSES_OFFSET = 24

# Callers send two further copies of a first packet, then give up.
FIRST_PACKET_COPY_TIMES_S = (0.0, 0.2, 0.6)
OPEN_TIMEOUT_S = 1.4


class MalformedPacketError(Exception):
    """The datagram is not a well-formed packet of a flow."""


def peek_flow_key(datagram: bytes) -> tuple[FlowKey, bool]:
    """Return the flow key of a caller's packet and whether the packet opens the flow.

    Raises
    ------
    MalformedPacketError
        If the datagram is shorter than a header or longer than the largest packet.
    """
    _check_size(datagram)
    opens = bool(datagram[0] & FLAG_SYN)
    return datagram[ADDRESSES_OFFSET:HEADER_BYTES], opens


def parse_caller_packet(datagram: bytes) -> Segment:
    """Decode a packet that a caller sent.

    Raises
    ------
    MalformedPacketError
        If the size of the datagram is out of range or is not the announced one.
    """
    _check_size(datagram)
    # The address fields of a caller's packet are in the order of the flow key.
    return _build_segment(datagram[ADDRESSES_OFFSET:HEADER_BYTES], datagram)


def parse_target_packet(datagram: bytes) -> Segment:
    """Decode a packet that a target sent, or a caller's packet that it bounced.

    Raises
    ------
    MalformedPacketError
        If the size of the datagram is out of range or is not the announced one.
    """
    _check_size(datagram)
    if datagram[0] & FLAG_BOUNCED:
        return _build_segment(datagram[ADDRESSES_OFFSET:HEADER_BYTES], datagram)
    # In the target's own packets, source and destination are in reverse order.
    flow = datagram[32:36] + datagram[30:32] + datagram[28:30] + datagram[24:28]
    return _build_segment(flow, datagram)


def encode_reset(flow: FlowKey, sequence: int) -> bytes:
    """Return a reset that the product sends to the caller on behalf of the service."""
    return HEADER.pack(
        FLAG_RST,
        b"",
        b"",
        0,
        sequence,
        0,
        0,
        flow[8:12],
        int.from_bytes(flow[6:8], "big"),
        int.from_bytes(flow[4:6], "big"),
        flow[0:4],
    )


def clear_bounced_flag(datagram: bytes) -> bytes:
    """Return a bounced packet as its caller sent it."""
    return bytes((datagram[0] & ~FLAG_BOUNCED,)) + datagram[1:]


def estimate_first_packet_age_s(segment: Segment) -> float:
    """Return the time since the caller sent the first copy of a first packet.

    The acknowledgement field of a first packet counts its earlier copies.
    """
    copy = min(segment.acknowledged, len(FIRST_PACKET_COPY_TIMES_S) - 1)
    return FIRST_PACKET_COPY_TIMES_S[copy]


def _check_size(datagram: bytes) -> None:
    size = len(datagram)
    if not HEADER_BYTES <= size <= MAX_PACKET_BYTES:
        raise MalformedPacketError(f"packet size of {size} bytes is out of range")


def _build_segment(flow: FlowKey, datagram: bytes) -> Segment:
    flags = datagram[0]
    sequence, acknowledged, size = SEQUENCE_FIELDS.unpack_from(
        datagram, SEQUENCE_OFFSET
    )
    if size != len(datagram) - HEADER_BYTES:
        raise MalformedPacketError(
            f"payload of {size} bytes announced in a packet of {len(datagram)} bytes"
        )
    return Segment(
        flow,
        bool(flags & FLAG_SYN),
        bool(flags & FLAG_FIN),
        bool(flags & FLAG_RST),
        bool(flags & FLAG_ACK),
        bool(flags & FLAG_BOUNCED),
        sequence,
        acknowledged,
        size,
        datagram,
    )


PACKET_CODEC = PacketCodec(
    peek_flow_key=peek_flow_key,
    parse_caller_packet=parse_caller_packet,
    parse_target_packet=parse_target_packet,
    encode_reset=encode_reset,
    clear_bounced_flag=clear_bounced_flag,
    estimate_first_packet_age_s=estimate_first_packet_age_s,
    max_payload_bytes=MAX_PAYLOAD_BYTES,
    open_timeout_s=OPEN_TIMEOUT_S,
    error_type=MalformedPacketError,
)
