"""Parser of the part of QUIC packet headers that routing needs.

The balancer classifies each datagram by its first packet: routable by connection ID,
an Initial packet that may open a new flow, or to be dropped. Long headers of other
versions than QUIC v1 are dropped.

References
----------
RFC 8999, RFC 9000 section 17.
"""

from dataclasses import dataclass

from plantainyoke.routing._connection_id import CONNECTION_ID_SIZE

LONG_HEADER = 0x80
FIXED_BIT = 0x40
PACKET_TYPE_MASK = 0x30
INITIAL_TYPE = 0x00
ZERO_RTT_TYPE = 0x10
QUIC_V1 = b"\x00\x00\x00\x01"
MINIMUM_INITIAL_SIZE = 1200
MINIMUM_CHOSEN_ID_SIZE = 8
MAX_CONNECTION_ID_SIZE = 20
MAX_DATAGRAM_SIZE = 1500
LONG_HEADER_FIXED_SIZE = 6


@dataclass(slots=True)
class RoutablePacket:
    """A packet whose destination connection ID may contain an agent's address."""

    connection_id: bytes


@dataclass(slots=True)
class InitialPacket:
    """An Initial packet.

    Attributes
    ----------
    connection_id : bytes
        Destination connection ID, chosen by the caller or issued by an agent.
    token : bytes
        Content of the token field.
    """

    connection_id: bytes
    token: bytes


@dataclass(frozen=True, slots=True)
class UnroutablePacket:
    """A datagram that the balancer drops.

    Attributes
    ----------
    reason : str
        Name of the drop counter.
    """

    reason: str


TRUNCATED = UnroutablePacket("truncated")
OVERSIZED = UnroutablePacket("oversized")
NOT_QUIC = UnroutablePacket("not_quic")
UNKNOWN_VERSION = UnroutablePacket("unknown_version")
SMALL_INITIAL = UnroutablePacket("small_initial")


def parse_packet(datagram: bytes) -> RoutablePacket | InitialPacket | UnroutablePacket:
    """Classify a datagram by the header of its first packet.

    Parameters
    ----------
    datagram : bytes
        Untrusted bytes of any length.

    Returns
    -------
    RoutablePacket or InitialPacket or UnroutablePacket
    """
    size = len(datagram)
    if size > MAX_DATAGRAM_SIZE:
        return OVERSIZED
    if size <= CONNECTION_ID_SIZE:
        return TRUNCATED
    first = datagram[0]
    if not first & LONG_HEADER:
        if not first & FIXED_BIT:
            return NOT_QUIC
        return RoutablePacket(datagram[1 : 1 + CONNECTION_ID_SIZE])
    return _parse_long_header(datagram, first)


def _parse_long_header(datagram: bytes, first: int):
    id_end = LONG_HEADER_FIXED_SIZE + datagram[5]
    if datagram[5] > MAX_CONNECTION_ID_SIZE:
        return NOT_QUIC
    if id_end >= len(datagram):
        return TRUNCATED
    if datagram[1:5] != QUIC_V1:
        return UNKNOWN_VERSION
    if not first & FIXED_BIT:
        return NOT_QUIC
    connection_id = datagram[LONG_HEADER_FIXED_SIZE:id_end]
    packet_type = first & PACKET_TYPE_MASK
    if packet_type == ZERO_RTT_TYPE:
        return UnroutablePacket("zero_rtt")
    if packet_type != INITIAL_TYPE:
        return RoutablePacket(connection_id)
    if len(datagram) < MINIMUM_INITIAL_SIZE:
        return SMALL_INITIAL
    if len(connection_id) < MINIMUM_CHOSEN_ID_SIZE:
        return NOT_QUIC
    return _parse_initial(datagram, id_end, connection_id)


def _parse_initial(datagram: bytes, id_end: int, connection_id: bytes):
    source_length = datagram[id_end]
    token_start = id_end + 1 + source_length
    if source_length > MAX_CONNECTION_ID_SIZE or token_start + 2 > len(datagram):
        return NOT_QUIC
    token_length = datagram[token_start]
    token_start += 1
    if token_length >> 6 == 1:
        token_length = (token_length & 0x3F) << 8 | datagram[token_start]
        token_start += 1
    elif token_length >> 6:
        return NOT_QUIC
    token_end = token_start + token_length
    if token_end > len(datagram):
        return TRUNCATED
    return InitialPacket(connection_id, datagram[token_start:token_end])
