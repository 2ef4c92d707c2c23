"""The ``plantainyokectl`` program."""

import argparse
import sys

from plantainyoke import __version__
from plantainyoke.cli.commands import COMMANDS
from plantainyoke.cli.queries import QUERIES


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="plantainyokectl",
        description="Check and build configuration, ask running processes, and call "
        "services.",
        epilog="exit codes: 0 success, 1 failure, 2 usage",
    )
    parser.add_argument("--version", action="version", version=__version__)
    subparsers = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    for module in (*QUERIES, *COMMANDS):
        module.add_parser(subparsers)
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Run one command and return its exit code."""
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
