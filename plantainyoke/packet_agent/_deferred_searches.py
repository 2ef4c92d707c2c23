"""Order of an agent's searches for holders after an outage.

Load pattern: after a power loss a search starts for every open flow within a second. A
caller waits for an answer only if the flow's packet has data; the others can be found a
little later.
"""

import msgspec

from plantainyoke.flows import FlowKey, Ingress, Segment

INTERVAL_S = 0.05  # of the timer that starts deferred searches
MAX_STARTED = 32  # searches without data in one interval; calm agents start a few
MAX_DEFERRED_SEARCHES = 640  # so that none waits for more than a second


class DeferredSearch(msgspec.Struct, frozen=True):
    """Packet without data whose flow's holder is searched for later.

    Attributes
    ----------
    segment : Segment
    ingress : Ingress
    hops : int
    """

    segment: Segment
    ingress: Ingress
    hops: int


class DeferredSearches:
    """Searches that have to wait for those of packets with data.

    Attributes
    ----------
    waiting : dict of bytes to DeferredSearch
        By flow, in the order of arrival.
    interval_at : float
        Start of the current interval, in seconds.
    started : int
        Searches for packets without data that started in it.
    """

    def __init__(self) -> None:
        self.waiting: dict[FlowKey, DeferredSearch] = {}
        self.interval_at = 0.0
        self.started = 0

    def try_defer(
        self, segment: Segment, ingress: Ingress, hops: int, now: float
    ) -> bool:
        """Return whether a packet's search was deferred.

        A search that cannot be deferred, because too many are, starts at once.
        """
        flow = segment.flow
        self.waiting.pop(flow, None)
        if segment.payload_size or len(self.waiting) >= MAX_DEFERRED_SEARCHES:
            return False
        if now - self.interval_at >= INTERVAL_S:
            self.interval_at, self.started = now, 0
        if self.started < MAX_STARTED:
            self.started += 1
            return False
        self.waiting[flow] = DeferredSearch(segment, ingress, hops)
        return True

    def take_due(self, now: float) -> list[DeferredSearch]:
        """Remove and return the searches that start in the interval that begins now."""
        self.interval_at, self.started = now, 0
        due = list(self.waiting.values())[:MAX_STARTED]
        for search in due:
            del self.waiting[search.segment.flow]
        return due
