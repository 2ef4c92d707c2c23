import asyncio

import pytest

from plantainyoke.agent._rebalance import count_excess_connections
from plantainyoke.standins import EmbeddedFleet, FleetPlan, ServicePlan

SESSIONS = 21


class TestExcessConnections:
    @pytest.mark.parametrize(
        ("own", "others", "expected"),
        [
            (0, [], 0),
            (50, [], 0),
            (5, [5, 5], 0),
            (6, [5, 5], 0),
            (30, [0, 0], 19),
            (0, [30, 30], 0),
        ],
    )
    def test_excess_counts_connections_above_tolerated_mean(
        self, own, others, expected
    ):
        assert count_excess_connections(own, others) == expected


class TestRebalancing:
    def test_connections_spread_evenly_after_a_zone_returns(
        self, run_async, network_prefix, tmp_path
    ):
        async def scenario():
            plan = FleetPlan(network_prefix, services=(ServicePlan("orders", 3),))
            async with EmbeddedFleet(plan, tmp_path) as fleet:
                await fleet.wait_for_generation(fleet.set_zone_state("pikine", "out"))
                sessions = [
                    fleet.open_session("orders", seed=i) for i in range(SESSIONS)
                ]
                for session in sessions:
                    await session.get_connection()
                counts = _count_connections(fleet)
                assert counts[2] == 0
                await fleet.wait_for_generation(fleet.set_zone_state("pikine", "in"))
                async with asyncio.timeout(20):
                    while max(_count_connections(fleet)) > 1.25 * SESSIONS / 3:
                        await _send_order_on_each(sessions)
                for session in sessions:
                    await session.aclose()
                runs = [u.runs for u in fleet.list_upstreams("orders")]
                assert max(max(item.values(), default=0) for item in runs) == 1

        run_async(scenario())


async def _send_order_on_each(sessions) -> None:
    await asyncio.gather(
        *(item.request("POST", "/orders", body=b"order") for item in sessions)
    )


def _count_connections(fleet) -> list[int]:
    return [
        len(agent.listener.open_connections) for agent in fleet.list_agents("orders")
    ]
