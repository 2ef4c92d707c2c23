"""Authenticated messages between the processes of the system."""

from plantainyoke.wire._address import (
    Address,
    describe_packed,
    format_address,
    pack_address,
    parse_address,
    unpack_address,
)
from plantainyoke.wire._envelope import EnvelopeCodec
from plantainyoke.wire._errors import AuthenticationError, MalformedError, WireError
from plantainyoke.wire._link import FrameReader, FrameWriter, handshake_link
from plantainyoke.wire._mac import MessageAuthenticator
from plantainyoke.wire._messages import (
    Condition,
    Forward,
    Gossip,
    Probe,
    ProbeAck,
    Reply,
    TargetState,
    Update,
)

__all__ = [
    "Address",
    "AuthenticationError",
    "Condition",
    "EnvelopeCodec",
    "Forward",
    "FrameReader",
    "FrameWriter",
    "Gossip",
    "MalformedError",
    "MessageAuthenticator",
    "Probe",
    "ProbeAck",
    "Reply",
    "TargetState",
    "Update",
    "WireError",
    "describe_packed",
    "format_address",
    "handshake_link",
    "pack_address",
    "parse_address",
    "unpack_address",
]
