"""Maps keys to hosts by consistent hashing, so that few keys move when hosts change.

References
----------
Karger et al., "Consistent Hashing and Random Trees", STOC 1997.
"""

from bisect import bisect, bisect_left, insort

import xxhash

POINTS_PER_HOST = 16  # hosts' shares of the keys differ by about a quarter


class HashRing:
    """Consistent hash ring that maps keys to hosts.

    Adding or removing a host moves only the keys of that host.

    Attributes
    ----------
    hosts : set of int
    points : list of (int, int)
        Positions on the ring with their hosts, sorted.
    """

    def __init__(self) -> None:
        self.hosts: set[int] = set()
        self.points: list[tuple[int, int]] = []

    def add(self, host: int) -> None:
        """Add a host if it is not on the ring."""
        if host not in self.hosts:
            self.hosts.add(host)
            for point in _compute_points(host):
                insort(self.points, point)

    def discard(self, host: int) -> None:
        """Remove a host if it is on the ring."""
        if host in self.hosts:
            self.hosts.discard(host)
            for point in _compute_points(host):
                del self.points[bisect_left(self.points, point)]

    def find(self, key: bytes, *, skip: set[int] | frozenset[int] = frozenset()):
        """Return the host of a key.

        Parameters
        ----------
        key : bytes
        skip : set of int
            Hosts to leave out.

        Returns
        -------
        int or None
            None if no host remains.
        """
        points = self.points
        position = bisect(points, (xxhash.xxh64_intdigest(key), 0))
        for offset in range(len(points)):
            host = points[(position + offset) % len(points)][1]
            if host not in skip:
                return host
        return None


def _compute_points(host: int) -> list[tuple[int, int]]:
    packed = host.to_bytes(4, "big")
    return [
        (xxhash.xxh64_intdigest(packed, seed), host) for seed in range(POINTS_PER_HOST)
    ]
