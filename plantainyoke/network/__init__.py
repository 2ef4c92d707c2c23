"""IPv4 addresses, UDP and TCP sockets, and a small HTTP client and server."""

from plantainyoke.network._address import (
    Address,
    AddressError,
    format_address,
    format_host,
    format_packed_address,
    pack_address,
    parse_address,
    parse_host,
    unpack_address,
)
from plantainyoke.network._connections import serve_connections
from plantainyoke.network._datagrams import DatagramSocket
from plantainyoke.network._http import (
    BodyTooLargeError,
    HttpClient,
    HttpError,
    HttpServer,
    Response,
)
from plantainyoke.network._transfer import TransferDeadline, read_exactly, read_part

__all__ = [
    "Address",
    "AddressError",
    "BodyTooLargeError",
    "DatagramSocket",
    "HttpClient",
    "HttpError",
    "HttpServer",
    "Response",
    "TransferDeadline",
    "format_packed_address",
    "format_address",
    "parse_host",
    "format_host",
    "pack_address",
    "parse_address",
    "read_exactly",
    "read_part",
    "serve_connections",
    "unpack_address",
]
