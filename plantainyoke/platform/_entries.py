"""Parsers of the entries in the platform's store.

Decode the operators' configuration and the entries of targets, written in the
platform's names, into the types of the catalogue.
"""

import base64
import binascii
from typing import Annotated

import msgspec

from plantainyoke.catalogue import RouteConfiguration, Target
from plantainyoke.network import parse_address, parse_host
from plantainyoke.platform._configuration import (
    MAX_INTEGER,
    ConfigurationEntry,
    Integer,
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

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]


class EntryError(Exception):
    """An entry of the store cannot be decoded as the kind that its key implies."""


class _Target(msgspec.Struct, rename="camel"):
    service: Name
    address: str
    zone: Name
    state: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)] = 1
    cold_left_ms: float = 0.0
    born: Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)] = 0
    sequence: Integer = 0


_configuration_decoder = msgspec.json.Decoder(ConfigurationEntry)
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
