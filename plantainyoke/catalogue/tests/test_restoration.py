"""Catalogues of several processes while the store is restored from older copies."""

from hypothesis import example, given, settings
from hypothesis import strategies as st

from plantainyoke.catalogue import (
    Catalogue,
    CatalogueChange,
    ChangeBuilder,
    Route,
    RouteConfiguration,
    RouteShare,
    StoreUpdate,
    Target,
)
from plantainyoke.catalogue._retention import RETURN_GRACE_S
from plantainyoke.catalogue._subscription import CatalogueServer, Subscribe, record_sent
from plantainyoke.telemetry import Metrics

TARGETS, ZONES = ("x", "y", "z"), ("a", "b")
PROCESSES = 3
CONFIGURATION = "configuration"


def make_configuration(version: int) -> RouteConfiguration:
    """Return a configuration of which every version has other routes."""
    shares = (RouteShare(f"service-{version}", 1),)
    routes = [Route("changes", 1, 443, shares)]
    if version % 2:
        routes.append(Route("odd", 2, 443, ()))
    return RouteConfiguration(version, tuple(routes))


class ModelStore:
    """Store whose writers write again what it loses in a restoration."""

    def __init__(self) -> None:
        self.epoch, self.revision, self.oldest_revision = 1, 1, 1
        self.written: dict[str, object] = {CONFIGURATION: make_configuration(1)}
        self.log: list[tuple[int, str, object]] = [(1, CONFIGURATION, None)]
        self.items = dict(self.written)
        self.copies = [(1, dict(self.items))]

    def write(self, key: str, value: object) -> None:
        """Write a key as its writer, or delete it with the value None."""
        self.written[key] = value
        self._store(key, value)

    def write_version(self) -> None:
        version = self.written[CONFIGURATION].version + 2
        self.write(CONFIGURATION, make_configuration(version + len(self.log) % 2))

    def _store(self, key: str, value: object) -> None:
        if self.items.get(key) == value:
            return
        self.revision += 1
        self.items[key] = value
        self.log.append((self.revision, key, value))
        self.copies.append((self.revision, dict(self.items)))

    def restore(self, writes_lost: int) -> None:
        """Go back to the copy before some writes."""
        del self.copies[max(1, len(self.copies) - writes_lost) :]
        self.epoch += 1
        self.revision, items = self.copies[-1]
        self.items = dict(items)
        self.oldest_revision = min(self.oldest_revision, self.revision)
        self.log = [entry for entry in self.log if entry[0] <= self.revision]

    def write_again(self) -> None:
        """Let operators and targets write what was lost."""
        for key in {**self.items, **self.written}:
            self._store(key, self.written.get(key))


class ModelProcess:
    """Catalogue of a process, with its position as a reader of the store."""

    def __init__(self, store: ModelStore) -> None:
        self.store = store
        self.catalogue = Catalogue()
        self.server = CatalogueServer(self.catalogue, lambda: 0.0, Metrics())
        self.change_builder = ChangeBuilder(self.catalogue)
        self.version = 0
        self.links: dict[ModelProcess, Subscribe] = {}

    def read(self, now: float) -> None:
        store = self.store
        known = self.catalogue.position
        is_snapshot = (
            known.epoch != store.epoch or known.revision < store.oldest_revision
        )
        update = StoreUpdate(store.revision, is_snapshot, epoch=store.epoch)
        changed = dict(store.items)
        if not is_snapshot:
            changed = {
                key: value
                for revision, key, value in store.log
                if revision > known.revision
            }
        for key, value in changed.items():
            self._add_item(update, key, value)
        change = self.change_builder.build_change(update, now)
        if change is not None and self.catalogue.apply(change, now):
            self.server.publish(change)
        self.check_configuration()

    def _add_item(self, update: StoreUpdate, key: str, value: object) -> None:
        if key == CONFIGURATION:
            update.configuration = value
        elif key in ZONES:
            (update.zones_out if value else update.zones_restored).add(key)
        elif value is None:
            update.removed.add(key)
        else:
            update.targets[key] = value

    def follow(self, source: "ModelProcess", now: float) -> None:
        """Receive what a source has; the link stays for later changes.

        A process that has read the store meanwhile may refuse a change, and subscribes
        once more.
        """
        known = self.links.get(source) or self.describe_known()
        if not self._receive(source, known, now):
            assert self._receive(source, self.describe_known(), now), "refused again"
        self.check_configuration()

    def _receive(self, source: "ModelProcess", known: Subscribe, now: float) -> bool:
        self.links = {}
        while changes := source.server.list_changes_after(known, now):
            known = record_sent(known, changes)
            for change in changes:
                if self.catalogue.apply(change, now):
                    self.server.publish(change)
                if change.position > self.catalogue.position:
                    return False
        self.links = {source: known}  # a link to another source has ended
        return True

    def describe_known(self) -> Subscribe:
        catalogue = self.catalogue
        return Subscribe(
            *catalogue.position,
            catalogue.configuration.version,
            catalogue.lacks_history,
        )

    def check_configuration(self) -> None:
        """Check that versions only rise, and that no version is in force in part."""
        version = self.catalogue.configuration.version
        assert version >= self.version
        self.version = version
        if version:
            routes = make_configuration(version).routes
            assert set(self.catalogue.routes.values()) == set(routes)

    def check_view(self) -> None:
        """Check that the view is what the writers wrote."""
        written = self.store.written
        targets = {name: written[name] for name in TARGETS if written.get(name)}
        assert self.catalogue.targets == targets
        assert self.catalogue.zones_out == {zone for zone in ZONES if written.get(zone)}
        assert self.catalogue.configuration.version == written[CONFIGURATION].version
        assert not self.catalogue.is_unconfirmed


numbers = st.integers(0, PROCESSES - 1)
STEPS = st.one_of(
    st.tuples(st.just("start_target"), st.sampled_from(TARGETS)),
    st.tuples(st.just("drain_target"), st.sampled_from(TARGETS)),
    st.tuples(st.just("end_target"), st.sampled_from(TARGETS)),
    st.tuples(st.just("take_out"), st.sampled_from(ZONES)),
    st.tuples(st.just("take_back"), st.sampled_from(ZONES)),
    st.tuples(st.just("publish")),
    st.tuples(st.just("restore"), st.integers(1, 6)),
    st.tuples(st.just("write_again")),
    st.tuples(st.just("discard_history")),
    st.tuples(st.just("read"), numbers),
    st.tuples(st.just("follow"), numbers, numbers),
    st.tuples(st.just("restart"), numbers),
    st.tuples(st.just("wait"), st.sampled_from([0.1, 1.0, 3.0])),
)


class Model:
    """Runs steps on a store and processes in virtual time."""

    def __init__(self) -> None:
        self.now = 100.0
        self.store = ModelStore()
        self.processes = [ModelProcess(self.store) for _ in range(PROCESSES)]

    def run(self, steps: list[tuple]) -> None:
        for name, *arguments in steps:
            self.now += 0.01
            getattr(self, name)(*arguments)

    def start_target(self, name: str) -> None:
        host = TARGETS.index(name) + 1
        born_ms = round(self.now * 1000)
        self.store.write(
            name, Target(name, "orders", host, 9000, "a", 4, born_ms=born_ms)
        )

    def drain_target(self, name: str) -> None:
        target = self.store.written.get(name)
        if target:
            fields = {
                field: getattr(target, field) for field in target.__struct_fields__
            }
            self.store.write(name, Target(**{**fields, "draining": True}))

    def end_target(self, name: str) -> None:
        self.store.write(name, None)

    def take_out(self, zone: str) -> None:
        self.store.write(zone, True)

    def take_back(self, zone: str) -> None:
        self.store.write(zone, None)

    def publish(self) -> None:
        self.store.write_version()

    def restore(self, writes_lost: int) -> None:
        self.store.restore(writes_lost)

    def write_again(self) -> None:
        self.store.write_again()

    def discard_history(self) -> None:
        self.store.oldest_revision = self.store.revision

    def read(self, number: int) -> None:
        self.processes[number].read(self.now)

    def follow(self, number: int, source: int) -> None:
        if number != source:
            self.processes[number].follow(self.processes[source], self.now)

    def restart(self, number: int) -> None:
        self.processes[number] = ModelProcess(self.store)

    def wait(self, duration_s: float) -> None:
        self.now += duration_s
        for process in self.processes:
            process.catalogue.confirm(self.now)

    def settle(self, reader: int) -> None:
        """Let the writers write again; one process reads, the others follow it."""
        self.write_again()
        for _ in range(2):
            self.read(reader)
            for number in range(PROCESSES):
                self.follow(number, reader)
            self.wait(RETURN_GRACE_S + 0.1)


class TestRestoredStore:
    # A version that is written again is no news to a source that has kept it.
    @example([("publish",), ("read", 1), ("restore", 1), ("read", 0), ("read", 1)], 1)
    # A source did not see a target that a process knows from another reader.
    @example([("read", 2), ("start_target", "x"), ("read", 0), ("end_target", "x")], 2)
    # A source skipped a version that a process has from another reader.
    @example([("read", 1), ("publish",), ("read", 0), ("publish",)], 1)
    @settings(max_examples=1500, deadline=None)
    @given(st.lists(STEPS, max_size=40), numbers)
    def test_every_view_ends_as_what_was_written(self, steps, reader):
        model = Model()
        model.run(steps)
        model.settle(reader)
        for process in model.processes:
            process.check_view()


def _target(name: str, **fields) -> Target:
    return Target(name, "orders", ord(name), 9000, "a", 4, **fields)


def _restore(known: Catalogue, *targets: Target, zones_out=(), at: float = 10.0):
    """Apply the first snapshot of the next epoch."""
    change = CatalogueChange(
        0, 1, targets=targets, zones_out=zones_out, epoch=known.epoch + 1
    )
    assert known.apply(change, at)
    return known


def _make_catalogue(*targets: Target, zones_out=()) -> Catalogue:
    catalogue = Catalogue()
    catalogue.apply(
        CatalogueChange(0, 9, targets=targets, zones_out=zones_out, epoch=1), 0.0
    )
    return catalogue


class TestKnowledgeOfTheLostHistory:
    """What a process knew stays until the writers had time to write it again."""

    late = 10.0 + RETURN_GRACE_S + 0.1

    def test_target_that_the_copy_lacks_is_kept_and_then_removed(self):
        catalogue = _restore(_make_catalogue(_target("x"), _target("y")), _target("y"))
        assert set(catalogue.targets) == {"x", "y"}
        assert catalogue.confirm(self.late - 0.2) is None
        catalogue.confirm(self.late)
        assert set(catalogue.targets) == {"y"}

    def test_target_that_is_written_again_stays(self):
        catalogue = _restore(_make_catalogue(_target("x")))
        written = CatalogueChange(1, 2, targets=(_target("x"),), epoch=2)
        catalogue.apply(written, 11.0)
        catalogue.confirm(self.late)
        assert set(catalogue.targets) == {"x"}

    def test_draining_target_gets_no_flows_though_the_copy_has_it_ready(self):
        catalogue = _restore(_make_catalogue(_target("x", draining=True)), _target("x"))
        assert catalogue.list_eligible_targets("orders") == []
        catalogue.confirm(self.late)
        assert catalogue.list_eligible_targets("orders") == [_target("x")]

    def test_cold_target_stays_cold_though_the_copy_has_it_warm(self):
        catalogue = _restore(_make_catalogue(_target("x", cold=True)), _target("x"))
        assert catalogue.targets["x"].cold

    def test_earlier_incarnation_in_the_copy_is_ignored(self):
        restarted = _target("x", born_ms=2)
        catalogue = _restore(_make_catalogue(restarted), _target("x", born_ms=1))
        assert catalogue.targets["x"] == restarted

    def test_target_that_left_does_not_return_with_the_copy(self):
        catalogue = _make_catalogue(_target("x"))
        catalogue.apply(CatalogueChange(9, 10, removed=("x",), epoch=1), 5.0)
        _restore(catalogue, _target("x"))
        assert not catalogue.targets
        catalogue.confirm(self.late)
        assert set(catalogue.targets) == {"x"}

    def test_target_that_started_again_is_known_at_once(self):
        catalogue = _make_catalogue(_target("x", born_ms=1))
        catalogue.apply(CatalogueChange(9, 10, removed=("x",), epoch=1), 5.0)
        _restore(catalogue, _target("x", born_ms=2))
        assert set(catalogue.targets) == {"x"}

    def test_zone_out_stays_out_though_the_copy_has_it_in(self):
        catalogue = _restore(_make_catalogue(zones_out=("a",)))
        assert catalogue.zones_out == {"a"}
        catalogue.confirm(self.late)
        assert catalogue.zones_out == frozenset()

    def test_zone_that_returned_stays_in_though_the_copy_has_it_out(self):
        catalogue = _make_catalogue(zones_out=("a",))
        catalogue.apply(CatalogueChange(9, 10, zones_out=(), epoch=1), 5.0)
        _restore(catalogue, zones_out=("a",))
        assert catalogue.zones_out == frozenset()
        catalogue.confirm(self.late)
        assert catalogue.zones_out == {"a"}

    def test_zone_that_is_taken_out_meanwhile_is_out_at_once(self):
        catalogue = _restore(_make_catalogue())
        catalogue.apply(CatalogueChange(1, 2, zones_out=("b",), epoch=2), 11.0)
        assert catalogue.zones_out == {"b"}

    def test_listeners_see_what_is_confirmed(self):
        catalogue = _restore(_make_catalogue(_target("x")))
        changes = []
        catalogue.listeners.append(changes.append)
        catalogue.confirm(self.late)
        assert [change.removed for change in changes] == [("x",)]

    def test_second_snapshot_drops_nothing_that_is_kept(self):
        catalogue = _restore(
            _make_catalogue(_target("x"), zones_out=("a",)), _target("y")
        )
        again = CatalogueChange(
            0, 5, targets=(_target("y"),), zones_out=("b",), epoch=2
        )
        catalogue.apply(again, 11.0)
        assert set(catalogue.targets) == {"x", "y"}
        assert catalogue.zones_out == {"a", "b"}
        catalogue.confirm(self.late)
        assert set(catalogue.targets) == {"y"}
        assert catalogue.zones_out == {"b"}


class TestProcessThatStartsAfterTheRestoration:
    def test_it_learns_from_a_process_of_the_earlier_epoch(self):
        started = Catalogue()
        started.apply(
            CatalogueChange(0, 1, RouteConfiguration(6), zones_out=(), epoch=2), 10.0
        )
        older = Catalogue()
        older.apply(
            CatalogueChange(
                0,
                9,
                make_configuration(11),
                targets=(_target("x"),),
                zones_out=("a",),
                epoch=1,
            ),
            0.0,
        )
        assert started.apply(older.snapshot(10.0), 10.0)
        assert started.position == (2, 1)
        assert started.configuration.version == 11
        assert (set(started.targets), started.zones_out) == ({"x"}, {"a"})
        started.confirm(10.0 + RETURN_GRACE_S + 0.1)
        assert (started.targets, started.zones_out) == ({}, frozenset())
        assert started.configuration.version == 11

    def test_it_learns_once_only(self):
        started = _make_catalogue(_target("y"))
        older = CatalogueChange(0, 3, targets=(_target("x"),))
        assert started.apply(older, 1.0)
        assert not started.apply(CatalogueChange(0, 3, targets=(_target("z"),)), 1.0)
        assert set(started.targets) == {"x", "y"}

    def test_it_learns_what_another_process_keeps(self):
        keeps = _restore(_make_catalogue(_target("x", draining=True), _target("y")))
        started = Catalogue()
        started.apply(CatalogueChange(0, 1, zones_out=(), epoch=2), 10.0)
        assert started.apply(keeps.snapshot(10.0), 10.0)
        assert started.targets == keeps.targets

    def test_process_with_history_ignores_an_earlier_epoch(self):
        catalogue = _restore(_make_catalogue(), at=100.0)
        late = CatalogueChange(0, 8, targets=(_target("x"),), epoch=1)
        assert not catalogue.apply(late, 100.0)
        assert not catalogue.targets
