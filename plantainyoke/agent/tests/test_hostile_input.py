"""Forged, truncated, oversized and random datagrams sent to running processes."""

import asyncio
import random
import socket

from plantainyoke.network import (
    unpack_address,
)
from plantainyoke.routing import ConnectionIdCodec, ConnectionTarget
from plantainyoke.standins import EmbeddedFleet, FleetPlan
from plantainyoke.wire import (
    Forward,
)

DATAGRAMS = 300


def _draw_hostile_datagram(
    rng: random.Random, codec: ConnectionIdCodec, target: ConnectionTarget
):
    """Return a random hostile datagram of a caller."""
    kind = rng.randrange(5)
    if kind == 0:
        return rng.randbytes(rng.randrange(1, 1600))
    if kind == 1:
        return b"\x40" + rng.randbytes(17) + rng.randbytes(rng.randrange(1, 1200))
    if kind == 2:
        return (
            b"\x40"
            + codec.issue_connection_id(target)
            + rng.randbytes(rng.randrange(40))
        )
    if kind == 3:
        head = b"\xc0\x00\x00\x00\x01\x08" + rng.randbytes(8)
        return (head + rng.randbytes(rng.randrange(60))).ljust(1200, b"\0")
    return (
        b"\xe0\x00\x00\x00\x01\x11"
        + codec.issue_connection_id(target)
        + rng.randbytes(200)
    )


class TestHostileInput:
    def test_fleet_serves_and_keeps_no_state_under_hostile_datagrams(
        self, run_async, network_prefix, tmp_path
    ):
        async def scenario():
            rng = random.Random(5)
            async with EmbeddedFleet(FleetPlan(network_prefix), tmp_path) as fleet:
                agent = fleet.list_agents("orders")[0]
                sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                sender.bind((f"{network_prefix}.9.9", 0))
                service = fleet.service_address("orders")
                peers = [
                    unpack_address(member.component.node.address)
                    for member in fleet.members.values()
                ]
                async with fleet.open_session("orders") as session:
                    for number in range(DATAGRAMS):
                        datagram = _draw_hostile_datagram(
                            rng, agent.listener.codec, agent.listener.target
                        )
                        sender.sendto(datagram, service)
                        sender.sendto(rng.randbytes(rng.randrange(1, 4500)), peers[0])
                        sender.sendto(datagram, rng.choice(peers))
                        if number % 30 == 0:
                            await session.request("POST", "/orders", key=f"{number}")
                    await asyncio.sleep(0.5)
                    await session.request("POST", "/orders", key="last")
                    assert session.metrics.counters["connect.opened"] == 1
                sender.close()
                assert fleet.sum_counter("task.failed") == 0
                assert fleet.sum_counter("drop.envelope_forged") > 0
                assert fleet.sum_counter("drop.unknown_key") > 0
                assert fleet.sum_counter("drop.unknown_connection") > 0
                opened = sum(
                    len(a.listener.open_connections)
                    for a in fleet.list_agents("orders")
                )
                assert opened <= 1, "hostile datagrams hold connection state"

        run_async(scenario())

    def test_agent_survives_random_payloads_in_authentic_envelopes(
        self, run_async, network_prefix, tmp_path
    ):
        """A balancer's key is valid, but what it forwards is a caller's input."""

        async def scenario():
            rng = random.Random(6)
            async with EmbeddedFleet(FleetPlan(network_prefix), tmp_path) as fleet:
                agent = fleet.list_agents("orders")[0]
                balancer = fleet.list_balancers()[0].node
                for _ in range(DATAGRAMS):
                    forward = Forward(
                        rng.getrandbits(48),
                        rng.choice([agent.service_id, rng.getrandbits(32)]),
                        balancer.address,
                        rng.randrange(256),
                        [rng.getrandbits(48) for _ in range(rng.randrange(3))],
                        _draw_hostile_datagram(
                            rng, agent.listener.codec, agent.listener.target
                        ),
                    )
                    envelope = balancer.codec.encode_forward(1, forward)
                    balancer.send(envelope, agent.node.address, "bytes.data")
                await asyncio.sleep(0.5)
                async with fleet.open_session("orders") as session:
                    await session.request("POST", "/orders", key="after")
                assert fleet.sum_counter("drop.wrong_service") > 0
                assert fleet.sum_counter("task.failed") == 0

        run_async(scenario())

    def test_packet_with_connection_id_of_another_service_is_dropped(
        self, run_async, network_prefix, tmp_path
    ):
        async def scenario():
            async with EmbeddedFleet(FleetPlan(network_prefix), tmp_path) as fleet:
                drawings = fleet.list_agents("drawings")[0]
                connection_id = drawings.listener.codec.issue_connection_id(
                    drawings.listener.target
                )
                received_before = [
                    agent.node.metrics.counters["drop.unknown_connection"]
                    for agent in fleet.list_agents("drawings")
                ]
                sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                for _ in range(50):
                    datagram = b"\x40" + connection_id + bytes(100)
                    sender.sendto(datagram, fleet.service_address("orders"))
                await asyncio.sleep(0.3)
                sender.close()
                assert fleet.sum_counter("drop.wrong_service") == 50
                assert received_before == [
                    agent.node.metrics.counters["drop.unknown_connection"]
                    for agent in fleet.list_agents("drawings")
                ]

        run_async(scenario())
