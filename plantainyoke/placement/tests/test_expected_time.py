import random
from collections import Counter

import pytest

from plantainyoke.catalogue import Target
from plantainyoke.flows import FlowRefusal, Load
from plantainyoke.placement import (
    AgentTable,
    WorkTimeEstimator,
    rank_by_expected_time,
    rank_targets,
)
from plantainyoke.standins import PlacementLoad, PlacementSimulation

HOSTS = range(10, 22)
TARGETS = [Target(f"t{h}", "s", h, 1, "abc"[h % 3], 1) for h in HOSTS]


def _flow_key(number):
    return number.to_bytes(12, "big")


def _rank(agents, *, number=0, now=0.0, targets=TARGETS, rank=rank_by_expected_time):
    return rank(targets, flow=_flow_key(number), zone="a", agents=agents, now=now)


def _choose_today(targets, flow, zone, agents, now):
    return rank_targets(targets, flow=flow, zone=zone, agents=agents, now=now)


def _choose(targets, flow, zone, agents, now):
    return rank_by_expected_time(targets, flow=flow, zone=zone, agents=agents, now=now)


class TestRanking:
    @pytest.mark.parametrize("work_times_us", [(0,), (20_000,), (19_000, 20_000)])
    def test_order_at_even_speeds_is_that_of_the_counts(self, work_times_us):
        # A deployment with even, steady load must be served as before.
        randomness = random.Random(3)
        for number in range(200):
            agents = AgentTable()
            for host in HOSTS:
                load = Load(
                    flows=randomness.randrange(9),
                    in_flight=randomness.randrange(3),
                    work_time_us=randomness.choice(work_times_us),
                    refusal=randomness.choice((FlowRefusal.NONE, FlowRefusal.FULL)),
                )
                agents.record_load(host, load, 0.0)
            expected = _rank(agents, number=number, rank=rank_targets)
            assert _rank(agents, number=number) == expected

    def test_flows_are_placed_in_proportion_to_speed(self):
        # A target with half the speed got as many long-lived flows as the others.
        agents, counts = AgentTable(), Counter()
        targets = TARGETS[::3]
        for number in range(700):
            best = _rank(agents, number=number, targets=targets)[0]
            counts[best.host] += 1
            work_time_us = 40_000 if best is targets[0] else 20_000
            load = Load(flows=counts[best.host], work_time_us=work_time_us)
            agents.record_load(best.host, load, 0.0)
        assert counts[targets[0].host] == pytest.approx(100, abs=3)

    def test_service_time_without_answers_lapses(self):
        # A slow target that gets no flows could never show that it has recovered.
        agents = AgentTable()
        for host in HOSTS:
            slow = host == HOSTS[0]
            load = Load(
                flows=0 if slow else 3, work_time_us=160_000 if slow else 20_000
            )
            agents.record_load(host, load, 0.0)
        targets = [target for target in TARGETS if target.zone == TARGETS[0].zone]
        assert _rank(agents, targets=targets)[-1].host == HOSTS[0]
        assert _rank(agents, targets=targets, now=20.0)[0].host == HOSTS[0]


class TestWorkTime:
    def test_long_request_does_not_count_for_those_behind_it(self):
        # Requests behind a long one made the target look slow to all balancers.
        work_time = WorkTimeEstimator()
        work_time.record_answer(0.02, in_flight=1, slots=1, now=1.0)
        work_time.record_answer(0.18, in_flight=2, slots=1, now=1.02)
        assert work_time.work_time_s == pytest.approx(0.02)


class TestSimulatedLoad:
    @pytest.mark.parametrize("share", [0.5, 0.7])
    def test_uneven_targets_answer_fewer_requests_late(self, share):
        load = PlacementLoad(share, targets=20, duration_s=8.0)
        today = PlacementSimulation(load, _choose_today).run()
        result = PlacementSimulation(load, _choose).run()
        assert result.late_share < 0.7 * today.late_share
        assert result.busiest_to_mean < today.busiest_to_mean

    def test_calm_load_on_even_targets_is_served_as_before(self):
        load = PlacementLoad(
            0.3, targets=20, duration_s=8.0, speeds=(1.0,), has_long_requests=False
        )
        today = PlacementSimulation(load, _choose_today).run()
        assert PlacementSimulation(load, _choose).run() == today
