"""Arranges the processes of a zone in a tree along which the catalogue spreads.

Every process computes the same ranking, so the tree needs no election. A process
follows only hosts that are ranked before it, so there are no circles.
"""

from collections.abc import Sequence

import xxhash

from plantainyoke.catalogue._catalogue import Catalogue
from plantainyoke.hashing import rank_by_rendezvous

FANOUT = 16  # subscribers of a source; a zone of 1,900 processes is three levels deep
MAX_FALLBACK_SOURCES = 4  # first ranks that are tried when all ancestors fail
ANY_ZONE = 0  # key that ranks hosts if the process's zone has no targets


class ReaderRanking:
    """Ranks the hosts that may read the store for a zone.

    These are the hosts of the zone's targets. If the zone has none, they are the hosts
    of all targets, or the seeds if no target is known. Every zone ranks the latter
    alike: with different orders, processes of two zones could each wait for the other
    to read.

    Parameters
    ----------
    catalogue : Catalogue
    zone : int
        Identifier of the zone.
    seeds : sequence of int
        Hosts that are ranked while no target is known.

    Attributes
    ----------
    hosts : list of int
        In order of rank, the first reader first.
    computed_at : int
        Number of changes of the catalogue that the ranking includes.
    """

    def __init__(self, catalogue: Catalogue, zone: int, seeds: Sequence[int]) -> None:
        self.catalogue = catalogue
        self.zone = zone
        self.seeds = seeds
        self.hosts: list[int] = []
        self.computed_at = -1

    def list_hosts(self) -> list[int]:
        """Return the hosts in order of rank."""
        catalogue = self.catalogue
        if self.computed_at == catalogue.changes_applied:
            return self.hosts
        ring = catalogue.rings_by_zone.get(self.zone)
        hosts = ring.hosts if ring else list(catalogue.target_by_host) or self.seeds
        key = (self.zone if ring else ANY_ZONE).to_bytes(4, "big")
        members = [host.to_bytes(4, "big") for host in hosts]
        self.hosts = [
            int.from_bytes(member, "big") for member in rank_by_rendezvous(key, members)
        ]
        self.computed_at = catalogue.changes_applied
        return self.hosts


def plan_sources(ranking: Sequence[int], host: int) -> list[int]:
    """Return the hosts that a process may subscribe to, its preferred source first.

    These are its ancestors in the tree, then the first hosts of the ranking as
    fallback.

    Parameters
    ----------
    ranking : sequence of int
        Hosts that may read the store, the first reader first.
    host : int
        Host of the process; it need not be in the ranking.
    """
    if not ranking:
        return []
    if host in ranking:
        index = ranking.index(host)
    else:
        key = host.to_bytes(4, "big")
        index = len(ranking) + xxhash.xxh64_intdigest(key) % len(ranking)
    ancestors = []
    ancestor_index = index
    while ancestor_index > 0:
        ancestor_index = (ancestor_index - 1) // FANOUT
        ancestors.append(ranking[ancestor_index])
    return list(
        dict.fromkeys([*ancestors, *ranking[: min(index, MAX_FALLBACK_SOURCES)]])
    )
