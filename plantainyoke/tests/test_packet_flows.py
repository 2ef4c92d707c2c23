"""Flows of callers through changes and failures, in virtual time."""

import msgspec
import pytest

from plantainyoke.standins import PacketSimulation
from plantainyoke.standins._packet_simulation import SYN, write_packet

RECOVERY_S = 2.0  # a flow must reach its target again within this


def _open_flows(simulation, count):
    callers = [simulation.open_flow() for _ in range(count)]
    simulation.advance(0.3)
    assert all(caller.is_open for caller in callers)
    return callers


def _send_requests(simulation, callers, *, within=RECOVERY_S):
    for caller in callers:
        caller.send_request()
    simulation.advance(within)


def _assert_all_served(callers):
    assert [caller.reset_at for caller in callers] == [None] * len(callers)
    assert all(caller.last_answered == caller.last_requested for caller in callers)


class TestExpiredTargetEntries:
    def test_processes_started_without_target_entries_reset_no_flow(self):
        """All target entries expire, the processes restart, and the entries return.

        Until then no process can conclude that a flow has no holder.
        """
        simulation = PacketSimulation({"orders": 6})
        callers = _open_flows(simulation, 40)
        entries = tuple(simulation.published.targets.values())
        simulation.publish(removed=tuple(entry.name for entry in entries))
        simulation.advance(0.1)
        simulation.restart(*simulation.processes)
        simulation.publish(targets=entries[:0], zones_out=())
        for caller in callers:
            caller.send_request()
        simulation.advance(0.05)
        # Two agents receive the entries later than the other processes.
        late = simulation.processes[12], simulation.processes[13]
        for process in late:
            process.is_subscribed = False
        simulation.publish(targets=entries)
        simulation.advance(1.0)
        for process in late:
            process.is_subscribed = True
        simulation.publish(targets=entries)
        simulation.advance(RECOVERY_S)
        _assert_all_served(callers)


class TestReusedAddress:
    def test_new_target_receives_no_flows_of_its_predecessor(self):
        """An address passes to a target of another service while the catalogue still
        lists the earlier target there.
        """
        simulation = PacketSimulation({"orders": 2, "drawings": 1})
        admission = simulation.start_agent(10).admission
        admission.service = "drawings"  # the catalogue still has its predecessor
        callers = _open_flows(simulation, 20)
        _send_requests(simulation, callers)
        _assert_all_served(callers)
        assert not simulation.targets[10].half_open_flows
        assert not simulation.targets[10].opened_flows


class TestFirstPacket:
    def test_flows_spread_over_targets(self):
        simulation = PacketSimulation({"orders": 6})
        callers = _open_flows(simulation, 120)
        _send_requests(simulation, callers)
        _assert_all_served(callers)
        counts = [len(target.flows) for target in simulation.targets.values()]
        assert max(counts) <= 2 * 120 / 6

    def test_flow_without_a_route_is_reset_at_once(self):
        simulation = PacketSimulation({"orders": 2})
        simulation.publish(
            configuration=msgspec.structs.replace(
                simulation.configuration, version=2, routes=()
            )
        )
        simulation.advance(0.1)
        caller = simulation.open_flow()
        simulation.advance(0.02)
        assert caller.reset_at is not None

    def test_flow_without_a_target_is_reset_at_once(self):
        simulation = PacketSimulation({"orders": 2})
        simulation.publish(removed=("t10", "t11"))
        simulation.advance(0.1)
        caller = simulation.open_flow()
        simulation.advance(0.02)
        assert caller.reset_at is not None

    def test_target_that_bounces_the_packet_is_skipped(self):
        simulation = PacketSimulation({"orders": 4})
        for host in (10, 11, 12):
            simulation.targets[host].is_accepting = False
        callers = _open_flows(simulation, 20)
        _send_requests(simulation, callers)
        _assert_all_served(callers)
        assert len(simulation.targets[13].flows) == 20

    def test_dead_agent_delays_a_new_flow_by_less_than_a_retransmission(self):
        simulation = PacketSimulation({"orders": 2}, zones=("a",))
        simulation.kill(10)
        callers = [simulation.open_flow() for _ in range(20)]
        simulation.advance(0.15)
        assert all(caller.is_open for caller in callers)

    def test_flow_is_reset_at_once_if_every_target_refuses(self):
        simulation = PacketSimulation({"orders": 3})
        for target in simulation.targets.values():
            target.is_accepting = False
        caller = simulation.open_flow()
        simulation.advance(0.1)
        assert caller.reset_at is not None

    def test_retransmissions_through_other_balancers_open_one_flow(self):
        simulation = PacketSimulation({"orders": 6}, balancers=3, loss=0.3, seed=3)
        simulation.select_balancer = lambda flow: simulation.rng.choice(
            simulation.balancers
        )
        callers = [simulation.open_flow() for _ in range(40)]
        simulation.advance(1.5)
        simulation.loss = 0.0
        opened = [caller for caller in callers if caller.is_open]
        assert len(opened) > 30
        _send_requests(simulation, opened)
        _assert_all_served(opened)


class TestLateFirstPackets:
    """Copies of a first packet at a balancer that does not know the open flow."""

    def _open_elsewhere(self, simulation):
        simulation.select_balancer = lambda flow: 100
        caller = simulation.open_flow()
        simulation.advance(0.1)
        assert caller.is_open
        simulation.publish(zones_out=("a", "b", "c"))
        simulation.advance(0.1)
        simulation.select_balancer = lambda flow: 101
        return caller

    def _send_copy(self, simulation, flow):
        simulation.send_from_caller(write_packet(flow, SYN, acknowledged=1))
        simulation.advance(0.3)

    def test_copy_resets_no_open_flow_while_no_target_is_eligible(self):
        # The balancer reset the flow at once, though another one had placed it.
        simulation = PacketSimulation({"orders": 6})
        caller = self._open_elsewhere(simulation)
        self._send_copy(simulation, caller.flow)
        caller.send_request()
        simulation.advance(1.0)
        assert (caller.reset_at, caller.last_answered) == (None, 1)

    def test_copy_for_a_flow_that_nobody_holds_is_still_reset_at_once(self):
        simulation = PacketSimulation({"orders": 6})
        caller = self._open_elsewhere(simulation)
        for target in simulation.targets.values():
            target.lose_flows()
        for host in simulation.targets:
            simulation.get_agent(host).flow_table.remove(caller.flow)
        self._send_copy(simulation, caller.flow)
        assert caller.reset_at is not None

    def test_copy_opens_no_flow_at_the_target_of_an_agent_that_is_not_sure(self):
        # The search gave the packet to the target, which took it for a new flow,
        # although it must not get any.
        simulation = PacketSimulation({"orders": 6})
        caller = self._open_elsewhere(simulation)
        holder = simulation.find_holder(caller)
        simulation.restart(*simulation.targets)
        simulation.targets[holder].lose_flows()
        self._send_copy(simulation, caller.flow)
        for target in simulation.targets.values():
            assert not target.half_open_flows
        assert caller.reset_at is None


class TestRoutingChanges:
    def test_flows_survive_a_balancer_crash(self):
        simulation = PacketSimulation({"orders": 6}, balancers=3)
        callers = _open_flows(simulation, 60)
        simulation.kill(100)
        _send_requests(simulation, callers)
        _assert_all_served(callers)

    def test_flows_survive_balancers_that_never_saw_their_configuration(self):
        """The split changes, and restarted balancers know only the new split."""
        simulation = PacketSimulation({"orders": 4, "drawings": 4})
        callers = _open_flows(simulation, 40)
        simulation.publish_shares(drawings=1)
        simulation.advance(0.5)
        simulation.restart(*simulation.balancers)
        _send_requests(simulation, callers)
        _assert_all_served(callers)

    def test_removing_a_service_from_the_split_moves_only_new_flows(self):
        simulation = PacketSimulation({"orders": 4, "drawings": 4})
        callers = _open_flows(simulation, 40)
        simulation.publish_shares(drawings=1)
        simulation.advance(0.5)
        simulation.select_balancer = lambda flow: simulation.rng.choice(
            simulation.balancers
        )
        _send_requests(simulation, callers)
        _assert_all_served(callers)
        fresh = _open_flows(simulation, 10)
        holders = {
            simulation.targets[simulation.find_holder(caller)].entry.service
            for caller in fresh
        }
        assert holders == {"drawings"}

    def test_draining_target_keeps_its_flows_and_gets_no_new_ones(self):
        simulation = PacketSimulation({"orders": 4})
        callers = _open_flows(simulation, 40)
        entry = msgspec.structs.replace(simulation.targets[10].entry, draining=True)
        before = len(simulation.targets[10].opened_flows)
        assert before
        simulation.publish(targets=(entry,))
        simulation.advance(0.1)
        _open_flows(simulation, 40)
        _send_requests(simulation, callers)
        _assert_all_served(callers)
        assert len(simulation.targets[10].opened_flows) == before

    def test_stale_balancer_is_corrected_by_the_agent(self):
        """A balancer that misses a change goes on selecting a draining target."""
        simulation = PacketSimulation({"orders": 4}, balancers=1)
        simulation.processes[100].is_subscribed = False
        simulation.publish(
            targets=(
                msgspec.structs.replace(simulation.targets[10].entry, draining=True),
            )
        )
        simulation.advance(0.1)
        callers = _open_flows(simulation, 40)
        assert not simulation.targets[10].opened_flows
        _send_requests(simulation, callers)
        _assert_all_served(callers)

    def test_zone_out_keeps_flows_and_gets_no_new_ones(self):
        simulation = PacketSimulation({"orders": 6})
        callers = _open_flows(simulation, 40)
        simulation.publish(zones_out=("a",))
        simulation.advance(0.1)
        before = {host: len(simulation.targets[host].opened_flows) for host in (10, 13)}
        _open_flows(simulation, 40)
        simulation.restart(*simulation.balancers)
        _send_requests(simulation, callers)
        _assert_all_served(callers)
        after = {host: len(simulation.targets[host].opened_flows) for host in (10, 13)}
        assert before == after


class TestHolderSearch:
    def test_flows_survive_a_restart_of_all_processes(self):
        simulation = PacketSimulation({"orders": 6})
        callers = _open_flows(simulation, 60)
        simulation.restart(*simulation.processes)
        _send_requests(simulation, callers)
        _assert_all_served(callers)

    def test_flows_survive_an_agent_restart(self):
        simulation = PacketSimulation({"orders": 6})
        callers = _open_flows(simulation, 60)
        simulation.restart(11)
        _send_requests(simulation, callers)
        _assert_all_served(callers)

    def test_flows_survive_a_restart_of_an_agent_and_all_balancers(self):
        simulation = PacketSimulation({"orders": 6})
        callers = _open_flows(simulation, 60)
        simulation.restart(11, *simulation.balancers)
        _send_requests(simulation, callers)
        _assert_all_served(callers)

    def test_flow_is_found_if_its_homes_crash(self):
        simulation = PacketSimulation({"orders": 9})
        (caller,) = _open_flows(simulation, 1)
        holder = simulation.find_holder(caller)
        homes = simulation.get_agent(holder).flow_table.flows[caller.flow].homes
        other_homes = [home for home in homes if home != holder]
        simulation.kill(*other_homes)
        simulation.restart(*simulation.balancers)
        _send_requests(simulation, [caller])
        _assert_all_served([caller])

    def test_search_includes_targets_of_a_service_removed_from_the_split(self):
        simulation = PacketSimulation({"orders": 4, "drawings": 4})
        callers = _open_flows(simulation, 20)
        simulation.publish_shares(drawings=1)
        simulation.publish(zones_out=("a",))
        simulation.advance(0.5)
        simulation.restart(*simulation.processes)
        _send_requests(simulation, callers)
        _assert_all_served(callers)

    def test_wrong_pointer_is_corrected(self):
        simulation = PacketSimulation({"orders": 6})
        (caller,) = _open_flows(simulation, 1)
        holder = simulation.find_holder(caller)
        wrong = next(host for host in simulation.targets if host != holder)
        for host in simulation.targets:
            simulation.get_agent(host).finder.holder_table.register(
                caller.flow, wrong, simulation.now
            )
        simulation.restart(*simulation.balancers)
        _send_requests(simulation, [caller])
        _assert_all_served([caller])

    @pytest.mark.parametrize("seed", range(5))
    def test_flows_are_found_despite_message_loss(self, seed):
        simulation = PacketSimulation({"orders": 6}, seed=seed)
        callers = _open_flows(simulation, 30)
        simulation.restart(*simulation.processes)
        simulation.loss = 0.05
        _send_requests(simulation, callers, within=3.5)
        _assert_all_served(callers)


class TestResets:
    def test_flow_of_a_restarted_target_is_reset_at_once(self):
        simulation = PacketSimulation({"orders": 4})
        callers = _open_flows(simulation, 20)
        lost = [caller for caller in callers if simulation.find_holder(caller) == 10]
        simulation.targets[10].lose_flows()
        _send_requests(simulation, callers, within=0.1)
        assert lost
        assert all(caller.reset_at is not None for caller in lost)
        kept = [caller for caller in callers if caller not in lost]
        assert all(caller.reset_at is None for caller in kept)

    def test_idle_flows_of_an_earlier_incarnation_are_reset_before_they_are_used(self):
        """The entry shows the target's restart; flows opened since then must stay."""
        simulation = PacketSimulation({"orders": 4})
        callers = _open_flows(simulation, 20)
        lost = [caller for caller in callers if simulation.find_holder(caller) == 10]
        simulation.advance(5.0)
        simulation.targets[10].lose_flows()
        born_ms = round(simulation.now * 1000)
        entry = simulation.targets[10].entry
        simulation.advance(0.5)
        fresh = _open_flows(simulation, 12)
        simulation.publish(targets=(msgspec.structs.replace(entry, born_ms=born_ms),))
        simulation.advance(0.5)
        assert lost
        assert all(caller.reset_at is not None for caller in lost)
        others = [caller for caller in (*callers, *fresh) if caller not in lost]
        assert [caller.reset_at for caller in others] == [None] * len(others)

    def test_flows_are_kept_if_the_target_seems_to_start_in_the_future(self):
        """The entry came late, and the target's clock is ahead (soak, seed 315)."""
        simulation = PacketSimulation({"orders": 4})
        simulation.targets[10].lose_flows()
        born_ms = round((simulation.now + 5.0) * 1000)
        callers = _open_flows(simulation, 20)
        simulation.advance(3.0)
        entry = simulation.targets[10].entry
        simulation.publish(targets=(msgspec.structs.replace(entry, born_ms=born_ms),))
        simulation.advance(0.5)
        assert any(simulation.find_holder(caller) == 10 for caller in callers)
        assert [caller.reset_at for caller in callers] == [None] * len(callers)

    def test_flow_without_a_holder_is_reset_within_a_round_trip(self):
        simulation = PacketSimulation({"orders": 6})
        callers = _open_flows(simulation, 20)
        for target in simulation.targets.values():
            target.lose_flows()
        simulation.restart(*simulation.processes)
        _send_requests(simulation, callers, within=0.1)
        assert all(caller.reset_at is not None for caller in callers)

    def test_removed_host_does_not_prevent_a_reset(self):
        # Searches stayed unanswered for 20 s after a release had removed hosts.
        simulation = PacketSimulation({"orders": 6})
        callers = _open_flows(simulation, 20)
        simulation.kill(15)
        simulation.publish(removed=("t15",))
        for target in simulation.targets.values():
            target.lose_flows()
        simulation.restart(*(host for host in simulation.processes if host != 15))
        _send_requests(simulation, callers, within=0.1)
        assert all(caller.reset_at is not None for caller in callers)

    def test_search_ends_when_its_silent_candidate_is_removed(self):
        simulation = PacketSimulation({"orders": 6})
        callers = _open_flows(simulation, 20)
        for target in simulation.targets.values():
            target.lose_flows()
        simulation.restart(*simulation.processes)
        simulation.kill(15)
        _send_requests(simulation, callers, within=0.3)
        assert [caller.reset_at for caller in callers] == [None] * len(callers)
        simulation.publish(removed=("t15",))
        simulation.advance(0.5)
        assert all(caller.reset_at is not None for caller in callers)

    def test_no_reset_while_a_candidate_is_silent(self):
        """An unreachable candidate may hold the flow, so a reset would be wrong."""
        simulation = PacketSimulation({"orders": 6})
        callers = _open_flows(simulation, 20)
        silent = simulation.find_holder(callers[0])
        its_callers = [
            caller for caller in callers if simulation.find_holder(caller) == silent
        ]
        simulation.restart(*simulation.processes)
        simulation.kill(silent)
        _send_requests(simulation, its_callers, within=3.0)
        assert [caller.reset_at for caller in its_callers] == [None] * len(its_callers)
