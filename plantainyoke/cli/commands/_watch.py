"""``plantainyokectl watch``: print a service's event stream as a caller."""

import argparse
import sys

import uvloop

from plantainyoke.caller import CallerError, Session, SessionOptions
from plantainyoke.cli._arguments import add_caller_arguments
from plantainyoke.cli._exit import EXIT_FAILURE, EXIT_SUCCESS


def add_parser(subparsers) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser(
        "watch",
        help="print the events of a service",
        description="Print the ID and data of each event once, on one line, until "
        "interrupted.",
    )
    add_caller_arguments(parser)
    parser.add_argument("path")
    parser.add_argument("--last-event-id", default="", metavar="ID")
    parser.add_argument(
        "--count", type=int, default=0, help="stop after this many events"
    )
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Print events until interrupted or until ``--count`` is reached."""
    try:
        uvloop.run(_print_events(options))
    except CallerError as error:
        print(f"{type(error).__name__}: {error}", file=sys.stderr)
        return EXIT_FAILURE
    except OSError as error:
        print(f"{options.ca}: {error.strerror}", file=sys.stderr)
        return EXIT_FAILURE
    return EXIT_SUCCESS


async def _print_events(options: argparse.Namespace) -> None:
    session_options = SessionOptions(options.server_name, options.ca)
    async with Session(options.address, session_options) as session:
        printed = 0
        events = session.watch(options.path, last_event_id=options.last_event_id)
        async for event in events:
            print(f"{event.id} {event.data}", flush=True)
            printed += 1
            if printed == options.count:
                await events.aclose()
                return
