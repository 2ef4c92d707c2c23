"""Data types of the published state and of its changes.

Operators publish routes, services and zones taken out; each target publishes its entry.
Processes send these types to each other with their field names.
"""

from typing import Annotated, NamedTuple

import msgspec

# Ranges of what other processes send, checked when it is decoded. Hosts are packed into
# 32 bits, revisions into 64.
Host = Annotated[int, msgspec.Meta(ge=0, lt=1 << 32)]
Revision = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
Count = Annotated[int, msgspec.Meta(ge=1)]
MAX_TIMEOUT_S = 1e12  # far above any useful value; infinity cannot be computed with
Timeout = Annotated[float, msgspec.Meta(gt=0, le=MAX_TIMEOUT_S)]


class Position(NamedTuple):
    """Point in the history of the store; a higher one has newer contents.

    Attributes
    ----------
    epoch : int
        Rises when the store is restored from an older copy, 0 if the store states none.
    revision : int
        Rises with each write. After a restoration, revisions are given out again.
    """

    epoch: int
    revision: int


class RouteShare(msgspec.Struct, frozen=True):
    """A service's part of a route's new flows."""

    service: str
    weight: int


class Route(msgspec.Struct, frozen=True):
    """Services that receive the new flows of one service address.

    Attributes
    ----------
    name : str
    host : int
        Service address as an integer.
    port : int
    shares : tuple of RouteShare
    aim_s : float
        Time within which callers want an answer, 0 if none is stated.
    timeout_s : float
        Time after which callers give up a request, 0 if none is stated.
    priority : int
        Rank of the route's requests among those of other routes, 0 is the highest.
    is_idempotent : bool
        Whether callers may repeat the route's requests after any failure.
    """

    name: str
    host: int
    port: int
    shares: tuple[RouteShare, ...]
    aim_s: float = 0.0
    timeout_s: float = 0.0
    priority: int = 0
    is_idempotent: bool = False

    @property
    def endpoint(self) -> tuple[int, int]:
        """Service address and port."""
        return self.host, self.port


class ServiceLimits(msgspec.Struct, frozen=True):
    """Limits of each target of a service.

    Attributes
    ----------
    max_flows : int
        Flows that a target holds at a time.
    cold_start_s : float
        Time for which a target stays cold after it started.
    cold_flows_per_s : float
        New flows per second that a cold target can serve.
    """

    max_flows: int
    cold_start_s: float
    cold_flows_per_s: float


class RouteConfiguration(msgspec.Struct, frozen=True):
    """One published configuration of routes and services.

    Attributes
    ----------
    version : int
        Rises with each configuration, 0 before the first.
    routes : tuple of Route
    services : dict of str to ServiceLimits
        By name.
    idle_timeout_s : float
        Time after which an idle flow may be removed.
    """

    version: int = 0
    routes: tuple[Route, ...] = ()
    services: dict[str, ServiceLimits] = msgspec.field(default_factory=dict)
    idle_timeout_s: Timeout = 15.0


class Target(msgspec.Struct, frozen=True):
    """One incarnation of an upstream.

    Attributes
    ----------
    name : str
        Identifier under which the target registered.
    service : str
    host : int
        Address of its host, as an integer; its agent has the same address.
    port : int
    zone : str
    slots : int
        Requests that the upstream processes at a time.
    draining : bool
    cold : bool
        Whether the target reported that it is in cold start.
    born_ms : int
        Unix time of the start; differs between incarnations with one name.
    """

    name: str
    service: str
    host: Host
    port: int
    zone: str
    slots: Count
    draining: bool = False
    cold: bool = False
    born_ms: int = 0


class Unconfirmed(msgspec.Struct, frozen=True):
    """Differences between a view and what the store has published.

    Attributes
    ----------
    targets : dict of str to Target or None
        Published entry of each target for which the view has another one or none; None
        if the store has no entry.
    remaining_s : float
        Time until the view adopts what is published.
    zones_out : tuple of str, optional
        Published zones that receive no new flows; None if the view has the same.
    """

    targets: dict[str, Target | None]
    remaining_s: float
    zones_out: tuple[str, ...] | None = None


class CatalogueChange(msgspec.Struct, frozen=True):
    """Difference between two revisions of the catalogue, both of one epoch.

    Attributes
    ----------
    since : int
        Revision on which the change builds; 0 replaces everything.
    revision : int
    configuration : RouteConfiguration, optional
        None if unchanged. It has all routes and services, or with ``version_since``
        only the new and changed ones.
    version_since : int
        Configuration version on which these build, 0 if they are complete.
    removed_routes : tuple of (int, int)
        Service addresses and ports whose routes are gone.
    targets : tuple of Target
        New and changed targets.
    removed : tuple of str
        Names of targets that are gone.
    zones_out : tuple of str, optional
        All zones that receive no new flows; None if unchanged.
    epoch : int
        Epoch of the store to which both revisions belong.
    unconfirmed : Unconfirmed, optional
        Targets to keep for a while although the store lacks their entries and, in a
        change that replaces everything, the other differences to what is published.
    is_exact : bool
        Whether the change applies at ``since`` only. Other changes contain all that was
        written after ``since``, and also apply at a revision between the two.
    """

    since: Revision
    revision: Revision
    configuration: RouteConfiguration | None = None
    version_since: int = 0
    removed_routes: tuple[tuple[int, int], ...] = ()
    targets: tuple[Target, ...] = ()
    removed: tuple[str, ...] = ()
    zones_out: tuple[str, ...] | None = None
    epoch: Revision = 0
    unconfirmed: Unconfirmed | None = None
    is_exact: bool = False

    @property
    def position(self) -> Position:
        """Position in the store's history that the change leads to."""
        return Position(self.epoch, self.revision)

    def builds_on(self, position: Position) -> bool:
        """Return whether the change applies to a view at a position."""
        if not self.since:
            return True
        if self.epoch != position.epoch:
            return False
        if self.is_exact:
            return self.since == position.revision
        return self.since <= position.revision
