"""The ``plantainyokectl`` program.

Builds the command line from the subcommands of ``commands`` and ``queries``, and runs
the one that was chosen.
"""

import argparse
import sys

from plantainyoke import __version__
from plantainyoke.cli.commands import COMMANDS
from plantainyoke.cli.queries import QUERIES


def build_parser() -> argparse.ArgumentParser:
    """Return the command-line parser."""
    parser = argparse.ArgumentParser(
        prog="plantainyokectl",
        description="Check and build configuration, query running processes, and call "
        "services.",
        epilog="exit codes: 0 success, 1 failure, 2 usage",
    )
    parser.add_argument("--version", action="version", version=__version__)
    subparsers = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    for module in (*QUERIES, *COMMANDS):
        module.add_parser(subparsers)
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Run one subcommand and return its exit code."""
    options = build_parser().parse_args(arguments)
    try:
        return options.run(options)
    except KeyboardInterrupt:
        return 130
    except BrokenPipeError:
        sys.stderr.close()
        return 1


if __name__ == "__main__":
    sys.exit(main())
