"""``plantainyokectl check``: validate service files or a settings file."""

import argparse
import sys
from pathlib import Path

from returns.result import Failure

from plantainyoke.cli._exit import EXIT_FAILURE, EXIT_SUCCESS
from plantainyoke.configuration import build_documents, load_fleet
from plantainyoke.network import format_address
from plantainyoke.platform import SettingsError, load_process_settings


def add_parser(subparsers) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser(
        "check",
        help="validate service files or the settings of a process",
        description="Validate fleet.yaml and every service file below a directory and "
        "print all problems, one per line; or validate the settings file of a process "
        "of the packet path.",
    )
    parser.add_argument("path", type=Path, metavar="DIR|FILE.toml")
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Print the problems of a file or folder, or a summary if there are none."""
    if options.path.suffix == ".toml":
        return _check_settings(options.path)
    return _check_services(options.path)


def _check_settings(path: Path) -> int:
    try:
        settings = load_process_settings(path)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_FAILURE
    role = "agent" if settings.target_address else "balancer"
    store = format_address(settings.store_address)
    print(f"valid: {role} {settings.name} in {settings.zone}, store {store}")
    return EXIT_SUCCESS


def _check_services(directory: Path) -> int:
    loaded = load_fleet(directory)
    if isinstance(loaded, Failure):
        print(loaded.failure(), file=sys.stderr)
        return EXIT_FAILURE
    fleet, services = loaded.unwrap()
    built = build_documents(fleet, services)
    if isinstance(built, Failure):
        print(built.failure(), file=sys.stderr)
        return EXIT_FAILURE
    targets = sum(len(service.targets) for service in services)
    print(
        f"valid: generation {fleet.generation}, {len(services)} services, "
        f"{targets} targets, {len(fleet.zones)} availability zones"
    )
    return EXIT_SUCCESS
