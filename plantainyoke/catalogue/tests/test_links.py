import asyncio
import contextlib

import msgspec
import pytest

from plantainyoke.catalogue import (
    Catalogue,
    CatalogueChange,
    Route,
    RouteConfiguration,
    RouteShare,
    Target,
    _subscription,
)
from plantainyoke.catalogue._subscription import (
    MAX_RECENT_CHANGES,
    SOURCE_TIMEOUT_S,
    CatalogueFrame,
    CatalogueServer,
    LinkError,
    Subscribe,
    encode_catalogue_frame,
    open_subscription,
    read_frame,
)
from plantainyoke.catalogue._types import Position
from plantainyoke.conftest import (
    make_scenario_runner,
    run_in_virtual_time,
    wait_until,
)
from plantainyoke.telemetry import Metrics

PORT = 9_500
START = Subscribe()
ROUTES_BEYOND_SOCKET_BUFFERS = 100_000  # some 12 MB in a frame


class Source:
    """A server whose catalogue grows by one target with each change."""

    def __init__(self, network_prefix: str) -> None:
        self.address = (f"{network_prefix}.0.1", PORT)
        self.catalogue = Catalogue()
        self.server = CatalogueServer(self.catalogue, lambda: 0.0, Metrics())

    def add_targets(self, count: int = 1) -> None:
        for _ in range(count):
            revision = self.catalogue.revision
            target = Target(f"t{revision}", "orders", revision, 1, "a", 4)
            change = CatalogueChange(revision, revision + 1, targets=(target,))
            self.catalogue.apply(change, 0.0)
            self.server.publish(change)

    def publish_configuration(self, routes: int) -> None:
        """Publish a version in which all routes differ from those of the last one."""
        revision = self.catalogue.revision
        version = self.catalogue.configuration.version
        configuration = RouteConfiguration(
            revision + 1,
            tuple(
                Route(f"{revision}-{number}", number, 443, (RouteShare("orders", 1),))
                for number in range(routes)
            ),
        )
        change = CatalogueChange(
            revision, revision + 1, configuration, version_since=version
        )
        self.catalogue.apply(change, 0.0)
        self.server.publish(change)

    async def receive_first_changes(
        self, known_revision: int, count: int = 1, *, epoch: int = 0
    ) -> list[CatalogueChange | None]:
        """Return the changes in the first frames of a new subscription."""
        reader, writer = await open_subscription(
            self.address, Subscribe(epoch, known_revision)
        )
        frames = [await read_frame(reader) for _ in range(count)]
        writer.close()
        return [frame.change for frame in frames]


@pytest.fixture
def run_scenario(network_prefix, run_async):
    """Return a function that runs a scenario with a source."""

    async def create(stack):
        source = Source(network_prefix)
        await source.server.listen(source.address, stack)
        return source

    return make_scenario_runner(run_async, create)


class TestSubscriptions:
    def test_new_subscriber_receives_a_snapshot(self, run_scenario):
        async def scenario(source):
            source.add_targets(10)
            (change,) = await source.receive_first_changes(0)
            assert (change.since, len(change.targets)) == (0, 10)

        run_scenario(scenario)

    def test_up_to_date_subscriber_receives_no_change(self, run_scenario):
        async def scenario(source):
            source.add_targets(10)
            assert await source.receive_first_changes(10) == [None]

        run_scenario(scenario)

    def test_subscriber_slightly_behind_receives_only_missing_changes(
        self, run_scenario
    ):
        async def scenario(source):
            source.add_targets(10)
            changes = await source.receive_first_changes(8, 2)
            assert [(one.since, one.revision) for one in changes] == [(8, 9), (9, 10)]

        run_scenario(scenario)

    def test_subscriber_behind_the_recent_changes_receives_a_snapshot(
        self, run_scenario
    ):
        async def scenario(source):
            source.add_targets(MAX_RECENT_CHANGES + 10)
            (change,) = await source.receive_first_changes(5)
            assert change.since == 0

        run_scenario(scenario)

    def test_subscriber_ahead_of_the_source_receives_no_change(self, run_scenario):
        async def scenario(source):
            source.add_targets(5)
            assert await source.receive_first_changes(9) == [None]

        run_scenario(scenario)

    def test_subscribers_beyond_the_limit_are_refused(self, run_scenario, monkeypatch):
        monkeypatch.setattr(_subscription, "MAX_SUBSCRIBERS", 2)

        async def scenario(source):
            source.add_targets()
            links = []
            for _ in range(2):
                links.append(await open_subscription(source.address, START))
                assert (await read_frame(links[-1][0])).change is not None
            reader, _ = await open_subscription(source.address, START)
            with pytest.raises(LinkError):
                await read_frame(reader)
            links[0][1].transport.abort()
            await wait_until(lambda: len(source.server.subscribers) < 2)
            assert (await source.receive_first_changes(0))[0] is not None

        run_scenario(scenario)

    def test_subscriber_receives_each_new_change(self, run_scenario):
        async def scenario(source):
            source.add_targets(2)
            reader, writer = await open_subscription(source.address, Subscribe(0, 2))
            assert (await read_frame(reader)).change is None
            source.add_targets()
            async with asyncio.timeout(1):
                while (change := (await read_frame(reader)).change) is None:
                    pass
            assert change.revision == 3
            writer.close()

        run_scenario(scenario)


class TestConfigurationVersions:
    def test_subscriber_with_another_version_receives_a_snapshot(self, run_scenario):
        # Its earlier source had read an intermediate version. It was sent the change
        # that it could not apply until its view was stale.
        async def scenario(source):
            source.add_targets()
            change = CatalogueChange(1, 4, RouteConfiguration(9), version_since=0)
            source.catalogue.apply(change, 0.0)
            source.server.publish(change)
            change = CatalogueChange(4, 5, RouteConfiguration(11), version_since=9)
            source.catalogue.apply(change, 0.0)
            source.server.publish(change)
            reader, writer = await open_subscription(
                source.address, Subscribe(0, 4, version=10)
            )
            change = (await read_frame(reader)).change
            assert (change.since, change.configuration.version) == (0, 11)
            writer.close()

        run_scenario(scenario)


class TestRestoredStore:
    def test_subscriber_of_an_earlier_epoch_receives_a_snapshot(self, run_scenario):
        # It is ahead by the number of its revision only.
        async def scenario(source):
            source.add_targets(5)
            restored = CatalogueChange(0, 3, targets=(), zones_out=(), epoch=1)
            source.catalogue.apply(restored, 0.0)
            source.server.publish(restored)
            (change,) = await source.receive_first_changes(5)
            assert (change.since, change.position) == (0, Position(1, 3))

        run_scenario(scenario)

    def test_subscriber_receives_the_first_change_of_an_epoch(self, run_scenario):
        async def scenario(source):
            source.add_targets(5)
            reader, writer = await open_subscription(source.address, Subscribe(0, 5))
            assert (await read_frame(reader)).change is None
            restored = CatalogueChange(0, 3, targets=(), zones_out=(), epoch=1)
            source.catalogue.apply(restored, 0.0)
            source.server.publish(restored)
            async with asyncio.timeout(1):
                while (change := (await read_frame(reader)).change) is None:
                    pass
            assert change.position == Position(1, 3)
            writer.close()

        run_scenario(scenario)


class TestSlowLinks:
    """Timeouts bound silence, not the time of a frame (review/1)."""

    FRAME = encode_catalogue_frame(
        CatalogueFrame(0, CatalogueChange(0, 1, removed=("t" * 200,) * 5000))
    )

    def _read(self, part_bytes, interval_s, *, size=2_000_000):
        """Return the frame that arrives in parts, and the time that it took."""

        async def main():
            loop = asyncio.get_running_loop()
            reader = asyncio.StreamReader()

            async def feed():
                for start in range(0, size, part_bytes):
                    reader.feed_data(self.FRAME[start : start + part_bytes])
                    await asyncio.sleep(interval_s)

            feeding = loop.create_task(feed())
            try:
                return await read_frame(reader), loop.time()
            except TimeoutError as error:
                return error, loop.time()
            finally:
                feeding.cancel()

        return run_in_virtual_time(main())

    def test_large_frame_over_a_slow_link_is_received(self):
        # Subscribers took the source for silent in the middle of each snapshot.
        frame, elapsed_s = self._read(62_500, 0.2)  # half of 5 Mbit/s
        assert frame.change is not None
        assert elapsed_s > 2 * SOURCE_TIMEOUT_S

    def test_source_that_stalls_is_given_up_after_the_timeout(self):
        error, elapsed_s = self._read(62_500, 0.1, size=500_000)
        assert isinstance(error, TimeoutError)
        assert elapsed_s <= 0.8 + SOURCE_TIMEOUT_S

    def test_source_that_trickles_is_given_up_soon(self):
        error, elapsed_s = self._read(100, 0.1)
        assert isinstance(error, TimeoutError)
        assert elapsed_s < 2 * SOURCE_TIMEOUT_S

    def test_subscriber_that_reads_nothing_is_disconnected(
        self, run_scenario, monkeypatch
    ):
        # It kept up to 128 MB of unsent frames in memory.
        monkeypatch.setattr(_subscription, "SUBSCRIBER_TIMEOUT_S", 0.3)

        async def scenario(source):
            source.publish_configuration(ROUTES_BEYOND_SOCKET_BUFFERS)
            _, writer = await open_subscription(source.address, START)
            await wait_until(lambda: source.server.subscribers)
            await wait_until(lambda: not source.server.subscribers)
            writer.close()

        run_scenario(scenario)

    def test_subscriber_that_lags_gets_no_versions_that_were_replaced(
        self, run_scenario, monkeypatch
    ):
        # Over a slow link, the versions that were published meanwhile kept it busy for
        # longer than the bound within which the last one has to be in force.
        monkeypatch.setattr(_subscription, "SUBSCRIBER_TIMEOUT_S", 30.0)

        async def scenario(source):
            source.publish_configuration(ROUTES_BEYOND_SOCKET_BUFFERS)
            reader, writer = await open_subscription(source.address, START)
            await wait_until(lambda: source.server.subscribers)
            for _ in range(5):
                await asyncio.sleep(0.05)
                source.publish_configuration(ROUTES_BEYOND_SOCKET_BUFFERS)
            versions = []
            while not versions or versions[-1] < source.catalogue.revision:
                frame = await read_frame(reader)
                if frame.change is not None:
                    versions.append(frame.change.configuration.version)
            assert len(versions) <= 3
            writer.close()

        run_scenario(scenario)


class TestHostileFrames:
    @pytest.mark.parametrize(
        "changes",
        [{"host": 1 << 32}, {"host": -1}, {"slots": 0}],
        ids=["large host", "negative host", "no slots"],
    )
    def test_target_out_of_range_is_refused(self, changes):
        # A host beyond 32 bits ended the task that subscribes; without a slot, every
        # comparison of loads divides by zero.
        target = Target("t1", "orders", 1, 1, "a", 4)
        odd = msgspec.structs.replace(target, **changes)

        async def main():
            reader = asyncio.StreamReader()
            change = CatalogueChange(0, 1, targets=(odd,))
            reader.feed_data(encode_catalogue_frame(CatalogueFrame(0, change)))
            with pytest.raises(LinkError):
                await read_frame(reader)

        run_in_virtual_time(main())

    @pytest.mark.parametrize("timeout_s", [float("nan"), float("inf"), 0.0, -1.0])
    def test_idle_timeout_out_of_range_is_refused(self, timeout_s):
        # Every open flow would count as idle, or none ever.
        async def main():
            reader = asyncio.StreamReader()
            configuration = RouteConfiguration(1, idle_timeout_s=timeout_s)
            change = CatalogueChange(0, 1, configuration)
            reader.feed_data(encode_catalogue_frame(CatalogueFrame(0, change)))
            with pytest.raises(LinkError):
                await read_frame(reader)

        run_in_virtual_time(main())

    def test_large_request_of_a_subscriber_is_refused_before_it_is_read(
        self, run_scenario
    ):
        # Requests of up to 64 MB were kept in memory.
        async def scenario(source):
            reader, writer = await asyncio.open_connection(*source.address)
            writer.write((64 * 1024 * 1024).to_bytes(4, "big") + b"x" * 4096)
            async with asyncio.timeout(0.2):
                with contextlib.suppress(ConnectionError):
                    assert await reader.read() == b""

        run_scenario(scenario)
