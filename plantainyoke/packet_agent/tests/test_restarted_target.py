"""Limit of new flows to a target that restarted before its entry says so."""

import msgspec
import pytest

from plantainyoke.catalogue import ServiceLimits
from plantainyoke.placement import ColdStartTolerance
from plantainyoke.standins import PacketSimulation

HOST = 10
RATE_PER_S, COLD_START_S = 2.0, 4.0
FLOWS_PER_S = 25
TOLERANCE = ColdStartTolerance(1.5, 5)  # that of the simulated agents
LIMIT_PER_S = RATE_PER_S * TOLERANCE.factor + TOLERANCE.extra_per_s


class Deployment:
    """One target that gets a flow of its own for each request."""

    def __init__(self, *, rate=RATE_PER_S, targets=1):
        self.simulation = PacketSimulation({"orders": targets})
        configuration = self.simulation.configuration
        services = {"orders": ServiceLimits(2000, COLD_START_S, rate)}
        self.simulation.configuration = msgspec.structs.replace(
            configuration, version=2, services=services
        )
        self.simulation.publish(configuration=self.simulation.configuration)
        self.simulation.advance(0.1)
        self.target = self.simulation.targets[HOST]

    def open_flows(self, duration_s, *, per_s=FLOWS_PER_S):
        for _ in range(round(duration_s * per_s)):
            self.simulation.open_flow()
            self.simulation.advance(1 / per_s)

    def crash_for(self, duration_s):
        self.target.crash()
        self.open_flows(duration_s)
        self.target.is_alive = True
        self.restarted_at = self.simulation.now

    def publish_entry(self, *, cold):
        entry = msgspec.structs.replace(
            self.target.entry, born_ms=round(self.restarted_at * 1000), cold=cold
        )
        self.simulation.publish(targets=(entry,))

    def count_most_in_a_second(self):
        """Return the most flows that the target took in a second since the restart."""
        times = [at for at, _ in self.target.opened_flows if at >= self.restarted_at]
        return max(
            (sum(start <= at < start + 1.0 for at in times) for start in times),
            default=0,
        )


class TestColdTargetWithoutAnEntry:
    # The target is idle, so that all new flows went to it until its entry arrived
    # within a heartbeat interval (review/5).
    @pytest.mark.parametrize("entry_delay_s", [0.0, 0.3, 1.0, 2.5])
    def test_target_that_crashed_gets_no_more_than_the_limit(self, entry_delay_s):
        deployment = Deployment()
        deployment.open_flows(1.5)
        deployment.crash_for(2.0)
        deployment.open_flows(entry_delay_s)
        deployment.publish_entry(cold=True)
        deployment.open_flows(COLD_START_S - entry_delay_s)
        assert 0 < deployment.count_most_in_a_second() <= LIMIT_PER_S

    def test_limit_holds_if_the_entry_of_the_warm_incarnation_remains(self):
        # While the store is unreachable the new entry is written and lapses between two
        # answers, so that the agent never sees it (soak seed 331).
        deployment = Deployment()
        deployment.open_flows(1.5)
        deployment.crash_for(2.0)
        deployment.open_flows(COLD_START_S)
        assert 0 < deployment.count_most_in_a_second() <= LIMIT_PER_S

    def test_restart_without_silence_is_noticed_by_a_returned_packet(self):
        deployment = Deployment()
        caller = deployment.simulation.open_flow()
        deployment.simulation.advance(2.0)
        deployment.target.lose_flows()
        deployment.restarted_at = deployment.simulation.now
        caller.send_request()
        deployment.open_flows(2.0)
        assert caller.reset_at is not None
        assert 0 < deployment.count_most_in_a_second() <= LIMIT_PER_S

    def test_entry_of_a_warm_incarnation_ends_the_limit(self):
        deployment = Deployment()
        deployment.open_flows(1.5)
        deployment.crash_for(2.0)
        deployment.open_flows(0.3)
        deployment.publish_entry(cold=False)
        deployment.open_flows(1.0)
        assert deployment.count_most_in_a_second() > LIMIT_PER_S

    def test_limit_ends_with_the_cold_start_if_no_entry_arrives(self):
        deployment = Deployment()
        deployment.open_flows(1.5)
        deployment.crash_for(2.0)
        deployment.open_flows(COLD_START_S + 2.5)  # the rest: two heartbeats
        deployment.restarted_at = deployment.simulation.now
        deployment.open_flows(1.0)
        assert deployment.count_most_in_a_second() > LIMIT_PER_S


class TestNoRestart:
    # A limit without a reason would refuse callers that the target could serve.
    def test_pause_of_the_agent_is_no_silence_of_its_target(self):
        deployment = Deployment()
        agent = deployment.simulation.get_agent(HOST)
        agent.admission.record_first_packet(deployment.simulation.now)
        process = deployment.simulation.processes[HOST]
        process.is_alive = False
        deployment.simulation.advance(3.0)
        process.is_alive = True
        deployment.restarted_at = deployment.simulation.now
        deployment.open_flows(1.0)
        assert not agent.admission.restart_cold_until

    def test_only_target_without_a_stated_rate_serves_the_load(self):
        deployment = Deployment(rate=0.0)
        deployment.open_flows(1.5)
        deployment.crash_for(2.0)
        deployment.open_flows(1.5)
        assert deployment.count_most_in_a_second() > 2 * TOLERANCE.extra_per_s


class TestRestartOfTheAgent:
    def test_limit_covers_flows_of_the_earlier_process(self):
        # The flows of the last second were kept in memory only, so that a target got
        # the limit twice.
        deployment = Deployment()
        deployment.restarted_at = deployment.simulation.now
        deployment.publish_entry(cold=True)
        deployment.simulation.advance(0.1)
        deployment.open_flows(0.5)
        deployment.simulation.restart(HOST)
        deployment.open_flows(1.5)
        assert 0 < deployment.count_most_in_a_second() <= LIMIT_PER_S
