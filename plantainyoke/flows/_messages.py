"""Encoding and decoding of the datagrams between balancers and agents.

Each datagram starts with a fixed header, packed by ``struct``: one is sent for every
packet of a caller, and decoding by a schema library would cost more than the steering
decision.
"""

import struct
from enum import IntEnum
from typing import NamedTuple

import msgspec

from plantainyoke.flows._segment import FLOW_KEY_BYTES, FlowKey

MAGIC = 0xF7
HEADER = struct.Struct("!BBBBIHIQ")
HEADER_BYTES = HEADER.size
LOAD_LAYOUT = struct.Struct("!HHHBI")
MAX_ALTERNATES = 8
MOSTLY_COLD_FLAG = 0x80  # flags beside the number of alternates
MAY_WAIT_FLAG = 0x40
IGNORE_FAILING_FLAG = 0x20
ALTERNATES_MASK = 0x1F
MAX_HOPS = 6  # forwards of one packet between processes before it is dropped


class MalformedMessageError(Exception):
    """A datagram that is not a valid message between balancers and agents."""


class MessageKind(IntEnum):
    """Request or report that a datagram carries."""

    OPEN = 1  # place this first packet of a flow
    FORWARD = 2  # packet for the receiver, which holds the flow
    FIND = 3  # packet for the holder, which the receiver may know
    PROBE = 4  # deliver if the receiver holds the flow, else deny in QUERY_ANSWER
    NOT_HELD = 5  # answer to FORWARD; returns the packet
    REFUSED = 6  # answer to OPEN; returns the packet
    ACCEPTED = 7  # the target accepted the flow's first packet
    HELD = 8  # the target holds the open flow
    REGISTER_HOLDER = 9  # store a pointer from the flow to the sender
    SEARCHING = 10  # answer to FIND: a search for the holder is in progress
    LOAD_REPORT = 11  # load of an agent
    LEAVING = 12  # the agent stops; its target may keep running
    WAITING = 13  # answer to OPEN: the flow waits until the target has capacity
    QUERY = 14  # does the receiver's target hold the flow?
    QUERY_ANSWER = 15  # answer to QUERY and to PROBE
    RELAY = 16  # message for another host, see `_relay`


class FlowRefusal(IntEnum):
    """Reason for which an agent refuses a flow's first packet."""

    NONE = 0
    SERVICE = 1  # the target belongs to another service
    DRAINING = 2
    ZONE_OUT = 3
    COLD = 4  # the limit of new flows in cold start is reached
    FULL = 5
    UNVERIFIED = 6  # the target may have been replaced
    REJECTED = 7  # the target returned the packet
    SILENT = 8  # the target does not answer
    LEAVING = 9
    BUSY = 10  # the answer would come too late for the route's `aim_s`
    FAILING = 11  # the target fails requests


class Knowledge(IntEnum):
    """What an agent knows about whether its target holds a flow."""

    HOLDS = 1
    DENIES = 2
    UNSURE = 3  # only the target knows: the agent started later than the flow may have


class Ingress(NamedTuple):
    """The balancer that received a packet from its caller.

    Attributes
    ----------
    host : int
        0 if unknown.
    zone : int
        Identifier of the balancer's zone, 0 if unknown.
    """

    host: int = 0
    zone: int = 0


class Message(msgspec.Struct):
    """Content of one datagram.

    Attributes
    ----------
    kind : MessageKind
    hops : int
        How often the packet was forwarded between processes.
    detail : int
        `FlowRefusal` in REFUSED, `Knowledge` in QUERY_ANSWER; see
        `encode_open_detail` for OPEN.
    ingress : Ingress
    service : int
        Identifier of the service the flow was routed to, 0 if unknown.
    revision : int
        Catalogue revision of the sender.
    body : bytes
        Packet, flow key or load, depending on the kind.
    """

    kind: int
    hops: int
    detail: int
    ingress: Ingress
    service: int
    revision: int
    body: bytes


class Load(msgspec.Struct):
    """Load of an agent's target.

    Attributes
    ----------
    flows : int
        Flows that the target holds.
    in_flight : int
        Flows whose caller waits for an answer, including those whose first packet
        waits at the agent.
    slots : int
    refusal : FlowRefusal
        Reason for which the agent refuses new flows at present.
    work_time_us : int
        Time in which the target works on one request, in microseconds; 0 if unknown.
    """

    flows: int = 0
    in_flight: int = 0
    slots: int = 1
    refusal: int = FlowRefusal.NONE
    work_time_us: int = 0


def encode_message(
    kind: int,
    body: bytes,
    *,
    ingress: Ingress,
    revision: int,
    service: int = 0,
    hops: int = 0,
    detail: int = 0,
) -> bytes:
    """Return the datagram of a message."""
    head = HEADER.pack(MAGIC, kind, hops, detail, *ingress, service, revision)
    return head + body


def decode_message(datagram: bytes) -> Message:
    """Return the message in a datagram.

    Raises
    ------
    MalformedMessageError
    """
    if len(datagram) < HEADER_BYTES:
        raise MalformedMessageError(
            f"datagram of {len(datagram)} bytes is shorter than the header of "
            f"{HEADER_BYTES}"
        )
    magic, kind, hops, detail, host, zone, service, revision = HEADER.unpack_from(
        datagram
    )
    if magic != MAGIC or not MessageKind.OPEN <= kind <= MessageKind.RELAY:
        raise MalformedMessageError(
            f"unknown magic number {magic:#x} or message kind {kind}"
        )
    ingress = Ingress(host, zone)
    body = datagram[HEADER_BYTES:]
    return Message(kind, hops, detail, ingress, service, revision, body)


def encode_open_detail(
    alternates: int,
    *,
    mostly_cold: bool = False,
    may_wait: bool = False,
    ignore_failing: bool = False,
) -> int:
    """Return the detail of OPEN.

    Parameters
    ----------
    alternates : int
        Number of alternate agents in the body.
    mostly_cold : bool, default=False
        Whether at least half of the service's targets are in cold start.
    may_wait : bool, default=False
        Whether the flow may wait until the target has capacity.
    ignore_failing : bool, default=False
        Whether a failing target may accept the flow, because too many are failing.
    """
    return (
        alternates
        | (MOSTLY_COLD_FLAG if mostly_cold else 0)
        | (MAY_WAIT_FLAG if may_wait else 0)
        | (IGNORE_FAILING_FLAG if ignore_failing else 0)
    )


def encode_open_body(hosts: list[int], packet: bytes) -> bytes:
    """Return the body of OPEN: alternate agents to try, then the packet."""
    return b"".join(host.to_bytes(4, "big") for host in hosts) + packet


def decode_open_body(detail: int, body: bytes) -> tuple[list[int], bytes]:
    """Return the alternates and the packet of OPEN.

    Raises
    ------
    MalformedMessageError
    """
    count = detail & ALTERNATES_MASK
    size = count * 4
    if count > MAX_ALTERNATES or len(body) <= size:
        raise MalformedMessageError(
            f"{count} alternates (limit {MAX_ALTERNATES}) do not fit a body of "
            f"{len(body)} bytes"
        )
    hosts = [
        int.from_bytes(body[offset : offset + 4], "big") for offset in range(0, size, 4)
    ]
    return hosts, body[size:]


def encode_load_body(flow: FlowKey, load: Load) -> bytes:
    """Return the body of a message with the load, and of a flow if it has one."""
    return flow + LOAD_LAYOUT.pack(
        min(load.flows, 0xFFFF),
        min(load.in_flight, 0xFFFF),
        min(load.slots, 0xFFFF),
        load.refusal,
        min(load.work_time_us, 0xFFFFFFFF),
    )


def decode_load_body(body: bytes) -> tuple[FlowKey, Load]:
    """Return the flow and load of a message; the flow of LOAD_REPORT is empty.

    Raises
    ------
    MalformedMessageError
    """
    if len(body) not in (LOAD_LAYOUT.size, FLOW_KEY_BYTES + LOAD_LAYOUT.size):
        raise MalformedMessageError(
            f"load body of {len(body)} bytes is neither {LOAD_LAYOUT.size} nor "
            f"{FLOW_KEY_BYTES + LOAD_LAYOUT.size} long"
        )
    flow = body[: -LOAD_LAYOUT.size]
    return flow, Load(*LOAD_LAYOUT.unpack(body[-LOAD_LAYOUT.size :]))


def decode_flow_key(body: bytes) -> FlowKey:
    """Return the flow of a message whose body is a flow key.

    Raises
    ------
    MalformedMessageError
    """
    if len(body) != FLOW_KEY_BYTES:
        raise MalformedMessageError(
            f"flow key of {len(body)} bytes is not {FLOW_KEY_BYTES} long"
        )
    return body


def decode_knowledge(detail: int) -> Knowledge:
    """Return what the sender of QUERY_ANSWER knows.

    Raises
    ------
    MalformedMessageError
    """
    try:
        return Knowledge(detail)
    except ValueError as error:
        raise MalformedMessageError(f"unknown answer to a query {detail}") from error


def decode_refusal(detail: int) -> FlowRefusal:
    """Return the reason in REFUSED.

    Raises
    ------
    MalformedMessageError
    """
    try:
        return FlowRefusal(detail)
    except ValueError as error:
        raise MalformedMessageError(f"unknown refusal {detail}") from error
