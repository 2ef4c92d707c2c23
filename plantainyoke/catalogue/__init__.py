"""Catalogue of published routes, targets and zones, kept current in each process.

`Catalogue` holds the state, `ChangeBuilder` turns answers of the platform's store into
changes of it, and `CatalogueFollower` keeps it current: it reads the store or
subscribes to the `CatalogueServer` of another process.
"""

from plantainyoke.catalogue._catalogue import Catalogue
from plantainyoke.catalogue._change_builder import ChangeBuilder, StoreUpdate
from plantainyoke.catalogue._follower import CatalogueFollower
from plantainyoke.catalogue._pages import (
    PAGE_ENTRIES,
    ConfigurationPage,
    ServiceCapacity,
    build_page,
    join_pages,
)
from plantainyoke.catalogue._subscription import CatalogueServer
from plantainyoke.catalogue._types import (
    CatalogueChange,
    Position,
    Route,
    RouteConfiguration,
    RouteShare,
    ServiceLimits,
    Target,
)

__all__ = [
    "Catalogue",
    "ChangeBuilder",
    "CatalogueFollower",
    "CatalogueServer",
    "CatalogueChange",
    "ConfigurationPage",
    "PAGE_ENTRIES",
    "ServiceCapacity",
    "build_page",
    "join_pages",
    "Position",
    "RouteConfiguration",
    "StoreUpdate",
    "Route",
    "ServiceLimits",
    "RouteShare",
    "Target",
]
