"""What the operators and the targets publish, in the product's types."""

import msgspec


class RouteShare(msgspec.Struct, frozen=True):
    """A service's part of a route's new flows."""

    service: str
    weight: int


class Route(msgspec.Struct, frozen=True):
    """Where the new flows of one service address go.

    Attributes
    ----------
    name : str
    host : int
        Service address as an integer.
    port : int
    shares : tuple of RouteShare
    aim_s : float
        Time in which callers want an answer, 0 if none is stated.
    """

    name: str
    host: int
    port: int
    shares: tuple[RouteShare, ...]
    aim_s: float = 0.0

    @property
    def endpoint(self) -> tuple[int, int]:
        """Service address and port."""
        return self.host, self.port


class ServiceLimits(msgspec.Struct, frozen=True):
    """What a target of a service bears.

    Attributes
    ----------
    max_flows : int
    cold_start_s : float
        Time for which a target stays cold after it started.
    cold_flows_per_s : float
        New flows a second that a cold target bears.
    """

    max_flows: int
    cold_start_s: float
    cold_flows_per_s: float


class RouteConfiguration(msgspec.Struct, frozen=True):
    """One published configuration.

    Attributes
    ----------
    version : int
        Rises with each configuration, 0 before the first.
    idle_timeout_s : float
        Time after which an idle flow may be forgotten.
    """

    version: int = 0
    routes: tuple[Route, ...] = ()
    services: dict[str, ServiceLimits] = msgspec.field(default_factory=dict)
    idle_timeout_s: float = 15.0


class Target(msgspec.Struct, frozen=True):
    """One incarnation of an upstream's program.

    Attributes
    ----------
    name : str
        Identifier under which it registered.
    service : str
    host : int
        Address of its host, as an integer; its agent has the same address.
    port : int
    zone : str
    slots : int
        Requests that it runs at a time.
    draining : bool
    cold : bool
        Whether it reported to be in cold start.
    born_ms : int
        Unix time of its start; differs between incarnations with one name.
    """

    name: str
    service: str
    host: int
    port: int
    zone: str
    slots: int
    draining: bool = False
    cold: bool = False
    born_ms: int = 0


class CatalogueChange(msgspec.Struct, frozen=True):
    """Step from one revision of the catalogue to the next.

    Attributes
    ----------
    since : int
        Revision on which the change builds; 0 replaces everything.
    revision : int
    configuration : RouteConfiguration, optional
        None if unchanged. Its routes and services are all, or with ``version_since``
        only the new and changed ones.
    version_since : int
        Configuration version on which these build, 0 if they are all.
    removed_routes : tuple of (int, int)
        Service addresses and ports whose routes are gone.
    targets : tuple of Target
        New and changed targets.
    removed : tuple of str
        Names of targets that are gone.
    zones_out : tuple of str, optional
        All zones that get no new flows; None if unchanged.
    """

    since: int
    revision: int
    configuration: RouteConfiguration | None = None
    version_since: int = 0
    removed_routes: tuple[tuple[int, int], ...] = ()
    targets: tuple[Target, ...] = ()
    removed: tuple[str, ...] = ()
    zones_out: tuple[str, ...] | None = None
