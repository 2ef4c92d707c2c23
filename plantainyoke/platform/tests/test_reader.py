from contextlib import AsyncExitStack

import pytest

from plantainyoke.catalogue import Position
from plantainyoke.conftest import make_scenario_runner
from plantainyoke.platform import PlatformReader
from plantainyoke.standins import STORE_PORT, FakeStore

START = Position(0, 0)


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
            known = (await reader.read(START)).position
            store.restore(copy)
            store.put("op/config", _configuration(3))
            store.put("op/evacuate/a", {})
            update = await reader.read(known)
            assert update.is_snapshot
            assert update.configuration.version == 3
            assert update.zones_out == {"a"}

        run_scenario(scenario)

    def test_pages_of_different_epochs_are_not_combined(self, run_scenario):
        async def scenario(store):
            store.page_size = 2
            for number in range(3):
                store.put(f"op/evacuate/{number}", {})
            reader = PlatformReader((store.ip, STORE_PORT))
            copy = store.take_copy()
            store.put("op/evacuate/0", {})
            store.delete("op/evacuate/2")
            restorations = iter([lambda: None, lambda: store.restore(copy)])
            store.before_call = lambda: next(restorations, lambda: None)()
            update = await reader.read(START)
            assert (update.epoch, update.revision) == (2, copy.revision)
            assert update.zones_out == {"0", "1", "2"}

        run_scenario(scenario)


class TestPositions:
    def test_only_what_was_written_after_the_position_is_read(self, run_scenario):
        async def scenario(store):
            reader = PlatformReader((store.ip, STORE_PORT))
            known = (await reader.read(START)).position
            store.put("op/evacuate/a", {})
            update = await reader.read(known)
            assert not update.is_snapshot
            assert update.configuration is None
            assert update.zones_out == {"a"}

        run_scenario(scenario)

    def test_snapshot_is_read_if_the_history_is_gone(self, run_scenario):
        async def scenario(store):
            reader = PlatformReader((store.ip, STORE_PORT))
            known = (await reader.read(START)).position
            store.put("op/evacuate/a", {})
            store.discard_history()
            assert (await reader.read(known)).is_snapshot

        run_scenario(scenario)
