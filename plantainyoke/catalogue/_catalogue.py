"""Holds the published routes, targets and zones as one process knows them.

The state is indexed by endpoint, host, service and zone for placing flows and finding
their holders.
"""

from collections.abc import Callable, Collection, Mapping

import msgspec

from plantainyoke.catalogue._retention import (
    RETURN_GRACE_S,
    Departure,
    Unpublished,
    merge_targets,
)
from plantainyoke.catalogue._types import (
    CatalogueChange,
    Position,
    Route,
    RouteConfiguration,
    ServiceLimits,
    Target,
    Unconfirmed,
)
from plantainyoke.hashing import HashRing, compute_zone_id

DEPARTURE_RETENTION_S = 20.0  # targets may serve for many seconds after they left
KNOWLEDGE_RETENTION_S = 60.0  # longer than a copy of the store is old


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
        Newest target of each host, one of a service that the configuration names if
        there is any.
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
    departures : dict of str to Departure
        Targets that left recently, by name.
    zone_returns : dict of str to float
        Zones that were taken back in, and the time.
    unconfirmed : dict of str to Unpublished
        Targets, by name, of which the view has another entry than the store or none.
    published_zones_out : frozenset of str
        Zones out in the store; the view may have others.
    zones_until : float
        Time until which the view has other zones out than the store.
    changes_applied : int
        Number of times that the view changed.
    lacks_history : bool
        Whether this process only knows the contents of the store of this epoch, and
        none that an earlier one may have had beyond them.
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
        self.departures: dict[str, Departure] = {}
        self.zone_returns: dict[str, float] = {}
        self.unconfirmed: dict[str, Unpublished] = {}
        self.published_zones_out: frozenset[str] = frozenset()
        self.zones_until = float("-inf")
        self.changes_applied = 0
        self.lacks_history = True
        self.listeners: list[Callable[[CatalogueChange], None]] = []

    @property
    def position(self) -> Position:
        """Position in the store's history of the last change applied."""
        return Position(self.epoch, self.revision)

    def apply(self, change: CatalogueChange, now: float) -> bool:
        """Apply a change and return whether it was applied.

        A change is ignored if it isn't newer, and refused as a whole if it builds on a
        revision that isn't reached here, or on another configuration version. A
        snapshot of an earlier epoch may still have what the store has lost.
        """
        if change.position <= self.position:
            return self._learn(change, now)
        if not change.builds_on(self.position):
            return False
        received = change.configuration
        if received is not None and received.version > self.configuration.version:
            if change.version_since not in (0, self.configuration.version):
                return False
            self._apply_configuration(received, change, now)
        if change.since:
            view_change = self._resolve_difference(change, now)
        else:
            view_change = self._resolve_snapshot(change, now)
        if self.revision and change.epoch > self.epoch:
            self.lacks_history = False
        self.epoch, self.revision = change.position
        self._apply_view(view_change, now)
        return True

    def _learn(self, change: CatalogueChange, now: float) -> bool:
        """Take over what the store has lost; return whether there was anything.

        Load pattern: a process that starts right after the store was restored has only
        the contents of the copy, while processes that ran before know what was written
        later.

        Parameters
        ----------
        change : CatalogueChange
            Snapshot of an earlier epoch, or of this position.
        now : float
        """
        is_earlier_epoch = change.epoch < self.epoch
        if change.since or not (is_earlier_epoch or change.position == self.position):
            return False
        received = change.configuration
        is_newer = received and received.version > self.configuration.version
        if is_newer:
            self._apply_configuration(received, change, now)
        if self.lacks_history and (is_earlier_epoch or change.unconfirmed):
            self.lacks_history = False
            self._merge_knowledge(change, now)
        elif is_newer:
            self._apply_view(CatalogueChange(self.revision, self.revision), now)
        else:
            return False
        return True

    def _merge_knowledge(self, earlier: CatalogueChange, now: float) -> None:
        """Keep for a while what another process knew before the restoration."""
        known = {target.name: target for target in earlier.targets}
        gone: set[str] = set()
        zones = self.zones_out | frozenset(earlier.zones_out or ())
        if earlier.position == self.position:
            unconfirmed = earlier.unconfirmed.targets
            gone = unconfirmed.keys() - known
            known = {name: known[name] for name in unconfirmed.keys() & known}
            zones = frozenset(earlier.zones_out or ())
        published = {
            name: self.get_published_target(name)
            for name in self.targets.keys() | self.unconfirmed
        }
        view = merge_targets(known, self.targets, gone)
        until = now + RETURN_GRACE_S
        self.zones_until = max(self.zones_until, until)
        self._apply_view(self._compare_view(view, published, zones, until), now)

    def _compare_view(
        self,
        view: dict[str, Target],
        published: Mapping[str, Target | None],
        zones_out: Collection[str],
        until: float,
    ) -> CatalogueChange:
        """Record what of a new view is unconfirmed; return the difference to it."""
        before = self.unconfirmed
        self.unconfirmed = {
            name: Unpublished(
                published.get(name), before[name].until if name in before else until
            )
            for name in view.keys() | published.keys()
            if view.get(name) != published.get(name)
        }
        return CatalogueChange(
            self.revision,
            self.revision,
            targets=tuple(
                target
                for name, target in view.items()
                if self.targets.get(name) != target
            ),
            removed=tuple(self.targets.keys() - view.keys()),
            zones_out=tuple(zones_out),
            epoch=self.epoch,
        )

    def confirm(self, now: float) -> CatalogueChange | None:
        """Adopt what the store has published where the view still differs from it.

        Returns
        -------
        CatalogueChange or None
            What changed; None if nothing is due.
        """
        if now < self.next_confirmation_at:
            return None
        due = {
            name: kept.published
            for name, kept in self.unconfirmed.items()
            if kept.until <= now
        }
        zones_out = self.published_zones_out if self.zones_until <= now else None
        change = CatalogueChange(
            self.revision,
            self.revision,
            targets=tuple(target for target in due.values() if target),
            removed=tuple(name for name, target in due.items() if not target),
            zones_out=None if zones_out is None else tuple(sorted(zones_out)),
            epoch=self.epoch,
        )
        for name in due:
            del self.unconfirmed[name]
        self._apply_view(change, now)
        return change

    @property
    def next_confirmation_at(self) -> float:
        """Time at which `confirm` next has something to adopt, infinite if never."""
        times = [kept.until for kept in self.unconfirmed.values()]
        if self.zones_out != self.published_zones_out:
            times.append(self.zones_until)
        return min(times, default=float("inf"))

    @property
    def is_unconfirmed(self) -> bool:
        """Whether the view differs from what the store has published."""
        return bool(self.unconfirmed) or self.zones_out != self.published_zones_out

    def get_published_target(self, name: str) -> Target | None:
        """Return the entry of a target in the store, None if it has none."""
        if name in self.unconfirmed:
            return self.unconfirmed[name].published
        return self.targets.get(name)

    def snapshot(self, now: float) -> CatalogueChange:
        """Return the whole state as a change that replaces everything."""
        unconfirmed = None
        if self.is_unconfirmed:
            until = [kept.until for kept in self.unconfirmed.values()]
            unconfirmed = Unconfirmed(
                {name: kept.published for name, kept in self.unconfirmed.items()},
                max(0.0, max([*until, self.zones_until]) - now),
                tuple(sorted(self.published_zones_out)),
            )
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
            unconfirmed=unconfirmed,
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
        self, received: RouteConfiguration, change: CatalogueChange, now: float
    ) -> None:
        services_before = set(self.services)
        if not change.version_since:
            self.routes, self.services = {}, {}
        for endpoint in change.removed_routes:
            self.routes.pop(endpoint, None)
        for route in received.routes:
            self.routes[route.endpoint] = route
        self.services.update(received.services)
        self.configuration = msgspec.structs.replace(received, routes=(), services={})
        if self.services.keys() != services_before:
            for host, targets in self.all_targets_by_host.items():
                if len(targets) > 1:
                    self._index_host(host, now)

    def _resolve_difference(
        self, change: CatalogueChange, now: float
    ) -> CatalogueChange:
        """Record what a difference confirms; return it with the zones of the view."""
        for target in change.targets:
            self.unconfirmed.pop(target.name, None)
        for name in change.removed:
            self.unconfirmed.pop(name, None)
        if change.unconfirmed is not None:
            until = now + change.unconfirmed.remaining_s
            for name in change.unconfirmed.targets:
                self.unconfirmed.pop(name, None)
                if name in self.targets:
                    self.unconfirmed[name] = Unpublished(None, until)
        if change.zones_out is None:
            return change
        published, before = frozenset(change.zones_out), self.published_zones_out
        zones = (self.zones_out | (published - before)) - (before - published)
        self.published_zones_out = published
        return msgspec.structs.replace(change, zones_out=tuple(zones))

    def _resolve_snapshot(self, change: CatalogueChange, now: float) -> CatalogueChange:
        """Return the difference to a snapshot, without what the view keeps.

        After a restoration of the store the view keeps all that it knew; within the
        same epoch it keeps only what it kept before.
        """
        view = {target.name: target for target in change.targets}
        zones = frozenset(change.zones_out or ())
        published, published_zones, until = view, zones, now
        if change.unconfirmed is not None:
            published = {**view, **change.unconfirmed.targets}
            if change.unconfirmed.zones_out is not None:
                published_zones = frozenset(change.unconfirmed.zones_out)
            until = now + change.unconfirmed.remaining_s
        if self.revision and change.epoch > self.epoch:
            self.unconfirmed = {}
            gone = self._list_departed(view, now)
            view = merge_targets(self.targets, view, gone)
            zones = self.zones_out | (zones - self._list_returned_zones(now))
            until = max(until, now + RETURN_GRACE_S)
        else:
            active = {name for name, one in self.unconfirmed.items() if one.until > now}
            kept = {name: self.targets[name] for name in active & self.targets.keys()}
            hidden = {
                name
                for name in active - self.targets.keys()
                if view.get(name) == self.unconfirmed[name].published
            }
            view = merge_targets(kept, view, hidden)
            if self.zones_until > now:
                hidden_zones = self.published_zones_out - self.zones_out
                kept_zones = self.zones_out - self.published_zones_out
                zones = kept_zones | (zones - hidden_zones)
        self.published_zones_out = published_zones
        self.zones_until = max(self.zones_until, until)
        return self._compare_view(view, published, zones, until)

    def _list_departed(self, published: dict[str, Target], now: float) -> set[str]:
        """Return the names of published targets that are known to be gone."""
        return {
            name
            for name, target in published.items()
            if name in self.departures
            and target.born_ms <= self.departures[name].born_ms
            and now - self.departures[name].at < KNOWLEDGE_RETENTION_S
        }

    def _list_returned_zones(self, now: float) -> set[str]:
        return {
            zone
            for zone, returned_at in self.zone_returns.items()
            if now - returned_at < KNOWLEDGE_RETENTION_S
        }

    def _apply_view(self, change: CatalogueChange, now: float) -> None:
        """Update zones, targets and indexes at a cost proportional to the change."""
        if change.zones_out is not None:
            zones = frozenset(change.zones_out)
            for zone in self.zones_out - zones:
                self.zone_returns[zone] = now
            for zone in zones:
                self.zone_returns.pop(zone, None)
            self.zones_out = zones
        changed_hosts = set()
        for name in change.removed:
            changed_hosts |= self._remove_target(name, now)
        for target in change.targets:
            changed_hosts |= self._remove_target(target.name, now)
            self.departures.pop(target.name, None)
            self.targets[target.name] = target
            self.all_targets_by_host.setdefault(target.host, {})[target.name] = target
            changed_hosts.add(target.host)
        for host in changed_hosts:
            self._index_host(host, now)
        self._expire_departures(now)
        self.changes_applied += 1
        for listener in self.listeners:
            listener(change)

    def _remove_target(self, name: str, now: float) -> set[int]:
        """Remove a target; return the host whose index must be updated."""
        target = self.targets.pop(name, None)
        if target is None:
            return set()
        self.departures.pop(name, None)  # so that the last one is the latest
        self.departures[name] = Departure(target.born_ms, now)
        remaining = self.all_targets_by_host[target.host]
        del remaining[name]
        if not remaining:
            del self.all_targets_by_host[target.host]
        return {target.host}

    def _index_host(self, host: int, now: float) -> None:
        """Index a host by its newest target.

        A target of a service that the configuration does not name counts only if there
        is no other one: another program may have written its entry.
        """
        before = self.target_by_host.pop(host, None)
        candidates = self.all_targets_by_host.get(host, {}).values()
        newest = max(
            candidates,
            key=lambda one: (one.service in self.services, one.born_ms, one.name),
            default=None,
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
                break
            del self.departure_times[oldest]
        while self.departures:
            oldest_name, departure = next(iter(self.departures.items()))
            if now - departure.at < KNOWLEDGE_RETENTION_S:
                break
            del self.departures[oldest_name]
