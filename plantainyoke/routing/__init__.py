"""Stateless routing of QUIC datagrams to agents.

A balancer keeps no flow state: it reads the agent of an existing flow from the
encrypted connection ID of a packet, and selects candidate agents for a new flow from
a hash table that every balancer builds alike.
"""

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
