"""Flows that an agent does not know, and changes of the idle timeout."""

import msgspec
import pytest

from plantainyoke.flows import FlowTable, Ingress, Knowledge
from plantainyoke.standins import PacketSimulation
from plantainyoke.standins._packet_simulation import CONFIGURATION_APPLY_S

SHORT_S, LONG_S = 15.0, 30.0
IDLE_S = 20.0  # between the two timeouts
FLOW = b"\xc6\x12\x00\x01\x9c\x41\x01\xbb\x64\x40\x00\x07"


class Deployment:
    """Simulated deployment with open flows, whose idle timeout changes."""

    def __init__(self, flows=12):
        self.simulation = PacketSimulation({"orders": 6})
        self.callers = [self.simulation.open_flow() for _ in range(flows)]
        self.simulation.advance(0.5)
        self.idle_since = self.simulation.now

    def set_idle_timeout(self, seconds):
        before = self.simulation.configuration
        self.simulation.configuration = msgspec.structs.replace(
            before, version=before.version + 1, idle_timeout_s=seconds
        )
        self.simulation.publish(configuration=self.simulation.configuration)

    def restart_holder(self):
        self.simulation.restart(self.simulation.find_holder(self.callers[0]))

    def restart_agents_in_turn(self):
        for host in self.simulation.targets:
            self.simulation.kill(host)
            self.simulation.advance(0.3)
            self.simulation.start_agent(host)
            self.simulation.advance(0.2)

    def play(self, steps):
        for step, argument in steps:
            if step == "wait":
                self.simulation.advance(argument)
            elif step == "timeout":
                self.set_idle_timeout(argument)
            elif step == "restart":
                {"holder": self.restart_holder, "all": self.restart_agents_in_turn}[
                    argument
                ]()

    def request_after(self, idle_s):
        """Send a request on every flow once it was idle for some time."""
        self.simulation.advance(self.idle_since + idle_s - self.simulation.now)
        for caller in self.callers:
            caller.send_request()
        self.simulation.advance(2.0)

    def count_reset(self):
        return sum(caller.reset_at is not None for caller in self.callers)

    def count_answered(self):
        return sum(bool(caller.last_answered) for caller in self.callers)


RAISE, LOWER = ("timeout", LONG_S), ("timeout", SHORT_S)


class TestRaisedIdleTimeout:
    # An agent that restarted asked its target about unknown flows only for as long as
    # the idle timeout of its start, and then denied flows that the target held
    # (review/2).
    @pytest.mark.parametrize(
        "steps",
        [
            [("restart", "holder"), ("wait", 4.0), RAISE],
            [("restart", "holder"), ("wait", 14.0), RAISE],
            [RAISE, ("wait", 1.0), ("restart", "holder")],
            [("restart", "all"), RAISE],
            [("wait", 5.0), RAISE, ("restart", "all")],
            [("restart", "holder"), RAISE, ("wait", 2.0), LOWER, ("wait", 2.0), RAISE],
            [RAISE, ("wait", 1.0), LOWER, ("wait", 1.0), RAISE, ("restart", "all")],
            [("restart", "all"), ("wait", 9.0), RAISE, ("restart", "holder")],
        ],
        ids=lambda steps: "-".join(f"{step}_{argument}" for step, argument in steps),
    )
    def test_no_flow_that_was_idle_for_less_is_reset(self, steps):
        deployment = Deployment()
        deployment.set_idle_timeout(SHORT_S)
        deployment.play(steps)
        deployment.request_after(IDLE_S)
        assert deployment.count_reset() == 0
        assert deployment.count_answered() == len(deployment.callers)

    def test_flow_in_use_again_while_the_change_is_on_its_way_is_not_reset(self):
        # The agents learn of the change within the bound, but after the flows exceeded
        # the earlier timeout.
        deployment = Deployment()
        deployment.restart_agents_in_turn()
        deployment.simulation.advance(12.0)
        for process in deployment.simulation.processes.values():
            process.is_subscribed = False
        deployment.set_idle_timeout(LONG_S)
        deployment.request_after(SHORT_S + CONFIGURATION_APPLY_S - 0.5)
        assert deployment.count_reset() == 0
        assert deployment.count_answered() == len(deployment.callers)


class TestDenials:
    def test_lost_flow_is_reset_while_another_target_is_silent(self):
        # An agent that left every unknown flow to its target would keep a caller
        # waiting for a target that crashed.
        simulation = PacketSimulation({"orders": 6})
        simulation.restart(*simulation.targets)
        simulation.advance(SHORT_S + CONFIGURATION_APPLY_S + 1.0)
        caller = simulation.open_flow()
        simulation.advance(0.3)
        holder = simulation.find_holder(caller)
        simulation.targets[holder].lose_flows()
        silent = next(host for host in simulation.targets if host != holder)
        simulation.targets[silent].crash()
        simulation.restart(holder, *simulation.balancers)
        simulation.get_agent(holder).flow_table.complete_since = float("-inf")
        caller.send_request()
        simulation.advance(0.3)
        assert caller.reset_at is not None

    def test_agent_denies_flows_that_exceeded_the_timeout_before_it_started(self):
        deployment = Deployment(flows=1)
        deployment.set_idle_timeout(SHORT_S)
        agent = deployment.simulation.start_agent(10)
        simulation = deployment.simulation
        assert agent.knowledge.get_knowledge(FLOW, simulation.now) == Knowledge.UNSURE
        simulation.advance(SHORT_S + CONFIGURATION_APPLY_S)
        assert agent.knowledge.get_knowledge(FLOW, simulation.now) == Knowledge.DENIES


class TestIdleFlows:
    # Flows that exceeded the timeout were forgotten at once; when the timeout was
    # raised, the agent denied them.
    def make_table(self):
        table = FlowTable()
        table.add_held(FLOW, ingress=Ingress(), now=100.0)
        return table

    def test_flow_beyond_the_timeout_is_no_load_but_still_held(self):
        table = self.make_table()
        table.expire(116.0, idle_s=15.0, retention_s=18.0)
        assert len(table.flows) == 0
        assert table.is_held(FLOW)
        assert table.complete_since == float("-inf")

    def test_packet_brings_the_flow_back(self):
        table = self.make_table()
        table.expire(116.0, idle_s=15.0, retention_s=18.0)
        assert table.find(FLOW) is table.flows[FLOW]
        assert not table.idle_flows

    def test_table_knows_since_when_it_lacks_no_flow(self):
        table = self.make_table()
        table.expire(118.5, idle_s=15.0, retention_s=18.0)
        assert not table.is_held(FLOW)
        assert table.complete_since == 100.0
