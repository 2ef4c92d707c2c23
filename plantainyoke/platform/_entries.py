"""Parsers of the entries in the platform's store.

Decode the operators' configuration and the entries of targets, written in the
platform's names, into the types of the catalogue.
"""

import base64
import binascii

import msgspec

from plantainyoke.catalogue import RouteConfiguration, Target
from plantainyoke.network import parse_address, parse_host
from plantainyoke.platform._configuration import (
    ConfigurationEntry,
    translate_route,
    translate_service,
)

CONFIGURATION_KEY = "op/config"
ZONE_OUT_PREFIX = "op/evacuate/"
TARGET_PREFIX = "servers/"
# RecursionError: the value is nested too deeply.
INVALID_ENTRY_ERRORS = (ValueError, OSError, msgspec.MsgspecError, RecursionError)


class EntryError(Exception):
    """An entry of the store cannot be decoded as the kind that its key implies."""


class _Target(msgspec.Struct, rename="camel"):
    service: str
    address: str
    zone: str
    state: str
    slots: int = 1
    cold_left_ms: float = 0.0
    born: int = 0


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
    except INVALID_ENTRY_ERRORS as error:
        raise EntryError(f"target {name}: {error}") from error
