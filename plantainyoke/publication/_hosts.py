"""Parses the published list of hosts and finds processes in it.

The list lags behind the actual state: it names hosts that are alive or leaving.
"""

from dataclasses import dataclass
from functools import cached_property
from typing import Literal

from pydantic import BaseModel, ConfigDict, TypeAdapter, ValidationError
from returns.result import Failure, Result, Success

from plantainyoke.hashing import (
    compute_zone_id,
)
from plantainyoke.network import (
    pack_address,
    parse_address,
)


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


_records = TypeAdapter(list[HostRecord])


def parse_hosts(document: bytes) -> Result[HostList, ValueError]:
    """Decode and validate a published host list.

    Returns
    -------
    Result of HostList
        A `ValueError` with the first line of the message if the list is malformed.
    """
    try:
        records = _records.validate_json(document)
        return Success(
            HostList(
                tuple(
                    HostEntry(
                        pack_address(parse_address(record.address)),
                        compute_zone_id(record.zone),
                        record.role == "balancer",
                        record.leaving,
                    )
                    for record in records
                )
            )
        )
    except (ValidationError, ValueError) as error:
        return Failure(ValueError(str(error).splitlines()[0]))
