"""Which balancer probes which agents."""

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

    Each agent has one watcher in its own zone, and one in another zone, so that
    the failure of a whole zone is seen from outside.

    Parameters
    ----------
    hosts : HostList
    agents : mapping of int to int
        Zone by packed agent address.
    address : int
        Packed address of the balancer.
    """
    pools = _pools(hosts)
    own_zone = hosts.zone_by_address.get(address)
    if own_zone not in pools:
        return []
    watched_zones = {
        zone
        for zone in set(agents.values())
        if zone == own_zone or zone not in pools or _buddy(zone, pools) == own_zone
    }
    table = _build_table(tuple(sorted(pools[own_zone])))
    is_alone = len(pools) == 1
    watched = []
    for agent, zone in agents.items():
        if zone not in watched_zones:
            continue
        key = agent.to_bytes(ADDRESS_BYTES, "big")
        watchers = (
            table.find_candidates(key)[:2] if is_alone else [table.find_first(key)]
        )
        if address in watchers:
            watched.append(agent)
    return watched


@lru_cache(maxsize=1)
def _build_table(pool: tuple[int, ...]) -> CandidateTable:
    """Return the table of a pool, which changes far less often than the agents."""
    return CandidateTable(pool)


def _pools(hosts: HostList) -> dict[int, list[int]]:
    pools: dict[int, list[int]] = {}
    for entry in hosts.balancers():
        pools.setdefault(entry.zone, []).append(entry.address)
    return pools


def _buddy(zone: int, pools: Mapping[int, list[int]]) -> int | None:
    """Return the zone whose balancers watch another zone's agents."""
    others = [item.to_bytes(ZONE_BYTES, "big") for item in pools if item != zone]
    if not others:
        return None
    key = zone.to_bytes(ZONE_BYTES, "big")
    return int.from_bytes(rank_by_rendezvous(key, others)[0], "big")
