import msgspec

from plantainyoke.flows import MessageKind, decode_message
from plantainyoke.packet_agent import _finder
from plantainyoke.packet_agent._finder import FIRST_CANDIDATES, POINTER_TIMEOUT_S
from plantainyoke.standins import PacketSimulation


def _open_flow():
    simulation = PacketSimulation({"orders": 6})
    caller = simulation.open_flow()
    simulation.advance(0.3)
    return simulation, caller, simulation.get_agent(simulation.find_holder(caller))


class TestPointers:
    def test_holder_is_registered_at_both_homes_when_a_flow_opens(self):
        simulation, caller, agent = _open_flow()
        held = agent.flow_table.flows[caller.flow]
        assert len(held.homes) == 2
        for home in held.homes:
            if home != agent.host:
                assert (
                    simulation.get_agent(home).finder.holder_table.find(caller.flow)
                    == agent.host
                )

    def test_pointers_are_refreshed_before_they_expire(self):
        simulation, caller, agent = _open_flow()
        sent = []
        agent.sender.transport = type(agent.sender.transport)(
            send_to_target=agent.transport.send_to_target,
            send_to_caller=agent.transport.send_to_caller,
            send_to_host=lambda host, datagram: sent.append(decode_message(datagram)),
        )
        now = agent.finder.refreshed_at + POINTER_TIMEOUT_S / 2 + 1
        agent.finder.tick(agent.flow_table.flows, now)
        kinds = {message.kind for message in sent}
        assert kinds == {MessageKind.REGISTER_HOLDER}

    def test_pointer_without_a_refresh_expires(self):
        simulation, caller, agent = _open_flow()
        finder = simulation.get_agent(15).finder
        finder.holder_table.register(b"f" * 12, 10, simulation.now)
        finder.tick({}, simulation.now + POINTER_TIMEOUT_S + 1)
        assert finder.holder_table.find(b"f" * 12) is None

    def test_holder_is_registered_at_a_new_home_after_a_home_was_removed(self):
        simulation, caller, agent = _open_flow()
        held = agent.flow_table.flows[caller.flow]
        before = held.homes
        removed_home = next(home for home in before if home != agent.host)
        simulation.kill(removed_home)
        simulation.publish(removed=(f"t{removed_home}",))
        simulation.advance(1.0)
        assert held.homes != before
        for home in held.homes:
            if home != agent.host:
                assert (
                    simulation.get_agent(home).finder.holder_table.find(caller.flow)
                    == agent.host
                )


def _count_probes(simulation):
    return sum(
        metrics.counters["probe.sent"] for metrics in simulation.metrics.values()
    )


class TestWidening:
    def test_search_probes_first_the_agents_among_which_the_flow_was_placed(self):
        # All processes restart, so every flow is searched for. Probes of all agents for
        # all flows would grow with the square of the number of hosts.
        simulation = PacketSimulation({"orders": 80})
        callers = [simulation.open_flow() for _ in range(50)]
        simulation.advance(0.5)
        simulation.restart(*simulation.processes)
        for caller in callers:
            caller.send_request()
        simulation.advance(2.0)
        assert all(caller.last_answered for caller in callers)
        assert _count_probes(simulation) <= 1.2 * 50 * FIRST_CANDIDATES

    def test_search_finds_a_holder_outside_the_first_candidates(self):
        # While 70 of 80 targets drain, flows are placed on the others, which are often
        # not among the likely holders once the 70 are eligible again.
        simulation = PacketSimulation({"orders": 80})
        entries = list(simulation.published.targets.values())
        drained = [
            msgspec.structs.replace(entry, draining=True) for entry in entries[:70]
        ]
        simulation.publish(targets=tuple(drained))
        simulation.advance(0.1)
        callers = [simulation.open_flow() for _ in range(50)]
        simulation.advance(0.5)
        simulation.publish(targets=tuple(entries[:70]))
        simulation.advance(0.1)
        simulation.restart(*simulation.processes)
        for caller in callers:
            caller.send_request()
        simulation.advance(2.0)
        assert [caller.reset_at for caller in callers] == [None] * len(callers)
        assert all(caller.last_answered for caller in callers)

    def test_search_probes_at_most_max_candidates_and_is_then_incomplete(
        self, monkeypatch
    ):
        monkeypatch.setattr(_finder, "FIRST_CANDIDATES", 8)
        monkeypatch.setattr(_finder, "MAX_CANDIDATES", 10)
        simulation = PacketSimulation({"orders": 12, "drawings": 12, "plans": 12})
        simulation.publish_shares(orders=1, drawings=1, plans=1)
        simulation.advance(0.1)
        caller = simulation.open_flow()
        first, deferred, is_complete = simulation.get_agent(
            12
        ).finder._select_candidates(caller.flow)
        assert len(first | deferred) <= 10
        assert not is_complete

    def test_flow_without_a_holder_is_reset_once_all_candidates_have_denied(self):
        simulation = PacketSimulation({"orders": 80})
        caller = simulation.open_flow()
        simulation.advance(0.5)
        for target in simulation.targets.values():
            target.lose_flows()
        simulation.restart(*simulation.processes)
        caller.send_request()
        simulation.advance(0.2)
        assert caller.reset_at is not None


def _publish_new_incarnations(simulation):
    """Publish that all targets started just now and lost their flows."""
    entries = simulation.published.targets.values()
    simulation.publish(
        targets=tuple(
            msgspec.structs.replace(entry, born_ms=round(simulation.now * 1000))
            for entry in entries
        )
    )
    for target in simulation.targets.values():
        target.lose_flows()


class TestQueries:
    """After a power loss every caller's next packet starts a search."""

    def test_no_packet_is_sent_to_targets_that_are_as_young_as_their_agents(self):
        simulation = PacketSimulation({"orders": 40})
        callers = [simulation.open_flow() for _ in range(20)]
        simulation.advance(0.5)
        _publish_new_incarnations(simulation)
        simulation.restart(*simulation.processes)
        for caller in callers:
            caller.send_request()
        simulation.advance(0.2)
        assert all(caller.reset_at for caller in callers)
        sent = _count_probes(simulation)
        # Only the searching agents give the packet to their own targets.
        assert sent == 0

    def test_agent_whose_target_is_older_gives_it_the_packet(self):
        simulation = PacketSimulation({"orders": 40})
        callers = [simulation.open_flow() for _ in range(20)]
        simulation.advance(0.5)
        simulation.restart(*simulation.processes)
        for caller in callers:
            caller.send_request()
        simulation.advance(0.2)
        assert all(caller.last_answered for caller in callers)

    def test_flows_of_a_target_whose_clock_was_ahead_are_not_denied(self):
        # The soak (seed 103) restarted a target with a clock 5 s ahead, then its agent.
        simulation = PacketSimulation({"orders": 6})
        entries = simulation.published.targets.values()
        ahead_ms = round((simulation.now + 5.0) * 1000)
        simulation.publish(
            targets=tuple(
                msgspec.structs.replace(entry, born_ms=ahead_ms) for entry in entries
            )
        )
        callers = [simulation.open_flow() for _ in range(20)]
        simulation.advance(1.0)
        simulation.restart(*simulation.processes)
        for caller in callers:
            caller.send_request()
        simulation.advance(0.5)
        assert [caller.reset_at for caller in callers] == [None] * len(callers)
        assert all(caller.last_answered for caller in callers)

    def test_agent_that_starts_later_is_asked_again(self):
        # The caller's next packet would come 1.6 s after the last one.
        simulation = PacketSimulation({"orders": 6})
        callers = [simulation.open_flow() for _ in range(20)]
        simulation.advance(0.5)
        _publish_new_incarnations(simulation)
        simulation.restart(*simulation.processes)
        simulation.kill(10, 11)
        for caller in callers:
            caller.send_request()
        simulation.advance(1.5)
        assert not any(caller.reset_at for caller in callers)
        simulation.restart(10, 11)
        simulation.advance(0.6)
        searching = [
            caller
            for caller in callers
            if any(
                caller.flow in simulation.get_agent(host).finder.searches.running
                for host in range(12, 16)
            )
        ]
        assert searching == []
        assert sum(caller.reset_at is not None for caller in callers) >= 15

    def test_departed_holder_that_answers_late_keeps_its_flow(self):
        # The target left the catalogue but still serves; every other agent has denied
        # before its answer arrives.
        simulation, caller, agent = _open_flow()
        holder = agent.host
        simulation.publish(removed=(f"t{holder}",))
        simulation.advance(0.1)
        simulation.restart(*simulation.balancers)
        for host in simulation.targets:
            simulation.get_agent(host).finder.holder_table.holders.clear()
        simulation.zone_by_host[holder] = "far"
        caller.send_request()
        simulation.advance(2.0)
        assert caller.reset_at is None
        assert caller.last_answered


class TestSearches:
    def test_agent_without_a_catalogue_does_not_reset_flows_that_it_cannot_find(self):
        # An agent that knows no other agent cannot probe any, which must not count as a
        # denial by all.
        simulation = PacketSimulation({"orders": 6})
        callers = [simulation.open_flow() for _ in range(40)]
        simulation.advance(0.3)
        simulation.restart(*simulation.processes)
        simulation.start_agent(12, has_catalogue=False)
        for caller in callers:
            caller.send_request()
        simulation.advance(2.0)
        assert [caller.reset_at for caller in callers] == [None] * len(callers)
        assert all(caller.last_answered for caller in callers)


class TestOrderOfSearches:
    def test_packets_with_data_are_searched_for_before_those_without(self):
        """After an outage callers that wait queued behind searches of idle flows."""
        simulation = PacketSimulation({"orders": 6}, balancers=1)
        callers = [simulation.open_flow() for _ in range(300)]
        simulation.advance(1.0)
        agents = [simulation.get_agent(host) for host in simulation.targets]
        idle_packets = [
            held.idle_packet
            for agent in agents
            for held in agent.flow_table.flows.values()
        ]
        simulation.restart(*simulation.processes)
        for packet in idle_packets:
            simulation.send_from_caller(packet)
        agents = [simulation.get_agent(host) for host in simulation.targets]
        simulation.advance(0.006)
        assert any(agent.finder.deferred.waiting for agent in agents)
        waiting = callers[:20]
        for caller in waiting:
            caller.send_request()
        simulation.advance(0.1)
        assert all(caller.last_answered == 1 for caller in waiting)
        simulation.advance(1.5)
        assert not any(agent.finder.deferred.waiting for agent in agents)
        for caller in callers:
            caller.send_request()
        simulation.advance(1.0)
        assert all(caller.reset_at is None for caller in callers)
        assert all(c.last_answered == c.last_requested for c in callers)
