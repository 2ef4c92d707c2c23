"""Cache of the flows that a balancer forwards.

The cache is a hint: the agent beside the holder decides whether it holds a flow.
"""

from collections import OrderedDict

import msgspec

from plantainyoke.flows import FlowKey, Segment

MAX_CACHED_FLOWS = 200_000  # about 100 MB
MAX_ATTEMPTS = 4  # attempts for one packet, each at another agent


class CachedFlow(msgspec.Struct):
    """State of one flow in a balancer's cache.

    Attributes
    ----------
    last_seen_at : float
        Time of the flow's last packet from the caller.
    created_at : float
        Time at which the entry was created.
    holder : int
        Host of the agent that holds the flow, 0 if unknown.
    is_open : bool
        Whether the holder reported the flow as open.
    service : int
        Identifier of the service that was selected for the flow.
    tried_hosts : list of int
        Hosts of the agents that refused the first packet, did not answer it in time,
        or were asked for the holder.
    offered_hosts : list of int
        Hosts of the agents in the current placement: the first, then its alternates.
    mostly_cold : bool
        Whether at least half of the service's targets were in cold start at the last
        attempt.
    may_wait : bool
        Whether the flow may wait at an agent, because busy ones refused it.
    ignore_failing : bool
        Whether a failing target may accept the flow, because too many are failing.
    met_failing : bool
        Whether an agent refused the flow because its target is failing.
    service_name : str
        Name of the service that was selected last.
    attempts : int
        Number of attempts so far to place the flow or to find its holder.
    timed_out : bool
        Whether an agent did not answer the first packet in time.
    deadline : float
        Time at which the next attempt is due, 0 if there is none.
    pending_segment : Segment or None
        Packet that is not placed yet or whose holder is not found yet.
    """

    last_seen_at: float
    created_at: float
    holder: int = 0
    is_open: bool = False
    service: int = 0
    tried_hosts: list[int] = msgspec.field(default_factory=list)
    offered_hosts: list[int] = msgspec.field(default_factory=list)
    mostly_cold: bool = False
    may_wait: bool = False
    ignore_failing: bool = False
    met_failing: bool = False
    service_name: str = ""
    attempts: int = 0
    timed_out: bool = False
    deadline: float = 0.0
    pending_segment: Segment | None = None


class FlowCache:
    """Flows that a balancer forwards, and those that wait for an agent's answer.

    Attributes
    ----------
    flows : OrderedDict of bytes to CachedFlow
        Flows by key, the least recently used first.
    unresolved : dict of bytes to CachedFlow
        Flows of the cache that wait for an agent's answer.
    """

    def __init__(self) -> None:
        self.flows: OrderedDict[FlowKey, CachedFlow] = OrderedDict()
        self.unresolved: dict[FlowKey, CachedFlow] = {}

    def __len__(self) -> int:
        return len(self.flows)

    def get(self, flow: FlowKey) -> CachedFlow | None:
        """Return the entry of a flow, None if it is not cached."""
        return self.flows.get(flow)

    def add(self, flow: FlowKey, now: float) -> CachedFlow:
        """Add a new entry for a flow, which replaces an earlier one."""
        self.unresolved.pop(flow, None)
        entry = self.flows[flow] = CachedFlow(now, now)
        self.flows.move_to_end(flow)
        return entry

    def record_packet(self, flow: FlowKey, entry: CachedFlow, now: float) -> None:
        """Record that a packet of a flow arrived from its caller."""
        entry.last_seen_at = now
        self.flows.move_to_end(flow)

    def list_due(self, now: float) -> list[tuple[FlowKey, CachedFlow]]:
        """Return the unresolved flows whose agents did not answer in time."""
        return [
            (flow, entry)
            for flow, entry in self.unresolved.items()
            if now >= entry.deadline
        ]

    def remove(self, flow: FlowKey) -> None:
        """Remove a flow."""
        self.flows.pop(flow, None)
        self.unresolved.pop(flow, None)

    def clear_attempts(self, flow: FlowKey, entry: CachedFlow) -> None:
        """End the attempts to place a flow or to find its holder."""
        self.unresolved.pop(flow, None)
        entry.pending_segment = None
        entry.deadline = 0.0
        entry.attempts = 0
        entry.tried_hosts, entry.offered_hosts = [], []
        entry.may_wait = False

    def expire(self, now: float, idle_s: float) -> None:
        """Remove flows that exceeded the idle timeout or the size of the cache."""
        while self.flows:
            flow, entry = next(iter(self.flows.items()))
            if now - entry.last_seen_at < idle_s and len(self) <= MAX_CACHED_FLOWS:
                return
            self.remove(flow)
