"""``plantainyokectl status``."""

import argparse

from plantainyoke.cli.queries._ask import add_control_argument, ask


def add_parser(subparsers) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser(
        "status",
        help="show what a running process knows",
        description="Print the generation in force and its source, zones and ramps, "
        "suspected agents with the evidence, limits and counters.",
    )
    add_control_argument(parser)
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Print the status of a process."""
    return ask(options.control, "status", {})
