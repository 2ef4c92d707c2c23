"""Holds the published routes, targets and zones as one process knows them.

The state is indexed by endpoint, host, service and zone for placing flows and finding
their holders.
"""

from collections.abc import Callable

import msgspec

from plantainyoke.catalogue._types import (
    CatalogueChange,
    Position,
    Route,
    RouteConfiguration,
    ServiceLimits,
    Target,
)
from plantainyoke.hashing import HashRing, compute_zone_id

DEPARTURE_RETENTION_S = 20.0  # targets may serve for many seconds after they left


class Catalogue:
    """Routes, targets and zones at one revision.

    Positions and configuration versions only rise; an older change is ignored.

    Attributes
    ----------
    epoch, revision : int
        Those of the last change applied, 0 before the first.
    configuration : RouteConfiguration
        Last configuration applied, without its routes and services.
    services : dict of str to ServiceLimits
        By name. Services that a configuration dropped stay until the next snapshot.
    routes : dict of (int, int) to Route
        By service address and port.
    targets : dict of str to Target
        By name.
    target_by_host : dict of int to Target
        Newest target of each host.
    all_targets_by_host : dict of int to dict of str to Target
        All targets of each host, by host and name. There can be several, because the
        entry of a crashed target lapses only seconds later.
    targets_by_service : dict of str to dict of int to Target
        Newest target of each host, by service and host.
    rings_by_zone : dict of int to HashRing
        Hosts with a target, by the identifier of their zone.
    zones_out : frozenset of str
    departure_times : dict of int to float
        Hosts without a target, and the time at which the last one left.
    listeners : list of callable
        Called with each change after it was applied.
    """

    def __init__(self) -> None:
        self.epoch = 0
        self.revision = 0
        self.configuration = RouteConfiguration()
        self.routes: dict[tuple[int, int], Route] = {}
        self.services: dict[str, ServiceLimits] = {}
        self.targets: dict[str, Target] = {}
        self.all_targets_by_host: dict[int, dict[str, Target]] = {}
        self.target_by_host: dict[int, Target] = {}
        self.targets_by_service: dict[str, dict[int, Target]] = {}
        self.rings_by_zone: dict[int, HashRing] = {}
        self.zones_out: frozenset[str] = frozenset()
        self.departure_times: dict[int, float] = {}
        self.listeners: list[Callable[[CatalogueChange], None]] = []

    @property
    def position(self) -> Position:
        """Position in the store's history of the last change applied."""
        return Position(self.epoch, self.revision)

    def apply(self, change: CatalogueChange, now: float) -> bool:
        """Apply a change and return whether it was applied.

        A change is ignored if it isn't newer, and refused as a whole if it builds on a
        revision that isn't reached here, or on another configuration version.
        """
        if change.position <= self.position:
            return False
        builds_on_this = change.epoch == self.epoch and change.since <= self.revision
        if change.since and not builds_on_this:
            return False
        received = change.configuration
        if received is not None and received.version > self.configuration.version:
            if change.version_since not in (0, self.configuration.version):
                return False
            self._apply_configuration(received, change)
        self.epoch, self.revision = change.position
        self._apply_targets(change, now)
        if change.zones_out is not None:
            self.zones_out = frozenset(change.zones_out)
        for listener in self.listeners:
            listener(change)
        return True

    def snapshot(self) -> CatalogueChange:
        """Return the whole state as a change that replaces everything."""
        return CatalogueChange(
            0,
            self.revision,
            msgspec.structs.replace(
                self.configuration,
                routes=tuple(self.routes.values()),
                services=dict(self.services),
            ),
            targets=tuple(self.targets.values()),
            zones_out=tuple(sorted(self.zones_out)),
            epoch=self.epoch,
        )

    def list_eligible_targets(self, service: str) -> list[Target]:
        """Return the targets of a service that may receive new flows."""
        zones_out = self.zones_out
        return [
            target
            for target in self.targets_by_service.get(service, {}).values()
            if not target.draining and target.zone not in zones_out
        ]

    def _apply_configuration(
        self, received: RouteConfiguration, change: CatalogueChange
    ) -> None:
        if not change.version_since:
            self.routes, self.services = {}, {}
        for endpoint in change.removed_routes:
            self.routes.pop(endpoint, None)
        for route in received.routes:
            self.routes[route.endpoint] = route
        self.services.update(received.services)
        self.configuration = msgspec.structs.replace(received, routes=(), services={})

    def _apply_targets(self, change: CatalogueChange, now: float) -> None:
        """Update targets and indexes at a cost proportional to the change."""
        removed_names = set(change.removed)
        if change.since == 0:
            removed_names = self.targets.keys() - {
                target.name for target in change.targets
            }
        changed_hosts = set()
        for name in removed_names:
            changed_hosts |= self._remove_target(name)
        for target in change.targets:
            changed_hosts |= self._remove_target(target.name)
            self.targets[target.name] = target
            self.all_targets_by_host.setdefault(target.host, {})[target.name] = target
            changed_hosts.add(target.host)
        for host in changed_hosts:
            self._index_host(host, now)
        self._expire_departures(now)

    def _remove_target(self, name: str) -> set[int]:
        """Remove a target; return the host whose index must be updated."""
        target = self.targets.pop(name, None)
        if target is None:
            return set()
        remaining = self.all_targets_by_host[target.host]
        del remaining[name]
        if not remaining:
            del self.all_targets_by_host[target.host]
        return {target.host}

    def _index_host(self, host: int, now: float) -> None:
        """Index a host by its newest target."""
        before = self.target_by_host.pop(host, None)
        candidates = self.all_targets_by_host.get(host, {}).values()
        newest = max(
            candidates, key=lambda target: (target.born_ms, target.name), default=None
        )
        if before is not None:
            del self.targets_by_service[before.service][host]
            if not self.targets_by_service[before.service]:
                del self.targets_by_service[before.service]
        if newest is not None:
            self.target_by_host[host] = newest
            self.targets_by_service.setdefault(newest.service, {})[host] = newest
            self.departure_times.pop(host, None)
        elif before is not None:
            self.departure_times[host] = now
        self._index_zone(host, before, newest)

    def _index_zone(
        self, host: int, before: Target | None, newest: Target | None
    ) -> None:
        old = compute_zone_id(before.zone) if before else None
        new = compute_zone_id(newest.zone) if newest else None
        if old == new:
            return
        if old is not None:
            self.rings_by_zone[old].discard(host)
            if not self.rings_by_zone[old].hosts:
                del self.rings_by_zone[old]
        if new is not None:
            self.rings_by_zone.setdefault(new, HashRing()).add(host)

    def _expire_departures(self, now: float) -> None:
        while self.departure_times:
            oldest, departed_at = next(iter(self.departure_times.items()))
            if now - departed_at < DEPARTURE_RETENTION_S:
                return
            del self.departure_times[oldest]
