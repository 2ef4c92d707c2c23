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
from plantainyoke.catalogue._change_builder import OUTAGE_S, RETURN_GRACE_S


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


class TestRoutes:
    def _change(self, since, version, routes, *, builds_on=0, removed=()):
        configuration = RouteConfiguration(version, tuple(routes))
        return CatalogueChange(since, version, configuration, builds_on, removed)

    def test_change_has_only_changed_routes_and_services(self):
        routes = [Route(f"r{n}", n, 443, (RouteShare("x", 1),)) for n in range(100)]
        change_builder, catalogue = ChangeBuilder(), Catalogue()
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
        copy.apply(catalogue.snapshot(), 0.0)
        assert copy.routes == catalogue.routes
        assert copy.targets_by_service == catalogue.targets_by_service


class TestChangeBuilder:
    def test_update_without_changes_returns_none(self):
        change_builder = ChangeBuilder()
        first = StoreUpdate(1, True, RouteConfiguration(1), {"x": _target("x")})
        assert change_builder.build_change(first, 0.0) is not None
        assert change_builder.build_change(StoreUpdate(2, False), 1.0) is None

    def test_change_builds_on_the_last_change_not_on_the_last_update(self):
        change_builder = ChangeBuilder()
        change_builder.build_change(StoreUpdate(1, True, RouteConfiguration(1)), 0.0)
        change_builder.build_change(StoreUpdate(2, False), 0.5)
        change = change_builder.build_change(
            StoreUpdate(3, False, None, {"x": _target("x")}), 1.0
        )
        assert (change.since, change.revision) == (1, 3)

    def test_first_answer_of_an_epoch_gives_a_complete_change(self):
        change_builder = ChangeBuilder()
        configuration = RouteConfiguration(11)
        before = StoreUpdate(15, True, configuration, {"x": _target("x")}, epoch=1)
        change_builder.build_change(before, 0.0)
        restored = StoreUpdate(14, True, configuration, {"x": _target("x")}, epoch=2)
        change = change_builder.build_change(restored, 1.0)
        assert (change.since, change.epoch, change.revision) == (0, 2, 14)
        assert change.targets == (_target("x"),)
        assert change.zones_out == ()

    def test_target_is_removed_at_once_if_there_was_no_outage(self):
        change_builder = ChangeBuilder()
        change_builder.build_change(
            StoreUpdate(1, True, None, {"x": _target("x")}), 100.0
        )
        change_builder.build_change(StoreUpdate(2, False), 101.0)
        change_builder.build_change(StoreUpdate(3, False), 102.5)
        change = change_builder.build_change(
            StoreUpdate(4, False, removed={"x"}), 104.0
        )
        assert change.removed == ("x",)

    def test_entry_lapsed_in_an_outage_is_kept_until_its_target_renews_it(self):
        change_builder = ChangeBuilder()
        change_builder.build_change(
            StoreUpdate(1, True, None, {"x": _target("x")}), 100.0
        )
        returned_at = 100.0 + OUTAGE_S + 5.0
        assert (
            change_builder.build_change(
                StoreUpdate(9, False, removed={"x"}), returned_at
            )
            is None
        )
        renewed = StoreUpdate(10, False, None, {"x": _target("x")})
        assert change_builder.build_change(renewed, returned_at + 1.0) is None
        assert (
            change_builder.build_change(StoreUpdate(11, False), returned_at + 5.0)
            is None
        )

    def test_target_not_renewed_after_an_outage_is_removed(self):
        change_builder = ChangeBuilder()
        change_builder.build_change(
            StoreUpdate(1, True, None, {"x": _target("x")}), 100.0
        )
        returned_at = 100.0 + OUTAGE_S + 5.0
        change_builder.build_change(StoreUpdate(9, False, removed={"x"}), returned_at)
        change = change_builder.build_change(
            StoreUpdate(10, False), returned_at + RETURN_GRACE_S + 0.1
        )
        assert change.removed == ("x",)

    def test_zone_is_taken_out_and_restored(self):
        change_builder = ChangeBuilder()
        change_builder.build_change(StoreUpdate(1, True), 0.0)
        assert change_builder.build_change(
            StoreUpdate(2, False, zones_out={"a"}), 1.0
        ).zones_out == ("a",)
        assert (
            change_builder.build_change(
                StoreUpdate(3, False, zones_restored={"a"}), 2.0
            ).zones_out
            == ()
        )

    @given(st.lists(st.tuples(st.sampled_from("xyz"), st.booleans()), max_size=20))
    def test_subscriber_has_the_same_targets_as_the_reader(self, steps):
        change_builder, reader, subscriber = ChangeBuilder(), Catalogue(), Catalogue()
        for number, (name, exists) in enumerate(steps, start=1):
            now = 100.0 + number
            update = StoreUpdate(number, number == 1)
            if exists:
                update.targets[name] = msgspec.structs.replace(
                    _target(name), draining=number % 2 == 0
                )
            else:
                update.removed.add(name)
            change = change_builder.build_change(update, now)
            if change is not None:
                reader.apply(change, now)
                if number % 3 or not subscriber.apply(change, now):
                    subscriber.apply(reader.snapshot(), now)
        assert subscriber.targets == reader.targets or subscriber.revision == 0
