"""Addresses and sockets."""

from plantainyoke.network._address import (
    Address,
    AddressError,
    describe_packed,
    format_address,
    host_number,
    host_text,
    pack_address,
    parse_address,
    unpack_address,
)
from plantainyoke.network._connections import serve_connections
from plantainyoke.network._datagrams import DatagramSocket
from plantainyoke.network._http import HttpClient, HttpError, HttpServer, Response

__all__ = [
    "Address",
    "AddressError",
    "DatagramSocket",
    "HttpClient",
    "HttpError",
    "HttpServer",
    "Response",
    "describe_packed",
    "format_address",
    "host_number",
    "host_text",
    "pack_address",
    "parse_address",
    "serve_connections",
    "unpack_address",
]
