"""``plantainyokectl check``."""

import argparse
import sys
from pathlib import Path

from returns.result import Failure

from plantainyoke.cli._exit import EXIT_FAILURE, EXIT_SUCCESS
from plantainyoke.configuration import build_configuration, load_fleet


def add_parser(subparsers) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser(
        "check",
        help="validate service files",
        description="Validate fleet.yaml and every service file below DIR, and print "
        "all faults, one a line.",
    )
    parser.add_argument("directory", type=Path, metavar="DIR")
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Print the faults of a directory, or a summary if there are none."""
    loaded = load_fleet(options.directory)
    if isinstance(loaded, Failure):
        print(loaded.failure(), file=sys.stderr)
        return EXIT_FAILURE
    fleet, services = loaded.unwrap()
    built = build_configuration(fleet, services)
    if isinstance(built, Failure):
        print(built.failure(), file=sys.stderr)
        return EXIT_FAILURE
    targets = sum(len(service.targets) for service in services)
    print(
        f"valid: generation {fleet.generation}, {len(services)} services, "
        f"{targets} targets, {len(fleet.zones)} availability zones"
    )
    return EXIT_SUCCESS
