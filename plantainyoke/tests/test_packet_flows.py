"""Flows of callers through changes and failures, in virtual time."""

import msgspec
import pytest

from plantainyoke.standins import PacketSimulation

REORDER_S = 2.0  # time in which a flow must reach its target again


def _open(simulation, count):
    callers = [simulation.open_flow() for _ in range(count)]
    simulation.advance(0.3)
    assert all(caller.is_open for caller in callers)
    return callers


def _send_requests(simulation, callers, *, within=REORDER_S):
    for caller in callers:
        caller.send_request()
    simulation.advance(within)


def _assert_all_served(callers):
    assert [caller.reset_at for caller in callers] == [None] * len(callers)
    assert all(caller.last_answered == caller.last_requested for caller in callers)


class TestLapsedEntries:
    def test_processes_that_start_before_the_entries_are_back_reset_nothing(self):
        simulation = PacketSimulation({"orders": 6})
        callers = _open(simulation, 40)
        entries = tuple(simulation.published.targets.values())
        simulation.publish(removed=tuple(entry.name for entry in entries))
        simulation.advance(0.1)
        simulation.restart(*simulation.processes)
        simulation.publish(targets=entries[:0], zones_out=())
        for caller in callers:
            caller.send_request()
        simulation.advance(0.05)
        # Some know the entries again, others still do not.
        late = simulation.processes[12], simulation.processes[13]
        for process in late:
            process.is_subscribed = False
        simulation.publish(targets=entries)
        simulation.advance(1.0)
        for process in late:
            process.is_subscribed = True
        simulation.publish(targets=entries)
        simulation.advance(REORDER_S)
        _assert_all_served(callers)


class TestReusedAddress:
    def test_new_target_gets_nothing_meant_for_the_one_before(self):
        simulation = PacketSimulation({"orders": 2, "drawings": 1})
        admission = simulation.start_agent(10).admission
        admission.service = "drawings"  # the entry of the earlier target still stands
        callers = _open(simulation, 20)
        _send_requests(simulation, callers)
        _assert_all_served(callers)
        assert not simulation.targets[10].half_open_flows
        assert not simulation.targets[10].opened_flows


class TestOpening:
    def test_flows_spread_over_targets(self):
        simulation = PacketSimulation({"orders": 6})
        callers = _open(simulation, 120)
        _send_requests(simulation, callers)
        _assert_all_served(callers)
        counts = [len(target.flows) for target in simulation.targets.values()]
        assert max(counts) <= 2 * 120 / 6

    def test_no_route_is_reset_at_once(self):
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

    def test_no_target_is_reset_at_once(self):
        simulation = PacketSimulation({"orders": 2})
        simulation.publish(removed=("t10", "t11"))
        simulation.advance(0.1)
        caller = simulation.open_flow()
        simulation.advance(0.02)
        assert caller.reset_at is not None

    def test_target_that_returns_the_packet_is_passed_over(self):
        simulation = PacketSimulation({"orders": 4})
        for host in (10, 11, 12):
            simulation.targets[host].is_accepting = False
        callers = _open(simulation, 20)
        _send_requests(simulation, callers)
        _assert_all_served(callers)
        assert len(simulation.targets[13].flows) == 20

    def test_dead_agent_delays_an_opening_by_less_than_a_copy(self):
        simulation = PacketSimulation({"orders": 2}, zones=("a",))
        simulation.kill(10)
        callers = [simulation.open_flow() for _ in range(20)]
        simulation.advance(0.15)
        assert all(caller.is_open for caller in callers)

    def test_all_full_is_reset_at_once(self):
        simulation = PacketSimulation({"orders": 3})
        for target in simulation.targets.values():
            target.is_accepting = False
        caller = simulation.open_flow()
        simulation.advance(0.1)
        assert caller.reset_at is not None

    def test_copies_through_other_balancers_open_one_flow(self):
        simulation = PacketSimulation({"orders": 6}, balancers=3, loss=0.3, seed=3)
        simulation.select_balancer = lambda flow: simulation.random.choice(
            simulation.balancers
        )
        callers = [simulation.open_flow() for _ in range(40)]
        simulation.advance(1.5)
        simulation.loss = 0.0
        opened = [caller for caller in callers if caller.is_open]
        assert len(opened) > 30
        _send_requests(simulation, opened)
        _assert_all_served(opened)


class TestRoutingChanges:
    def test_flows_survive_a_balancer_that_ends(self):
        simulation = PacketSimulation({"orders": 6}, balancers=3)
        callers = _open(simulation, 60)
        simulation.kill(100)
        _send_requests(simulation, callers)
        _assert_all_served(callers)

    def test_new_balancer_without_the_old_configuration(self):
        simulation = PacketSimulation({"orders": 4, "drawings": 4})
        callers = _open(simulation, 40)
        simulation.publish_shares(drawings=1)
        simulation.advance(0.5)
        simulation.restart(*simulation.balancers)
        _send_requests(simulation, callers)
        _assert_all_served(callers)

    def test_split_that_loses_a_service_moves_only_new_flows(self):
        simulation = PacketSimulation({"orders": 4, "drawings": 4})
        callers = _open(simulation, 40)
        simulation.publish_shares(drawings=1)
        simulation.advance(0.5)
        simulation.select_balancer = lambda flow: simulation.random.choice(
            simulation.balancers
        )
        _send_requests(simulation, callers)
        _assert_all_served(callers)
        fresh = _open(simulation, 10)
        holders = {
            simulation.targets[simulation.find_holder(one)].entry.service
            for one in fresh
        }
        assert holders == {"drawings"}

    def test_draining_target_keeps_its_flows_and_gets_no_new_ones(self):
        simulation = PacketSimulation({"orders": 4})
        callers = _open(simulation, 40)
        entry = msgspec.structs.replace(simulation.targets[10].entry, draining=True)
        before = len(simulation.targets[10].opened_flows)
        assert before
        simulation.publish(targets=(entry,))
        simulation.advance(0.1)
        _open(simulation, 40)
        _send_requests(simulation, callers)
        _assert_all_served(callers)
        assert len(simulation.targets[10].opened_flows) == before

    def test_stale_balancer_is_corrected_by_the_agent(self):
        simulation = PacketSimulation({"orders": 4}, balancers=1)
        simulation.processes[100].is_subscribed = False
        simulation.publish(
            targets=(
                msgspec.structs.replace(simulation.targets[10].entry, draining=True),
            )
        )
        simulation.advance(0.1)
        callers = _open(simulation, 40)
        assert not simulation.targets[10].opened_flows
        _send_requests(simulation, callers)
        _assert_all_served(callers)

    def test_zone_out_keeps_flows_and_gets_no_new_ones(self):
        simulation = PacketSimulation({"orders": 6})
        callers = _open(simulation, 40)
        simulation.publish(zones_out=("a",))
        simulation.advance(0.1)
        before = {host: len(simulation.targets[host].opened_flows) for host in (10, 13)}
        _open(simulation, 40)
        simulation.restart(*simulation.balancers)
        _send_requests(simulation, callers)
        _assert_all_served(callers)
        after = {host: len(simulation.targets[host].opened_flows) for host in (10, 13)}
        assert before == after


class TestForgottenFlows:
    def test_all_processes_end_while_targets_live_on(self):
        simulation = PacketSimulation({"orders": 6})
        callers = _open(simulation, 60)
        simulation.restart(*simulation.processes)
        _send_requests(simulation, callers)
        _assert_all_served(callers)

    def test_agent_restarts_alone(self):
        simulation = PacketSimulation({"orders": 6})
        callers = _open(simulation, 60)
        simulation.restart(11)
        _send_requests(simulation, callers)
        _assert_all_served(callers)

    def test_agent_and_balancers_restart(self):
        simulation = PacketSimulation({"orders": 6})
        callers = _open(simulation, 60)
        simulation.restart(11, *simulation.balancers)
        _send_requests(simulation, callers)
        _assert_all_served(callers)

    def test_both_homes_end_together(self):
        simulation = PacketSimulation({"orders": 9})
        (caller,) = _open(simulation, 1)
        holder = simulation.find_holder(caller)
        homes = simulation.get_agent(holder).flow_table.flows[caller.flow].homes
        gone = [home for home in homes if home != holder]
        simulation.kill(*gone)
        simulation.restart(*simulation.balancers)
        _send_requests(simulation, [caller])
        _assert_all_served([caller])

    def test_search_reaches_targets_of_a_service_that_left_the_split(self):
        simulation = PacketSimulation({"orders": 4, "drawings": 4})
        callers = _open(simulation, 20)
        simulation.publish_shares(drawings=1)
        simulation.publish(zones_out=("a",))
        simulation.advance(0.5)
        simulation.restart(*simulation.processes)
        _send_requests(simulation, callers)
        _assert_all_served(callers)

    def test_wrong_pointer_is_corrected(self):
        simulation = PacketSimulation({"orders": 6})
        (caller,) = _open(simulation, 1)
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
    def test_found_again_while_messages_are_lost(self, seed):
        simulation = PacketSimulation({"orders": 6}, seed=seed)
        callers = _open(simulation, 30)
        simulation.restart(*simulation.processes)
        simulation.loss = 0.05
        _send_requests(simulation, callers, within=3.5)
        _assert_all_served(callers)


class TestResets:
    def test_flow_of_a_restarted_target_is_reset_at_once(self):
        simulation = PacketSimulation({"orders": 4})
        callers = _open(simulation, 20)
        lost = [one for one in callers if simulation.find_holder(one) == 10]
        simulation.targets[10].lose_flows()
        _send_requests(simulation, callers, within=0.1)
        assert lost
        assert all(one.reset_at is not None for one in lost)
        kept = [one for one in callers if one not in lost]
        assert all(one.reset_at is None for one in kept)

    def test_idle_flows_of_an_earlier_incarnation_are_reset_before_they_are_used(self):
        simulation = PacketSimulation({"orders": 4})
        callers = _open(simulation, 20)
        lost = [one for one in callers if simulation.find_holder(one) == 10]
        simulation.advance(5.0)
        simulation.targets[10].lose_flows()
        born_ms = round(simulation.now * 1000)
        entry = simulation.targets[10].entry
        simulation.advance(0.5)
        fresh = _open(simulation, 12)
        simulation.publish(targets=(msgspec.structs.replace(entry, born_ms=born_ms),))
        simulation.advance(0.5)
        assert lost
        assert all(one.reset_at is not None for one in lost)
        others = [one for one in (*callers, *fresh) if one not in lost]
        assert [one.reset_at for one in others] == [None] * len(others)

    def test_flow_that_nobody_holds_is_reset_within_a_round_trip(self):
        simulation = PacketSimulation({"orders": 6})
        callers = _open(simulation, 20)
        for target in simulation.targets.values():
            target.lose_flows()
        simulation.restart(*simulation.processes)
        _send_requests(simulation, callers, within=0.1)
        assert all(one.reset_at is not None for one in callers)

    def test_machine_that_left_does_not_forbid_a_reset(self):
        # Searches stayed unanswered for 20 s after a release had taken machines away.
        simulation = PacketSimulation({"orders": 6})
        callers = _open(simulation, 20)
        simulation.kill(15)
        simulation.publish(removed=("t15",))
        for target in simulation.targets.values():
            target.lose_flows()
        simulation.restart(*(host for host in simulation.processes if host != 15))
        _send_requests(simulation, callers, within=0.1)
        assert all(one.reset_at is not None for one in callers)

    def test_candidate_that_leaves_during_a_search_ends_it(self):
        simulation = PacketSimulation({"orders": 6})
        callers = _open(simulation, 20)
        for target in simulation.targets.values():
            target.lose_flows()
        simulation.restart(*simulation.processes)
        simulation.kill(15)
        _send_requests(simulation, callers, within=0.3)
        assert [one.reset_at for one in callers] == [None] * len(callers)
        simulation.publish(removed=("t15",))
        simulation.advance(0.5)
        assert all(one.reset_at is not None for one in callers)

    def test_no_reset_while_a_candidate_is_silent(self):
        simulation = PacketSimulation({"orders": 6})
        callers = _open(simulation, 20)
        silent = simulation.find_holder(callers[0])
        theirs = [one for one in callers if simulation.find_holder(one) == silent]
        simulation.restart(*simulation.processes)
        simulation.kill(silent)
        _send_requests(simulation, theirs, within=3.0)
        assert [one.reset_at for one in theirs] == [None] * len(theirs)
