import msgspec

from plantainyoke.flows import Kind, decode_message
from plantainyoke.packet_agent import _finder
from plantainyoke.packet_agent._finder import FIRST_CANDIDATES, POINTER_KEPT_S
from plantainyoke.standins import PacketWorld


def _opened():
    world = PacketWorld({"orders": 6})
    caller = world.open_flow()
    world.run(0.3)
    return world, caller, world.agent(world.holder_of(caller))


class TestPointers:
    def test_homes_are_told_when_a_flow_opens(self):
        world, caller, agent = _opened()
        held = agent.holdings.flows[caller.flow]
        assert len(held.homes) == 2
        for home in held.homes:
            if home != agent.host:
                assert world.agent(home).finder.homes.find(caller.flow) == agent.host

    def test_pointers_are_refreshed_before_they_expire(self):
        world, caller, agent = _opened()
        sent = []
        agent.outbox.ports = type(agent.outbox.ports)(
            to_target=agent.ports.to_target,
            to_caller=agent.ports.to_caller,
            to_peer=lambda host, datagram: sent.append(decode_message(datagram)),
        )
        now = agent.finder.refreshed_at + POINTER_KEPT_S / 2 + 1
        agent.finder.tick(agent.holdings.flows, now)
        kinds = {message.kind for message in sent}
        assert kinds == {Kind.POINT}

    def test_pointer_that_nobody_refreshed_expires(self):
        world, caller, agent = _opened()
        finder = world.agent(15).finder
        finder.homes.point(b"f" * 12, 10, world.now)
        finder.tick({}, world.now + POINTER_KEPT_S + 1)
        assert finder.homes.find(b"f" * 12) is None

    def test_new_home_is_told_after_targets_have_changed(self):
        world, caller, agent = _opened()
        held = agent.holdings.flows[caller.flow]
        before = held.homes
        gone = next(home for home in before if home != agent.host)
        world.kill(gone)
        world.publish(removed=(f"t{gone}",))
        world.run(1.0)
        assert held.homes != before
        for home in held.homes:
            if home != agent.host:
                assert world.agent(home).finder.homes.find(caller.flow) == agent.host


def _probes(world):
    return sum(metrics.counters["probe.sent"] for metrics in world.metrics.values())


class TestWidening:
    def test_a_search_asks_those_first_that_the_flow_was_placed_among(self):
        world = PacketWorld({"orders": 80})
        callers = [world.open_flow() for _ in range(50)]
        world.run(0.5)
        world.restart(*world.processes)
        for caller in callers:
            caller.ask()
        world.run(2.0)
        assert all(caller.answered for caller in callers)
        assert _probes(world) <= 1.2 * 50 * FIRST_CANDIDATES

    def test_a_holder_that_is_unlikely_is_found_too(self):
        world = PacketWorld({"orders": 80})
        entries = list(world.published.targets.values())
        away = [msgspec.structs.replace(entry, draining=True) for entry in entries[:70]]
        world.publish(targets=tuple(away))
        world.run(0.1)
        callers = [world.open_flow() for _ in range(50)]
        world.run(0.5)
        world.publish(targets=tuple(entries[:70]))
        world.run(0.1)
        world.restart(*world.processes)
        for caller in callers:
            caller.ask()
        world.run(2.0)
        assert [caller.reset_at for caller in callers] == [None] * len(callers)
        assert all(caller.answered for caller in callers)

    def test_a_search_asks_no_more_agents_than_stated(self, monkeypatch):
        monkeypatch.setattr(_finder, "FIRST_CANDIDATES", 8)
        monkeypatch.setattr(_finder, "MAX_CANDIDATES", 10)
        world = PacketWorld({"orders": 12, "drawings": 12, "plans": 12})
        world.publish_shares(orders=1, drawings=1, plans=1)
        world.run(0.1)
        caller = world.open_flow()
        first, later, complete = world.agent(12).finder._search_candidates(caller.flow)
        assert len(first | later) <= 10
        assert not complete

    def test_a_flow_that_nobody_holds_is_reset_once_all_have_denied(self):
        world = PacketWorld({"orders": 80})
        caller = world.open_flow()
        world.run(0.5)
        for target in world.targets.values():
            target.restart()
        world.restart(*world.processes)
        caller.ask()
        world.run(0.2)
        assert caller.reset_at is not None


class TestSearches:
    def test_agent_without_a_catalogue_does_not_claim_that_nobody_holds_a_flow(self):
        world = PacketWorld({"orders": 6})
        callers = [world.open_flow() for _ in range(40)]
        world.run(0.3)
        world.restart(*world.processes)
        world.start_agent(12, loaded=False)
        for caller in callers:
            caller.ask()
        world.run(2.0)
        assert [caller.reset_at for caller in callers] == [None] * len(callers)
        assert all(caller.answered for caller in callers)
