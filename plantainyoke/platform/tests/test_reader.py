from contextlib import AsyncExitStack

import pytest

from plantainyoke.catalogue import Position
from plantainyoke.conftest import make_scenario_runner
from plantainyoke.platform import PlatformReader, StoreUnavailableError
from plantainyoke.standins import STORE_PORT, FakeStore

START = Position(0, 0)


def _configuration(version: int, *, filler: int = 0) -> dict:
    document = {"version": version, "routes": [], "services": []}
    return {**document, "filler": "x" * filler}


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


class TestOddAnswers:
    """Parts of an answer that no process could pass on."""

    ODD_ITEMS = (
        {"key": "op/evacuate/" + "z" * 400},
        {"key": 7},
        {"key": "op/evacuate/x", "value": 2**70},
        {"value": ""},
    )

    # One such item made the whole answer count as no answer of the store.
    @pytest.mark.parametrize("odd", ODD_ITEMS, ids=lambda odd: str(odd)[:30])
    def test_malformed_item_of_a_listing_is_left_out(self, run_scenario, odd):
        async def scenario(store):
            store.put("op/evacuate/a", {})
            store.items["op/evacuate/b"] = odd
            store.put("op/evacuate/c", {})
            update = await PlatformReader((store.ip, STORE_PORT)).read(START)
            assert update.zones_out == {"a", "c"}

        run_scenario(scenario)

    @pytest.mark.parametrize("odd", ODD_ITEMS, ids=lambda odd: str(odd)[:30])
    def test_malformed_item_of_a_watch_is_left_out(self, run_scenario, odd):
        async def scenario(store):
            reader = PlatformReader((store.ip, STORE_PORT))
            known = (await reader.read(START)).position
            store.put("op/evacuate/a", {})
            store.changes.append({**odd, "revision": store.revision})
            store.put("op/evacuate/c", {})
            assert (await reader.read(known)).zones_out == {"a", "c"}

        run_scenario(scenario)

    @pytest.mark.parametrize("epoch", ["9" * 5000, "-1", "\u0663", "1e3", "9" * 19])
    def test_epoch_out_of_range_is_an_error_of_the_store(self, run_scenario, epoch):
        # Digits by the thousand raised another error, which ended the reading task.
        async def scenario(store):
            reader = PlatformReader((store.ip, STORE_PORT))
            store.epoch = epoch
            with pytest.raises(StoreUnavailableError):
                await reader.read(START)
            store.epoch = 2
            assert (await reader.read(START)).epoch == 2

        run_scenario(scenario)

    @pytest.mark.parametrize("revision", [2**63, 2**70, -1])
    def test_revision_out_of_range_is_an_error_of_the_store(
        self, run_scenario, revision
    ):
        # It was accepted and could not be sent to other processes.
        async def scenario(store):
            reader = PlatformReader((store.ip, STORE_PORT))
            store.revision = revision
            with pytest.raises(StoreUnavailableError):
                await reader.read(START)

        run_scenario(scenario)

    def test_pages_that_repeat_end_the_listing(self, run_scenario):
        # The listing would never end, and its items would fill the memory.
        async def scenario(store):
            reader = PlatformReader((store.ip, STORE_PORT))
            store.page_size = 1
            store.put("op/evacuate/a", {})
            get = reader.store.http.get
            reader.store.http.get = lambda path, **options: get(
                path.partition("&after")[0], **options
            )
            with pytest.raises(StoreUnavailableError):
                await reader.read(START)

        run_scenario(scenario)


class TestLargeAnswers:
    def test_configuration_of_the_largest_size_is_read_over_a_slow_link(
        self, run_scenario
    ):
        # The call was given up after 1.5 s, and so was each repetition (review/1).
        async def scenario(store):
            store.bytes_per_s = 5e6 / 8
            store.put("op/config", _configuration(7, filler=1_000_000))
            update = await PlatformReader((store.ip, STORE_PORT)).read(START)
            assert update.configuration.version == 7

        run_scenario(scenario)

    def test_many_versions_of_a_large_configuration_are_read_as_a_snapshot(
        self, run_scenario
    ):
        # The watch was answered with all of them, beyond the limit of an answer, and
        # so was each repetition until the history was discarded.
        async def scenario(store):
            reader = PlatformReader((store.ip, STORE_PORT))
            known = (await reader.read(START)).position
            for version in range(2, 27):
                store.put("op/config", _configuration(version, filler=222_000))
            update = await reader.read(known)
            assert update.is_snapshot
            assert update.configuration.version == 26

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
