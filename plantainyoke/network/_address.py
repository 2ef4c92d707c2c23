"""Conversions of IPv4 addresses between tuples, text and integers.

Sockets use tuples, settings and logs use text. Hosts and processes are identified by
integers.
"""

import socket
import struct
from functools import lru_cache

Address = tuple[str, int]


class AddressError(ValueError):
    """A text that is not an IPv4 address and port.

    Parameters
    ----------
    text : str
    problem : str
        End of the message, which begins with the text.
    """

    def __init__(self, text: str, problem: str) -> None:
        super().__init__(text, problem)
        self.text = text
        self.problem = problem

    def __str__(self) -> str:
        return f"{self.text!r} {self.problem}"


PORT_BITS = 16
PORT_MASK = 0xFFFF
MAX_CACHED_ADDRESSES = 65_536


@lru_cache(maxsize=MAX_CACHED_ADDRESSES)
def pack_address(address: Address) -> int:
    """Pack an IPv4 address and port into ``ip << 16 | port``."""
    host, port = address
    (ip,) = struct.unpack("!I", socket.inet_aton(host))
    return ip << PORT_BITS | port


@lru_cache(maxsize=MAX_CACHED_ADDRESSES)
def unpack_address(packed: int) -> Address:
    """Return the ``(host, port)`` tuple of a packed address."""
    host = socket.inet_ntoa(struct.pack("!I", packed >> PORT_BITS & 0xFFFFFFFF))
    return host, packed & PORT_MASK


def parse_address(text: str) -> Address:
    """Parse ``"host:port"`` with an IPv4 host.

    Raises
    ------
    AddressError
        If the host is not a dotted IPv4 address or the port is not 1 to 65535.
    """
    host, separator, port_text = text.rpartition(":")
    if not separator or not (port_text.isascii() and port_text.isdigit()):
        raise AddressError(text, "is not an IPv4 address and port")
    port = int(port_text)
    if not 0 < port <= PORT_MASK:
        raise AddressError(text, "has a port outside 1 to 65535")
    try:
        socket.inet_pton(socket.AF_INET, host)
    except OSError:
        raise AddressError(text, "is not an IPv4 address and port") from None
    return host, port


def format_address(address: Address) -> str:
    """Return ``"host:port"``."""
    return f"{address[0]}:{address[1]}"


def format_packed_address(packed: int) -> str:
    """Return ``"host:port"`` of a packed address."""
    return format_address(unpack_address(packed))


def parse_host(ip: str) -> int:
    """Return a dotted IPv4 address as an integer.

    Raises
    ------
    OSError
        If the text is not an IPv4 address.
    """
    return int.from_bytes(socket.inet_aton(ip), "big")


def format_host(host: int) -> str:
    """Return the dotted form of an IPv4 address given as an integer."""
    return socket.inet_ntoa(host.to_bytes(4, "big"))
