"""Published routes, targets and zones, and how processes follow them."""

from plantainyoke.catalogue._catalogue import Catalogue
from plantainyoke.catalogue._change_builder import ChangeBuilder, StoreUpdate
from plantainyoke.catalogue._follower import CatalogueFollower
from plantainyoke.catalogue._subscription import CatalogueServer
from plantainyoke.catalogue._types import (
    CatalogueChange,
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
    "RouteConfiguration",
    "StoreUpdate",
    "Route",
    "ServiceLimits",
    "RouteShare",
    "Target",
]
