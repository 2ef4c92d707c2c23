from contextlib import AsyncExitStack

import pytest

from plantainyoke.conftest import make_scenario_runner
from plantainyoke.platform import PlatformReader
from plantainyoke.standins import STORE_PORT, FakeStore


def _configuration(version: int) -> dict:
    return {"version": version, "routes": [], "services": []}


@pytest.fixture
def run_scenario(network_prefix, run_async):
    """Return a function that runs a scenario with a store."""

    async def create(stack: AsyncExitStack) -> FakeStore:
        store = FakeStore(f"{network_prefix}.9.1")
        store.put("op/config", _configuration(1))
        await store.start(stack)
        return store

    return make_scenario_runner(run_async, create)


class TestRestoredStore:
    def test_writes_at_revisions_of_the_lost_history_are_read(self, run_scenario):
        # The new history has passed the reader's revision, so the watch is answered.
        async def scenario(store):
            reader = PlatformReader((store.ip, STORE_PORT))
            copy = store.take_copy()
            store.put("op/config", _configuration(2))
            await reader.read()
            store.restore(copy)
            store.put("op/config", _configuration(3))
            store.put("op/evacuate/a", {})
            update = await reader.read()
            assert update.is_snapshot
            assert update.configuration.version == 3
            assert update.zones_out == {"a"}

        run_scenario(scenario)
