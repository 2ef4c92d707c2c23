import os

import pytest
from hypothesis import given
from hypothesis import strategies as st

from plantainyoke.balancer import DatagramSteering, Decision, DecisionReason, Drop
from plantainyoke.balancer._steering import ZONE_RAMP_S
from plantainyoke.configuration import (
    ConfigurationState,
    FleetFile,
    ServiceFile,
    build_documents,
)
from plantainyoke.hashing import (
    compute_service_id,
    compute_zone_id,
)
from plantainyoke.routing import (
    ConnectionIdCodec,
    ConnectionTarget,
    RoutingKey,
)

KEYS = [RoutingKey(0, b"k" * 16)]
ZONES = ("plateau", "rufisque", "pikine")


def _build_snapshot(**states):
    state = ConfigurationState()
    fleet = {
        "generation": 1,
        "zones": {zone: states.get(zone, "in") for zone in ZONES},
        "networks": ["10.0.0.0/8"],
    }
    services = [
        {
            "service": name,
            "address": f"192.0.2.{number}:443",
            "slots": 4,
            "targets": [
                {"agent": f"10.0.{number}.{index}:7000", "zone": ZONES[index % 3]}
                for index in range(1, 7)
            ],
        }
        for number, name in enumerate(("orders", "drawings"), start=1)
    ]
    built = build_documents(
        FleetFile.model_validate(fleet),
        [ServiceFile.model_validate(item) for item in services],
    ).unwrap()
    pending = state.check_index(built.index_document).unwrap()
    return state.apply(pending, built.chunk_documents).unwrap()


SNAPSHOT = _build_snapshot()
ORDERS = SNAPSHOT.services[compute_service_id("orders")]
DRAWINGS = SNAPSHOT.services[compute_service_id("drawings")]


def _build_steering(
    snapshot=SNAPSHOT, suspects=(), blocked=frozenset()
) -> DatagramSteering:
    steering = DatagramSteering(
        ConnectionIdCodec(KEYS), lambda agent: agent in suspects, lambda: blocked
    )
    steering.apply(snapshot, 0.0)
    return steering


def _build_short_packet(target: ConnectionTarget) -> bytes:
    return (b"\x40" + ConnectionIdCodec(KEYS).issue_connection_id(target)).ljust(
        60, b"x"
    )


def _build_initial(connection_id: bytes, token: bytes = b"") -> bytes:
    head = b"\xc0\x00\x00\x00\x01" + bytes([len(connection_id)]) + connection_id
    return (head + b"\x00" + bytes([len(token)]) + token).ljust(1200, b"\0")


class TestEstablishedFlows:
    def test_connection_id_routes_to_agent_removed_from_configuration(self):
        removed = ConnectionTarget(
            10 << 40 | 9 << 16 | 7000, compute_zone_id("plateau"), ORDERS.id
        )
        decision = _build_steering().decide(_build_short_packet(removed), ORDERS, 0.0)
        assert decision == Decision(removed.agent, [], DecisionReason.CONNECTION_ID)

    def test_flow_stays_with_suspected_agent(self):
        target = ORDERS.targets[0]
        flow = _build_short_packet(
            ConnectionTarget(target.agent, target.zone, ORDERS.id)
        )
        steering = _build_steering(suspects={target.agent})
        assert steering.decide(flow, ORDERS, 0.0).agent == target.agent

    @pytest.mark.parametrize(
        ("change", "reason"),
        [
            ({"service": DRAWINGS.id}, "wrong_service"),
            ({"zone": 1}, "unknown_zone"),
            ({"agent": 192 << 40 | 7000}, "outside_networks"),
        ],
    )
    def test_connection_id_of_invalid_target_is_dropped(self, change, reason):
        target = ORDERS.targets[0]
        fields = {"agent": target.agent, "zone": target.zone, "service": ORDERS.id}
        forged = _build_short_packet(ConnectionTarget(**{**fields, **change}))
        assert _build_steering().decide(forged, ORDERS, 0.0) == Drop(reason)

    def test_flow_of_zone_out_is_dropped_only_once_zone_is_blocked(self):
        zone = compute_zone_id("rufisque")
        target = next(item for item in ORDERS.targets if item.zone == zone)
        flow = _build_short_packet(ConnectionTarget(target.agent, zone, ORDERS.id))
        snapshot = _build_snapshot(rufisque="out")
        in_grace = _build_steering(snapshot).decide(flow, ORDERS, 0.0)
        assert in_grace.agent == target.agent
        blocked = _build_steering(snapshot, blocked=frozenset({zone}))
        assert blocked.decide(flow, ORDERS, 0.0) == Drop("zone_out")


class TestNewFlows:
    @given(st.binary(min_size=8, max_size=20))
    def test_two_balancers_select_same_agents(self, connection_id):
        datagram = _build_initial(connection_id)
        first = _build_steering().decide(datagram, ORDERS, 0.0)
        assert first == _build_steering().decide(datagram, ORDERS, 0.0)
        assert first.agent in {target.agent for target in ORDERS.targets}

    @given(st.binary(min_size=8, max_size=16))
    def test_suspected_agents_and_zones_out_are_excluded(self, connection_id):
        snapshot = _build_snapshot(rufisque="out")
        service = snapshot.services[ORDERS.id]
        suspects = {service.targets[0].agent}
        steering = _build_steering(snapshot, suspects)
        decision = steering.decide(_build_initial(connection_id), service, 0.0)
        chosen = {decision.agent, *decision.alternates}
        assert not chosen & suspects
        zones = {snapshot.zone_by_agent[agent] for agent in chosen}
        assert compute_zone_id("rufisque") not in zones

    def test_flow_is_accepted_when_every_agent_is_suspected(self):
        suspects = {target.agent for target in ORDERS.targets}
        steering = _build_steering(suspects=suspects)
        decision = steering.decide(_build_initial(os.urandom(8)), ORDERS, 0.0)
        assert decision.agent in suspects

    def test_token_routes_to_its_agent(self):
        target = ORDERS.targets[3]
        token = ConnectionIdCodec(KEYS).issue_connection_id(
            ConnectionTarget(target.agent, target.zone, ORDERS.id)
        )
        decision = _build_steering().decide(
            _build_initial(os.urandom(8), token), ORDERS, 0.0
        )
        assert decision == Decision(target.agent, [], DecisionReason.TOKEN)

    def test_token_of_another_service_is_ignored(self):
        target = DRAWINGS.targets[0]
        token = ConnectionIdCodec(KEYS).issue_connection_id(
            ConnectionTarget(target.agent, target.zone, DRAWINGS.id)
        )
        decision = _build_steering().decide(
            _build_initial(os.urandom(8), token), ORDERS, 0.0
        )
        assert decision.reason is DecisionReason.TABLE

    def test_share_of_returned_zone_rises_gradually(self):
        steering = _build_steering(_build_snapshot(rufisque="out"))
        steering.apply(_build_snapshot(), 100.0)
        zone = compute_zone_id("rufisque")
        service = steering.snapshot.services[ORDERS.id]

        def share(now: float) -> float:
            keys = [number.to_bytes(8, "big") for number in range(2_000)]
            agents = [steering.select_candidates(key, service, now)[0] for key in keys]
            inside = sum(steering.zone_by_agent[agent] == zone for agent in agents)
            return inside / len(keys)

        early, half = share(100.0), share(100.0 + ZONE_RAMP_S / 2)
        late = share(100.0 + ZONE_RAMP_S)
        assert early <= 0.1 < half < late
        assert late >= 0.25


class TestHostileInput:
    @given(st.binary(max_size=1600))
    def test_random_datagram_is_dropped_or_routed_by_table(self, datagram):
        decision = _build_steering().decide(datagram, ORDERS, 0.0)
        assert isinstance(decision, Drop) or decision.reason is DecisionReason.TABLE

    @given(st.binary(min_size=17, max_size=17), st.binary(max_size=1400))
    def test_forged_connection_id_is_dropped(self, connection_id, rest):
        datagram = b"\x40" + connection_id + rest + b"x"
        assert isinstance(_build_steering().decide(datagram, ORDERS, 0.0), Drop)
