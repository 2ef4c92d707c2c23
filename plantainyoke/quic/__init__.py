"""QUIC and HTTP/3 connections of agents and callers, on top of aioquic.

Adds routable connection IDs, stateless resets and GOAWAY, and an asyncio driver that
runs a connection in one task.
"""

from plantainyoke.quic._driver import ConnectionDriver
from plantainyoke.quic._extensions import (
    H3_INTERNAL_ERROR,
    H3_NO_ERROR,
    H3_REQUEST_CANCELLED,
    H3_REQUEST_REJECTED,
    INCARNATION_SETTING,
    CallerQuicConnection,
    GoawayH3Connection,
    RoutedQuicConnection,
    build_connection_reset,
    build_stateless_reset,
    count_pending_bytes,
    derive_reset_token,
    get_server_connection_id,
    get_server_initial_id,
)

__all__ = [
    "H3_INTERNAL_ERROR",
    "H3_NO_ERROR",
    "H3_REQUEST_CANCELLED",
    "H3_REQUEST_REJECTED",
    "INCARNATION_SETTING",
    "CallerQuicConnection",
    "ConnectionDriver",
    "GoawayH3Connection",
    "RoutedQuicConnection",
    "build_connection_reset",
    "build_stateless_reset",
    "count_pending_bytes",
    "derive_reset_token",
    "get_server_connection_id",
    "get_server_initial_id",
]
