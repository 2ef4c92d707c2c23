"""Builds changes of the catalogue from the answers of the platform's store.

Entries that are missing right after the store was unreachable may have lapsed although
their targets serve. The change then keeps them as unconfirmed (see `_retention`).
"""

import msgspec

from plantainyoke.catalogue._catalogue import Catalogue
from plantainyoke.catalogue._retention import RETURN_GRACE_S
from plantainyoke.catalogue._types import (
    CatalogueChange,
    Position,
    RouteConfiguration,
    Target,
    Unconfirmed,
)

OUTAGE_S = 1.8  # after a longer time without an answer, entries may have lapsed


class StoreUpdate(msgspec.Struct):
    """Contents of one answer of the store.

    Attributes
    ----------
    revision : int
        Revision of the store.
    is_snapshot : bool
        Whether the answer lists everything that exists, rather than what changed.
    configuration : RouteConfiguration or None
        Complete; None if the answer has none.
    targets : dict of str to Target
        By name.
    removed : set of str
        Names of targets whose entries are missing or unusable.
    zones_out, zones_restored : set of str
        Zones taken out, and zones taken back in.
    epoch : int
        Epoch of the store. The first answer of an epoch is a snapshot.
    """

    revision: int
    is_snapshot: bool
    configuration: RouteConfiguration | None = None
    targets: dict[str, Target] = msgspec.field(default_factory=dict)
    removed: set[str] = msgspec.field(default_factory=set)
    zones_out: set[str] = msgspec.field(default_factory=set)
    zones_restored: set[str] = msgspec.field(default_factory=set)
    epoch: int = 0

    @property
    def position(self) -> Position:
        """Position in the store's history."""
        return Position(self.epoch, self.revision)


class ChangeBuilder:
    """Builds changes that lead a catalogue to what the store has published.

    A change has all that was written, not only what is new to this catalogue: a
    subscriber may have followed another reader, which read in between what was written
    and deleted again.

    Parameters
    ----------
    catalogue : Catalogue
        What it has at its position is complete.

    Attributes
    ----------
    last_answer_at : float
        Time of the store's last answer.
    store_returned_at : float
        Time of the first answer after the last outage of the store.
    """

    def __init__(self, catalogue: Catalogue) -> None:
        self.catalogue = catalogue
        self.last_answer_at = float("-inf")
        self.store_returned_at = float("-inf")

    def build_change(self, update: StoreUpdate, now: float) -> CatalogueChange | None:
        """Return the change to the catalogue that an answer of the store requires.

        Parameters
        ----------
        update : StoreUpdate
            A snapshot, or what was written after the catalogue's position or an
            earlier one.
        now : float
            Time of the answer.

        Returns
        -------
        CatalogueChange or None
            None if the catalogue has reached the position of the answer.
        """
        catalogue = self.catalogue
        is_new_epoch = update.epoch > catalogue.epoch
        if now - self.last_answer_at > OUTAGE_S or is_new_epoch:
            self.store_returned_at = now
        self.last_answer_at = now
        if update.position <= catalogue.position:
            return None
        configuration, version_since, removed_routes = self._compare_routes(update)
        change = CatalogueChange(
            0 if is_new_epoch else catalogue.revision,
            update.revision,
            configuration,
            version_since,
            removed_routes,
            targets=tuple(update.targets.values()),
            epoch=update.epoch,
        )
        if not change.since:
            zones_out = tuple(sorted(update.zones_out))
            return msgspec.structs.replace(change, zones_out=zones_out)
        return self._add_difference(change, update, now)

    def _add_difference(
        self, change: CatalogueChange, update: StoreUpdate, now: float
    ) -> CatalogueChange:
        """Return a change with what it takes away, and the zones out."""
        missing = tuple(update.removed)
        if update.is_snapshot:
            missing = self._list_missing_targets(update)
        grace_s = self.store_returned_at + RETURN_GRACE_S - now
        zones_out = self._get_zones_out(update)
        if missing and grace_s > 0:
            unconfirmed = Unconfirmed(dict.fromkeys(missing), grace_s)
            change = msgspec.structs.replace(change, unconfirmed=unconfirmed)
        else:
            change = msgspec.structs.replace(change, removed=missing)
        return msgspec.structs.replace(
            change,
            zones_out=None if zones_out is None else tuple(sorted(zones_out)),
            is_exact=update.is_snapshot,
        )

    def _compare_routes(
        self, update: StoreUpdate
    ) -> tuple[RouteConfiguration | None, int, tuple[tuple[int, int], ...]]:
        """Return what a newer configuration changes.

        Returns
        -------
        configuration : RouteConfiguration or None
            With the new and changed routes and services only; None if there is none
            that is newer.
        version_since : int
            Configuration version on which these build.
        removed_routes : tuple of (int, int)
            Service addresses and ports whose routes are gone.
        """
        received, catalogue = update.configuration, self.catalogue
        version = catalogue.configuration.version
        if received is None or received.version <= version:
            return None, 0, ()
        routes = {route.endpoint: route for route in received.routes}
        before = catalogue.routes
        removed = tuple(endpoint for endpoint in before if endpoint not in routes)
        changed = tuple(
            route for endpoint, route in routes.items() if before.get(endpoint) != route
        )
        limits = {
            name: service
            for name, service in received.services.items()
            if catalogue.services.get(name) != service
        }
        return (
            msgspec.structs.replace(received, routes=changed, services=limits),
            version,
            removed,
        )

    def _get_zones_out(self, update: StoreUpdate) -> frozenset[str] | None:
        """Return the published zones out, None if the answer concerns no zone."""
        if update.is_snapshot:
            return frozenset(update.zones_out)
        if not update.zones_out and not update.zones_restored:
            return None
        before = self.catalogue.published_zones_out
        return (before | update.zones_out) - update.zones_restored

    def _list_missing_targets(self, update: StoreUpdate) -> tuple[str, ...]:
        """Return the names of targets whose entries a snapshot no longer has."""
        catalogue = self.catalogue
        known = catalogue.targets.keys() | catalogue.unconfirmed.keys()
        return tuple(
            name
            for name in (known | update.removed) - update.targets.keys()
            if name in update.removed
            or catalogue.get_published_target(name) is not None
        )
