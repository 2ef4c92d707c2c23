"""Arranges the processes of a zone in a tree along which the catalogue spreads.

Every process computes the same ranking, so the tree needs no election. A process
follows only hosts that are ranked before it, so there are no circles.
"""

from collections.abc import Sequence

import xxhash

FANOUT = 16  # subscribers of a source; a zone of 1,900 processes is three levels deep
MAX_FALLBACK_SOURCES = 4  # first ranks that are tried when all ancestors fail


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
