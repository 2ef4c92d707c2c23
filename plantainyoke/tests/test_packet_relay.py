"""Packets that take a detour through a third zone during a partial partition."""

import itertools

import pytest

from plantainyoke.flows import (
    MAX_HOPS,
    Ingress,
    MalformedMessageError,
    MessageKind,
    decode_message,
    decode_relay_body,
    encode_message,
    encode_relay_body,
)
from plantainyoke.packet_balancer._detours import RELAY_SILENT_S, ZONE_SILENT_S
from plantainyoke.standins import PacketSimulation

BALANCER = 100  # in zone a


def _open_flows(simulation, count=60):
    simulation.select_balancer = lambda flow: BALANCER
    callers = [simulation.open_flow() for _ in range(count)]
    simulation.advance(0.5)
    assert all(caller.is_open for caller in callers)
    return callers


def _list_hosts(simulation, zone):
    return [host for host, one in simulation.zone_by_host.items() if one == zone]


def _partition(simulation, first="a", second="b"):
    pairs = itertools.product(
        _list_hosts(simulation, first), _list_hosts(simulation, second)
    )
    simulation.partitioned_pairs = {frozenset(pair) for pair in pairs}


def _list_callers_of_zone(simulation, callers, zone):
    return [
        caller
        for caller in callers
        if simulation.zone_by_host[simulation.find_holder(caller)] == zone
    ]


def _send_requests(simulation, callers, within):
    for caller in callers:
        caller.send_request()
    simulation.advance(within)


def _count(simulation, name):
    return sum(metrics.counters[name] for metrics in simulation.metrics.values())


def _is_served(callers):
    return all(
        caller.reset_at is None and caller.last_answered == caller.last_requested
        for caller in callers
    )


@pytest.fixture
def partitioned():
    """Simulation in which zone a cannot reach zone b, and callers served there."""
    simulation = PacketSimulation({"orders": 9}, seed=4)
    callers = _open_flows(simulation)
    _partition(simulation)
    cut_off = _list_callers_of_zone(simulation, callers, "b")
    assert cut_off
    _send_requests(simulation, cut_off[:1], ZONE_SILENT_S + 0.2)
    return simulation, callers, cut_off


class TestPartialPartition:
    def test_known_flows_are_served_through_the_third_zone(self, partitioned):
        """Without the detour none of these requests was answered."""
        simulation, callers, cut_off = partitioned
        _send_requests(simulation, cut_off, 1.0)
        assert _is_served(cut_off)
        assert _count(simulation, "relay.forwarded")

    def test_flows_are_not_served_if_the_feature_is_off(self, partitioned):
        simulation, callers, cut_off = partitioned
        simulation.get_balancer(BALANCER).detours.is_enabled = False
        _send_requests(simulation, cut_off, 1.0)
        assert not _is_served(cut_off)

    def test_new_flows_open_at_targets_behind_the_partition(self, partitioned):
        """OPEN, ACCEPTED and HELD take the detour, if only zone b has targets left."""
        simulation, callers, cut_off = partitioned
        _send_requests(simulation, cut_off, 1.0)
        simulation.publish(zones_out=("a", "c"))
        simulation.advance(0.1)
        fresh = [simulation.open_flow() for _ in range(10)]
        for _ in range(4):
            _send_requests(simulation, cut_off, 0.5)
        opened = [caller for caller in fresh if caller.is_open]
        assert len(opened) == len(fresh)
        _send_requests(simulation, opened, 1.0)
        assert _is_served(opened)

    def test_another_relay_takes_over_when_the_relay_dies(self, partitioned):
        simulation, callers, cut_off = partitioned
        _send_requests(simulation, cut_off, 0.5)
        detours = simulation.get_balancer(BALANCER).detours.detours
        relays = {detour.relay for detour in detours.values()}
        assert relays and {simulation.zone_by_host[one] for one in relays} == {"c"}
        simulation.kill(*list(relays)[:1])
        for _ in range(3):
            _send_requests(simulation, cut_off, RELAY_SILENT_S + 0.3)
        _send_requests(simulation, cut_off, 1.0)
        assert _is_served(cut_off)

    def test_agent_that_is_itself_heard_over_a_relay_is_no_relay(self):
        """Packets for zone b went to agents of zone d, which is cut off as well, and
        three of them without an answer ended the detour for 5 s.
        """
        simulation = PacketSimulation({"orders": 16}, zones=tuple("abcd"), seed=4)
        callers = _open_flows(simulation)
        _partition(simulation)
        pairs = simulation.partitioned_pairs
        _partition(simulation, "a", "d")
        simulation.partitioned_pairs |= pairs
        in_d = _list_callers_of_zone(simulation, callers, "d")
        in_b = _list_callers_of_zone(simulation, callers, "b")
        assert in_d and in_b
        for _ in range(4):
            _send_requests(simulation, in_d, 0.5)
        detours = simulation.get_balancer(BALANCER).detours.detours
        assert detours
        for _ in range(20):
            _send_requests(simulation, in_d + in_b, 0.1)
            relays = {detour.relay for detour in detours.values()}
            assert {simulation.zone_by_host[relay] for relay in relays} == {"c"}
        assert {simulation.zone_by_host[host] for host in detours} == {"b", "d"}

    def test_direct_path_is_used_again_when_it_works(self, partitioned):
        simulation, callers, cut_off = partitioned
        _send_requests(simulation, cut_off, 1.0)
        simulation.partitioned_pairs = set()
        for _ in range(2):
            _send_requests(simulation, cut_off, 1.0)
        assert not simulation.get_balancer(BALANCER).detours.detours
        before = _count(simulation, "relay.sent")
        _send_requests(simulation, cut_off, 1.0)
        assert _is_served(cut_off)
        assert _count(simulation, "relay.sent") == before

    def test_agent_that_is_down_gets_the_packets_of_no_flow_for_long(self):
        """Its packets would cross zones twice without an effect."""
        simulation = PacketSimulation({"orders": 9}, seed=4)
        callers = _open_flows(simulation)
        lost = _list_callers_of_zone(simulation, callers, "b")
        simulation.kill(*(h for h in _list_hosts(simulation, "b") if h < BALANCER))
        for _ in range(10):
            _send_requests(simulation, lost, 0.3)
        before = _count(simulation, "relay.sent")
        _send_requests(simulation, lost, 1.0)
        assert _count(simulation, "relay.sent") == before
        assert all(caller.reset_at is None for caller in lost)


class TestRefusedRelays:
    """A relay must not forward to any host or more than once."""

    def _relay(self, final_host, *, hops=0, source=BALANCER, inner_hops=0):
        simulation = PacketSimulation({"orders": 3})
        inner = encode_message(
            MessageKind.QUERY,
            b"f" * 12,
            ingress=Ingress(BALANCER),
            revision=1,
            hops=inner_hops,
        )
        datagram = encode_message(
            MessageKind.RELAY,
            encode_relay_body(final_host, inner),
            ingress=Ingress(BALANCER),
            revision=1,
            hops=hops,
        )
        agent = simulation.get_agent(10)
        agent.receive_message(decode_message(datagram), source, simulation.now)
        return agent

    def test_message_for_a_published_target_is_forwarded_once(self):
        assert self._relay(11).metrics.counters["relay.forwarded"] == 1
        agent = self._relay(11, hops=1, source=12)
        assert not agent.metrics.counters["relay.forwarded"]
        assert agent.metrics.counters["drop.relay"] == 1

    @pytest.mark.parametrize("host", [0x7F000001, 101])
    def test_message_for_an_unknown_host_is_dropped(self, host):
        agent = self._relay(host)
        assert not agent.metrics.counters["relay.forwarded"]
        assert agent.metrics.counters["drop.relay"] == 1

    def test_message_with_too_many_hops_is_dropped(self):
        agent = self._relay(11, inner_hops=MAX_HOPS)
        assert not agent.metrics.counters["relay.forwarded"]

    def test_detour_is_taken_only_from_a_published_agent(self):
        agent = self._relay(10, hops=1, source=77)
        assert not agent.relay.detours
        assert agent.metrics.counters["drop.relay"] == 1

    def test_invalid_bodies_are_malformed(self):
        inner = encode_message(
            MessageKind.RELAY, b"x" * 40, ingress=Ingress(), revision=1
        )
        many_hops = encode_message(
            MessageKind.FIND, b"", ingress=Ingress(), revision=1, hops=255
        )
        bodies = (b"", b"\0" * 25, b"\0" * 40, b"\0" * 2000)
        for body in (*bodies, b"\0" * 4 + inner, b"\0" * 4 + many_hops):
            with pytest.raises(MalformedMessageError):
                decode_relay_body(body)


class TestCalmLoad:
    def test_nothing_is_relayed_or_queried(self):
        simulation = PacketSimulation({"orders": 9}, seed=4)
        callers = _open_flows(simulation)
        for _ in range(20):
            _send_requests(simulation, callers, 0.5)
        assert _is_served(callers)
        assert _count(simulation, "relay.sent") == 0
        assert not simulation.get_balancer(BALANCER).detours.detours

    def test_quiet_balancer_among_many_uses_the_direct_path(self):
        """An agent reports to 8 of 19 balancers in 0.25 s, so that a balancer with
        flows at only one agent of a zone waits three intervals for a report.
        """
        simulation = PacketSimulation({"orders": 3}, balancers=19, seed=4)
        callers = [simulation.open_flow() for _ in range(190)]
        simulation.advance(1.0)
        remote = [
            caller
            for caller in callers
            if simulation.zone_by_host[simulation.select_by_hash(caller.flow)]
            != simulation.zone_by_host[simulation.find_holder(caller)]
        ]
        assert remote
        for _ in range(200):
            _send_requests(simulation, remote, 0.09)
        assert _is_served(callers)
        assert _count(simulation, "relay.sent") == 0
