"""Reads the configuration and the host list that the operators' platform publishes.

`PlatformClient` requests the documents over HTTP; `parse_hosts` decodes the host list.
"""

from plantainyoke.publication._client import (
    DocumentNotFoundError,
    DocumentTooLargeError,
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
    "DocumentTooLargeError",
    "PlatformUnavailableError",
    "parse_hosts",
]
