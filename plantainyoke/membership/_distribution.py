"""Distribution of configuration from the platform to all processes.

A few balancers of each zone read the platform; the other processes poll balancers.
Every process computes its plan from the published host list, so no leader is elected.
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
    """The part of one process in the distribution of configuration.

    Attributes
    ----------
    is_reader : bool
        Whether the process watches the platform.
    parents : tuple of int
        Packed addresses to poll for configuration, in order of preference.
    """

    is_reader: bool
    parents: tuple[int, ...]


def plan_distribution(
    hosts: HostList, *, address: int, zone: int, is_balancer: bool
) -> DistributionPlan:
    """Return the distribution plan of one process.

    The balancers of a zone form a tree whose first members are the readers. An agent
    polls a few balancers of its zone, or of any zone if its zone has none; without
    any balancer, the agent reads the platform.

    Parameters
    ----------
    hosts : HostList
    address : int
        Packed address of the process.
    zone : int
        Identifier of the process's zone.
    is_balancer : bool

    Returns
    -------
    DistributionPlan
    """
    balancers = hosts.list_balancers()
    local = [entry.address for entry in balancers if entry.zone == zone]
    if is_balancer:
        return _plan_balancer(_rank_members(zone, {*local, address}), address)
    pool = local or [entry.address for entry in balancers]
    return DistributionPlan(not pool, tuple(_rank_members(address, pool)[:MAX_PARENTS]))


def _plan_balancer(ranked: list[int], address: int) -> DistributionPlan:
    position = ranked.index(address)
    readers = ranked[:READERS_PER_ZONE]
    if position < READERS_PER_ZONE:
        others = tuple(reader for reader in readers if reader != address)
        return DistributionPlan(True, others)
    parent_position = (position - READERS_PER_ZONE) // TREE_FANOUT
    parents = dict.fromkeys([ranked[parent_position], *readers])
    return DistributionPlan(False, tuple(parents)[:MAX_PARENTS])


def _rank_members(key: int, members) -> list[int]:
    encoded = [member.to_bytes(ADDRESS_BYTES, "big") for member in members]
    ranked = rank_by_rendezvous(key.to_bytes(ADDRESS_BYTES, "big"), encoded)
    return [int.from_bytes(member, "big") for member in ranked]
