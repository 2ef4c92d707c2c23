"""Flows of callers through changes and failures, in virtual time."""

import msgspec
import pytest

from plantainyoke.standins import PacketWorld

REORDER_S = 2.0  # time in which a flow must reach its target again


def _open(world, count):
    callers = [world.open_flow() for _ in range(count)]
    world.run(0.3)
    assert all(caller.opened for caller in callers)
    return callers


def _ask_all(world, callers, *, within=REORDER_S):
    for caller in callers:
        caller.ask()
    world.run(within)


def _assert_all_served(callers):
    assert [caller.reset_at for caller in callers] == [None] * len(callers)
    assert all(caller.answered == caller.asked for caller in callers)


class TestLapsedEntries:
    def test_processes_that_start_before_the_entries_are_back_reset_nothing(self):
        world = PacketWorld({"orders": 6})
        callers = _open(world, 40)
        entries = tuple(world.published.targets.values())
        world.publish(removed=tuple(entry.name for entry in entries))
        world.run(0.1)
        world.restart(*world.processes)
        world.publish(targets=entries[:0], zones_out=())
        for caller in callers:
            caller.ask()
        world.run(0.05)
        # Some know the entries again, others still do not.
        late = world.processes[12], world.processes[13]
        for process in late:
            process.follows = False
        world.publish(targets=entries)
        world.run(1.0)
        for process in late:
            process.follows = True
        world.publish(targets=entries)
        world.run(REORDER_S)
        _assert_all_served(callers)


class TestReusedAddress:
    def test_new_target_gets_nothing_meant_for_the_one_before(self):
        world = PacketWorld({"orders": 2, "drawings": 1})
        gate = world.start_agent(10).gate
        gate.service = "drawings"  # the entry of the earlier target still stands
        callers = _open(world, 20)
        _ask_all(world, callers)
        _assert_all_served(callers)
        assert not world.targets[10].pending
        assert not world.targets[10].opened


class TestOpening:
    def test_flows_spread_over_targets(self):
        world = PacketWorld({"orders": 6})
        callers = _open(world, 120)
        _ask_all(world, callers)
        _assert_all_served(callers)
        counts = [len(target.flows) for target in world.targets.values()]
        assert max(counts) <= 2 * 120 / 6

    def test_no_route_is_reset_at_once(self):
        world = PacketWorld({"orders": 2})
        world.publish(
            configuration=msgspec.structs.replace(
                world.configuration, version=2, routes=()
            )
        )
        world.run(0.1)
        caller = world.open_flow()
        world.run(0.02)
        assert caller.reset_at is not None

    def test_no_target_is_reset_at_once(self):
        world = PacketWorld({"orders": 2})
        world.publish(removed=("t10", "t11"))
        world.run(0.1)
        caller = world.open_flow()
        world.run(0.02)
        assert caller.reset_at is not None

    def test_target_that_returns_the_packet_is_passed_over(self):
        world = PacketWorld({"orders": 4})
        for host in (10, 11, 12):
            world.targets[host].accepts = False
        callers = _open(world, 20)
        _ask_all(world, callers)
        _assert_all_served(callers)
        assert len(world.targets[13].flows) == 20

    def test_dead_agent_delays_an_opening_by_less_than_a_copy(self):
        world = PacketWorld({"orders": 2}, zones=("a",))
        world.kill(10)
        callers = [world.open_flow() for _ in range(20)]
        world.run(0.15)
        assert all(caller.opened for caller in callers)

    def test_all_full_is_reset_at_once(self):
        world = PacketWorld({"orders": 3})
        for target in world.targets.values():
            target.accepts = False
        caller = world.open_flow()
        world.run(0.1)
        assert caller.reset_at is not None

    def test_copies_through_other_balancers_open_one_flow(self):
        world = PacketWorld({"orders": 6}, balancers=3, loss=0.3, seed=3)
        world.router = lambda flow: world.random.choice(world.balancers)
        callers = [world.open_flow() for _ in range(40)]
        world.run(1.5)
        world.loss = 0.0
        opened = [caller for caller in callers if caller.opened]
        assert len(opened) > 30
        _ask_all(world, opened)
        _assert_all_served(opened)


class TestRoutingChanges:
    def test_flows_survive_a_balancer_that_ends(self):
        world = PacketWorld({"orders": 6}, balancers=3)
        callers = _open(world, 60)
        world.kill(100)
        _ask_all(world, callers)
        _assert_all_served(callers)

    def test_new_balancer_without_the_old_configuration(self):
        world = PacketWorld({"orders": 4, "drawings": 4})
        callers = _open(world, 40)
        world.publish_shares(drawings=1)
        world.run(0.5)
        world.restart(*world.balancers)
        _ask_all(world, callers)
        _assert_all_served(callers)

    def test_split_that_loses_a_service_moves_only_new_flows(self):
        world = PacketWorld({"orders": 4, "drawings": 4})
        callers = _open(world, 40)
        world.publish_shares(drawings=1)
        world.run(0.5)
        world.router = lambda flow: world.random.choice(world.balancers)
        _ask_all(world, callers)
        _assert_all_served(callers)
        fresh = _open(world, 10)
        holders = {world.targets[world.holder_of(one)].entry.service for one in fresh}
        assert holders == {"drawings"}

    def test_draining_target_keeps_its_flows_and_gets_no_new_ones(self):
        world = PacketWorld({"orders": 4})
        callers = _open(world, 40)
        entry = msgspec.structs.replace(world.targets[10].entry, draining=True)
        before = len(world.targets[10].opened)
        assert before
        world.publish(targets=(entry,))
        world.run(0.1)
        _open(world, 40)
        _ask_all(world, callers)
        _assert_all_served(callers)
        assert len(world.targets[10].opened) == before

    def test_stale_balancer_is_corrected_by_the_agent(self):
        world = PacketWorld({"orders": 4}, balancers=1)
        world.processes[100].follows = False
        world.publish(
            targets=(msgspec.structs.replace(world.targets[10].entry, draining=True),)
        )
        world.run(0.1)
        callers = _open(world, 40)
        assert not world.targets[10].opened
        _ask_all(world, callers)
        _assert_all_served(callers)

    def test_zone_out_keeps_flows_and_gets_no_new_ones(self):
        world = PacketWorld({"orders": 6})
        callers = _open(world, 40)
        world.publish(zones_out=("a",))
        world.run(0.1)
        before = {host: len(world.targets[host].opened) for host in (10, 13)}
        _open(world, 40)
        world.restart(*world.balancers)
        _ask_all(world, callers)
        _assert_all_served(callers)
        after = {host: len(world.targets[host].opened) for host in (10, 13)}
        assert before == after


class TestForgottenFlows:
    def test_all_processes_end_while_targets_live_on(self):
        world = PacketWorld({"orders": 6})
        callers = _open(world, 60)
        world.restart(*world.processes)
        _ask_all(world, callers)
        _assert_all_served(callers)

    def test_agent_restarts_alone(self):
        world = PacketWorld({"orders": 6})
        callers = _open(world, 60)
        world.restart(11)
        _ask_all(world, callers)
        _assert_all_served(callers)

    def test_agent_and_balancers_restart(self):
        world = PacketWorld({"orders": 6})
        callers = _open(world, 60)
        world.restart(11, *world.balancers)
        _ask_all(world, callers)
        _assert_all_served(callers)

    def test_both_homes_end_together(self):
        world = PacketWorld({"orders": 9})
        (caller,) = _open(world, 1)
        holder = world.holder_of(caller)
        homes = world.agent(holder).holdings.flows[caller.flow].homes
        gone = [home for home in homes if home != holder]
        world.kill(*gone)
        world.restart(*world.balancers)
        _ask_all(world, [caller])
        _assert_all_served([caller])

    def test_search_reaches_targets_of_a_service_that_left_the_split(self):
        world = PacketWorld({"orders": 4, "drawings": 4})
        callers = _open(world, 20)
        world.publish_shares(drawings=1)
        world.publish(zones_out=("a",))
        world.run(0.5)
        world.restart(*world.processes)
        _ask_all(world, callers)
        _assert_all_served(callers)

    def test_wrong_pointer_is_corrected(self):
        world = PacketWorld({"orders": 6})
        (caller,) = _open(world, 1)
        holder = world.holder_of(caller)
        wrong = next(host for host in world.targets if host != holder)
        for host in world.targets:
            world.agent(host).finder.homes.point(caller.flow, wrong, world.now)
        world.restart(*world.balancers)
        _ask_all(world, [caller])
        _assert_all_served([caller])

    @pytest.mark.parametrize("seed", range(5))
    def test_found_again_while_messages_are_lost(self, seed):
        world = PacketWorld({"orders": 6}, seed=seed)
        callers = _open(world, 30)
        world.restart(*world.processes)
        world.loss = 0.05
        _ask_all(world, callers, within=3.5)
        _assert_all_served(callers)


class TestResets:
    def test_flow_of_a_restarted_target_is_reset_at_once(self):
        world = PacketWorld({"orders": 4})
        callers = _open(world, 20)
        lost = [one for one in callers if world.holder_of(one) == 10]
        world.targets[10].restart()
        _ask_all(world, callers, within=0.1)
        assert lost
        assert all(one.reset_at is not None for one in lost)
        kept = [one for one in callers if one not in lost]
        assert all(one.reset_at is None for one in kept)

    def test_idle_flows_of_an_earlier_incarnation_are_reset_before_they_are_used(self):
        world = PacketWorld({"orders": 4})
        callers = _open(world, 20)
        lost = [one for one in callers if world.holder_of(one) == 10]
        world.run(5.0)
        world.targets[10].restart()
        born_ms = round(world.now * 1000)
        entry = world.targets[10].entry
        world.run(0.5)
        fresh = _open(world, 12)
        world.publish(targets=(msgspec.structs.replace(entry, born_ms=born_ms),))
        world.run(0.5)
        assert lost
        assert all(one.reset_at is not None for one in lost)
        others = [one for one in (*callers, *fresh) if one not in lost]
        assert [one.reset_at for one in others] == [None] * len(others)

    def test_flow_that_nobody_holds_is_reset_within_a_round_trip(self):
        world = PacketWorld({"orders": 6})
        callers = _open(world, 20)
        for target in world.targets.values():
            target.restart()
        world.restart(*world.processes)
        _ask_all(world, callers, within=0.1)
        assert all(one.reset_at is not None for one in callers)

    def test_machine_that_left_does_not_forbid_a_reset(self):
        # Searches stayed unanswered for 20 s after a release had taken machines away.
        world = PacketWorld({"orders": 6})
        callers = _open(world, 20)
        world.kill(15)
        world.publish(removed=("t15",))
        for target in world.targets.values():
            target.restart()
        world.restart(*(host for host in world.processes if host != 15))
        _ask_all(world, callers, within=0.1)
        assert all(one.reset_at is not None for one in callers)

    def test_candidate_that_leaves_during_a_search_ends_it(self):
        world = PacketWorld({"orders": 6})
        callers = _open(world, 20)
        for target in world.targets.values():
            target.restart()
        world.restart(*world.processes)
        world.kill(15)
        _ask_all(world, callers, within=0.3)
        assert [one.reset_at for one in callers] == [None] * len(callers)
        world.publish(removed=("t15",))
        world.run(0.5)
        assert all(one.reset_at is not None for one in callers)

    def test_no_reset_while_a_candidate_is_silent(self):
        world = PacketWorld({"orders": 6})
        callers = _open(world, 20)
        silent = world.holder_of(callers[0])
        theirs = [one for one in callers if world.holder_of(one) == silent]
        world.restart(*world.processes)
        world.kill(silent)
        _ask_all(world, theirs, within=3.0)
        assert [one.reset_at for one in theirs] == [None] * len(theirs)
