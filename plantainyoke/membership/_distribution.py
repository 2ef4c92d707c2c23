"""Who reads the platform and who asks whom for configuration.

Every process computes the same answer from the published host list; nobody is
elected.
"""

from dataclasses import dataclass

from plantainyoke.hashing import (
    rank_by_rendezvous,
)
from plantainyoke.publication import HostList

READERS_PER_ZONE = 2
TREE_FANOUT = 4
MAX_PARENTS = 3
ADDRESS_BYTES = 6


@dataclass(frozen=True, slots=True)
class DistributionPlan:
    """A process's place in the distribution of configuration.

    Attributes
    ----------
    is_reader : bool
        Whether it watches the platform.
    parents : tuple of int
        Packed addresses to ask, in order of preference.
    """

    is_reader: bool
    parents: tuple[int, ...]


def plan_distribution(
    hosts: HostList, *, address: int, zone: int, is_balancer: bool
) -> DistributionPlan:
    """Return the place of one process.

    The balancers of a zone form a tree whose first members are the readers;
    agents ask a few balancers of their zone, or of any zone if it has none.
    """
    balancers = hosts.balancers()
    local = [entry.address for entry in balancers if entry.zone == zone]
    if is_balancer:
        return _plan_balancer(_ranked(zone, {*local, address}), address)
    pool = local or [entry.address for entry in balancers]
    return DistributionPlan(not pool, tuple(_ranked(address, pool)[:MAX_PARENTS]))


def _plan_balancer(order: list[int], address: int) -> DistributionPlan:
    position = order.index(address)
    readers = order[:READERS_PER_ZONE]
    if position < READERS_PER_ZONE:
        others = tuple(reader for reader in readers if reader != address)
        return DistributionPlan(True, others)
    above = (position - READERS_PER_ZONE) // TREE_FANOUT
    parents = dict.fromkeys([order[above], *readers])
    return DistributionPlan(False, tuple(parents)[:MAX_PARENTS])


def _ranked(key: int, members) -> list[int]:
    encoded = [member.to_bytes(ADDRESS_BYTES, "big") for member in members]
    ranked = rank_by_rendezvous(key.to_bytes(ADDRESS_BYTES, "big"), encoded)
    return [int.from_bytes(member, "big") for member in ranked]
