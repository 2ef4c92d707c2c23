"""Layout of the packets that callers and targets exchange."""

import struct

from plantainyoke.flows import FlowKey, Segment
from plantainyoke.packet_node import PacketCodec

# flags, padding, checksum, scratch field, sequence, acknowledged, payload size,
# destination, source port, destination port, source
HEADER = struct.Struct("!B5s4sIIIH4sHH4s")
HEADER_SIZE = HEADER.size
MAX_PAYLOAD_SIZE = 1200
MAX_PACKET_SIZE = HEADER_SIZE + MAX_PAYLOAD_SIZE

FLAG_SYN = 1
FLAG_RST = 2
FLAG_BOUNCED = 8
FLAG_ACK = 32
FLAG_FIN = 128

COUNTERS = struct.Struct("!IIH")  # sequence, acknowledged, payload size
COUNTERS_OFFSET = 14
ADDRESSES_OFFSET = 24


class MalformedPacketError(Exception):
    """The datagram is not a packet of a flow."""


def peek_flow_key(datagram: bytes) -> tuple[FlowKey, bool]:
    """Return the flow of a packet that a caller wrote, and whether it opens it.

    Raises
    ------
    MalformedPacketError
        If the size is impossible.
    """
    _check_size(datagram)
    opens = bool(datagram[0] & FLAG_SYN)
    return datagram[ADDRESSES_OFFSET:HEADER_SIZE], opens


def parse_caller_packet(datagram: bytes) -> Segment:
    """Decode a packet that a caller wrote.

    Raises
    ------
    MalformedPacketError
        If the size is impossible.
    """
    _check_size(datagram)
    # The address fields of a caller's packet lie in the order of the flow key.
    return _build_segment(datagram[ADDRESSES_OFFSET:HEADER_SIZE], datagram)


def parse_target_packet(datagram: bytes) -> Segment:
    """Decode a packet that a target sent: its own, or a caller's that it returned.

    Raises
    ------
    MalformedPacketError
        If the size is impossible.
    """
    _check_size(datagram)
    if datagram[0] & FLAG_BOUNCED:
        return _build_segment(datagram[ADDRESSES_OFFSET:HEADER_SIZE], datagram)
    flow = datagram[32:36] + datagram[30:32] + datagram[28:30] + datagram[24:28]
    return _build_segment(flow, datagram)


def encode_reset(flow: FlowKey, sequence: int) -> bytes:
    """Return a reset of the system's own, from the service to the caller."""
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
    """Return a returned packet as its caller wrote it."""
    return bytes((datagram[0] & ~FLAG_BOUNCED,)) + datagram[1:]


def _check_size(datagram: bytes) -> None:
    size = len(datagram)
    if not HEADER_SIZE <= size <= MAX_PACKET_SIZE:
        raise MalformedPacketError(f"{size} bytes")


def _build_segment(flow: FlowKey, datagram: bytes) -> Segment:
    flags = datagram[0]
    sequence, acknowledged, size = COUNTERS.unpack_from(datagram, COUNTERS_OFFSET)
    if size != len(datagram) - HEADER_SIZE:
        raise MalformedPacketError(f"{size} bytes announced, {len(datagram)} received")
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
    error_type=MalformedPacketError,
)
