"""Parses the published list of hosts and finds processes in it.

The list lags behind the actual state: it names hosts that are alive or leaving.
"""

from dataclasses import dataclass
from functools import cached_property
from typing import Any, Literal

from pydantic import BaseModel, ConfigDict, TypeAdapter, ValidationError
from returns.result import Failure, Result, Success

from plantainyoke.hashing import (
    compute_zone_id,
)
from plantainyoke.network import (
    pack_address,
    parse_address,
)
from plantainyoke.telemetry import log_event


class HostRecord(BaseModel):
    """Entry of the published list for one process."""

    model_config = ConfigDict(extra="ignore", strict=True)

    address: str
    zone: str
    role: Literal["balancer", "agent"]
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class HostEntry:
    """Validated entry of one process.

    Attributes
    ----------
    address : int
        Packed address of its envelopes and links.
    zone : int
        Identifier of its zone.
    is_balancer, leaving : bool
    """

    address: int
    zone: int
    is_balancer: bool
    leaving: bool


@dataclass(frozen=True)
class HostList:
    """A snapshot of the published list."""

    entries: tuple[HostEntry, ...] = ()

    @cached_property
    def zone_by_address(self) -> dict[int, int]:
        """Zone identifiers by packed address."""
        return {entry.address: entry.zone for entry in self.entries}

    def list_addresses_in_zone(self, zone: int) -> list[int]:
        """Return the addresses of a zone's processes that are not leaving."""
        return [
            entry.address
            for entry in self.entries
            if entry.zone == zone and not entry.leaving
        ]

    def list_balancers(self) -> list[HostEntry]:
        """Return the balancers that are not leaving."""
        return [
            entry for entry in self.entries if entry.is_balancer and not entry.leaving
        ]


_items = TypeAdapter(list[Any])


def parse_hosts(document: bytes) -> Result[HostList, ValueError]:
    """Decode a published host list; invalid records are logged and left out.

    Returns
    -------
    Result of HostList
        A `ValueError` with the first line of the message if it is no list.
    """
    try:
        items = _items.validate_json(document)
    except ValidationError as error:
        return Failure(ValueError(str(error).splitlines()[0]))
    entries = []
    for item in items:
        try:
            entries.append(_parse_record(item))
        except ValueError as error:
            log_event("host_unusable", error=str(error).splitlines()[0])
    return Success(HostList(tuple(entries)))


def _parse_record(item: object) -> HostEntry:
    """Validate the record of one process.

    Raises
    ------
    ValueError
    """
    record = HostRecord.model_validate(item)
    return HostEntry(
        pack_address(parse_address(record.address)),
        compute_zone_id(record.zone),
        record.role == "balancer",
        record.leaving,
    )
