"""Homes of a flow and the pointers to holders that they keep.

Every process computes the same homes from the same targets, so a balancer that does
not know a flow's holder sends the packet to a home, which forwards it. A pointer is a
hint that may be stale; the holder's agent decides whether it holds the flow.
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
        Identifier of the zone of the flow's ingress.
    rings : mapping of int to HashRing
        Hosts of agents, by the identifier of their zone.

    Returns
    -------
    tuple of int
        Hosts of the homes: the one in the ingress zone first, if that zone has an
        agent, then the one in another zone, if there is another.
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
        Host of the holder and time of the last registration in seconds, the oldest
        first.
    """

    def __init__(self) -> None:
        self.holders: OrderedDict[FlowKey, tuple[int, float]] = OrderedDict()

    def register(self, flow: FlowKey, holder: int, now: float) -> None:
        """Store or refresh the pointer of a flow."""
        self.holders[flow] = (holder, now)
        self.holders.move_to_end(flow)

    def find(self, flow: FlowKey) -> int | None:
        """Return the holder of a flow, None if there is no pointer."""
        entry = self.holders.get(flow)
        return None if entry is None else entry[0]

    def remove(self, flow: FlowKey, holder: int) -> None:
        """Remove the pointer of a flow if it names the given holder."""
        entry = self.holders.get(flow)
        if entry is not None and entry[0] == holder:
            del self.holders[flow]

    def expire(self, now: float, age_s: float) -> None:
        """Remove pointers that were not registered again within ``age_s``."""
        while self.holders:
            flow, (_, registered_at) = next(iter(self.holders.items()))
            if now - registered_at < age_s:
                return
            del self.holders[flow]
