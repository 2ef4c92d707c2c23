"""Fixtures of the tests that run the packet path as separate processes."""

import pytest

from plantainyoke.standins import PacketFleet, PacketFleetPlan


@pytest.fixture
def fleet(run_async, network_prefix, tmp_path):
    """Return a function that runs a scenario on a `PacketFleet`.

    Its keyword arguments are fields of `PacketFleetPlan`.
    """

    def run_scenario(scenario, **plan):
        async def main():
            async with PacketFleet(
                PacketFleetPlan(network_prefix, **plan), tmp_path
            ) as fleet:
                await scenario(fleet)

        run_async(main())

    return run_scenario
