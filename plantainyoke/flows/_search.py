"""State of the searches for the holders of flows that no home knows.

A search asks candidates whether their targets hold the flow, and sends its packet to
those that do and to those that are not sure. The flow is known to be lost only after
every candidate that is still published has denied it: hosts that left do not answer,
and must not block that conclusion forever.

Load pattern: after many processes ended at the same moment, the holder of every open
flow must be found again within few round trips, although its agent has lost its flow
table as well, and many candidates start later than the search. The candidates among
which the flow was probably placed are asked first, so that the number of messages for
all flows does not grow with the square of the number of hosts, and all others only if
none of those holds the flow. Queries have no packet, which would be most of the bytes
between zones, and are repeated to candidates that do not answer: the caller's next
packet may come 1.6 s later.
"""

from collections.abc import Container

import msgspec

from plantainyoke.flows._messages import Ingress
from plantainyoke.flows._segment import FlowKey, Segment

SEARCH_TIMEOUT_S = 3.0  # longer than the interval between two retransmissions
WIDEN_DELAY_S = 0.05  # a target answers within 10 ms, across zones included
FIRST_REPEAT_DELAY_S = 0.06  # also the interval of the timer that repeats queries
MAX_REPEAT_DELAY_S = 0.5


class Search(msgspec.Struct):
    """Search for the holder of one flow.

    Attributes
    ----------
    started_at, requested_at : float
        Time of the start and of the latest packet of the flow, in seconds.
    unanswered : set of int
        Candidates that were probed and have not denied the flow.
    deferred : set of int
        Candidates that are probed if none of the first holds the flow.
    denied : set of int
        Candidates that do not hold the flow.
    is_complete : bool
        Whether the candidates are all agents that may hold the flow.
    segment : Segment
        The flow's latest packet.
    ingress : Ingress
        The balancer that received it.
    hops : int
        How often it was forwarded.
    unsure : set of int
        Unanswered candidates that got the packet, because only their targets know
        whether they hold the flow, or because they hold it.
    asked_at : float
        Time at which further candidates were last asked, in seconds.
    repeat_at : float
        Time at which unanswered queries are due to be repeated, in seconds.
    repeat_delay_s : float
    """

    started_at: float
    requested_at: float
    unanswered: set[int]
    deferred: set[int]
    is_complete: bool
    segment: Segment
    ingress: Ingress
    hops: int
    denied: set[int] = msgspec.field(default_factory=set)
    unsure: set[int] = msgspec.field(default_factory=set)
    asked_at: float = 0.0
    repeat_at: float = 0.0
    repeat_delay_s: float = FIRST_REPEAT_DELAY_S

    def is_denied_by_all(self, published: Container[int], now: float) -> bool:
        """Return whether every candidate that may hold the flow denied.

        Candidates that are no longer published may run for some more seconds. They
        count while their answers may be on the way, and if they answered.
        """
        if not self.denied:
            return False
        if now < self.asked_at + FIRST_REPEAT_DELAY_S:
            return not self.unanswered
        return not any(
            host in published or host in self.unsure for host in self.unanswered
        )

    def is_repeat_due(self, now: float) -> bool:
        """Return whether queries are due to be repeated, and schedule the next time."""
        if now < self.repeat_at:
            return False
        self.repeat_at = now + self.repeat_delay_s
        self.repeat_delay_s = min(2 * self.repeat_delay_s, MAX_REPEAT_DELAY_S)
        return True

    def widen(self, now: float) -> set[int]:
        """Move the deferred candidates to the unanswered ones and return them."""
        if self.deferred:
            self.asked_at = now
        deferred, self.deferred = self.deferred, set()
        self.unanswered |= deferred
        return deferred


class SearchTable:
    """Searches in progress, by flow.

    Attributes
    ----------
    running : dict of bytes to Search
    """

    def __init__(self) -> None:
        self.running: dict[FlowKey, Search] = {}

    def get_active(self, flow: FlowKey, now: float) -> Search | None:
        """Return the search for a flow unless it is too old, and record the request."""
        search = self.running.get(flow)
        if search is None or now - search.started_at > SEARCH_TIMEOUT_S:
            return None
        search.requested_at = now
        return search

    def start(self, flow: FlowKey, search: Search) -> None:
        """Add a search."""
        search.asked_at = search.started_at
        search.repeat_at = search.started_at + search.repeat_delay_s
        self.running[flow] = search

    def record_denial(self, flow: FlowKey, candidate: int) -> Search | None:
        """Record that a candidate denied, and return the search if one is running."""
        search = self.running.get(flow)
        if search is not None and candidate in search.unanswered:
            search.unanswered.discard(candidate)
            search.unsure.discard(candidate)
            search.denied.add(candidate)
        return search

    def finish(self, flow: FlowKey) -> Search | None:
        """Remove and return the search for a flow, None if none is running."""
        return self.running.pop(flow, None)

    def expire(self, now: float) -> list[tuple[FlowKey, Search]]:
        """Remove and return searches whose flows sent no packet for too long."""
        stale = [
            (flow, search)
            for flow, search in self.running.items()
            if now - search.requested_at > SEARCH_TIMEOUT_S
        ]
        for flow, _ in stale:
            del self.running[flow]
        return stale
