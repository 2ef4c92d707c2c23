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
        gone = min(hosts)
        ring.discard(gone)
        ring.discard(gone)
        assert ring.points == _ring(sorted(hosts - {gone}, reverse=True)).points

    def test_only_keys_of_a_lost_host_move(self):
        ring = _ring(range(10))
        before = {key: ring.find(key) for key in KEYS}
        ring.discard(3)
        moved = [key for key in KEYS if ring.find(key) != before[key]]
        assert {before[key] for key in moved} == {3}

    def test_shares_are_even(self):
        counts = Counter(_ring(range(10)).find(key) for key in KEYS)
        assert max(counts.values()) < 2 * len(KEYS) / 10

    def test_skipped_and_empty(self):
        ring = _ring([1, 2])
        assert {ring.find(key, skip={1}) for key in KEYS} == {2}
        assert ring.find(KEYS[0], skip={1, 2}) is None
        assert HashRing().find(KEYS[0]) is None
