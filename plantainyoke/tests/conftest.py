"""Fixtures of the tests that run a whole site."""

import pytest

from plantainyoke.standins import PacketSite, SitePlan


@pytest.fixture
def site(run, network, tmp_path):
    """Return a function that plays a scenario on a site."""

    def play(scenario, **plan):
        async def main():
            async with PacketSite(SitePlan(network, **plan), tmp_path) as site:
                await scenario(site)

        run(main())

    return play
