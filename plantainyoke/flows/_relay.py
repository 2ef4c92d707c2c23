"""Content of RELAY, a message that a third process forwards to its final host.

The sender sets no hops. The process that forwards it sets one hop and states the sender
as ingress, so that a message is relayed once at most. The message inside counts the
forwarding as one more hop.
"""

from typing import NamedTuple

from plantainyoke.flows._messages import (
    HEADER_BYTES,
    MAX_HOPS,
    MalformedMessageError,
    Message,
    MessageKind,
    decode_message,
)

HOST_BYTES = 4
HOPS_OFFSET = 2  # in the header of a message
MAX_INNER_BYTES = 1400  # OPEN with eight alternates and a full packet has 1,290


class RelayedMessage(NamedTuple):
    """Content of RELAY.

    Attributes
    ----------
    final_host : int
        Host whose process is to handle the message.
    datagram : bytes
        The message as it is to be forwarded.
    message : Message
        The message decoded.
    """

    final_host: int
    datagram: bytes
    message: Message


def encode_relay_body(final_host: int, datagram: bytes) -> bytes:
    """Return the body of RELAY."""
    return final_host.to_bytes(HOST_BYTES, "big") + datagram


def decode_relay_body(body: bytes) -> RelayedMessage:
    """Return the content of RELAY.

    Raises
    ------
    MalformedMessageError
        If the message inside has an invalid size, is invalid or is itself a RELAY, or
        was forwarded too often.
    """
    size = len(body) - HOST_BYTES
    if not HEADER_BYTES <= size <= MAX_INNER_BYTES:
        raise MalformedMessageError(f"relayed message of {size} bytes")
    datagram = body[HOST_BYTES:]
    message = decode_message(datagram)
    if message.kind == MessageKind.RELAY:
        raise MalformedMessageError("a relayed message contains another one")
    if message.hops > MAX_HOPS:
        raise MalformedMessageError(f"relayed message with {message.hops} hops")
    return RelayedMessage(int.from_bytes(body[:HOST_BYTES], "big"), datagram, message)


def add_hop(datagram: bytes) -> bytes:
    """Return a message with one hop more."""
    hops = datagram[HOPS_OFFSET] + 1
    return datagram[:HOPS_OFFSET] + bytes((hops,)) + datagram[HOPS_OFFSET + 1 :]
