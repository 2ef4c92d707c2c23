"""Checks of the service files and the fleet file of the QUIC path."""

from collections.abc import Iterator, Sequence
from pathlib import Path

import msgspec

from plantainyoke.configuration import (
    FileProblem,
    FleetFile,
    ServiceFile,
    build_documents,
    load_fleet,
)
from plantainyoke.network import parse_address, parse_host
from plantainyoke.validation._configuration import (
    FLOW_AGE_S,
    describe_unreachable_host,
)
from plantainyoke.validation._finding import ERROR, WARNING, Finding, Place


class ServiceFilesReport(msgspec.Struct, frozen=True):
    """Result of a check of a directory.

    Attributes
    ----------
    findings : list of (str, Finding)
        Each with the file or the service that contains its cause.
    summary : str
        What the files describe, empty if they cannot be used.
    """

    findings: list[tuple[str, Finding]]
    summary: str = ""


def check_directory(directory: Path) -> ServiceFilesReport:
    """Check the fleet file and all service files below a directory."""
    built = load_fleet(directory).bind(
        lambda loaded: build_documents(*loaded).map(lambda _: loaded)
    )
    problems = built.swap().map(lambda error: error.problems).value_or([])
    findings = [(problem.source, convert_problem(problem)) for problem in problems]
    if findings:
        return ServiceFilesReport(findings)
    fleet, services = built.unwrap()
    findings = [
        (service.service, finding)
        for service in services
        for finding in check_service(service, fleet)
    ]
    return ServiceFilesReport(findings, _summarise(fleet, services))


def convert_problem(problem: FileProblem) -> Finding:
    """Return an error in a file as a finding."""
    parts = problem.location.split(".") if problem.location else []
    place = tuple(int(part) if part.isdecimal() else part for part in parts)
    return Finding("file_invalid", ERROR, place, problem.problem)


def check_service(service: ServiceFile, fleet: FleetFile) -> Iterator[Finding]:
    """Yield entries of a valid service file that can never act, and contradictions."""
    yield from _check_address(service.address, ("address",))
    for index, target in enumerate(service.targets):
        yield from _check_address(target.agent, ("targets", index, "agent"))
    if all(fleet.zones[target.zone] == "out" for target in service.targets):
        text = "the zones of all targets are out: every new flow is refused"
        yield Finding("service_out", WARNING, ("targets",), text)
    if service.request_timeout_ms > FLOW_AGE_S * 1000:
        text = (
            f"is above {FLOW_AGE_S * 1000:g} ms, the age at which flows may be dropped"
        )
        yield Finding("timeout_above_flow_age", WARNING, ("request_timeout_ms",), text)


def _check_address(text: str, place: Place) -> Iterator[Finding]:
    description = describe_unreachable_host(parse_host(parse_address(text)[0]))
    if description:
        text = f"{text} is {description}: no packets arrive there"
        yield Finding("address_unreachable", ERROR, place, text)


def _summarise(fleet: FleetFile, services: Sequence[ServiceFile]) -> str:
    targets = sum(len(service.targets) for service in services)
    return (
        f"generation {fleet.generation}, {len(services)} services, "
        f"{targets} targets, {len(fleet.zones)} availability zones"
    )
