from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from plantainyoke.catalogue._ranking import FANOUT, plan_sources

AGENTS = list(range(1_000, 2_617))
BALANCERS = list(range(1, 295))


def _count_levels(ranking, host):
    levels = 0
    while sources := plan_sources(ranking, host):
        host = sources[0]
        levels += 1
    return levels


class TestPlanSources:
    def test_small_zone_follows_the_first_reader(self):
        assert plan_sources([7, 8, 9], 7) == []
        assert plan_sources([7, 8, 9], 8) == [7]
        assert plan_sources([7, 8, 9], 9) == [7, 8]
        assert plan_sources([7, 8, 9], 50) == [7, 8, 9]

    def test_empty_ranking_gives_no_sources(self):
        assert plan_sources([], 7) == []

    def test_large_zone_is_a_shallow_tree_of_bounded_fanout(self):
        members = [*AGENTS, *BALANCERS]
        parents = Counter(plan_sources(AGENTS, host)[0] for host in members[1:])
        assert max(_count_levels(AGENTS, host) for host in members) <= 4
        ranked = Counter(plan_sources(AGENTS, host)[0] for host in AGENTS[1:])
        assert max(ranked.values()) == FANOUT
        assert max(parents.values()) <= 2 * FANOUT

    @given(st.lists(st.integers(1, 500), unique=True, min_size=1, max_size=80))
    def test_sources_are_ranked_before_the_process(self, ranking):
        for index, host in enumerate(ranking):
            assert set(plan_sources(ranking, host)) <= set(ranking[:index])

    @pytest.mark.parametrize("host", [3, 4, 5])
    def test_only_the_first_reader_has_no_source(self, host):
        assert plan_sources([3, 4, 5], host) or host == 3
