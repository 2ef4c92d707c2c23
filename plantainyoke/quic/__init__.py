"""Extensions of the QUIC library that the agents and callers need."""

from plantainyoke.quic._driver import ConnectionDriver
from plantainyoke.quic._extensions import (
    INCARNATION_SETTING,
    NO_ERROR,
    REQUEST_CANCELLED,
    REQUEST_REJECTED,
    STREAM_ERROR,
    ControlledH3Connection,
    RoutedQuicConnection,
    SessionQuicConnection,
    build_flow_reset,
    build_stateless_reset,
    derive_reset_token,
    pending_bytes,
    server_connection_id,
    server_source_id,
)

__all__ = [
    "INCARNATION_SETTING",
    "NO_ERROR",
    "REQUEST_CANCELLED",
    "REQUEST_REJECTED",
    "STREAM_ERROR",
    "ConnectionDriver",
    "ControlledH3Connection",
    "RoutedQuicConnection",
    "SessionQuicConnection",
    "build_flow_reset",
    "build_stateless_reset",
    "derive_reset_token",
    "pending_bytes",
    "server_connection_id",
    "server_source_id",
]
