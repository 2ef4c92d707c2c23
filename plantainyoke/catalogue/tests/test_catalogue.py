import msgspec
from hypothesis import given
from hypothesis import strategies as st

from plantainyoke.catalogue import (
    Catalogue,
    CatalogueChange,
    ChangeBuilder,
    Route,
    RouteConfiguration,
    RouteShare,
    ServiceLimits,
    StoreUpdate,
    Target,
)
from plantainyoke.catalogue._change_builder import OUTAGE_S
from plantainyoke.catalogue._retention import RETURN_GRACE_S


def _target(name, *, host=1, service="orders", **fields):
    return Target(name, service, host, 9000, "a", 4, **fields)


class TestCatalogue:
    def test_older_change_is_ignored(self):
        catalogue = Catalogue()
        assert catalogue.apply(CatalogueChange(0, 5, RouteConfiguration(3)), 0.0)
        assert not catalogue.apply(CatalogueChange(0, 4, RouteConfiguration(4)), 0.0)
        assert catalogue.configuration.version == 3

    def test_change_that_builds_on_an_unknown_revision_is_refused(self):
        catalogue = Catalogue()
        catalogue.apply(CatalogueChange(0, 5), 0.0)
        assert not catalogue.apply(CatalogueChange(6, 7, RouteConfiguration(1)), 0.0)

    def test_older_configuration_in_a_newer_change_is_ignored(self):
        catalogue = Catalogue()
        catalogue.apply(CatalogueChange(0, 5, RouteConfiguration(9)), 0.0)
        catalogue.apply(CatalogueChange(5, 6, RouteConfiguration(8)), 0.0)
        assert catalogue.configuration.version == 9

    def test_lower_revision_of_a_later_epoch_is_applied(self):
        # After a restoration of the store, revisions are given out again.
        catalogue = Catalogue()
        catalogue.apply(CatalogueChange(0, 15, RouteConfiguration(11)), 0.0)
        restored = CatalogueChange(0, 14, epoch=1, targets=(_target("x"),))
        assert catalogue.apply(restored, 0.0)
        reused = CatalogueChange(14, 15, RouteConfiguration(13), epoch=1)
        assert catalogue.apply(reused, 0.0)
        assert (catalogue.configuration.version, set(catalogue.targets)) == (13, {"x"})

    def test_change_of_a_later_epoch_that_builds_on_a_revision_is_refused(self):
        catalogue = Catalogue()
        catalogue.apply(CatalogueChange(0, 15), 0.0)
        assert not catalogue.apply(CatalogueChange(14, 16, epoch=1), 0.0)

    def test_change_of_an_earlier_epoch_is_ignored(self):
        catalogue = Catalogue()
        catalogue.apply(CatalogueChange(0, 19, epoch=1), 0.0)
        catalogue.apply(CatalogueChange(0, 14, epoch=2), 0.0)
        late = CatalogueChange(0, 20, targets=(_target("x"),), epoch=1)
        assert not catalogue.apply(late, 0.0)
        assert not catalogue.targets

    def test_only_the_newest_target_of_a_host_is_used(self):
        # The entries of targets that crashed with their host lapse only later.
        catalogue = Catalogue()
        old, new = _target("old", born_ms=1), _target("new", born_ms=2, cold=True)
        catalogue.apply(CatalogueChange(0, 1, targets=(old, new)), 0.0)
        assert catalogue.targets_by_service == {"orders": {1: new}}

    def test_host_reused_by_another_service_serves_only_that_service(self):
        catalogue = Catalogue()
        catalogue.apply(
            CatalogueChange(0, 1, targets=(_target("old", born_ms=1),)), 0.0
        )
        reused = _target("new", service="drawings", born_ms=2)
        catalogue.apply(CatalogueChange(1, 2, targets=(reused,)), 0.0)
        assert "orders" not in catalogue.targets_by_service
        assert catalogue.list_eligible_targets("drawings") == [reused]

    def test_departed_hosts_are_kept_for_a_limited_time(self):
        catalogue = Catalogue()
        catalogue.apply(CatalogueChange(0, 1, targets=(_target("x", host=7),)), 0.0)
        catalogue.apply(CatalogueChange(1, 2, removed=("x",)), 1.0)
        assert set(catalogue.departure_times) == {7}
        catalogue.apply(CatalogueChange(2, 3, targets=(_target("y", host=8),)), 60.0)
        assert not catalogue.departure_times


class TestForeignEntries:
    """Another program writes an entry with the address of a target's host."""

    ORDERS = {"orders": ServiceLimits(10, 1.0, 1.0)}
    OWN = _target("own", born_ms=1)
    FOREIGN = _target("foreign", service="exporter", born_ms=2)

    def test_entry_of_an_unnamed_service_hides_no_target(self):
        catalogue = Catalogue()
        configuration = RouteConfiguration(1, services=self.ORDERS)
        change = CatalogueChange(0, 1, configuration, targets=(self.OWN, self.FOREIGN))
        catalogue.apply(change, 0.0)
        assert catalogue.target_by_host == {1: self.OWN}
        assert catalogue.list_eligible_targets("orders") == [self.OWN]

    def test_service_named_later_counts_from_then_on(self):
        # A target may register before the configuration names its service.
        catalogue = Catalogue()
        configuration = RouteConfiguration(1, services=self.ORDERS)
        change = CatalogueChange(0, 1, configuration, targets=(self.OWN, self.FOREIGN))
        catalogue.apply(change, 0.0)
        services = {"exporter": ServiceLimits(10, 1.0, 1.0)}
        configuration = RouteConfiguration(2, services=services)
        catalogue.apply(CatalogueChange(1, 2, configuration, 1), 0.0)
        assert catalogue.target_by_host == {1: self.FOREIGN}

    def test_target_of_a_service_that_is_no_longer_named_can_still_be_found(self):
        # It may hold open flows.
        catalogue = Catalogue()
        configuration = RouteConfiguration(1, services=self.ORDERS)
        catalogue.apply(CatalogueChange(0, 1, configuration, targets=(self.OWN,)), 0.0)
        catalogue.apply(CatalogueChange(0, 2, RouteConfiguration(2)), 0.0)
        catalogue.apply(CatalogueChange(2, 3, targets=(self.OWN,)), 0.0)
        assert catalogue.target_by_host == {1: self.OWN}


class TestRoutes:
    def _change(self, since, version, routes, *, builds_on=0, removed=()):
        configuration = RouteConfiguration(version, tuple(routes))
        return CatalogueChange(since, version, configuration, builds_on, removed)

    def test_change_has_only_changed_routes_and_services(self):
        routes = [Route(f"r{n}", n, 443, (RouteShare("x", 1),)) for n in range(100)]
        catalogue = Catalogue()
        change_builder = ChangeBuilder(catalogue)
        services = {f"s{n}": ServiceLimits(2000, 2.0, 0.0) for n in range(100)}
        first_configuration = RouteConfiguration(5, tuple(routes), services)
        first = change_builder.build_change(
            StoreUpdate(1, True, first_configuration), 0.0
        )
        catalogue.apply(first, 0.0)
        changed_route = Route("r3", 3, 443, (RouteShare("y", 1),))
        changed_services = {**services, "s7": ServiceLimits(10, 2.0, 0.0)}
        second_configuration = RouteConfiguration(
            9, (*routes[:3], changed_route, *routes[4:99]), changed_services
        )
        change = change_builder.build_change(
            StoreUpdate(2, False, second_configuration), 1.0
        )
        assert change.configuration.routes == (changed_route,)
        assert change.removed_routes == ((99, 443),)
        assert catalogue.apply(change, 1.0)
        assert set(catalogue.routes.values()) == set(second_configuration.routes)
        assert set(change.configuration.services) == {"s7"}
        assert catalogue.services == changed_services

    def test_routes_that_build_on_another_version_are_refused(self):
        catalogue = Catalogue()
        assert catalogue.apply(self._change(0, 5, []), 0.0)
        assert not catalogue.apply(self._change(5, 9, [], builds_on=7), 0.0)
        assert catalogue.revision == 5
        assert catalogue.apply(self._change(0, 9, []), 0.0)

    def test_snapshot_restores_routes_and_targets(self):
        routes = tuple(Route(f"r{n}", n, 443, ()) for n in range(3))
        catalogue, copy = Catalogue(), Catalogue()
        catalogue.apply(
            CatalogueChange(
                0, 4, RouteConfiguration(2, routes), targets=(_target("x"),)
            ),
            0.0,
        )
        copy.apply(catalogue.snapshot(0.0), 0.0)
        assert copy.routes == catalogue.routes
        assert copy.targets_by_service == catalogue.targets_by_service


class Reader:
    """A catalogue that follows the answers of a store."""

    def __init__(self, *targets: Target, epoch: int = 0, at: float = 100.0) -> None:
        self.catalogue = Catalogue()
        self.change_builder = ChangeBuilder(self.catalogue)
        self.epoch = epoch
        self.read(1, at, *targets, is_snapshot=True)

    def read(
        self, revision: int, now: float, *targets: Target, is_snapshot=False, **contents
    ) -> CatalogueChange | None:
        """Apply an answer of the store and return the change that it led to."""
        update = StoreUpdate(
            revision,
            is_snapshot,
            targets={target.name: target for target in targets},
            epoch=self.epoch,
            **contents,
        )
        change = self.change_builder.build_change(update, now)
        if change is not None:
            self.catalogue.apply(change, now)
        return change

    def list_names(self) -> set[str]:
        return set(self.catalogue.targets)


class TestChangeBuilder:
    def test_answer_at_the_position_that_is_reached_returns_none(self):
        reader = Reader(_target("x"))
        assert reader.list_names() == {"x"}
        assert reader.read(1, 101.0) is None

    def test_answer_without_usable_entries_raises_the_position_only(self):
        # The reader would otherwise be given the same entries again and again.
        reader = Reader(_target("x"))
        change = reader.read(2, 101.0)
        assert (change.since, change.revision) == (1, 2)
        assert not change.targets and not change.removed
        assert reader.catalogue.revision == 2

    def test_change_builds_on_the_position_of_the_catalogue(self):
        reader = Reader()
        reader.catalogue.apply(CatalogueChange(1, 2, targets=(_target("y"),)), 100.5)
        change = reader.read(3, 101.0, _target("x"))
        assert (change.since, change.revision) == (2, 3)

    def test_entry_that_was_written_and_deleted_is_removed_from_subscribers(self):
        # The subscriber followed another reader, which read in between.
        reader, subscriber = Reader(), Catalogue()
        subscriber.apply(CatalogueChange(0, 2, targets=(_target("x"),)), 100.0)
        for now in (101.5, 103.0):
            reader.read(1, now)
        subscriber.apply(reader.read(3, 104.0, removed={"x"}), 104.0)
        assert (subscriber.revision, subscriber.targets) == (3, {})

    def test_difference_to_a_snapshot_applies_at_one_revision_only(self):
        # It does not tell what was written and deleted after that revision.
        reader, subscriber = Reader(), Catalogue()
        subscriber.apply(CatalogueChange(0, 2, targets=(_target("x"),)), 100.0)
        change = reader.read(3, 101.0, is_snapshot=True)
        assert not subscriber.apply(change, 101.0)
        assert reader.catalogue.revision == 3

    def test_change_that_the_catalogue_ignored_is_built_again(self):
        # A listing has the revision of its first page; a later page may be newer.
        reader = Reader()
        reader.read(1, 100.5, _target("x"), is_snapshot=True)
        assert not reader.list_names()
        reader.read(2, 101.0, _target("x"))
        assert reader.list_names() == {"x"}

    def test_first_answer_of_an_epoch_gives_a_complete_change(self):
        reader = Reader(_target("x"), epoch=1)
        reader.epoch = 2
        change = reader.read(1, 101.0, _target("x"), is_snapshot=True)
        assert (change.since, change.epoch, change.revision) == (0, 2, 1)
        assert change.targets == (_target("x"),)
        assert change.zones_out == ()

    def test_zone_is_taken_out_and_restored(self):
        reader = Reader()
        assert reader.read(2, 101.0, zones_out={"a"}).zones_out == ("a",)
        assert reader.catalogue.zones_out == {"a"}
        assert reader.read(3, 102.0, zones_restored={"a"}).zones_out == ()
        assert not reader.catalogue.zones_out

    @given(st.lists(st.tuples(st.sampled_from("xyz"), st.booleans()), max_size=20))
    def test_subscriber_has_the_same_targets_as_the_reader(self, steps):
        reader, subscriber = Reader(at=100.0), Catalogue()
        for number, (name, exists) in enumerate(steps, start=2):
            now = 100.0 + number
            if exists:
                target = msgspec.structs.replace(
                    _target(name), draining=number % 2 == 0
                )
                change = reader.read(number, now, target)
            else:
                change = reader.read(number, now, removed={name})
            if change is not None and (number % 3 or not subscriber.apply(change, now)):
                subscriber.apply(reader.catalogue.snapshot(now), now)
        assert (
            subscriber.targets == reader.catalogue.targets or subscriber.revision == 0
        )


class TestLapsedEntries:
    """Entries lapse while the store is unreachable, though their targets serve."""

    returned_at = 100.0 + OUTAGE_S + 5.0

    def test_target_is_removed_at_once_if_there_was_no_outage(self):
        reader = Reader(_target("x"))
        reader.read(2, 101.0)
        reader.read(3, 102.5)
        assert reader.read(4, 104.0, removed={"x"}).removed == ("x",)
        assert not reader.list_names()

    def test_entry_is_kept_until_its_target_renews_it(self):
        reader = Reader(_target("x"))
        reader.read(9, self.returned_at, removed={"x"})
        assert reader.list_names() == {"x"}
        assert reader.catalogue.confirm(self.returned_at + 1.0) is None
        reader.read(10, self.returned_at + 1.0, _target("x"))
        assert reader.list_names() == {"x"}
        assert reader.catalogue.confirm(self.returned_at + 5.0) is None
        reader.read(11, self.returned_at + 5.0)
        assert reader.list_names() == {"x"}

    def test_target_that_does_not_renew_its_entry_is_removed(self):
        reader = Reader(_target("x"))
        reader.read(9, self.returned_at, removed={"x"})
        late = self.returned_at + RETURN_GRACE_S + 0.1
        assert reader.catalogue.confirm(late).removed == ("x",)
        assert not reader.list_names()

    def test_target_is_removed_even_if_the_store_has_no_further_revision(self):
        # The removal came at a revision that had been applied, and was ignored.
        reader = Reader(_target("x"), _target("y", host=2))
        renewed = _target("y", host=2, draining=True)
        reader.read(9, self.returned_at, renewed, removed={"x"})
        assert reader.list_names() == {"x", "y"}
        late = self.returned_at + RETURN_GRACE_S + 0.1
        reader.read(9, late)
        reader.catalogue.confirm(late)
        assert reader.list_names() == {"y"}

    def test_later_removals_do_not_prolong_it(self):
        # A release removes a target every few seconds; each one is kept for a while.
        reader = Reader(*(_target(f"x{n}", host=n) for n in range(5)))
        now = self.returned_at
        for number in range(5):
            reader.read(9 + number, now, removed={f"x{number}"})
            now += OUTAGE_S + 0.2
            reader.catalogue.confirm(now)
        reader.catalogue.confirm(now)
        assert reader.list_names() <= {"x3", "x4"}

    def test_process_that_starts_meanwhile_keeps_it_for_the_same_time(self):
        reader, started = Reader(_target("x")), Catalogue()
        reader.read(9, self.returned_at, removed={"x"})
        now = self.returned_at + 1.0
        started.apply(reader.catalogue.snapshot(now), now)
        assert set(started.targets) == {"x"}
        started.confirm(self.returned_at + RETURN_GRACE_S + 0.1)
        assert not started.targets
