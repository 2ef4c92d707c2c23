from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from plantainyoke.hashing import HashRing

KEYS = [number.to_bytes(12, "big") for number in range(2000)]


def _ring(hosts):
    ring = HashRing()
    for host in hosts:
        ring.add(host)
    return ring


class TestHashRing:
    @given(st.sets(st.integers(0, 2**32 - 1), min_size=2, max_size=20))
    def test_order_of_changes_does_not_matter(self, hosts):
        ring = _ring(sorted(hosts))
        removed = min(hosts)
        ring.discard(removed)
        ring.discard(removed)
        assert ring.points == _ring(sorted(hosts - {removed}, reverse=True)).points

    def test_only_keys_of_a_removed_host_move(self):
        ring = _ring(range(10))
        before = {key: ring.find(key) for key in KEYS}
        ring.discard(3)
        moved = [key for key in KEYS if ring.find(key) != before[key]]
        assert {before[key] for key in moved} == {3}

    def test_no_host_has_twice_its_share_of_keys(self):
        counts = Counter(_ring(range(10)).find(key) for key in KEYS)
        assert max(counts.values()) < 2 * len(KEYS) / 10

    def test_skipped_hosts_and_empty_ring(self):
        ring = _ring([1, 2])
        assert {ring.find(key, skip={1}) for key in KEYS} == {2}
        assert ring.find(KEYS[0], skip={1, 2}) is None
        assert HashRing().find(KEYS[0]) is None
