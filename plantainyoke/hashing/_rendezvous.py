"""Ranks members by rendezvous hashing, in the same order in every process.

References
----------
Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998.
"""

from collections.abc import Iterable

import xxhash


def rank_by_rendezvous(key: bytes, members: Iterable[bytes]) -> list[bytes]:
    """Order members by their rendezvous weight for a key, highest first.

    Parameters
    ----------
    key : bytes
    members : iterable of bytes

    Returns
    -------
    list of bytes
    """
    return sorted(
        members,
        key=lambda member: (xxhash.xxh64_intdigest(key + member), member),
        reverse=True,
    )
