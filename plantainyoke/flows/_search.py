"""State of the searches for the holders of flows that no home knows.

A search sends the flow's packet to candidates. The holder delivers it; every other
candidate answers that it does not hold the flow. The flow is known to be lost only
after every candidate that is still published has denied it: hosts that left do not
answer, and must not block that conclusion forever.

Load pattern: after many processes ended at the same moment, the holder of every open
flow must be found again within one round trip, although its agent has lost its flow
table as well. The packet is sent to the candidates among which the flow was probably
placed, so that the number of messages for all flows does not grow with the square of
the number of hosts, and to all others only if none of those holds the flow.
"""

from collections.abc import Container

import msgspec

from plantainyoke.flows._segment import FlowKey

SEARCH_TIMEOUT_S = 3.0  # longer than the interval between two retransmissions
WIDEN_DELAY_S = 0.05  # a target answers within 10 ms, across zones included


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
    acknowledged : int
        Last sequence that the caller acknowledged; callers accept only a reset whose
        sequence is near it.
    """

    started_at: float
    requested_at: float
    unanswered: set[int]
    deferred: set[int]
    is_complete: bool
    denied: set[int] = msgspec.field(default_factory=set)
    acknowledged: int = 0

    def is_denied_by_all(self, published: Container[int]) -> bool:
        """Return whether every probed candidate that is still published denied."""
        return not any(host in published for host in self.unanswered)

    def widen(self) -> set[int]:
        """Move the deferred candidates to the unanswered ones and return them."""
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

    def start(
        self,
        flow: FlowKey,
        first: set[int],
        deferred: set[int],
        *,
        is_complete: bool,
        now: float,
    ) -> Search:
        """Start a search among candidates, of which some are deferred."""
        search = self.running[flow] = Search(now, now, first, deferred, is_complete)
        return search

    def record_denial(self, flow: FlowKey, candidate: int) -> Search | None:
        """Record that a candidate denied, and return the search if one is running."""
        search = self.running.get(flow)
        if search is not None and candidate in search.unanswered:
            search.unanswered.discard(candidate)
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
