"""Targets that fail part of their requests, in virtual time."""

import random

import pytest

from plantainyoke.packet_node import FeatureSettings
from plantainyoke.standins import PacketSimulation

FAILING_SHARE = 0.46  # of the requests, as on the helpdesk's day
WARM_UP_S = 3.0  # an agent counts nothing in its first second


class Session:
    """A caller that keeps a flow open and opens another one after a reset."""

    def __init__(self, simulation, *, rng, interval_s=1.0):
        self.simulation, self.rng, self.interval_s = simulation, rng, interval_s
        self.failed = self.answered = 0
        self.idle_resets = []
        self._open()

    def _open(self):
        self.caller, self.is_waiting = self.simulation.open_flow(), False
        self._wait()

    def _wait(self):
        delay_s = self.rng.expovariate(1 / self.interval_s)
        self.next_at = self.simulation.now + delay_s
        self._follow()

    def _follow(self):
        caller = self.caller
        if caller.reset_at is not None:
            self.failed += self.is_waiting
            if not self.is_waiting:
                self.idle_resets.append(caller.flow)
            self._open()
            return
        if self.is_waiting and caller.last_answered == caller.last_requested:
            self.answered += 1
            self.is_waiting = False
            self._wait()
            return
        if (
            caller.is_open
            and not self.is_waiting
            and self.simulation.now > self.next_at
        ):
            caller.send_request()
            self.is_waiting = True
        self.simulation.call_later(0.005, self._follow)


def start(*, targets=12, sessions=120, seed=0, detection=True, **options):
    simulation = PacketSimulation(
        {"orders": targets},
        slots=1,
        aim_s=0.3,
        timeout_s=1.5,
        is_idempotent=True,
        seed=seed,
        features=FeatureSettings(failing_target_detection=detection),
        **options,
    )
    rng = random.Random(seed)
    callers = [Session(simulation, rng=rng) for _ in range(sessions)]
    simulation.advance(WARM_UP_S)
    return simulation, callers


def count(simulation, name):
    return sum(metrics.counters[name] for metrics in simulation.metrics.values())


class TestTargetsThatResetRequests:
    """Callers must not lose requests at a target that resets 46 % of them."""

    @pytest.mark.parametrize("seed", range(3))
    def test_fewer_requests_fail_than_without_detection(self, seed):
        failed = {}
        for detection in (False, True):
            simulation, callers = start(seed=seed, detection=detection)
            for host in (10, 17):
                simulation.targets[host].reset_share = FAILING_SHARE
            simulation.advance(10.0)
            failed[detection] = sum(caller.failed for caller in callers)
        assert failed[False] > 30
        assert failed[True] <= failed[False] / 3

    def test_idle_flows_of_the_failing_target_only_are_reset(self):
        """A reset of an open flow of a healthy target is never allowed."""
        simulation, callers = start()
        simulation.targets[10].reset_share = FAILING_SHARE
        opened = {flow for _, flow in simulation.targets[10].opened_flows}
        simulation.advance(5.0)
        assert simulation.get_agent(10).admission.ejection.is_failing
        assert len(simulation.get_agent(10).flow_table.flows) <= 1
        resets = [flow for caller in callers for flow in caller.idle_resets]
        assert len(resets) >= 4
        opened |= {flow for _, flow in simulation.targets[10].opened_flows}
        assert set(resets) <= opened

    def test_target_whose_fault_ends_gets_flows_again(self):
        simulation, _ = start()
        simulation.targets[10].reset_share = FAILING_SHARE
        simulation.advance(4.0)
        simulation.targets[10].reset_share = 0.0
        rng = random.Random(1)
        for _ in range(40):  # trials need new flows
            Session(simulation, rng=rng, interval_s=0.1)
            simulation.advance(0.25)
        assert count(simulation, "outlier.recovered") == 1

    def test_calm_even_load_is_served_as_without_detection(self):
        placed = []
        for detection in (False, True):
            simulation, callers = start(detection=detection)
            simulation.advance(5.0)
            assert not sum(caller.failed for caller in callers)
            placed.append([target.received for target in simulation.targets.values()])
        assert placed[0] == placed[1]

    def test_service_of_which_most_targets_fail_is_not_emptied(self):
        """Refusals by all failing targets would fail every request."""
        simulation, callers = start(targets=4, sessions=40)
        for host in (10, 11, 12, 13):
            simulation.targets[host].reset_share = FAILING_SHARE
        simulation.advance(3.0)
        before = count(simulation, "reset.no_target")
        answered = sum(caller.answered for caller in callers)
        simulation.advance(4.0)
        assert sum(caller.answered for caller in callers) - answered > 40
        assert count(simulation, "reset.no_target") == before
