"""A consistent hash ring of hosts.

References
----------
Karger et al., "Consistent Hashing and Random Trees", STOC 1997.
"""

from bisect import bisect, bisect_left, insort

import xxhash

POINTS_PER_HOST = 16  # evens the hosts' shares to about a quarter


class HashRing:
    """Maps keys to hosts; a change of hosts moves only their own keys.

    Attributes
    ----------
    hosts : set of int
    points : list of (int, int)
        Places of the hosts on the ring, sorted.
    """

    def __init__(self) -> None:
        self.hosts: set[int] = set()
        self.points: list[tuple[int, int]] = []

    def add(self, host: int) -> None:
        """Add a host."""
        if host not in self.hosts:
            self.hosts.add(host)
            for point in _points_of(host):
                insort(self.points, point)

    def discard(self, host: int) -> None:
        """Remove a host."""
        if host in self.hosts:
            self.hosts.discard(host)
            for point in _points_of(host):
                del self.points[bisect_left(self.points, point)]

    def find(self, key: bytes, *, skip: set[int] | frozenset[int] = frozenset()):
        """Return the host of a key, leaving out some hosts; None if there is none."""
        points = self.points
        position = bisect(points, (xxhash.xxh64_intdigest(key), 0))
        for offset in range(len(points)):
            host = points[(position + offset) % len(points)][1]
            if host not in skip:
                return host
        return None


def _points_of(host: int) -> list[tuple[int, int]]:
    packed = host.to_bytes(4, "big")
    return [
        (xxhash.xxh64_intdigest(packed, seed), host) for seed in range(POINTS_PER_HOST)
    ]
