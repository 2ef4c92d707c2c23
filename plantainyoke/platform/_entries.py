"""Parsers of the entries in the platform's store.

Decode the operators' configuration and the entries of targets, written in the
platform's names, into the types of the catalogue.
"""

import base64
import binascii
from collections.abc import Callable
from typing import Annotated, TypeVar

import msgspec

from plantainyoke.catalogue import Route, RouteConfiguration, Target
from plantainyoke.network import parse_address, parse_host
from plantainyoke.platform._configuration import (
    MAX_INTEGER,
    ConfigurationEntry,
    Integer,
    LimitsEntry,
    RouteEntry,
    ServiceEntry,
    translate_route,
    translate_service,
)

CONFIGURATION_KEY = "op/config"
ZONE_OUT_PREFIX = "op/evacuate/"
TARGET_PREFIX = "servers/"
# RecursionError: the value is nested too deeply. OverflowError: a number is too large
# for a conversion.
INVALID_ENTRY_ERRORS = (
    ValueError,
    OSError,
    OverflowError,
    msgspec.MsgspecError,
    RecursionError,
)
MAX_NAME_LENGTH = 200  # of a key of the store, which contains names
MAX_SLOTS = 0xFFFF  # load reports have 16 bits for them
FIRST_MULTICAST_HOST = 0xE0000000  # 224.0.0.0; no host has this or a later address

Part = TypeVar("Part")
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]


class EntryError(Exception):
    """An entry of the store cannot be decoded as the kind that its key implies."""


class _Target(msgspec.Struct, rename="camel"):
    """Entry of a target; other programs may write below its prefix, too.

    The fields that are not used tell such entries apart: a target writes all of them.
    """

    service: Name
    address: str
    zone: Name
    version: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    state: str
    cold_left_ms: float
    sequence: Integer
    born: Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)] = 0


class _Parts(msgspec.Struct):
    """The operators' configuration with parts that are not decoded yet."""

    version: Integer
    routes: list[msgspec.Raw]
    services: list[msgspec.Raw]
    limits: msgspec.Raw = msgspec.Raw(b"{}")


_configuration_decoder = msgspec.json.Decoder(ConfigurationEntry)
_parts_decoder = msgspec.json.Decoder(_Parts)
_route_decoder = msgspec.json.Decoder(RouteEntry)
_service_decoder = msgspec.json.Decoder(ServiceEntry)
_limits_decoder = msgspec.json.Decoder(LimitsEntry)
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
            tuple(translate_route(route) for route in document.routes),
            {service.name: translate_service(service) for service in document.services},
            document.limits.idle_timeout_ms / 1000,
        )
    except INVALID_ENTRY_ERRORS as error:
        raise EntryError(f"configuration: {error}") from error


def read_configuration(
    value: bytes, report: Callable[[str, str], None]
) -> RouteConfiguration:
    """Decode the operators' configuration without its invalid parts.

    A route, a service or the limits that cannot be used are left out, so that they do
    not keep the others of a version from being in force.

    Parameters
    ----------
    value : bytes
    report : callable
        Called with the place of each invalid part and the error.

    Raises
    ------
    EntryError
        If it has no usable version, or no lists of routes and services.
    """
    try:
        configuration = parse_configuration(value)
    except EntryError as error:
        configuration = _read_valid_parts(value, error, report)
    if configuration.idle_timeout_s <= 0:
        report("limits", f"idle timeout of {configuration.idle_timeout_s} s")
        configuration = msgspec.structs.replace(
            configuration, idle_timeout_s=RouteConfiguration().idle_timeout_s
        )
    return configuration


def _read_valid_parts(
    value: bytes, reason: EntryError, report: Callable[[str, str], None]
) -> RouteConfiguration:
    """Decode the parts of a configuration one by one.

    Raises
    ------
    EntryError
        The reason why the whole was rejected, if there are no parts to decode.
    """
    try:
        parts = _parts_decoder.decode(value)
    except INVALID_ENTRY_ERRORS as error:
        raise reason from error
    routes = _read_parts("routes", parts.routes, _read_route, report)
    services = _read_parts("services", parts.services, _service_decoder.decode, report)
    limits = _read_parts("limits", [parts.limits], _limits_decoder.decode, report)
    return RouteConfiguration(
        parts.version,
        tuple(routes),
        {service.name: translate_service(service) for service in services},
        (limits[0] if limits else LimitsEntry()).idle_timeout_ms / 1000,
    )


def _read_route(encoded: msgspec.Raw) -> Route:
    return translate_route(_route_decoder.decode(encoded))


def _read_parts(
    name: str,
    encoded: list[msgspec.Raw],
    read: Callable[[msgspec.Raw], Part],
    report: Callable[[str, str], None],
) -> list[Part]:
    """Return the parts of a list that can be read; report the others."""
    parts = []
    for position, raw in enumerate(encoded):
        try:
            parts.append(read(raw))
        except INVALID_ENTRY_ERRORS as error:
            report(f"{name}[{position}]", str(error))
    return parts


def parse_target(name: str, value: bytes) -> Target:
    """Decode the entry under which a target registers.

    Raises
    ------
    EntryError
        If another program wrote the entry (a field is missing, has another type or is
        out of range), or if the name, the state or the address is invalid.
    """
    if not 0 < len(name) <= MAX_NAME_LENGTH:
        raise EntryError(f"name of {len(name)} characters")
    try:
        document = _target_decoder.decode(value)
        if document.state not in ("ready", "draining"):
            raise EntryError(f"target {name}: unknown state {document.state!r}")
        ip, port = parse_address(document.address)
        host = parse_host(ip)
        if not 0 < host < FIRST_MULTICAST_HOST:
            raise EntryError(f"target {name}: {ip} is not the address of a host")
        return Target(
            name,
            document.service,
            host,
            port,
            document.zone,
            document.slots,
            document.state == "draining",
            document.cold_left_ms > 0,
            document.born,
        )
    except INVALID_ENTRY_ERRORS as error:
        raise EntryError(f"target {name}: {error}") from error
