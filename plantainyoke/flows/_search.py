"""Search for the holder of a flow that no home remembers.

Load pattern: after many processes ended at the same moment, every open flow must be
found again within a round trip, while its agent's knowledge is gone as well. The
packet goes to the candidates among which the flow was probably placed, so that the
messages for all flows together do not grow with the square of the number of hosts;
if those do not hold it, to all others. Who does not hold the flow says so, the holder
keeps it. Only when every candidate that is still published has denied is the flow known
to be gone: hosts that left do not answer, and must not forbid that forever.
"""

from collections.abc import Container

import msgspec

from plantainyoke.flows._segment import FlowKey

SEARCH_KEPT_S = 3.0  # longer than the pause between two retransmissions
WIDEN_DELAY_S = 0.05  # a target answers within 10 ms, across zones included


class Search(msgspec.Struct):
    """One search.

    Attributes
    ----------
    started_at, asked_at : float
    unanswered : set of int
        Candidates that were asked and have not denied the flow.
    deferred : set of int
        Candidates that are asked if the first do not hold the flow.
    denied : set of int
    is_complete : bool
        Whether the candidates are all agents that may hold the flow.
    acknowledged : int
        What the caller acknowledged last; a reset must be near it.
    """

    started_at: float
    asked_at: float
    unanswered: set[int]
    deferred: set[int]
    is_complete: bool
    denied: set[int] = msgspec.field(default_factory=set)
    acknowledged: int = 0

    def is_denied_by_all(self, published: Container[int]) -> bool:
        """Tell whether every candidate asked that is still published has denied."""
        return not any(host in published for host in self.unanswered)

    def widen(self) -> set[int]:
        """Add the later candidates to those asked, and return them."""
        deferred, self.deferred = self.deferred, set()
        self.unanswered |= deferred
        return deferred


class SearchTable:
    """Searches in progress.

    Attributes
    ----------
    running : dict of bytes to Search
    """

    def __init__(self) -> None:
        self.running: dict[FlowKey, Search] = {}

    def get_active(self, flow: FlowKey, now: float) -> Search | None:
        """Return the running search for a flow, and keep it for longer."""
        search = self.running.get(flow)
        if search is None or now - search.started_at > SEARCH_KEPT_S:
            return None
        search.asked_at = now
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
        """Start a search among candidates."""
        search = self.running[flow] = Search(now, now, first, deferred, is_complete)
        return search

    def record_denial(self, flow: FlowKey, candidate: int) -> Search | None:
        """Note a denial and return the search, if one is running."""
        search = self.running.get(flow)
        if search is not None and candidate in search.unanswered:
            search.unanswered.discard(candidate)
            search.denied.add(candidate)
        return search

    def finish(self, flow: FlowKey) -> Search | None:
        """End a search whose holder is known."""
        return self.running.pop(flow, None)

    def expire(self, now: float) -> list[tuple[FlowKey, Search]]:
        """Drop and return searches that nobody asks for any more."""
        stale = [
            (flow, search)
            for flow, search in self.running.items()
            if now - search.asked_at > SEARCH_KEPT_S
        ]
        for flow, _ in stale:
            del self.running[flow]
        return stale
