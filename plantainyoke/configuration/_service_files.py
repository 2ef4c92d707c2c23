"""Schema and loading of service files and the fleet file.

A service file is kept beside the code of its service; the fleet file contains what all
services share. `load_fleet` checks each file and then their consistency, and reports
the errors of all files at once.
"""

import ipaddress
from pathlib import Path
from typing import Annotated, Literal

from pydantic import Field
from returns.result import Failure, Result, Success

from plantainyoke.configuration._errors import FileProblem, InvalidFilesError
from plantainyoke.configuration._validation import (
    NAME_PATTERN,
    AddressText,
    NetworkText,
    StrictModel,
    read_model,
)
from plantainyoke.hashing import (
    compute_service_id,
    compute_zone_id,
)

FLEET_FILE_NAME = "fleet.yaml"
FILE_PATTERNS = ("*.yaml", "*.yml")
MAX_TARGETS_PER_SERVICE = 10_000

Name = Annotated[str, Field(pattern=NAME_PATTERN)]


class FleetFile(StrictModel):
    """Settings that all services share, from ``fleet.yaml``.

    Attributes
    ----------
    generation : int
        Must increase with each publication.
    zones : dict of str to {"in", "out"}
        Availability zones, in service or taken out.
    networks : list of str
        Networks that agents may be in.
    """

    generation: int = Field(ge=1, lt=1 << 63)
    zones: dict[Name, Literal["in", "out"]] = Field(min_length=1)
    networks: list[NetworkText] = Field(min_length=1)


class TargetEntry(StrictModel):
    """One target: the agent beside an upstream and its availability zone."""

    agent: AddressText
    zone: Name


class ServiceFile(StrictModel):
    """One service, from its service file.

    Attributes
    ----------
    service : str
        Name of the service.
    address : str
        IPv4 address and UDP port that callers use.
    slots : int
        Maximum number of concurrent requests of one upstream.
    cold_slots : int, default=1
        Maximum number of concurrent requests of an upstream in cold start.
    warm_up_requests : int, default=20
        Requests that an upstream serves before it leaves cold start.
    request_timeout_ms : int, default=30000
        Maximum duration of one request in milliseconds.
    shed_status : int, optional
        HTTP status by which the upstream declares that it did not run a request.
    targets : list of TargetEntry
    """

    service: Name
    address: AddressText
    slots: int = Field(ge=1, le=10_000)
    cold_slots: int = Field(default=1, ge=1, le=10_000)
    warm_up_requests: int = Field(default=20, ge=1, le=1_000_000)
    request_timeout_ms: int = Field(default=30_000, ge=10, le=3_600_000)
    shed_status: int | None = Field(default=None, ge=400, le=599)
    targets: list[TargetEntry] = Field(min_length=1, max_length=MAX_TARGETS_PER_SERVICE)


def load_fleet(
    directory: Path,
) -> Result[tuple[FleetFile, list[ServiceFile]], InvalidFilesError]:
    """Read the fleet file and every service file below a directory.

    Parameters
    ----------
    directory : Path

    Returns
    -------
    Success of (FleetFile, list of ServiceFile), or Failure of InvalidFilesError with
    the problems of all files.
    """
    problems: list[FileProblem] = []
    if not directory.is_dir():
        return Failure(
            InvalidFilesError([FileProblem(str(directory), "", "not a directory")])
        )
    fleet = _unwrap_or_collect(
        read_model(directory / FLEET_FILE_NAME, FleetFile), problems
    )
    services: list[tuple[str, ServiceFile]] = []
    for path in _list_service_paths(directory):
        service = _unwrap_or_collect(read_model(path, ServiceFile), problems)
        if service is not None:
            services.append((str(path.relative_to(directory)), service))
    if not services and not problems:
        problems.append(FileProblem(str(directory), "", "no service files"))
    zones = fleet.zones if fleet is not None else None
    problems.extend(_check_consistency(services, zones, fleet))
    if problems:
        return Failure(InvalidFilesError(problems))
    return Success((fleet, [service for _, service in services]))


def _list_service_paths(directory: Path) -> list[Path]:
    paths = [path for pattern in FILE_PATTERNS for path in directory.rglob(pattern)]
    return sorted(path for path in paths if path != directory / FLEET_FILE_NAME)


def _unwrap_or_collect(result, problems: list[FileProblem]):
    if isinstance(result, Failure):
        problems.extend(result.failure())
        return None
    return result.unwrap()


def _check_consistency(services, zones, fleet) -> list[FileProblem]:
    problems: list[FileProblem] = []
    first_sources: dict[tuple[str, object], str] = {}

    def check_unique(kind: str, value, source: str, location: str) -> None:
        first_source = first_sources.setdefault((kind, value), source)
        if first_source != source or (source, kind, value) in seen:
            problems.append(
                FileProblem(
                    source, location, f"{kind} {value} is also in {first_source}"
                )
            )
        seen.add((source, kind, value))

    seen: set[tuple[str, str, object]] = set()
    networks = [ipaddress.IPv4Network(text) for text in fleet.networks] if fleet else []
    for source, service in services:
        check_unique("service", service.service, source, "service")
        check_unique(
            "service identifier",
            compute_service_id(service.service),
            source,
            "service",
        )
        check_unique("address", service.address, source, "address")
        if service.cold_slots > service.slots:
            problems.append(FileProblem(source, "cold_slots", "is above slots"))
        for index, target in enumerate(service.targets):
            location = f"targets.{index}"
            check_unique("target", target.agent, source, f"{location}.agent")
            if zones is not None and target.zone not in zones:
                problem = f"unknown availability zone {target.zone}"
                problems.append(FileProblem(source, f"{location}.zone", problem))
            problems.extend(_check_agent_network(target, networks, source, location))
    problems.extend(_check_zone_identifiers(zones))
    return problems


def _check_agent_network(target, networks, source, location) -> list[FileProblem]:
    address = ipaddress.IPv4Address(target.agent.rpartition(":")[0])
    if not networks or any(address in network for network in networks):
        return []
    problem = f"{target.agent} is outside the networks of {FLEET_FILE_NAME}"
    return [FileProblem(source, f"{location}.agent", problem)]


def _check_zone_identifiers(zones) -> list[FileProblem]:
    zone_by_identifier: dict[int, str] = {}
    problems = []
    for zone in zones or ():
        first_zone = zone_by_identifier.setdefault(compute_zone_id(zone), zone)
        if first_zone != zone:
            problem = f"identifier equals that of {first_zone}; rename one"
            problems.append(FileProblem(FLEET_FILE_NAME, f"zones.{zone}", problem))
    return problems
