"""Parsers of the entries in the platform's store.

Decode the operators' configuration and the entries of targets, written in the
platform's names, into the types of the catalogue.
"""

import base64
import binascii

import msgspec

from plantainyoke.catalogue import (
    Route,
    RouteConfiguration,
    RouteShare,
    ServiceLimits,
    Target,
)
from plantainyoke.network import parse_address, parse_host

CONFIGURATION_KEY = "op/config"
ZONE_OUT_PREFIX = "op/evacuate/"
TARGET_PREFIX = "servers/"
IDEMPOTENT_TYPES = ("safe", "download")


class EntryError(Exception):
    """An entry of the store cannot be decoded as the kind that its key implies."""


class _Share(msgspec.Struct):
    service: str
    weight: int


class _Route(msgspec.Struct, rename="camel"):
    name: str
    hostname: str  # an address, despite the name
    prefix: str  # "/port/"
    service: str | None = None
    traffic_split: list[_Share] = []
    aim_ms: float = 0.0
    timeout_ms: float = 0.0
    priority: int = 0
    type: str = ""


class _Service(msgspec.Struct, rename="camel"):
    name: str
    max_conns: int = 1 << 30
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


class _Limits(msgspec.Struct, rename="camel"):
    idle_timeout_ms: float = 15_000.0


class _Configuration(msgspec.Struct, rename="camel"):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _Target(msgspec.Struct, rename="camel"):
    service: str
    address: str
    zone: str
    state: str
    slots: int = 1
    cold_left_ms: float = 0.0
    born: int = 0


_configuration_decoder = msgspec.json.Decoder(_Configuration)
_target_decoder = msgspec.json.Decoder(_Target)


def decode_value(text: str) -> bytes:
    """Return the bytes of an item's value.

    Raises
    ------
    EntryError
        If the value is not standard base64.
    """
    try:
        return base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError) as error:
        raise EntryError("the value is not base64") from error


def parse_configuration(value: bytes) -> RouteConfiguration:
    """Decode the operators' configuration.

    Raises
    ------
    EntryError
        If a field is missing or has another type, or an address or port is invalid.
    """
    try:
        document = _configuration_decoder.decode(value)
        return RouteConfiguration(
            document.version,
            tuple(_translate_route(route) for route in document.routes),
            {
                service.name: ServiceLimits(
                    service.max_conns, service.cold_start_s, service.cold_per_s
                )
                for service in document.services
            },
            document.limits.idle_timeout_ms / 1000,
        )
    except (ValueError, OSError, msgspec.MsgspecError) as error:
        raise EntryError(f"configuration: {error}") from error


def parse_target(name: str, value: bytes) -> Target:
    """Decode the entry under which a target registers.

    Raises
    ------
    EntryError
        If another program wrote the entry (a field is missing or has another type), or
        if the state or the address is invalid.
    """
    try:
        document = _target_decoder.decode(value)
        if document.state not in ("ready", "draining"):
            raise EntryError(f"target {name}: unknown state {document.state!r}")
        ip, port = parse_address(document.address)
        return Target(
            name,
            document.service,
            parse_host(ip),
            port,
            document.zone,
            max(1, document.slots),
            document.state == "draining",
            document.cold_left_ms > 0,
            document.born,
        )
    except (ValueError, OSError, msgspec.MsgspecError) as error:
        raise EntryError(f"target {name}: {error}") from error


def _translate_route(route: _Route) -> Route:
    if route.traffic_split:
        shares = tuple(
            RouteShare(item.service, item.weight) for item in route.traffic_split
        )
    else:
        shares = (RouteShare(route.service, 1),) if route.service else ()
    port = int(route.prefix.strip("/"))
    host = parse_host(route.hostname)
    return Route(
        route.name,
        host,
        port,
        shares,
        route.aim_ms / 1000,
        route.timeout_ms / 1000,
        route.priority,
        route.type in IDEMPOTENT_TYPES,
    )
