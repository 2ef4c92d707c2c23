import msgspec
import pytest

from plantainyoke.packet_agent._lost_flows import PROBES_PER_TICK, RUN_INTERVAL_S
from plantainyoke.packet_node import FeatureSettings
from plantainyoke.standins import PacketSimulation
from plantainyoke.standins._packet_simulation import (
    BOUNCED,
    SYN,
    FakeCaller,
    write_packet,
)

HOST = 10


def _open_flows(count=30):
    """Return a simulation of one target, its agent, and callers with open flows."""
    simulation = PacketSimulation({"orders": 1})
    callers = [simulation.open_flow() for _ in range(count)]
    simulation.advance(1.0)
    assert all(caller.is_open for caller in callers)
    return simulation, simulation.get_agent(HOST), callers


def _record_target_packets(simulation):
    """Return a list to which all packets that the target receives are added."""
    received, target = [], simulation.targets[HOST]
    receive = target.receive
    target.receive = lambda packet: (received.append(packet), receive(packet))[1]
    return received


def _count_resets(callers):
    return sum(caller.reset_at is not None for caller in callers)


def _bounce(simulation, packet):
    bounced = bytes((packet[0] | BOUNCED,)) + packet[1:]
    simulation.send_from_target(HOST, bounced)


class TestRestartedTarget:
    def test_idle_flows_are_reset_before_their_callers_send_a_request(self):
        """Without probes each caller loses one request."""
        simulation, _, callers = _open_flows()
        simulation.targets[HOST].lose_flows()
        callers[0].send_request()
        simulation.advance(0.1)
        assert _count_resets(callers) == len(callers)

    def test_flows_are_left_alone_if_the_feature_is_off(self):
        simulation, agent, callers = _open_flows()
        agent.lost_flows.is_enabled = FeatureSettings(
            lost_flow_probes=False
        ).lost_flow_probes
        simulation.targets[HOST].lose_flows()
        callers[0].send_request()
        simulation.advance(1.0)
        assert _count_resets(callers) == 1

    def test_probes_are_paced_and_the_longest_idle_flows_come_first(self):
        simulation, agent, callers = _open_flows(PROBES_PER_TICK + 50)
        late = callers[0]
        late.send_request()
        simulation.advance(0.2)
        received = _record_target_packets(simulation)
        simulation.targets[HOST].lose_flows()
        callers[1].send_request()
        simulation.advance(0.008)
        assert len(received) == 1 + PROBES_PER_TICK
        assert late.flow in agent.flow_table.flows
        simulation.advance(0.3)
        assert _count_resets(callers) == len(callers)

    def test_further_returned_packets_do_not_hasten_the_probes(self):
        """Each request returned during a run sent another batch at once, so that a
        restarted target got the copies of all its flows within milliseconds.
        """
        simulation, _, callers = _open_flows(4 * PROBES_PER_TICK)
        received = _record_target_packets(simulation)
        simulation.targets[HOST].lose_flows()
        for caller in callers[-5:]:
            caller.send_request()
        simulation.advance(0.008)
        assert len(received) <= 5 + PROBES_PER_TICK
        simulation.advance(1.2)
        assert _count_resets(callers) == len(callers)

    def test_no_flow_is_probed_twice_within_the_interval(self):
        """A target that loses flows one after the other would be sent all copies for
        each of them.
        """
        simulation, agent, callers = _open_flows()
        target, counters = simulation.targets[HOST], agent.metrics.counters
        for caller in callers[:5]:
            del target.flows[caller.flow]
            caller.send_request()
            simulation.advance(RUN_INTERVAL_S / 10)
        assert counters["flow.probed"] == len(callers) - 1
        simulation.advance(2 * RUN_INTERVAL_S)
        assert _count_resets(callers) == 5
        assert counters["flow.probed"] <= 2 * len(callers)

    def test_flows_opened_after_the_restart_are_not_probed(self):
        simulation, agent, callers = _open_flows()
        simulation.targets[HOST].lose_flows()
        callers[0].send_request()
        simulation.advance(0.1)
        fresh = [simulation.open_flow() for _ in range(5)]
        simulation.advance(2 * RUN_INTERVAL_S)
        received = _record_target_packets(simulation)
        flow = callers[1].flow
        packet = write_packet(flow, 32, sequence=1)
        held = agent.flow_table.add_held(flow, ingress=agent_ingress(agent), now=900.0)
        assert held.opened_at < agent.lost_flows.restart_seen_at
        _bounce(simulation, packet)
        simulation.advance(2 * RUN_INTERVAL_S)
        assert not received
        assert _count_resets(fresh) == 0


def agent_ingress(agent):
    return next(iter(agent.flow_table.flows.values())).ingress


class TestNoProof:
    """Each case is one in which a reset would end a flow that the target holds."""

    def test_flow_that_the_target_holds_is_kept(self):
        """The target lost one flow only."""
        simulation, _, callers = _open_flows()
        del simulation.targets[HOST].flows[callers[0].flow]
        callers[0].send_request()
        simulation.advance(1.0)
        for caller in callers[1:]:
            caller.send_request()
        simulation.advance(1.0)
        assert _count_resets(callers) == 1
        assert all(caller.last_answered == 1 for caller in callers[1:])

    def test_lost_probe_is_no_proof(self):
        simulation, agent, callers = _open_flows()
        agent.lost_flows.send_to_target = lambda packet: None
        simulation.targets[HOST].lose_flows()
        callers[0].send_request()
        simulation.advance(1.0)
        assert _count_resets(callers) == 1

    def test_flow_without_a_packet_to_copy_is_left_alone(self):
        simulation, agent, callers = _open_flows()
        for held in agent.flow_table.flows.values():
            held.idle_packet = b""
        simulation.targets[HOST].lose_flows()
        callers[0].send_request()
        simulation.advance(1.0)
        assert _count_resets(callers) == 1
        assert not agent.metrics.counters["flow.probed"]

    def test_flow_that_the_target_ended_itself_is_no_sign_of_a_restart(self):
        """The caller's last packet arrives after the target has closed the flow."""
        simulation, agent, callers = _open_flows()
        flow = callers[0].flow
        finish = write_packet(flow, 32 | 128, from_target=True)
        simulation.send_from_target(HOST, finish)
        del simulation.targets[HOST].flows[flow]
        callers[0].send_request()
        simulation.advance(1.0)
        assert not agent.metrics.counters["flow.probed"]
        assert _count_resets(callers[1:]) == 0

    def test_reset_of_the_target_that_waits_in_the_socket_comes_before_the_probe(self):
        """A slow agent handles the target's reset before the packet returned after it,
        so that the flow counts as ended, not as lost.
        """
        simulation, agent, callers = _open_flows()
        flow = callers[0].flow
        packet = agent.flow_table.flows[flow].idle_packet
        simulation.send_from_target(HOST, write_packet(flow, 2, from_target=True))
        _bounce(simulation, packet)
        simulation.advance(1.0)
        assert not agent.metrics.counters["flow.probed"]
        assert agent.metrics.counters["drop.bounced"] == 1

    @pytest.mark.parametrize("is_draining", [False, True])
    def test_returned_late_copy_of_a_first_packet_is_no_proof(self, is_draining):
        """A target that accepts no new flows returns first packets, copies too."""
        simulation, agent, callers = _open_flows()
        target = simulation.targets[HOST]
        target.is_accepting = False
        for host in simulation.balancers:
            simulation.processes[host].is_subscribed = False
        entry = msgspec.structs.replace(target.entry, draining=is_draining)
        simulation.publish(targets=(entry,))
        simulation.advance(0.1)
        for caller in callers:
            simulation.send_from_caller(write_packet(caller.flow, SYN))
        simulation.advance(1.0)
        for caller in callers:
            caller.send_request()
        simulation.advance(1.0)
        assert _count_resets(callers) == 0
        assert all(caller.last_answered == 1 for caller in callers)

    def test_copy_of_the_earlier_flow_is_no_proof_once_the_flow_is_opened_again(self):
        simulation, agent, callers = _open_flows()
        again, agent_flows = callers[1], agent.flow_table.flows
        kept = agent_flows[again.flow].idle_packet
        agent.lost_flows.send_to_target = lambda packet: None
        simulation.targets[HOST].lose_flows()
        callers[0].send_request()
        simulation.advance(0.1)
        simulation.send_from_caller(write_packet(again.flow, SYN))
        simulation.advance(0.05)
        _bounce(simulation, kept)
        simulation.advance(1.0)
        assert again.reset_at is None

    def test_copy_of_the_earlier_flow_is_no_proof_after_another_run_has_begun(self):
        """The next run forgot that the flow had been opened again, and a target that
        returned the copy late had the new flow reset.
        """
        simulation, agent, callers = _open_flows()
        again, target = callers[1], simulation.targets[HOST]
        kept = agent.flow_table.flows[again.flow].idle_packet
        agent.flow_table.flows[callers[2].flow].idle_packet = b""
        agent.lost_flows.send_to_target = lambda packet: None
        target.lose_flows()
        callers[0].send_request()
        simulation.advance(0.1)
        simulation.send_from_caller(write_packet(again.flow, SYN))
        callers[2].send_request()
        simulation.advance(2 * RUN_INTERVAL_S)
        _bounce(simulation, kept)
        simulation.advance(1.0)
        assert again.reset_at is None

    def test_late_packet_of_an_earlier_flow_is_no_proof_for_its_successor(self):
        # The caller opened the flow again from the same port before the agent read the
        # packet that the restarted target had returned.
        simulation, _, callers = _open_flows()
        earlier = callers[1]
        returned = earlier._write(b"request 1")
        simulation.targets[HOST].lose_flows()
        callers[0].send_request()
        simulation.advance(0.1)
        again = simulation.callers[earlier.flow] = FakeCaller(simulation, earlier.flow)
        again.open()
        simulation.advance(0.1)
        assert again.is_open
        _bounce(simulation, returned)
        again.send_request()
        simulation.advance(1.0)
        assert (again.reset_at, again.last_answered) == (None, 1)

    def test_packets_that_waited_during_a_pause_of_the_agent_reset_no_held_flow(self):
        """After the pause the agent handles an opening and a returned packet at once;
        the flow opened at the restarted target has to stay.
        """
        simulation, agent, callers = _open_flows()
        target = simulation.targets[HOST]
        target.lose_flows()
        waiting, receive = [], agent.receive_from_target
        agent.receive_from_target = lambda segment, now: waiting.append(segment)
        fresh = simulation.open_flow()
        callers[0].send_request()
        simulation.advance(0.15)
        agent.receive_from_target = receive
        for segment in waiting:
            receive(segment, simulation.now)
        simulation.advance(1.0)
        fresh.send_request()
        simulation.advance(1.0)
        assert (fresh.reset_at, fresh.last_answered) == (None, 1)
        assert _count_resets(callers) == len(callers)


class TestCalmLoad:
    def test_target_gets_nothing_but_the_packets_of_its_callers(self):
        simulation, agent, callers = _open_flows()
        received = _record_target_packets(simulation)
        for _ in range(3):
            for caller in callers:
                caller.send_request()
            simulation.advance(0.5)
        assert len(received) == 3 * len(callers)
        assert _count_resets(callers) == 0
        assert not agent.metrics.counters["flow.probed"]
