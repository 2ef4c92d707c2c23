"""``plantainyokectl status``: print the state of a running process."""

import argparse

from plantainyoke.cli.queries._query import add_control_argument, query_process


def add_parser(subparsers) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser(
        "status",
        help="show the state of a running process",
        description="Print the generation in force and its source, the share of new "
        "flows that each zone admits, suspected agents with the evidence, limits "
        "and counters.",
    )
    add_control_argument(parser)
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Print the status of a process."""
    return query_process(options.control, "status", {})
