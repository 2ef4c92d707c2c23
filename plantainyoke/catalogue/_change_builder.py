"""Builds changes of the catalogue from the answers of the platform's store.

Load pattern: while the store is unreachable, targets cannot renew their entries, and
when it returns, every entry has lapsed although all targets serve. A lapsed entry is
therefore kept until its target has had time to renew it.
"""

import msgspec

from plantainyoke.catalogue._types import (
    CatalogueChange,
    Position,
    Route,
    RouteConfiguration,
    ServiceLimits,
    Target,
)

RETURN_GRACE_S = 2.3  # targets renew within two seconds of the store's return
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
    """Builds changes, and retains entries that lapsed while the store was unreachable.

    Attributes
    ----------
    position : Position
        Position of the store's last answer.
    lapsed_deadlines : dict of str to float
        Names of targets whose entries are missing, and the time until which they are
        kept.
    last_answer_at : float
        Time of the store's last answer.
    store_returned_at : float
        Time of the first answer after the last outage of the store.
    last_change_revision : int
        Revision of the last change, 0 if there is none in this epoch.
    """

    def __init__(self) -> None:
        self.position = Position(0, 0)
        self.last_change_revision = 0
        self.configuration = RouteConfiguration()
        self.routes: dict[tuple[int, int], Route] = {}
        self.services: dict[str, ServiceLimits] = {}
        self.targets: dict[str, Target] = {}
        self.zones_out: set[str] = set()
        self.lapsed_deadlines: dict[str, float] = {}
        self.last_answer_at = float("-inf")
        self.store_returned_at = float("-inf")

    def adopt_snapshot(self, snapshot: CatalogueChange) -> None:
        """Replace the state by the catalogue's if that is newer.

        The catalogue may have changed through other processes. Targets missing from
        the store's next answer are then recognized as lapsed.
        """
        if snapshot.position <= self.position:
            return
        self.position = snapshot.position
        self.last_change_revision = snapshot.revision
        self.targets = {target.name: target for target in snapshot.targets}
        self.zones_out = set(snapshot.zones_out or ())
        received = snapshot.configuration
        if received is not None and received.version > self.configuration.version:
            self._set_configuration(received)

    def build_change(self, update: StoreUpdate, now: float) -> CatalogueChange | None:
        """Apply an answer of the store and return what it changes.

        Parameters
        ----------
        update : StoreUpdate
        now : float
            Time of the answer.

        Returns
        -------
        CatalogueChange or None
            None if the catalogue doesn't change.
        """
        is_new_epoch = update.epoch > self.position.epoch
        if now - self.last_answer_at > OUTAGE_S or is_new_epoch:
            self.store_returned_at = now
        self.last_answer_at = now
        if update.position < self.position:
            return None
        if is_new_epoch:
            self.last_change_revision = 0
        since = self.last_change_revision
        self.position = update.position
        configuration, version_since, removed_routes = self._update_routes(update)
        zones_changed = self._update_zones(update)
        targets, removed = self._update_targets(update, now)
        if not (targets or removed or zones_changed or configuration or not since):
            return None
        if not since:
            targets, removed = tuple(self.targets.values()), ()
        zones = tuple(sorted(self.zones_out)) if zones_changed or not since else None
        self.last_change_revision = update.revision
        return CatalogueChange(
            since,
            update.revision,
            configuration,
            version_since,
            removed_routes,
            targets=targets,
            removed=removed,
            zones_out=zones,
            epoch=update.epoch,
        )

    def _update_routes(
        self, update: StoreUpdate
    ) -> tuple[RouteConfiguration | None, int, tuple[tuple[int, int], ...]]:
        """Apply a newer configuration and return what it changes.

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
        received = update.configuration
        if received is None or received.version <= self.configuration.version:
            return None, 0, ()
        since, before, services = self.configuration.version, self.routes, self.services
        self._set_configuration(received)
        removed = tuple(endpoint for endpoint in before if endpoint not in self.routes)
        changed = tuple(
            route
            for endpoint, route in self.routes.items()
            if before.get(endpoint) != route
        )
        limits = {
            name: service
            for name, service in received.services.items()
            if services.get(name) != service
        }
        return (
            msgspec.structs.replace(received, routes=changed, services=limits),
            since,
            removed,
        )

    def _set_configuration(self, received: RouteConfiguration) -> None:
        self.configuration = msgspec.structs.replace(received, routes=(), services={})
        self.services = received.services
        self.routes = {route.endpoint: route for route in received.routes}

    def _update_zones(self, update: StoreUpdate) -> bool:
        before = set(self.zones_out)
        if update.is_snapshot:
            self.zones_out = set(update.zones_out)
        else:
            self.zones_out |= update.zones_out
            self.zones_out -= update.zones_restored
        return self.zones_out != before

    def _update_targets(
        self, update: StoreUpdate, now: float
    ) -> tuple[tuple[Target, ...], tuple[str, ...]]:
        changed = []
        for name, target in update.targets.items():
            self.lapsed_deadlines.pop(name, None)
            if self.targets.get(name) != target:
                self.targets[name] = target
                changed.append(target)
        missing = set(update.removed)
        if update.is_snapshot:
            missing |= self.targets.keys() - update.targets.keys()
        kept_until = self.store_returned_at + RETURN_GRACE_S
        for name in missing:
            if name in self.targets:
                self.lapsed_deadlines.setdefault(name, kept_until)
        expired = [
            name for name, deadline in self.lapsed_deadlines.items() if now >= deadline
        ]
        for name in expired:
            del self.lapsed_deadlines[name]
            self.targets.pop(name, None)
        return tuple(changed), tuple(expired)
