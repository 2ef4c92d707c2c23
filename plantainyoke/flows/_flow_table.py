"""Table of the flows of an agent's target.

The table holds open flows and half-open ones, whose first packet the target has not
accepted yet. It counts the requests in flight and measures the time of their answers.
Flows that exceeded the idle timeout are kept for a while, because a configuration that
raises the timeout may be on its way; they no longer count as load.
"""

import itertools
from collections import OrderedDict
from collections.abc import Callable

import msgspec

from plantainyoke.flows._messages import Ingress
from plantainyoke.flows._segment import FlowKey, Segment

HALF_OPEN_TIMEOUT_S = 2.0  # callers give up after 1.4 s
# Callers confirm within a round trip of some 15 ms and send their request with it.
OPENING_S = 0.05
SEQUENCE_MASK = 0xFFFFFFFF


class HeldFlow(msgspec.Struct):
    """A flow that the target holds.

    Attributes
    ----------
    opened_at, last_seen_at : float
        Time of the opening and of the latest packet of either end, in seconds.
    ingress : Ingress
        The balancer that received the caller's latest packet.
    request_at : float
        Time of the last data of a request without an answer, 0 if there is none.
    in_flight_at_request : int
        Flows with a request in flight at that time, this one included.
    homes : tuple of int
        Hosts of the homes at which the holder was last registered.
    acknowledged : int
        Last sequence that the caller acknowledged; callers accept only a reset whose
        sequence is near it.
    is_closing : bool
        Whether one end has finished its direction.
    expected_sequence : int or None
        Sequence of the data that the target expects next, None before its first
        acknowledgement.
    is_reopened : bool
        Whether its caller's address sent another first packet: it may have lost the
        flow, and the target may then reset it.
    idle_packet : bytes
        The caller's latest packet without payload, 36 bytes; empty if there is none of
        which a copy can be sent without an effect on the flow.
    is_receiving : bool
        Whether the target has a part of a request, the rest of which is to come.
    """

    opened_at: float
    last_seen_at: float
    ingress: Ingress
    request_at: float = 0.0
    in_flight_at_request: int = 0
    homes: tuple[int, ...] = ()
    acknowledged: int = 0
    is_closing: bool = False
    expected_sequence: int | None = None
    is_reopened: bool = False
    idle_packet: bytes = b""
    is_receiving: bool = False

    def is_new_data(self, segment: Segment) -> bool:
        """Return whether a caller's packet has data that the target does not have.

        Other data is a late copy: it would count as a request without an answer.
        """
        if not segment.payload_size or self.is_closing:
            return False
        if self.expected_sequence is None:
            return True
        end = segment.sequence + segment.payload_size
        return 0 < (end - self.expected_sequence) & SEQUENCE_MASK <= SEQUENCE_MASK >> 1


class HalfOpenFlow(msgspec.Struct):
    """A flow whose first packet was sent to the target.

    Attributes
    ----------
    sent_at : float
        Time at which the packet was sent to the target, in seconds.
    ingress : Ingress
    service : int
        Identifier of the service to which the flow was routed.
    alternates : list of int
        Agents to try if the target does not accept the flow.
    packet : bytes
        The first packet, as its caller sent it.
    hops : int
    mostly_cold : bool
        Whether half of the service's targets were in cold start.
    may_wait : bool
        Whether the flow may wait until the target has capacity.
    ignore_failing : bool
        Whether the target may accept the flow although it fails requests.
    acceptance_sequence : int or None
        Sequence of the target's acceptance, None before it.
    """

    sent_at: float
    ingress: Ingress
    service: int
    alternates: list[int]
    packet: bytes
    hops: int
    mostly_cold: bool = False
    may_wait: bool = False
    ignore_failing: bool = False
    acceptance_sequence: int | None = None


class FlowTable(msgspec.Struct):
    """Open and half-open flows of one target.

    Attributes
    ----------
    flows : OrderedDict of bytes to HeldFlow
        In the order of their latest packets, the longest idle first.
    half_open : dict of bytes to HalfOpenFlow
    requests : dict of bytes to HeldFlow
        Flows whose caller waits for an answer.
    idle_flows : OrderedDict of bytes to HeldFlow
        Flows that exceeded the idle timeout, the longest idle first.
    complete_since : float
        Time in seconds since which the table lacks no flow: one that the target holds
        and the table lacks had no packet after it.
    """

    flows: OrderedDict[FlowKey, HeldFlow] = msgspec.field(default_factory=OrderedDict)
    half_open: dict[FlowKey, HalfOpenFlow] = msgspec.field(default_factory=dict)
    requests: dict[FlowKey, HeldFlow] = msgspec.field(default_factory=dict)
    idle_flows: OrderedDict[FlowKey, HeldFlow] = msgspec.field(
        default_factory=OrderedDict
    )
    complete_since: float = float("-inf")

    @property
    def in_flight(self) -> int:
        """Number of flows whose caller waits for an answer."""
        return len(self.requests)

    def is_held(self, flow: FlowKey) -> bool:
        """Return whether the target holds a flow as far as the table says."""
        return flow in self.flows or flow in self.idle_flows

    def find(self, flow: FlowKey) -> HeldFlow | None:
        """Return a held flow of which a packet arrived, None if it is not in the table.

        A flow that exceeded the idle timeout is in use again.
        """
        held = self.idle_flows.pop(flow, None)
        if held is not None:
            self.flows[flow] = held
        return self.flows.get(flow)

    def add_half_open(self, flow: FlowKey, half_open: HalfOpenFlow) -> None:
        """Add a flow whose first packet is sent to the target."""
        self.idle_flows.pop(flow, None)
        self.half_open[flow] = half_open

    def count_opening(self, now: float) -> int:
        """Return the number of half-open flows whose callers will confirm soon.

        The callers of older ones gave up, or their packets were lost.
        """
        count = 0
        for half_open in reversed(self.half_open.values()):
            if now - half_open.sent_at > OPENING_S:
                break
            count += 1
        return count

    def add_held(self, flow: FlowKey, *, ingress: Ingress, now: float) -> HeldFlow:
        """Add a flow that the target holds, or return its present entry."""
        self.half_open.pop(flow, None)
        held = self.find(flow)
        if held is None:
            held = self.flows[flow] = HeldFlow(now, now, ingress)
        return held

    def record_caller_packet(
        self,
        held: HeldFlow,
        segment: Segment,
        *,
        ingress: Ingress,
        now: float,
        more_follows: bool = False,
    ) -> None:
        """Update a flow by a packet of its caller.

        Parameters
        ----------
        held : HeldFlow
        segment : Segment
        ingress : Ingress
        now : float
        more_follows : bool, default=False
            Whether the rest of the request is still to come. The target works on it
            only then; an upload over a slow link may take a second until there.
        """
        held.last_seen_at = now
        held.ingress = ingress
        held.acknowledged = segment.acknowledged
        self.flows.move_to_end(segment.flow)
        is_new_data = held.is_new_data(segment)
        if is_new_data:
            held.is_receiving = more_follows
        if is_new_data and not more_follows:
            held.request_at = now
            self.requests[segment.flow] = held
            held.in_flight_at_request = self.in_flight
        held.is_closing = held.is_closing or segment.finishes

    def record_target_packet(
        self, held: HeldFlow, segment: Segment, now: float
    ) -> float | None:
        """Update a flow by a packet of the target.

        Returns
        -------
        float or None
            Seconds from the caller's request to this packet if it begins the answer,
            otherwise None.
        """
        held.last_seen_at = now
        self.flows.move_to_end(segment.flow)
        held.is_closing = held.is_closing or segment.finishes
        if segment.has_acknowledged:
            held.expected_sequence = segment.acknowledged
        if segment.payload_size:
            held.is_receiving = False
        if not held.request_at:
            return None
        if segment.payload_size:
            return self._end_request(segment.flow, held, now)
        if segment.finishes:
            self._end_request(segment.flow, held, now)
        return None

    def remove(self, flow: FlowKey) -> HeldFlow | None:
        """Remove a flow, and return it if it was held."""
        self.half_open.pop(flow, None)
        held = self.flows.pop(flow, None) or self.idle_flows.pop(flow, None)
        if held is not None and held.request_at:
            self._end_request(flow, held, held.last_seen_at)
        return held

    def expire(self, now: float, *, idle_s: float, retention_s: float) -> None:
        """Remove flows that had no packet for too long.

        Half-open flows that timed out are removed as well.

        Parameters
        ----------
        now : float
        idle_s : float
            Time after which a held flow no longer counts as load.
        retention_s : float
            Time after which it is removed from the table.
        """
        for flow in _list_idle(self.flows, now - idle_s):
            self.idle_flows[flow] = self.remove(flow)
        for flow in _list_idle(self.idle_flows, now - retention_s):
            removed = self.idle_flows.pop(flow)
            self.complete_since = max(self.complete_since, removed.last_seen_at)
        stale = [
            flow
            for flow, half_open in self.half_open.items()
            if now - half_open.sent_at > HALF_OPEN_TIMEOUT_S
        ]
        for flow in stale:
            del self.half_open[flow]

    def expire_requests(
        self, now: float, get_timeout_s: Callable[[FlowKey], float]
    ) -> None:
        """Stop counting requests whose callers gave up waiting for an answer.

        Parameters
        ----------
        now : float
        get_timeout_s : callable
            Returns the time after which callers of a flow give up, 0 if unknown.
        """
        for flow, held in tuple(self.requests.items()):
            timeout_s = get_timeout_s(flow)
            if timeout_s and now - held.request_at > timeout_s:
                self._end_request(flow, held, now)

    def _end_request(self, flow: FlowKey, held: HeldFlow, now: float) -> float:
        elapsed = now - held.request_at
        held.request_at = 0.0
        del self.requests[flow]
        return elapsed


def _list_idle(
    flows: OrderedDict[FlowKey, HeldFlow], last_seen_until: float
) -> list[FlowKey]:
    """Return the first flows, which had no packet after a time."""
    idle = itertools.takewhile(
        lambda item: item[1].last_seen_at <= last_seen_until, flows.items()
    )
    return [flow for flow, _ in idle]
