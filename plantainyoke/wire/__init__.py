"""Authenticated messages between balancers and agents of the QUIC path.

UDP envelopes carry flow packets, probes and gossip; frames on TCP links carry relayed
requests and configuration documents. Both are encoded with Cap'n Proto.
"""

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
    "handshake_link",
]
