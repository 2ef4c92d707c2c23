"""Format of the operators' configuration, and its translation into the catalogue's."""

from typing import Annotated

import msgspec

from plantainyoke.catalogue import Route, RouteShare, ServiceLimits
from plantainyoke.network import parse_host

IDEMPOTENT_TYPES = ("safe", "download")

# Processes send each other integers of 64 bits; a larger one could not be passed on.
MIN_INTEGER, MAX_INTEGER = -(1 << 63), (1 << 63) - 1
Integer = Annotated[int, msgspec.Meta(ge=MIN_INTEGER, le=MAX_INTEGER)]
# Far above any useful value, and far enough below infinity to compute with.
MAX_NUMBER = 1e12
Number = Annotated[float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]


class PortError(ValueError):
    """A prefix has no port that can be passed on."""


class ShareEntry(msgspec.Struct):
    """A service's part of a route."""

    service: str
    weight: Integer


class RouteEntry(msgspec.Struct, rename="camel"):
    """One route; times are in milliseconds."""

    name: str
    hostname: str  # an address, despite the name
    prefix: str  # "/port/"
    service: str | None = None
    traffic_split: list[ShareEntry] = []
    aim_ms: Number = 0.0
    timeout_ms: Number = 0.0
    priority: Integer = 0
    type: str = ""


class ServiceEntry(msgspec.Struct, rename="camel"):
    """Limits of each target of one service."""

    name: str
    max_conns: Integer = 1 << 30
    cold_start_s: Number = 0.0
    cold_per_s: Number = 0.0


class LimitsEntry(msgspec.Struct, rename="camel"):
    """Limits of all flows."""

    idle_timeout_ms: Number = 15_000.0


class ConfigurationEntry(msgspec.Struct, rename="camel"):
    """The operators' configuration."""

    version: Integer
    routes: list[RouteEntry]
    services: list[ServiceEntry]
    limits: LimitsEntry = msgspec.field(default_factory=LimitsEntry)


def translate_route(entry: RouteEntry) -> Route:
    """Return a route in the catalogue's form.

    Raises
    ------
    ValueError, OSError
        If the address or the port is invalid.
    """
    if entry.traffic_split:
        shares = tuple(
            RouteShare(item.service, item.weight) for item in entry.traffic_split
        )
    else:
        shares = (RouteShare(entry.service, 1),) if entry.service else ()
    return Route(
        entry.name,
        parse_host(entry.hostname),
        parse_port(entry.prefix),
        shares,
        entry.aim_ms / 1000,
        entry.timeout_ms / 1000,
        entry.priority,
        entry.type in IDEMPOTENT_TYPES,
    )


def parse_port(prefix: str) -> int:
    """Return the port in a prefix such as ``/443/``.

    Raises
    ------
    ValueError
        If it is not an integer of 64 bits. A route with a port above 65535 is accepted,
        so that it does not take the valid routes with it.
    """
    port = int(prefix.strip("/"))
    if not MIN_INTEGER <= port <= MAX_INTEGER:
        raise PortError(prefix)
    return port


def translate_service(entry: ServiceEntry) -> ServiceLimits:
    """Return the limits of a service in the catalogue's form."""
    return ServiceLimits(entry.max_conns, entry.cold_start_s, entry.cold_per_s)
