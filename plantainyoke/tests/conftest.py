"""Fixtures of the tests that run a whole site."""

import pytest

from plantainyoke.standins import PacketFleet, PacketFleetPlan


@pytest.fixture
def fleet(run_async, network_prefix, tmp_path):
    """Return a function that plays a scenario on a site."""

    def run_scenario(scenario, **plan):
        async def main():
            async with PacketFleet(
                PacketFleetPlan(network_prefix, **plan), tmp_path
            ) as fleet:
                await scenario(fleet)

        run_async(main())

    return run_scenario
