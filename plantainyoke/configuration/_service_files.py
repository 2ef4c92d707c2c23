"""Service files kept beside the services' code, and the fleet file."""

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
    service_identifier,
    zone_identifier,
)

FLEET_FILE_NAME = "fleet.yaml"
FILE_PATTERNS = ("*.yaml", "*.yml")
MAX_TARGETS_PER_SERVICE = 10_000

Name = Annotated[str, Field(pattern=NAME_PATTERN)]


class FleetFile(StrictModel):
    """What all services share.

    Attributes
    ----------
    generation : int
        Rises with each publication.
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
    """One service.

    Attributes
    ----------
    service : str
    address : str
        IPv4 address and UDP port that callers use.
    slots : int
        Requests that one upstream runs at a time.
    cold_slots : int, default=1
        Requests at a time that an upstream in cold start bears.
    warm_up_requests : int, default=20
        Requests that an upstream serves before it leaves cold start.
    request_timeout_ms : int, default=30000
        Longest time for one request.
    shed_status : int, optional
        Status with which the upstream declares that it did not run a request.
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

    Returns
    -------
    Success of (FleetFile, list of ServiceFile), or Failure of InvalidFilesError with
    the faults of all files.
    """
    problems: list[FileProblem] = []
    if not directory.is_dir():
        return Failure(
            InvalidFilesError([FileProblem(str(directory), "", "not a directory")])
        )
    fleet = _collect(read_model(directory / FLEET_FILE_NAME, FleetFile), problems)
    services: list[tuple[str, ServiceFile]] = []
    for path in _service_paths(directory):
        service = _collect(read_model(path, ServiceFile), problems)
        if service is not None:
            services.append((str(path.relative_to(directory)), service))
    if not services and not problems:
        problems.append(FileProblem(str(directory), "", "no service files"))
    zones = fleet.zones if fleet is not None else None
    problems.extend(_check_together(services, zones, fleet))
    if problems:
        return Failure(InvalidFilesError(problems))
    return Success((fleet, [service for _, service in services]))


def _service_paths(directory: Path) -> list[Path]:
    paths = [path for pattern in FILE_PATTERNS for path in directory.rglob(pattern)]
    return sorted(path for path in paths if path != directory / FLEET_FILE_NAME)


def _collect(result, problems: list[FileProblem]):
    if isinstance(result, Failure):
        problems.extend(result.failure())
        return None
    return result.unwrap()


def _check_together(services, zones, fleet) -> list[FileProblem]:
    problems: list[FileProblem] = []
    owners: dict[tuple[str, object], str] = {}

    def claim(kind: str, value, source: str, path: str) -> None:
        owner = owners.setdefault((kind, value), source)
        if owner != source or (source, kind, value) in claimed:
            problems.append(
                FileProblem(source, path, f"{kind} {value} is also in {owner}")
            )
        claimed.add((source, kind, value))

    claimed: set[tuple[str, str, object]] = set()
    networks = [ipaddress.IPv4Network(text) for text in fleet.networks] if fleet else []
    for source, service in services:
        claim("service", service.service, source, "service")
        claim(
            "service identifier",
            service_identifier(service.service),
            source,
            "service",
        )
        claim("address", service.address, source, "address")
        if service.cold_slots > service.slots:
            problems.append(FileProblem(source, "cold_slots", "is above slots"))
        for index, target in enumerate(service.targets):
            place = f"targets.{index}"
            claim("target", target.agent, source, f"{place}.agent")
            if zones is not None and target.zone not in zones:
                problem = f"unknown availability zone {target.zone}"
                problems.append(FileProblem(source, f"{place}.zone", problem))
            problems.extend(_check_network_of(target, networks, source, place))
    problems.extend(_check_zone_identifiers(zones))
    return problems


def _check_network_of(target, networks, source, place) -> list[FileProblem]:
    address = ipaddress.IPv4Address(target.agent.rpartition(":")[0])
    if not networks or any(address in network for network in networks):
        return []
    problem = f"{target.agent} is outside the networks of {FLEET_FILE_NAME}"
    return [FileProblem(source, f"{place}.agent", problem)]


def _check_zone_identifiers(zones) -> list[FileProblem]:
    owners: dict[int, str] = {}
    problems = []
    for zone in zones or ():
        other = owners.setdefault(zone_identifier(zone), zone)
        if other != zone:
            problem = f"identifier equals that of {other}; rename one"
            problems.append(FileProblem(FLEET_FILE_NAME, f"zones.{zone}", problem))
    return problems
