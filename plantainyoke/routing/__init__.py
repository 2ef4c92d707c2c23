"""Stateless routing of datagrams to agents."""

from plantainyoke.routing._connection_id import (
    CONNECTION_ID_SIZE,
    ConnectionIdCodec,
    ConnectionTarget,
    RoutingKey,
)
from plantainyoke.routing._packet import (
    InitialPacket,
    RoutablePacket,
    UnroutablePacket,
    parse_packet,
)
from plantainyoke.routing._table import CandidateTable

__all__ = [
    "CONNECTION_ID_SIZE",
    "CandidateTable",
    "ConnectionIdCodec",
    "ConnectionTarget",
    "InitialPacket",
    "RoutablePacket",
    "RoutingKey",
    "UnroutablePacket",
    "parse_packet",
]
