"""``plantainyokectl check``: check a configuration, service files or settings."""

import argparse
import json
import sys
from pathlib import Path
from typing import TextIO

import msgspec

from plantainyoke.cli._arguments import address_argument
from plantainyoke.cli._exit import EXIT_FAILURE, EXIT_SUCCESS, EXIT_USAGE
from plantainyoke.cli.queries._in_force import fetch_in_force
from plantainyoke.cli.queries._query import QueryError
from plantainyoke.network import format_address
from plantainyoke.platform import SettingsError, load_process_settings
from plantainyoke.platform.inspection import (
    InspectedFile,
    inspect_configuration,
    is_configuration,
)
from plantainyoke.validation import (
    ERROR,
    Finding,
    check_configuration,
    check_directory,
    compare_configurations,
    escape_unprintable,
    format_finding,
    format_place,
)


class UsageError(Exception):
    """The check cannot be carried out with these arguments."""


class Report(msgspec.Struct):
    """Findings, each with its file, and a summary of a clean input.

    Attributes
    ----------
    findings : list of (str, Finding)
    summary : str
    is_result : bool
        Whether the findings as text are the program's result, on standard output.
        Those of settings and service files are error messages.
    """

    findings: list[tuple[str, Finding]]
    summary: str = ""
    is_result: bool = False


def add_parser(subparsers) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser(
        "check",
        help="check a configuration, service files or the settings of a process",
        description="Check an operators' configuration (JSON), fleet.yaml and every "
        "service file below a directory, or the settings file of a process of the "
        "packet path (.toml), and print all findings, one per line.",
        epilog="exit codes: 0 clean, 1 findings, 2 usage, or an input that cannot be "
        "read",
    )
    parser.add_argument("path", type=Path, metavar="FILE|DIR")
    reference = parser.add_mutually_exclusive_group()
    reference.add_argument(
        "--against",
        type=Path,
        metavar="FILE",
        help="configuration file with which to compare",
    )
    reference.add_argument(
        "--control",
        type=address_argument,
        metavar="HOST:PORT",
        help="control address of a process; compares with the version in force",
    )
    parser.add_argument("--format", choices=("text", "json"), default="text")
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Print the findings, or a summary if there are none."""
    try:
        report = _check(options)
    except (UsageError, QueryError) as error:
        print(escape_unprintable(f"plantainyokectl check: {error}"), file=sys.stderr)
        return EXIT_USAGE
    if options.format == "json":
        _print_json(report)
    else:
        for source, finding in report.findings:
            line = format_finding(source, finding)
            _print_line(line, sys.stdout if report.is_result else sys.stderr)
        if not report.findings:
            _print_line(escape_unprintable(f"valid: {report.summary}"), sys.stdout)
    return EXIT_FAILURE if report.findings else EXIT_SUCCESS


def _check(options: argparse.Namespace) -> Report:
    path = options.path
    is_compared = options.against is not None or options.control is not None
    content = b"" if path.is_dir() else _read(path)
    if path.suffix == ".json" and not path.is_dir() or is_configuration(content):
        return _check_configuration(path, content, options)
    if is_compared:
        raise UsageError(f"{path} is no configuration; only these can be compared")
    if path.is_dir():
        return _check_services(path)
    if path.suffix == ".toml":
        return _check_settings(path)
    raise UsageError(f"{path} is neither a configuration, settings nor a directory")


def _check_configuration(
    path: Path, content: bytes, options: argparse.Namespace
) -> Report:
    inspected = inspect_configuration(content)
    findings = [(str(path), finding) for finding in inspected.findings]
    reference, capacities = None, {}
    if options.control is not None:
        in_force = fetch_in_force(options.control)
        reference, capacities = in_force.configuration, in_force.capacities
    elif options.against is not None:
        against = inspect_configuration(_read(options.against))
        findings += _list_errors(options.against, against)
        reference = against.configuration if against.is_accepted else None
    configuration = inspected.configuration
    if configuration is None:
        return Report(findings, is_result=True)
    found = check_configuration(configuration, capacities)
    if reference is not None and inspected.is_accepted:
        found += compare_configurations(configuration, reference)
    findings += [(str(path), inspected.locate(finding)) for finding in found]
    summary = (
        f"version {configuration.version}, {len(configuration.routes)} routes, "
        f"{len(configuration.services)} services"
    )
    if reference is not None:
        summary += f"; no difference from version {reference.version}"
    return Report(findings, summary, is_result=True)


def _list_errors(path: Path, inspected: InspectedFile) -> list[tuple[str, Finding]]:
    """Return the errors of a file for which it cannot be compared with."""
    if inspected.is_accepted:
        return []
    return [
        (str(path), finding)
        for finding in inspected.findings
        if finding.severity == ERROR
    ]


def _check_services(directory: Path) -> Report:
    report = check_directory(directory)
    return Report(report.findings, report.summary)


def _check_settings(path: Path) -> Report:
    try:
        settings = load_process_settings(path)
    except SettingsError as error:
        text = str(error).removeprefix(f"{path}: ")
        return Report([(str(path), Finding("settings_invalid", ERROR, (), text))])
    role = "agent" if settings.target_address else "balancer"
    store = format_address(settings.store_address)
    return Report([], f"{role} {settings.name} in {settings.zone}, store {store}")


def _read(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        raise UsageError(f"{path}: {error.strerror}") from error


def _print_json(report: Report) -> None:
    findings = [
        {
            "source": source,
            "place": format_place(finding.place),
            "code": finding.code,
            "severity": finding.severity,
            "text": finding.text,
        }
        for source, finding in report.findings
    ]
    print(json.dumps({"findings": findings}, indent=2))


def _print_line(line: str, stream: TextIO) -> None:
    """Print a line, with escapes for what the stream's encoding cannot express."""
    encoding = stream.encoding or "ascii"
    print(line.encode(encoding, "backslashreplace").decode(encoding), file=stream)
