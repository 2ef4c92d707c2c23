"""Reads what the operators' platform publishes."""

from plantainyoke.publication._client import (
    DocumentNotFoundError,
    PlatformClient,
    PlatformError,
    PlatformUnavailableError,
)
from plantainyoke.publication._hosts import HostEntry, HostList, parse_hosts

__all__ = [
    "HostEntry",
    "HostList",
    "PlatformClient",
    "PlatformError",
    "DocumentNotFoundError",
    "PlatformUnavailableError",
    "parse_hosts",
]
