"""Packets of flows in the users' format, with a keyed sum over what may not change."""

import hashlib
import socket
import struct
from typing import NamedTuple

HEADER = struct.Struct("!B5s4sIIIH4sHH4s")
SYN, RST, BOUNCED, ACK, FIN = 1, 2, 8, 32, 128
SEQUENCE_MASK = 0xFFFFFFFF
KEY = b"key of the review's stand-ins"


class Packet(NamedTuple):
    """Fields of one packet; addresses are text, ``raw`` is the datagram."""

    flags: int
    sequence: int
    acknowledged: int
    source: tuple[str, int]
    destination: tuple[str, int]
    payload: bytes
    raw: bytes


def encode(
    flags: int,
    source: tuple[str, int],
    destination: tuple[str, int],
    *,
    sequence: int = 0,
    acknowledged: int = 0,
    payload: bytes = b"",
) -> bytes:
    """Return the datagram of a packet with its sum."""
    fields = (
        sequence & SEQUENCE_MASK,
        acknowledged & SEQUENCE_MASK,
        len(payload),
        socket.inet_aton(destination[0]),
        source[1],
        destination[1],
        socket.inet_aton(source[0]),
    )
    plain = HEADER.pack(flags, b"", b"", 0, *fields) + payload
    return HEADER.pack(flags, b"", compute_sum(plain), 0, *fields) + payload


def decode(datagram: bytes) -> Packet:
    """Return the fields of a datagram."""
    flags, _, _, _, sequence, acknowledged, size, *addresses = HEADER.unpack_from(
        datagram
    )
    destination, source_port, destination_port, source = addresses
    payload = datagram[HEADER.size :]
    if len(payload) != size:
        raise ValueError("size of the payload")
    return Packet(
        flags,
        sequence,
        acknowledged,
        (socket.inet_ntoa(source), source_port),
        (socket.inet_ntoa(destination), destination_port),
        payload,
        datagram,
    )


def compute_sum(datagram: bytes) -> bytes:
    """Return the sum over all fields except padding, sum, echo and BOUNCED."""
    covered = bytes((datagram[0] & ~BOUNCED & 0xFF,)) + datagram[14:]
    return hashlib.blake2b(covered, key=KEY, digest_size=4).digest()


def is_genuine(datagram: bytes) -> bool:
    """Return whether an end wrote the packet as it is."""
    return datagram[6:10] == compute_sum(datagram)


def set_bounced(datagram: bytes) -> bytes:
    """Return a packet as a target returns it."""
    return bytes((datagram[0] | BOUNCED,)) + bytes(5) + datagram[6:]
