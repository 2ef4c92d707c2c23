"""Keys of flows, and the parts of their packets on which the system decides.

The key of a flow has 12 bytes: service address (4), caller port (2), service port (2),
caller address (4). Both directions of a flow have the same key. `Segment` does not
depend on the platform's packet format; its codec fills it in.
"""

import socket

import msgspec

from plantainyoke.network import AddressError

FlowKey = bytes

FLOW_KEY_BYTES = 12


class Segment(msgspec.Struct):
    """One packet of a flow.

    Attributes
    ----------
    flow : bytes
    opens, finishes, resets : bool
        Whether the packet opens the flow, ends its direction, or aborts the flow.
    has_acknowledged : bool
        Whether ``acknowledged`` is valid.
    bounced : bool
        Whether a target returned the packet because it does not hold the flow.
    sequence, acknowledged : int
    payload_size : int
        In bytes.
    raw : bytes
        The packet as it was received.
    """

    flow: FlowKey
    opens: bool
    finishes: bool
    resets: bool
    has_acknowledged: bool
    bounced: bool
    sequence: int
    acknowledged: int
    payload_size: int
    raw: bytes


def get_service_endpoint(flow: FlowKey) -> tuple[int, int]:
    """Return the service's IPv4 address as an integer, and its port."""
    return int.from_bytes(flow[0:4], "big"), int.from_bytes(flow[6:8], "big")


def get_caller_ip(flow: FlowKey) -> str:
    """Return the caller's IPv4 address as text."""
    return socket.inet_ntoa(flow[8:12])


def format_flow(flow: FlowKey) -> str:
    """Return ``"caller:port>service:port"``, the identifier used in logs."""
    caller_port = int.from_bytes(flow[4:6], "big")
    service_port = int.from_bytes(flow[6:8], "big")
    service = socket.inet_ntoa(flow[0:4])
    return f"{get_caller_ip(flow)}:{caller_port}>{service}:{service_port}"


class FlowFormatError(AddressError):
    """A text that is not a flow in the form ``"caller:port>service:port"``."""


def parse_flow(text: str) -> FlowKey:
    """Return the key of a flow written by ``format_flow``.

    Raises
    ------
    FlowFormatError
        If the text does not have this form, or an address or port is invalid.
    """
    caller, separator, service = text.partition(">")
    caller_ip, _, caller_port = caller.rpartition(":")
    service_ip, _, service_port = service.rpartition(":")
    if not (separator and caller_port.isdigit() and service_port.isdigit()):
        raise FlowFormatError(text, "is not of the form caller:port>service:port")
    try:
        return (
            socket.inet_aton(service_ip)
            + int(caller_port).to_bytes(2, "big")
            + int(service_port).to_bytes(2, "big")
            + socket.inet_aton(caller_ip)
        )
    except (OSError, OverflowError, ValueError):
        raise FlowFormatError(text, "contains an invalid address or port") from None
