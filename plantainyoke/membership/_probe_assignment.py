"""Assignment of agents to the balancers that probe them.

Every balancer computes its part from the published host list and the configured
agents, so that a few balancers probe each agent and no coordinator is needed.
"""

from collections.abc import Mapping
from functools import lru_cache

from plantainyoke.hashing import (
    rank_by_rendezvous,
)
from plantainyoke.publication import HostList
from plantainyoke.routing import (
    CandidateTable,
)

ADDRESS_BYTES = 6
ZONE_BYTES = 2


def select_probed_agents(
    hosts: HostList, agents: Mapping[int, int], address: int
) -> list[int]:
    """Return the agents that a balancer probes regularly.

    Each agent is probed by one balancer of its zone and by one of another zone, so
    that the failure of a whole zone is detected from outside. If only one zone has
    balancers, two of them probe each agent. An agent whose zone has no balancer is
    probed from every zone that has one.

    Parameters
    ----------
    hosts : HostList
    agents : mapping of int to int
        Zone by packed agent address.
    address : int
        Packed address of the balancer.

    Returns
    -------
    list of int
        Packed agent addresses; empty if the balancer is leaving or is not on
        the host list.
    """
    balancers_by_zone = _group_balancers_by_zone(hosts)
    balancer_zone = hosts.zone_by_address.get(address)
    if balancer_zone not in balancers_by_zone:
        return []
    probed_zones = {
        zone
        for zone in set(agents.values())
        if zone == balancer_zone
        or zone not in balancers_by_zone
        or _choose_outside_zone(zone, balancers_by_zone) == balancer_zone
    }
    table = _build_table(tuple(sorted(balancers_by_zone[balancer_zone])))
    is_only_zone = len(balancers_by_zone) == 1
    probed = []
    for agent, zone in agents.items():
        if zone not in probed_zones:
            continue
        key = agent.to_bytes(ADDRESS_BYTES, "big")
        probers = (
            table.find_candidates(key)[:2] if is_only_zone else [table.find_first(key)]
        )
        if address in probers:
            probed.append(agent)
    return probed


@lru_cache(maxsize=1)
def _build_table(balancers: tuple[int, ...]) -> CandidateTable:
    """Return the table of a zone's balancers, cached for repeated calls.

    The balancers change far less often than the agents.
    """
    return CandidateTable(balancers)


def _group_balancers_by_zone(hosts: HostList) -> dict[int, list[int]]:
    balancers_by_zone: dict[int, list[int]] = {}
    for entry in hosts.list_balancers():
        balancers_by_zone.setdefault(entry.zone, []).append(entry.address)
    return balancers_by_zone


def _choose_outside_zone(
    zone: int, balancers_by_zone: Mapping[int, list[int]]
) -> int | None:
    """Return the other zone whose balancers also probe the agents of ``zone``."""
    others = [
        other.to_bytes(ZONE_BYTES, "big")
        for other in balancers_by_zone
        if other != zone
    ]
    if not others:
        return None
    key = zone.to_bytes(ZONE_BYTES, "big")
    return int.from_bytes(rank_by_rendezvous(key, others)[0], "big")
