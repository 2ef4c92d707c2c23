"""Requests from callers to upstreams over the whole QUIC path."""

import asyncio
from pathlib import Path

from plantainyoke.standins import EmbeddedFleet, FleetPlan, ServicePlan, UpstreamOptions

REQUESTS = 20


class TestWholePath:
    def test_each_service_is_served_by_its_own_upstreams(
        self, run_async, network_prefix, tmp_path
    ):
        async def scenario():
            async with EmbeddedFleet(FleetPlan(network_prefix), tmp_path) as fleet:
                async with (
                    fleet.open_session("orders") as orders,
                    fleet.open_session("drawings") as drawings,
                ):
                    answer = await orders.request("POST", "/orders", body=b"span 7")
                    drawing = await drawings.request("GET", "/drawings/300000/x")
                assert b'"echo": "span 7"' in answer.body
                assert drawing.body == b"x" * 300_000
                assert sum(u.served for u in fleet.list_upstreams("orders")) == 1
                assert sum(u.served for u in fleet.list_upstreams("drawings")) == 1
                assert all(
                    count > 0 for count in fleet.fabrics["orders"].counts.values()
                )
                assert len(fleet.fabrics["orders"].counts) == 2

        run_async(scenario())

    def test_flow_survives_a_killed_balancer(self, run_async, network_prefix, tmp_path):
        async def scenario():
            async with EmbeddedFleet(FleetPlan(network_prefix), tmp_path) as fleet:
                async with fleet.open_session("orders") as session:
                    await session.request("POST", "/orders", body=b"before")
                    await fleet.kill("balancer-0")
                    for number in range(REQUESTS):
                        if number == 5:
                            fleet.set_rotation([1])
                        await session.request("POST", "/orders", body=b"%d" % number)
                    assert session.metrics.counters["connect.opened"] == 1
                runs = _count_runs(fleet, "orders")
                assert len(runs) == REQUESTS + 1
                assert max(runs.values()) == 1

        run_async(scenario())

    def test_flow_survives_replacement_of_every_balancer(
        self, run_async, network_prefix, tmp_path: Path
    ):
        async def scenario():
            plan = FleetPlan(network_prefix, balancers=3)
            async with EmbeddedFleet(plan, tmp_path) as fleet:
                async with fleet.open_session("orders") as session:
                    await session.request("POST", "/orders", body=b"first")
                    for index in range(3):
                        others = [other for other in range(3) if other != index]
                        fleet.set_rotation(others)
                        await fleet.kill(f"balancer-{index}")
                        await session.request("POST", "/orders", body=b"%d" % index)
                        await fleet.start_balancer(index)
                    fleet.set_rotation([0, 1, 2])
                    await session.request("POST", "/orders", body=b"last")
                    assert session.metrics.counters["connect.opened"] == 1

        run_async(scenario())

    def test_requests_run_once_on_a_lossy_reordering_network(
        self, run_async, network_prefix, tmp_path
    ):
        async def scenario():
            async with EmbeddedFleet(FleetPlan(network_prefix), tmp_path) as fleet:
                fabric = fleet.fabrics["orders"]
                fabric.loss = 0.05
                fabric.duplication = 0.2
                fabric.jitter_s = 0.01
                sessions = [fleet.open_session("orders", seed=i) for i in range(4)]
                await asyncio.gather(
                    *(_send_orders(session, REQUESTS) for session in sessions)
                )
                for session in sessions:
                    await session.aclose()
                runs = _count_runs(fleet, "orders")
                assert len(runs) == 4 * REQUESTS
                assert max(runs.values()) == 1

        run_async(scenario())


class TestSteeringDisagreement:
    def test_requests_run_once_if_two_agents_answer_one_handshake(
        self, run_async, network_prefix, tmp_path
    ):
        """Balancers with different candidates send one Initial to different agents.

        Both agents accept the handshake, but the caller completes it with one only.
        """

        async def scenario():
            plan = FleetPlan(
                network_prefix, services=(ServicePlan("orders", 3, UpstreamOptions()),)
            )
            async with EmbeddedFleet(plan, tmp_path) as fleet:
                first, second = fleet.list_balancers()
                # The second balancer prefers other agents than the first.
                original = second.steering.select_candidates
                second.steering.select_candidates = lambda *a: original(*a)[::-1]
                fleet.fabrics["orders"].duplication = 1.0
                for number in range(10):
                    async with fleet.open_session("orders", seed=number) as session:
                        await session.request("POST", "/orders", body=b"%d" % number)
                accepted = fleet.sum_counter("connection.accepted")
                runs = _count_runs(fleet, "orders")
                assert accepted > 10, "no handshake was answered by two agents"
                assert len(runs) == 10
                assert max(runs.values()) == 1

        run_async(scenario())


async def _send_orders(session, count: int) -> None:
    for number in range(count):
        body = b"order %d" % number
        answer = await session.request("POST", "/orders", body=body, timeout_s=20.0)
        assert body in answer.body


def _count_runs(fleet: EmbeddedFleet, service: str) -> dict[str, int]:
    """Return how often the upstreams of a service ran each idempotency key."""
    runs: dict[str, int] = {}
    for upstream in fleet.list_upstreams(service):
        for key, count in upstream.runs.items():
            runs[key] = runs.get(key, 0) + count
    return runs
