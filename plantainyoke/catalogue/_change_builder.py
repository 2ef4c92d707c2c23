"""Turns what is read from the store into changes of the catalogue.

Load pattern: while the store is away, targets cannot renew their entries, and at its
return every entry has lapsed although all targets serve. A lapsed entry is kept until
its target had time to renew it.
"""

import msgspec

from plantainyoke.catalogue._types import (
    CatalogueChange,
    Route,
    RouteConfiguration,
    ServiceLimits,
    Target,
)

RETURN_GRACE_S = 2.3  # targets renew within two seconds of the store's return
OUTAGE_S = 1.8  # unanswered for longer than this, entries may have lapsed


class StoreUpdate(msgspec.Struct):
    """What one answer of the store says.

    Attributes
    ----------
    revision : int
    is_snapshot : bool
        Whether everything that exists is listed, rather than what changed.
    configuration : RouteConfiguration or None
    targets : dict of str to Target
    removed : set of str
        Names of targets whose entries are gone or unusable.
    zones_out, zones_restored : set of str
        Zones taken out, and zones taken back.
    """

    revision: int
    is_snapshot: bool
    configuration: RouteConfiguration | None = None
    targets: dict[str, Target] = msgspec.field(default_factory=dict)
    removed: set[str] = msgspec.field(default_factory=set)
    zones_out: set[str] = msgspec.field(default_factory=set)
    zones_restored: set[str] = msgspec.field(default_factory=set)


class ChangeBuilder:
    """Keeps the published state and the entries that lapsed in an outage.

    Attributes
    ----------
    lapsed : dict of str to float
        Names of targets whose entries are missing, and until when they are kept.
    answered_at : float
        When the store answered last.
    emitted : int
        Revision of the last change.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.emitted = 0
        self.configuration = RouteConfiguration()
        self.routes: dict[tuple[int, int], Route] = {}
        self.services: dict[str, ServiceLimits] = {}
        self.targets: dict[str, Target] = {}
        self.zones_out: set[str] = set()
        self.lapsed: dict[str, float] = {}
        self.answered_at = float("-inf")
        self.returned_at = float("-inf")

    def adopt(self, snapshot: CatalogueChange) -> None:
        """Start from what a peer knows, so that lapsed entries are recognized."""
        if snapshot.revision <= self.revision:
            return
        self.revision = self.emitted = snapshot.revision
        self.targets = {target.name: target for target in snapshot.targets}
        self.zones_out = set(snapshot.zones_out or ())
        offered = snapshot.configuration
        if offered is not None and offered.version > self.configuration.version:
            self._keep_configuration(offered)

    def build_change(self, update: StoreUpdate, now: float) -> CatalogueChange | None:
        """Apply an answer of the store.

        Returns
        -------
        CatalogueChange or None
            None if nothing that matters is new.
        """
        if now - self.answered_at > OUTAGE_S:
            self.returned_at = now
        self.answered_at = now
        if update.revision < self.revision:
            return None
        since = self.emitted
        self.revision = update.revision
        configuration, version_since, removed_routes = self._take_routes(update)
        zones_changed = self._take_zones(update)
        targets, removed = self._take_targets(update, now)
        if not (targets or removed or zones_changed or configuration or not since):
            return None
        zones = tuple(sorted(self.zones_out)) if zones_changed or not since else None
        self.emitted = update.revision
        return CatalogueChange(
            since,
            update.revision,
            configuration,
            version_since,
            removed_routes,
            targets=targets,
            removed=removed,
            zones_out=zones,
        )

    def _take_routes(
        self, update: StoreUpdate
    ) -> tuple[RouteConfiguration | None, int, tuple[tuple[int, int], ...]]:
        """Return a newer configuration with what is changed in it.

        Returns
        -------
        configuration : RouteConfiguration or None
        version_since : int
        removed_routes : tuple of (int, int)
        """
        offered = update.configuration
        if offered is None or offered.version <= self.configuration.version:
            return None, 0, ()
        since, before, services = self.configuration.version, self.routes, self.services
        self._keep_configuration(offered)
        removed = tuple(endpoint for endpoint in before if endpoint not in self.routes)
        changed = tuple(
            route
            for endpoint, route in self.routes.items()
            if before.get(endpoint) != route
        )
        limits = {
            name: service
            for name, service in offered.services.items()
            if services.get(name) != service
        }
        return (
            msgspec.structs.replace(offered, routes=changed, services=limits),
            since,
            removed,
        )

    def _keep_configuration(self, offered: RouteConfiguration) -> None:
        self.configuration = msgspec.structs.replace(offered, routes=(), services={})
        self.services = offered.services
        self.routes = {route.endpoint: route for route in offered.routes}

    def _take_zones(self, update: StoreUpdate) -> bool:
        before = set(self.zones_out)
        if update.is_snapshot:
            self.zones_out = set(update.zones_out)
        else:
            self.zones_out |= update.zones_out
            self.zones_out -= update.zones_restored
        return self.zones_out != before

    def _take_targets(
        self, update: StoreUpdate, now: float
    ) -> tuple[tuple[Target, ...], tuple[str, ...]]:
        changed = []
        for name, target in update.targets.items():
            self.lapsed.pop(name, None)
            if self.targets.get(name) != target:
                self.targets[name] = target
                changed.append(target)
        missing = set(update.removed)
        if update.is_snapshot:
            missing |= self.targets.keys() - update.targets.keys()
        kept_until = self.returned_at + RETURN_GRACE_S
        for name in missing:
            if name in self.targets:
                self.lapsed.setdefault(name, kept_until)
        gone = [name for name, until in self.lapsed.items() if now >= until]
        for name in gone:
            del self.lapsed[name]
            self.targets.pop(name, None)
        return tuple(changed), tuple(gone)
