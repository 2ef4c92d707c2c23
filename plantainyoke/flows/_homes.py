"""Homes: the agents that remember who holds a flow.

Every process computes the same homes from the same targets, so a balancer that does
not know a flow asks one of them. A home is a hint; the holder's agent decides.
"""

from collections import OrderedDict
from collections.abc import Mapping

import xxhash

from plantainyoke.flows._segment import FlowKey
from plantainyoke.hashing import HashRing


def choose_homes(
    flow: FlowKey, zone: int, rings: Mapping[int, HashRing]
) -> tuple[int, ...]:
    """Return a flow's home in the ingress zone and one in another zone.

    Parameters
    ----------
    flow : bytes
    zone : int
        Identifier of the zone through which the flow's packets come.
    rings : mapping of int to HashRing
        Agents by zone.
    """
    homes = []
    if zone in rings:
        homes.append(rings[zone].find(flow))
    others = sorted(name for name in rings if name != zone)
    if others:
        second = others[xxhash.xxh64_intdigest(flow) % len(others)]
        homes.append(rings[second].find(flow))
    return tuple(homes)


class HolderTable:
    """Pointers from flows to the agents that hold them.

    Attributes
    ----------
    holders : OrderedDict of bytes to (int, float)
        Host of the holder and time of the last news, oldest first.
    """

    def __init__(self) -> None:
        self.holders: OrderedDict[FlowKey, tuple[int, float]] = OrderedDict()

    def register(self, flow: FlowKey, holder: int, now: float) -> None:
        """Remember the holder of a flow."""
        self.holders[flow] = (holder, now)
        self.holders.move_to_end(flow)

    def find(self, flow: FlowKey) -> int | None:
        """Return the holder of a flow."""
        known = self.holders.get(flow)
        return None if known is None else known[0]

    def remove(self, flow: FlowKey, holder: int) -> None:
        """Drop the pointer of a flow if it names the given holder."""
        known = self.holders.get(flow)
        if known is not None and known[0] == holder:
            del self.holders[flow]

    def expire(self, now: float, age_s: float) -> None:
        """Drop pointers older than any flow lives."""
        while self.holders:
            flow, (_, told_at) = next(iter(self.holders.items()))
            if now - told_at < age_s:
                return
            del self.holders[flow]
